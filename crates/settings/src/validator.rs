//! Validates a document against a schema.

use std::net;
use std::ops;

use crate::diagnostic;
use crate::document;
use crate::file_schemas;
use crate::schema;

const MAX_NAME_BYTES: usize = 128;

/// Checks a document against a schema and collects a diagnostic for each mismatch.
pub(crate) struct SchemaValidator<'a> {
    document: &'a document::MarkedDocument<'a>,
    diagnostics: Vec<diagnostic::FileDiagnostic>,
}

impl<'a> SchemaValidator<'a> {
    /// Returns the diagnostics of a document whose root must be a record of `fields`.
    pub fn validate(
        document: &'a document::MarkedDocument<'a>,
        fields: &'static [schema::FieldSchema],
    ) -> Vec<diagnostic::FileDiagnostic> {
        let Some(root) = document.root() else {
            return vec![diagnostic::FileDiagnostic::new(0..0, "the file is empty")];
        };
        let mut validator = Self {
            document,
            diagnostics: Vec::new(),
        };
        let span = document.span(root);
        validator.check_record(root, fields, &span);
        validator.diagnostics
    }

    fn report(&mut self, span: &ops::Range<usize>, message: impl Into<String>) {
        let diagnostic = diagnostic::FileDiagnostic::new(span.clone(), message);
        self.diagnostics.push(diagnostic);
    }

    /// Checks a value. `key_span` is the span of its key, which is reported for missing fields,
    /// empty values and values that should be a mapping or a list.
    fn check_value(
        &mut self,
        node: &document::Node<'a>,
        schema: &schema::ValueSchema,
        key_span: &ops::Range<usize>,
    ) {
        match schema {
            schema::ValueSchema::Map(element_schema) => {
                self.check_map(node, element_schema, key_span)
            }
            schema::ValueSchema::List(element_schema) => {
                self.check_list(node, element_schema, key_span)
            }
            schema::ValueSchema::Record(fields) => self.check_record(node, fields, key_span),
            schema::ValueSchema::Tagged(variants) => self.check_tagged(node, variants, key_span),
            schema::ValueSchema::Integer(min, max) => self.check_integer(node, *min, *max),
            schema::ValueSchema::Boolean => {
                if node.data.as_bool().is_none() {
                    self.report(&self.document.span(node), "must be true or false");
                }
            }
            _ => self.check_scalar(node, schema, key_span),
        }
    }

    fn check_scalar(
        &mut self,
        node: &document::Node<'a>,
        schema: &schema::ValueSchema,
        key_span: &ops::Range<usize>,
    ) {
        let span = self.document.span(node);
        let Some(text) = document::as_text(node) else {
            let span = if span.is_empty() { key_span } else { &span };
            return self.report(
                span,
                "must be text (quote the value if it is meant as text)",
            );
        };
        match check_text(text, schema) {
            None => {}
            Some((message, help)) => {
                let diagnostic = diagnostic::FileDiagnostic::new(span, message).with_help(help);
                self.diagnostics.push(diagnostic);
            }
        }
    }

    fn check_integer(&mut self, node: &document::Node<'a>, min: u64, max: u64) {
        // The parser does not read numbers above `i64::MAX` as integers.
        let number = document::as_u64(node).or_else(|| self.document.text(node).parse().ok());
        if number.is_none_or(|number| number < min || number > max) {
            let text = format!("must be a whole number from {min} to {max}");
            self.report(&self.document.span(node), text);
        }
    }

    fn check_map(
        &mut self,
        node: &document::Node<'a>,
        element_schema: &schema::ValueSchema,
        key_span: &ops::Range<usize>,
    ) {
        let Some(mapping) = node.data.as_mapping() else {
            return self.report(key_span, "must be a mapping of names (empty: {})");
        };
        for (key, value) in mapping {
            let span = self.document.span(key);
            self.check_scalar(key, &schema::ValueSchema::Name, &span);
            self.check_value(value, element_schema, &span);
        }
    }

    fn check_list(
        &mut self,
        node: &document::Node<'a>,
        element_schema: &schema::ValueSchema,
        key_span: &ops::Range<usize>,
    ) {
        let Some(elements) = node.data.as_vec() else {
            return self.report(key_span, "must be a list (empty: [])");
        };
        for element in elements {
            let span = self.document.span(element);
            self.check_value(element, element_schema, &span);
        }
    }

    fn check_record(
        &mut self,
        node: &document::Node<'a>,
        fields: &'static [schema::FieldSchema],
        key_span: &ops::Range<usize>,
    ) {
        if self.check_fields(node, fields, &[], key_span) {
            self.report_missing(node, fields, key_span);
        }
    }

