//! A YAML document whose nodes know their places.

use std::ops;

use saphyr::LoadableYamlNode;

use crate::fault;

/// A node with its place.
pub(crate) type Node<'a> = saphyr::MarkedYaml<'a>;

/// A parsed file.
pub(crate) struct MarkedDocument<'a> {
    text: &'a str,
    root: Option<Node<'a>>,
}

impl<'a> MarkedDocument<'a> {
    /// Parses a file.
    pub fn parse(text: &'a str) -> Result<Self, fault::FileFault> {
        let mut documents = Node::load_from_str(text).map_err(|error| {
            let place = place_at(text, error.marker().index(), 1);
            fault::FileFault::new(place, format!("not valid YAML: {}", error.info()))
        })?;
        if documents.len() > 1 {
            let place = place_at(text, documents[1].span.start.index(), 1);
            return Err(fault::FileFault::new(place, "more than one document"));
        }
        let root = documents.pop();
        Ok(Self { text, root })
    }

    /// The outermost node.
    pub fn root(&self) -> Option<&Node<'a>> {
        self.root.as_ref()
    }

    /// Bytes of a node, up to the end of its first line.
    pub fn place(&self, node: &Node<'_>) -> ops::Range<usize> {
        place_at(self.text, node.span.start.index(), node.span.len())
    }

    /// Text of a node, up to the end of its first line.
    pub fn text(&self, node: &Node<'_>) -> &'a str {
        &self.text[self.place(node)]
    }
}

/// Turns a place in characters into one in bytes that ends with its line.
fn place_at(text: &str, start: usize, length: usize) -> ops::Range<usize> {
    let byte_of = |index| {
        let found = text.char_indices().nth(index);
        found.map_or(text.len(), |(byte, _)| byte)
    };
    let from = byte_of(start);
    let to = byte_of(start.saturating_add(length));
    let line = text[from..].find('\n').map_or(text.len(), |at| from + at);
    from..to.min(line).max(from)
}

/// The text of a scalar that is text.
pub(crate) fn as_text<'n>(node: &'n Node<'_>) -> Option<&'n str> {
    node.data.as_str()
}

/// Entries of a mapping whose keys are text.
pub(crate) fn entries<'n, 'a>(
    node: &'n Node<'a>,
) -> impl Iterator<Item = (&'n str, &'n Node<'a>, &'n Node<'a>)> {
    let mapping = node.data.as_mapping();
    let entries = mapping.into_iter().flatten();
    entries.filter_map(|(key, value)| Some((as_text(key)?, key, value)))
}

/// The value under a key of a mapping.
pub(crate) fn get<'n, 'a>(node: &'n Node<'a>, name: &str) -> Option<&'n Node<'a>> {
    let found = entries(node).find(|(key, _, _)| *key == name);
    found.map(|(_, _, value)| value)
}

/// The elements of a list.
pub(crate) fn elements<'n, 'a>(node: &'n Node<'a>) -> &'n [Node<'a>] {
    node.data.as_vec().map_or(&[], Vec::as_slice)
}

/// A whole number.
pub(crate) fn as_whole(node: &Node<'_>) -> Option<u64> {
    u64::try_from(node.data.as_integer()?).ok()
}
