//! Places the requests of all daemons on the endpoints of all services.
//!
//! For each request the placer predicts, from the configured engine profiles and the jobs placed
//! before, when its first event would come on each set of endpoints, and how much value the other
//! requests there would lose. It takes the set with the highest gain. A request waits while a
//! later placement may gain more, and is declined as soon as none can gain anything.

use std::collections;
use std::sync;

use model::ids;
use model::map;
use model::serving;

use crate::budget;
use crate::capacity;
use crate::cold;
use crate::crashes;
use crate::engine;
use crate::health;
use crate::job;
use crate::limits;
use crate::members;
use crate::passes;
use crate::prompt_search;
use crate::quarantine;
use crate::risk;
use crate::state;
use crate::value;

/// Network and daemon time between a client and an endpoint, both ways, ms.
const ROUND_TRIP_MS: f64 = 12.0;
/// Price of a ms of engine time while the engines are idle, in units of a short prompt's value.
const IDLE_PRICE_PER_MS: f64 = 0.0005;
/// Mean backlog at which the price is twice the idle price, ms: a fifth of the shortest objective.
const PRICE_DOUBLING_BACKLOG_MS: f64 = 60.0;
/// Upper limit of the backlog counted for one engine, ms: an engine that prefills a long prompt
/// alone is unavailable to other requests, but leaves as many other engines as before.
const MAX_COUNTED_BACKLOG_MS: f64 = 200.0;
/// Share of a request's value that a plan must gain to be taken while the request can still wait.
const MIN_GAIN_SHARE: f64 = 0.6;
/// Share of the objective over which that required gain falls to zero: engines take only a few
/// passes to finish their backlog.
const SELECTIVITY_DECAY_SHARE: f64 = 0.15;
/// Waiting requests evaluated in one tick at most: evaluating all of them in every tick would take
/// the time needed to place them.
const MAX_EVALUATED_PER_TICK: usize = 64;
/// Shortest and longest retry delay sent with a declined request, ms.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (400, 1_600);
/// Assumed duration of a plain call until one has completed, ms.
const INITIAL_CALL_MS: f64 = 30.0;
/// Weight of the newest call in the mean duration of calls.
const CALL_SAMPLE_WEIGHT: f64 = 0.05;
/// Requests per slot up to which late calls are placed in the queue of a plain service.
const MAX_CALLS_PER_SLOT: f64 = 2.0;
/// Time past its deadline after which a job is removed if its daemon hasn't reported its end, ms.
const JOB_EXPIRY_MS: f64 = 5_000.0;

/// Retry budget and rate limit of cold endpoints, from the settings of the deployment.
///
/// A cold endpoint is one that can serve only [`serving::ServiceProfile::cold_rate`] requests per
/// second. The placer has no data on which endpoints are cold, so it applies its share of their
/// limit, `cold_factor * cold_rate + cold_extra` requests per second, to all endpoints of a service
/// that has a cold rate.
#[derive(Clone, Copy, Debug)]
pub struct PlacerBounds {
    /// Retries allowed per request of a window.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition, whatever the number of requests.
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget, ms.
    pub retry_window_ms: f64,
    /// Multiple of the service's cold rate that a cold endpoint may get.
    pub cold_factor: f64,
    /// Requests per second that a cold endpoint may get in addition.
    pub cold_extra: f64,
}

/// Keeps the state of the pool and decides where each request runs.
#[derive(Clone, Debug)]
pub struct JobPlacer {
    bounds: PlacerBounds,
    services: map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    endpoints: collections::BTreeMap<ids::EndpointId, state::EndpointState>,
    jobs: map::HashMap<job::JobId, state::PlacedJob>,
    waiting: Vec<state::WaitingRequest>,
    class_values: value::ClassValues,
    retry_budgets: map::HashMap<ids::ServiceId, budget::RetryBudget>,
    call_means_ms: map::HashMap<ids::ServiceId, f64>,
    retry_share: f64,
    cold_rate: cold::ColdRate,
    rate_limits: limits::RateLimits,
    crash_tracker: crashes::CrashTracker,
    quarantines: quarantine::QuarantineList,
    decisions: Vec<(job::JobId, job::PlacementDecision)>,
}

impl JobPlacer {
    /// Creates a placer without endpoints.
    pub fn new(bounds: PlacerBounds) -> Self {
        Self {
            bounds,
            services: map::HashMap::default(),
            endpoints: collections::BTreeMap::new(),
            jobs: map::HashMap::default(),
            waiting: Vec::new(),
            class_values: value::ClassValues::default(),
            retry_budgets: map::HashMap::default(),
            call_means_ms: map::HashMap::default(),
            retry_share: 1.0,
            cold_rate: cold::ColdRate::default(),
            rate_limits: limits::RateLimits::default(),
            crash_tracker: crashes::CrashTracker::default(),
            quarantines: quarantine::QuarantineList::default(),
            decisions: Vec::new(),
        }
    }

