//! Counts of what the state machine decided.

use model::map;
use model::outcome;
use serde::{Deserialize, Serialize};

/// Counts since the start of the daemon.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NodeStats {
    /// Requests taken in.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests answered from a recorded claim.
    pub replayed: u64,
    /// Requests refused without running, by reason.
    pub refused: map::HashMap<outcome::RefusalReason, u64>,
    /// Requests that ran and failed, by reason.
    pub failed: map::HashMap<outcome::FailureReason, u64>,
    /// Requests with an unknown outcome, by reason.
    pub unknown: map::HashMap<outcome::FailureReason, u64>,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts started after the first of their request.
    pub retries: u64,
    /// Late, doubled or crossed pieces of answers that were dropped.
    pub chunks_dropped: u64,
    /// Grants given as a keeper.
    pub grants_given: u64,
    /// Grants denied as a keeper.
    pub grants_denied: u64,
    /// Claims recorded as a shard's owner.
    pub claims_recorded: u64,
    /// Cancels sent to engines.
    pub cancels: u64,
    /// Streams of dead daemons cancelled.
    pub reclaimed: u64,
    /// Messages sent to other daemons.
    pub peer_messages: u64,
    /// Calls to the object API.
    pub store_calls: u64,
}
