//! A request of a client.

use std::cell;
use std::rc;

use bytes::Bytes;
use model::ids;
use model::millis;
use platform::headers;
use pool::grace;
use pool::quarantine;
use pool::routes;

use crate::retry_permit;
use crate::state;
use crate::upstream;

/// Minimum gap between two events at which clients abandon a request, ms; set by the users'
/// protocol.
const MIN_ABANDON_AFTER_MS: f64 = 2_000.0;
/// Multiples of the latency objective and of the gap objective for which clients wait at least; set
/// by the users' protocol.
const ABANDON_FACTORS: (f64, f64) = (4.0, 8.0);

/// No retry is left in this daemon's budget.
#[derive(Debug)]
pub(crate) struct BudgetExhausted;

/// Result of this module.
pub(crate) type Result<T> = std::result::Result<T, BudgetExhausted>;

/// A request as read from its client.
pub(crate) struct ClientRequest {
    pub state: rc::Rc<state::DaemonState>,
    pub upstreams: rc::Rc<upstream::UpstreamPool>,
    pub route_match: routes::RouteMatch,
    pub hints: headers::RequestHints,
    pub method: http::Method,
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    /// By which its repeats are recognized.
    pub digest: ids::RequestDigest,
    /// Arrival time, ms since the start of the process.
    pub arrived_at: f64,
    /// Time by which the response must be complete, ms since the start of the process.
    pub deadline: f64,
    /// Time that its response probably takes, ms.
    pub expected_ms: f64,
    /// Number of times that it was sent to an endpoint, and of runs before it was forwarded here.
    pub sendings: cell::Cell<u32>,
}

impl ClientRequest {
    pub fn remaining_ms(&self) -> f64 {
        self.deadline - self.state.now()
    }

    /// Returns what decides during a shutdown whether it may still be sent.
    pub fn sending_terms(&self, may_have_run: bool) -> grace::SendingTerms {
        grace::SendingTerms {
            retry_safety: self.route_match.route.retry_safety,
            may_have_run,
            deadline: self.deadline,
            expected_ms: self.expected_ms,
        }
    }

    /// Returns the time for which requests like this one are declined, ms, as endpoints crash on
    /// them.
    pub fn quarantined_ms(&self) -> Option<f64> {
        let features = quarantine::RequestFeatures {
            parts: self.hints.shared_parts.clone(),
            digest: Some(self.digest),
        };
        self.state.quarantined_ms(&features)
    }

    /// Returns the permit that the next sending needs, unless it is the first.
    pub fn acquire_if_repeat(&self) -> Result<Option<retry_permit::RetryPermit>> {
        match self.sendings.get() {
            0 => Ok(None),
            _ => self.acquire_permit().map(Some),
        }
    }

    /// Returns a permit for a sending after or beside another one.
    pub fn acquire_permit(&self) -> Result<retry_permit::RetryPermit> {
        let service = &self.route_match.service;
        let permit = retry_permit::RetryPermit::acquire(&self.state, service);
        if permit.is_none() {
            log::info!(target: "sardinepaddle", request = self.hints.attempt_id, service:% = service,
                earlier = self.sendings.get(); "request not sent again: the retry budget is used up");
        }
        permit.ok_or(BudgetExhausted)
    }

    /// Counts a sending to an endpoint and logs it if it is a repeat.
    pub fn record_sending(&self, endpoint: &ids::EndpointId, reason: &'static str) {
        let earlier = self.sendings.get();
        self.sendings.set(earlier + 1);
        let kind = if earlier == 0 { "first" } else { reason };
        let service = &self.route_match.service;
        self.state.metrics.sending(service.as_str(), kind);
        if earlier > 0 {
            log::info!(target: "sardinepaddle", request = self.hints.attempt_id, endpoint:% = endpoint,
                service:% = service, earlier, reason; "request sent again");
        }
    }

    /// Counts a sending to another daemon, which may send it to an endpoint.
    pub fn record_forwarding(&self) {
        self.sendings.set(self.sendings.get() + 1);
    }

    /// Gap before or between events at which the client abandons the request, ms.
    pub fn abandon_after_ms(&self) -> f64 {
        let route = &self.route_match.route;
        let (objective_factor, gap_factor) = ABANDON_FACTORS;
        let by_objective = objective_factor * millis::from_duration(route.latency_objective);
        let by_gap = gap_factor * millis::from_duration(route.gap_objective);
        MIN_ABANDON_AFTER_MS.max(by_objective).max(by_gap)
    }
}
