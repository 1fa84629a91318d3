//! Limits how many requests are retried.

use std::collections;

/// Counts the requests and retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window_ms: f64,
    requests: collections::VecDeque<f64>,
    retries: collections::VecDeque<f64>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request of a window, and `extra` more.
    ///
    /// ```
    /// let mut budget = sardinepaddle_pool::budget::RetryBudget::new(0.2, 1.0, 10_000.0);
    /// assert!(budget.try_retry(0.0, 1.0));
    /// assert!(!budget.try_retry(1.0, 1.0));
    /// assert!(budget.try_retry(10_002.0, 1.0));
    /// ```
    pub fn new(ratio: f64, extra: f64, window_ms: f64) -> Self {
        Self {
            ratio,
            extra,
            window_ms,
            requests: collections::VecDeque::new(),
            retries: collections::VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: f64) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the given share of the budget; returns `false` if none is left.
    pub fn try_retry(&mut self, now: f64, share: f64) -> bool {
        self.drop_expired(now);
        let allowed = share * (self.ratio * self.requests.len() as f64 + self.extra);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: f64) {
        let since = now - self.window_ms;
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| *at < since) {
                queue.pop_front();
            }
        }
    }
}
