//! Weighted fair queueing of customers: the order in which a queue is served.

use std::collections;

use model::ids;

use crate::state;
use crate::tables::queue;
use crate::tables::request;

/// Returns the queued request that is next by fair share: the oldest one of the customer with the
/// least started work divided by its weight.
pub(crate) fn next_request(
    state: &state::NodeState,
    key: &queue::QueueKey,
) -> Option<ids::RequestId> {
    let now = state.now;
    let queue = state.queues.get(key);
    let due = state.requests.requests.values().filter(|entry| {
        let is_due =
            matches!(entry.phase, request::RequestPhase::Queued { retry_at } if retry_at <= now);
        is_due && is_in_queue(entry, key)
    });
    let next = due.min_by(|left, right| {
        let work = |entry: &request::RequestEntry| {
            queue.map_or(0.0, |queue| customer_work(queue, &entry.metadata.customer))
        };
        let by_work = work(left).total_cmp(&work(right));
        by_work.then(left.arrived_at.cmp(&right.arrived_at))
    });
    next.map(|entry| entry.metadata.id)
}

/// Adds a started request to the work of its customer.
pub(crate) fn record_start(
    state: &mut state::NodeState,
    key: &queue::QueueKey,
    id: ids::RequestId,
) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let customer = entry.metadata.customer.clone();
    let weight = customer_weight(state, &customer);
    let work = entry.metadata.memory_tokens().max(1) as f64 / weight;
    let queue = state.queues.queue_mut(key);
    let previous_work = customer_work(queue, &customer);
    queue.min_normalized_work = queue.min_normalized_work.max(previous_work);
    queue.normalized_work.insert(customer, previous_work + work);
}

/// Estimates the number of requests that will be started before a new one of a customer.
pub(crate) fn requests_ahead(
    state: &state::NodeState,
    key: &queue::QueueKey,
    customer: &ids::CustomerId,
) -> f64 {
    let mut queued = collections::BTreeMap::<&ids::CustomerId, f64>::new();
    let waiting = state.requests.requests.values().filter(|entry| {
        matches!(entry.phase, request::RequestPhase::Queued { .. }) && is_in_queue(entry, key)
    });
    for entry in waiting {
        *queued.entry(&entry.metadata.customer).or_default() += 1.0;
    }
    let own_queued = queued.get(customer).copied().unwrap_or(0.0);
    let rounds = (own_queued + 1.0) / customer_weight(state, customer);
    let others = queued.iter().filter(|(name, _)| **name != customer);
    let others_ahead = others.map(|(name, count)| count.min(rounds * customer_weight(state, name)));
    own_queued + others_ahead.sum::<f64>()
}

/// Whether the service and size class of a request are those of a queue.
pub(crate) fn is_in_queue(entry: &request::RequestEntry, key: &queue::QueueKey) -> bool {
    entry.metadata.class() == key.class && entry.metadata.service == key.service
}

fn customer_work(queue: &queue::QueueState, customer: &ids::CustomerId) -> f64 {
    let started_work = queue.normalized_work.get(customer).copied().unwrap_or(0.0);
    started_work.max(queue.min_normalized_work)
}

fn customer_weight(state: &state::NodeState, customer: &ids::CustomerId) -> f64 {
    let config = state.config.config.as_ref();
    let entry = config.and_then(|config| config.customers.get(customer));
    f64::from(entry.map_or(1, |entry| entry.weight).max(1))
}
