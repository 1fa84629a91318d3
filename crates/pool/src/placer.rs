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
use crate::job;
use crate::load;
use crate::members;
use crate::state;
use crate::trouble;
use crate::value;

/// Numbers of engines over which the reading of a prompt may be spread; the last is the most
/// that the platform takes.
const SPREADS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 17];
/// Least tokens of a part, so that a helper saves more than it costs: two steps.
const LEAST_PART_TOKENS: u64 = 4_096;
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

#[derive(Clone, Debug)]
struct PlanChoice {
    plan: job::PlacePlan,
    shares: Vec<state::MemberShare>,
    gain: f64,
}

/// State of the pool and the decisions on it.
#[derive(Clone, Debug)]
pub struct JobPlacer {
    bounds: PlacerBounds,
    services: map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    endpoints: collections::BTreeMap<ids::EndpointId, state::EndpointState>,
    jobs: map::HashMap<job::JobId, state::PlacedJob>,
    waiting: Vec<state::WaitingAsk>,
    values: value::KindValues,
    budgets: map::HashMap<ids::ServiceId, budget::RetryBudget>,
    call_ms: map::HashMap<ids::ServiceId, f64>,
    repeat_share: f64,
    verdicts: Vec<(job::JobId, job::PlaceVerdict)>,
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
            values: value::KindValues::default(),
            budgets: map::HashMap::default(),
            call_ms: map::HashMap::default(),
            repeat_share: 1.0,
            verdicts: Vec::new(),
        }
    }

    /// Sets the share of the deployment's budget for repeats that is given out here.
    pub fn set_repeat_share(&mut self, share: f64) {
        self.repeat_share = share;
    }

    /// Takes the services of a configuration.
    pub fn set_services(
        &mut self,
        services: &map::HashMap<ids::ServiceId, sync::Arc<serving::ServiceProfile>>,
    ) {
        self.services.clone_from(services);
    }

    /// Takes the endpoints listed now and the data centres that are to get nothing.
    pub fn set_endpoints(
        &mut self,
        now: f64,
        listed: &[serving::LiveEndpoint],
        closed: &[ids::CentreId],
    ) {
        for state in self.endpoints.values_mut() {
            state.listed = false;
        }
        for live in listed {
            let state = self.endpoints.entry(live.id.clone());
            let state = state.or_insert_with(|| state::EndpointState::new(live.clone(), now));
            if state.live.born_ms != live.born_ms {
                // A new life under the same id holds nothing of before.
                *state = state::EndpointState::new(live.clone(), now);
            }
            state.live = live.clone();
            state.listed = true;
            state.closed = closed.contains(&live.centre);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Looks for a place; the verdict comes with [`Self::take_verdicts`], at once or later. An ask
    /// that comes again, over another connection, takes the place of the first.
    pub fn ask(&mut self, now: f64, job: job::JobId, ask: job::PlaceAsk) {
        self.withdraw(now, job);
        let budget = self.budgets.entry(ask.service.clone()).or_insert_with(|| {
            let bounds = &self.bounds;
            budget::RetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window_ms,
            )
        });
        if ask.repeat {
            if !budget.try_repeat(now, self.repeat_share) {
                self.decline(job, job::DeclineReason::RetryBudget);
                return;
            }
        } else {
            budget.request(now);
        }
        let waiting = self.weigh(now, job, ask);
        if !self.settle(now, &waiting) {
            self.waiting.push(waiting);
        }
    }

    /// Values a request against others.
    fn weigh(&mut self, now: f64, job: job::JobId, ask: job::PlaceAsk) -> state::WaitingAsk {
        let (value, cost_share) = match ask.shape {
            job::JobShape::Prompt { tokens, .. } => {
                let answer = answer_tokens(&ask.shape);
                let value = self.values.value(&ask.route, tokens, answer);
                (value.value, self.cost_share(&ask.service, tokens, &value))
            }
            job::JobShape::Call => (value::CALL_VALUE, 1.0),
        };
        state::WaitingAsk {
            job,
            value,
            cost_share,
            asked_at: now,
            objective_at: now + ask.objective_ms,
            gone_at: now + ask.left_ms,
            best_ms: self.best_ms(&ask),
            ask,
        }
    }

    /// The caller of a request went away, or its daemon did.
    pub fn withdraw(&mut self, now: f64, job: job::JobId) {
        self.waiting.retain(|waiting| waiting.job != job);
        self.end(now, job, &trouble::EndpointSign::Nothing.into());
    }

    /// Everything of a daemon's earlier life is over.
    pub fn withdraw_life(&mut self, now: f64, life: u64) {
        let jobs = self.jobs.keys().chain(self.waiting.iter().map(|w| &w.job));
        let gone: Vec<job::JobId> = jobs.filter(|job| job.life == life).copied().collect();
        for job in gone {
            self.withdraw(now, job);
        }
    }

    /// Takes over a job that another placer placed.
    pub fn adopt(&mut self, now: f64, running: &job::RunningJob) {
        if self.jobs.contains_key(&running.job) {
            return;
        }
        let shares = self.shares(now, &running.ask, &running.plan);
        let waiting = self.weigh(now, running.job, running.ask.clone());
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
        if now + NETWORK_MS / 2.0 > job.objective_at {
            job.lost = 1.0;
        }
        for share in &mut job.members {
            let Some(state) = self.endpoints.get_mut(&share.endpoint) else {
                continue;
            };
            // Reading went faster than predicted: what follows it here comes earlier too.
            let early = (share.read_until - now).max(0.0);
            state.read_free_at -= early.min((state.read_free_at - now).max(0.0));
            share.read_until = share.read_until.min(now);
        }
    }

    /// A job is over.
    pub fn end(&mut self, now: f64, id: job::JobId, end: &job::JobEnd) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        for (position, share) in job.members.iter().enumerate() {
            let Some(state) = self.endpoints.get_mut(&share.endpoint) else {
                continue;
            };
            state.jobs.retain(|other| *other != id);
            state.memory_used = state.memory_used.saturating_sub(share.memory);
            let unread = (share.read_until - now).clamp(0.0, share.read_ms);
            state.read_free_at -= unread;
            let at_fault = match &end.at_fault {
                Some(endpoint) => *endpoint == share.endpoint,
                None => position == 0,
            };
            if at_fault {
                state.trouble.note(now, end.sign);
            }
        }
        if job.shape == job::JobShape::Call && end.sign == trouble::EndpointSign::Good {
            let mean = self.call_ms.entry(job.service).or_insert(FIRST_CALL_MS);
            *mean += CALL_WEIGHT * (now - job.placed_at - *mean);
        }
    }

    /// Time has passed: looks again at what waits.
    pub fn tick(&mut self, now: f64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        // What is worth most for the time that it takes goes first.
        let density = |ask: &state::WaitingAsk| ask.value / (ask.cost_share * ask.best_ms).max(1.0);
        waiting.sort_by(|a, b| density(b).total_cmp(&density(a)));
        for (place, ask) in waiting.into_iter().enumerate() {
            let left_for_later = place >= MOST_LOOKS && now + ask.best_ms < ask.gone_at;
            if left_for_later || !self.settle(now, &ask) {
                self.waiting.push(ask);
            }
        }
        let forgotten: Vec<job::JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| now > job.gone_at + FORGET_MS)
            .map(|(id, _)| *id)
            .collect();
        for job in forgotten {
            self.withdraw(now, job);
        }
        self.endpoints
            .retain(|_, state| state.listed || !state.jobs.is_empty());
    }

    /// Verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(job::JobId, job::PlaceVerdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether a verdict on a job is to be taken.
    pub fn has_verdict(&self, job: job::JobId) -> bool {
        self.verdicts.iter().any(|(other, _)| *other == job)
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests placed and not over.
    pub fn running(&self) -> usize {
        self.jobs.len()
    }

    /// Decides on a request now; `false` if it is to wait.
    fn settle(&mut self, now: f64, waiting: &state::WaitingAsk) -> bool {
        let choice = match self.choose(now, waiting) {
            Ok(choice) => choice,
            Err(reason) => {
                self.decline(waiting.job, reason);
                return true;
            }
        };
        let slack = waiting.objective_at - now - waiting.best_ms;
        let waited = now - waiting.asked_at;
        let patience = CHOOSY_SHARE * waiting.ask.full_objective_ms;
        let choosy = if slack > 0.0 {
            1.0 - waited / patience.max(1.0)
        } else {
            0.0
        };
        let floor = ACCEPTED_GAIN * choosy.max(0.0) * waiting.value;
        let worth_it = |choice: &PlanChoice| choice.gain > floor;
        if let Some(choice) = choice.filter(worth_it) {
            let predicted = choice.plan.predicted_ms;
            self.place(now, waiting, choice.shares, predicted);
            let verdict = job::PlaceVerdict::Placed(choice.plan);
            self.verdicts.push((waiting.job, verdict));
            return true;
        }
        let late_until = waiting.objective_at + LATE_WAIT * waiting.ask.full_objective_ms;
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
        let verdict = job::PlaceVerdict::Declined {
            reason,
            retry_after_ms,
        };
        self.verdicts.push((job, verdict));
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
        let own = engine::read_ms(engine, tokens, 1);
        let usual = engine::read_ms(engine, value.kind_prompt, 1);
        let share = (value.value / value.kind_value) / (own / usual.max(1.0));
        share.clamp(0.0, 1.0)
    }

    fn best_ms(&self, ask: &job::PlaceAsk) -> f64 {
        let engine = self.services.get(&ask.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        match (ask.shape, engine) {
            (job::JobShape::Prompt { tokens, .. }, Some(profile)) => {
                let open = self.open(&ask.service).count().max(1);
                let spread = most_members(tokens).min(open);
                engine::read_ms(profile, tokens, spread)
                    + engine::pass_ms(profile, 1, 0)
                    + NETWORK_MS
            }
            _ => self.mean_call_ms(&ask.service) + NETWORK_MS,
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
        waiting: &state::WaitingAsk,
    ) -> Result<Option<PlanChoice>, job::DeclineReason> {
        let ask = &waiting.ask;
        let profile = self.services.get(&ask.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let cold_limit = profile.map_or(f64::MAX, |profile| self.send_limit(profile));
        let open: Vec<&state::EndpointState> =
            self.open(&ask.service).map(|(_, state)| state).collect();
        if open.is_empty() {
            return Err(job::DeclineReason::NoEndpoint);
        }
        let usable: Vec<&state::EndpointState> = open
            .iter()
            .copied()
            .filter(|state| !ask.avoid.contains(&state.live.id))
            .filter(|state| !state.trouble.avoided(now))
            .filter(|state| state.sends_since(now - 1_000.0) + 1.0 <= cold_limit)
            .collect();
        match (ask.shape, engine) {
            (job::JobShape::Prompt { tokens, .. }, Some(engine)) => {
                let memory = state::given_memory(engine);
                let holders = open.len().min(members::MOST_HOLDERS + 1) as u64;
                if tokens + answer_tokens(&ask.shape) > memory * holders {
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
        waiting: &state::WaitingAsk,
        usable: &[&state::EndpointState],
    ) -> Option<PlanChoice> {
        let mean = self.mean_call_ms(&waiting.ask.service);
        let crowding = |state: &state::EndpointState| {
            (state.jobs.len() as f64 + 1.0) / f64::from(state.live.slots)
        };
        let cost = |state: &state::EndpointState| {
            let away = state.live.centre != waiting.ask.centre;
            let wait = (crowding(state) - 1.0).max(0.0) * mean;
            let objective = waiting.ask.full_objective_ms.max(1.0);
            let lost = state.trouble.share(now) + wait / objective + 0.02 * crowding(state);
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
        let plan = job::PlacePlan {
            first: state.member(0),
            helpers: Vec::new(),
            predicted_ms: (crowding(state) - 1.0).max(0.0) * mean + mean + NETWORK_MS,
            priority: waiting.ask.priority.min(9),
        };
        let shares = vec![state::MemberShare {
            endpoint: state.live.id.clone(),
            read_ms: 0.0,
            token_ms: 0.0,
            read_until: now,
            memory: 0,
        }];
        Some(PlanChoice {
            plan,
            shares,
            gain: waiting.value,
        })
    }

    fn choose_engines(
        &self,
        now: f64,
        waiting: &state::WaitingAsk,
        profile: &serving::EngineProfile,
        usable: &[&state::EndpointState],
    ) -> Option<PlanChoice> {
        let job::JobShape::Prompt { tokens, .. } = waiting.ask.shape else {
            return None;
        };
        let price = self.price(now, &waiting.ask.service);
        let most = most_members(tokens).min(usable.len());
        let views: Vec<members::EngineView<'_>> = usable
            .iter()
            .map(|state| members::EngineView {
                state,
                load: self.engine_load(now, state, profile),
            })
            .collect();
        let spreads = SPREADS.iter().filter(|spread| **spread <= most);
        let choices = spreads
            .filter_map(|spread| self.choose_spread(now, waiting, profile, &views, price, *spread));
        choices.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    /// Price of a ms of engine time: it rises with the backlog.
    fn price(&self, now: f64, service: &ids::ServiceId) -> f64 {
        let mut backlog = 0.0;
        let mut count = 0.0;
        for (_, state) in self.open(service) {
            backlog += (state.read_free_at - now).clamp(0.0, MOST_BACKLOG_MS);
            count += 1.0;
        }
        let mean: f64 = if count > 0.0 { backlog / count } else { 0.0 };
        IDLE_PRICE * (1.0 + (mean / PRICE_BACKLOG_MS).powi(2))
    }

    fn engine_load(
        &self,
        now: f64,
        state: &state::EndpointState,
        profile: &serving::EngineProfile,
    ) -> load::EngineLoad {
        let mut load = load::EngineLoad {
            backlog_ms: (state.read_free_at - now).max(0.0),
            pass_ms: 0.0,
            token_ms: 0.0,
            generating: Vec::new(),
            reading: Vec::new(),
            first_here: 0,
        };
        let mut context = 0;
        for id in &state.jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let unread = job.members.iter().find(|share| {
                share.endpoint == state.live.id && share.read_until > now && !job.started
            });
            load.token_ms = load
                .token_ms
                .max(unread.map_or(0.0, |share| share.token_ms));
            let here = job.members.first();
            let first = here.is_some_and(|share| share.endpoint == state.live.id);
            if first {
                load.first_here += 1;
                context += job.context;
                load.generating.push(load::GeneratingJob {
                    pending_ms: job.pending_ms(now, state.read_free_at),
                    pause_ms: job.pause_ms,
                    late_loss: job.at_stake(),
                    patience_ms: job.patience_ms,
                    cut_loss: job.rest_at_stake(),
                });
            }
            if !job.started {
                let spare = job.objective_at - job.first_event_at.max(now);
                load.reading.push((spare, job.at_stake()));
            }
        }
        load.pass_ms = engine::pass_ms(profile, load.generating.len() + 1, context);
        load
    }

    fn choose_spread(
        &self,
        now: f64,
        waiting: &state::WaitingAsk,
        profile: &serving::EngineProfile,
        views: &[members::EngineView<'_>],
        price: f64,
        spread: usize,
    ) -> Option<PlanChoice> {
        let job::JobShape::Prompt { tokens, .. } = waiting.ask.shape else {
            return None;
        };
        let need = tokens + answer_tokens(&waiting.ask.shape) + members::RESERVE_MARGIN;
        let read_ms = engine::read_ms(profile, tokens, spread);
        let addition = load::ReadAddition {
            read_ms,
            token_ms: read_ms * spread as f64 / tokens.max(1) as f64,
            ahead: spread > 1,
        };
        let ranked = members::rank_members(now, waiting, profile, views, &addition);
        let members = members::take_members(ranked, spread, need, profile)?;
        let split = members::split_memory(&members, need, profile)?;

        let start = members.iter().map(|view| view.load.start_ms());
        let start = start.fold(0.0, f64::max);
        let predicted = start + read_ms + split.first.load.pass_ms + NETWORK_MS;
        let objective = waiting.objective_at - now;
        let on_time = load::on_time_share(predicted, objective, waiting.gone_at - now);
        let harm: f64 = members
            .iter()
            .map(|view| {
                let trouble = view.state.trouble.share(now) / spread as f64;
                view.load.harm(profile, &addition) + trouble * waiting.value
            })
            .sum();
        let gain = waiting.value * on_time
            - waiting.cost_share.sqrt() * harm
            - waiting.cost_share * price * read_ms * spread as f64;

        let share = |view: &members::EngineView<'_>, memory: u64| state::MemberShare {
            endpoint: view.state.live.id.clone(),
            read_ms,
            token_ms: addition.token_ms,
            read_until: now + view.load.start_ms() + read_ms,
            memory,
        };
        let mut shares = vec![share(split.first, split.first_tokens)];
        let helpers = split.helpers.iter();
        shares.extend(helpers.clone().map(|(view, tokens)| share(view, *tokens)));
        let plan = job::PlacePlan {
            first: split.first.state.member(0),
            helpers: helpers
                .map(|(view, tokens)| view.state.member(*tokens))
                .collect(),
            predicted_ms: predicted,
            priority: engine_priority(&waiting.ask),
        };
        Some(PlanChoice { plan, shares, gain })
    }

    /// Shares of a plan that another placer made.
    fn shares(
        &self,
        now: f64,
        ask: &job::PlaceAsk,
        plan: &job::PlacePlan,
    ) -> Vec<state::MemberShare> {
        let engine = self.services.get(&ask.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        let members = 1 + plan.helpers.len();
        let (read_ms, need) = match (ask.shape, engine) {
            (job::JobShape::Prompt { tokens, .. }, Some(profile)) => (
                engine::read_ms(profile, tokens, members),
                tokens + answer_tokens(&ask.shape) + members::RESERVE_MARGIN,
            ),
            _ => (0.0, 0),
        };
        let reserved: u64 = plan
            .helpers
            .iter()
            .map(|helper| helper.reserve_tokens)
            .sum();
        let first = std::iter::once((&plan.first, need.saturating_sub(reserved)));
        let helpers = plan.helpers.iter();
        first
            .chain(helpers.map(|helper| (helper, helper.reserve_tokens)))
            .map(|(member, memory)| state::MemberShare {
                endpoint: member.endpoint.clone(),
                read_ms,
                token_ms: read_ms * members as f64 / (need.max(1) as f64),
                read_until: now + read_ms,
                memory,
            })
            .collect()
    }

    /// Notes which requests a new read on their engine makes late.
    fn note_pauses(
        &mut self,
        now: f64,
        waiting: &state::WaitingAsk,
        shares: &[state::MemberShare],
    ) {
        let profile = self.services.get(&waiting.ask.service).cloned();
        let Some(engine) = profile.as_ref().and_then(|profile| profile.engine.as_ref()) else {
            return;
        };
        for share in shares {
            let Some(state) = self.endpoints.get(&share.endpoint) else {
                continue;
            };
            let load = self.engine_load(now, state, engine);
            let (pass_ms, token_ms) = (load.pass_ms, load.token_ms.max(share.token_ms));
            let most = engine::most_read_ms(engine, token_ms);
            let (jobs, read_free_at) = (state.jobs.clone(), state.read_free_at);
            for id in &jobs {
                let Some(job) = self.jobs.get_mut(id) else {
                    continue;
                };
                let first = job.members.first();
                if first.is_some_and(|first| first.endpoint == share.endpoint) {
                    let pending = job.pending_ms(now, read_free_at) + share.read_ms;
                    let pause = pass_ms + pending.min(most);
                    job.lost = job.lost.max(load::late_chance(pause, job.pause_ms));
                    job.cut = job.cut.max(load::late_chance(pause, job.patience_ms));
                }
            }
        }
    }

    fn place(
        &mut self,
        now: f64,
        waiting: &state::WaitingAsk,
        shares: Vec<state::MemberShare>,
        predicted: f64,
    ) {
        self.note_pauses(now, waiting, &shares);
        for share in &shares {
            let Some(state) = self.endpoints.get_mut(&share.endpoint) else {
                continue;
            };
            state.jobs.push(waiting.job);
            state.memory_used += share.memory;
            state.read_free_at = state.read_free_at.max(now) + share.read_ms;
            state.sends.push_back(now);
            while state.sends.front().is_some_and(|at| *at < now - 1_000.0) {
                state.sends.pop_front();
            }
        }
        let context = shares.first().map_or(0, |share| share.memory);
        let job = state::PlacedJob {
            service: waiting.ask.service.clone(),
            shape: waiting.ask.shape,
            value: waiting.value,
            placed_at: now,
            objective_at: waiting.objective_at,
            pause_ms: waiting.ask.pause_ms,
            gone_at: waiting.gone_at,
            first_event_at: now + predicted - NETWORK_MS,
            started: false,
            lost: load::on_time_loss(predicted, waiting.objective_at - now),
            cut: 0.0,
            patience_ms: waiting.ask.patience_ms,
            context,
            members: shares,
        };
        self.jobs.insert(waiting.job, job);
    }
}

fn most_members(tokens: u64) -> usize {
    let most = usize::try_from(tokens / LEAST_PART_TOKENS).unwrap_or(1);
    most.max(1)
}

fn answer_tokens(shape: &job::JobShape) -> u64 {
    match shape {
        job::JobShape::Prompt { answer_tokens, .. } => *answer_tokens,
        job::JobShape::Call => 0,
    }
}

/// Rank for an engine's own queue: tighter objectives go first.
fn engine_priority(ask: &job::PlaceAsk) -> u8 {
    let rank = match ask.full_objective_ms {
        objective if objective <= 500.0 => 0,
        objective if objective <= 2_000.0 => 2,
        _ => 4,
    };
    rank + ask.priority.min(3)
}
