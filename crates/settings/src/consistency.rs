//! Checks that involve several values of a file.

use std::collections;

use crate::diagnostic;
use crate::document;

/// Concurrent requests of an endpoint that does not set `slots`.
const DEFAULT_SLOTS: u64 = 16;
/// Concurrent requests of a cold endpoint that does not set `cold_slots`.
const DEFAULT_COLD_SLOTS: u64 = 2;

/// Checks the references, addresses, slots and path prefixes of a configuration.
pub(crate) fn check_config(
    document: &document::MarkedDocument<'_>,
) -> Vec<diagnostic::FileDiagnostic> {
    let mut diagnostics = Vec::new();
    let Some(root) = document.root() else {
        return diagnostics;
    };
    let endpoints = document::get(root, "endpoints");
    for (_, key, endpoint) in endpoints.into_iter().flat_map(document::entries) {
        for (field, table) in [("service", "services"), ("data_centre", "data_centres")] {
            diagnostics.extend(check_reference(document, root, endpoint, field, table));
        }
        diagnostics.extend(check_slots(document, key, endpoint));
    }
    let addresses = endpoints.into_iter().flat_map(document::entries);
    let addresses = addresses
        .filter_map(|(name, _, node)| Some((name.to_owned(), document::get(node, "address")?)));
    diagnostics.extend(check_duplicates(document, addresses, "address"));
    diagnostics.extend(check_services(document, root));
    diagnostics
}

fn check_reference(
    document: &document::MarkedDocument<'_>,
    root: &document::Node<'_>,
    endpoint: &document::Node<'_>,
    field: &str,
    table: &str,
) -> Option<diagnostic::FileDiagnostic> {
    let node = document::get(endpoint, field)?;
    let name = document::as_text(node)?;
    let names = document::get(root, table);
    let names = names.into_iter().flat_map(document::entries);
    let names = names.map(|(name, _, _)| name).collect::<Vec<_>>();
    if names.contains(&name) {
        return None;
    }
    let text = format!("there is no {} {name}", field.replace('_', " "));
    let help = diagnostic::suggest(name, names.into_iter());
    Some(diagnostic::FileDiagnostic::new(document.span(node), text).with_help(help))
}

fn check_slots(
    document: &document::MarkedDocument<'_>,
    key: &document::Node<'_>,
    endpoint: &document::Node<'_>,
) -> Option<diagnostic::FileDiagnostic> {
    let number_or = |name, default| {
        let node = document::get(endpoint, name);
        node.map_or(Some(default), document::as_u64)
    };
    let slots = number_or("slots", DEFAULT_SLOTS)?;
    let cold_slots = number_or("cold_slots", DEFAULT_COLD_SLOTS)?;
    if slots == 0 || cold_slots <= slots {
        return None;
    }
    let node = document::get(endpoint, "cold_slots").unwrap_or(key);
    let text = format!("cold_slots ({cold_slots}) is more than slots ({slots})");
    Some(diagnostic::FileDiagnostic::new(document.span(node), text))
}

/// Reports each text that an earlier value already has. Skips addresses with port 0, as the
/// system then picks a free port.
fn check_duplicates<'n, 'a: 'n>(
    document: &document::MarkedDocument<'_>,
    values: impl Iterator<Item = (String, &'n document::Node<'a>)>,
    what: &str,
) -> Vec<diagnostic::FileDiagnostic> {
    let mut seen = collections::BTreeMap::<&str, String>::new();
    let mut diagnostics = Vec::new();
    for (owner, node) in values {
        let Some(text) = document::as_text(node) else {
            continue;
        };
        if text.ends_with(":0") {
            continue;
        }
        if let Some(first) = seen.get(text) {
            let text = format!("{what} {text} is already used by {first}");
            diagnostics.push(diagnostic::FileDiagnostic::new(document.span(node), text));
            continue;
        }
        seen.insert(text, owner);
    }
    diagnostics
}

