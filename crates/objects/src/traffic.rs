//! Counts of what goes to the platform.

use std::sync::atomic;

/// Kinds of calls to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reading an object.
    Read,
    /// A conditional write of an object.
    Write,
    /// Removing an object.
    Remove,
    /// Listing objects.
    List,
    /// A waiting watch.
    Watch,
    /// Reading the host list.
    Hosts,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Read,
        Self::Write,
        Self::Remove,
        Self::List,
        Self::Watch,
        Self::Hosts,
    ];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Remove => "remove",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Hosts => "hosts",
        }
    }
}

/// Calls and bytes of one kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Calls made.
    pub calls: atomic::AtomicU64,
    /// Bytes sent: request lines, headers and bodies.
    pub sent_bytes: atomic::AtomicU64,
    /// Bytes received: headers and bodies of replies.
    pub received_bytes: atomic::AtomicU64,
}

/// Calls and bytes by kind since the start.
#[derive(Debug, Default)]
pub struct PlatformTraffic {
    counts: [CallCounts; CallKind::ALL.len()],
}

impl PlatformTraffic {
    /// Counts of one kind.
    ///
    /// ```
    /// use std::sync::atomic::Ordering;
    /// use sardinepaddle_objects::traffic::{CallKind, PlatformTraffic};
    /// let traffic = PlatformTraffic::default();
    /// assert_eq!(traffic.of(CallKind::Hosts).calls.load(Ordering::Relaxed), 0);
    /// ```
    pub fn of(&self, kind: CallKind) -> &CallCounts {
        &self.counts[kind as usize]
    }

    pub(crate) fn add_sent(&self, kind: CallKind, bytes: usize) {
        let counts = self.of(kind);
        counts.calls.fetch_add(1, atomic::Ordering::Relaxed);
        counts
            .sent_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, kind: CallKind, bytes: usize) {
        self.of(kind)
            .received_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }
}

/// Bytes of headers as HTTP/1.1 writes them.
pub(crate) fn header_bytes(headers: &http::HeaderMap) -> usize {
    const SEPARATOR_BYTES: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum()
}
