//! How fast the waiting requests of a route drain, and when refused ones may return.

use std::collections;

use model::ids;
use model::map;

/// Time in which the weight of a measured placement falls by two thirds, ms.
const RATE_WINDOW_MS: f64 = 1_000.0;
/// Weight of the configured rate beside the measured one, as ms of measurement.
const CONFIGURED_WEIGHT_MS: f64 = 100.0;
/// Share of the drain that is promised to refused requests for their return; the rest is for new
/// ones.
const RETURN_SHARE: f64 = 0.1;
/// Share of the time left up to which clients honour a retry delay; set by the users' protocol.
const HONOURED_SHARE: f64 = 1.0 / 3.0;
/// Shortest and longest retry delay, ms.
const RETRY_DELAY_RANGE_MS: (f64, f64) = (100.0, 30_000.0);
/// Time by which a client may return before the time that it was told, ms: clocks and links differ.
const RETURN_TOLERANCE_MS: f64 = 20.0;
/// Time after the promised one for which a return is expected, ms.
const RETURN_EXPIRY_MS: f64 = 2_000.0;
/// Refused requests remembered.
const MAX_REFUSED: usize = 4_096;

/// Measures the engine time that is placed per ms while requests wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainMeter {
    placed_ms: f64,
    measured_ms: f64,
    updated_at: f64,
    has_waiting: bool,
}

impl DrainMeter {
    /// Records whether requests wait from now on.
    pub fn set_waiting(&mut self, now: f64, has_waiting: bool) {
        self.advance(now);
        self.has_waiting = has_waiting;
    }

    /// Records a placement, which counts if requests wait.
    pub fn record_placement(&mut self, now: f64, work_ms: f64) {
        self.advance(now);
        if self.has_waiting {
            self.placed_ms += work_ms;
        }
    }

    /// Returns whether requests wait.
    pub fn has_waiting(&self) -> bool {
        self.has_waiting
    }

    fn advance(&mut self, now: f64) {
        let elapsed_ms = (now - self.updated_at).max(0.0);
        let kept = (-elapsed_ms / RATE_WINDOW_MS).exp();
        self.placed_ms *= kept;
        self.measured_ms *= kept;
        if self.has_waiting {
            self.measured_ms += RATE_WINDOW_MS * (1.0 - kept);
        }
        self.updated_at = now;
    }

    /// Returns the engine time that drains per ms. `configured` is that of engines without other
    /// work; it counts until enough was measured.
    pub fn rate(&self, configured: f64) -> f64 {
        let weighted = self.placed_ms + CONFIGURED_WEIGHT_MS * configured;
        weighted / (self.measured_ms + CONFIGURED_WEIGHT_MS)
    }
}

/// The moments at which refused requests of a route are told to return, one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnSlots {
    next_at: f64,
}

impl ReturnSlots {
    /// Returns the retry delay of a refused request, ms, and whether a place is kept for its return:
    /// not if its client comes back before that, since it doesn't wait so long.
    ///
    /// `drained_ms` is the time until the requests that wait have been placed, `work_ms` the engine
    /// time of the request, `rate` the engine time that drains per ms, and `remaining_ms` the time
    /// that the client has left.
    pub fn assign(
        &mut self,
        now: f64,
        drained_ms: f64,
        work_ms: f64,
        rate: f64,
        remaining_ms: f64,
    ) -> (f64, bool) {
        let (shortest, longest) = RETRY_DELAY_RANGE_MS;
        let slot_at = self.next_at.max(now + drained_ms.max(shortest));
        let delay_ms = slot_at - now;
        let is_honoured = delay_ms <= HONOURED_SHARE * remaining_ms;
        if is_honoured {
            self.next_at = slot_at + work_ms / (RETURN_SHARE * rate).max(1e-6);
        }
        (delay_ms.min(longest.max(drained_ms)), is_honoured)
    }
}

/// Refused requests and the times at which they may return.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedTable {
    return_times: map::HashMap<ids::RequestDigest, f64>,
    order: collections::VecDeque<ids::RequestDigest>,
}

impl RefusedTable {
    /// Records the time at which a refused request may return; the oldest one is forgotten if there
    /// are too many.
    pub fn insert(&mut self, digest: ids::RequestDigest, return_at: f64) {
        if self.return_times.insert(digest, return_at).is_none() {
            self.order.push_back(digest);
        }
        while self.order.len() > MAX_REFUSED {
            if let Some(oldest) = self.order.pop_front() {
                self.return_times.remove(&oldest);
            }
        }
    }

    /// Returns whether a request was refused before and returns at the time that it was told.
    pub fn is_return(&self, now: f64, digest: ids::RequestDigest) -> bool {
        let return_at = self.return_times.get(&digest);
        return_at.is_some_and(|return_at| {
            let from = return_at - RETURN_TOLERANCE_MS;
            (from..return_at + RETURN_EXPIRY_MS).contains(&now)
        })
    }
}