    /// Sets the share of the deployment's retry budget that this placer may use.
    pub fn set_retry_share(&mut self, share: f64) {
        self.retry_share = share;
    }

    /// Sets the share of the rate of cold endpoints that this placer may use, see
    /// [`crate::shares::GroupHistory`], and a seed that differs between placers.
    pub fn set_cold_share(&mut self, now: f64, share: f64, seed: u64) {
        self.cold_rate.set_share(now, share, seed);
    }

    /// Sets the share of the limits that endpoints name that this placer may use.
    pub fn set_limit_share(&mut self, share: f64) {
        self.rate_limits.set_share(share);
    }

    /// Replaces the limits that endpoints name.
    pub fn set_limits(&mut self, now: f64, named: &[(ids::EndpointId, limits::EndpointLimit)]) {
        self.rate_limits.set_limits(now, named);
    }

    /// Replaces the services by those of a new configuration.
    pub fn set_services(
        &mut self,
        services: &map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    ) {
        if self.services == *services {
            return;
        }
        self.services.clone_from(services);
        for state in self.endpoints.values_mut() {
            state.pass_model.reset_profile();
        }
    }

    /// Replaces the list of endpoints and of data centres closed to new requests.
    pub fn set_endpoints(&mut self, listed: &[serving::LiveEndpoint], closed: &[ids::CentreId]) {
        for state in self.endpoints.values_mut() {
            state.listed = false;
        }
        for live in listed {
            let state = self.endpoints.entry(live.id.clone());
            let state = state.or_insert_with(|| state::EndpointState::new(live.clone()));
            if state.live.started_ms != live.started_ms {
                let previous = (live.id.clone(), state.live.started_ms);
                self.crash_tracker.record_end(&previous);
                // A new incarnation with the same id has no jobs or memory of the previous one.
                *state = state::EndpointState::new(live.clone());
            }
            state.live = live.clone();
            state.listed = true;
            state.centre_closed = closed.contains(&live.centre);
        }
        for (id, state) in self.endpoints.iter().filter(|(_, state)| !state.listed) {
            let incarnation = (id.clone(), state.live.started_ms);
            self.crash_tracker.record_end(&incarnation);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Replaces the quarantined causes, each given with the time for which it remains so, ms, zero
    /// if that is over, and declines the waiting requests that they concern.
    pub fn set_quarantines(&mut self, now: f64, listed: &[(quarantine::CrashCause, f64)]) {
        self.quarantines = quarantine::QuarantineList::new(now, listed);
        self.update_tracker();
        for waiting in std::mem::take(&mut self.waiting) {
            let features = waiting.request.features();
            match self.quarantines.remaining_ms(now, &features) {
                Some(left_ms) => self.decline_quarantined(waiting.job, left_ms),
                None => self.waiting.push(waiting),
            }
        }
    }

    fn update_tracker(&mut self) {
        let ended = self.quarantines.ended().to_vec();
        let causes = self.quarantines.causes();
        self.crash_tracker.set_quarantined(causes, ended);
    }

    /// Returns and clears the changes of the quarantined causes that have been decided here. They
    /// take effect with [`Self::set_quarantines`].
    pub fn take_quarantine_changes(&mut self) -> Vec<crashes::QuarantineChange> {
        self.crash_tracker.take_changes()
    }

    /// Returns what the placers that follow should know of crashes and has not been returned
    /// before, each with the age of the crash, ms.
    pub fn take_crash_reports(&mut self, now: f64) -> Vec<(f64, crashes::CrashReport)> {
        self.crash_tracker.take_reports(now)
    }

    /// Adds what another placer reported on a crash that was `age_ms` ago.
    pub fn merge_crash_report(&mut self, now: f64, age_ms: f64, report: &crashes::CrashReport) {
        self.crash_tracker.merge_report(now, age_ms, report);
    }

    /// Whether [`Self::tick`] has to be called soon, as requests wait or crashes are undecided.
    pub fn needs_tick(&self) -> bool {
        !self.waiting.is_empty() || self.crash_tracker.has_unsettled()
    }

    fn decline_quarantined(&mut self, job: job::JobId, left_ms: f64) {
        let decision = job::PlacementDecision::Declined {
            reason: job::DeclineReason::Quarantined,
            retry_after_ms: left_ms.ceil() as u64,
        };
        self.decisions.push((job, decision));
    }

    /// Submits a request. The decision appears in [`Self::take_decisions`], at once or later. A
    /// request submitted again, over another connection, replaces the first.
    pub fn submit(&mut self, now: f64, job: job::JobId, request: job::PlacementRequest) {
        self.cancel(now, job);
        if let Some(left_ms) = self.quarantines.remaining_ms(now, &request.features()) {
            self.decline_quarantined(job, left_ms);
            return;
        }
        let budget = self
            .retry_budgets
            .entry(request.service.clone())
            .or_insert_with(|| {
                let bounds = &self.bounds;
                budget::RetryBudget::new(
                    bounds.retry_ratio,
                    bounds.retry_extra,
                    bounds.retry_window_ms,
                )
            });
        if request.is_retry {
            if !budget.try_retry(now, self.retry_share) {
                self.decline(job, job::DeclineReason::RetryBudget);
                return;
            }
        } else {
            budget.record_request(now);
        }
        self.advance(now);
        let waiting = self.assess(now, job, request);
        if !self.try_decide(now, &waiting) {
            self.waiting.push(waiting);
        }
    }

    /// Returns a request with its value and the weight of its costs.
    fn assess(
        &mut self,
        now: f64,
        job: job::JobId,
        request: job::PlacementRequest,
    ) -> state::WaitingRequest {
        let (value, cost_weight) = match request.kind {
            job::JobKind::Prompt { tokens, .. } => {
                let answer_tokens = request.kind.answer_tokens();
                let request_value = self
                    .class_values
                    .assess(&request.route, tokens, answer_tokens);
                (
                    request_value.value,
                    self.cost_weight(&request.service, tokens, &request_value),
                )
            }
            job::JobKind::Call => (value::CALL_VALUE, 1.0),
        };
        state::WaitingRequest {
            job,
            value,
            cost_weight,
            submitted_at: now,
            objective_at: now + request.objective_remaining_ms,
            deadline_at: now + request.remaining_ms,
            min_latency_ms: self.min_latency_ms(&request),
            work_ms: self.work_ms(&request),
            request,
        }
    }

    /// Removes a request whose client or daemon has disconnected.
    pub fn cancel(&mut self, now: f64, job: job::JobId) {
        self.waiting.retain(|waiting| waiting.job != job);
        self.end(now, job, &health::HealthSignal::Inconclusive.into());
    }

    /// Removes all requests of one incarnation of a daemon.
    pub fn cancel_incarnation(&mut self, now: f64, incarnation: u64) {
        let jobs = self.jobs.keys().chain(self.waiting.iter().map(|w| &w.job));
        let cancelled: Vec<job::JobId> = jobs
            .filter(|job| job.incarnation == incarnation)
            .copied()
            .collect();
        for job in cancelled {
            self.cancel(now, job);
        }
    }

    /// Adds a running job that another placer has placed.
    pub fn adopt(&mut self, now: f64, running: &job::RunningJob) {
        if self.jobs.contains_key(&running.job) {
            return;
        }
        self.advance(now);
        let usages = self.member_usages(now, running.job, &running.request, &running.plan);
        let waiting = self.assess(now, running.job, running.request.clone());
        self.place(now, &waiting, usages, running.plan.predicted_ms);
        if running.started {
            self.first_event(now, running.job);
        }
    }

    /// Records the first event of a job.
    pub fn first_event(&mut self, now: f64, id: job::JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.started_at = Some(now);
        self.crash_tracker
            .record_response(now, &job.primary, job.placed_at);
        let is_late = now + state::ONE_WAY_LATENCY_MS > job.objective_at;
        job.risk = risk::JobRisk {
            late: f64::from(u8::from(is_late)),
            abandoned: 0.0,
        };
        let members = job.members.iter();
        let states = members.filter_map(|usage| self.endpoints.get(&usage.endpoint));
        let suspects = states.filter(|state| !state.slowdown.is_cleared(now, job.placed_at));
        let suspects = suspects.count();
        for usage in &job.members {
            if let Some(state) = self.endpoints.get_mut(&usage.endpoint) {
                let context_tokens = usage.part.and_then(|part| part.context_tokens);
                state.pass_model.start_generating(now, id, context_tokens);
                state.capacity.record_start(now, job.placed_at);
                let sample = job.speed_sample(now, usage.assumed_slowdown);
                let is_suspect = suspects == 0 || !state.slowdown.is_cleared(now, job.placed_at);
                if usage.part.is_some() && (is_suspect || !sample.is_late()) {
                    let suspects = if suspects == 0 {
                        job.members.len()
                    } else {
                        suspects
                    };
                    state.slowdown.record(now, &sample, suspects);
                }
            }
        }
    }

    /// Records the end of a job and releases what it used.
    pub fn end(&mut self, now: f64, id: job::JobId, outcome: &job::JobOutcome) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.record_crash_evidence(now, &job, outcome);
        for (position, usage) in job.members.iter().enumerate() {
            let Some(state) = self.endpoints.get_mut(&usage.endpoint) else {
                continue;
            };
            state.remove_job(id);
            state.used_memory = state.used_memory.saturating_sub(usage.memory_tokens);
            state.pass_model.remove(id);
            let is_at_fault = match &outcome.at_fault {
                Some(endpoint) => *endpoint == usage.endpoint,
                None => position == 0,
            };
            if is_at_fault {
                state.health.record(now, outcome.signal);
                if outcome.signal == health::HealthSignal::Full {
                    state.record_rejection(now, usage.memory_tokens, position > 0);
                }
            }
        }
        if job.kind == job::JobKind::Call && outcome.signal == health::HealthSignal::Success {
            let mean_ms = self
                .call_means_ms
                .entry(job.service)
                .or_insert(INITIAL_CALL_MS);
            *mean_ms += CALL_SAMPLE_WEIGHT * (now - job.placed_at - *mean_ms);
        }
    }

    /// Records what the end of a job shows about crashes of endpoints.
    fn record_crash_evidence(
        &mut self,
        now: f64,
        job: &state::PlacedJob,
        outcome: &job::JobOutcome,
    ) {
        let tracker = &mut self.crash_tracker;
        match outcome.signal {
            health::HealthSignal::Success => {
                tracker.record_response(now, &job.primary, job.placed_at);
                tracker.record_sound(now, &job.features);
            }
            _ if outcome.responded => {
                tracker.record_response(now, &job.primary, job.placed_at);
                tracker.record_sound(now, &job.features);
            }
            health::HealthSignal::Failed if outcome.at_fault.is_none() => {
                let (placed_at, started_at) = (job.placed_at, job.started_at);
                let features = &job.features;
                tracker.record_break(now, &job.primary, placed_at, started_at, features);
            }
            health::HealthSignal::Unreachable if outcome.at_fault.is_none() => {
                tracker.record_end(&job.primary);
            }
            _ => {}
        }
    }

    /// Ends quarantines whose time is over, and decides on crashes that all daemons have reported.
    fn settle_crashes(&mut self, now: f64) {
        if self.quarantines.expire(now) {
            self.update_tracker();
        }
        let jobs = &self.jobs;
        let written_features = || {
            let is_written = |job: &&state::PlacedJob| {
                let started_at = job.started_at.unwrap_or(now);
                now - started_at >= crashes::BEGIN_MS
            };
            let written = jobs.values().filter(is_written);
            written.flat_map(|job| job.features.iter()).collect()
        };
        self.crash_tracker.tick(now, written_features);
    }

    /// Advances time to `now`, decides on waiting requests and removes expired jobs.
    pub fn tick(&mut self, now: f64) {
        self.advance(now);
        self.settle_crashes(now);
        // New quarantines take effect before waiting requests that they concern are placed.
        if !self.crash_tracker.has_changes() {
            self.decide_waiting(now);
        }
        let expired: Vec<job::JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| now > job.deadline_at + JOB_EXPIRY_MS)
            .map(|(id, _)| *id)
            .collect();
        for job in expired {
            self.cancel(now, job);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Decides on waiting requests.
    fn decide_waiting(&mut self, now: f64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        // Requests with the highest value per engine time come first.
        let value_density = |request: &state::WaitingRequest| {
            request.value / (request.cost_weight * request.min_latency_ms).max(1.0)
        };
        waiting.sort_by(|a, b| value_density(b).total_cmp(&value_density(a)));
        for (position, request) in waiting.into_iter().enumerate() {
            let deferred = position >= MAX_EVALUATED_PER_TICK
                && now + request.min_latency_ms < request.deadline_at;
            if deferred || !self.try_decide(now, &request) {
                self.waiting.push(request);
            }
        }
    }

    /// Returns and clears the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<(job::JobId, job::PlacementDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether a decision on a job is ready to be taken.
    pub fn has_decision(&self, job: job::JobId) -> bool {
        self.decisions.iter().any(|(other, _)| *other == job)
    }

    /// Returns what is believed of each endpoint that has been seen to be slower than its profile, or
    /// to take less than its slots.
    pub fn endpoint_beliefs(&self, now: f64) -> Vec<capacity::EndpointBelief> {
        let states = self.endpoints.values().filter(|state| state.listed);
        let beliefs = states.map(|state| state.belief(now));
        beliefs.filter(|belief| belief.is_reduced()).collect()
    }

    /// Returns the number of requests that wait for placement.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of placed requests that have not ended.
    pub fn running_count(&self) -> usize {
        self.jobs.len()
    }

    /// Places or declines a request; returns `false` if it has to wait.
    fn try_decide(&mut self, now: f64, waiting: &state::WaitingRequest) -> bool {
        let slack_ms = waiting.objective_at - now - waiting.min_latency_ms;
        let waited_ms = now - waiting.submitted_at;
        let selective_ms = SELECTIVITY_DECAY_SHARE * waiting.request.full_objective_ms;
        let selectivity = if slack_ms > 0.0 {
            1.0 - waited_ms / selective_ms.max(1.0)
        } else {
            0.0
        };
        let min_gain = MIN_GAIN_SHARE * selectivity.max(0.0) * waiting.value;
        let scored_plan = match self.best_plan(now, waiting, min_gain) {
            Ok(scored_plan) => scored_plan.filter(|_| !self.awaits_repeat(now, &waiting.request)),
            Err(reason) => {
                self.decline(waiting.job, reason);
                return true;
            }
        };
        if let Some(scored_plan) = scored_plan {
            let predicted_ms = scored_plan.plan.predicted_ms;
            for member in scored_plan.plan.members() {
                self.rate_limits.record_placement(now, &member.endpoint);
            }
            self.place(now, waiting, scored_plan.usages, predicted_ms);
            let decision = job::PlacementDecision::Placed(scored_plan.plan);
            self.decisions.push((waiting.job, decision));
            return true;
        }
        let next_at = self.next_turn_at(&waiting.request).max(now);
        let unservable = waiting.is_unservable(next_at);
        if unservable {
            self.decline_until(waiting.job, job::DeclineReason::Overloaded, next_at - now);
        }
        unservable
    }

    /// Whether a request may crash endpoints, and an identical one still has to show whether it does.
    fn awaits_repeat(&self, now: f64, request: &job::PlacementRequest) -> bool {
        let Some(digest) = request.digest else {
            return false;
        };
        let tracker = &self.crash_tracker;
        if !tracker.is_suspected(digest) && !self.quarantines.has_ended(now, digest) {
            return false;
        }
        if tracker.is_in_unsettled_crash(digest) {
            return true;
        }
        let is_undecided = |job: &state::PlacedJob| {
            let started_at = job.started_at.unwrap_or(now);
            job.features.digest == Some(digest) && now - started_at < crashes::BEGIN_MS
        };
        self.jobs.values().any(is_undecided)
    }

    /// Returns the time from which the limits let one of the endpoints that a request may run on
    /// get it, ms.
    fn next_turn_at(&self, request: &job::PlacementRequest) -> f64 {
        if self.rate_limits.is_empty() {
            return f64::NEG_INFINITY;
        }
        let endpoints = self.available(&request.service).map(|(_, state)| state);
        let usable = endpoints.filter(|state| !request.excluded.contains(&state.live.id));
        let turns = usable.map(|state| self.rate_limits.next_at(&state.live));
        turns.min_by(f64::total_cmp).unwrap_or(f64::NEG_INFINITY)
    }

    fn decline(&mut self, job: job::JobId, reason: job::DeclineReason) {
        self.decline_until(job, reason, 0.0);
    }

    /// Declines a request that can't be placed for `turn_ms`.
    fn decline_until(&mut self, job: job::JobId, reason: job::DeclineReason, turn_ms: f64) {
        let (shortest, longest) = RETRY_AFTER_RANGE_MS;
        // Spreads the retries of clients that were declined at the same time.
        let jitter = job.number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let retry_after_ms = shortest + jitter % (longest - shortest);
        let retry_after_ms = retry_after_ms.max(turn_ms.ceil() as u64);
        let decision = job::PlacementDecision::Declined {
            reason,
            retry_after_ms,
        };
        self.decisions.push((job, decision));
    }

    /// Returns the weight of a prompt's engine time; its square root weighs the value that other
    /// requests lose. Prefill time grows with the square of a prompt's size, its value only in
    /// proportion. Without this weight the largest prompts of a class would be declined in favour
    /// of the others.
    fn cost_weight(
        &self,
        service: &ids::ServiceId,
        tokens: u64,
        request_value: &value::RequestValue,
    ) -> f64 {
        let profile = self.services.get(service);
        let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) else {
            return 1.0;
        };
        let own_ms = engine::prefill_ms(engine, tokens, 1);
        let typical_ms = engine::prefill_ms(engine, request_value.class_prompt_tokens, 1);
        let weight =
            (request_value.value / request_value.class_value) / (own_ms / typical_ms.max(1.0));
        weight.clamp(0.0, 1.0)
    }

    fn min_latency_ms(&self, request: &job::PlacementRequest) -> f64 {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        match (request.kind, engine) {
            (job::JobKind::Prompt { tokens, .. }, Some(profile)) => {
                let available = self.available(&request.service).count().max(1);
                let members = prompt_search::max_members(tokens).min(available);
                engine::prefill_ms(profile, tokens, members)
                    + engine::pass_ms(profile, 1, 0)
                    + ROUND_TRIP_MS
            }
            _ => self.mean_call_ms(&request.service) + ROUND_TRIP_MS,
        }
    }

    /// Returns the engine time that a request takes, or the time in a slot of a plain service, ms.
    fn work_ms(&self, request: &job::PlacementRequest) -> f64 {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        match (request.kind, engine) {
            (
                job::JobKind::Prompt {
                    tokens,
                    answer_tokens,
                },
                Some(profile),
            ) => engine::work_ms(profile, tokens, answer_tokens),
            _ => self.mean_call_ms(&request.service),
        }
    }

    fn mean_call_ms(&self, service: &ids::ServiceId) -> f64 {
        self.call_means_ms
            .get(service)
            .copied()
            .unwrap_or(INITIAL_CALL_MS)
    }

    fn available<'a>(
        &'a self,
        service: &'a ids::ServiceId,
    ) -> impl Iterator<Item = (&'a ids::EndpointId, &'a state::EndpointState)> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(move |(_, state)| state.accepts_work() && state.live.service == *service)
    }

    fn best_plan(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        min_gain: f64,
    ) -> Result<Option<prompt_search::ScoredPlan>, job::DeclineReason> {
        let request = &waiting.request;
        let profile = self.services.get(&request.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let cold_limit = profile.and_then(|profile| self.cold_limit(profile));
        let available: Vec<&state::EndpointState> = self
            .available(&request.service)
            .map(|(_, state)| state)
            .collect();
        if available.is_empty() {
            return Err(job::DeclineReason::NoEndpoint);
        }
        let tokens = request.kind.prompt_tokens();
        let prefill_ms = engine.map_or(0.0, |engine| engine::prefill_ms(engine, tokens, 1));
        let usable: Vec<&state::EndpointState> = available
            .iter()
            .copied()
            .filter(|state| !request.excluded.contains(&state.live.id))
            .filter(|state| !state.health.is_backed_off(now))
            .filter(|state| self.rate_limits.accepts(now, &state.live))
            .filter(|state| cold_limit.is_none_or(|limit| self.is_within(now, state, limit)))
            .collect();
        let usable = capable(now, usable, prefill_ms);
        match (request.kind, engine) {
            (job::JobKind::Prompt { tokens, .. }, Some(engine)) => {
                let memory = state::allocatable_memory(engine);
                let holders = available.len().min(members::MAX_MEMORY_HELPERS + 1) as u64;
                if tokens + request.kind.answer_tokens() > memory * holders {
                    return Err(job::DeclineReason::TooLarge);
                }
                Ok(self.best_prompt_plan(now, waiting, engine, &usable, min_gain))
            }
            _ => {
                let plan = self.best_call_plan(now, waiting, &usable);
                Ok(plan.filter(|plan| plan.gain > min_gain))
            }
        }
    }

    /// Returns the requests per second that a cold endpoint may get from all placers, if endpoints
    /// are ever cold. The limit applies even while the endpoint isn't known to be cold.
    fn cold_limit(&self, profile: &serving::ServiceProfile) -> Option<f64> {
        let cold_limit = profile.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra;
        (profile.cold_rate > 0.0).then_some(cold_limit)
    }

    fn is_within(&self, now: f64, state: &state::EndpointState, cold_limit: f64) -> bool {
        let sent_at = state.send_times.iter().rev().copied();
        self.cold_rate
            .accepts(now, &state.live.id, cold_limit, sent_at)
    }

    fn best_call_plan(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        usable: &[&state::EndpointState],
    ) -> Option<prompt_search::ScoredPlan> {
        let mean_ms = self.mean_call_ms(&waiting.request.service);
        let requests_per_slot = |state: &state::EndpointState| {
            (state.jobs.len() as f64 + 1.0) / f64::from(state.live.slots)
        };
        let cost = |state: &state::EndpointState| {
            let is_cross_centre = state.live.centre != waiting.request.centre;
            let wait_ms = (requests_per_slot(state) - 1.0).max(0.0) * mean_ms;
            let objective_ms = waiting.request.full_objective_ms.max(1.0);
            let cost = state.health.failure_rate(now)
                + wait_ms / objective_ms
                + 0.02 * requests_per_slot(state);
            cost + if is_cross_centre {
                members::CROSS_CENTRE_COST
            } else {
                0.0
            }
        };
        let slack_ms = waiting.objective_at - now - mean_ms - ROUND_TRIP_MS;
        let max_per_slot = if slack_ms > 0.0 {
            1.0
        } else {
            MAX_CALLS_PER_SLOT
        };
        let fitting = usable
            .iter()
            .filter(|state| requests_per_slot(state) <= max_per_slot);
        let state = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let plan = job::PlacementPlan {
            primary: state.plan_member(0),
            helpers: Vec::new(),
            predicted_ms: (requests_per_slot(state) - 1.0).max(0.0) * mean_ms
                + mean_ms
                + ROUND_TRIP_MS,
            priority: waiting.request.priority.min(9),
        };
        let usages = vec![state::MemberUsage {
            endpoint: state.live.id.clone(),
            part: None,
            memory_tokens: 0,
            assumed_slowdown: 1.0,
        }];
        Some(prompt_search::ScoredPlan {
            plan,
            usages,
            gain: waiting.value,
        })
    }

    fn best_prompt_plan(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        profile: &serving::EngineProfile,
        usable: &[&state::EndpointState],
        min_gain: f64,
    ) -> Option<prompt_search::ScoredPlan> {
        let search = prompt_search::PromptSearch {
            now,
            waiting,
            profile,
            jobs: &self.jobs,
            price_per_ms: self.engine_price_per_ms(now, &waiting.request.service),
        };
        search.best_plan(usable, min_gain)
    }

    /// Returns the price of a ms of engine time, which rises with the mean backlog.
    fn engine_price_per_ms(&self, now: f64, service: &ids::ServiceId) -> f64 {
        let mut backlog_ms = 0.0;
        let mut count = 0.0;
        for (_, state) in self.available(service) {
            backlog_ms += state.pass_model.backlog_ms(now).min(MAX_COUNTED_BACKLOG_MS);
            count += 1.0;
        }
        let mean_ms: f64 = if count > 0.0 { backlog_ms / count } else { 0.0 };
        IDLE_PRICE_PER_MS * (1.0 + (mean_ms / PRICE_DOUBLING_BACKLOG_MS).powi(2))
    }

    /// Returns the resources used by a plan that another placer made.
    fn member_usages(
        &self,
        now: f64,
        job: job::JobId,
        request: &job::PlacementRequest,
        plan: &job::PlacementPlan,
    ) -> Vec<state::MemberUsage> {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        let members = 1 + plan.helpers.len();
        let tokens = request.kind.prompt_tokens();
        let part = engine.map(|profile| {
            let arrives_at = now + state::ONE_WAY_LATENCY_MS;
            passes::PrefillPart::new(profile, job, tokens, members, arrives_at)
        });
        let part = part.filter(|_| tokens > 0);
        let needed_tokens = match part {
            Some(_) => tokens + request.kind.answer_tokens() + members::RESERVE_MARGIN_TOKENS,
            None => 0,
        };
        let reserved_tokens: u64 = plan
            .helpers
            .iter()
            .map(|helper| helper.reserve_tokens)
            .sum();
        let generating_part = part.map(|part| passes::PrefillPart {
            context_tokens: Some(tokens as f64),
            ..part
        });
        let primary_tokens = needed_tokens.saturating_sub(reserved_tokens);
        let primary = std::iter::once((&plan.primary, generating_part, primary_tokens));
        let helpers = plan.helpers.iter();
        primary
            .chain(helpers.map(|helper| (helper, part, helper.reserve_tokens)))
            .map(|(member, part, memory_tokens)| state::MemberUsage {
                endpoint: member.endpoint.clone(),
                part,
                memory_tokens,
                assumed_slowdown: 1.0,
            })
            .collect()
    }

    fn place(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
        usages: Vec<state::MemberUsage>,
        predicted_ms: f64,
    ) {
        let gap_objective_ms = waiting.request.gap_objective_ms;
        for (position, usage) in usages.iter().enumerate() {
            let Some(state) = self.endpoints.get_mut(&usage.endpoint) else {
                continue;
            };
            state.add_job(waiting.job, (position == 0).then_some(gap_objective_ms));
            state.used_memory += usage.memory_tokens;
            if let Some(part) = usage.part {
                state.pass_model.add_part(part);
            }
            state.capacity.record_placement(now);
            state.send_times.push_back(now);
            while state
                .send_times
                .front()
                .is_some_and(|at| *at < now - 1_000.0)
            {
                state.send_times.pop_front();
            }
        }
        let request = &waiting.request;
        let job = state::PlacedJob {
            service: request.service.clone(),
            kind: request.kind,
            value: waiting.value,
            work_ms: waiting.work_ms,
            customer: request.customer.clone(),
            placed_at: now,
            objective_at: waiting.objective_at,
            gap_objective_ms: request.gap_objective_ms,
            deadline_at: waiting.deadline_at,
            predicted_first_event_at: now + predicted_ms - state::ONE_WAY_LATENCY_MS,
            started_at: None,
            risk: risk::JobRisk::default(),
            abandon_after_ms: request.abandon_after_ms,
            primary: self.primary_incarnation(&usages),
            members: usages,
            features: request.features(),
        };
        self.jobs.insert(waiting.job, job);
        self.update_predictions(now, waiting.job);
    }

    fn primary_incarnation(&self, usages: &[state::MemberUsage]) -> crashes::EndpointIncarnation {
        let primary = usages.first().map(|usage| usage.endpoint.clone());
        let primary = primary.unwrap_or_else(|| ids::EndpointId::new(""));
        let state = self.endpoints.get(&primary);
        (primary, state.map_or(0, |state| state.live.started_ms))
    }

    /// Updates the predicted risk and first event of all requests on a job's engines.
    fn update_predictions(&mut self, now: f64, id: job::JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let profile = self.services.get(&job.service).cloned();
        let Some(engine) = profile.as_ref().and_then(|profile| profile.engine.as_ref()) else {
            return;
        };
        let members = job.members.iter();
        let engines = members.filter_map(|usage| self.endpoints.get(&usage.endpoint));
        let forecasts = engines.flat_map(|state| state.pass_model.forecast(engine).to_vec());
        for forecast in forecasts.collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&forecast.job) else {
                continue;
            };
            job.risk = risk::JobRisk::predict(now, job, &forecast);
            if let Some(prefilled_at) = forecast.prefilled_at.filter(|_| job.started_at.is_none()) {
                job.predicted_first_event_at = job.predicted_first_event_at.max(prefilled_at);
            }
        }
    }

    /// Records which engines are late with prompts.
    fn record_overdue(&mut self, now: f64) {
        let jobs = self.jobs.values();
        let is_waiting = |job: &&state::PlacedJob| job.started_at.is_none();
        let overdue = jobs.filter(|job| job.predicted_first_event_at < now);
        for job in overdue.filter(is_waiting) {
            let is_shared = job.members.len() > 1;
            for usage in job.members.iter().filter(|usage| usage.part.is_some()) {
                let Some(state) = self.endpoints.get_mut(&usage.endpoint) else {
                    continue;
                };
                let sample = job.speed_sample(now, usage.assumed_slowdown);
                match is_shared {
                    false => state.slowdown.record_overdue(now, &sample),
                    true if state.slowdown.is_cleared(now, job.placed_at) => {}
                    true => state.slowdown.record_shared_overdue(now, &sample),
                }
            }
        }
    }

    /// Advances the predicted passes of all engines to `now`.
    fn advance(&mut self, now: f64) {
        self.record_overdue(now);
        for state in self.endpoints.values_mut() {
            state.pass_model.set_slowdown(state.slowdown.factor(now));
            if !state.pass_model.is_due(now) {
                continue;
            }
            let profile = self.services.get(&state.live.service);
            if let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) {
                state.pass_model.advance(engine, now);
            }
        }
    }
}

/// Returns those of the endpoints that are believed to take a request, whose prefill takes
/// `prefill_ms` of engine time.
fn capable(
    now: f64,
    mut usable: Vec<&state::EndpointState>,
    prefill_ms: f64,
) -> Vec<&state::EndpointState> {
    let accepts = |state: &state::EndpointState| {
        let running = state.jobs.len();
        state.capacity.accepts(now, running, prefill_ms)
    };
    let count = usable.iter().filter(|state| accepts(state)).count();
    match 2 * count >= usable.len() {
        true => usable.retain(|state| accepts(state)),
        false => usable.retain(|state| state.capacity.accepts_in_common_pause(now)),
    }
    usable
}
