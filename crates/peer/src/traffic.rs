//! Traffic counters of connections between daemons.

use std::sync::atomic;

/// Counters of bytes, calls and connections since the start of the process.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes sent as TCP payload: handshakes, frames, calls and replies.
    pub sent_bytes: atomic::AtomicU64,
    /// Calls sent.
    pub sent_calls: atomic::AtomicU64,
    /// Bytes received as TCP payload.
    pub received_bytes: atomic::AtomicU64,
    /// Calls received.
    pub received_calls: atomic::AtomicU64,
    /// Attempts to open a connection to a peer.
    pub dials: atomic::AtomicU64,
    /// Messages dropped because a queue was full or a delivery failed.
    pub dropped: atomic::AtomicU64,
    /// Connections refused because their source address is not allowed.
    pub refused_sources: atomic::AtomicU64,
}

impl PeerTraffic {
    pub(crate) fn add(counter: &atomic::AtomicU64, count: usize) {
        counter.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
}
