//! Periods in which an endpoint wants no requests from this daemon.
//!
//! An endpoint that turns a request away may name such a period. It then gets nothing from this
//! daemon until the period ends, and afterwards a few requests at first, as it would otherwise be
//! as full as before.

use model::ids;
use model::map;
use model::serving;

/// Upper limit of a period, ms. An endpoint that names more is not lost for longer if its value
/// was wrong.
pub const MAX_PERIOD_MS: f64 = 600_000.0;
/// Time after a period in which requests are sent one at a time, ms.
const RAMP_MS: f64 = 2_000.0;
/// Minimum interval between two requests in that time, ms.
const RAMP_INTERVAL_MS: f64 = 200.0;

#[derive(Clone, Copy, Debug)]
struct QuietPeriod {
    started_ms: u64,
    until: f64,
    /// Time from which the next request may be sent, ms.
    next_send_at: f64,
}

/// The quiet periods of endpoints.
#[derive(Clone, Debug, Default)]
pub struct QuietPeriods {
    periods: map::HashMap<ids::EndpointId, QuietPeriod>,
}

impl QuietPeriods {
    /// Records that the incarnation of an endpoint that started at `started_ms` wants no requests
    /// for a time.
    ///
    /// ```
    /// use model::{ids, serving};
    /// use sardinepaddle_pool::quiet;
    /// let live = serving::LiveEndpoint {
    ///     id: ids::EndpointId::new("e1"), service: ids::ServiceId::new("s"),
    ///     address: "127.0.0.1:80".parse().unwrap(), centre: ids::CentreId::new("a"),
    ///     slots: 1, leaving: false, started_ms: 5, sequence: 1,
    /// };
    /// let mut periods = quiet::QuietPeriods::default();
    /// periods.record(0.0, &live.id, 5, 1_500.0);
    /// assert!(!periods.accepts(1_499.0, &live));
    /// assert!(periods.accepts(1_500.0, &live));
    /// ```
    pub fn record(&mut self, now: f64, id: &ids::EndpointId, started_ms: u64, period_ms: f64) {
        let until = now + period_ms.clamp(0.0, MAX_PERIOD_MS);
        let known = self.periods.get(id);
        if known.is_some_and(|known| known.started_ms >= started_ms && known.until >= until) {
            return;
        }
        let period = QuietPeriod {
            started_ms,
            until,
            next_send_at: until,
        };
        self.periods.insert(id.clone(), period);
    }

    fn next_send_at(&self, live: &serving::LiveEndpoint) -> f64 {
        let period = self.periods.get(&live.id);
        let period = period.filter(|period| period.started_ms >= live.started_ms);
        period.map_or(f64::NEG_INFINITY, |period| period.next_send_at)
    }

    /// Returns whether an endpoint may get a request now.
    pub fn accepts(&self, now: f64, live: &serving::LiveEndpoint) -> bool {
        now >= self.next_send_at(live)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, now: f64, id: &ids::EndpointId) {
        if let Some(period) = self.periods.get_mut(id) {
            period.next_send_at = period.next_send_at.max(now + RAMP_INTERVAL_MS);
        }
    }

    /// Returns the time at which the first of the endpoints may get a request, if none may now.
    pub fn first_due<'a>(
        &self,
        now: f64,
        endpoints: impl Iterator<Item = &'a serving::LiveEndpoint>,
    ) -> Option<f64> {
        let due = endpoints.map(|live| self.next_send_at(live));
        let first = due.min_by(f64::total_cmp)?;
        (first > now).then_some(first)
    }

    /// Removes the periods whose endpoints are back to normal.
    pub fn sweep(&mut self, now: f64) {
        self.periods
            .retain(|_, period| now < period.until + RAMP_MS);
    }

    /// Returns whether there is no period.
    pub fn is_empty(&self) -> bool {
        self.periods.is_empty()
    }
}
