//! Places requests on the endpoints of all services, jointly for all daemons.
//!
//! For each request the placer predicts, from the engines' figures and the work that it has
//! placed before, when its first event would come on each set of endpoints, and what the other
//! requests there would lose by it. It takes the set with the greatest gain. What gains more
//! later waits; what gains nothing any more is declined at once.

use std::collections;
use std::sync;

use model::ids;
use model::map;
use model::serving;

use crate::budget;
use crate::engine;
use crate::health;
use crate::job;
use crate::load;
use crate::members;
use crate::passes;
use crate::spread;
use crate::state;
use crate::value;

/// Time on the network and in daemons between a caller and an endpoint, both ways, ms.
const NETWORK_MS: f64 = 12.0;
/// Price of a ms of an idle engine, in units of a short prompt's worth.
const IDLE_PRICE: f64 = 0.0005;
/// Mean backlog at which the price has doubled, ms: a fifth of the tightest objective.
const PRICE_BACKLOG_MS: f64 = 60.0;
/// Backlog of one engine that counts at most, ms: one that reads a long prompt alone is of no use
/// to others, but makes the others no scarcer.
const MOST_BACKLOG_MS: f64 = 200.0;
/// Share of a request's worth that a place must gain to be taken while there is time to wait.
const ACCEPTED_GAIN: f64 = 0.6;
/// Share of the objective over which that share falls to nothing: engines clear within some passes.
const CHOOSY_SHARE: f64 = 0.15;
/// Share of the cold rate that is given out, as senders differ in when a send arrives.
const COLD_SHARE: f64 = 0.7;
/// Most waiting requests that are looked at in one tick: looking at all, over and over, would take
/// the time in which they could be placed.
const MOST_LOOKS: usize = 64;
/// Share of the objective for which late work may wait for a place.
const LATE_WAIT: f64 = 0.1;
/// Shortest and longest advice on when to come back, ms.
const RETRY_AFTER_MS: (u64, u64) = (400, 1_600);
/// Time of a plain call until one has been seen, ms.
const FIRST_CALL_MS: f64 = 30.0;
/// Weight of the newest call in the mean time of calls.
const CALL_WEIGHT: f64 = 0.05;
/// Requests per slot up to which a plain service's own queue is used.
const CALL_CROWDING: f64 = 2.0;
/// Time after which a job that its daemon no longer speaks of is forgotten, ms beyond its deadline.
const FORGET_MS: f64 = 5_000.0;

/// Limits that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct PlacerBounds {
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats beyond, in one window.
    pub retry_extra: f64,
    /// The window, ms.
    pub retry_window_ms: f64,
    /// Times the cold rate that an endpoint bears.
    pub cold_factor: f64,
    /// Requests a second that it bears beyond.
    pub cold_extra: f64,
}

/// State of the pool and the decisions on it.
#[derive(Clone, Debug)]
pub struct JobPlacer {
    bounds: PlacerBounds,
    services: map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    endpoints: collections::BTreeMap<ids::EndpointId, state::EndpointState>,
    jobs: map::HashMap<job::JobId, state::PlacedJob>,
    waiting: Vec<state::WaitingRequest>,
    values: value::ClassValues,
    budgets: map::HashMap<ids::ServiceId, budget::RetryBudget>,
    call_ms: map::HashMap<ids::ServiceId, f64>,
    retry_share: f64,
    decisions: Vec<(job::JobId, job::PlacementDecision)>,
}

impl JobPlacer {
    /// A placer that knows no endpoint yet.
    pub fn new(bounds: PlacerBounds) -> Self {
        Self {
            bounds,
            services: map::HashMap::default(),
            endpoints: collections::BTreeMap::new(),
            jobs: map::HashMap::default(),
            waiting: Vec::new(),
            values: value::ClassValues::default(),
            budgets: map::HashMap::default(),
            call_ms: map::HashMap::default(),
            retry_share: 1.0,
            decisions: Vec::new(),
        }
    }

    /// Sets the share of the deployment's budget for repeats that is given out here.
    pub fn set_retry_share(&mut self, share: f64) {
        self.retry_share = share;
    }

    /// Takes the services of a configuration.
    pub fn set_services(
        &mut self,
        services: &map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    ) {
        self.services.clone_from(services);
    }

