//! Requests without room wait in queues by service and size class, served by fair share.
//!
//! One request at a time asks on behalf of its queue. A request whose deadline cannot be met,
//! by what its queue has shown of the service, is refused at once with when to come back.

use std::time::Duration;

use model::ids;
use model::outcome;
use model::request as head;

use crate::state;
use crate::systems;
use crate::systems::admission;
use crate::systems::fair_shares;
use crate::tables::queue;
use crate::tables::request;

/// Rest of a queue whose first request found no room.
const QUEUE_BACKOFF: Duration = Duration::from_millis(15);
/// Longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Serves all queues, and refuses what can no longer be answered in time.
pub(crate) fn tick(state: &mut state::NodeState) {
    let mut keys = std::collections::BTreeSet::new();
    let mut late = Vec::new();
    for (id, entry) in &state.requests.requests {
        if !matches!(entry.phase, request::RequestPhase::Waiting { .. }) {
            continue;
        }
        let key = queue_key(&entry.head);
        if will_miss_deadline(state, &key, entry) {
            late.push(*id);
        }
        keys.insert(key);
    }
    state.queues.forget_starts(&keys);
    refuse_unplaceable(state);
    for id in late {
        let reason = outcome::RefusalReason::Overloaded;
        systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_SHORT));
    }
    for key in keys {
        if state.has_open_endpoint(&key.service) {
            serve_queue(state, &key);
        } else {
            refuse_queue(state, &key);
        }
    }
}

/// Refuses long prompts that no open engine or set of engines can hold any more.
fn refuse_unplaceable(state: &mut state::NodeState) {
    let waiting = state.requests.requests.iter().filter(|(_, entry)| {
        matches!(entry.phase, request::RequestPhase::Waiting { .. })
            && entry.head.class() == head::SizeClass::Long
            && !systems::engine_sets::open_engines_can_hold(state, &entry.head)
    });
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        let reason = outcome::RefusalReason::NoEndpoint;
        systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_LONG));
    }
}

/// Refuses all that wait for a service without an endpoint that takes new work.
fn refuse_queue(state: &mut state::NodeState, key: &queue::QueueKey) {
    let waiting = state.requests.requests.iter().filter(|(_, entry)| {
        matches!(entry.phase, request::RequestPhase::Waiting { .. })
            && fair_shares::is_in_queue(entry, key)
    });
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        let reason = outcome::RefusalReason::NoEndpoint;
        systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_LONG));
    }
}

fn will_miss_deadline(
    state: &state::NodeState,
    key: &queue::QueueKey,
    entry: &request::RequestEntry,
) -> bool {
    let run = state.queues.get(key).map(queue::QueueState::run_time);
    state.now + run.unwrap_or_default() > entry.head.deadline
}

/// Lets the next request of a queue ask for room.
pub(crate) fn serve_queue(state: &mut state::NodeState, key: &queue::QueueKey) {
    let now = state.now;
    if let Some(account) = state.queues.get(key)
        && (now < account.rest_until || account.asking.is_some_and(|id| awaits_grant(state, id)))
    {
        return;
    }
    let Some(id) = fair_shares::next_request(state, key) else {
        return;
    };
    state.queues.queue(key).asking = Some(id);
    systems::placement::place(state, id);
}

fn awaits_grant(state: &state::NodeState, id: ids::RequestId) -> bool {
    let entry = state.requests.get(&id);
    entry.is_some_and(|entry| matches!(entry.phase, request::RequestPhase::Asking(_)))
}

/// Sends a new request on: at once if nothing waits before it, otherwise into its queue.
pub(crate) fn place_or_queue(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let key = queue_key(&entry.head);
    entry.phase = request::RequestPhase::Waiting { until: state.now };
    let others = state.requests.requests.values().any(|entry| {
        let waits = matches!(entry.phase, request::RequestPhase::Waiting { .. });
        waits && entry.head.id != id && fair_shares::is_in_queue(entry, &key)
    });
    if others {
        serve_queue(state, &key);
        return;
    }
    systems::placement::place(state, id);
}

/// A request found no room: its queue rests a little.
pub(crate) fn back_off(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let key = queue_key(&entry.head);
    let account = state.queues.queue(&key);
    account.rest_until = now + QUEUE_BACKOFF;
    account.asking = None;
    account.last_start.get_or_insert(now);
}

/// A request was started.
pub(crate) fn on_started(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let key = queue_key(&entry.head);
    fair_shares::record_start(state, &key, id);
    let left = state.requests.requests.values().any(|entry| {
        let waits = matches!(entry.phase, request::RequestPhase::Waiting { .. });
        waits && fair_shares::is_in_queue(entry, &key)
    });
    let account = state.queues.queue(&key);
    account.asking = account.asking.filter(|asking| *asking != id);
    if !left {
        account.last_start = None;
        account.started = false;
        account.rest_until = now;
        return;
    }
    account.note_start(now);
    serve_queue(state, &key);
}

/// A request was answered after `span` on its endpoint.
pub(crate) fn record_run(state: &mut state::NodeState, head: &head::RequestHead, span: Duration) {
    state.queues.queue(&queue_key(head)).note_run(span);
}

/// Why and until when a new request is to be refused: its deadline cannot be met.
pub(crate) fn predict_overrun(
    state: &state::NodeState,
    head: &head::RequestHead,
) -> Option<Duration> {
    let key = queue_key(head);
    let account = state.queues.get(&key)?;
    let ahead = fair_shares::requests_ahead(state, &key, &head.customer);
    if ahead < 1.0 {
        return None;
    }
    let end = state.now + account.wait_for(ahead, state.now) + account.run_time();
    if end <= head.deadline {
        return None;
    }
    let over = end.since(head.deadline);
    Some(over.clamp(admission::RETRY_AFTER_SHORT, RETRY_AFTER_MAX))
}

fn queue_key(head: &head::RequestHead) -> queue::QueueKey {
    queue::QueueKey {
        service: head.service.clone(),
        class: head.class(),
    }
}
