//! Counters of the state machine's decisions.

use model::map;
use model::outcome;
use serde::{Deserialize, Serialize};

/// Counters since the start of the daemon.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NodeStats {
    /// Requests received, including refused ones.
    pub requests: u64,
    /// Requests whose whole answer was delivered.
    pub answered: u64,
    /// Requests answered with the recorded answer of an earlier call.
    pub replayed: u64,
    /// Requests refused without running, by reason.
    pub refused: map::HashMap<outcome::RefusalReason, u64>,
    /// Retryable requests that may have run and failed, by reason.
    pub failed: map::HashMap<outcome::FailureReason, u64>,
    /// Requests with an unknown outcome, by reason.
    pub unknown: map::HashMap<outcome::FailureReason, u64>,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts after the first one of their request.
    pub retries: u64,
    /// Answer chunks dropped because they were late, duplicated or belonged to another attempt.
    pub chunks_dropped: u64,
    /// Grants issued as a coordinator.
    pub grants_given: u64,
    /// Grants denied as a coordinator.
    pub grants_denied: u64,
    /// Claims recorded as the owner of a claim shard.
    pub claims_recorded: u64,
    /// Cancellations sent to engines.
    pub cancels: u64,
    /// Streams cancelled that had no reader or no live sender, or whose request had ended.
    pub reclaimed: u64,
    /// Messages sent to other daemons.
    pub peer_messages: u64,
    /// Calls to the object API.
    pub store_calls: u64,
}
