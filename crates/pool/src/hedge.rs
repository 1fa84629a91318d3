//! Decides on hedges: second attempts beside first ones whose responses are later than expected, for
//! requests that may be repeated. The extra work is bounded by a share of the work of all requests of
//! the service, which operators set.
//!
//! The load that this answers: a few endpoints are slower than predicted, or silent, while others
//! have room. Under pressure a hedge takes room from other requests, so that none is made.

use std::collections;

use hdrhistogram::Histogram;
use model::ids;
use model::map;

/// Quantile of the relative latencies at which a request is hedged. Up to that time most of the late
/// responses still arrive by themselves.
const HEDGE_QUANTILE: f64 = 0.98;
/// Number of latencies below which [`DEFAULT_RATIO`] applies, and after which the quantile is computed
/// again.
const SAMPLE_COUNT: u64 = 50;
/// Relative latency at which a request is hedged while too few latencies are known.
const DEFAULT_RATIO: f64 = 3.0;
/// Time by which every latency may vary, ms; it covers the decision of the placer.
const MARGIN_MS: f64 = 12.0;
/// Share of the time that the first attempt is still expected to take in which the second one must
/// be predicted to respond.
const EARLIER_SHARE: f64 = 0.7;
/// Interval after which older latencies are dropped, ms.
const LATENCY_PERIOD_MS: f64 = 30_000.0;
/// Relative latencies are recorded in these units, within these limits.
const RATIO_UNIT: f64 = 1_000.0;
const RATIO_LIMITS: (u64, u64) = (1, 1_000_000);
const RATIO_DIGITS: u8 = 2;

/// The extra work that hedges may cause, as shares of the work of all requests of a service.
///
/// ```
/// use model::ids::ServiceId;
/// use sardinepaddle_pool::hedge::HedgeLimits;
/// let limits = HedgeLimits { max_extra_share: 0.0, services: vec![(ServiceId::new("llm"), 0.02)] };
/// assert_eq!(limits.max_extra_share(&ServiceId::new("llm")), 0.02);
/// assert_eq!(limits.max_extra_share(&ServiceId::new("booking")), 0.0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HedgeLimits {
    /// Share for services without one of their own; zero if they aren't hedged.
    pub max_extra_share: f64,
    /// Shares of single services.
    pub services: Vec<(ids::ServiceId, f64)>,
}

impl HedgeLimits {
    /// Returns the share of a service; zero if it isn't hedged.
    pub fn max_extra_share(&self, service: &ids::ServiceId) -> f64 {
        let mut services = self.services.iter();
        let own = services.find(|(other, _)| other == service);
        own.map_or(self.max_extra_share, |(_, share)| *share)
    }
}

/// Why a hedge is not made.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeRefusal {
    /// Hedges have used up the limit of the service.
    Limit,
    /// The retry budget is exhausted.
    RetryBudget,
    /// Other requests need the room: some wait, or no endpoint has any to spare.
    Pressure,
    /// No other endpoint is predicted to respond clearly before the first attempt.
    NotEarlier,
    /// Endpoints may crash on the request.
    Suspected,
    /// The first attempt has responded or ended, or the placer doesn't know it.
    NoFirstAttempt,
}

impl HedgeRefusal {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::RetryBudget => "retry_budget",
            Self::Pressure => "pressure",
            Self::NotEarlier => "not_earlier",
            Self::Suspected => "suspected",
            Self::NoFirstAttempt => "no_first_attempt",
        }
    }
}

/// What the placer knows about a proposed hedge.
#[derive(Clone, Copy, Debug)]
pub struct HedgeProposal {
    /// Whether endpoints may crash on the request.
    pub is_suspected: bool,
    /// Number of requests of the service that wait for a placement.
    pub waiting: usize,
    /// Time that the first attempt is still expected to take; `None` if it is unknown, ms.
    pub first_remaining_ms: Option<f64>,
    /// Predicted time until the second attempt responds; `None` if no endpoint has room, ms.
    pub second_predicted_ms: Option<f64>,
    /// Work until the second attempt responds, ms.
    pub extra_ms: f64,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, HedgeRefusal>;

/// Work of a service and of its hedges: over a sliding window, and since the start.
#[derive(Clone, Debug, Default)]
pub struct WorkWindow {
    recent: collections::VecDeque<WorkEntry>,
    recent_sum: WorkSum,
    total: WorkSum,
}

#[derive(Clone, Copy, Debug)]
struct WorkEntry {
    at: f64,
    work: WorkSum,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkSum {
    requests_ms: f64,
    extra_ms: f64,
}

impl WorkSum {
    fn add(&mut self, other: Self) {
        self.requests_ms += other.requests_ms;
        self.extra_ms += other.extra_ms;
    }

    fn has_room(&self, extra_ms: f64, max_extra_share: f64) -> bool {
        self.extra_ms + extra_ms <= max_extra_share * self.requests_ms
    }
}

impl WorkWindow {
    /// Records the work of a placed request, ms.
    pub fn record_request(&mut self, now: f64, work_ms: f64) {
        let requests_ms = work_ms;
        self.push(
            now,
            WorkSum {
                requests_ms,
                extra_ms: 0.0,
            },
        );
    }

