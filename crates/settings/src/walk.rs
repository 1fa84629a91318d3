//! Compares a document with its shape.

use std::net;
use std::ops;

use crate::document;
use crate::fault;
use crate::shape;
use crate::shapes;

/// Longest name, in bytes.
const NAME_BYTES: usize = 128;

/// Collects the faults of a document against a shape.
pub(crate) struct ShapeWalk<'a> {
    document: &'a document::MarkedDocument<'a>,
    faults: Vec<fault::FileFault>,
}

impl<'a> ShapeWalk<'a> {
    /// The faults of a document whose root is a record of these fields.
    pub fn faults(
        document: &'a document::MarkedDocument<'a>,
        fields: &'static [shape::FieldShape],
    ) -> Vec<fault::FileFault> {
        let Some(root) = document.root() else {
            return vec![fault::FileFault::new(0..0, "the file is empty")];
        };
        let mut walk = Self {
            document,
            faults: Vec::new(),
        };
        let place = document.place(root);
        walk.record(root, fields, &place);
        walk.faults
    }

    fn note(&mut self, place: &ops::Range<usize>, message: impl Into<String>) {
        let fault = fault::FileFault::new(place.clone(), message);
        self.faults.push(fault);
    }

    /// Checks a value. `owner` is the place of the key that it stands under.
    fn value(
        &mut self,
        node: &document::Node<'a>,
        shape: &shape::ValueShape,
        owner: &ops::Range<usize>,
    ) {
        match shape {
            shape::ValueShape::Table(inner) => self.table(node, inner, owner),
            shape::ValueShape::List(inner) => self.list(node, inner, owner),
            shape::ValueShape::Record(fields) => self.record(node, fields, owner),
            shape::ValueShape::Kinds(kinds) => self.kinds(node, kinds, owner),
            shape::ValueShape::Whole(least, most) => self.whole(node, *least, *most),
            shape::ValueShape::Flag => {
                if node.data.as_bool().is_none() {
                    self.note(&self.document.place(node), "must be true or false");
                }
            }
            _ => self.scalar(node, shape, owner),
        }
    }

    fn scalar(
        &mut self,
        node: &document::Node<'a>,
        shape: &shape::ValueShape,
        owner: &ops::Range<usize>,
    ) {
        let place = self.document.place(node);
        let Some(text) = document::as_text(node) else {
            let place = if place.is_empty() { owner } else { &place };
            return self.note(place, "must be text (put it in quotes if it is)");
        };
        match text_fault(text, shape) {
            None => {}
            Some((message, help)) => {
                let fault = fault::FileFault::new(place, message).help(help);
                self.faults.push(fault);
            }
        }
    }

    fn whole(&mut self, node: &document::Node<'a>, least: u64, most: u64) {
        // Numbers above the signed range are no integers to the parser.
        let read = document::as_whole(node).or_else(|| self.document.text(node).parse().ok());
        if read.is_none_or(|number| number < least || number > most) {
            let text = format!("must be a whole number from {least} to {most}");
            self.note(&self.document.place(node), text);
        }
    }

    fn table(
        &mut self,
        node: &document::Node<'a>,
        inner: &shape::ValueShape,
        owner: &ops::Range<usize>,
    ) {
        let Some(mapping) = node.data.as_mapping() else {
            return self.note(owner, "must be a mapping of names (empty: {})");
        };
        for (key, value) in mapping {
            let place = self.document.place(key);
            self.scalar(key, &shape::ValueShape::Name, &place);
            self.value(value, inner, &place);
        }
    }

    fn list(
        &mut self,
        node: &document::Node<'a>,
        inner: &shape::ValueShape,
        owner: &ops::Range<usize>,
    ) {
        let Some(elements) = node.data.as_vec() else {
            return self.note(owner, "must be a list (empty: [])");
        };
        for element in elements {
            let place = self.document.place(element);
            self.value(element, inner, &place);
        }
    }

    fn record(
        &mut self,
        node: &document::Node<'a>,
        fields: &'static [shape::FieldShape],
        owner: &ops::Range<usize>,
    ) {
        if self.fields(node, fields, &[], owner) {
            self.missing(node, fields, owner);
        }
    }

