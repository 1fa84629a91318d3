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
use crate::systems::shards;
use crate::tables::claim;
use crate::tables::request;

/// Time that a shard's owner has to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);
/// Owners asked before a call is refused.
const MOST_OWNERS: usize = 2;
/// Time between two looks at a claim that another request holds.
const TAKEN_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an unrecorded claim waits for the object API.
const RECORD_SPAN: Duration = Duration::from_millis(500);
/// Time between two tellings of a settlement that is not confirmed.
const SETTLE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a settlement waits for the object API.
const SETTLE_SPAN: Duration = Duration::from_secs(300);
/// Time between two tries of an object API that does not answer.
const DOWN_PERIOD: Duration = Duration::from_millis(500);
/// Most tasks that wait for one shard.
const MOST_TASKS: usize = 10_000;

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
    let digest = entry.head.digest();
    if let Some(entry) = state.requests.get_mut(&id) {
        entry.phase = request::RequestPhase::Claiming {
            owner: owner.clone(),
            asked_at,
            tries,
        };
    }
    let request = id;
    let ask = peer::PeerMessage::ClaimAsk {
        key,
        request,
        digest,
    };
    state.send(&owner, ask);
}

fn owners(state: &state::NodeState, key: &ids::ClaimKey) -> Vec<ids::HostId> {
    let shard = key.shard(state.settings.claim_shards);
    let mut ranked = state.rank_hosts(None, &format!("claims-{}", shard.0));
    if ranked.is_empty() {
        ranked.push(state.host().clone());
    }
    ranked
}

/// Tells the owner of a key's shard how the call ended, until it confirms.
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
    let open = claim::PendingSettlement {
        key,
        settlement,
        created_at: now,
        next_send_at: now,
    };
    state.claims.pending_settlements.insert(id, open);
    tell_settlements(state);
}