    /// Records the work of a hedge, ms.
    pub fn record_extra(&mut self, now: f64, extra_ms: f64) {
        self.push(
            now,
            WorkSum {
                requests_ms: 0.0,
                extra_ms,
            },
        );
    }

    /// Returns whether a hedge stays within a share of the work of the last `window_ms`, and of all
    /// work so far: work that was not used in its window is not made up for later.
    ///
    /// ```
    /// let mut window = sardinepaddle_pool::hedge::WorkWindow::default();
    /// window.record_request(0.0, 1_000.0);
    /// assert!(window.has_room(1.0, 10_000.0, 20.0, 0.02));
    /// window.record_extra(1.0, 20.0);
    /// assert!(!window.has_room(2.0, 10_000.0, 1.0, 0.02));
    /// ```
    pub fn has_room(&mut self, now: f64, window_ms: f64, extra_ms: f64, share: f64) -> bool {
        while let Some(entry) = self
            .recent
            .front()
            .filter(|entry| entry.at < now - window_ms)
        {
            self.recent_sum.requests_ms -= entry.work.requests_ms;
            self.recent_sum.extra_ms -= entry.work.extra_ms;
            self.recent.pop_front();
        }
        if self.recent.is_empty() {
            self.recent_sum = WorkSum::default();
        }
        self.recent_sum.has_room(extra_ms, share) && self.total.has_room(extra_ms, share)
    }

    /// Returns the work of hedges as a share of the work of all requests so far.
    pub fn extra_share(&self) -> f64 {
        self.total.extra_ms / self.total.requests_ms.max(1.0)
    }

    fn push(&mut self, at: f64, work: WorkSum) {
        self.recent.push_back(WorkEntry { at, work });
        self.recent_sum.add(work);
        self.total.add(work);
    }
}

/// Recent latencies of a service relative to the predicted ones.
#[derive(Clone, Debug)]
pub struct LatencyRatios {
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    recent_since: f64,
    /// Relative latency at which a request is hedged.
    hedge_ratio: f64,
}

impl Default for LatencyRatios {
    fn default() -> Self {
        Self {
            recent: empty_histogram(),
            previous: empty_histogram(),
            recent_since: 0.0,
            hedge_ratio: DEFAULT_RATIO,
        }
    }
}

fn empty_histogram() -> Histogram<u32> {
    let (lowest, highest) = RATIO_LIMITS;
    Histogram::new_with_bounds(lowest, highest, RATIO_DIGITS).expect("limits and digits are valid")
}

impl LatencyRatios {
    /// Records the latency of a response, or of an attempt that ended without one, ms.
    pub fn record(&mut self, now: f64, latency_ms: f64, predicted_ms: f64) {
        if now - self.recent_since > LATENCY_PERIOD_MS {
            std::mem::swap(&mut self.recent, &mut self.previous);
            self.recent.reset();
            self.recent_since = now;
        }
        let ratio = latency_ms / predicted_ms.max(1.0);
        self.recent.saturating_record((ratio * RATIO_UNIT) as u64);
        if self.recent.len().is_multiple_of(SAMPLE_COUNT) {
            self.update_hedge_ratio();
        }
    }

    fn update_hedge_ratio(&mut self) {
        let mut known = self.recent.clone();
        known.add(&self.previous).expect("the limits are the same");
        let ratio = known.value_at_quantile(HEDGE_QUANTILE) as f64 / RATIO_UNIT;
        self.hedge_ratio = ratio.max(1.0);
    }

    /// Returns the time after which a response has become unlikely, ms.
    ///
    /// ```
    /// let mut ratios = sardinepaddle_pool::hedge::LatencyRatios::default();
    /// for request in 0..1_000 {
    ///     ratios.record(0.0, if request % 100 == 0 { 500.0 } else { 100.0 }, 100.0);
    /// }
    /// let after_ms = ratios.hedge_after_ms(100.0);
    /// assert!((100.0..200.0).contains(&after_ms));
    /// ```
    pub fn hedge_after_ms(&self, predicted_ms: f64) -> f64 {
        self.hedge_ratio * predicted_ms + MARGIN_MS
    }

