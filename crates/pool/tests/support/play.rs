//! Plays a load against the placer and model engines in virtual time.

use std::collections;

use model::ids;
use model::map;
use model::serving;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use sardinepaddle_pool::health;
use sardinepaddle_pool::job;
use sardinepaddle_pool::placer;

use crate::support::engine;
use crate::support::figures;

/// Time on the network between caller and endpoint, one way, ms.
const ONE_WAY_MS: f64 = 5.0;
/// Time between two looks of the placer at what waits, ms.
const TICK_MS: f64 = 20.0;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub name: &'static str,
    pub per_s: f64,
    pub prompt: f64,
    /// Spread of the logarithm of the prompt's size.
    pub spread: f64,
    pub most_prompt: f64,
    pub events: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub objective_ms: f64,
    pub gap_objective_ms: f64,
    pub deadline_ms: f64,
}

/// A load: kinds of requests on some engines.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    pub kinds: Vec<RequestKind>,
    pub engines: usize,
    /// Requests at once on an engine.
    pub slots: u32,
    /// Steps of a pass, and tokens of an event.
    pub stride: u32,
    pub span_ms: f64,
    /// Times the rates of each kind, over parts of the span of equal length.
    pub waves: Vec<Vec<f64>>,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindOutcome {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub given_up: u32,
    pub earned: f64,
    pub owed: f64,
    /// Share of the largest tenth that was served, on time or late.
    pub largest_tenth: f64,
    /// Share of the fifth below it.
    pub next_fifth: f64,
}

impl KindOutcome {
    /// Share of requests that were served, on time or late.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of the worth that was earned.
    pub fn share(&self) -> f64 {
        self.earned / self.owed.max(1e-9)
    }
}

#[derive(Clone, Debug)]
struct PlayedRequest {
    kind: usize,
    prompt: f64,
    answer: f64,
    worth: f64,
    first_asked_at: f64,
    again: bool,
    parts_left: usize,
    first: usize,
    members: Vec<usize>,
    first_at: f64,
    last_at: f64,
    longest_pause: f64,
    served: bool,
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PlayEvent {
    Ask(usize),
    Arrive(usize),
    PassEnd(usize),
    Tick,
}

/// A day in virtual time.
pub struct LoadPlay {
    load: EngineLoad,
    profile: serving::EngineProfile,
    placer: placer::JobPlacer,
    engines: Vec<engine::PassEngine>,
    requests: Vec<PlayedRequest>,
    agenda: collections::BTreeMap<(u64, usize), PlayEvent>,
    sequence: usize,
    plans: map::HashMap<usize, job::PlacementPlan>,
    outcomes: Vec<KindOutcome>,
}

impl LoadPlay {
    /// Draws a load.
    pub fn new(load: EngineLoad, seed: u64) -> Self {
        let profile = figures::profile(load.slots, load.stride);
        let bounds = placer::PlacerBounds {
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window_ms: 10_000.0,
            cold_factor: 1.5,
            cold_extra: 5.0,
        };
        let mut placer = placer::JobPlacer::new(bounds);
        let service = ids::ServiceId::new("llm");
        let mut services = map::HashMap::default();
        services.insert(
            service.clone(),
            std::sync::Arc::new(serving::ServiceProfile {
                service: service.clone(),
                cold_rate: 26.0,
                engine: Some(profile.clone()),
            }),
        );
        placer.set_services(&services);
        let listed: Vec<serving::LiveEndpoint> = (0..load.engines)
            .map(|index| serving::LiveEndpoint {
                id: ids::EndpointId::new(&format!("e{index:03}")),
                service: service.clone(),
                address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
                centre: ids::CentreId::new(["a", "b", "c"][index % 3]),
                slots: profile.slots,
                leaving: false,
                started_ms: 0,
            })
            .collect();
        placer.set_endpoints(&listed, &[]);
        let mut play = Self {
            outcomes: vec![KindOutcome::default(); load.kinds.len()],
            engines: vec![engine::PassEngine::default(); load.engines],
            load,
            profile,
            placer,
            requests: Vec::new(),
            agenda: collections::BTreeMap::new(),
            sequence: 0,
            plans: map::HashMap::default(),
        };
        play.draw(seed);
        play
    }

