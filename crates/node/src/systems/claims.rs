//! At most once: a call with an idempotency key is sent only after its claim is recorded.
//!
//! Claims are divided into shards, each one object in the object API. A shard's owner batches
//! what its peers ask into one conditional update at a time. Ownership only saves conflicts:
//! two owners at once are harmless, since the conditional update lets one of them win and the
//! other reads again. A lost reply is settled by reading the shard back.

use std::time::Duration;

use model::ids;
use model::outcome;
use model::peer;
use model::store;

use crate::state;
use crate::systems;
use crate::systems::admission;
use crate::tables::claim;
use crate::tables::member;
use crate::tables::request;

/// Time that a shard's owner has to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);
/// Owners asked before a call is refused.
const MOST_OWNERS: usize = 2;
/// Time between two looks at a claim that another request holds.
const TAKEN_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an unrecorded claim waits for the object API.
const RECORD_SPAN: Duration = Duration::from_millis(500);
/// Time for which a settlement waits for the object API.
const SETTLE_SPAN: Duration = Duration::from_secs(300);
/// Time between two tries of an object API that does not answer.
const DOWN_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a claim is remembered.
const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Age at which a claim that was not settled has an unknown outcome.
const HELD_LIMIT_MS: u64 = 15 * 60 * 1_000;
/// Most tasks that wait for one shard.
const MOST_TASKS: usize = 10_000;
/// Largest shard object, in bytes.
const SHARD_BYTES: usize = 900_000;
/// Bytes of a shard object per claim, without its recorded body.
const CLAIM_BYTES: usize = 200;

/// Asks the owner of a key's shard to record the claim of a request.
pub(crate) fn ask(state: &mut state::NodeState, id: ids::RequestId, tries: usize) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let Some(key) = entry.head.claim().cloned() else {
        return;
    };
    let ranked = owners(state, &key);
    let Some(owner) = ranked.get(tries).cloned().filter(|_| tries < MOST_OWNERS) else {
        let retry = Some(admission::RETRY_LATER);
        systems::retry::give_up(state, id, outcome::RefusalReason::StoreUnavailable, retry);
        return;
    };
    let asked_at = state.now;
    if let Some(entry) = state.requests.get_mut(&id) {
        entry.phase = request::RequestPhase::Claiming {
            owner: owner.clone(),
            asked_at,
            tries,
        };
    }
    state.send(&owner, peer::PeerMessage::ClaimAsk { key, request: id });
}

fn owners(state: &state::NodeState, key: &ids::ClaimKey) -> Vec<ids::HostId> {
    let shard = key.shard(state.settings.claim_shards);
    let mut ranked = state.rank(None, &format!("claims-{}", shard.0));
    if ranked.is_empty() {
        ranked.push(state.host().clone());
    }
    ranked
}

/// Tells the owner of a key's shard how the call ended.
pub(crate) fn settle(
    state: &mut state::NodeState,
    key: ids::ClaimKey,
    id: ids::RequestId,
    settlement: peer::ClaimSettlement,
) {
    let Some(owner) = owners(state, &key).first().cloned() else {
        return;
    };
    state.send(
        &owner,
        peer::PeerMessage::ClaimSettle {
            key,
            request: id,
            settlement,
        },
    );
}

/// Takes an owner's verdict.
pub(crate) fn on_verdict(
    state: &mut state::NodeState,
    from: &ids::HostId,
    key: ids::ClaimKey,
    id: ids::RequestId,
    verdict: peer::ClaimVerdict,
) {
    let claiming = state.requests.get(&id).is_some_and(|entry| {
        matches!(entry.phase, request::RequestPhase::Claiming { .. })
            && entry.head.claim() == Some(&key)
    });
    if !claiming {
        on_late_verdict(state, from, key, id, &verdict);
        return;
    }
    match verdict {
        peer::ClaimVerdict::Recorded => {
            if let Some(entry) = state.requests.get_mut(&id) {
                entry.claimed = true;
            }
            systems::placement::place(state, id);
        }
        peer::ClaimVerdict::Answered(answer) => {
            systems::retry::finish(state, id, outcome::RequestOutcome::Replayed { answer });
        }
        peer::ClaimVerdict::Taken => {
            let until = state.now + TAKEN_PAUSE;
            if let Some(entry) = state.requests.get_mut(&id) {
                entry.phase = request::RequestPhase::ClaimTaken { until };
            }
        }
        peer::ClaimVerdict::Unknown => {
            let reason = outcome::FailureReason::EarlierCallUnknown;
            systems::retry::finish(
                state,
                id,
                outcome::RequestOutcome::Unknown {
                    reason,
                    retry_after: None,
                },
            );
        }
        peer::ClaimVerdict::Unavailable => {
            let reason = outcome::RefusalReason::StoreUnavailable;
            systems::retry::give_up(state, id, reason, Some(admission::RETRY_LATER));
        }
        peer::ClaimVerdict::Full => {
            let reason = outcome::RefusalReason::ClaimsFull;
            systems::retry::give_up(state, id, reason, Some(admission::RETRY_LATER));
        }
    }
}

