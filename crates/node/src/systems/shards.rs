//! Storage of claims in the object API.
//!
//! A batch of claims is one conditional update of a shard's head. When the head grows large, its
//! claims are first copied to a segment and then replaced in the head by a reference to the
//! segment. A segment is named after the head's version, so its content is the same whoever
//! writes it. A writer that was paused at any step finds the head's version changed and starts
//! over.

use std::time::Duration;

use model::ids;
use model::peer;
use model::store;

use crate::state;
use crate::systems::claims;
use crate::tables::claim;
use crate::tables::member;

/// How long a claim is kept.
const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Age at which the outcome of an unsettled claim counts as unknown.
const MAX_HELD_MS: u64 = 15 * 60 * 1_000;
/// Size of a head above which its claims are moved to a segment, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Minimum interval between writes of one head. Bounds the write rate of all shards together.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// How long settlements are batched when no claim is queued.
const SETTLE_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Estimated size of a claim without its recorded body, in bytes.
const BYTES_PER_CLAIM: usize = 200;
/// Maximum number of segments of a shard; no new claim is recorded beyond it.
const MAX_SEGMENTS: usize = 256;

/// Starts the next object API call for a shard, if it has due tasks and no call in flight.
pub(crate) fn advance_shard(state: &mut state::NodeState, shard: ids::ClaimShard) {
    let down = state.claims.store_down_since.is_some();
    let Some(entry) = state.claims.shards.get(&shard) else {
        return;
    };
    let due = entry.due_at(MIN_WRITE_INTERVAL, SETTLE_BATCH_DELAY);
    let not_due = due.is_none_or(|due| state.now < due);
    if entry.call.is_some() || not_due || down {
        return;
    }
    let Some(cached) = &entry.cached_head else {
        read_head(state, shard);
        return;
    };
    if let Some(version) = entry.missing_segment() {
        let name = segment_name(shard, version);
        let body = store::StoreCall::Read { name };
        start_call(state, shard, body, claim::CallKind::ReadSegment(version));
        return;
    }
    if encoded_bytes(&cached.head.claims) > MAX_HEAD_BYTES {
        let cached = cached.clone();
        write_segment(state, shard, cached);
        return;
    }
    let cached = cached.clone();
    commit_tasks(state, shard, &cached);
}

/// Reads a shard's head.
pub(crate) fn read_head(state: &mut state::NodeState, shard: ids::ClaimShard) {
    let name = head_name(shard);
    start_call(
        state,
        shard,
        store::StoreCall::Read { name },
        claim::CallKind::ReadHead,
    );
}

fn head_name(shard: ids::ClaimShard) -> String {
    format!("claims/{}", shard.0)
}

fn segment_name(shard: ids::ClaimShard, version: store::ObjectVersion) -> String {
    format!("claims/{}/{}", shard.0, version.0)
}

fn start_call(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    body: store::StoreCall,
    kind: claim::CallKind,
) {
    let call = state.call_store(body);
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.call = Some(claim::ShardCall { call, kind });
    }
}

fn write_segment(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    cached: claim::VersionedHead,
) {
    let claims = cached.head.claims;
    let body = store::StoreCall::Write {
        name: segment_name(shard, cached.version),
        expected: store::ObjectVersion::ABSENT,
        value: encode(&claims),
    };
    start_call(
        state,
        shard,
        body,
        claim::CallKind::WriteSegment(cached.version, claims),
    );
}

fn write_head(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    expected: store::ObjectVersion,
    head: claim::ShardHead,
) {
    let body = store::StoreCall::Write {
        name: head_name(shard),
        expected,
        value: encode(&head),
    };
    start_call(state, shard, body, claim::CallKind::WriteHead(head));
}

/// Replies to the tasks that the shard as recorded decides, and writes the rest in one
/// conditional update.
fn commit_tasks(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    cached: &claim::VersionedHead,
) {
    let wall_ms = state.wall_ms();
    let mut head = cached.head.clone();
    head.claims
        .retain(|_, record| record.at_ms + RETENTION_MS > wall_ms);
    head.segments
        .retain(|segment| segment.newest_ms + RETENTION_MS > wall_ms);
    let Some(entry) = state.claims.shards.get_mut(&shard) else {
        return;
    };
    let tasks = std::mem::take(&mut entry.tasks);
    let mut unwritten = Vec::new();
    for task in tasks {
        let Some(entry) = state.claims.shards.get(&shard) else {
            return;
        };
        match apply_task(entry, cached, &mut head, &task, wall_ms) {
            TaskResult::NeedsWrite => unwritten.push(task),
            TaskResult::Done => claims::confirm_settlement(state, &task),
            TaskResult::Verdict(verdict) => claims::reply_to_claim(state, &task, verdict),
            TaskResult::Taken(record) => {
                let verdict = check_holder(state, &record);
                claims::reply_to_claim(state, &task, verdict);
            }
        }
    }
    let changed = !unwritten.is_empty();
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.tasks = unwritten;
    }
    if changed {
        write_head(state, shard, cached.version, head);
    }
}

