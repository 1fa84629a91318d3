//! Claims on non-idempotent calls, as a shard's owner holds them.

use std::collections;

use model::ids;
use model::outcome;
use model::peer;
use model::store;
use model::time;
use serde::{Deserialize, Serialize};

/// One claim as recorded in the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ClaimRecord {
    /// Request that holds the claim.
    pub request: ids::RequestId,
    /// When it was recorded, in milliseconds since 1970.
    pub at_ms: u64,
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// The holder may send, or has sent.
    Held,
    Answered(outcome::RecordedAnswer),
    Unknown,
}

/// Content of one shard's object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ShardObject {
    pub claims: collections::BTreeMap<ids::ClaimKey, ClaimRecord>,
}

/// Something to be written to a shard.
#[derive(Clone, Debug)]
pub(crate) struct ClaimTask {
    pub key: ids::ClaimKey,
    pub request: ids::RequestId,
    pub kind: TaskKind,
    pub since: time::MonoTime,
}

/// What a [`ClaimTask`] wants.
#[derive(Clone, Debug)]
pub(crate) enum TaskKind {
    /// Record a claim and tell the host that asked.
    Record { asker: ids::HostId },
    /// Write down how the call ended.
    Settle { settlement: peer::ClaimSettlement },
}

/// One shard at its owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardEntry {
    /// The object as last read or written here; `None` before the first read.
    pub known: Option<KnownShard>,
    pub tasks: Vec<ClaimTask>,
    /// The call in flight, if any.
    pub call: Option<ShardCall>,
}

/// A shard's object at a version.
#[derive(Clone, Debug)]
pub(crate) struct KnownShard {
    pub version: store::ObjectVersion,
    pub object: ShardObject,
}

/// A call to the object API for a shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardCall {
    pub call: store::CallId,
    /// What the object becomes if the write takes effect; `None` for a read.
    pub written: Option<ShardObject>,
}

/// All shards worked on here.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    pub shards: collections::BTreeMap<ids::ClaimShard, ShardEntry>,
    pub next_call: u64,
    /// When the object API last failed to answer, if it has not answered since.
    pub down_since: Option<time::MonoTime>,
    /// When it was last called while down.
    pub tried_at: time::MonoTime,
}
