//! The requests that wait for placement, and the order in which they are decided on.

use std::cmp;

use model::ids;

use crate::job;
use crate::state;

/// The requests that have been neither placed nor declined.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingQueue {
    requests: Vec<state::WaitingRequest>,
}

impl WaitingQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: state::WaitingRequest) {
        self.requests.push(waiting);
    }

    /// Removes a request if it waits.
    pub fn remove(&mut self, job: job::JobId) {
        self.requests.retain(|waiting| waiting.job != job);
    }

    /// Returns and removes all requests in the order of their rank.
    pub fn take(&mut self) -> Vec<state::WaitingRequest> {
        let mut requests = std::mem::take(&mut self.requests);
        requests.sort_by(compare_rank);
        requests
    }

    /// Returns the ids of all requests.
    pub fn jobs(&self) -> impl Iterator<Item = &job::JobId> {
        self.requests.iter().map(|waiting| &waiting.job)
    }

    /// Returns the requests, for changes of their rank.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut state::WaitingRequest> {
        self.requests.iter_mut()
    }

    /// Whether a request for a service waits whose customer is within its share.
    pub fn has_within_share(&self, service: &ids::ServiceId) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|waiting| waiting.excess == 0.0 && waiting.request.service == *service)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}

/// Orders requests of customers within their share before others, then those with the highest value
/// per engine time.
fn compare_rank(a: &state::WaitingRequest, b: &state::WaitingRequest) -> cmp::Ordering {
    let by_excess = a.excess.total_cmp(&b.excess);
    by_excess.then_with(|| value_density(b).total_cmp(&value_density(a)))
}

fn value_density(waiting: &state::WaitingRequest) -> f64 {
    waiting.value / (waiting.cost_weight * waiting.min_latency_ms).max(1.0)
}
