//! What an endpoint has been seen to be able to take, where that is less than the placer believes.
//!
//! An endpoint that rejects a request has fewer places or less free memory than the placer counted,
//! for example as it has restarted or serves others. It gets no further request for a pause that
//! grows with each rejection, then one small request at a time until some of these have started,
//! and from then on as many as it had at the rejection, and more as time passes. While most endpoints
//! of a service reject requests, for example as another placer fills them too, pauses are short.

use model::ids;

/// Time without requests after a first rejection, ms.
const INITIAL_PAUSE_MS: f64 = 1_000.0;
/// Longest such time, ms.
const MAX_PAUSE_MS: f64 = 16_000.0;
/// Factor by which it grows with each rejection after a pause.
const PAUSE_GROWTH: f64 = 4.0;
/// Pause while most endpoints of a service reject requests, ms: about one pass of an engine.
const COMMON_PAUSE_MS: f64 = 60.0;
/// Pauses after which an endpoint gets one request more at a time.
const PAUSES_PER_PLACE: f64 = 4.0;
/// Requests that must start, one after the other, before it gets several at a time.
const STARTS_TO_TRUST: u32 = 3;
/// Time after which a small request that hasn't started is no longer waited for, ms.
const TRIAL_TIMEOUT_MS: f64 = 2_000.0;
/// Pauses after which a rejection shows nothing any more.
const MAX_PAUSES: f64 = 40.0;
/// Time for which memory that was refused counts as used, ms: that of a longer response.
const MEMORY_HOLD_MS: f64 = 3_000.0;
/// Largest prefill of a request that may try an endpoint, ms of engine time.
pub const MAX_TRIAL_MS: f64 = 150.0;

/// Slowdown from which an endpoint counts as slower than its profile.
const MIN_SLOWDOWN: f64 = 1.5;

/// What the placer believes of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointBelief {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Factor by which it is slower than its profile, for large prompts.
    pub slowdown: f64,
    /// Age of the newest evidence of that, ms; `None` if there was none.
    pub evidence_age_ms: Option<f64>,
    /// Requests that it is believed to take, if that is less than its slots.
    pub places: Option<usize>,
}

impl EndpointBelief {
    /// Whether the endpoint does less than its profile and slots say.
    pub fn is_reduced(&self) -> bool {
        self.slowdown >= MIN_SLOWDOWN || self.places.is_some()
    }
}

/// What the rejections of one endpoint show.
///
/// ```
/// let mut capacity = sardinepaddle_pool::capacity::BelievedCapacity::default();
/// assert!(capacity.accepts(0.0, 12, 4_000.0));
/// capacity.record_rejection(0.0, 5);
/// assert!(!capacity.accepts(100.0, 5, 20.0));
/// // Later, a small request tries it, but no large one.
/// assert!(capacity.accepts(1_100.0, 4, 20.0) && !capacity.accepts(1_100.0, 4, 4_000.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BelievedCapacity {
    /// The newest rejection, unless it shows nothing any more.
    rejection: Option<RejectionEvidence>,
    /// Tokens of memory that were refused, and the time of that, ms.
    refused_memory: Option<(u64, f64)>,
}

/// The newest rejection of an endpoint.
#[derive(Clone, Copy, Debug)]
struct RejectionEvidence {
    at: f64,
    /// Time without requests that follows, ms.
    pause_ms: f64,
    /// Requests that the endpoint had besides.
    places: usize,
    /// Requests that have started since the pause.
    starts: u32,
    /// Time at which a small request was sent that hasn't started, ms.
    trial_at: Option<f64>,
}

impl RejectionEvidence {
    fn paused_until(&self) -> f64 {
        self.at + self.pause_ms
    }
}

impl BelievedCapacity {
    /// Records that the endpoint rejected a request beside `running` others.
    pub fn record_rejection(&mut self, now: f64, running: usize) {
        let (pause_ms, places) = match self.current(now) {
            // Requests that were under way at the same time show the same as the first of them.
            Some(previous) if now < previous.paused_until() => {
                (previous.pause_ms, running.min(previous.places))
            }
            Some(previous) => (
                (PAUSE_GROWTH * previous.pause_ms).min(MAX_PAUSE_MS),
                running,
            ),
            None => (INITIAL_PAUSE_MS, running),
        };
        self.rejection = Some(RejectionEvidence {
            at: now,
            pause_ms,
            places,
            starts: 0,
            trial_at: None,
        });
    }

    /// Records that the endpoint refused to reserve `tokens` of memory.
    pub fn record_refused_memory(&mut self, now: f64, tokens: u64) {
        self.refused_memory = Some((tokens, now));
    }

    /// Records that a request is sent to the endpoint.
    pub fn record_placement(&mut self, now: f64) {
        if let Some(rejection) = &mut self.rejection {
            rejection.trial_at = Some(now);
        }
    }

    /// Records the first event of a request that was sent to the endpoint at `placed_at`.
    pub fn record_start(&mut self, now: f64, placed_at: f64) {
        if self.current(now).is_none() {
            self.rejection = None;
        }
        if let Some(rejection) = &mut self.rejection
            && placed_at >= rejection.at
        {
            rejection.starts += 1;
            rejection.trial_at = None;
        }
    }

    fn current(&self, now: f64) -> Option<&RejectionEvidence> {
        let rejection = self.rejection.as_ref();
        rejection.filter(|rejection| now - rejection.at <= MAX_PAUSES * rejection.pause_ms)
    }

    /// Whether an endpoint with `running` requests may get another one, whose prefill takes
    /// `prefill_ms` of engine time.
    pub fn accepts(&self, now: f64, running: usize, prefill_ms: f64) -> bool {
        let Some(rejection) = self.current(now) else {
            return true;
        };
        let paused_until = rejection.paused_until();
        if now < paused_until {
            return false;
        }
        if rejection.starts < STARTS_TO_TRUST {
            let pending = rejection.trial_at;
            let is_tried = pending.is_some_and(|at| now - at < TRIAL_TIMEOUT_MS);
            return !is_tried && prefill_ms <= MAX_TRIAL_MS && running <= rejection.places;
        }
        let further_pauses = (now - paused_until) / rejection.pause_ms;
        running < rejection.places.max(1) + (further_pauses / PAUSES_PER_PLACE) as usize
    }

    /// Whether the endpoint may get a request while most endpoints of its service reject some.
    pub fn accepts_in_common_pause(&self, now: f64) -> bool {
        let rejection = self.current(now);
        rejection.is_none_or(|rejection| now >= rejection.at + COMMON_PAUSE_MS)
    }

    /// Returns how many requests the endpoint is believed to take, if that is less than its slots.
    pub fn limit(&self, now: f64) -> Option<usize> {
        self.current(now).map(|rejection| rejection.places)
    }

    /// Returns the tokens of memory that the endpoint is believed to have free, of `free` by the
    /// placer's count.
    pub fn free_memory(&self, now: f64, free: u64) -> u64 {
        match self.refused_memory {
            Some((tokens, at)) if now - at <= MEMORY_HOLD_MS => free.min(tokens.saturating_sub(1)),
            _ => free,
        }
    }
}
