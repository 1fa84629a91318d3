//! Limits how many requests are sent more than once.
//!
//! The budget of a deployment is divided among its daemons. Each counts what it sends itself, so that
//! all of them stay within the budget together, whichever daemon places their requests.

use std::collections;

use model::ids;
use model::map;

use crate::shares;

/// Share of the allowed ratio that a daemon uses: arrivals at an endpoint are counted later than
/// sendings.
const RATIO_SHARE: f64 = 0.9;
/// Share of the extra retries of which each daemon has an equal part.
const SETTLED_SHARE: f64 = 0.65;
/// The same in the first window after the start of a daemon: what the previous process on its host
/// sent isn't known, and daemons that were added aren't known to the others yet.
const STARTED_SHARE: f64 = 0.25;
/// Time after the start in which the list of daemons is awaited, ms: few requests arrive by then.
const LIST_WAIT_MS: f64 = 1_000.0;

/// The retries that a deployment allows for each service.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Retries allowed per request of a window.
    pub ratio: f64,
    /// Retries allowed in a window in addition, whatever the number of requests.
    pub extra: f64,
    /// Length of the sliding window, ms.
    pub window_ms: f64,
}

/// Counts the requests and retries of one daemon for one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    requests: collections::VecDeque<f64>,
    retries: collections::VecDeque<f64>,
    /// Number of retries that were granted and not yet sent.
    reserved: usize,
}

impl RetryBudget {
    /// Creates a budget without requests.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            requests: collections::VecDeque::new(),
            retries: collections::VecDeque::new(),
            reserved: 0,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: f64) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Reserves one retry for a daemon that has a share of the extra retries; returns `false` if none
    /// is left. It takes its place in the window with [`Self::record_retry`], unless it is given
    /// back with [`Self::release`].
    ///
    /// ```
    /// use sardinepaddle_pool::budget;
    /// let bounds = budget::BudgetBounds { ratio: 0.2, extra: 1.0, window_ms: 10_000.0 };
    /// let mut budget = budget::RetryBudget::new(bounds);
    /// assert!(budget.try_reserve(0.0, 1.0));
    /// assert!(!budget.try_reserve(1.0, 1.0));
    /// budget.record_retry(500.0);
    /// assert!(!budget.try_reserve(10_400.0, 1.0));
    /// assert!(budget.try_reserve(10_501.0, 1.0));
    /// ```
    pub fn try_reserve(&mut self, now: f64, extra_share: f64) -> bool {
        self.drop_expired(now);
        let ratio = RATIO_SHARE * self.bounds.ratio;
        let allowed = ratio * self.requests.len() as f64 + extra_share * self.bounds.extra;
        let used = self.retries.len() + self.reserved;
        let is_allowed = used as f64 + 1.0 <= allowed;
        self.reserved += usize::from(is_allowed);
        is_allowed
    }

    /// Counts a reserved retry that is sent now.
    pub fn record_retry(&mut self, now: f64) {
        self.release();
        self.retries.push_back(now);
    }

    /// Gives back a reserved retry that won't be sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Whether nothing of the last window is known.
    pub fn is_idle(&mut self, now: f64) -> bool {
        self.drop_expired(now);
        self.requests.is_empty() && self.retries.is_empty() && self.reserved == 0
    }

    fn drop_expired(&mut self, now: f64) {
        let since = now - self.bounds.window_ms;
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| *at < since) {
                queue.pop_front();
            }
        }
    }
}

/// The part of the retry budgets of all services that one daemon may spend.
#[derive(Clone, Debug)]
pub struct DaemonBudget {
    bounds: BudgetBounds,
    /// When the process started, ms.
    started_at: f64,
    services: map::HashMap<ids::ServiceId, RetryBudget>,
    /// Times and numbers of listed daemons; a number holds until the next one.
    sizes: collections::VecDeque<(f64, usize)>,
}

impl DaemonBudget {
    /// Creates the budget of a process that starts now.
    ///
    /// ```
    /// use sardinepaddle_pool::budget;
    /// let bounds = budget::BudgetBounds { ratio: 0.0, extra: 100.0, window_ms: 10_000.0 };
    /// let mut budget = budget::DaemonBudget::new(bounds, 0.0);
    /// budget.set_daemons(0.0, 10);
    /// let service = model::ids::ServiceId::new("llm");
    /// let granted = (0..100).filter(|_| budget.try_reserve(20_000.0, &service)).count();
    /// assert!((5..10).contains(&granted));
    /// ```
    pub fn new(bounds: BudgetBounds, now: f64) -> Self {
        Self {
            bounds,
            started_at: now,
            services: map::HashMap::default(),
            sizes: collections::VecDeque::new(),
        }
    }

    /// Sets the number of listed daemons. Zero, while there is no list, changes nothing.
    pub fn set_daemons(&mut self, now: f64, listed: usize) {
        if listed > 0 && self.sizes.back().is_none_or(|(_, size)| *size != listed) {
            self.sizes.push_back((now, listed));
        }
        let since = now - self.bounds.window_ms;
        while self.sizes.get(1).is_some_and(|(at, _)| *at <= since) {
            self.sizes.pop_front();
        }
    }

    /// Returns the share of the extra retries of a settled daemon. Daemons that left the list within
    /// the last window still count, as what they sent does.
    pub fn settled_share(&self, now: f64) -> f64 {
        SETTLED_SHARE / self.daemons(now)
    }

    /// Counts a request of a client.
    pub fn record_request(&mut self, now: f64, service: &ids::ServiceId) {
        self.budget(service).record_request(now);
    }

    /// Reserves one retry, see [`RetryBudget::try_reserve`].
    pub fn try_reserve(&mut self, now: f64, service: &ids::ServiceId) -> bool {
        let is_settled = now - self.started_at >= self.bounds.window_ms;
        let share = match is_settled {
            true => self.settled_share(now),
            false => STARTED_SHARE / self.daemons(now),
        };
        self.budget(service).try_reserve(now, share)
    }

    /// Counts a reserved retry that is sent now.
    pub fn record_retry(&mut self, now: f64, service: &ids::ServiceId) {
        self.budget(service).record_retry(now);
    }

    /// Gives back a reserved retry.
    pub fn release(&mut self, service: &ids::ServiceId) {
        self.budget(service).release();
    }

    fn daemons(&self, now: f64) -> f64 {
        let listed = self.sizes.iter().map(|(_, size)| *size).max();
        let is_awaited = now - self.started_at < LIST_WAIT_MS;
        let assumed = match is_awaited {
            true => 1,
            false => shares::UNKNOWN_DAEMONS,
        };
        listed.unwrap_or(assumed) as f64
    }

    fn budget(&mut self, service: &ids::ServiceId) -> &mut RetryBudget {
        let bounds = self.bounds;
        let budget = self.services.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(bounds))
    }
}