/// A claim recorded for a request that has ended unsent must not block the caller's repeat.
fn on_late_verdict(
    state: &mut state::NodeState,
    from: &ids::HostId,
    key: ids::ClaimKey,
    id: ids::RequestId,
    verdict: &peer::ClaimVerdict,
) {
    let ended = state.requests.get(&id).is_none() && id.node == state.incarnation;
    if ended && *verdict == peer::ClaimVerdict::Recorded {
        let settlement = peer::ClaimSettlement::NotSent;
        state.send(
            from,
            peer::PeerMessage::ClaimSettle {
                key,
                request: id,
                settlement,
            },
        );
    }
}

/// Takes a peer's wish to record a claim.
pub(crate) fn on_ask(
    state: &mut state::NodeState,
    from: &ids::HostId,
    key: ids::ClaimKey,
    id: ids::RequestId,
) {
    if state.claims.down_since.is_some() {
        let verdict = peer::ClaimVerdict::Unavailable;
        state.send(
            from,
            peer::PeerMessage::ClaimReply {
                key,
                request: id,
                verdict,
            },
        );
        return;
    }
    let kind = claim::TaskKind::Record {
        asker: from.clone(),
    };
    push(
        state,
        claim::ClaimTask {
            key,
            request: id,
            kind,
            since: state.now,
        },
    );
}

/// Takes a peer's word on how a claimed call ended.
pub(crate) fn on_settle(
    state: &mut state::NodeState,
    key: ids::ClaimKey,
    id: ids::RequestId,
    settlement: peer::ClaimSettlement,
) {
    let kind = claim::TaskKind::Settle { settlement };
    push(
        state,
        claim::ClaimTask {
            key,
            request: id,
            kind,
            since: state.now,
        },
    );
}

fn push(state: &mut state::NodeState, task: claim::ClaimTask) {
    let shard = task.key.shard(state.settings.claim_shards);
    let entry = state.claims.shards.entry(shard).or_default();
    if entry.tasks.len() >= MOST_TASKS {
        answer(state, &task, peer::ClaimVerdict::Unavailable);
        return;
    }
    entry.tasks.push(task);
    work(state, shard);
}

/// Works on all shards with something to write, and refuses what waited too long.
pub(crate) fn tick(state: &mut state::NodeState) {
    ask_again(state);
    let shards = state.claims.shards.keys().copied().collect::<Vec<_>>();
    for shard in shards {
        expire_tasks(state, shard);
        work(state, shard);
    }
    probe_store(state);
}

fn ask_again(state: &mut state::NodeState) {
    let now = state.now;
    let mut due = Vec::new();
    for (id, entry) in &state.requests.requests {
        match &entry.phase {
            request::RequestPhase::Claiming {
                asked_at, tries, ..
            } if now.since(*asked_at) > ASK_TIMEOUT => {
                due.push((*id, *tries + 1));
            }
            request::RequestPhase::ClaimTaken { until } if *until <= now => due.push((*id, 0)),
            _ => {}
        }
    }
    for (id, tries) in due {
        ask(state, id, tries);
    }
}

fn expire_tasks(state: &mut state::NodeState, shard: ids::ClaimShard) {
    let now = state.now;
    let down = state.claims.down_since.is_some();
    let Some(entry) = state.claims.shards.get_mut(&shard) else {
        return;
    };
    let mut refused = Vec::new();
    entry.tasks.retain(|task| {
        let age = now.since(task.since);
        match &task.kind {
            claim::TaskKind::Record { asker } => {
                let keep = !down && age <= RECORD_SPAN;
                if !keep {
                    refused.push((asker.clone(), task.key.clone(), task.request));
                }
                keep
            }
            claim::TaskKind::Settle { .. } => age <= SETTLE_SPAN,
        }
    });
    for (asker, key, id) in refused {
        let verdict = peer::ClaimVerdict::Unavailable;
        state.send(
            &asker,
            peer::PeerMessage::ClaimReply {
                key,
                request: id,
                verdict,
            },
        );
    }
}

/// While the object API is down, tries it now and then.
fn probe_store(state: &mut state::NodeState) {
    if state.claims.down_since.is_none() || state.now.since(state.claims.tried_at) < DOWN_PERIOD {
        return;
    }
    state.claims.tried_at = state.now;
    let shard = state
        .claims
        .shards
        .keys()
        .next()
        .copied()
        .unwrap_or(ids::ClaimShard(0));
    let idle = state.claims.shards.entry(shard).or_default().call.is_none();
    if idle {
        read(state, shard);
    }
}

