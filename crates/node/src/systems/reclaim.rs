//! Cancellation: what an attempt holds on an engine counts as in use until the engine confirms
//! that it is free.
//!
//! The sender repeats a cancel until it is confirmed. In addition the endpoint's coordinator
//! cancels the streams that the engine lists and nobody reads, whoever sent them, since a cancel
//! can overtake its request. It never cancels a stream that a daemon still reads.

use std::time::Duration;

use model::ids;
use model::load;

use crate::action;
use crate::state;
use crate::tables::member;

/// Base of the exponential backoff of cancels; the first repeat follows after twice this time.
const CANCEL_BACKOFF_BASE: Duration = Duration::from_millis(250);
/// Maximum time between two repeats of a cancel.
const CANCEL_BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Repeats after which the sender stops, and only the coordinator's check of the engine's listing
/// remains.
const MAX_CANCEL_REPEATS: u32 = 60;
/// How long a stream must have been without a reader before it is cancelled.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which no request still runs; a stream that a silent daemon has read for longer is
/// orphaned.
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(660);

/// Cancels an attempt, repeatedly until its engine confirms.
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
    send_due_cancels(state);
}

/// Repeats the cancels that are due.
pub(crate) fn tick(state: &mut state::NodeState) {
    send_due_cancels(state);
}

fn send_due_cancels(state: &mut state::NodeState) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let now = state.now;
    let mut actions = Vec::new();
    state.cancels.retain(|attempt, entry| {
        let Some(target) = config.endpoints.get(&entry.endpoint) else {
            return false;
        };
        if now >= entry.next_send_at {
            entry.tries += 1;
            let backoff = CANCEL_BACKOFF_BASE * 2_u32.saturating_pow(entry.tries.min(8));
            entry.next_send_at = now + backoff.min(CANCEL_BACKOFF_MAX);
            actions.push(action::NodeAction::CancelAttempt {
                attempt: *attempt,
                address: target.address,
            });
        }
        entry.tries <= MAX_CANCEL_REPEATS
    });
    state.stats.cancels += actions.len() as u64;
    for action in actions {
        state.emit(action);
    }
}

/// Removes a cancel that its engine has confirmed.
pub(crate) fn on_confirmed(state: &mut state::NodeState, attempt: ids::AttemptId) {
    state.cancels.remove(&attempt);
}

/// Cancels those of an engine's streams that no daemon can use any more.
pub(crate) fn reclaim_streams(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    prune_suspected_orphans(state, endpoint, streams);
    for stream in streams {
        if state.cancels.contains_key(&stream.attempt) || !is_orphaned(state, endpoint, stream) {
            continue;
        }
        state.stats.reclaimed += 1;
        state.log(action::LogRecord::StreamReclaimed {
            attempt: stream.attempt,
        });
        cancel(state, stream.attempt, endpoint);
    }
}

fn prune_suspected_orphans(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    streams: &[load::EngineStream],
) {
    state.suspected_orphans.retain(|attempt, entry| {
        let is_listed = streams.iter().any(|stream| stream.attempt == *attempt);
        entry.endpoint != *endpoint || is_listed
    });
}

/// Whether a stream can no longer be used: its request has ended, its sender was replaced by a
/// later incarnation, or it has lacked a reader or a live sender for long enough. A stream with a
/// reader gets the longer timeout, since a daemon that only its peers cannot reach still reads.
fn is_orphaned(
    state: &mut state::NodeState,
    endpoint: &ids::EndpointId,
    stream: &load::EngineStream,
) -> bool {
    let sender = stream.attempt.request.node;
    let sender_state = state.members.incarnation_state(sender);
    let is_own = sender == state.incarnation;
    let has_ended = is_own && state.requests.get(&stream.attempt.request).is_none();
    if has_ended || sender_state == member::IncarnationState::Replaced {
        return true;
    }
    let sender_silent = !is_own && sender_state != member::IncarnationState::Live;
    if stream.attached && !sender_silent {
        state.suspected_orphans.remove(&stream.attempt);
        return false;
    }
    let now = state.now;
    let new_entry = || state::SuspectedOrphan {
        endpoint: endpoint.clone(),
        attached: stream.attached,
        since: now,
    };
    let entry = state
        .suspected_orphans
        .entry(stream.attempt)
        .or_insert_with(new_entry);
    if entry.attached != stream.attached {
        *entry = new_entry();
    }
    let timeout = if stream.attached {
        MAX_REQUEST_DURATION
    } else {
        DETACHED_TIMEOUT
    };
    now.since(entry.since) > timeout
}
