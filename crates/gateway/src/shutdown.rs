//! The shutdown of the daemon, as its requests see it.

use model::millis;
use pool::grace;
use tokio::sync::watch;
use tokio::time;

use crate::clock;

/// Whether the process was asked to exit, and the times that follow from it.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    period: watch::Sender<Option<grace::GracePeriod>>,
}

impl ShutdownState {
    /// Starts the shutdown and returns its times.
    pub fn start(&self, now: f64, grace_ms: f64) -> grace::GracePeriod {
        let period = grace::GracePeriod::new(now, grace_ms);
        self.period.send_replace(Some(period));
        period
    }

    /// Whether the process was asked to exit.
    pub fn is_started(&self) -> bool {
        self.period.borrow().is_some()
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: f64, terms: &grace::SendingTerms) -> bool {
        let period = *self.period.borrow();
        period.is_none_or(|period| now <= period.send_until(terms))
    }

    /// Waits until a request may no longer be sent.
    pub async fn wait_for_last_sending(
        &self,
        clock: &clock::MonotonicClock,
        terms: &grace::SendingTerms,
    ) {
        self.wait(clock, |period| period.send_until(terms)).await;
    }

    /// Waits until requests without a response should get one.
    pub async fn wait_for_last_response(&self, clock: &clock::MonotonicClock) {
        self.wait(clock, grace::GracePeriod::last_response_at).await;
    }

    async fn wait(&self, clock: &clock::MonotonicClock, time: impl Fn(&grace::GracePeriod) -> f64) {
        let mut periods = self.period.subscribe();
        let started = periods.wait_for(Option::is_some).await;
        let period = started.ok().and_then(|period| *period);
        match period {
            Some(period) => time::sleep(millis::to_duration(time(&period) - clock.now())).await,
            None => std::future::pending().await,
        }
    }
}
