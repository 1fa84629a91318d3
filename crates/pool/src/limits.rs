//! Limits of requests per second that endpoints name for all daemons together.
//!
//! The placer spaces the requests that it places on such an endpoint. It uses a share of the limit by
//! the size of its group, so that any number of placers at the same time stay within what the endpoint
//! tolerates.

use model::ids;
use model::map;
use model::serving;
use serde::{Deserialize, Serialize};

/// Lowest limit that is applied, requests per second. An endpoint that names less still gets a
/// request now and then, as only its responses tell when the limit ends.
const MIN_PER_S: f64 = 0.05;
/// Highest limit that is applied, requests per second: more than an endpoint can get.
const MAX_PER_S: f64 = 1e6;
/// Share of each limit that all placers use together: endpoints tolerate half more than their limit.
const TOTAL_SHARE: f64 = 1.4;
/// Largest share of one placer: a second one may appear before the first hears of it.
const MAX_SHARE: f64 = 0.75;
/// Share that all daemons use together while each places only its own requests. Each may place one at
/// the same moment.
const ALONE_SHARE: f64 = 0.5;
/// Time by which a request may come before its turn, ms: placements are decided at intervals.
const TOLERANCE_MS: f64 = 40.0;

/// The limit that an incarnation of an endpoint named.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointLimit {
    /// Start of the incarnation, Unix ms.
    pub started_ms: u64,
    /// Requests per second.
    pub per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct LimitState {
    limit: EndpointLimit,
    /// Time at which the next request may be placed, ms.
    next_at: f64,
}

/// The limits of all endpoints, and when each may get its next request.
#[derive(Clone, Debug)]
pub struct RateLimits {
    states: map::HashMap<ids::EndpointId, LimitState>,
    share: f64,
}

/// Returns the share of each limit that the placer of a group uses, itself included in its size; zero
/// if it follows another one. `daemons` is the number of listed daemons.
///
/// ```
/// use sardinepaddle_pool::limits;
/// let alone = limits::group_share(1, 9);
/// let third = limits::group_share(3, 9);
/// assert!(alone < third && 3.0 * third < 1.5);
/// assert!(limits::group_share(9, 9) > third);
/// ```
pub fn group_share(members: usize, daemons: usize) -> f64 {
    let daemons = daemons.max(members).max(1) as f64;
    match members {
        0 | 1 => ALONE_SHARE / daemons,
        members => MAX_SHARE.min(TOTAL_SHARE * members as f64 / daemons),
    }
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            states: map::HashMap::default(),
            share: 1.0,
        }
    }
}

impl RateLimits {
    /// Sets the share of each limit that is used here.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Replaces the limits. The first request on an endpoint with a new one waits its turn, as
    /// other daemons may have sent some just before.
    ///
    /// ```
    /// use model::{ids, serving};
    /// use sardinepaddle_pool::limits;
    /// let live = serving::LiveEndpoint {
    ///     id: ids::EndpointId::new("e1"), service: ids::ServiceId::new("s"),
    ///     address: "127.0.0.1:80".parse().unwrap(), centre: ids::CentreId::new("a"),
    ///     slots: 1, leaving: false, started_ms: 5, sequence: 1,
    /// };
    /// let mut rates = limits::RateLimits::default();
    /// let limit = limits::EndpointLimit { started_ms: 5, per_s: 2.0 };
    /// rates.set_limits(0.0, &[(live.id.clone(), limit)]);
    /// assert!(!rates.accepts(400.0, &live));
    /// assert!(rates.accepts(500.0, &live));
    /// rates.record_placement(500.0, &live.id);
    /// assert!(!rates.accepts(900.0, &live));
    /// ```
    pub fn set_limits(&mut self, now: f64, limits: &[(ids::EndpointId, EndpointLimit)]) {
        let mut states = map::HashMap::default();
        for (id, limit) in limits {
            let known = self.states.get(id);
            let known = known.filter(|known| known.limit.started_ms == limit.started_ms);
            let turn_at = now + self.interval_ms(limit);
            let next_at = known.map_or(turn_at, |known| known.next_at.min(turn_at));
            let limit = *limit;
            states.insert(id.clone(), LimitState { limit, next_at });
        }
        self.states = states;
    }

    fn interval_ms(&self, limit: &EndpointLimit) -> f64 {
        1_000.0 / (limit.per_s.clamp(MIN_PER_S, MAX_PER_S) * self.share)
    }

    /// Whether no endpoint names a limit.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the time from which an endpoint may get a request, ms.
    pub fn next_at(&self, live: &serving::LiveEndpoint) -> f64 {
        let state = self.states.get(&live.id);
        let state = state.filter(|state| state.limit.started_ms >= live.started_ms);
        state.map_or(f64::NEG_INFINITY, |state| state.next_at - TOLERANCE_MS)
    }

    /// Returns whether an endpoint may get a request now.
    pub fn accepts(&self, now: f64, live: &serving::LiveEndpoint) -> bool {
        now >= self.next_at(live)
    }

    /// Records that a request is placed on an endpoint.
    pub fn record_placement(&mut self, now: f64, id: &ids::EndpointId) {
        let Some(state) = self.states.get(id) else {
            return;
        };
        let next_at = state.next_at.max(now) + self.interval_ms(&state.limit);
        if let Some(state) = self.states.get_mut(id) {
            state.next_at = next_at;
        }
    }
}
