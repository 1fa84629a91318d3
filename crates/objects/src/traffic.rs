//! Counters of the calls to the platform.

use std::sync::atomic;

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Read of an object.
    Read,
    /// Conditional write of an object.
    Write,
    /// Removal of an object.
    Remove,
    /// Listing of objects.
    List,
    /// Long-polling watch of an object.
    Watch,
    /// Read of the host list.
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

    /// Returns the value of the metric label.
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

/// Counters of one kind of call.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Calls sent.
    pub calls: atomic::AtomicU64,
    /// Bytes sent: URIs, headers and bodies of requests.
    pub sent_bytes: atomic::AtomicU64,
    /// Bytes received: headers and bodies of responses.
    pub received_bytes: atomic::AtomicU64,
}

/// Counters by kind of call since the start of the process.
#[derive(Debug, Default)]
pub struct PlatformTraffic {
    counts: [CallCounts; CallKind::ALL.len()],
}

impl PlatformTraffic {
    /// Returns the counters of one kind of call.
    ///
    /// ```
    /// use std::sync::atomic::Ordering;
    /// use sardinepaddle_objects::traffic::{CallKind, PlatformTraffic};
    /// let traffic = PlatformTraffic::default();
    /// assert_eq!(traffic.counts(CallKind::Hosts).calls.load(Ordering::Relaxed), 0);
    /// ```
    pub fn counts(&self, kind: CallKind) -> &CallCounts {
        &self.counts[kind as usize]
    }

    pub(crate) fn add_sent(&self, kind: CallKind, bytes: usize) {
        let counts = self.counts(kind);
        counts.calls.fetch_add(1, atomic::Ordering::Relaxed);
        counts
            .sent_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, kind: CallKind, bytes: usize) {
        self.counts(kind)
            .received_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }
}

/// Returns the size of `headers` in HTTP/1.1, in bytes.
pub(crate) fn header_bytes(headers: &http::HeaderMap) -> usize {
    // ": " and the line end.
    const SEPARATOR_BYTES: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum()
}
