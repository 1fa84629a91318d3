//! Decides which requests a daemon may still send to endpoints after it was asked to exit.

use model::serving;

/// Longest time after the start of the shutdown during which requests are sent whatever their
/// deadlines, ms; the load balancer has noticed by then.
const NOTICE_TIME_MS: f64 = 3_000.0;
/// Largest part of the grace period that this may take.
const MAX_NOTICE_FRACTION: f64 = 0.5;
/// Time before the end of the grace period by which the process exits, ms: timers fire late on a host
/// whose processor is throttled.
const EXIT_MARGIN_MS: f64 = 200.0;
/// Time before the exit at which requests without a response get one, ms.
const LAST_RESPONSE_MARGIN_MS: f64 = 100.0;

/// The times of a shutdown, ms of the caller's clock.
///
/// ```
/// use sardinepaddle_pool::grace::GracePeriod;
/// let period = GracePeriod::new(1_000.0, 8_000.0);
/// assert_eq!(period.exit_at(), 8_800.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GracePeriod {
    noticed_at: f64,
    last_response_at: f64,
    exit_at: f64,
}

/// What is known of a request when it is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendingTerms {
    /// Whether it may run more than once.
    pub retry_safety: serving::RetrySafety,
    /// Whether it may have run already.
    pub may_have_run: bool,
    /// Time by which its response is complete at the latest, ms of the caller's clock.
    pub deadline: f64,
    /// Time that its response probably takes, ms.
    pub expected_ms: f64,
}

impl GracePeriod {
    /// Starts the grace period of a shutdown.
    pub fn new(started_at: f64, grace_ms: f64) -> Self {
        let exit_at = started_at + (grace_ms - EXIT_MARGIN_MS).max(0.0);
        Self {
            noticed_at: started_at + NOTICE_TIME_MS.min(grace_ms * MAX_NOTICE_FRACTION),
            last_response_at: (exit_at - LAST_RESPONSE_MARGIN_MS).max(started_at),
            exit_at,
        }
    }

    /// Returns the time at which the process exits at the latest, ms.
    pub fn exit_at(&self) -> f64 {
        self.exit_at
    }

    /// Returns the time at which requests without a response get one, ms.
    pub fn last_response_at(&self) -> f64 {
        self.last_response_at
    }

    /// Returns the time until which a request may be sent, ms.
    ///
    /// A plain call that may be repeated is sent while its response is expected before the exit. Any
    /// other request would be lost if it took longer, so that its deadline counts as soon as the load
    /// balancer has noticed the shutdown.
    ///
    /// ```
    /// use model::serving::RetrySafety;
    /// use sardinepaddle_pool::grace::{GracePeriod, SendingTerms};
    /// let period = GracePeriod::new(0.0, 8_000.0);
    /// let order = SendingTerms {
    ///     retry_safety: RetrySafety::AtMostOnce, may_have_run: false,
    ///     deadline: 10_000.0, expected_ms: 200.0,
    /// };
    /// assert_eq!(period.send_until(&order), 3_000.0);
    /// let order = SendingTerms { deadline: 7_000.0, ..order };
    /// assert_eq!(period.send_until(&order), 7_500.0);
    /// ```
    pub fn send_until(&self, terms: &SendingTerms) -> f64 {
        if terms.may_have_run {
            // It can't be refused as not run any more.
            return self.last_response_at;
        }
        let until = self.last_response_at - terms.expected_ms;
        let is_repeatable_call = terms.retry_safety == serving::RetrySafety::Idempotent;
        match is_repeatable_call || terms.deadline <= self.last_response_at {
            true => until,
            false => until.min(self.noticed_at),
        }
    }
}
