//! Claims on non-idempotent calls, as stored by the owner of a claim shard.
//!
//! A shard consists of one small object, the head, and immutable objects with older claims, the
//! segments. The head lists its segments. Only the head is ever updated, always by conditional
//! update, so all claims of a shard are ordered by one object.

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
    /// Digest of the call's method, path and body.
    #[serde(default)]
    pub digest: u64,
    /// Time of recording, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// The holding request may send the call or has sent it.
    Held,
    /// The call was answered.
    Answered(outcome::RecordedAnswer),
    /// The call may have run; its outcome is unknown.
    Unknown,
    /// The holding request ended without sending; the key can be claimed again.
    Released,
}

/// Claims by key.
pub(crate) type ClaimMap = collections::BTreeMap<ids::ClaimKey, ClaimRecord>;

/// Head object of a shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ShardHead {
    /// Newest claims. They take precedence over those in the segments.
    pub claims: ClaimMap,
    /// Older claims, oldest segment first.
    #[serde(default)]
    pub segments: Vec<SegmentRef>,
}

/// Reference to a segment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SegmentRef {
    /// Version of the head from which its claims were moved. Determines its content.
    pub version: store::ObjectVersion,
    /// Time at which its newest claim was recorded, in milliseconds since the Unix epoch.
    pub newest_ms: u64,
}

/// A pending write to a shard.
#[derive(Clone, Debug)]
pub(crate) struct ClaimTask {
    pub key: ids::ClaimKey,
    pub request: ids::RequestId,
    pub kind: TaskKind,
    /// Time at which this daemon received the task.
    pub queued_at: time::MonoTime,
}

/// Kind of a [`ClaimTask`].
#[derive(Clone, Debug)]
pub(crate) enum TaskKind {
    /// Records a claim and replies to the host that requested it.
    Record { requester: ids::HostId, digest: u64 },
    /// Records how the call ended and confirms it to the host that reported it.
    Settle {
        reporter: ids::HostId,
        settlement: peer::ClaimSettlement,
    },
}

/// State of one shard at its owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardEntry {
    /// Head as last read or written here; `None` if it must be read first.
    pub cached_head: Option<VersionedHead>,
    /// Segments read so far. Segments are immutable.
    pub segments: collections::BTreeMap<store::ObjectVersion, ClaimMap>,
    pub tasks: Vec<ClaimTask>,
    /// Object API call in flight, if any.
    pub call: Option<ShardCall>,
    /// Time of the last write of the head by this daemon.
    pub last_write_at: time::MonoTime,
}

impl ShardEntry {
    /// Returns when the queued tasks are to be written: claims `write_interval` after the last
    /// write, settlements without claims not before the oldest is `settle_delay` old.
    pub fn due_at(
        &self,
        write_interval: Duration,
        settle_delay: Duration,
    ) -> Option<time::MonoTime> {
        let next_write_at = self.last_write_at + write_interval;
        let oldest = self.tasks.iter().map(|task| task.queued_at).min()?;
        let has_claim = self
            .tasks
            .iter()
            .any(|task| matches!(task.kind, TaskKind::Record { .. }));
        Some(if has_claim {
            next_write_at
        } else {
            next_write_at.max(oldest + settle_delay)
        })
    }

    /// Returns the record of a key from `head` or the segments that it lists.
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

    /// Returns the record of a key from the segments that `head` lists, newest segment first.
    pub fn find_in_segments(&self, head: &ShardHead, key: &ids::ClaimKey) -> Option<&ClaimRecord> {
        let newest_first = head.segments.iter().rev();
        let mut segments = newest_first.filter_map(|segment| self.segments.get(&segment.version));
        segments.find_map(|claims| claims.get(key))
    }

    /// Returns a segment that the head lists but that has not been read.
    pub fn missing_segment(&self) -> Option<store::ObjectVersion> {
        let head = &self.cached_head.as_ref()?.head;
        let missing = head
            .segments
            .iter()
            .find(|segment| !self.segments.contains_key(&segment.version));
        missing.map(|segment| segment.version)
    }

    /// Replaces the cached head and drops cached segments that it no longer lists.
    pub fn set_cached_head(&mut self, head: Option<VersionedHead>) {
        if let Some(current) = &head {
            let listed = &current.head.segments;
            self.segments
                .retain(|version, _| listed.iter().any(|segment| segment.version == *version));
        }
        self.cached_head = head;
    }
}

/// Head of a shard with its object version.
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
    /// Head that becomes current if the write succeeds.
    WriteHead(ShardHead),
    ReadSegment(store::ObjectVersion),
    /// Version of the head from which claims are moved, and those claims.
    WriteSegment(store::ObjectVersion, ClaimMap),
}

/// Outcome of a claimed call of this daemon that the shard's owner has not confirmed.
#[derive(Clone, Debug)]
pub(crate) struct PendingSettlement {
    pub key: ids::ClaimKey,
    pub settlement: peer::ClaimSettlement,
    pub created_at: time::MonoTime,
    /// Time at which it is next sent to the owner of the shard.
    pub next_send_at: time::MonoTime,
}

/// Claim shards and settlements that this daemon works on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    /// Settlements of own requests that no shard owner has confirmed.
    pub pending_settlements: collections::BTreeMap<ids::RequestId, PendingSettlement>,
    /// Own requests that ended without being sent, with the time at which they ended.
    pub unsent: collections::BTreeMap<ids::RequestId, time::MonoTime>,
    pub shards: collections::BTreeMap<ids::ClaimShard, ShardEntry>,
    /// Number of the last call to the object API.
    pub last_call_number: u64,
    /// Time since which the object API has been unusable: calls get no reply, or an object is
    /// unreadable. `None` while it is usable.
    pub store_down_since: Option<time::MonoTime>,
    /// Time of the last failed or repeated call to the object API while it is down.
    pub store_tried_at: time::MonoTime,
}