fn check_services(
    document: &document::MarkedDocument<'_>,
    root: &document::Node<'_>,
) -> Vec<diagnostic::FileDiagnostic> {
    let mut diagnostics = Vec::new();
    let mut prefixes = Vec::<(&str, &str)>::new();
    let services = document::get(root, "services");
    for (name, _, service) in services.into_iter().flat_map(document::entries) {
        let kind = document::get(service, "kind");
        let patterns = document::get(service, "non_idempotent");
        let type_tag = kind.and_then(|kind| document::as_text(document::get(kind, "type")?));
        if let (Some("model"), Some(patterns)) = (type_tag, patterns)
            && let Some(first) = document::elements(patterns).first()
        {
            let text = "calls of a model cannot be non-idempotent";
            diagnostics.push(diagnostic::FileDiagnostic::new(document.span(first), text));
        }
        let Some(node) = kind.and_then(|kind| document::get(kind, "path_prefix")) else {
            continue;
        };
        let Some(prefix) = document::as_text(node) else {
            continue;
        };
        let overlaps =
            |other: &&(&str, &str)| prefix.starts_with(other.1) || other.1.starts_with(prefix);
        if let Some((other, other_prefix)) = prefixes.iter().find(overlaps) {
            let text = format!("path prefix {prefix} overlaps {other_prefix} of service {other}");
            diagnostics.push(diagnostic::FileDiagnostic::new(document.span(node), text));
        }
        prefixes.push((name, prefix));
    }
    diagnostics
}

/// Checks that the listen addresses of a daemon are distinct, and that no limit per request or per
/// host is larger than the limit of the total.
pub(crate) fn check_daemon(
    document: &document::MarkedDocument<'_>,
) -> Vec<diagnostic::FileDiagnostic> {
    let mut diagnostics = Vec::new();
    let Some(root) = document.root() else {
        return diagnostics;
    };
    let listen = document::get(root, "listen");
    let addresses = listen.into_iter().flat_map(document::entries);
    let addresses = addresses.filter(|(name, _, _)| *name != "advertised_peers");
    let addresses = addresses.map(|(name, _, node)| (name.to_owned(), node));
    diagnostics.extend(check_duplicates(document, addresses, "address"));
    for (part, whole) in [
        ("body_bytes", "body_pool_bytes"),
        ("connections_per_host", "connections"),
    ] {
        diagnostics.extend(check_limit(document, root, part, whole));
    }
    diagnostics
}

fn check_limit(
    document: &document::MarkedDocument<'_>,
    root: &document::Node<'_>,
    part: &str,
    whole: &str,
) -> Option<diagnostic::FileDiagnostic> {
    let limits = document::get(root, "limits")?;
    let node = document::get(limits, part)?;
    let part_limit = document::as_u64(node)?;
    let whole_limit = document::as_u64(document::get(limits, whole)?)?;
    let text = format!("{part} ({part_limit}) is more than {whole} ({whole_limit})");
    (part_limit > whole_limit).then(|| diagnostic::FileDiagnostic::new(document.span(node), text))
}

/// Checks that names are unique and that there is a data centre.
pub(crate) fn check_answers(
    document: &document::MarkedDocument<'_>,
) -> Vec<diagnostic::FileDiagnostic> {
    let mut diagnostics = Vec::new();
    let Some(root) = document.root() else {
        return diagnostics;
    };
    for list in ["data_centres", "customers", "services"] {
        let entries = document::get(root, list).map_or(&[][..], document::elements);
        let names = entries
            .iter()
            .filter_map(|entry| document::get(entry, "name"));
        let names = names.map(|node| ("an earlier entry".to_owned(), node));
        diagnostics.extend(check_duplicates(document, names, "name"));
    }
    if let Some(centres) = document::get(root, "data_centres")
        && document::elements(centres).is_empty()
    {
        let span = document.span(centres);
        diagnostics.push(diagnostic::FileDiagnostic::new(
            span,
            "needs at least one data centre",
        ));
    }
    diagnostics
}