    /// Checks the fields that are present, except those named in `ignored`. Returns `false` if
    /// `node` is not a mapping.
    fn check_fields(
        &mut self,
        node: &document::Node<'a>,
        fields: &'static [schema::FieldSchema],
        ignored: &[&str],
        key_span: &ops::Range<usize>,
    ) -> bool {
        let Some(mapping) = node.data.as_mapping() else {
            self.report(key_span, "must be a mapping (empty: {})");
            return false;
        };
        for (key, value) in mapping {
            let span = self.document.span(key);
            let name = document::as_text(key).unwrap_or_default();
            if ignored.contains(&name) {
                continue;
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field)
                    if field.presence == schema::FieldPresence::Nullable
                        && value.data.is_null() => {}
                Some(field) => self.check_value(value, &field.schema, &span),
                None => self.report_unknown(&span, name, fields),
            }
        }
        true
    }

    fn report_unknown(
        &mut self,
        span: &ops::Range<usize>,
        name: &str,
        fields: &'static [schema::FieldSchema],
    ) {
        let names = fields.iter().map(|field| field.name);
        let diagnostic =
            diagnostic::FileDiagnostic::new(span.clone(), format!("unknown key {name}"))
                .with_help(diagnostic::suggest(name, names));
        self.diagnostics.push(diagnostic);
    }

    fn report_missing(
        &mut self,
        node: &document::Node<'a>,
        fields: &'static [schema::FieldSchema],
        key_span: &ops::Range<usize>,
    ) {
        for field in fields {
            let required = field.presence == schema::FieldPresence::Required;
            if required && document::get(node, field.name).is_none() {
                self.report(key_span, format!("key {} is missing", field.name));
            }
        }
    }

    fn check_tagged(
        &mut self,
        node: &document::Node<'a>,
        variants: &'static [schema::VariantSchema],
        key_span: &ops::Range<usize>,
    ) {
        let tags = variants
            .iter()
            .map(|variant| variant.tag)
            .collect::<Vec<_>>();
        let Some(type_node) = document::get(node, "type") else {
            let text = format!("key type is missing, must be one of {}", tags.join(", "));
            return self.report(key_span, text);
        };
        let tag = document::as_text(type_node).unwrap_or_default();
        let Some(variant) = variants.iter().find(|variant| variant.tag == tag) else {
            let text = format!("must be one of {}", tags.join(", "));
            return self.report(&self.document.span(type_node), text);
        };
        if self.check_fields(node, variant.fields, &["type"], key_span) {
            self.report_missing(node, variant.fields, key_span);
        }
    }
}

/// Returns the error message and the suggestion for a text that does not match `schema`.
fn check_text(text: &str, schema: &schema::ValueSchema) -> Option<(String, Option<String>)> {
    let without_help = |message: &str| Some((message.to_owned(), None));
    match schema {
        schema::ValueSchema::Name => {
            let is_allowed = text
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && byte != b'/');
            if text.is_empty() || text.len() > MAX_NAME_BYTES || !is_allowed {
                return without_help(
                    "must be a name: visible ASCII without a slash, at most 128 bytes",
                );
            }
        }
        schema::ValueSchema::Text if text.trim().is_empty() => {
            return without_help("must not be empty");
        }
        schema::ValueSchema::Path if !is_path(text) => {
            return without_help("must be a path, as in /orders");
        }
        schema::ValueSchema::SocketAddress if text.parse::<net::SocketAddr>().is_err() => {
            return without_help("must be an IP address and a port, as in 10.0.0.1:8080");
        }
        schema::ValueSchema::Network if text.parse::<ipnet::IpNet>().is_err() => {
            return without_help("must be a network, as in 10.0.0.0/8");
        }
        schema::ValueSchema::IpAddress if text.parse::<net::IpAddr>().is_err() => {
            return without_help("must be an IP address, as in 10.0.0.1");
        }
        schema::ValueSchema::Network if text.parse::<ipnet::IpNet>().is_err() => {
            return without_help("must be a network in CIDR notation, as in 10.0.0.0/8");
        }
        schema::ValueSchema::CallPattern if !is_call_pattern(text) => {
            return without_help("must be a method and a path, as in POST /orders");
        }
        schema::ValueSchema::Choice(choices) if !choices.contains(&text) => {
            let help = diagnostic::suggest(text, choices.iter().copied());
            return Some((format!("must be one of {}", choices.join(", ")), help));
        }
        _ => {}
    }
    None
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_call_pattern(text: &str) -> bool {
    let parts = text.split_once(' ');
    parts.is_some_and(|(method, path)| file_schemas::is_method(method) && is_path(path))
}
