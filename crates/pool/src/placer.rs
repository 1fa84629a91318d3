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
use crate::calls;
use crate::cold;
use crate::crash_guard;
use crate::crashes;
use crate::engine;
use crate::health;
use crate::hedge;
use crate::job;
use crate::limits;
use crate::members;
use crate::prompt_search;
use crate::quarantine;
use crate::queue;
use crate::risk;
use crate::state;
use crate::value;

mod hedges;

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
/// Shortest and longest retry delay sent with a request that is declined for another reason than
/// load, ms.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (400, 1_600);
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

impl PlacerBounds {
    /// Returns the bounds of the retry budget.
    pub fn budget(&self) -> budget::BudgetBounds {
        budget::BudgetBounds {
            ratio: self.retry_ratio,
            extra: self.retry_extra,
            window_ms: self.retry_window_ms,
        }
    }
}

/// Keeps the state of the pool and decides where each request runs.
#[derive(Clone, Debug)]
pub struct JobPlacer {
    bounds: PlacerBounds,
    services: map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    endpoints: collections::BTreeMap<ids::EndpointId, state::EndpointState>,
    jobs: map::HashMap<job::JobId, state::PlacedJob>,
    queue: queue::WaitingQueue,
    class_values: value::ClassValues,
    /// Budgets of the daemons whose builds don't count their retries, by incarnation.
    retry_budgets: map::HashMap<(ids::ServiceId, u64), budget::RetryBudget>,
    call_planner: calls::CallPlanner,
    retry_share: f64,
    cold_rate: cold::ColdRate,
    rate_limits: limits::RateLimits,
    crash_guard: crash_guard::CrashGuard,
    hedges: hedge::HedgeTable,
    hedge_refusals: Vec<(job::JobId, hedge::HedgeRefusal)>,
    decisions: Vec<(job::JobId, job::PlacementDecision)>,
    refusals: Vec<queue::LoadRefusal>,
}

impl JobPlacer {
    /// Creates a placer without endpoints.
    pub fn new(bounds: PlacerBounds) -> Self {
        Self {
            bounds,
            services: map::HashMap::default(),
            endpoints: collections::BTreeMap::new(),
            jobs: map::HashMap::default(),
            queue: queue::WaitingQueue::default(),
            class_values: value::ClassValues::default(),
            retry_budgets: map::HashMap::default(),
            call_planner: calls::CallPlanner::default(),
            retry_share: 1.0,
            cold_rate: cold::ColdRate::default(),
            rate_limits: limits::RateLimits::default(),
            crash_guard: crash_guard::CrashGuard::default(),
            hedges: hedge::HedgeTable::new(bounds.retry_window_ms),
            hedge_refusals: Vec::new(),
            decisions: Vec::new(),
            refusals: Vec::new(),
        }
    }

