//! Queues of requests that wait for free space, by service and size class, served by fair share.
//!
//! One request of a queue at a time awaits a grant. A request whose deadline cannot be met,
//! judging by the start and run times seen in its queue, is refused at once with a time to retry
//! after.

use std::time::Duration;

use model::ids;
use model::outcome;
use model::request as model_request;

use crate::state;
use crate::systems;
use crate::systems::admission;
use crate::systems::fair_shares;
use crate::tables::queue;
use crate::tables::request;

/// Backoff of a queue whose first request found no free space.
const QUEUE_BACKOFF: Duration = Duration::from_millis(15);
/// Maximum retry-after time given to a refused client.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Serves all queues, and refuses the requests that can no longer be answered in time.
pub(crate) fn tick(state: &mut state::NodeState) {
    let mut keys = std::collections::BTreeSet::new();
    let mut overdue = Vec::new();
    for (id, entry) in &state.requests.requests {
        if !matches!(entry.phase, request::RequestPhase::Queued { .. }) {
            continue;
        }
        let key = queue_key(&entry.metadata);
        if will_miss_deadline(state, &key, entry) {
            overdue.push(*id);
        }
        keys.insert(key);
    }
    state.queues.reset_idle_queues(&keys);
    refuse_unplaceable(state);
    for id in overdue {
        let reason = outcome::RefusalReason::Overloaded;
        systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_SHORT));
    }
    for key in keys {
        if state.has_available_endpoint(&key.service) {
            serve_queue(state, &key);
        } else {
            refuse_queue(state, &key);
        }
    }
}

/// Refuses long prompts that no available engine or engine set can hold any more.
fn refuse_unplaceable(state: &mut state::NodeState) {
    let waiting = state.requests.requests.iter().filter(|(_, entry)| {
        matches!(entry.phase, request::RequestPhase::Queued { .. })
            && entry.metadata.class() == model_request::SizeClass::Long
            && !systems::engine_sets::available_engines_can_hold(state, &entry.metadata)
    });
    for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
        let reason = outcome::RefusalReason::NoEndpoint;
        systems::retry::refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_LONG));
    }
}

/// Refuses all queued requests for a service without an endpoint that accepts work.
fn refuse_queue(state: &mut state::NodeState, key: &queue::QueueKey) {
    let waiting = state.requests.requests.iter().filter(|(_, entry)| {
        matches!(entry.phase, request::RequestPhase::Queued { .. })
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
    let run_time = state
        .queues
        .get(key)
        .map(queue::QueueState::expected_run_time);
    state.now + run_time.unwrap_or_default() > entry.metadata.deadline
}

/// Places the next request of a queue, unless the queue backs off or awaits a grant.
pub(crate) fn serve_queue(state: &mut state::NodeState, key: &queue::QueueKey) {
    let now = state.now;
    if let Some(queue) = state.queues.get(key)
        && (now < queue.backoff_until
            || queue
                .grant_requester
                .is_some_and(|id| awaits_grant(state, id)))
    {
        return;
    }
    let Some(id) = fair_shares::next_request(state, key) else {
        return;
    };
    state.queues.queue_mut(key).grant_requester = Some(id);
    systems::placement::place(state, id);
}

fn awaits_grant(state: &state::NodeState, id: ids::RequestId) -> bool {
    let entry = state.requests.get(&id);
    entry.is_some_and(|entry| matches!(entry.phase, request::RequestPhase::AwaitingGrant(_)))
}

/// Places a new request at once if no other is queued before it, otherwise queues it.
pub(crate) fn place_or_queue(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let key = queue_key(&entry.metadata);
    entry.phase = request::RequestPhase::Queued {
        retry_at: state.now,
    };
    let has_others = state.requests.requests.values().any(|entry| {
        let is_queued = matches!(entry.phase, request::RequestPhase::Queued { .. });
        is_queued && entry.metadata.id != id && fair_shares::is_in_queue(entry, &key)
    });
    if has_others {
        serve_queue(state, &key);
        return;
    }
    systems::placement::place(state, id);
}

/// Backs a queue off after one of its requests found no free space.
pub(crate) fn back_off(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let key = queue_key(&entry.metadata);
    let queue = state.queues.queue_mut(&key);
    queue.backoff_until = now + QUEUE_BACKOFF;
    queue.grant_requester = None;
    queue.no_start_since.get_or_insert(now);
}

/// Handles the start of a request.
pub(crate) fn on_started(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let key = queue_key(&entry.metadata);
    fair_shares::record_start(state, &key, id);
    let has_waiting = state.requests.requests.values().any(|entry| {
        let is_queued = matches!(entry.phase, request::RequestPhase::Queued { .. });
        is_queued && fair_shares::is_in_queue(entry, &key)
    });
    let queue = state.queues.queue_mut(&key);
    queue.grant_requester = queue.grant_requester.filter(|requester| *requester != id);
    if !has_waiting {
        queue.no_start_since = None;
        queue.start_observed = false;
        queue.backoff_until = now;
        return;
    }
    queue.record_start(now);
    serve_queue(state, &key);
}

/// Records that a request was answered `run_time` after its start on an endpoint.
pub(crate) fn record_run(
    state: &mut state::NodeState,
    metadata: &model_request::RequestMetadata,
    run_time: Duration,
) {
    state
        .queues
        .queue_mut(&queue_key(metadata))
        .record_run(run_time);
}

/// Returns the retry-after time of a new request whose deadline cannot be met, `None` if it can.
pub(crate) fn predict_retry_after(
    state: &state::NodeState,
    metadata: &model_request::RequestMetadata,
) -> Option<Duration> {
    let key = queue_key(metadata);
    let queue = state.queues.get(&key)?;
    let ahead = fair_shares::requests_ahead(state, &key, &metadata.customer);
    if ahead < 1.0 {
        return None;
    }
    let predicted_end =
        state.now + queue.expected_wait(ahead, state.now) + queue.expected_run_time();
    if predicted_end <= metadata.deadline {
        return None;
    }
    let overrun = predicted_end.since(metadata.deadline);
    Some(overrun.clamp(admission::RETRY_AFTER_SHORT, RETRY_AFTER_MAX))
}

fn queue_key(metadata: &model_request::RequestMetadata) -> queue::QueueKey {
    queue::QueueKey {
        service: metadata.service.clone(),
        class: metadata.class(),
    }
}