    /// Returns the time that a response is still expected to take after `elapsed_ms`, ms: the mean
    /// over the known latencies that are longer, and as long again if there are none.
    pub fn remaining_ms(&self, elapsed_ms: f64, predicted_ms: f64) -> f64 {
        let elapsed = elapsed_ms / predicted_ms.max(1.0) * RATIO_UNIT;
        let histograms = [&self.recent, &self.previous];
        let recorded = histograms.into_iter().flat_map(Histogram::iter_recorded);
        let mut count = 0.0;
        let mut sum = 0.0;
        for value in recorded {
            let ratio = value.value_iterated_to() as f64;
            if ratio > elapsed {
                count += f64::from(value.count_at_value());
                sum += f64::from(value.count_at_value()) * (ratio - elapsed);
            }
        }
        if count == 0.0 {
            return elapsed_ms.max(predicted_ms);
        }
        sum / count / RATIO_UNIT * predicted_ms.max(1.0)
    }
}

/// What is kept of a service with hedges.
#[derive(Clone, Debug, Default)]
struct ServiceHedges {
    work: WorkWindow,
    ratios: LatencyRatios,
}

/// Decides on the hedges of all services, and keeps what the decisions need.
#[derive(Clone, Debug)]
pub struct HedgeTable {
    limits: HedgeLimits,
    window_ms: f64,
    services: map::HashMap<ids::ServiceId, ServiceHedges>,
}

impl HedgeTable {
    /// Creates a table without hedges, whose limits will apply to windows of `window_ms`.
    pub fn new(window_ms: f64) -> Self {
        Self {
            limits: HedgeLimits::default(),
            window_ms,
            services: map::HashMap::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: HedgeLimits) {
        self.limits = limits;
        let limits = &self.limits;
        self.services
            .retain(|service, _| limits.max_extra_share(service) > 0.0);
    }

    /// Returns whether the requests of a service may be hedged.
    pub fn is_enabled(&self, service: &ids::ServiceId) -> bool {
        self.limits.max_extra_share(service) > 0.0
    }

    fn service_mut(&mut self, service: &ids::ServiceId) -> Option<&mut ServiceHedges> {
        if !self.is_enabled(service) {
            return None;
        }
        Some(self.services.entry(service.clone()).or_default())
    }

    /// Records a placed request with its work, ms.
    pub fn record_request(&mut self, now: f64, service: &ids::ServiceId, work_ms: f64) {
        if let Some(hedges) = self.service_mut(service) {
            hedges.work.record_request(now, work_ms);
        }
    }

    /// Records a placed hedge with its work until it responds, ms.
    pub fn record_hedge(&mut self, now: f64, service: &ids::ServiceId, extra_ms: f64) {
        if let Some(hedges) = self.service_mut(service) {
            hedges.work.record_extra(now, extra_ms);
        }
    }

    /// Records the latency of a response, or of an attempt that ended without one, ms.
    pub fn record_latency(
        &mut self,
        now: f64,
        service: &ids::ServiceId,
        latency_ms: f64,
        predicted_ms: f64,
    ) {
        if let Some(hedges) = self.service_mut(service) {
            hedges.ratios.record(now, latency_ms, predicted_ms);
        }
    }

    /// Returns the time after which a request of a service should be hedged, ms; `None` if the service
    /// has no hedges.
    pub fn after_ms(&self, service: &ids::ServiceId, predicted_ms: f64) -> Option<f64> {
        if !self.is_enabled(service) {
            return None;
        }
        let ratios = self.services.get(service).map(|hedges| &hedges.ratios);
        let after_ms = ratios.map(|ratios| ratios.hedge_after_ms(predicted_ms));
        Some(after_ms.unwrap_or(DEFAULT_RATIO * predicted_ms + MARGIN_MS))
    }

    /// Returns the time that an attempt is still expected to take, ms.
    pub fn remaining_ms(
        &self,
        service: &ids::ServiceId,
        elapsed_ms: f64,
        predicted_ms: f64,
    ) -> f64 {
        let hedges = self.services.get(service);
        hedges.map_or(elapsed_ms.max(predicted_ms), |hedges| {
            hedges.ratios.remaining_ms(elapsed_ms, predicted_ms)
        })
    }

    /// Decides whether a hedge is made. The caller records it with [`Self::record_hedge`].
    pub fn decide(
        &mut self,
        now: f64,
        service: &ids::ServiceId,
        proposal: &HedgeProposal,
    ) -> Result<()> {
        let (share, window_ms) = (self.limits.max_extra_share(service), self.window_ms);
        if proposal.is_suspected {
            return Err(HedgeRefusal::Suspected);
        }
        let Some(first_remaining_ms) = proposal.first_remaining_ms else {
            return Err(HedgeRefusal::NoFirstAttempt);
        };
        let hedges = self.service_mut(service).ok_or(HedgeRefusal::Limit)?;
        if !hedges
            .work
            .has_room(now, window_ms, proposal.extra_ms, share)
        {
            return Err(HedgeRefusal::Limit);
        }
        if proposal.waiting > 0 {
            return Err(HedgeRefusal::Pressure);
        }
        let second_ms = proposal.second_predicted_ms.ok_or(HedgeRefusal::Pressure)?;
        if second_ms > EARLIER_SHARE * first_remaining_ms {
            return Err(HedgeRefusal::NotEarlier);
        }
        Ok(())
    }

    /// Returns each service with hedges and the share of extra work that they have caused.
    pub fn extra_shares(&self) -> impl Iterator<Item = (&ids::ServiceId, f64)> {
        let services = self.services.iter();
        services.map(|(service, hedges)| (service, hedges.work.extra_share()))
    }
}
