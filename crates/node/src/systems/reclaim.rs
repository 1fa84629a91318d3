//! What an attempt holds on an engine is owned until the engine confirms that it is free.
//!
//! The sender repeats a cancel until it is confirmed. When the sender is dead, the endpoint's
//! keeper cancels what the engine still lists for it, and never a living daemon's stream.

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
/// Time for which a daemon must have been dead. Longer than the pause after which a daemon
/// takes itself for dead.
const DEAD_SPAN: Duration = Duration::from_secs(3);
/// Time after which a life of which nothing was heard counts as dead.
const UNHEARD_SPAN: Duration = Duration::from_secs(12);

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
        if now >= entry.next_at {
            entry.tries += 1;
            let pause = CANCEL_PERIOD * 2_u32.saturating_pow(entry.tries.min(8));
            entry.next_at = now + pause.min(CANCEL_PERIOD_MAX);
            orders.push(action::NodeAction::CancelAttempt {
                attempt: *attempt,
                address: target.address,
            });
        }
        entry.tries <= CANCEL_TRIES
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

/// Looks through an engine's streams for those of dead daemons.
pub(crate) fn on_streams(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    for stream in streams {
        if state.cancels.contains_key(&stream.attempt) || !is_ownerless(state, stream.attempt) {
            continue;
        }
        state.stats.reclaimed += 1;
        state.note(action::NodeNote::StreamReclaimed {
            attempt: stream.attempt,
        });
        cancel(state, stream.attempt, endpoint);
    }
}

fn is_ownerless(state: &state::NodeState, attempt: ids::AttemptId) -> bool {
    let owner = attempt.request.node;
    if owner == state.incarnation {
        return state.requests.get(&attempt.request).is_none();
    }
    match state.members.life(owner) {
        member::LifeState::Living => false,
        member::LifeState::Replaced => true,
        member::LifeState::DeadSince(since) => state.now.since(since) > DEAD_SPAN,
        member::LifeState::Unheard => state.now.since(state.started_at) > UNHEARD_SPAN,
    }
}
