//! Counts of what goes between daemons.

use std::sync::atomic;

/// Bytes and calls since the start.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes of calls sent, as JSON text.
    pub sent_bytes: atomic::AtomicU64,
    /// Calls sent.
    pub sent_calls: atomic::AtomicU64,
    /// Bytes of calls received, as JSON text.
    pub received_bytes: atomic::AtomicU64,
    /// Calls received.
    pub received_calls: atomic::AtomicU64,
    /// Messages dropped because a queue was full or a peer did not answer.
    pub dropped: atomic::AtomicU64,
}

impl PeerTraffic {
    pub(crate) fn add(counter: &atomic::AtomicU64, count: usize) {
        counter.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
}
