//! Limits how many requests are retried.

use std::collections;

use model::ids;
use model::map;

/// Share of the budget that a single customer can't use up while others make requests.
const COMMON_SHARE: f64 = 0.5;

type TimedCustomer = (f64, Option<ids::CustomerId>);

/// Requests and retries of one customer in the window.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerCount {
    requests: usize,
    retries: usize,
}

/// Counts the requests and retries of one service over a sliding window.
///
/// Once half of the budget is used, a customer gets a retry only while it has had fewer than an
/// equal part of the whole budget, so that the others still get theirs.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window_ms: f64,
    requests: collections::VecDeque<TimedCustomer>,
    retries: collections::VecDeque<TimedCustomer>,
    counts: map::HashMap<ids::CustomerId, CustomerCount>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request of a window, and `extra` more.
    ///
    /// ```
    /// let mut budget = sardinepaddle_pool::budget::RetryBudget::new(0.2, 1.0, 10_000.0);
    /// assert!(budget.try_retry(0.0, 1.0, None));
    /// assert!(!budget.try_retry(1.0, 1.0, None));
    /// assert!(budget.try_retry(10_002.0, 1.0, None));
    /// ```
    pub fn new(ratio: f64, extra: f64, window_ms: f64) -> Self {
        Self {
            ratio,
            extra,
            window_ms,
            requests: collections::VecDeque::new(),
            retries: collections::VecDeque::new(),
            counts: map::HashMap::default(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: f64, customer: Option<&ids::CustomerId>) {
        self.drop_expired(now);
        if let Some(customer) = customer {
            self.counts.entry(customer.clone()).or_default().requests += 1;
        }
        self.requests.push_back((now, customer.cloned()));
    }

    /// Takes one retry from the given share of the budget; returns `false` if none is left for the
    /// customer.
    ///
    /// ```
    /// use model::ids;
    /// let (one, other) = (ids::CustomerId::new("one"), ids::CustomerId::new("other"));
    /// let mut budget = sardinepaddle_pool::budget::RetryBudget::new(0.0, 4.0, 10_000.0);
    /// budget.record_request(0.0, Some(&one));
    /// budget.record_request(0.0, Some(&other));
    /// let retries = (0..4).filter(|_| budget.try_retry(0.0, 1.0, Some(&one)));
    /// assert_eq!(retries.count(), 2);
    /// assert!(budget.try_retry(0.0, 1.0, Some(&other)));
    /// ```
    pub fn try_retry(&mut self, now: f64, share: f64, customer: Option<&ids::CustomerId>) -> bool {
        self.drop_expired(now);
        let allowed = share * (self.ratio * self.requests.len() as f64 + self.extra);
        let retries = self.retries.len() as f64 + 1.0;
        let is_scarce = retries > COMMON_SHARE * allowed;
        if retries > allowed || (is_scarce && !self.is_within_part(customer, allowed)) {
            return false;
        }
        if let Some(customer) = customer {
            self.counts.entry(customer.clone()).or_default().retries += 1;
        }
        self.retries.push_back((now, customer.cloned()));
        true
    }

    /// Whether one more retry of a customer stays within an equal part of the budget.
    fn is_within_part(&self, customer: Option<&ids::CustomerId>, allowed: f64) -> bool {
        let Some(customer) = customer else {
            return true;
        };
        let retries = self.counts.get(customer).map_or(0, |count| count.retries);
        let is_new = usize::from(!self.counts.contains_key(customer));
        let customers = (self.counts.len() + is_new).max(1);
        (retries + 1) as f64 <= (allowed / customers as f64).max(1.0)
    }

    fn drop_expired(&mut self, now: f64) {
        let since = now - self.window_ms;
        let is_expired = |entry: &TimedCustomer| entry.0 < since;
        while let Some((_, customer)) = self.requests.pop_front_if(|entry| is_expired(entry)) {
            self.forget(customer, |count| count.requests -= 1);
        }
        while let Some((_, customer)) = self.retries.pop_front_if(|entry| is_expired(entry)) {
            self.forget(customer, |count| count.retries -= 1);
        }
    }

    fn forget(
        &mut self,
        customer: Option<ids::CustomerId>,
        decrease: impl FnOnce(&mut CustomerCount),
    ) {
        let Some(customer) = customer else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&customer) {
            decrease(count);
            if count.requests == 0 && count.retries == 0 {
                self.counts.remove(&customer);
            }
        }
    }
}
