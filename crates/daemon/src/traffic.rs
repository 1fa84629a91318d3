//! Counts of control traffic: to peers, to the platform, and of reading engines' loads.

use std::sync;
use std::sync::atomic;

use objects::traffic as platform_traffic;
use peer::traffic;
use serde::Serialize;

/// Bytes of a request for an engine's load and of the reply's headers.
const LOAD_HEAD_BYTES: u64 = 220;

/// All counts of control traffic of one daemon.
#[derive(Debug)]
pub(crate) struct ControlTraffic {
    pub peers: sync::Arc<traffic::PeerTraffic>,
    pub platform: sync::Arc<platform_traffic::PlatformTraffic>,
    pub loads: LoadTraffic,
    pub refused: RefusedConnections,
}

/// Readings of engines' loads.
#[derive(Debug, Default)]
pub(crate) struct LoadTraffic {
    calls: atomic::AtomicU64,
    bytes: atomic::AtomicU64,
}

impl LoadTraffic {
    /// Counts one reading.
    pub fn add(&self, body_bytes: usize) {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        let bytes = LOAD_HEAD_BYTES + body_bytes as u64;
        self.bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
    }
}

/// Connections of callers and operators that were refused.
#[derive(Debug, Default)]
pub(crate) struct RefusedConnections {
    pub total_limit: atomic::AtomicU64,
    pub host_limit: atomic::AtomicU64,
    pub slow_headers: atomic::AtomicU64,
    pub admin_sources: atomic::AtomicU64,
}

/// A copy of the counts, for `/status`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ControlStatus {
    pub peer_sent_bytes: u64,
    pub peer_received_bytes: u64,
    pub peer_sent_calls: u64,
    pub peer_received_calls: u64,
    pub peer_dials: u64,
    pub peer_dropped: u64,
    pub platform: Vec<PlatformStatus>,
    pub load_calls: u64,
    pub load_bytes: u64,
}

/// Calls to the platform of one kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct PlatformStatus {
    pub kind: &'static str,
    pub calls: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

impl ControlTraffic {
    /// A copy of the counts.
    pub fn status(&self) -> ControlStatus {
        let kinds = platform_traffic::CallKind::ALL;
        ControlStatus {
            peer_sent_bytes: read(&self.peers.sent_bytes),
            peer_received_bytes: read(&self.peers.received_bytes),
            peer_sent_calls: read(&self.peers.sent_calls),
            peer_received_calls: read(&self.peers.received_calls),
            peer_dials: read(&self.peers.dials),
            peer_dropped: read(&self.peers.dropped),
            platform: kinds.map(|kind| self.platform_status(kind)).to_vec(),
            load_calls: read(&self.loads.calls),
            load_bytes: read(&self.loads.bytes),
        }
    }

    fn platform_status(&self, kind: platform_traffic::CallKind) -> PlatformStatus {
        let counts = self.platform.of(kind);
        PlatformStatus {
            kind: kind.name(),
            calls: read(&counts.calls),
            sent_bytes: read(&counts.sent_bytes),
            received_bytes: read(&counts.received_bytes),
        }
    }
}

/// The value of a counter.
pub(crate) fn read(counter: &atomic::AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}