/// Returns the verdict on a claim that another request holds: unknown if its holder can no longer
/// settle it.
fn check_holder(state: &state::NodeState, record: &claim::ClaimRecord) -> peer::ClaimVerdict {
    let too_old = record.at_ms + MAX_HELD_MS < state.wall_ms();
    let holder = record.request.node;
    let holder_gone = holder != state.incarnation
        && matches!(
            state.members.incarnation_state(holder),
            member::IncarnationState::Replaced | member::IncarnationState::DeadSince(_)
        );
    if too_old || holder_gone {
        peer::ClaimVerdict::Unknown
    } else {
        peer::ClaimVerdict::Taken
    }
}

/// Result of applying a task to a shard.
enum TaskResult {
    /// The shard must be written.
    NeedsWrite,
    /// Nothing is left to do.
    Done,
    /// The shard as recorded decides the reply.
    Verdict(peer::ClaimVerdict),
    /// Another request holds the claim.
    Taken(claim::ClaimRecord),
}

/// Applies a task to `head`, the next head of a shard whose cached head is `cached`.
fn apply_task(
    entry: &claim::ShardEntry,
    cached: &claim::VersionedHead,
    head: &mut claim::ShardHead,
    task: &claim::ClaimTask,
    wall_ms: u64,
) -> TaskResult {
    match &task.kind {
        claim::TaskKind::Record { digest, .. } => {
            let record = claim::ClaimRecord {
                request: task.request,
                digest: *digest,
                at_ms: wall_ms,
                state: claim::ClaimState::Held,
            };
            apply_record(entry, cached, head, &task.key, record)
        }
        claim::TaskKind::Settle { settlement, .. } => {
            let result = apply_settle(entry, head, task, settlement);
            let unsettled = entry
                .find_claim(&cached.head, &task.key)
                .is_some_and(|record| {
                    record.request == task.request && record.state == claim::ClaimState::Held
                });
            // A settlement by another task of this batch is confirmed only once it is written.
            if unsettled {
                TaskResult::NeedsWrite
            } else {
                result
            }
        }
    }
}

fn apply_record(
    entry: &claim::ShardEntry,
    cached: &claim::VersionedHead,
    head: &mut claim::ShardHead,
    key: &ids::ClaimKey,
    new_record: claim::ClaimRecord,
) -> TaskResult {
    let found = entry.find_claim(head, key);
    if let Some(record) = found.filter(|record| record.state != claim::ClaimState::Released) {
        if record.request == new_record.request && record.state == claim::ClaimState::Held {
            let committed = entry.find_claim(&cached.head, key) == Some(record);
            return match committed {
                true => TaskResult::Verdict(peer::ClaimVerdict::Recorded),
                false => TaskResult::NeedsWrite,
            };
        }
        return check_repeat(record, new_record.digest);
    }
    if head.segments.len() >= MAX_SEGMENTS {
        return TaskResult::Verdict(peer::ClaimVerdict::Full);
    }
    head.claims.insert(key.clone(), new_record);
    TaskResult::NeedsWrite
}

/// Returns the reply to a call whose key an earlier call has claimed.
fn check_repeat(record: &claim::ClaimRecord, digest: u64) -> TaskResult {
    if record.digest != digest {
        return TaskResult::Verdict(peer::ClaimVerdict::Mismatch);
    }
    match &record.state {
        claim::ClaimState::Answered(answer) => {
            TaskResult::Verdict(peer::ClaimVerdict::Answered(answer.clone()))
        }
        claim::ClaimState::Unknown => TaskResult::Verdict(peer::ClaimVerdict::Unknown),
        claim::ClaimState::Held | claim::ClaimState::Released => TaskResult::Taken(record.clone()),
    }
}

fn apply_settle(
    entry: &claim::ShardEntry,
    head: &mut claim::ShardHead,
    task: &claim::ClaimTask,
    settlement: &peer::ClaimSettlement,
) -> TaskResult {
    let Some(record) = entry.find_claim(head, &task.key) else {
        return TaskResult::Done;
    };
    if record.request != task.request || record.state != claim::ClaimState::Held {
        return TaskResult::Done;
    }
    let mut record = record.clone();
    record.state = match settlement {
        peer::ClaimSettlement::Answered(answer) => claim::ClaimState::Answered(answer.clone()),
        peer::ClaimSettlement::Unknown => claim::ClaimState::Unknown,
        peer::ClaimSettlement::NotSent => claim::ClaimState::Released,
    };
    let released = record.state == claim::ClaimState::Released;
    if released && entry.find_in_segments(head, &task.key).is_none() {
        head.claims.remove(&task.key);
    } else {
        head.claims.insert(task.key.clone(), record);
    }
    TaskResult::NeedsWrite
}

fn encoded_bytes(claims: &claim::ClaimMap) -> usize {
    let bodies = claims.values().map(|record| match &record.state {
        claim::ClaimState::Answered(answer) => answer.body.as_ref().map_or(0, String::len),
        _ => 0,
    });
    claims.len() * BYTES_PER_CLAIM + bodies.sum::<usize>()
}

