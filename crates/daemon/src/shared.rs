//! State that the driver shares with the listeners.

use std::sync;
use std::sync::atomic;

use model::config;
use model::ids;
use model::map;
use model::outcome;
use model::peer;
use node::machine;
use node::stats;
use serde::Serialize;

use crate::traffic;

/// Snapshot of the state machine's public state, refreshed by the driver.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct NodeStatus {
    pub host: String,
    pub incarnation: ids::NodeIncarnation,
    pub ready: bool,
    pub version: config::ConfigVersion,
    pub in_flight: usize,
    pub members: Vec<peer::MemberUpdate>,
    pub kept: Vec<machine::CoordinatedEndpoint>,
    pub stats: stats::NodeStats,
    /// Time since the configuration of `version` came into force on this daemon, in milliseconds.
    pub config_age_ms: u64,
    pub control: traffic::ControlStatus,
}

/// State shared between the driver and the listeners.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    pub ready: atomic::AtomicBool,
    pub status: sync::Mutex<NodeStatus>,
    pub config: sync::RwLock<Option<sync::Arc<config::FleetConfig>>>,
    pub ids: RequestIdAllocator,
    /// Memory reserved for request bodies, in bytes.
    pub body_bytes: atomic::AtomicUsize,
}

impl SharedState {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<sync::Arc<config::FleetConfig>> {
        self.config
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Returns a copy of the last status.
    pub fn status(&self) -> NodeStatus {
        self.status
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }
}

/// Allocates request ids: the incarnation of the daemon and a counter.
#[derive(Debug, Default)]
pub(crate) struct RequestIdAllocator {
    pub incarnation: atomic::AtomicU64,
    next: atomic::AtomicU64,
}

impl RequestIdAllocator {
    pub fn allocate(&self) -> ids::RequestId {
        let node = ids::NodeIncarnation(self.incarnation.load(atomic::Ordering::Relaxed));
        let count = self.next.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        ids::RequestId { node, count }
    }
}

/// Returns the counts by reason, with the reason as text.
pub(crate) fn counts_by_reason<R: ToString>(counts: &map::HashMap<R, u64>) -> Vec<(String, u64)> {
    counts
        .iter()
        .map(|(reason, count)| (reason.to_string(), *count))
        .collect()
}

/// Returns the name of an outcome in responses and metrics.
pub(crate) fn outcome_name(outcome: &outcome::RequestOutcome) -> &'static str {
    match outcome {
        outcome::RequestOutcome::Answered | outcome::RequestOutcome::Replayed { .. } => "answered",
        outcome::RequestOutcome::NotRun { .. } => "not_run",
        outcome::RequestOutcome::Failed { .. } => "failed",
        outcome::RequestOutcome::Unknown { .. } => "unknown",
    }
}

/// Returns the reason why a request was not answered, or `None` if it was.
pub(crate) fn reason_name(outcome: &outcome::RequestOutcome) -> Option<String> {
    match outcome {
        outcome::RequestOutcome::Answered | outcome::RequestOutcome::Replayed { .. } => None,
        outcome::RequestOutcome::NotRun { reason, .. } => Some(reason.to_string()),
        outcome::RequestOutcome::Failed { reason, .. }
        | outcome::RequestOutcome::Unknown { reason, .. } => Some(reason.to_string()),
    }
}
