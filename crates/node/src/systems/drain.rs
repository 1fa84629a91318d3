//! Readiness and graceful shutdown.

use std::time::Duration;

use crate::action;
use crate::state;
use crate::systems;

/// Time for which requests are still taken in after readiness is off, until the balancer has
/// noticed.
const NOTICE_SPAN: Duration = Duration::from_secs(2);
/// Longest time spent on cancels and claims after the last request.
const TIDY_SPAN: Duration = Duration::from_secs(5);
/// Time after which the process ends whatever is left.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// Shutdown was asked for.
pub(crate) fn on_shutdown(state: &mut state::NodeState) {
    if state.drain.started_at.is_some() {
        return;
    }
    state.drain.started_at = Some(state.now);
    systems::membership::announce(state);
    state.log(action::LogRecord::Draining);
    tell_ready(state);
}

/// Whether new requests are refused because of a shutdown.
pub(crate) fn refuses(state: &state::NodeState) -> bool {
    state
        .drain
        .started_at
        .is_some_and(|since| state.now.since(since) > NOTICE_SPAN)
}

/// Tells readiness when it changes, and ends the process when all is done.
pub(crate) fn tick(state: &mut state::NodeState) {
    tell_ready(state);
    let Some(since) = state.drain.started_at else {
        return;
    };
    if state.drain.exited || !refuses(state) {
        return;
    }
    let passed = state.now.since(since);
    let tidy = state.cancels.is_empty() && systems::claims::is_idle(state);
    let done = state.requests.is_empty() && (tidy || passed > NOTICE_SPAN + TIDY_SPAN);
    if done || passed > DRAIN_LIMIT {
        state.drain.exited = true;
        state.emit(action::NodeAction::Exit);
    }
}

fn tell_ready(state: &mut state::NodeState) {
    let ready = state.drain.started_at.is_none() && systems::config::is_trusted(state);
    if state.drain.published_readiness != Some(ready) {
        state.drain.published_readiness = Some(ready);
        state.emit(action::NodeAction::SetReady { ready });
    }
}