    /// Sets the share of the extra retries of each daemon whose build doesn't count its retries.
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
                self.crash_guard.tracker.record_end(&previous);
                // A new incarnation with the same id has no jobs or memory of the previous one.
                *state = state::EndpointState::new(live.clone());
            }
            state.live = live.clone();
            state.listed = true;
            state.centre_closed = closed.contains(&live.centre);
        }
        for (id, state) in self.endpoints.iter().filter(|(_, state)| !state.listed) {
            let incarnation = (id.clone(), state.live.started_ms);
            self.crash_guard.tracker.record_end(&incarnation);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Replaces the quarantined causes, each given with the time for which it remains so, ms, zero
    /// if that is over, and declines the waiting requests that they concern.
    pub fn set_quarantines(&mut self, now: f64, listed: &[(quarantine::CrashCause, f64)]) {
        self.crash_guard.set_quarantines(now, listed);
        for waiting in self.queue.take(now) {
            let features = waiting.request.features();
            match self.crash_guard.quarantined_ms(now, &features) {
                Some(left_ms) => self.decline_quarantined(waiting.job, left_ms),
                None => self.queue.push(now, waiting),
            }
        }
    }

    /// Returns and clears the changes of the quarantined causes that have been decided here. They
    /// take effect with [`Self::set_quarantines`].
    pub fn take_quarantine_changes(&mut self) -> Vec<crashes::QuarantineChange> {
        self.crash_guard.tracker.take_changes()
    }

    /// Returns what the placers that follow should know of crashes and has not been returned
    /// before, each with the age of the crash, ms.
    pub fn take_crash_reports(&mut self, now: f64) -> Vec<(f64, crashes::CrashReport)> {
        self.crash_guard.tracker.take_reports(now)
    }

    /// Adds what another placer reported on a crash that was `age_ms` ago.
    pub fn merge_crash_report(&mut self, now: f64, age_ms: f64, report: &crashes::CrashReport) {
        self.crash_guard.tracker.merge_report(now, age_ms, report);
    }

    /// Whether [`Self::tick`] has to be called soon, as requests wait or crashes are undecided.
    pub fn needs_tick(&self) -> bool {
        !self.queue.is_empty() || self.crash_guard.tracker.has_unsettled()
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
        if let Some(left_ms) = self.crash_guard.quarantined_ms(now, &request.features()) {
            self.decline_quarantined(job, left_ms);
            return;
        }
        if request.is_hedge {
            self.submit_hedge(now, job, request);
            return;
        }
        if !request.is_budgeted && !self.try_retry(now, job, &request) {
            self.decline(job, job::DeclineReason::RetryBudget);
            return;
        }
        self.advance(now);
        let mut waiting = self.assess(now, job, request);
        self.queue.recognize(now, &mut waiting);
        let place = self.queue.place_of(&waiting);
        // Whoever comes while many wait takes no place before them.
        let is_decided = match place.is_predictable() || !self.queue.try_search(now) {
            true => self.decline_hopeless(now, &waiting, place),
            false => self.try_decide(now, &waiting, place),
        };
        if !is_decided {
            self.queue.push(now, waiting);
        }
    }

    /// Returns a request with its value and the weight of its costs.
    fn assess(
        &mut self,
        now: f64,
        job: job::JobId,
        request: job::PlacementRequest,
    ) -> state::WaitingRequest {
        let mut assessed = value::RequestValue {
            value: value::CALL_VALUE,
            class_value: value::CALL_VALUE,
            class_prompt_tokens: 0,
        };
        let mut cost_weight = 1.0;
        if let job::JobKind::Prompt { tokens, .. } = request.kind {
            let answer_tokens = request.kind.answer_tokens();
            let values = &mut self.class_values;
            assessed = values.assess(&request.route, tokens, answer_tokens);
            cost_weight = self.cost_weight(&request.service, tokens, &assessed);
        }
        let typical_ms = self.min_latency_ms(&request, assessed.class_prompt_tokens);
        let class_density = assessed.class_value / typical_ms.max(1.0);
        let min_latency_ms = self.min_latency_ms(&request, request.kind.prompt_tokens());
        state::WaitingRequest {
            job,
            value: assessed.value,
            cost_weight,
            value_density: assessed.value / (cost_weight * min_latency_ms).max(1.0),
            submitted_at: now,
            objective_at: now + request.objective_remaining_ms,
            deadline_at: now + request.remaining_ms,
            min_latency_ms,
            work_ms: self.work_ms(&request),
            excess: 0.0,
            lane: self
                .queue
                .lane(&request.service, &request.route, class_density),
            is_late: request.objective_remaining_ms < 0.0,
            returned: false,
            request,
        }
    }

    /// Removes a request whose client or daemon has disconnected.
    pub fn cancel(&mut self, now: f64, job: job::JobId) {
        self.queue.remove(now, job);
        self.end(now, job, &health::HealthSignal::Inconclusive.into());
    }

    /// Removes all requests of one incarnation of a daemon.
    pub fn cancel_incarnation(&mut self, now: f64, incarnation: u64) {
        let jobs = self.jobs.keys().chain(self.queue.jobs());
        let cancelled: Vec<job::JobId> = jobs
            .filter(|job| job.incarnation == incarnation)
            .copied()
            .collect();
        for job in cancelled {
            self.cancel(now, job);
        }
    }

    /// Replaces the running jobs of one incarnation of a daemon by those that it reports. The others
    /// have ended, and the reports of their ends were lost with a connection.
    pub fn reconcile(&mut self, now: f64, incarnation: u64, reported: &[job::RunningJob]) {
        let listed: map::HashSet<job::JobId> = reported.iter().map(|running| running.job).collect();
        let jobs = self
            .jobs
            .keys()
            .filter(|job| job.incarnation == incarnation);
        let ended: Vec<job::JobId> = jobs.filter(|job| !listed.contains(job)).copied().collect();
        for job in ended {
            self.end(now, job, &health::HealthSignal::Inconclusive.into());
        }
        for running in reported {
            self.adopt(now, running);
        }
    }

    /// Adds a running job that another placer has placed.
    pub fn adopt(&mut self, now: f64, running: &job::RunningJob) {
        if self.jobs.contains_key(&running.job) {
            return;
        }
        self.advance(now);
        let profile = self.services.get(&running.request.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let usages = members::plan_usages(now, running, engine);
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
        self.record_latency(now, id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.crash_guard
            .tracker
            .record_response(now, &job.primary, job.placed_at);
        let arrived_at = job.placed_at + state::ONE_WAY_LATENCY_MS;
        let predicted_ms = job.predicted_first_event_at - arrived_at;
        let actual_ms = now - state::ONE_WAY_LATENCY_MS - arrived_at;
        let is_single_engine = job.members.len() == 1;
        let is_late = now + state::ONE_WAY_LATENCY_MS > job.objective_at;
        job.risk = risk::JobRisk {
            late: f64::from(u8::from(is_late)),
            abandoned: 0.0,
        };
        for usage in &job.members {
            if let Some(state) = self.endpoints.get_mut(&usage.endpoint) {
                let context_tokens = usage.part.and_then(|part| part.context_tokens);
                state.pass_model.start_generating(now, id, context_tokens);
                if is_single_engine && context_tokens.is_some() {
                    state.slowdown.record(now, predicted_ms, actual_ms);
                }
            }
        }
    }

    /// Records the end of a job and releases what it used.
    pub fn end(&mut self, now: f64, id: job::JobId, outcome: &job::JobOutcome) {
        self.record_end_of_hedged(now, id, outcome);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.crash_guard.record_outcome(now, &job, outcome);
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
            }
        }
        if job.kind == job::JobKind::Call && outcome.signal == health::HealthSignal::Success {
            self.call_planner.record(job.service, now - job.placed_at);
        }
    }

    /// Advances time to `now`, decides on waiting requests and removes expired jobs.
    pub fn tick(&mut self, now: f64) {
        self.advance(now);
        self.crash_guard.settle(now, &self.jobs);
        // New quarantines take effect before waiting requests that they concern are placed.
        if !self.crash_guard.tracker.has_changes() {
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

    /// Decides on each waiting request.
    fn decide_waiting(&mut self, now: f64) {
        self.queue.begin_round(now);
        let requests = self.queue.take(now);
        let mut walk = queue::RoundWalk::new(&requests);
        for waiting in requests {
            let place = walk.reach(&waiting);
            let is_searched = walk.is_promising(&waiting) && self.queue.try_search(now);
            let is_decided = match is_searched {
                true => self.try_decide(now, &waiting, place),
                false => self.decline_hopeless(now, &waiting, place),
            };
            if !is_decided {
                walk.keep(&waiting, is_searched);
                self.queue.push(now, waiting);
            }
        }
        self.queue.finish_round(now);
    }

    /// Returns and clears the refusals under load since the last call.
    pub fn take_refusals(&mut self) -> Vec<queue::LoadRefusal> {
        std::mem::take(&mut self.refusals)
    }

    /// Returns the number of plan searches since the current round began.
    pub fn searches_in_round(&self) -> usize {
        self.queue.searches()
    }

    /// Returns the queue of each service.
    pub fn service_queues(&self, now: f64) -> Vec<queue::ServiceQueue> {
        self.queue
            .service_queues(|service| self.configured_rate(now, service))
    }

    /// Returns and clears the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<(job::JobId, job::PlacementDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether a decision on a job is ready to be taken.
    pub fn has_decision(&self, job: job::JobId) -> bool {
        self.decisions.iter().any(|(other, _)| *other == job)
    }

    /// Returns the number of requests that wait for placement.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of placed requests that have not ended.
    pub fn running_count(&self) -> usize {
        self.jobs.len()
    }

    /// Places or declines a request; returns `false` if it has to wait.
    fn try_decide(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
        place: queue::QueuePlace,
    ) -> bool {
        let contested = place.min_gain_share(waiting) * waiting.value;
        let min_gain = self.min_gain(now, waiting).max(contested);
        let scored_plan = match self.best_plan(now, waiting, min_gain) {
            Ok(scored_plan) => scored_plan.filter(|_| {
                !self
                    .crash_guard
                    .awaits_repeat(now, &waiting.request, &self.jobs)
            }),
            Err(reason) => {
                self.decline(waiting.job, reason);
                return true;
            }
        };
        if let Some(scored_plan) = scored_plan {
            self.take_plan(now, waiting, scored_plan);
            return true;
        }
        self.decline_hopeless(now, waiting, place)
    }

    /// Returns the value that a plan must gain to be taken now.
    fn min_gain(&self, now: f64, waiting: &state::WaitingRequest) -> f64 {
        let slack_ms = waiting.objective_at - now - waiting.min_latency_ms;
        let waited_ms = now - waiting.submitted_at;
        let selective_ms = SELECTIVITY_DECAY_SHARE * waiting.request.full_objective_ms;
        let selectivity = if slack_ms > 0.0 {
            1.0 - waited_ms / selective_ms.max(1.0)
        } else {
            0.0
        };
        MIN_GAIN_SHARE * selectivity.max(0.0) * waiting.value
    }

    /// Places a request according to a plan.
    fn take_plan(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
        scored_plan: prompt_search::ScoredPlan,
    ) {
        let predicted_ms = scored_plan.plan.predicted_ms;
        for member in scored_plan.plan.members() {
            self.rate_limits.record_placement(now, &member.endpoint);
        }
        self.queue.record_placement(now, waiting);
        self.place(now, waiting, scored_plan.usages, predicted_ms);
        let decision = job::PlacementDecision::Placed(scored_plan.plan);
        self.decisions.push((waiting.job, decision));
    }

    /// Counts a request of a daemon whose build doesn't count its retries; returns `false` if it is a
    /// retry and none is left.
    fn try_retry(&mut self, now: f64, job: job::JobId, request: &job::PlacementRequest) -> bool {
        let (bounds, share) = (self.bounds.budget(), self.retry_share);
        let key = (request.service.clone(), job.incarnation);
        if !self.retry_budgets.contains_key(&key) {
            self.retry_budgets.retain(|_, budget| !budget.is_idle(now));
        }
        let budget = self.retry_budgets.entry(key);
        let budget = budget.or_insert_with(|| budget::RetryBudget::new(bounds));
        if !request.is_retry {
            budget.record_request(now);
            return true;
        }
        let is_allowed = budget.try_reserve(now, share);
        if is_allowed {
            budget.record_retry(now);
        }
        is_allowed
    }

    /// Declines a request that won't be placed in time; returns `false` if it may be.
    fn decline_hopeless(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
        place: queue::QueuePlace,
    ) -> bool {
        let turn_ms = self.next_turn_at(&waiting.request).max(now) - now;
        let service = &waiting.request.service;
        let configured = self.configured_rate(now, service);
        let backlogs = self.available(service).map(|(_, state)| state);
        let backlogs = backlogs.map(|state| state.pass_model.backlog_ms(now));
        let backlogs: Vec<f64> = backlogs.collect();
        let queued_ms = self
            .queue
            .predicted_wait_ms(waiting.lane, place, configured);
        let least_ms = match prompt_search::max_members(waiting.request.kind.prompt_tokens()) {
            1 => backlogs.iter().copied().fold(f64::MAX, f64::min),
            // Its parts go ahead of what is queued on the engines.
            _ => 0.0,
        };
        let crowd_ms = match place.is_predictable() {
            true => queued_ms.max(least_ms),
            false => 0.0,
        };
        let wait_ms = turn_ms.max(crowd_ms) + self.queue.lag_ms();
        let is_late = waiting.is_unservable(now + wait_ms);
        // While few wait, a place goes also to a request that will be late.
        let is_hopeless = || {
            waiting.is_unservable(now + least_ms)
                && matches!(self.best_plan(now, waiting, 0.0), Ok(None))
        };
        if !is_late && !is_hopeless() {
            return false;
        }
        let mean_ms = backlogs.iter().sum::<f64>() / backlogs.len().max(1) as f64;
        let refusal = self
            .queue
            .refuse(now, waiting, place, configured, turn_ms.max(mean_ms));
        let decision = job::PlacementDecision::Declined {
            reason: job::DeclineReason::Overloaded,
            retry_after_ms: refusal.retry_after_ms.ceil() as u64,
        };
        self.decisions.push((waiting.job, decision));
        self.refusals.push(refusal);
        true
    }

    /// Returns the engine time per ms of the endpoints of a service that accept work, or their slots
    /// if it is a plain service.
    fn configured_rate(&self, now: f64, service: &ids::ServiceId) -> f64 {
        let profile = self.services.get(service);
        let is_engine = profile.is_some_and(|profile| profile.engine.is_some());
        let endpoints = self.available(service).map(|(_, state)| match is_engine {
            true => 1.0 / state.slowdown.factor(now),
            false => f64::from(state.live.slots),
        });
        endpoints.sum()
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

    /// Declines a request for another reason than load.
    fn decline(&mut self, job: job::JobId, reason: job::DeclineReason) {
        let (shortest, longest) = RETRY_AFTER_RANGE_MS;
        // Spreads the retries of clients that were declined at the same time.
        let jitter = job.number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let decision = job::PlacementDecision::Declined {
            reason,
            retry_after_ms: shortest + jitter % (longest - shortest),
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

    /// Returns the time to the first event of a request with a prompt of `tokens` on idle endpoints, ms.
    fn min_latency_ms(&self, request: &job::PlacementRequest, tokens: u64) -> f64 {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        match (request.kind, engine) {
            (job::JobKind::Prompt { .. }, Some(profile)) => {
                let available = self.available(&request.service).count().max(1);
                let members = prompt_search::max_members(tokens).min(available);
                engine::prefill_ms(profile, tokens, members)
                    + engine::pass_ms(profile, 1, 0)
                    + calls::ROUND_TRIP_MS
            }
            _ => self.call_planner.mean_ms(&request.service) + calls::ROUND_TRIP_MS,
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
            _ => self.call_planner.mean_ms(&request.service),
        }
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
        let usable: Vec<&state::EndpointState> = available
            .iter()
            .copied()
            .filter(|state| !request.excluded.contains(&state.live.id))
            .filter(|state| !state.health.is_backed_off(now))
            .filter(|state| self.rate_limits.accepts(now, &state.live))
            .filter(|state| cold_limit.is_none_or(|limit| self.is_within(now, state, limit)))
            .collect();
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
                let plan = self.call_planner.best_plan(now, waiting, &usable);
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
            state.record_send(now);
        }
        let request = &waiting.request;
        self.record_work(now, waiting);
        let job = state::PlacedJob {
            service: request.service.clone(),
            kind: request.kind,
            value: waiting.value,
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

    /// Advances the predicted passes of all engines to `now`.
    fn advance(&mut self, now: f64) {
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
