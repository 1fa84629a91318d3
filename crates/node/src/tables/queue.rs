//! Queues of requests that wait for capacity, with the service rates measured from them.

use std::collections;
use std::time::Duration;

use model::ids;
use model::map;
use model::request;
use model::time;

/// Weight of a new sample in an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Key of a queue: requests of one size class of one service wait together.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    pub service: ids::ServiceId,
    pub class: request::SizeClass,
}

/// State of one queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueState {
    /// Time until which no grant is requested for the queue.
    pub backoff_until: time::MonoTime,
    /// Request that currently requests a grant on behalf of the queue.
    pub grant_requester: Option<ids::RequestId>,
    /// Time of the last start of a queued request, or when requests began to wait.
    pub no_start_since: Option<time::MonoTime>,
    /// Whether `no_start_since` is the time of a start.
    pub start_observed: bool,
    /// Mean time between two starts while requests wait, in seconds.
    pub mean_start_interval: Option<f64>,
    /// Mean time from a request's start to its end, in seconds.
    pub mean_run_time: Option<f64>,
    /// Work started for each customer, in tokens of engine memory (1 for a plain call) divided by
    /// the weight of the customer.
    pub normalized_work: collections::BTreeMap<ids::CustomerId, f64>,
    /// Highest normalized work of a customer at the moment it was served. Lower values count as
    /// this one, so that a customer can't save up a share while it sends nothing.
    pub min_normalized_work: f64,
}

impl QueueState {
    /// Records the start of a queued request.
    pub fn record_start(&mut self, now: time::MonoTime) {
        if let Some(last) = self.no_start_since.filter(|_| self.start_observed) {
            update_mean(&mut self.mean_start_interval, now.since(last).as_secs_f64());
        }
        self.no_start_since = Some(now);
        self.start_observed = true;
    }

    /// Records the run time of a finished request.
    pub fn record_run(&mut self, run_time: Duration) {
        update_mean(&mut self.mean_run_time, run_time.as_secs_f64());
    }

    /// Returns the expected time until `ahead` requests have started, zero before the first
    /// measurement.
    pub fn expected_wait(&self, ahead: f64, now: time::MonoTime) -> Duration {
        let since_start = self
            .no_start_since
            .map_or(0.0, |last| now.since(last).as_secs_f64());
        let Some(interval) = self.mean_start_interval else {
            return Duration::ZERO;
        };
        // A stall delays only the next start, not every later one.
        let overdue = (since_start - interval).max(0.0);
        Duration::from_secs_f64(interval * ahead + overdue)
    }

    /// Returns the expected run time of a request, zero before the first measurement.
    pub fn expected_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run_time.unwrap_or(0.0))
    }
}

fn update_mean(mean: &mut Option<f64>, sample: f64) {
    let old = mean.unwrap_or(sample);
    *mean = Some(old + SAMPLE_WEIGHT * (sample - old));
}

/// All queues of this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueTable {
    queues: map::HashMap<QueueKey, QueueState>,
}

impl QueueTable {
    /// Returns the state of a queue, inserting an empty one if there is none.
    pub fn queue_mut(&mut self, key: &QueueKey) -> &mut QueueState {
        self.queues.entry(key.clone()).or_default()
    }

    /// Resets the start time of all queues but the `waiting` ones, because time in which no
    /// request waits doesn't count towards the interval between starts.
    pub fn reset_idle_queues(&mut self, waiting: &collections::BTreeSet<QueueKey>) {
        for (key, queue) in &mut self.queues {
            if !waiting.contains(key) {
                queue.no_start_since = None;
                queue.start_observed = false;
            }
        }
    }

    pub fn get(&self, key: &QueueKey) -> Option<&QueueState> {
        self.queues.get(key)
    }
}
