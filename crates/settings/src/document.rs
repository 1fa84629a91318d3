//! A YAML document whose nodes carry their source spans.

use std::ops;

use saphyr::LoadableYamlNode;

use crate::diagnostic;

/// A node with its source span.
pub(crate) type Node<'a> = saphyr::MarkedYaml<'a>;

/// A file with at most one YAML document.
pub(crate) struct MarkedDocument<'a> {
    text: &'a str,
    root: Option<Node<'a>>,
}

impl<'a> MarkedDocument<'a> {
    /// Parses a file. An empty file has no root.
    pub fn parse(text: &'a str) -> Result<Self, diagnostic::FileDiagnostic> {
        let mut documents = Node::load_from_str(text).map_err(|error| {
            let span = span_at(text, error.marker().index(), 1);
            diagnostic::FileDiagnostic::new(span, format!("not valid YAML: {}", error.info()))
        })?;
        if documents.len() > 1 {
            let span = span_at(text, documents[1].span.start.index(), 1);
            return Err(diagnostic::FileDiagnostic::new(
                span,
                "more than one document",
            ));
        }
        let root = documents.pop();
        Ok(Self { text, root })
    }

    /// Returns the root node; `None` if the file is empty.
    pub fn root(&self) -> Option<&Node<'a>> {
        self.root.as_ref()
    }

    /// Returns the byte range of a node, cut off at the end of its first line.
    pub fn span(&self, node: &Node<'_>) -> ops::Range<usize> {
        span_at(self.text, node.span.start.index(), node.span.len())
    }

    /// Returns the source text of a node, cut off at the end of its first line.
    pub fn text(&self, node: &Node<'_>) -> &'a str {
        &self.text[self.span(node)]
    }
}

/// Converts a span in characters into a byte range that ends with its first line at the latest.
fn span_at(text: &str, start: usize, length: usize) -> ops::Range<usize> {
    let byte_offset = |index| {
        let found = text.char_indices().nth(index);
        found.map_or(text.len(), |(byte, _)| byte)
    };
    let start_byte = byte_offset(start);
    let end_byte = byte_offset(start.saturating_add(length));
    let line_end = text[start_byte..]
        .find('\n')
        .map_or(text.len(), |length| start_byte + length);
    start_byte..end_byte.min(line_end).max(start_byte)
}

/// Returns the value of a string scalar.
pub(crate) fn as_text<'n>(node: &'n Node<'_>) -> Option<&'n str> {
    node.data.as_str()
}

/// Iterates over the entries of a mapping whose keys are strings, as key, key node and value.
/// A node that is not a mapping has none.
pub(crate) fn entries<'n, 'a>(
    node: &'n Node<'a>,
) -> impl Iterator<Item = (&'n str, &'n Node<'a>, &'n Node<'a>)> {
    let mapping = node.data.as_mapping();
    let entries = mapping.into_iter().flatten();
    entries.filter_map(|(key, value)| Some((as_text(key)?, key, value)))
}

/// Returns the value of a key of a mapping.
pub(crate) fn get<'n, 'a>(node: &'n Node<'a>, name: &str) -> Option<&'n Node<'a>> {
    let found = entries(node).find(|(key, _, _)| *key == name);
    found.map(|(_, _, value)| value)
}

/// Returns the elements of a list. A node that is not a list has none.
pub(crate) fn elements<'n, 'a>(node: &'n Node<'a>) -> &'n [Node<'a>] {
    node.data.as_vec().map_or(&[], Vec::as_slice)
}

/// Returns the value of an integer scalar that is not negative.
pub(crate) fn as_u64(node: &Node<'_>) -> Option<u64> {
    u64::try_from(node.data.as_integer()?).ok()
}
