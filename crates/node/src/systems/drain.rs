//! Readiness and graceful shutdown.

use std::time::Duration;

use crate::action;
use crate::state;
use crate::systems;

/// How long requests are still accepted after readiness is withdrawn, until the load balancer has
/// noticed.
const BALANCER_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum time after [`BALANCER_GRACE_PERIOD`] for which outstanding cancels and claims delay
/// the exit.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which the process exits regardless of what is left.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Starts the drain after a shutdown request.
pub(crate) fn on_shutdown(state: &mut state::NodeState) {
    if state.drain.started_at.is_some() {
        return;
    }
    state.drain.started_at = Some(state.now);
    systems::membership::announce_own_state(state);
    state.log(action::LogRecord::Draining);
    publish_readiness(state);
}

/// Whether new requests are refused because of a shutdown.
pub(crate) fn refuses_requests(state: &state::NodeState) -> bool {
    state
        .drain
        .started_at
        .is_some_and(|started_at| state.now.since(started_at) > BALANCER_GRACE_PERIOD)
}

/// Publishes readiness when it changes, and exits the process once the drain is complete.
pub(crate) fn tick(state: &mut state::NodeState) {
    publish_readiness(state);
    let Some(started_at) = state.drain.started_at else {
        return;
    };
    if state.drain.exited || !refuses_requests(state) {
        return;
    }
    let elapsed = state.now.since(started_at);
    let cleaned_up = state.cancels.is_empty() && systems::claims::is_idle(state);
    let done = state.requests.is_empty()
        && (cleaned_up || elapsed > BALANCER_GRACE_PERIOD + CLEANUP_TIMEOUT);
    if done || elapsed > DRAIN_TIMEOUT {
        state.drain.exited = true;
        state.emit(action::NodeAction::Exit);
    }
}

fn publish_readiness(state: &mut state::NodeState) {
    let ready = state.drain.started_at.is_none() && systems::config::is_trusted(state);
    if state.drain.published_readiness != Some(ready) {
        state.drain.published_readiness = Some(ready);
        state.emit(action::NodeAction::SetReady { ready });
    }
}