    fn draw(&mut self, seed: u64) {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let kinds = self.load.kinds.clone();
        for (index, kind) in kinds.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let wave = self.wave(index, at).max(0.01);
                let gap = -rng.random::<f64>().max(1e-12).ln() / (kind.per_s * wave);
                at += gap * 1_000.0;
                if at > self.load.span_ms {
                    break;
                }
                let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
                let sigma = (1.0 + kind.spread * kind.spread).ln().sqrt();
                let size = (sigma * normal - sigma * sigma / 2.0).exp();
                let prompt = (kind.prompt * size).min(kind.most_prompt);
                let relative = 0.3 + 0.7 * prompt / kind.prompt;
                let stride = f64::from(self.profile.stride);
                let request = PlayedRequest {
                    kind: index,
                    prompt,
                    answer: kind.events * stride * (0.4 + 1.2 * rng.random::<f64>()),
                    worth: relative.min(4.0),
                    first_asked_at: at,
                    again: false,
                    parts_left: 0,
                    first: 0,
                    members: Vec::new(),
                    first_at: 0.0,
                    last_at: 0.0,
                    longest_pause: 0.0,
                    served: false,
                    over: false,
                };
                self.outcomes[index].asked += 1;
                self.outcomes[index].owed += kind.worth * request.worth;
                self.requests.push(request);
                let ask = PlayEvent::Ask(self.requests.len() - 1);
                self.later(at, ask);
            }
        }
        self.later(TICK_MS, PlayEvent::Tick);
    }

    fn wave(&self, kind: usize, at: f64) -> f64 {
        let parts = self.load.waves.len();
        if parts == 0 {
            return 1.0;
        }
        let part = (at / self.load.span_ms * parts as f64) as usize;
        self.load.waves[part.min(parts - 1)][kind]
    }

    fn later(&mut self, at: f64, event: PlayEvent) {
        self.sequence += 1;
        self.agenda
            .insert(((at * 1_000.0) as u64, self.sequence), event);
    }

    /// Plays to the end; what callers of each kind got.
    pub fn run(mut self) -> Vec<KindOutcome> {
        let end = self.load.span_ms + 16_000.0;
        while let Some(((micros, _), event)) = self.agenda.pop_first() {
            let now = micros as f64 / 1_000.0;
            if now > end {
                break;
            }
            match event {
                PlayEvent::Ask(index) => self.ask(now, index),
                PlayEvent::Arrive(index) => self.arrive(now, index),
                PlayEvent::PassEnd(engine) => self.pass_end(now, engine),
                PlayEvent::Tick => {
                    self.placer.tick(now);
                    self.give_up(now);
                    self.later(now + TICK_MS, PlayEvent::Tick);
                }
            }
            self.verdicts(now);
        }
        for kind in 0..self.outcomes.len() {
            self.note_sizes(kind);
        }
        self.outcomes
    }

    fn note_sizes(&mut self, kind: usize) {
        let of_kind = self.requests.iter().filter(|request| request.kind == kind);
        let mut sizes: Vec<(f64, bool)> = of_kind
            .map(|request| (request.prompt, request.served))
            .collect();
        sizes.sort_by(|a, b| b.0.total_cmp(&a.0));
        let tenth = sizes.len() / 10;
        let share = |part: &[(f64, bool)]| {
            let served = part.iter().filter(|(_, served)| *served).count();
            served as f64 / part.len().max(1) as f64
        };
        self.outcomes[kind].largest_tenth = share(&sizes[..tenth]);
        self.outcomes[kind].next_fifth = share(&sizes[tenth..3 * tenth]);
    }

    fn job(index: usize) -> job::JobId {
        job::JobId {
            incarnation: 1,
            number: index as u64,
        }
    }

    fn patience(kind: &RequestKind) -> f64 {
        2_000.0_f64
            .max(4.0 * kind.objective_ms)
            .max(8.0 * kind.gap_objective_ms)
    }

    fn ask(&mut self, now: f64, index: usize) {
        let request = &self.requests[index];
        let kind = self.load.kinds[request.kind];
        let ask = job::PlacementRequest {
            route: kind.name.to_owned(),
            service: ids::ServiceId::new("llm"),
            kind: job::JobKind::Prompt {
                tokens: request.prompt as u64,
                answer_tokens: request.answer as u64,
            },
            centre: ids::CentreId::new("a"),
            objective_remaining_ms: request.first_asked_at + kind.objective_ms - now,
            full_objective_ms: kind.objective_ms,
            gap_objective_ms: kind.gap_objective_ms,
            abandon_after_ms: Self::patience(&kind),
            remaining_ms: request.first_asked_at + kind.deadline_ms - now,
            priority: 1,
            excluded: Vec::new(),
            is_retry: false,
        };
        self.placer.submit(now, Self::job(index), ask);
    }

    fn verdicts(&mut self, now: f64) {
        for (job, verdict) in self.placer.take_decisions() {
            let index = job.number as usize;
            match verdict {
                job::PlacementDecision::Placed(plan) => {
                    self.plans.insert(index, plan);
                    self.later(now + ONE_WAY_MS, PlayEvent::Arrive(index));
                }
                job::PlacementDecision::Declined { retry_after_ms, .. } => {
                    self.declined(now, index, retry_after_ms as f64);
                }
            }
        }
    }

    fn declined(&mut self, now: f64, index: usize, retry_after: f64) {
        let request = &mut self.requests[index];
        let kind = self.load.kinds[request.kind];
        let left = request.first_asked_at + kind.deadline_ms - now;
        if request.again || left < 100.0 {
            request.over = true;
            self.outcomes[request.kind].refused += 1;
            return;
        }
        request.again = true;
        self.later(now + retry_after.min(left / 3.0), PlayEvent::Ask(index));
    }

    fn engine_index(endpoint: &ids::EndpointId) -> usize {
        endpoint.as_str()[1..].parse().unwrap()
    }

    fn arrive(&mut self, now: f64, index: usize) {
        let plan = self.plans[&index].clone();
        let members = 1 + plan.helpers.len();
        let request = &mut self.requests[index];
        let pairs_ms =
            request.prompt * request.prompt / 2e6 * self.profile.attention_ms_per_million_pairs;
        let ms_per_token = 1.0 / self.profile.prefill_tokens_per_ms + pairs_ms / request.prompt;
        let part = request.prompt / members as f64;
        request.parts_left = members;
        request.first = Self::engine_index(&plan.primary.endpoint);
        let helpers = plan.helpers.iter();
        let helpers = helpers.map(|helper| Self::engine_index(&helper.endpoint));
        request.members = std::iter::once(request.first).chain(helpers).collect();
        request.last_at = now;
        for member in request.members.clone() {
            self.engines[member].read(index, part, ms_per_token, members > 1);
            self.wake(now, member);
        }
    }

    fn wake(&mut self, now: f64, engine: usize) {
        let ran = self.engines[engine].is_running();
        let end = self.engines[engine].next_end(now, &self.profile);
        if let Some(end) = end.filter(|_| !ran) {
            self.later(end, PlayEvent::PassEnd(engine));
        }
    }

    fn pass_end(&mut self, now: f64, engine: usize) {
        for news in self.engines[engine].finish() {
            match news {
                engine::PassNews::Read(index) => self.part_read(now, index),
                engine::PassNews::Event(index, last) => self.event(now, index, last),
            }
        }
        self.wake(now, engine);
    }

    fn part_read(&mut self, now: f64, index: usize) {
        let request = &mut self.requests[index];
        if request.over {
            return;
        }
        request.parts_left -= 1;
        if request.parts_left > 0 {
            return;
        }
        let (first, answer, prompt) = (request.first, request.answer, request.prompt);
        self.engines[first].write(index, answer, prompt);
        self.event(now, index, false);
        self.wake(now, first);
    }

    fn event(&mut self, now: f64, index: usize, last: bool) {
        let request = &mut self.requests[index];
        if request.over {
            return;
        }
        if request.first_at == 0.0 {
            request.first_at = now + ONE_WAY_MS;
            self.placer.first_event(now + ONE_WAY_MS, Self::job(index));
        } else {
            request.longest_pause = request.longest_pause.max(now - request.last_at);
        }
        request.last_at = now;
        if last {
            self.end(now, index, true);
        }
    }

    fn end(&mut self, now: f64, index: usize, complete: bool) {
        let request = &mut self.requests[index];
        request.over = true;
        request.served = complete;
        let kind = self.load.kinds[request.kind];
        let outcome = &mut self.outcomes[request.kind];
        let in_time = request.first_at - request.first_asked_at <= kind.objective_ms;
        if !complete {
            outcome.given_up += 1;
        } else if in_time && request.longest_pause <= kind.gap_objective_ms {
            outcome.on_time += 1;
            outcome.earned += kind.worth * request.worth;
        } else {
            outcome.late += 1;
            outcome.earned += kind.late_worth * request.worth;
        }
        for engine in request.members.clone() {
            self.engines[engine].cut(index);
        }
        let end = job::JobOutcome {
            signal: match complete {
                true => health::HealthSignal::Success,
                false => health::HealthSignal::Inconclusive,
            },
            at_fault: None,
        };
        self.placer.end(now, Self::job(index), &end);
    }

    /// Callers leave after a gap, or at their deadline.
    fn give_up(&mut self, now: f64) {
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            let kind = self.load.kinds[request.kind];
            if request.over || request.members.is_empty() {
                continue;
            }
            let gap = now - request.last_at > Self::patience(&kind);
            if gap || now > request.first_asked_at + kind.deadline_ms {
                self.end(now, index, false);
            }
        }
    }
}