/// Starts the next call for a shard, if it has work and no call in flight.
fn work(state: &mut state::NodeState, shard: ids::ClaimShard) {
    let down = state.claims.down_since.is_some();
    let Some(entry) = state.claims.shards.get_mut(&shard) else {
        return;
    };
    if entry.call.is_some() || entry.tasks.is_empty() || down {
        return;
    }
    let Some(known) = entry.known.clone() else {
        read(state, shard);
        return;
    };
    commit(state, shard, &known);
}

fn read(state: &mut state::NodeState, shard: ids::ClaimShard) {
    let name = object_name(shard);
    let call = state.call_store(store::StoreCall::Read { name });
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.call = Some(claim::ShardCall {
            call,
            written: None,
        });
    }
}

fn object_name(shard: ids::ClaimShard) -> String {
    format!("claims/{}", shard.0)
}

/// Answers what the shard already answers, and writes the rest in one conditional update.
fn commit(state: &mut state::NodeState, shard: ids::ClaimShard, known: &claim::KnownShard) {
    let wall_ms = state.wall_ms();
    let mut object = known.object.clone();
    object
        .claims
        .retain(|_, record| record.at_ms + RETENTION_MS > wall_ms);
    let Some(entry) = state.claims.shards.get_mut(&shard) else {
        return;
    };
    let tasks = std::mem::take(&mut entry.tasks);
    let mut left = Vec::new();
    for task in tasks {
        match apply(&mut object, &known.object, &task, wall_ms) {
            TaskResult::Change => left.push(task),
            TaskResult::Nothing => {}
            TaskResult::Verdict(verdict) => {
                let verdict = doubt_dead_holder(state, &object, &task, verdict);
                answer(state, &task, verdict);
            }
        }
    }
    let changed = !left.is_empty();
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.tasks = left;
    }
    if changed {
        write(state, shard, known.version, object);
    }
}

/// A claim whose holder cannot settle it any more has an unknown outcome.
fn doubt_dead_holder(
    state: &state::NodeState,
    object: &claim::ShardObject,
    task: &claim::ClaimTask,
    verdict: peer::ClaimVerdict,
) -> peer::ClaimVerdict {
    if verdict != peer::ClaimVerdict::Taken {
        return verdict;
    }
    let Some(record) = object.claims.get(&task.key) else {
        return verdict;
    };
    let old = record.at_ms + HELD_LIMIT_MS < state.wall_ms();
    let owner = record.request.node;
    let dead = owner != state.incarnation
        && matches!(
            state.members.life(owner),
            member::LifeState::Replaced | member::LifeState::DeadSince(_)
        );
    if old || dead {
        peer::ClaimVerdict::Unknown
    } else {
        verdict
    }
}

fn write(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    expected: store::ObjectVersion,
    object: claim::ShardObject,
) {
    let value = encode(&object);
    let name = object_name(shard);
    let call = state.call_store(store::StoreCall::Write {
        name,
        expected,
        value,
    });
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.call = Some(claim::ShardCall {
            call,
            written: Some(object),
        });
    }
}

/// What a task does to a shard.
enum TaskResult {
    /// It needs a write.
    Change,
    /// There is nothing left to do.
    Nothing,
    /// The shard as recorded answers it.
    Verdict(peer::ClaimVerdict),
}

/// Applies a task to `object`, the next content of a shard whose recorded content is `recorded`.
fn apply(
    object: &mut claim::ShardObject,
    recorded: &claim::ShardObject,
    task: &claim::ClaimTask,
    wall_ms: u64,
) -> TaskResult {
    match &task.kind {
        claim::TaskKind::Record { .. } => apply_record(object, recorded, task, wall_ms),
        claim::TaskKind::Settle { settlement } => apply_settle(object, task, settlement),
    }
}

fn apply_record(
    object: &mut claim::ShardObject,
    recorded: &claim::ShardObject,
    task: &claim::ClaimTask,
    wall_ms: u64,
) -> TaskResult {
    if let Some(record) = object.claims.get(&task.key) {
        let own = record.request == task.request;
        let committed = recorded.claims.get(&task.key) == Some(record);
        return match &record.state {
            claim::ClaimState::Held if own && committed => {
                TaskResult::Verdict(peer::ClaimVerdict::Recorded)
            }
            claim::ClaimState::Held if own => TaskResult::Change,
            claim::ClaimState::Held => TaskResult::Verdict(peer::ClaimVerdict::Taken),
            claim::ClaimState::Unknown => TaskResult::Verdict(peer::ClaimVerdict::Unknown),
            claim::ClaimState::Answered(answer) => {
                TaskResult::Verdict(peer::ClaimVerdict::Answered(answer.clone()))
            }
        };
    }
    if encoded_bytes(object) + CLAIM_BYTES > SHARD_BYTES {
        return TaskResult::Verdict(peer::ClaimVerdict::Full);
    }
    let record = claim::ClaimRecord {
        request: task.request,
        at_ms: wall_ms,
        state: claim::ClaimState::Held,
    };
    object.claims.insert(task.key.clone(), record);
    TaskResult::Change
}

