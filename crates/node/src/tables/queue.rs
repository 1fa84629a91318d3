//! Queues of requests that wait for room, and what they have shown of the service.

use std::collections;
use std::time::Duration;

use model::ids;
use model::map;
use model::request;
use model::time;

/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Requests of one size class of one service wait together.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    pub service: ids::ServiceId,
    pub class: request::SizeClass,
}

/// State of one queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueState {
    /// Until when nothing more is asked for.
    pub backoff_until: time::MonoTime,
    /// The request that asks on behalf of the queue.
    pub grant_requester: Option<ids::RequestId>,
    /// Last start of a request that had waited, or since when requests wait.
    pub no_start_since: Option<time::MonoTime>,
    /// Whether that was a start.
    pub start_observed: bool,
    /// Mean time between two starts while requests wait, in seconds.
    pub mean_start_interval: Option<f64>,
    /// Mean time from the start to the end, in seconds.
    pub mean_run_time: Option<f64>,
    /// Work started for each customer, over its weight.
    pub normalized_work: collections::BTreeMap<ids::CustomerId, f64>,
    /// Work of the customer that was served last; no customer's work counts as less.
    pub min_normalized_work: f64,
}

impl QueueState {
    /// Notes that a request that had waited was started.
    pub fn record_start(&mut self, now: time::MonoTime) {
        if let Some(last) = self.no_start_since.filter(|_| self.start_observed) {
            mix(&mut self.mean_start_interval, now.since(last).as_secs_f64());
        }
        self.no_start_since = Some(now);
        self.start_observed = true;
    }

    /// Notes how long a request ran.
    pub fn record_run(&mut self, span: Duration) {
        mix(&mut self.mean_run_time, span.as_secs_f64());
    }

    /// Time until `ahead` requests have been started, as far as is known.
    pub fn expected_wait(&self, ahead: f64, now: time::MonoTime) -> Duration {
        let stalled = self
            .no_start_since
            .map_or(0.0, |last| now.since(last).as_secs_f64());
        let Some(gap) = self.mean_start_interval else {
            return Duration::ZERO;
        };
        // A stall delays the next start, not each of them.
        let overdue = (stalled - gap).max(0.0);
        Duration::from_secs_f64(gap * ahead + overdue)
    }

    /// Time that a request will take once started, as far as is known.
    pub fn expected_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run_time.unwrap_or(0.0))
    }
}

fn mix(mean: &mut Option<f64>, sample: f64) {
    let old = mean.unwrap_or(sample);
    *mean = Some(old + SAMPLE_WEIGHT * (sample - old));
}

/// All queues of this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueTable {
    queues: map::HashMap<QueueKey, QueueState>,
}

impl QueueTable {
    /// The state of a queue, made new if there is none.
    pub fn queue_mut(&mut self, key: &QueueKey) -> &mut QueueState {
        self.queues.entry(key.clone()).or_default()
    }

    /// Time without anyone waiting says nothing of the pace.
    pub fn reset_idle_queues(&mut self, waiting: &collections::BTreeSet<QueueKey>) {
        for (key, account) in &mut self.queues {
            if !waiting.contains(key) {
                account.no_start_since = None;
                account.start_observed = false;
            }
        }
    }

    pub fn get(&self, key: &QueueKey) -> Option<&QueueState> {
        self.queues.get(key)
    }
}