/// Handles the object API's reply to a call for a shard.
pub(crate) fn on_store_reply(
    state: &mut state::NodeState,
    call: store::CallId,
    reply: store::StoreReply,
) {
    claims::record_store_reply(state, &reply);
    let found = state.claims.shards.iter_mut().find_map(|(shard, entry)| {
        let matches = entry
            .call
            .as_ref()
            .is_some_and(|pending_call| pending_call.call == call);
        matches.then(|| (*shard, entry.call.take()))
    });
    let Some((shard, Some(pending_call))) = found else {
        return;
    };
    match pending_call.kind {
        claim::CallKind::ReadHead => on_head_read(state, shard, reply),
        claim::CallKind::WriteHead(head) => on_head_written(state, shard, head, &reply),
        claim::CallKind::ReadSegment(version) => on_segment_read(state, shard, version, reply),
        claim::CallKind::WriteSegment(version, claims) => {
            on_segment_written(state, shard, version, claims, &reply);
        }
    }
    claims::expire_tasks(state, shard);
    advance_shard(state, shard);
}

fn on_head_read(state: &mut state::NodeState, shard: ids::ClaimShard, reply: store::StoreReply) {
    let cached = match reply {
        store::StoreReply::Found { version, value } => match serde_json::from_str(&value) {
            Ok(head) => Some(claim::VersionedHead { version, head }),
            Err(_) => return mark_unreadable(state),
        },
        store::StoreReply::Absent => Some(claim::VersionedHead {
            version: store::ObjectVersion::ABSENT,
            head: claim::ShardHead::default(),
        }),
        _ => None,
    };
    set_cached_head(state, shard, cached);
}

fn on_head_written(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    head: claim::ShardHead,
    reply: &store::StoreReply,
) {
    let store::StoreReply::Written { version } = reply else {
        set_cached_head(state, shard, None);
        return;
    };
    remove_dropped_segments(state, shard, &head);
    let now = state.now;
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.last_write_at = now;
    }
    set_cached_head(
        state,
        shard,
        Some(claim::VersionedHead {
            version: *version,
            head,
        }),
    );
}

/// Removes segments that the new head no longer references. They are never read again.
fn remove_dropped_segments(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    head: &claim::ShardHead,
) {
    let Some(cached) = state
        .claims
        .shards
        .get(&shard)
        .and_then(|entry| entry.cached_head.clone())
    else {
        return;
    };
    let dropped = cached
        .head
        .segments
        .iter()
        .filter(|segment| !head.segments.contains(segment));
    for segment in dropped {
        let name = segment_name(shard, segment.version);
        // The reply is ignored: a segment left behind only takes up space.
        state.call_store(store::StoreCall::Remove { name });
    }
}

fn on_segment_read(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    version: store::ObjectVersion,
    reply: store::StoreReply,
) {
    match reply {
        store::StoreReply::Found { value, .. } => match serde_json::from_str(&value) {
            Ok(claims) => cache_segment(state, shard, version, claims),
            Err(_) => mark_unreadable(state),
        },
        // Another owner has changed the head and then removed the segment.
        store::StoreReply::Absent => {
            set_cached_head(state, shard, None);
            mark_unreadable(state);
        }
        _ => {}
    }
}

fn on_segment_written(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    version: store::ObjectVersion,
    claims: claim::ClaimMap,
    reply: &store::StoreReply,
) {
    // On a conflict the segment already exists, with the same content.
    let exists = matches!(
        reply,
        store::StoreReply::Written { .. } | store::StoreReply::Conflict
    );
    let cached = state
        .claims
        .shards
        .get(&shard)
        .and_then(|entry| entry.cached_head.clone());
    let Some(cached) = cached.filter(|cached| exists && cached.version == version) else {
        set_cached_head(state, shard, None);
        return;
    };
    let newest_ms = claims
        .values()
        .map(|record| record.at_ms)
        .max()
        .unwrap_or(0);
    let mut segments = cached.head.segments;
    segments.push(claim::SegmentRef { version, newest_ms });
    cache_segment(state, shard, version, claims);
    let head = claim::ShardHead {
        claims: claim::ClaimMap::default(),
        segments,
    };
    write_head(state, shard, version, head);
}

fn cache_segment(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    version: store::ObjectVersion,
    claims: claim::ClaimMap,
) {
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.segments.insert(version, claims);
    }
}

fn set_cached_head(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    cached: Option<claim::VersionedHead>,
) {
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.set_cached_head(cached);
    }
}

/// Treats an unreadable object as an outage of the object API, since nothing can be recorded in
/// it.
fn mark_unreadable(state: &mut state::NodeState) {
    claims::record_store_reply(state, &store::StoreReply::Lost);
}

fn encode<T: serde::Serialize>(value: &T) -> String {
    // Maps with string keys and plain records can always be serialized.
    serde_json::to_string(value).expect("claims encode as JSON")
}
