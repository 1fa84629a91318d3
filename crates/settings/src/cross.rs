//! Checks that span several values of a file.

use std::collections;

use crate::document;
use crate::fault;

/// Requests that an endpoint runs at once when nothing is said.
const DEFAULT_SLOTS: u64 = 16;
/// Requests that an endpoint carries when cold when nothing is said.
const DEFAULT_COLD_SLOTS: u64 = 2;

/// Faults of a configuration that no single value shows.
pub(crate) fn config_faults(document: &document::MarkedDocument<'_>) -> Vec<fault::FileFault> {
    let mut faults = Vec::new();
    let Some(root) = document.root() else {
        return faults;
    };
    let endpoints = document::get(root, "endpoints");
    for (_, key, endpoint) in endpoints.into_iter().flat_map(document::entries) {
        for (field, table) in [("service", "services"), ("data_centre", "data_centres")] {
            faults.extend(reference_fault(document, root, endpoint, field, table));
        }
        faults.extend(slots_fault(document, key, endpoint));
    }
    let addresses = endpoints.into_iter().flat_map(document::entries);
    let addresses = addresses
        .filter_map(|(name, _, node)| Some((name.to_owned(), document::get(node, "address")?)));
    faults.extend(repeated(document, addresses, "address"));
    faults.extend(service_faults(document, root));
    faults
}

fn reference_fault(
    document: &document::MarkedDocument<'_>,
    root: &document::Node<'_>,
    endpoint: &document::Node<'_>,
    field: &str,
    table: &str,
) -> Option<fault::FileFault> {
    let node = document::get(endpoint, field)?;
    let given = document::as_text(node)?;
    let names = document::get(root, table);
    let names = names.into_iter().flat_map(document::entries);
    let names = names.map(|(name, _, _)| name).collect::<Vec<_>>();
    if names.contains(&given) {
        return None;
    }
    let text = format!("there is no {} {given}", field.replace('_', " "));
    let help = fault::nearest(given, names.into_iter());
    Some(fault::FileFault::new(document.place(node), text).help(help))
}

fn slots_fault(
    document: &document::MarkedDocument<'_>,
    key: &document::Node<'_>,
    endpoint: &document::Node<'_>,
) -> Option<fault::FileFault> {
    let whole = |name, default| {
        let node = document::get(endpoint, name);
        node.map_or(Some(default), document::as_whole)
    };
    let slots = whole("slots", DEFAULT_SLOTS)?;
    let cold_slots = whole("cold_slots", DEFAULT_COLD_SLOTS)?;
    if slots == 0 || cold_slots <= slots {
        return None;
    }
    let node = document::get(endpoint, "cold_slots").unwrap_or(key);
    let text = format!("cold_slots ({cold_slots}) is more than slots ({slots})");
    Some(fault::FileFault::new(document.place(node), text))
}

/// Texts that stand in more than one place. Addresses with port zero never meet.
fn repeated<'n, 'a: 'n>(
    document: &document::MarkedDocument<'_>,
    values: impl Iterator<Item = (String, &'n document::Node<'a>)>,
    what: &str,
) -> Vec<fault::FileFault> {
    let mut seen = collections::BTreeMap::<&str, String>::new();
    let mut faults = Vec::new();
    for (owner, node) in values {
        let Some(text) = document::as_text(node) else {
            continue;
        };
        if text.ends_with(":0") {
            continue;
        }
        if let Some(first) = seen.get(text) {
            let text = format!("{what} {text} is taken by {first}");
            faults.push(fault::FileFault::new(document.place(node), text));
            continue;
        }
        seen.insert(text, owner);
    }
    faults
}

fn service_faults(
    document: &document::MarkedDocument<'_>,
    root: &document::Node<'_>,
) -> Vec<fault::FileFault> {
    let mut faults = Vec::new();
    let mut prefixes = Vec::<(&str, &str)>::new();
    let services = document::get(root, "services");
    for (name, _, service) in services.into_iter().flat_map(document::entries) {
        let kind = document::get(service, "kind");
        let rules = document::get(service, "non_idempotent");
        let word = kind.and_then(|kind| document::as_text(document::get(kind, "type")?));
        if let (Some("model"), Some(rules)) = (word, rules)
            && let Some(first) = document::elements(rules).first()
        {
            let text = "calls of a model cannot be non-idempotent";
            faults.push(fault::FileFault::new(document.place(first), text));
        }
        let Some(node) = kind.and_then(|kind| document::get(kind, "path_prefix")) else {
            continue;
        };
        let Some(prefix) = document::as_text(node) else {
            continue;
        };
        let meets =
            |other: &&(&str, &str)| prefix.starts_with(other.1) || other.1.starts_with(prefix);
        if let Some((other, taken)) = prefixes.iter().find(meets) {
            let text = format!("path prefix {prefix} overlaps {taken} of service {other}");
            faults.push(fault::FileFault::new(document.place(node), text));
        }
        prefixes.push((name, prefix));
    }
    faults
}

/// Faults of a daemon's settings that no single value shows.
pub(crate) fn daemon_faults(document: &document::MarkedDocument<'_>) -> Vec<fault::FileFault> {
    let mut faults = Vec::new();
    let Some(root) = document.root() else {
        return faults;
    };
    let listen = document::get(root, "listen");
    let addresses = listen.into_iter().flat_map(document::entries);
    let addresses = addresses.filter(|(name, _, _)| *name != "advertised_peers");
    let addresses = addresses.map(|(name, _, node)| (name.to_owned(), node));
    faults.extend(repeated(document, addresses, "address"));
    for (part, whole) in [
        ("body_bytes", "body_pool_bytes"),
        ("connections_per_host", "connections"),
    ] {
        faults.extend(limit_fault(document, root, part, whole));
    }
    faults
}

fn limit_fault(
    document: &document::MarkedDocument<'_>,
    root: &document::Node<'_>,
    part: &str,
    whole: &str,
) -> Option<fault::FileFault> {
    let limits = document::get(root, "limits")?;
    let node = document::get(limits, part)?;
    let least = document::as_whole(node)?;
    let most = document::as_whole(document::get(limits, whole)?)?;
    let text = format!("{part} ({least}) is more than {whole} ({most})");
    (least > most).then(|| fault::FileFault::new(document.place(node), text))
}

/// Faults of answers that no single value shows.
pub(crate) fn answer_faults(document: &document::MarkedDocument<'_>) -> Vec<fault::FileFault> {
    let mut faults = Vec::new();
    let Some(root) = document.root() else {
        return faults;
    };
    for list in ["data_centres", "customers", "services"] {
        let entries = document::get(root, list).map_or(&[][..], document::elements);
        let names = entries
            .iter()
            .filter_map(|entry| document::get(entry, "name"));
        let names = names.map(|node| ("an earlier entry".to_owned(), node));
        faults.extend(repeated(document, names, "name"));
    }
    if let Some(centres) = document::get(root, "data_centres")
        && document::elements(centres).is_empty()
    {
        let place = document.place(centres);
        faults.push(fault::FileFault::new(
            place,
            "needs one data centre at least",
        ));
    }
    faults
}