    /// Checks the fields that are there. Returns whether there are any to speak of.
    fn fields(
        &mut self,
        node: &document::Node<'a>,
        fields: &'static [shape::FieldShape],
        besides: &[&str],
        owner: &ops::Range<usize>,
    ) -> bool {
        let Some(mapping) = node.data.as_mapping() else {
            self.note(owner, "must be a mapping (empty: {})");
            return false;
        };
        for (key, value) in mapping {
            let place = self.document.place(key);
            let name = document::as_text(key).unwrap_or_default();
            if besides.contains(&name) {
                continue;
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) if field.need == shape::FieldNeed::Nullable && value.data.is_null() => {
                }
                Some(field) => self.value(value, &field.shape, &place),
                None => self.unknown(&place, name, fields),
            }
        }
        true
    }

    fn unknown(
        &mut self,
        place: &ops::Range<usize>,
        name: &str,
        fields: &'static [shape::FieldShape],
    ) {
        let names = fields.iter().map(|field| field.name);
        let fault = fault::FileFault::new(place.clone(), format!("unknown key {name}"))
            .help(fault::nearest(name, names));
        self.faults.push(fault);
    }

    fn missing(
        &mut self,
        node: &document::Node<'a>,
        fields: &'static [shape::FieldShape],
        owner: &ops::Range<usize>,
    ) {
        for field in fields {
            let required = field.need == shape::FieldNeed::Required;
            if required && document::get(node, field.name).is_none() {
                self.note(owner, format!("key {} is missing", field.name));
            }
        }
    }

    fn kinds(
        &mut self,
        node: &document::Node<'a>,
        kinds: &'static [shape::KindShape],
        owner: &ops::Range<usize>,
    ) {
        let words = kinds.iter().map(|kind| kind.word).collect::<Vec<_>>();
        let Some(given) = document::get(node, "type") else {
            let text = format!("needs a type, one of {}", words.join(", "));
            return self.note(owner, text);
        };
        let word = document::as_text(given).unwrap_or_default();
        let Some(kind) = kinds.iter().find(|kind| kind.word == word) else {
            let text = format!("must be one of {}", words.join(", "));
            return self.note(&self.document.place(given), text);
        };
        if self.fields(node, kind.fields, &["type"], owner) {
            self.missing(node, kind.fields, owner);
        }
    }
}

/// What is wrong with a text, and what would be right.
fn text_fault(text: &str, shape: &shape::ValueShape) -> Option<(String, Option<String>)> {
    let plain = |message: &str| Some((message.to_owned(), None));
    match shape {
        shape::ValueShape::Name => {
            let fits = text
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && byte != b'/');
            if text.is_empty() || text.len() > NAME_BYTES || !fits {
                return plain("must be a name: visible ASCII without a slash, at most 128 bytes");
            }
        }
        shape::ValueShape::Text if text.trim().is_empty() => return plain("must not be empty"),
        shape::ValueShape::Path if !is_path(text) => return plain("must be a path, as in /orders"),
        shape::ValueShape::Address if text.parse::<net::SocketAddr>().is_err() => {
            return plain("must be an IP address and a port, as in 10.0.0.1:8080");
        }
        shape::ValueShape::Network if text.parse::<ipnet::IpNet>().is_err() => {
            return plain("must be a network, as in 10.0.0.0/8");
        }
        shape::ValueShape::Host if text.parse::<net::IpAddr>().is_err() => {
            return plain("must be an IP address, as in 10.0.0.1");
        }
        shape::ValueShape::Network if text.parse::<ipnet::IpNet>().is_err() => {
            return plain("must be a network in CIDR notation, as in 10.0.0.0/8");
        }
        shape::ValueShape::Call if !is_call(text) => {
            return plain("must be a method and a path, as in POST /orders");
        }
        shape::ValueShape::Choice(words) if !words.contains(&text) => {
            let help = fault::nearest(text, words.iter().copied());
            return Some((format!("must be one of {}", words.join(", ")), help));
        }
        _ => {}
    }
    None
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_call(text: &str) -> bool {
    let parts = text.split_once(' ');
    parts.is_some_and(|(method, path)| shapes::is_method(method) && is_path(path))
}
