//! What an attempt holds on an engine is owned until the engine confirms that it is free.
//!
//! The sender repeats a cancel until it is confirmed. Beside it the endpoint's keeper cancels
//! what the engine lists and nobody reads, whoever sent it: a cancel can overtake its request.
//! It never takes a stream from a daemon that still reads it.

use std::time::Duration;

use model::ids;
use model::load;

use crate::action;
use crate::state;
use crate::tables::member;

/// Time before a cancel is repeated for the first time.
const CANCEL_BACKOFF_BASE: Duration = Duration::from_millis(250);
/// Longest time between two repeats.
const CANCEL_BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Repeats after which the keeper's listing is left to do the work.
const MAX_CANCEL_REPEATS: u32 = 60;
/// Time for which a stream must have been without a reader.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which no request still runs; what a silent daemon then holds is left behind.
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(660);

/// Cancels an attempt until its engine confirms.
pub(crate) fn cancel(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    endpoint: &ids::EndpointId,
) {
    let entry = state::CancelEntry {
        endpoint: endpoint.clone(),
        next_at: state.now,
        tries: 0,
    };
    state.cancels.entry(attempt).or_insert(entry);
    send_due_cancels(state);
}

/// Repeats cancels.
pub(crate) fn tick(state: &mut state::NodeState) {
    send_due_cancels(state);
}

fn send_due_cancels(state: &mut state::NodeState) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let now = state.now;
    let mut orders = Vec::new();
    state.cancels.retain(|attempt, entry| {
        let Some(target) = config.endpoints.get(&entry.endpoint) else {
            return false;
        };
        if now >= entry.next_at {
            entry.tries += 1;
            let pause = CANCEL_BACKOFF_BASE * 2_u32.saturating_pow(entry.tries.min(8));
            entry.next_at = now + pause.min(CANCEL_BACKOFF_MAX);
            orders.push(action::NodeAction::CancelAttempt {
                attempt: *attempt,
                address: target.address,
            });
        }
        entry.tries <= MAX_CANCEL_REPEATS
    });
    state.stats.cancels += orders.len() as u64;
    for order in orders {
        state.act(order);
    }
}

/// An engine confirmed a cancel.
pub(crate) fn on_confirmed(state: &mut state::NodeState, attempt: ids::AttemptId) {
    state.cancels.remove(&attempt);
}

/// Looks through an engine's streams for those that nobody can use any more.
pub(crate) fn reclaim_streams(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    prune_idle_streams(state, endpoint, streams);
    for stream in streams {
        if state.cancels.contains_key(&stream.attempt) || !is_orphaned(state, endpoint, stream) {
            continue;
        }
        state.stats.reclaimed += 1;
        state.note(action::NodeNote::StreamReclaimed {
            attempt: stream.attempt,
        });
        cancel(state, stream.attempt, endpoint);
    }
}

fn prune_idle_streams(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    state.idle_streams.retain(|attempt, entry| {
        let listed = streams.iter().any(|stream| stream.attempt == *attempt);
        entry.endpoint != *endpoint || listed
    });
}

/// Whether a stream has been of no use for long enough. One that is read is of use unless its
/// owner is gone beyond doubt: a daemon that only peers cannot reach still reads.
fn is_orphaned(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    stream: &load::EngineStream,
) -> bool {
    let owner = stream.attempt.request.node;
    let life = state.members.life(owner);
    let own = owner == state.incarnation;
    let over = own && state.requests.get(&stream.attempt.request).is_none();
    if over || life == member::LifeState::Replaced {
        return true;
    }
    let silent = !own && life != member::LifeState::Living;
    if stream.attached && !silent {
        state.idle_streams.remove(&stream.attempt);
        return false;
    }
    let now = state.now;
    let fresh = || state::IdleStream {
        endpoint: endpoint.clone(),
        attached: stream.attached,
        since: now,
    };
    let entry = state
        .idle_streams
        .entry(stream.attempt)
        .or_insert_with(fresh);
    if entry.attached != stream.attached {
        *entry = fresh();
    }
    let span = if stream.attached {
        MAX_REQUEST_DURATION
    } else {
        DETACHED_TIMEOUT
    };
    now.since(entry.since) > span
}
