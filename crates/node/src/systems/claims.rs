//! Claims for at-most-once calls: a call with an idempotency key is sent only after its claim is
//! recorded.
//!
//! Claims are divided into shards, each one object in the object API. A shard's owner batches the
//! requests of its peers into one conditional update at a time. Ownership only avoids conflicts:
//! two owners at once are harmless, since the conditional update succeeds for one of them and the
//! other reads the shard again. After a lost reply the shard is read back.

use std::time::Duration;

use model::ids;
use model::outcome;
use model::peer;
use model::store;

use crate::state;
use crate::systems;
use crate::systems::admission;
use crate::systems::shards;
use crate::tables::claim;
use crate::tables::request;

/// How long a shard's owner has to reply.
const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Owners tried before a call is refused.
const MAX_OWNERS_TRIED: usize = 2;
/// Delay before requesting again a claim that another request holds.
const TAKEN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long an unrecorded claim waits for the object API.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between repeats of an unconfirmed settlement.
const SETTLE_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// How long a settlement waits for the object API.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Interval between attempts to reach an object API that does not reply.
const STORE_PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of tasks queued for one shard.
const MAX_TASKS_PER_SHARD: usize = 10_000;

/// Requests the claim of a request from the owner of its key's shard. `tries` counts the owners
/// that have not replied; each further try goes to the next daemon in rank.
pub(crate) fn request_claim(state: &mut state::NodeState, id: ids::RequestId, tries: usize) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let Some(key) = entry.metadata.claim().cloned() else {
        return;
    };
    let owners = rank_owners(state, &key);
    let Some(owner) = owners
        .get(tries)
        .cloned()
        .filter(|_| tries < MAX_OWNERS_TRIED)
    else {
        let retry_after = Some(admission::RETRY_AFTER_LONG);
        systems::retry::refuse_or_fail(
            state,
            id,
            outcome::RefusalReason::StoreUnavailable,
            retry_after,
        );
        return;
    };
    let requested_at = state.now;
    let digest = entry.metadata.digest();
    if let Some(entry) = state.requests.get_mut(&id) {
        entry.phase = request::RequestPhase::Claiming {
            owner: owner.clone(),
            requested_at,
            tries,
        };
    }
    let request = id;
    let message = peer::PeerMessage::ClaimRequest {
        key,
        request,
        digest,
    };
    state.send(&owner, message);
}

fn rank_owners(state: &state::NodeState, key: &ids::ClaimKey) -> Vec<ids::HostId> {
    let shard = key.shard(state.settings.claim_shards);
    let mut ranked = state.rank_hosts(None, &format!("claims-{}", shard.0));
    if ranked.is_empty() {
        ranked.push(state.host().clone());
    }
    ranked
}

/// Reports to the owner of a key's shard how the call ended, repeatedly until the owner confirms.
pub(crate) fn settle(
    state: &mut state::NodeState,
    key: ids::ClaimKey,
    id: ids::RequestId,
    settlement: peer::ClaimSettlement,
) {
    let now = state.now;
    if settlement == peer::ClaimSettlement::NotSent {
        state.claims.unsent.insert(id, now);
    }
    let pending = claim::PendingSettlement {
        key,
        settlement,
        created_at: now,
        next_send_at: now,
    };
    state.claims.pending_settlements.insert(id, pending);
    send_due_settlements(state);
}

/// Sends the settlements that are due, and drops those that have timed out.
fn send_due_settlements(state: &mut state::NodeState) {
    let now = state.now;
    let mut due = Vec::new();
    state.claims.pending_settlements.retain(|id, pending| {
        if now >= pending.next_send_at {
            pending.next_send_at = now + SETTLE_RETRY_PERIOD;
            due.push((*id, pending.key.clone(), pending.settlement.clone()));
        }
        now.since(pending.created_at) <= SETTLE_TIMEOUT
    });
    for (request, key, settlement) in due {
        let Some(owner) = rank_owners(state, &key).first().cloned() else {
            continue;
        };
        state.send(
            &owner,
            peer::PeerMessage::ClaimSettle {
                key,
                request,
                settlement,
            },
        );
    }
}

/// Removes a settlement that its owner has recorded.
pub(crate) fn on_settled(state: &mut state::NodeState, id: ids::RequestId) {
    state.claims.pending_settlements.remove(&id);
}