/// Sends the settlements that are due, and forgets those that are too old to matter.
fn tell_settlements(state: &mut state::NodeState) {
    let now = state.now;
    let mut due = Vec::new();
    state.claims.pending_settlements.retain(|id, open| {
        if now >= open.next_send_at {
            open.next_send_at = now + SETTLE_PERIOD;
            due.push((*id, open.key.clone(), open.settlement.clone()));
        }
        now.since(open.created_at) <= SETTLE_SPAN
    });
    for (request, key, settlement) in due {
        let Some(owner) = owners(state, &key).first().cloned() else {
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

/// An owner has recorded how a call ended.
pub(crate) fn on_settled(state: &mut state::NodeState, id: ids::RequestId) {
    state.claims.pending_settlements.remove(&id);
}

/// Takes an owner's verdict.
pub(crate) fn on_verdict(
    state: &mut state::NodeState,
    key: ids::ClaimKey,
    id: ids::RequestId,
    verdict: peer::ClaimVerdict,
) {
    let claiming = state.requests.get(&id).is_some_and(|entry| {
        matches!(entry.phase, request::RequestPhase::Claiming { .. })
            && entry.head.claim() == Some(&key)
    });
    if !claiming {
        on_late_verdict(state, key, id, &verdict);
        return;
    }
    match verdict {
        peer::ClaimVerdict::Recorded => {
            if let Some(entry) = state.requests.get_mut(&id) {
                entry.claimed = true;
                entry.found_unsettled_claim = false;
            }
            systems::queues::enter(state, id);
        }
        peer::ClaimVerdict::Answered(answer) => {
            systems::retry::finish(state, id, outcome::RequestOutcome::Replayed { answer });
        }
        peer::ClaimVerdict::Taken => {
            let retry_at = state.now + TAKEN_PAUSE;
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
            systems::retry::give_up(state, id, reason, None);
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

/// A claim recorded for a request that has ended unsent must not block the caller's repeat. One
/// that was sent stays claimed, however late or doubled the verdict is.
fn on_late_verdict(
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

/// Takes a peer's wish to record a claim.
pub(crate) fn on_ask(
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
    push(
        state,
        claim::ClaimTask {
            key,
            request: id,
            kind,
            queued_at: state.now,
        },
    );
}

/// Takes a peer's word on how a claimed call ended.
pub(crate) fn on_settle(
    state: &mut state::NodeState,
    from: &ids::HostId,
    key: ids::ClaimKey,
    id: ids::RequestId,
    settlement: peer::ClaimSettlement,
) {
    if is_queued(state, &key, id) {
        return;
    }
    let reporter = from.clone();
    let kind = claim::TaskKind::Settle {
        reporter,
        settlement,
    };
    push(
        state,
        claim::ClaimTask {
            key,
            request: id,
            kind,
            queued_at: state.now,
        },
    );
}

/// Whether a settlement of this request waits already.
fn is_queued(state: &state::NodeState, key: &ids::ClaimKey, id: ids::RequestId) -> bool {
    let shard = key.shard(state.settings.claim_shards);
    let entry = state.claims.shards.get(&shard);
    entry.is_some_and(|entry| {
        entry
            .tasks
            .iter()
            .any(|task| task.request == id && matches!(task.kind, claim::TaskKind::Settle { .. }))
    })
}

fn push(state: &mut state::NodeState, task: claim::ClaimTask) {
    let shard = task.key.shard(state.settings.claim_shards);
    let entry = state.claims.shards.entry(shard).or_default();
    if entry.tasks.len() >= MOST_TASKS {
        answer(state, &task, peer::ClaimVerdict::Unavailable);
        return;
    }
    entry.tasks.push(task);
    shards::work(state, shard);
}

/// Works on all shards with something to write, and refuses what waited too long.
pub(crate) fn tick(state: &mut state::NodeState) {
    ask_again(state);
    tell_settlements(state);
    forget_unsent(state);
    let shards = state.claims.shards.keys().copied().collect::<Vec<_>>();
    for shard in shards {
        expire_tasks(state, shard);
        shards::work(state, shard);
    }
    probe_store(state);
}

fn forget_unsent(state: &mut state::NodeState) {
    let now = state.now;
    state
        .claims
        .unsent
        .retain(|_, since| now.since(*since) <= SETTLE_SPAN);
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
            request::RequestPhase::ClaimTaken { retry_at } if *retry_at <= now => {
                due.push((*id, 0))
            }
            _ => {}
        }
    }
    for (id, tries) in due {
        ask(state, id, tries);
    }
}

/// Refuses what waited too long for the object API.
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
                let keep = !down && age <= RECORD_SPAN;
                if !keep {
                    refused.push((requester.clone(), task.key.clone(), task.request));
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
    if state.claims.store_down_since.is_none()
        || state.now.since(state.claims.store_tried_at) < DOWN_PERIOD
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

/// Tells the host that a settlement is recorded.
pub(crate) fn confirm(state: &mut state::NodeState, task: &claim::ClaimTask) {
    if let claim::TaskKind::Settle { reporter, .. } = &task.kind {
        let request = task.request;
        state.send(reporter, peer::PeerMessage::ClaimSettled { request });
    }
}

/// Tells the host that asked.
pub(crate) fn answer(
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

/// Notes whether the object API answers.
pub(crate) fn note_store(state: &mut state::NodeState, reply: &store::StoreReply) {
    match reply {
        store::StoreReply::Lost => {
            let now = state.now;
            state.claims.store_down_since.get_or_insert(now);
            state.claims.store_tried_at = now;
        }
        _ => state.claims.store_down_since = None,
    }
}

/// Forgets what was known of the shards, after the process was away.
pub(crate) fn forget(state: &mut state::NodeState) {
    for entry in state.claims.shards.values_mut() {
        entry.set_cached_head(None);
        entry
            .tasks
            .retain(|task| matches!(task.kind, claim::TaskKind::Settle { .. }));
    }
}

/// Whether nothing waits to be written.
pub(crate) fn is_idle(state: &state::NodeState) -> bool {
    let told = state.claims.pending_settlements.is_empty();
    let mut shards = state.claims.shards.values();
    told && shards.all(|entry| entry.tasks.is_empty() && entry.call.is_none())
}
