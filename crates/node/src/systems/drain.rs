//! Readiness and graceful shutdown.

use std::time::Duration;

use crate::action;
use crate::state;
use crate::systems;

/// Time for which requests are still taken in after readiness is off, until the balancer has
/// noticed.
const BALANCER_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Longest time spent on cancels and claims after the last request.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which the process ends whatever is left.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Shutdown was asked for.
pub(crate) fn on_shutdown(state: &mut state::NodeState) {
    if state.drain.since.is_some() {
        return;
    }
    state.drain.since = Some(state.now);
    systems::membership::announce_own_state(state);
    state.note(action::NodeNote::Draining);
    publish_readiness(state);
}

/// Whether new requests are refused because of a shutdown.
pub(crate) fn refuses_requests(state: &state::NodeState) -> bool {
    state
        .drain
        .since
        .is_some_and(|since| state.now.since(since) > BALANCER_GRACE_PERIOD)
}

/// Tells readiness when it changes, and ends the process when all is done.
pub(crate) fn tick(state: &mut state::NodeState) {
    publish_readiness(state);
    let Some(since) = state.drain.since else {
        return;
    };
    if state.drain.exited || !refuses_requests(state) {
        return;
    }
    let passed = state.now.since(since);
    let tidy = state.cancels.is_empty() && systems::claims::is_idle(state);
    let done =
        state.requests.is_empty() && (tidy || passed > BALANCER_GRACE_PERIOD + CLEANUP_TIMEOUT);
    if done || passed > DRAIN_TIMEOUT {
        state.drain.exited = true;
        state.act(action::NodeAction::Exit);
    }
}

fn publish_readiness(state: &mut state::NodeState) {
    let ready = state.drain.since.is_none() && systems::config::is_trusted(state);
    if state.drain.ready_told != Some(ready) {
        state.drain.ready_told = Some(ready);
        state.act(action::NodeAction::SetReady { ready });
    }
}
