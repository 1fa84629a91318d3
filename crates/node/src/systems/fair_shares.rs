//! Fair shares of customers: the order in which a queue is served.

use std::collections;

use model::ids;

use crate::state;
use crate::tables::queue;
use crate::tables::request;

/// The waiting request that is next by fair share: of the customer with the least work started
/// over its weight, the one that came first.
pub(crate) fn next_request(
    state: &state::NodeState,
    key: &queue::QueueKey,
) -> Option<ids::RequestId> {
    let now = state.now;
    let account = state.queues.get(key);
    let due = state.requests.requests.values().filter(|entry| {
        let waits = matches!(entry.phase, request::RequestPhase::Waiting { until } if until <= now);
        waits && is_in_queue(entry, key)
    });
    let first = due.min_by(|left, right| {
        let work = |entry: &request::RequestEntry| {
            account.map_or(0.0, |account| customer_work(account, &entry.head.customer))
        };
        let by_work = work(left).total_cmp(&work(right));
        by_work.then(left.arrived_at.cmp(&right.arrived_at))
    });
    first.map(|entry| entry.head.id)
}

/// Notes that work of a customer was started.
pub(crate) fn record_start(
    state: &mut state::NodeState,
    key: &queue::QueueKey,
    id: ids::RequestId,
) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let customer = entry.head.customer.clone();
    let weight = customer_weight(state, &customer);
    let work = entry.head.memory_tokens().max(1) as f64 / weight;
    let account = state.queues.queue(key);
    let before = customer_work(account, &customer);
    account.floor = account.floor.max(before);
    account.work.insert(customer, before + work);
}

/// Requests that will be started before a new one of a customer.
pub(crate) fn requests_ahead(
    state: &state::NodeState,
    key: &queue::QueueKey,
    customer: &ids::CustomerId,
) -> f64 {
    let mut queued = collections::BTreeMap::<&ids::CustomerId, f64>::new();
    let waiting = state.requests.requests.values().filter(|entry| {
        matches!(entry.phase, request::RequestPhase::Waiting { .. }) && is_in_queue(entry, key)
    });
    for entry in waiting {
        *queued.entry(&entry.head.customer).or_default() += 1.0;
    }
    let own = queued.get(customer).copied().unwrap_or(0.0);
    let rounds = (own + 1.0) / customer_weight(state, customer);
    let others = queued.iter().filter(|(name, _)| **name != customer);
    let before = others.map(|(name, count)| count.min(rounds * customer_weight(state, name)));
    own + before.sum::<f64>()
}

/// Whether a request waits, or would wait, in a queue.
pub(crate) fn is_in_queue(entry: &request::RequestEntry, key: &queue::QueueKey) -> bool {
    entry.head.class() == key.class && entry.head.service == key.service
}

fn customer_work(account: &queue::QueueState, customer: &ids::CustomerId) -> f64 {
    let own = account.work.get(customer).copied().unwrap_or(0.0);
    own.max(account.floor)
}

fn customer_weight(state: &state::NodeState, customer: &ids::CustomerId) -> f64 {
    let config = state.config.config.as_ref();
    let entry = config.and_then(|config| config.customers.get(customer));
    f64::from(entry.map_or(1, |entry| entry.weight).max(1))
}