fn apply_settle(
    object: &mut claim::ShardObject,
    task: &claim::ClaimTask,
    settlement: &peer::ClaimSettlement,
) -> TaskResult {
    let Some(record) = object.claims.get_mut(&task.key) else {
        return TaskResult::Nothing;
    };
    if record.request != task.request || record.state != claim::ClaimState::Held {
        return TaskResult::Nothing;
    }
    match settlement {
        peer::ClaimSettlement::Answered(answer) => {
            record.state = claim::ClaimState::Answered(answer.clone());
        }
        peer::ClaimSettlement::Unknown => record.state = claim::ClaimState::Unknown,
        peer::ClaimSettlement::NotSent => {
            object.claims.remove(&task.key);
        }
    }
    TaskResult::Change
}

fn encoded_bytes(object: &claim::ShardObject) -> usize {
    let bodies = object.claims.values().map(|record| match &record.state {
        claim::ClaimState::Answered(answer) => answer.body.as_ref().map_or(0, String::len),
        _ => 0,
    });
    object.claims.len() * CLAIM_BYTES + bodies.sum::<usize>()
}

/// Takes the object API's reply to a call for a shard.
pub(crate) fn on_reply(
    state: &mut state::NodeState,
    call: store::CallId,
    reply: store::StoreReply,
) {
    note_store(state, &reply);
    let found = state.claims.shards.iter_mut().find_map(|(shard, entry)| {
        let matches = entry.call.as_ref().is_some_and(|known| known.call == call);
        matches.then(|| (*shard, entry.call.take()))
    });
    let Some((shard, Some(known))) = found else {
        return;
    };
    match (reply, known.written) {
        (store::StoreReply::Written { version }, Some(object)) => {
            set_known(state, shard, Some(claim::KnownShard { version, object }));
        }
        (store::StoreReply::Found { version, value }, None) => {
            let object = decode(&value);
            if object.is_none() {
                // An unreadable shard can record nothing; it is treated as an outage.
                note_store(state, &store::StoreReply::Lost);
            }
            set_known(
                state,
                shard,
                object.map(|object| claim::KnownShard { version, object }),
            );
        }
        (store::StoreReply::Absent, None) => {
            let known = claim::KnownShard {
                version: store::ObjectVersion::ABSENT,
                object: claim::ShardObject::default(),
            };
            set_known(state, shard, Some(known));
        }
        _ => set_known(state, shard, None),
    }
    expire_tasks(state, shard);
    work(state, shard);
}

fn set_known(
    state: &mut state::NodeState,
    shard: ids::ClaimShard,
    known: Option<claim::KnownShard>,
) {
    if let Some(entry) = state.claims.shards.get_mut(&shard) {
        entry.known = known;
    }
}

fn answer(state: &mut state::NodeState, task: &claim::ClaimTask, verdict: peer::ClaimVerdict) {
    let claim::TaskKind::Record { asker } = &task.kind else {
        return;
    };
    if verdict == peer::ClaimVerdict::Recorded {
        state.stats.claims_recorded += 1;
    }
    let reply = peer::PeerMessage::ClaimReply {
        key: task.key.clone(),
        request: task.request,
        verdict,
    };
    state.send(asker, reply);
}

/// Notes whether the object API answers.
pub(crate) fn note_store(state: &mut state::NodeState, reply: &store::StoreReply) {
    match reply {
        store::StoreReply::Lost => {
            let now = state.now;
            state.claims.down_since.get_or_insert(now);
            state.claims.tried_at = now;
        }
        _ => state.claims.down_since = None,
    }
}

/// Forgets what was known of the shards, after the process was away.
pub(crate) fn forget(state: &mut state::NodeState) {
    for entry in state.claims.shards.values_mut() {
        entry.known = None;
        entry
            .tasks
            .retain(|task| matches!(task.kind, claim::TaskKind::Settle { .. }));
    }
}

/// Whether nothing waits to be written.
pub(crate) fn is_idle(state: &state::NodeState) -> bool {
    state
        .claims
        .shards
        .values()
        .all(|entry| entry.tasks.is_empty() && entry.call.is_none())
}

fn encode(object: &claim::ShardObject) -> String {
    serde_json::to_string(object).unwrap_or_default()
}

fn decode(value: &str) -> Option<claim::ShardObject> {
    serde_json::from_str(value).ok()
}
