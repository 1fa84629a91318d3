//! Claims on non-idempotent calls, as a shard's owner holds them.
//!
//! A shard is one small object, the head, and objects of older claims, the segments. The head
//! names its segments. Only the head is ever changed, always by conditional update, so that
//! one object orders all claims of the shard.

use std::collections;
use std::time::Duration;

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
    /// Digest of what the call asks.
    #[serde(default)]
    pub digest: u64,
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
    /// The holder ended without sending; the key is free.
    Released,
}

/// Claims by key.
pub(crate) type ClaimMap = collections::BTreeMap<ids::ClaimKey, ClaimRecord>;

/// The head of a shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ShardHead {
    /// Newest claims. They go before those of the segments.
    pub claims: ClaimMap,
    /// Older claims, oldest segment first.
    #[serde(default)]
    pub segments: Vec<SegmentRef>,
}

/// Names a segment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SegmentRef {
    /// Version of the head from which its claims were moved. Fixes its content.
    pub version: store::ObjectVersion,
    /// When its newest claim was recorded, in milliseconds since 1970.
    pub newest_ms: u64,
}

/// Something to be written to a shard.
#[derive(Clone, Debug)]
pub(crate) struct ClaimTask {
    pub key: ids::ClaimKey,
    pub request: ids::RequestId,
    pub kind: TaskKind,
    pub queued_at: time::MonoTime,
}

/// What a [`ClaimTask`] wants.
#[derive(Clone, Debug)]
pub(crate) enum TaskKind {
    /// Record a claim and tell the host that asked.
    Record { requester: ids::HostId, digest: u64 },
    /// Write down how the call ended and tell the host that said so.
    Settle {
        reporter: ids::HostId,
        settlement: peer::ClaimSettlement,
    },
}

/// One shard at its owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardEntry {
    /// The head as last read or written here; `None` before the first read.
    pub cached_head: Option<VersionedHead>,
    /// Segments read so far. They never change.
    pub segments: collections::BTreeMap<store::ObjectVersion, ClaimMap>,
    pub tasks: Vec<ClaimTask>,
    /// The call in flight, if any.
    pub call: Option<ShardCall>,
    /// When the head was last written here.
    pub last_write_at: time::MonoTime,
}

impl ShardEntry {
    /// When the waiting tasks are to be written: claims soon after the last write, settlements
    /// alone only after they have gathered for a while.
    pub fn due_at(&self, pause: Duration, gather: Duration) -> Option<time::MonoTime> {
        let paced = self.last_write_at + pause;
        let oldest = self.tasks.iter().map(|task| task.queued_at).min()?;
        let records = self
            .tasks
            .iter()
            .any(|task| matches!(task.kind, TaskKind::Record { .. }));
        Some(if records {
            paced
        } else {
            paced.max(oldest + gather)
        })
    }

    /// The record of a key in `head` or the segments that it names.
    pub fn find_claim<'a>(
        &'a self,
        head: &'a ShardHead,
        key: &ids::ClaimKey,
    ) -> Option<&'a ClaimRecord> {
        if let Some(record) = head.claims.get(key) {
            return Some(record);
        }
        self.find_in_segments(head, key)
    }

    /// The record of a key in the segments that `head` names, the newest first.
    pub fn find_in_segments(&self, head: &ShardHead, key: &ids::ClaimKey) -> Option<&ClaimRecord> {
        let newest_first = head.segments.iter().rev();
        let mut claims = newest_first.filter_map(|segment| self.segments.get(&segment.version));
        claims.find_map(|claims| claims.get(key))
    }

    /// A segment that the head names and that has not been read.
    pub fn missing_segment(&self) -> Option<store::ObjectVersion> {
        let head = &self.cached_head.as_ref()?.head;
        let unread = head
            .segments
            .iter()
            .find(|segment| !self.segments.contains_key(&segment.version));
        unread.map(|segment| segment.version)
    }

    /// Takes a head in and forgets segments that it does not name any more.
    pub fn set_cached_head(&mut self, known: Option<VersionedHead>) {
        if let Some(known) = &known {
            let named = &known.head.segments;
            self.segments
                .retain(|version, _| named.iter().any(|segment| segment.version == *version));
        }
        self.cached_head = known;
    }
}

/// A shard's head at a version.
#[derive(Clone, Debug)]
pub(crate) struct VersionedHead {
    pub version: store::ObjectVersion,
    pub head: ShardHead,
}

/// A call to the object API for a shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardCall {
    pub call: store::CallId,
    pub kind: CallKind,
}

/// What a [`ShardCall`] does.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    ReadHead,
    /// The head becomes this if the write takes effect.
    WriteHead(ShardHead),
    ReadSegment(store::ObjectVersion),
    /// These claims are moved out of the head of this version.
    WriteSegment(store::ObjectVersion, ClaimMap),
}

/// How a claimed call of this daemon ended, until its shard's owner has recorded it.
#[derive(Clone, Debug)]
pub(crate) struct PendingSettlement {
    pub key: ids::ClaimKey,
    pub settlement: peer::ClaimSettlement,
    pub created_at: time::MonoTime,
    pub next_send_at: time::MonoTime,
}

/// All shards worked on here.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    /// Settlements of own requests that no owner has confirmed.
    pub pending_settlements: collections::BTreeMap<ids::RequestId, PendingSettlement>,
    /// Own requests that ended unsent, and when.
    pub unsent: collections::BTreeMap<ids::RequestId, time::MonoTime>,
    pub shards: collections::BTreeMap<ids::ClaimShard, ShardEntry>,
    pub last_call_number: u64,
    /// When the object API last failed to answer, if it has not answered since.
    pub store_down_since: Option<time::MonoTime>,
    /// When it was last called while down.
    pub store_tried_at: time::MonoTime,
}
