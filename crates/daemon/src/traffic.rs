//! Counters of control traffic: with peers, with the platform, and of load queries to engines.

use std::sync;
use std::sync::atomic;

use objects::traffic as platform_traffic;
use peer::traffic;
use serde::Serialize;

/// Bytes of a load query to an engine plus those of the response headers.
const LOAD_HEADER_BYTES: u64 = 220;

/// Counters of the control traffic and of the refused connections of one daemon.
#[derive(Debug)]
pub(crate) struct ControlTraffic {
    pub peers: sync::Arc<traffic::PeerTraffic>,
    pub platform: sync::Arc<platform_traffic::PlatformTraffic>,
    pub loads: LoadTraffic,
    pub refused: RefusedConnections,
}

/// Load queries to engines.
#[derive(Debug, Default)]
pub(crate) struct LoadTraffic {
    calls: atomic::AtomicU64,
    bytes: atomic::AtomicU64,
}

impl LoadTraffic {
    /// Counts one query.
    pub fn add(&self, body_bytes: usize) {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        let bytes = LOAD_HEADER_BYTES + body_bytes as u64;
        self.bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
    }
}

/// Refused client connections, and calls refused because their source is no operator network.
#[derive(Debug, Default)]
pub(crate) struct RefusedConnections {
    pub total_limit: atomic::AtomicU64,
    pub address_limit: atomic::AtomicU64,
    pub slow_headers: atomic::AtomicU64,
    pub admin_sources: atomic::AtomicU64,
}

/// Snapshot of the traffic counters, for `/status` and the metrics.
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

/// Platform calls of one kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct PlatformStatus {
    pub kind: &'static str,
    pub calls: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

impl ControlTraffic {
    /// Returns a snapshot of the traffic counters.
    pub fn status(&self) -> ControlStatus {
        let kinds = platform_traffic::CallKind::ALL;
        ControlStatus {
            peer_sent_bytes: read_counter(&self.peers.sent_bytes),
            peer_received_bytes: read_counter(&self.peers.received_bytes),
            peer_sent_calls: read_counter(&self.peers.sent_calls),
            peer_received_calls: read_counter(&self.peers.received_calls),
            peer_dials: read_counter(&self.peers.dials),
            peer_dropped: read_counter(&self.peers.dropped),
            platform: kinds.map(|kind| self.platform_status(kind)).to_vec(),
            load_calls: read_counter(&self.loads.calls),
            load_bytes: read_counter(&self.loads.bytes),
        }
    }

    fn platform_status(&self, kind: platform_traffic::CallKind) -> PlatformStatus {
        let counts = self.platform.counts(kind);
        PlatformStatus {
            kind: kind.name(),
            calls: read_counter(&counts.calls),
            sent_bytes: read_counter(&counts.sent_bytes),
            received_bytes: read_counter(&counts.received_bytes),
        }
    }
}

/// Returns the value of a counter.
pub(crate) fn read_counter(counter: &atomic::AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}