/// Handles an owner's reply to a claim request.
pub(crate) fn on_reply(
    state: &mut state::NodeState,
    key: ids::ClaimKey,
    id: ids::RequestId,
    verdict: peer::ClaimVerdict,
) {
    let claiming = state.requests.get(&id).is_some_and(|entry| {
        matches!(entry.phase, request::RequestPhase::Claiming { .. })
            && entry.metadata.claim() == Some(&key)
    });
    if !claiming {
        on_late_reply(state, key, id, &verdict);
        return;
    }
    match verdict {
        peer::ClaimVerdict::Recorded => {
            if let Some(entry) = state.requests.get_mut(&id) {
                entry.claimed = true;
                entry.found_unsettled_claim = false;
            }
            systems::queues::place_or_queue(state, id);
        }
        peer::ClaimVerdict::Answered(answer) => {
            systems::retry::finish(state, id, outcome::RequestOutcome::Replayed { answer });
        }
        peer::ClaimVerdict::Taken => {
            let retry_at = state.now + TAKEN_RETRY_DELAY;
            if let Some(entry) = state.requests.get_mut(&id) {
                entry.found_unsettled_claim = true;
                entry.phase = request::RequestPhase::ClaimTaken { retry_at };
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
        peer::ClaimVerdict::Mismatch => {
            let reason = outcome::RefusalReason::KeyReused;
            systems::retry::refuse_or_fail(state, id, reason, None);
        }
        peer::ClaimVerdict::Unavailable => {
            let reason = outcome::RefusalReason::StoreUnavailable;
            systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_LONG));
        }
        peer::ClaimVerdict::Full => {
            let reason = outcome::RefusalReason::ClaimsFull;
            systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_LONG));
        }
    }
}

/// Releases a claim that was recorded for a request that had ended unsent, as it would block the
/// client's retry. A request that was sent keeps its claim, even if the reply is late or
/// duplicated.
fn on_late_reply(
    state: &mut state::NodeState,
    key: ids::ClaimKey,
    id: ids::RequestId,
    verdict: &peer::ClaimVerdict,
) {
    let unsent = state.claims.unsent.contains_key(&id);
    if unsent && *verdict == peer::ClaimVerdict::Recorded {
        settle(state, key, id, peer::ClaimSettlement::NotSent);
    }
}

/// Handles a peer's request to record a claim.
pub(crate) fn on_request(
    state: &mut state::NodeState,
    from: &ids::HostId,
    key: ids::ClaimKey,
    id: ids::RequestId,
    digest: u64,
) {
    if state.claims.store_down_since.is_some() {
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
        requester: from.clone(),
        digest,
    };
    enqueue_task(
        state,
        claim::ClaimTask {
            key,
            request: id,
            kind,
            queued_at: state.now,
        },
    );
}

/// Handles a peer's report on how a claimed call ended.
pub(crate) fn on_settle(
    state: &mut state::NodeState,
    from: &ids::HostId,
    key: ids::ClaimKey,
    id: ids::RequestId,
    settlement: peer::ClaimSettlement,
) {
    if has_queued_settlement(state, &key, id) {
        return;
    }
    let reporter = from.clone();
    let kind = claim::TaskKind::Settle {
        reporter,
        settlement,
    };
    enqueue_task(
        state,
        claim::ClaimTask {
            key,
            request: id,
            kind,
            queued_at: state.now,
        },
    );
}

/// Whether a settlement of this request is queued already.
fn has_queued_settlement(
    state: &state::NodeState,
    key: &ids::ClaimKey,
    id: ids::RequestId,
) -> bool {
    let shard = key.shard(state.settings.claim_shards);
    let entry = state.claims.shards.get(&shard);
    entry.is_some_and(|entry| {
        entry
            .tasks
            .iter()
            .any(|task| task.request == id && matches!(task.kind, claim::TaskKind::Settle { .. }))
    })
}

fn enqueue_task(state: &mut state::NodeState, task: claim::ClaimTask) {
    let shard = task.key.shard(state.settings.claim_shards);
    let entry = state.claims.shards.entry(shard).or_default();
    if entry.tasks.len() >= MAX_TASKS_PER_SHARD {
        reply_to_claim(state, &task, peer::ClaimVerdict::Unavailable);
        return;
    }
    entry.tasks.push(task);
    shards::advance_shard(state, shard);
}

/// Advances all shards with tasks, and refuses claims that have waited too long.
pub(crate) fn tick(state: &mut state::NodeState) {
    retry_due_claims(state);
    send_due_settlements(state);
    expire_unsent(state);
    let shards = state.claims.shards.keys().copied().collect::<Vec<_>>();
    for shard in shards {
        expire_tasks(state, shard);
        shards::advance_shard(state, shard);
    }
    probe_store(state);
}