    /// Takes the endpoints listed now and the data centres that are to get nothing.
    pub fn set_endpoints(&mut self, listed: &[serving::LiveEndpoint], closed: &[ids::CentreId]) {
        for state in self.endpoints.values_mut() {
            state.listed = false;
        }
        for live in listed {
            let state = self.endpoints.entry(live.id.clone());
            let state = state.or_insert_with(|| state::EndpointState::new(live.clone()));
            if state.live.started_ms != live.started_ms {
                // A new incarnation under the same id holds nothing of before.
                *state = state::EndpointState::new(live.clone());
            }
            state.live = live.clone();
            state.listed = true;
            state.closed = closed.contains(&live.centre);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Looks for a place; the decision comes with [`Self::take_decisions`], at once or later. A request
    /// that comes again, over another connection, takes the place of the first.
    pub fn submit(&mut self, now: f64, job: job::JobId, request: job::PlacementRequest) {
        self.cancel(now, job);
        let budget = self
            .budgets
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
        let waiting = self.weigh(now, job, request);
        if !self.settle(now, &waiting) {
            self.waiting.push(waiting);
        }
    }

    /// Values a request against others.
    fn weigh(
        &mut self,
        now: f64,
        job: job::JobId,
        request: job::PlacementRequest,
    ) -> state::WaitingRequest {
        let (value, cost_share) = match request.kind {
            job::JobKind::Prompt { tokens, .. } => {
                let answer = request.kind.answer_tokens();
                let value = self.values.assess(&request.route, tokens, answer);
                (
                    value.value,
                    self.cost_share(&request.service, tokens, &value),
                )
            }
            job::JobKind::Call => (value::CALL_VALUE, 1.0),
        };
        state::WaitingRequest {
            job,
            value,
            cost_share,
            asked_at: now,
            objective_at: now + request.objective_remaining_ms,
            gone_at: now + request.remaining_ms,
            best_ms: self.best_ms(&request),
            request,
        }
    }

    /// The caller of a request went away, or its daemon did.
    pub fn cancel(&mut self, now: f64, job: job::JobId) {
        self.waiting.retain(|waiting| waiting.job != job);
        self.end(now, job, &health::HealthSignal::Inconclusive.into());
    }

    /// Everything of a daemon's earlier incarnation is over.
    pub fn cancel_incarnation(&mut self, now: f64, incarnation: u64) {
        let jobs = self.jobs.keys().chain(self.waiting.iter().map(|w| &w.job));
        let gone: Vec<job::JobId> = jobs
            .filter(|job| job.incarnation == incarnation)
            .copied()
            .collect();
        for job in gone {
            self.cancel(now, job);
        }
    }

    /// Takes over a job that another placer placed.
    pub fn adopt(&mut self, now: f64, running: &job::RunningJob) {
        if self.jobs.contains_key(&running.job) {
            return;
        }
        self.advance(now);
        let shares = self.shares(now, running.job, &running.request, &running.plan);
        let waiting = self.weigh(now, running.job, running.request.clone());
        self.place(now, &waiting, shares, running.plan.predicted_ms);
        if running.started {
            self.first_event(now, running.job);
        }
    }

    /// The first event of a job came.
    pub fn first_event(&mut self, now: f64, id: job::JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.started = true;
        let arrived = job.placed_at + state::ONE_WAY_MS;
        let foretold = job.first_event_at - arrived;
        let took = now - state::ONE_WAY_MS - arrived;
        let alone = job.members.len() == 1;
        let late = now + state::ONE_WAY_MS > job.objective_at;
        job.outlook = load::JobOutlook {
            late: f64::from(u8::from(late)),
            cut: 0.0,
        };
        for share in &job.members {
            if let Some(state) = self.endpoints.get_mut(&share.endpoint) {
                let context = share.part.and_then(|part| part.context);
                state.passes.start(now, id, context);
                if alone && context.is_some() {
                    state.slowdown.record(now, foretold, took);
                }
            }
        }
    }

    /// A job is over.
    pub fn end(&mut self, now: f64, id: job::JobId, outcome: &job::JobOutcome) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for (position, share) in job.members.iter().enumerate() {
            let Some(state) = self.endpoints.get_mut(&share.endpoint) else {
                continue;
            };
            state.jobs.retain(|other| *other != id);
            state.memory_used = state.memory_used.saturating_sub(share.memory);
            state.passes.remove(id);
            let at_fault = match &outcome.at_fault {
                Some(endpoint) => *endpoint == share.endpoint,
                None => position == 0,
            };
            if at_fault {
                state.health.record(now, outcome.signal);
            }
        }
        if job.kind == job::JobKind::Call && outcome.signal == health::HealthSignal::Success {
            let mean = self.call_ms.entry(job.service).or_insert(FIRST_CALL_MS);
            *mean += CALL_WEIGHT * (now - job.placed_at - *mean);
        }
    }

    /// Time has passed: looks again at what waits.
    pub fn tick(&mut self, now: f64) {
        self.advance(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        // What is worth most for the time that it takes goes first.
        let density = |request: &state::WaitingRequest| {
            request.value / (request.cost_share * request.best_ms).max(1.0)
        };
        waiting.sort_by(|a, b| density(b).total_cmp(&density(a)));
        for (place, request) in waiting.into_iter().enumerate() {
            let left_for_later = place >= MOST_LOOKS && now + request.best_ms < request.gone_at;
            if left_for_later || !self.settle(now, &request) {
                self.waiting.push(request);
            }
        }
        let forgotten: Vec<job::JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| now > job.gone_at + FORGET_MS)
            .map(|(id, _)| *id)
            .collect();
        for job in forgotten {
            self.cancel(now, job);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Verdicts since the last call.
    pub fn take_decisions(&mut self) -> Vec<(job::JobId, job::PlacementDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Whether a decision on a job is to be taken.
    pub fn has_decision(&self, job: job::JobId) -> bool {
        self.decisions.iter().any(|(other, _)| *other == job)
    }

    /// Requests that wait for a place.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Requests placed and not over.
    pub fn running_count(&self) -> usize {
        self.jobs.len()
    }

    /// Decides on a request now; `false` if it is to wait.
    fn settle(&mut self, now: f64, waiting: &state::WaitingRequest) -> bool {
        let choice = match self.choose(now, waiting) {
            Ok(choice) => choice,
            Err(reason) => {
                self.decline(waiting.job, reason);
                return true;
            }
        };
        let slack = waiting.objective_at - now - waiting.best_ms;
        let waited = now - waiting.asked_at;
        let patience = CHOOSY_SHARE * waiting.request.full_objective_ms;
        let choosy = if slack > 0.0 {
            1.0 - waited / patience.max(1.0)
        } else {
            0.0
        };
        let floor = ACCEPTED_GAIN * choosy.max(0.0) * waiting.value;
        let worth_it = |choice: &spread::PlanChoice| choice.gain > floor;
        if let Some(choice) = choice.filter(worth_it) {
            let predicted = choice.plan.predicted_ms;
            self.place(now, waiting, choice.shares, predicted);
            let decision = job::PlacementDecision::Placed(choice.plan);
            self.decisions.push((waiting.job, decision));
            return true;
        }
        let late_until = waiting.objective_at + LATE_WAIT * waiting.request.full_objective_ms;
        let hopeless = now + waiting.best_ms > late_until.min(waiting.gone_at);
        if hopeless {
            self.decline(waiting.job, job::DeclineReason::Overloaded);
        }
        hopeless
    }

    fn decline(&mut self, job: job::JobId, reason: job::DeclineReason) {
        let (shortest, longest) = RETRY_AFTER_MS;
        // Callers that were declined together come back apart.
        let spread = job.number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let retry_after_ms = shortest + spread % (longest - shortest);
        let decision = job::PlacementDecision::Declined {
            reason,
            retry_after_ms,
        };
        self.decisions.push((job, decision));
    }

    /// Share of a prompt's price that counts against it; of the harm to others its square root
    /// does. The time that a prompt takes grows with the square of its size, its worth only in
    /// proportion: without it the largest prompts of a kind would be given up for the others.
    fn cost_share(
        &self,
        service: &ids::ServiceId,
        tokens: u64,
        value: &value::RequestValue,
    ) -> f64 {
        let profile = self.services.get(service);
        let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) else {
            return 1.0;
        };
        let own = engine::prefill_ms(engine, tokens, 1);
        let usual = engine::prefill_ms(engine, value.class_prompt_tokens, 1);
        let share = (value.value / value.class_value) / (own / usual.max(1.0));
        share.clamp(0.0, 1.0)
    }

    fn best_ms(&self, request: &job::PlacementRequest) -> f64 {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        match (request.kind, engine) {
            (job::JobKind::Prompt { tokens, .. }, Some(profile)) => {
                let open = self.open(&request.service).count().max(1);
                let spread = spread::most_members(tokens).min(open);
                engine::prefill_ms(profile, tokens, spread)
                    + engine::pass_ms(profile, 1, 0)
                    + NETWORK_MS
            }
            _ => self.mean_call_ms(&request.service) + NETWORK_MS,
        }
    }

    fn mean_call_ms(&self, service: &ids::ServiceId) -> f64 {
        self.call_ms.get(service).copied().unwrap_or(FIRST_CALL_MS)
    }

    fn open<'a>(
        &'a self,
        service: &'a ids::ServiceId,
    ) -> impl Iterator<Item = (&'a ids::EndpointId, &'a state::EndpointState)> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(move |(_, state)| state.takes_work() && state.live.service == *service)
    }

    fn choose(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
    ) -> Result<Option<spread::PlanChoice>, job::DeclineReason> {
        let request = &waiting.request;
        let profile = self.services.get(&request.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let cold_limit = profile.map_or(f64::MAX, |profile| self.send_limit(profile));
        let open: Vec<&state::EndpointState> = self
            .open(&request.service)
            .map(|(_, state)| state)
            .collect();
        if open.is_empty() {
            return Err(job::DeclineReason::NoEndpoint);
        }
        let usable: Vec<&state::EndpointState> = open
            .iter()
            .copied()
            .filter(|state| !request.excluded.contains(&state.live.id))
            .filter(|state| !state.health.in_backoff(now))
            .filter(|state| state.sends_since(now - 1_000.0) + 1.0 <= cold_limit)
            .collect();
        match (request.kind, engine) {
            (job::JobKind::Prompt { tokens, .. }, Some(engine)) => {
                let memory = state::given_memory(engine);
                let holders = open.len().min(members::MOST_HOLDERS + 1) as u64;
                if tokens + request.kind.answer_tokens() > memory * holders {
                    return Err(job::DeclineReason::TooLarge);
                }
                Ok(self.choose_engines(now, waiting, engine, &usable))
            }
            _ => Ok(self.choose_call(now, waiting, &usable)),
        }
    }

    /// Requests a second that one endpoint gets, also while it is not known to be cold.
    fn send_limit(&self, profile: &serving::ServiceProfile) -> f64 {
        if profile.cold_rate <= 0.0 {
            return f64::MAX;
        }
        let bound = profile.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra;
        (bound * COLD_SHARE).max(1.0)
    }

    fn choose_call(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        usable: &[&state::EndpointState],
    ) -> Option<spread::PlanChoice> {
        let mean = self.mean_call_ms(&waiting.request.service);
        let crowding = |state: &state::EndpointState| {
            (state.jobs.len() as f64 + 1.0) / f64::from(state.live.slots)
        };
        let cost = |state: &state::EndpointState| {
            let away = state.live.centre != waiting.request.centre;
            let wait = (crowding(state) - 1.0).max(0.0) * mean;
            let objective = waiting.request.full_objective_ms.max(1.0);
            let lost = state.health.failure_rate(now) + wait / objective + 0.02 * crowding(state);
            lost + if away {
                members::CROSS_CENTRE_PRICE
            } else {
                0.0
            }
        };
        let slack = waiting.objective_at - now - mean - NETWORK_MS;
        let most = if slack > 0.0 { 1.0 } else { CALL_CROWDING };
        let fitting = usable.iter().filter(|state| crowding(state) <= most);
        let state = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let plan = job::PlacementPlan {
            primary: state.member(0),
            helpers: Vec::new(),
            predicted_ms: (crowding(state) - 1.0).max(0.0) * mean + mean + NETWORK_MS,
            priority: waiting.request.priority.min(9),
        };
        let shares = vec![state::MemberShare {
            endpoint: state.live.id.clone(),
            part: None,
            memory: 0,
        }];
        Some(spread::PlanChoice {
            plan,
            shares,
            gain: waiting.value,
        })
    }

    fn choose_engines(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        profile: &serving::EngineProfile,
        usable: &[&state::EndpointState],
    ) -> Option<spread::PlanChoice> {
        let search = spread::PromptSearch {
            now,
            waiting,
            profile,
            jobs: &self.jobs,
            price: self.price(now, &waiting.request.service),
        };
        let views = usable.iter().copied();
        let views: Vec<members::EngineView<'_>> = views
            .map(|state| spread::view(state, profile, &self.jobs))
            .collect();
        search.choose(&views)
    }

    /// Price of a ms of engine time: it rises with the backlog.
    fn price(&self, now: f64, service: &ids::ServiceId) -> f64 {
        let mut backlog = 0.0;
        let mut count = 0.0;
        for (_, state) in self.open(service) {
            backlog += state.passes.backlog_ms(now).min(MOST_BACKLOG_MS);
            count += 1.0;
        }
        let mean: f64 = if count > 0.0 { backlog / count } else { 0.0 };
        IDLE_PRICE * (1.0 + (mean / PRICE_BACKLOG_MS).powi(2))
    }

    /// Shares of a plan that another placer made.
    fn shares(
        &self,
        now: f64,
        job: job::JobId,
        request: &job::PlacementRequest,
        plan: &job::PlacementPlan,
    ) -> Vec<state::MemberShare> {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        let members = 1 + plan.helpers.len();
        let tokens = request.kind.prompt_tokens();
        let part = engine.map(|profile| {
            let arrives_at = now + state::ONE_WAY_MS;
            passes::PrefillPart::new(profile, job, tokens, members, arrives_at)
        });
        let part = part.filter(|_| tokens > 0);
        let need = match part {
            Some(_) => tokens + request.kind.answer_tokens() + members::RESERVE_MARGIN,
            None => 0,
        };
        let reserved: u64 = plan
            .helpers
            .iter()
            .map(|helper| helper.reserve_tokens)
            .sum();
        let generating = part.map(|part| passes::PrefillPart {
            context: Some(tokens as f64),
            ..part
        });
        let first_memory = need.saturating_sub(reserved);
        let first = std::iter::once((&plan.primary, generating, first_memory));
        let helpers = plan.helpers.iter();
        first
            .chain(helpers.map(|helper| (helper, part, helper.reserve_tokens)))
            .map(|(member, part, memory)| state::MemberShare {
                endpoint: member.endpoint.clone(),
                part,
                memory,
            })
            .collect()
    }

    fn place(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
        shares: Vec<state::MemberShare>,
        predicted: f64,
    ) {
        for share in &shares {
            let Some(state) = self.endpoints.get_mut(&share.endpoint) else {
                continue;
            };
            state.jobs.push(waiting.job);
            state.memory_used += share.memory;
            if let Some(part) = share.part {
                state.passes.add(part);
            }
            state.sends.push_back(now);
            while state.sends.front().is_some_and(|at| *at < now - 1_000.0) {
                state.sends.pop_front();
            }
        }
        let request = &waiting.request;
        let job = state::PlacedJob {
            service: request.service.clone(),
            kind: request.kind,
            value: waiting.value,
            placed_at: now,
            objective_at: waiting.objective_at,
            gap_objective_ms: request.gap_objective_ms,
            gone_at: waiting.gone_at,
            first_event_at: now + predicted - state::ONE_WAY_MS,
            started: false,
            outlook: load::JobOutlook::default(),
            abandon_after_ms: request.abandon_after_ms,
            members: shares,
        };
        self.jobs.insert(waiting.job, job);
        self.foresee(now, waiting.job);
    }

    /// Notes what the requests on a job's engines are to expect now.
    fn foresee(&mut self, now: f64, id: job::JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let profile = self.services.get(&job.service).cloned();
        let Some(engine) = profile.as_ref().and_then(|profile| profile.engine.as_ref()) else {
            return;
        };
        let members = job.members.iter();
        let engines = members.filter_map(|share| self.endpoints.get(&share.endpoint));
        let forecasts = engines.flat_map(|state| state.passes.forecast(engine, None));
        for forecast in forecasts.collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&forecast.job) else {
                continue;
            };
            job.outlook = load::JobOutlook::foretell(now, job, &forecast);
            if let Some(prefilled_at) = forecast.prefilled_at.filter(|_| !job.started) {
                job.first_event_at = job.first_event_at.max(prefilled_at);
            }
        }
    }

    /// Lets the engines' passes go on.
    fn advance(&mut self, now: f64) {
        for state in self.endpoints.values_mut() {
            let profile = self.services.get(&state.live.service);
            if let Some(engine) = profile.and_then(|profile| profile.engine.as_ref()) {
                state.passes.set_slowdown(state.slowdown.factor(now));
                state.passes.advance(engine, now);
            }
        }
    }
}
