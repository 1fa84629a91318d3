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
use crate::systems::shares;
use crate::tables::queue;
use crate::tables::request;

/// Rest of a queue whose first request found no room.
const QUEUE_REST: Duration = Duration::from_millis(15);
/// Longest time after which a refused caller is told to come back.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Serves all queues, and refuses what can no longer be answered in time.
pub(crate) fn tick(state: &mut state::NodeState) {
    let mut keys = std::collections::BTreeSet::new();
    let mut late = Vec::new();
    for (id, entry) in &state.requests.requests {
        if !matches!(entry.phase, request::RequestPhase::Queued { .. }) {
            continue;
        }
        let key = key_of(&entry.head);
        if is_late(state, &key, entry) {
            late.push(*id);
        }
        keys.insert(key);
    }
    state.queues.reset_idle_queues(&keys);
    refuse_homeless(state);
    for id in late {
        let reason = outcome::RefusalReason::Overloaded;
        systems::retry::give_up(state, id, reason, Some(admission::RETRY_SOON));
    }
    for key in keys {
        if state.has_available_endpoint(&key.service) {
            serve(state, &key);
        } else {
            refuse_all(state, &key);
        }
    }
}

/// Refuses long prompts that no open engine or set of engines can hold any more.
fn refuse_homeless(state: &mut state::NodeState) {
    let waiting = state.requests.requests.iter().filter(|(_, entry)| {
        matches!(entry.phase, request::RequestPhase::Queued { .. })
            && entry.head.class() == head::SizeClass::Long
            && !systems::sets::can_hold_now(state, &entry.head)
    });
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        let reason = outcome::RefusalReason::NoEndpoint;
        systems::retry::give_up(state, id, reason, Some(admission::RETRY_LATER));
    }
}

/// Refuses all that wait for a service without an endpoint that takes new work.
fn refuse_all(state: &mut state::NodeState, key: &queue::QueueKey) {
    let waiting = state.requests.requests.iter().filter(|(_, entry)| {
        matches!(entry.phase, request::RequestPhase::Queued { .. }) && shares::is_in(entry, key)
    });
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        let reason = outcome::RefusalReason::NoEndpoint;
        systems::retry::give_up(state, id, reason, Some(admission::RETRY_LATER));
    }
}

fn is_late(state: &state::NodeState, key: &queue::QueueKey, entry: &request::RequestEntry) -> bool {
    let run = state
        .queues
        .get(key)
        .map(queue::QueueState::expected_run_time);
    state.now + run.unwrap_or_default() > entry.head.deadline
}

/// Lets the next request of a queue ask for room.
pub(crate) fn serve(state: &mut state::NodeState, key: &queue::QueueKey) {
    let now = state.now;
    if let Some(account) = state.queues.get(key)
        && (now < account.backoff_until
            || account
                .grant_requester
                .is_some_and(|id| is_asking(state, id)))
    {
        return;
    }
    let Some(id) = shares::next(state, key) else {
        return;
    };
    state.queues.queue_mut(key).grant_requester = Some(id);
    systems::placement::place(state, id);
}

fn is_asking(state: &state::NodeState, id: ids::RequestId) -> bool {
    let entry = state.requests.get(&id);
    entry.is_some_and(|entry| matches!(entry.phase, request::RequestPhase::AwaitingGrant(_)))
}

/// Sends a new request on: at once if nothing waits before it, otherwise into its queue.
pub(crate) fn enter(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let key = key_of(&entry.head);
    entry.phase = request::RequestPhase::Queued {
        retry_at: state.now,
    };
    let others = state.requests.requests.values().any(|entry| {
        let waits = matches!(entry.phase, request::RequestPhase::Queued { .. });
        waits && entry.head.id != id && shares::is_in(entry, &key)
    });
    if others {
        serve(state, &key);
        return;
    }
    systems::placement::place(state, id);
}

/// A request found no room: its queue rests a little.
pub(crate) fn note_full(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let key = key_of(&entry.head);
    let account = state.queues.queue_mut(&key);
    account.backoff_until = now + QUEUE_REST;
    account.grant_requester = None;
    account.no_start_since.get_or_insert(now);
}

/// A request was started.
pub(crate) fn note_start(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let key = key_of(&entry.head);
    shares::note_start(state, &key, id);
    let left = state.requests.requests.values().any(|entry| {
        let waits = matches!(entry.phase, request::RequestPhase::Queued { .. });
        waits && shares::is_in(entry, &key)
    });
    let account = state.queues.queue_mut(&key);
    account.grant_requester = account.grant_requester.filter(|asking| *asking != id);
    if !left {
        account.no_start_since = None;
        account.start_observed = false;
        account.backoff_until = now;
        return;
    }
    account.record_start(now);
    serve(state, &key);
}

/// A request was answered after `span` on its endpoint.
pub(crate) fn note_run(state: &mut state::NodeState, head: &head::RequestHead, span: Duration) {
    state.queues.queue_mut(&key_of(head)).record_run(span);
}

/// Why and until when a new request is to be refused: its deadline cannot be met.
pub(crate) fn predict_late(state: &state::NodeState, head: &head::RequestHead) -> Option<Duration> {
    let key = key_of(head);
    let account = state.queues.get(&key)?;
    let ahead = shares::ahead(state, &key, &head.customer);
    if ahead < 1.0 {
        return None;
    }
    let end = state.now + account.expected_wait(ahead, state.now) + account.expected_run_time();
    if end <= head.deadline {
        return None;
    }
    let over = end.since(head.deadline);
    Some(over.clamp(admission::RETRY_SOON, RETRY_MAX))
}

fn key_of(head: &head::RequestHead) -> queue::QueueKey {
    queue::QueueKey {
        service: head.service.clone(),
        class: head.class(),
    }
}
