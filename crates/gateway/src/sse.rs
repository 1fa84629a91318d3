//! Splits a stream of server-sent events without changing their bytes.

use bytes::Bytes;
use bytes::BytesMut;

/// A complete event, including its terminating empty line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEvent {
    /// Bytes of the event.
    pub bytes: Bytes,
    /// Numeric id of the event, if it has one.
    pub id: Option<u64>,
}

/// Splits a byte stream into complete events.
///
/// ```
/// let mut splitter = sardinepaddle_gateway::sse::EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().id, Some(1));
/// assert!(splitter.next_event().is_none());
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(ServerEvent { bytes, id })
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        // A terminator may start in the part already searched: "\r\n\r\n" is the longest.
        let start = self.searched.saturating_sub(3);
        for at in start..bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(at + 4);
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