fn expire_unsent(state: &mut state::NodeState) {
    let now = state.now;
    state
        .claims
        .unsent
        .retain(|_, since| now.since(*since) <= SETTLE_TIMEOUT);
}

fn retry_due_claims(state: &mut state::NodeState) {
    let now = state.now;
    let mut due = Vec::new();
    for (id, entry) in &state.requests.requests {
        match &entry.phase {
            request::RequestPhase::Claiming {
                requested_at,
                tries,
                ..
            } if now.since(*requested_at) > OWNER_REPLY_TIMEOUT => {
                due.push((*id, *tries + 1));
            }
            request::RequestPhase::ClaimTaken { retry_at } if *retry_at <= now => {
                due.push((*id, 0))
            }
            _ => {}
        }
    }
    for (id, tries) in due {
        request_claim(state, id, tries);
    }
}

/// Refuses the claims, and drops the settlements, that have waited too long for the object API.
pub(crate) fn expire_tasks(state: &mut state::NodeState, shard: ids::ClaimShard) {
    let now = state.now;
    let down = state.claims.store_down_since.is_some();
    let Some(entry) = state.claims.shards.get_mut(&shard) else {
        return;
    };
    let mut refused = Vec::new();
    entry.tasks.retain(|task| {
        let age = now.since(task.queued_at);
        match &task.kind {
            claim::TaskKind::Record { requester, .. } => {
                let keep = !down && age <= RECORD_TIMEOUT;
                if !keep {
                    refused.push((requester.clone(), task.key.clone(), task.request));
                }
                keep
            }
            claim::TaskKind::Settle { .. } => age <= SETTLE_TIMEOUT,
        }
    });
    for (requester, key, id) in refused {
        let verdict = peer::ClaimVerdict::Unavailable;
        state.send(
            &requester,
            peer::PeerMessage::ClaimReply {
                key,
                request: id,
                verdict,
            },
        );
    }
}

/// Reads a shard head every [`STORE_PROBE_PERIOD`] while the object API is down, to detect its
/// recovery.
fn probe_store(state: &mut state::NodeState) {
    if state.claims.store_down_since.is_none()
        || state.now.since(state.claims.store_tried_at) < STORE_PROBE_PERIOD
    {
        return;
    }
    state.claims.store_tried_at = state.now;
    let shard = state
        .claims
        .shards
        .keys()
        .next()
        .copied()
        .unwrap_or(ids::ClaimShard(0));
    let idle = state.claims.shards.entry(shard).or_default().call.is_none();
    if idle {
        shards::read_head(state, shard);
    }
}

/// Confirms to the reporting host that its settlement is recorded.
pub(crate) fn confirm_settlement(state: &mut state::NodeState, task: &claim::ClaimTask) {
    if let claim::TaskKind::Settle { reporter, .. } = &task.kind {
        let request = task.request;
        state.send(reporter, peer::PeerMessage::ClaimSettled { request });
    }
}

/// Replies to the host that requested a claim.
pub(crate) fn reply_to_claim(
    state: &mut state::NodeState,
    task: &claim::ClaimTask,
    verdict: peer::ClaimVerdict,
) {
    let claim::TaskKind::Record { requester, .. } = &task.kind else {
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
    state.send(requester, reply);
}

/// Records whether the object API replied.
pub(crate) fn record_store_reply(state: &mut state::NodeState, reply: &store::StoreReply) {
    match reply {
        store::StoreReply::Lost => {
            let now = state.now;
            state.claims.store_down_since.get_or_insert(now);
            state.claims.store_tried_at = now;
        }
        _ => state.claims.store_down_since = None,
    }
}

/// Discards the cached shard heads and the queued claim requests after the process was paused.
pub(crate) fn reset_after_pause(state: &mut state::NodeState) {
    for entry in state.claims.shards.values_mut() {
        entry.set_cached_head(None);
        entry
            .tasks
            .retain(|task| matches!(task.kind, claim::TaskKind::Settle { .. }));
    }
}

/// Whether no claim or settlement is left to be written.
pub(crate) fn is_idle(state: &state::NodeState) -> bool {
    let all_settled = state.claims.pending_settlements.is_empty();
    let mut shards = state.claims.shards.values();
    all_settled && shards.all(|entry| entry.tasks.is_empty() && entry.call.is_none())
}
