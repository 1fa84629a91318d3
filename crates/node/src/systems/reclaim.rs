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
const CANCEL_PERIOD: Duration = Duration::from_millis(250);
/// Longest time between two repeats.
const CANCEL_PERIOD_MAX: Duration = Duration::from_secs(5);
/// Repeats after which the keeper's listing is left to do the work.
const CANCEL_TRIES: u32 = 60;
/// Time for which a stream must have been without a reader.
const DETACHED_SPAN: Duration = Duration::from_secs(3);
/// Time after which no request still runs; what a silent daemon then holds is left behind.
const LONGEST_REQUEST: Duration = Duration::from_secs(660);

/// Cancels an attempt until its engine confirms.
pub(crate) fn cancel(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    endpoint: &ids::EndpointId,
) {
    let entry = state::CancelEntry {
        endpoint: endpoint.clone(),
        next_send_at: state.now,
        tries: 0,
    };
    state.cancels.entry(attempt).or_insert(entry);
    send_due(state);
}

/// Repeats cancels.
pub(crate) fn tick(state: &mut state::NodeState) {
    send_due(state);
}

fn send_due(state: &mut state::NodeState) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let now = state.now;
    let mut orders = Vec::new();
    state.cancels.retain(|attempt, entry| {
        let Some(target) = config.endpoints.get(&entry.endpoint) else {
            return false;
        };
        if now >= entry.next_send_at {
            entry.tries += 1;
            let pause = CANCEL_PERIOD * 2_u32.saturating_pow(entry.tries.min(8));
            entry.next_send_at = now + pause.min(CANCEL_PERIOD_MAX);
            orders.push(action::NodeAction::CancelAttempt {
                attempt: *attempt,
                address: target.address,
            });
        }
        entry.tries <= CANCEL_TRIES
    });
    state.stats.cancels += orders.len() as u64;
    for order in orders {
        state.emit(order);
    }
}

/// An engine confirmed a cancel.
pub(crate) fn on_confirmed(state: &mut state::NodeState, attempt: ids::AttemptId) {
    state.cancels.remove(&attempt);
}

/// Looks through an engine's streams for those that nobody can use any more.
pub(crate) fn on_streams(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    forget_idle(state, endpoint, streams);
    for stream in streams {
        if state.cancels.contains_key(&stream.attempt) || !is_idle(state, endpoint, stream) {
            continue;
        }
        state.stats.reclaimed += 1;
        state.log(action::LogRecord::StreamReclaimed {
            attempt: stream.attempt,
        });
        cancel(state, stream.attempt, endpoint);
    }
}

fn forget_idle(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    state.suspected_orphans.retain(|attempt, entry| {
        let listed = streams.iter().any(|stream| stream.attempt == *attempt);
        entry.endpoint != *endpoint || listed
    });
}

/// Whether a stream has been of no use for long enough. One that is read is of use unless its
/// owner is gone beyond doubt: a daemon that only peers cannot reach still reads.
fn is_idle(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    stream: &load::EngineStream,
) -> bool {
    let owner = stream.attempt.request.node;
    let life = state.members.incarnation_state(owner);
    let own = owner == state.incarnation;
    let over = own && state.requests.get(&stream.attempt.request).is_none();
    if over || life == member::IncarnationState::Replaced {
        return true;
    }
    let silent = !own && life != member::IncarnationState::Live;
    if stream.attached && !silent {
        state.suspected_orphans.remove(&stream.attempt);
        return false;
    }
    let now = state.now;
    let fresh = || state::SuspectedOrphan {
        endpoint: endpoint.clone(),
        attached: stream.attached,
        since: now,
    };
    let entry = state
        .suspected_orphans
        .entry(stream.attempt)
        .or_insert_with(fresh);
    if entry.attached != stream.attached {
        *entry = fresh();
    }
    let span = if stream.attached {
        LONGEST_REQUEST
    } else {
        DETACHED_SPAN
    };
    now.since(entry.since) > span
}
