//! Tells outages of the store, in which entries of endpoints may expire, from failed connections.
//!
//! An entry expires only after its endpoint has been silent for several heartbeats, so a store that
//! responded in the meantime can't have lost entries, whatever happened to single calls.

/// Heartbeats that an endpoint misses before its entry expires. The last one may have been sent just
/// before the outage began.
const MISSED_HEARTBEATS: f64 = 2.0;
/// Time after an outage in which an endpoint that is alive registers again, ms.
const REGISTRATION_MS: f64 = 2_200.0;
/// Time before a daemon counts as in touch again at which removals are applied, ms.
const CONTACT_MARGIN_MS: f64 = 150.0;

/// Intervals of the deployment that bound outages and their effects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutageBounds {
    /// Interval at which endpoints write their entries, ms.
    pub heartbeat_ms: f64,
    /// Time after the return of the store from which daemons must follow all its removals, ms.
    pub contact_ms: f64,
}

/// Length of an outage that has ended and its effect on removals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreOutage {
    /// Time without a response, ms.
    pub length_ms: f64,
    /// Time until which removals of endpoints are deferred, ms.
    pub deferred_until: f64,
}

/// When the store responded, and until when removals are deferred after an outage.
#[derive(Clone, Copy, Debug)]
pub struct OutageTracker {
    bounds: OutageBounds,
    last_response_at: f64,
    /// When the last call that failed was sent, ms: the store wasn't reachable before.
    last_failure_sent_at: f64,
    deferred_until: f64,
}

impl OutageTracker {
    /// Creates a tracker that knows of no response.
    pub fn new(bounds: OutageBounds) -> Self {
        Self {
            bounds,
            last_response_at: f64::NEG_INFINITY,
            last_failure_sent_at: f64::NEG_INFINITY,
            deferred_until: f64::NEG_INFINITY,
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: OutageBounds) {
        self.bounds = bounds;
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, sent_at: f64) {
        self.last_failure_sent_at = self.last_failure_sent_at.max(sent_at);
    }

    /// Records that the store responded to this daemon or to another one. Returns the outage that
    /// has ended with this response, if entries may have expired in it.
    ///
    /// ```
    /// use sardinepaddle_pool::outage::{OutageBounds, OutageTracker};
    /// let bounds = OutageBounds { heartbeat_ms: 1_200.0, contact_ms: 3_000.0 };
    /// let mut tracker = OutageTracker::new(bounds);
    /// tracker.record_response(0.0);
    /// tracker.record_failure(1_000.0);
    /// assert_eq!(tracker.record_response(1_500.0), None);
    /// tracker.record_failure(5_000.0);
    /// assert_eq!(tracker.record_response(5_200.0).unwrap().length_ms, 3_700.0);
    /// assert_eq!(tracker.deferred_until(), 7_400.0);
    /// ```
    pub fn record_response(&mut self, at: f64) -> Option<StoreOutage> {
        let previous_at = self.last_response_at;
        if at <= previous_at {
            return None;
        }
        self.last_response_at = at;
        let length_ms = at - previous_at;
        let has_failed = self.last_failure_sent_at > previous_at;
        if !has_failed || length_ms < MISSED_HEARTBEATS * self.bounds.heartbeat_ms {
            return None;
        }
        // The store may have returned at any time since the last failed call was sent.
        let contact_at = self.last_failure_sent_at + self.bounds.contact_ms;
        let deferred_until = (at + REGISTRATION_MS).min(contact_at - CONTACT_MARGIN_MS);
        self.deferred_until = self.deferred_until.max(deferred_until);
        Some(StoreOutage {
            length_ms,
            deferred_until: self.deferred_until,
        })
    }

    /// Returns the time until which removals of endpoints are deferred, ms.
    pub fn deferred_until(&self) -> f64 {
        self.deferred_until
    }
}
