//! Predicts the work of a model engine pass by pass.
//!
//! An engine works in passes, each a number of steps. While requests generate, a pass has `stride`
//! steps. Each step generates one token for each of these requests and prefills at most
//! `chunk_tokens` tokens of prompts. At the end of the pass, each generating request sends its
//! `stride` tokens as one event. Thus a pass that also prefills lengthens the gap between events. A
//! prompt that arrives during a pass waits for the next one. Parts of prompts that are shared with
//! other engines are prefilled first, newest first; whole prompts follow in order of arrival.

use std::cell;

use model::serving;

use crate::engine;
use crate::job;

/// Most passes that a forecast looks ahead; a prefill that takes longer is late in any case.
const MAX_FORECAST_PASSES: usize = 24;

/// The part of a prompt that one engine prefills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillPart {
    /// The request of the prompt.
    pub job: job::JobId,
    /// Tokens left to prefill.
    pub tokens: f64,
    /// Prefill time per token, ms, without the time that each step takes in any case.
    pub ms_per_token: f64,
    /// Whether other engines prefill parts of the same prompt.
    pub shared: bool,
    /// Time of its arrival at the engine, ms.
    pub arrives_at: f64,
    /// Context tokens, if this engine generates the response.
    pub context_tokens: Option<f64>,
}

impl PrefillPart {
    /// Creates one of `members` equal parts of a prompt.
    pub fn new(
        profile: &serving::EngineProfile,
        job: job::JobId,
        prompt_tokens: u64,
        members: usize,
        arrives_at: f64,
    ) -> Self {
        let tokens = prompt_tokens as f64 / members as f64;
        let steps = (tokens / f64::from(profile.chunk_tokens)).ceil();
        let prefill_ms =
            engine::prefill_ms(profile, prompt_tokens, members) - steps * profile.step_ms;
        Self {
            job,
            tokens,
            ms_per_token: prefill_ms / tokens.max(1.0),
            shared: members > 1,
            arrives_at,
            context_tokens: None,
        }
    }
}

/// The predicted times of one request on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobForecast {
    /// The request.
    pub job: job::JobId,
    /// Time at which its part will be prefilled, ms; `None` if it is already.
    pub prefilled_at: Option<f64>,
    /// Longest pass while it generates on the engine, ms; zero if it doesn't.
    pub longest_pass_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct GeneratingRequest {
    job: job::JobId,
    context_tokens: f64,
}

/// The work of one engine, as predicted.
///
/// ```
/// use sardinepaddle_pool::{job, passes};
/// # let profile = model::serving::EngineProfile {
/// #     slots: 16, memory_tokens: 315_000, stride: 51, step_ms: 0.85, step_ms_per_request: 0.0,
/// #     step_ms_per_context_k: 0.0, prefill_tokens_per_ms: 177.0,
/// #     attention_ms_per_million_pairs: 0.184, chunk_tokens: 2_048 };
/// let part = |number, members| {
///     let job = job::JobId { incarnation: 1, number };
///     passes::PrefillPart::new(&profile, job, 20_000, members, 0.0)
/// };
/// let mut engine = passes::PassModel::default();
/// engine.add_part(part(1, 1));
/// engine.add_part(part(2, 2));
/// // The part that is shared with another engine is prefilled first.
/// let forecast = engine.forecast(&profile);
/// assert!(forecast[0].prefilled_at > forecast[1].prefilled_at);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PassModel {
    work: EngineWork,
    /// Forecast of the work as it is, once it has been needed.
    forecast: cell::OnceCell<Vec<JobForecast>>,
}

/// The work of one engine and its running pass.
#[derive(Clone, Debug)]
struct EngineWork {
    /// Parts to prefill, the next one first.
    queue: Vec<PrefillPart>,
    /// Parts sent but not queued yet, in the order in which they were sent.
    arriving: Vec<PrefillPart>,
    /// Parts whose prefill is complete when the running pass ends.
    completing: Vec<PrefillPart>,
    generating: Vec<GeneratingRequest>,
    /// Time at which the running pass ends, ms.
    pass_ends_at: f64,
    /// Duration of the running pass, ms.
    pass_ms: f64,
    /// Factor by which passes take longer than the engine profile predicts.
    slowdown: f64,
}

impl Default for EngineWork {
    fn default() -> Self {
        Self {
            queue: Vec::new(),
            arriving: Vec::new(),
            completing: Vec::new(),
            generating: Vec::new(),
            pass_ends_at: 0.0,
            pass_ms: 0.0,
            slowdown: 1.0,
        }
    }
}

impl PassModel {
    /// Sets the factor by which passes take longer than the engine profile predicts.
    pub fn set_slowdown(&mut self, factor: f64) {
        if self.work.slowdown != factor {
            self.work_mut().slowdown = factor;
        }
    }

    /// Discards what was computed from the engine profile, which has changed.
    pub fn reset_profile(&mut self) {
        self.forecast.take();
    }

    fn work_mut(&mut self) -> &mut EngineWork {
        self.forecast.take();
        &mut self.work
    }

    /// Adds a part that was sent to the engine.
    pub fn add_part(&mut self, part: PrefillPart) {
        self.work_mut().arriving.push(part);
    }

    /// Returns whether a pass may begin until `now`.
    pub fn is_due(&self, now: f64) -> bool {
        self.work.pass_ends_at <= now && !self.work.is_idle()
    }

    /// Runs the passes that begin until `now`.
    pub fn advance(&mut self, profile: &serving::EngineProfile, now: f64) {
        while self.is_due(now) {
            if !self.work_mut().begin_pass(profile, now) {
                break;
            }
        }
    }

    /// Records the first event of a request, whose prompt is thus prefilled. `context_tokens`
    /// holds the size of its context if this engine generates the response.
    pub fn start_generating(&mut self, now: f64, job: job::JobId, context_tokens: Option<f64>) {
        let work = self.work_mut();
        let was_unfinished = work.remove_parts(job);
        if was_unfinished {
            // The engine was faster than predicted.
            work.pass_ends_at = work.pass_ends_at.min(now);
        }
        let is_known = work.generating.iter().any(|request| request.job == job);
        if let Some(context_tokens) = context_tokens.filter(|_| !is_known) {
            work.generating.push(GeneratingRequest {
                job,
                context_tokens,
            });
        }
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, job: job::JobId) {
        let work = self.work_mut();
        work.remove_parts(job);
        work.generating.retain(|request| request.job != job);
    }

    /// Returns the number of requests that generate on the engine now or after their prefill.
    pub fn generating_count(&self) -> usize {
        let parts = self.work.unfinished_parts();
        let parts = parts.filter(|part| part.context_tokens.is_some());
        self.work.generating.len() + parts.count()
    }

    /// Returns the prefill time of all parts that were sent to the engine, ms.
    pub fn backlog_ms(&self, now: f64) -> f64 {
        let work = &self.work;
        let running_ms = match work.completing.is_empty() {
            true => 0.0,
            false => (work.pass_ends_at - now).max(0.0),
        };
        work.unqueued_ms() + running_ms
    }

    /// Returns a lower bound of the time at which a part that arrives at `arrives_at` starts its own
    /// prefill, ms. A part that is shared with other engines goes ahead of the queue.
    pub fn earliest_start(
        &self,
        profile: &serving::EngineProfile,
        arrives_at: f64,
        shared: bool,
    ) -> f64 {
        let work = &self.work;
        let queue_ms = if shared { 0.0 } else { work.unqueued_ms() };
        let pass_ms = match work.generating.len() {
            0 => 0.0,
            count => work.slowdown * engine::pass_ms(profile, count, work.context_tokens()),
        };
        work.pass_ends_at.max(arrives_at) + queue_ms + pass_ms
    }

    /// Returns the factor by which passes take longer than the engine profile predicts.
    pub fn slowdown(&self) -> f64 {
        self.work.slowdown
    }

    /// Predicts the times of all requests on the engine, generating ones first.
    pub fn forecast(&self, profile: &serving::EngineProfile) -> &[JobForecast] {
        self.forecast
            .get_or_init(|| self.work.clone().run_out(profile))
    }

    /// Predicts the times of all requests on the engine, generating ones first, if `extra` is sent
    /// to it too; its forecast comes last.
    pub fn forecast_with(
        &self,
        profile: &serving::EngineProfile,
        extra: PrefillPart,
    ) -> Vec<JobForecast> {
        let mut work = self.work.clone();
        work.arriving.push(extra);
        work.run_out(profile)
    }
}

impl EngineWork {
    /// Whether there is nothing to do, now or later.
    fn is_idle(&self) -> bool {
        self.generating.is_empty() && self.unfinished_parts().next().is_none()
    }

    /// Returns the prefill time of the parts that the running pass doesn't complete, ms.
    fn unqueued_ms(&self) -> f64 {
        let parts = self.queue.iter().chain(&self.arriving);
        let remaining_ms: f64 = parts.map(|part| part.tokens * part.ms_per_token).sum();
        self.slowdown * remaining_ms
    }

    fn context_tokens(&self) -> u64 {
        let contexts = self.generating.iter();
        contexts.map(|request| request.context_tokens).sum::<f64>() as u64
    }

    /// Runs the passes of all work and returns the times of the requests.
    fn run_out(mut self, profile: &serving::EngineProfile) -> Vec<JobForecast> {
        let generating = self.generating.iter().map(|request| JobForecast {
            job: request.job,
            prefilled_at: None,
            longest_pass_ms: self.pass_ms,
        });
        let parts = self.unfinished_parts().map(|part| JobForecast {
            job: part.job,
            prefilled_at: None,
            longest_pass_ms: 0.0,
        });
        let mut jobs: Vec<JobForecast> = generating.chain(parts).collect();
        for _ in 0..MAX_FORECAST_PASSES {
            let all_prefilled = self.unfinished_parts().next().is_none();
            if !self.begin_pass(profile, f64::MAX) {
                break;
            }
            self.record_pass(&mut jobs);
            if all_prefilled {
                break;
            }
        }
        // Parts not prefilled within these passes are assumed to follow directly after them.
        for part in self.unfinished_parts() {
            set_prefilled_at(
                &mut jobs,
                part.job,
                self.pass_ends_at + part.tokens * part.ms_per_token,
            );
        }
        jobs
    }

    fn record_pass(&self, jobs: &mut [JobForecast]) {
        for part in &self.completing {
            set_prefilled_at(jobs, part.job, self.pass_ends_at);
        }
        for request in &self.generating {
            if let Some(job) = jobs.iter_mut().find(|job| job.job == request.job) {
                job.longest_pass_ms = job.longest_pass_ms.max(self.pass_ms);
            }
        }
    }

    fn unfinished_parts(&self) -> impl Iterator<Item = &PrefillPart> {
        let queued = self.completing.iter().chain(&self.queue);
        queued.chain(&self.arriving)
    }

    fn remove_parts(&mut self, job: job::JobId) -> bool {
        let count_before = self.unfinished_parts().count();
        for parts in [&mut self.queue, &mut self.arriving, &mut self.completing] {
            parts.retain(|part| part.job != job);
        }
        self.unfinished_parts().count() < count_before
    }

    /// Begins the pass after the running one. Without generating requests, the pass consists of all
    /// steps until a part is prefilled, another part arrives, or `until`. Returns `false` if there
    /// is no work by then.
    fn begin_pass(&mut self, profile: &serving::EngineProfile, until: f64) -> bool {
        for part in std::mem::take(&mut self.completing) {
            if let Some(context_tokens) = part.context_tokens {
                let job = part.job;
                self.generating.push(GeneratingRequest {
                    job,
                    context_tokens,
                });
            }
        }
        if self.queue.is_empty() && self.generating.is_empty() {
            let arrivals = self.arriving.iter().map(|part| part.arrives_at);
            let next = arrivals.fold(f64::MAX, f64::min);
            if next > until || next == f64::MAX {
                return false;
            }
            self.pass_ends_at = self.pass_ends_at.max(next);
        }
        self.queue_arrivals();
        if self.generating.is_empty() {
            self.run_prefill_pass(profile, until);
        } else {
            self.run_generation_pass(profile);
        }
        true
    }

    fn queue_arrivals(&mut self) {
        let at = self.pass_ends_at;
        let mut later = Vec::new();
        for part in std::mem::take(&mut self.arriving) {
            if part.arrives_at > at {
                later.push(part);
            } else if part.shared {
                self.queue.insert(0, part);
            } else {
                self.queue.push(part);
            }
        }
        self.arriving = later;
    }

    fn run_prefill_pass(&mut self, profile: &serving::EngineProfile, until: f64) {
        let Some(part) = self.queue.first_mut() else {
            return;
        };
        let chunk = f64::from(profile.chunk_tokens);
        let step_ms = self.slowdown * (profile.step_ms + chunk * part.ms_per_token);
        let arrivals = self.arriving.iter().map(|part| part.arrives_at);
        let stop_at = arrivals.fold(until, f64::min);
        let max_steps = ((stop_at - self.pass_ends_at) / step_ms).ceil().max(1.0);
        let steps = (part.tokens / chunk).ceil().clamp(1.0, max_steps);
        let tokens = part.tokens.min(steps * chunk);
        part.tokens -= tokens;
        self.pass_ms = self.slowdown * (steps * profile.step_ms + tokens * part.ms_per_token);
        self.pass_ends_at += self.pass_ms;
        if part.tokens <= 0.0 {
            self.completing.push(self.queue.remove(0));
        }
    }

    fn run_generation_pass(&mut self, profile: &serving::EngineProfile) {
        let mut pass_ms = engine::pass_ms(profile, self.generating.len(), self.context_tokens());
        let mut token_budget = f64::from(profile.stride) * f64::from(profile.chunk_tokens);
        while let Some(part) = self.queue.first_mut().filter(|_| token_budget > 0.0) {
            let tokens = part.tokens.min(token_budget);
            part.tokens -= tokens;
            token_budget -= tokens;
            pass_ms += tokens * part.ms_per_token;
            if part.tokens <= 0.0 {
                self.completing.push(self.queue.remove(0));
            }
        }
        self.pass_ms = self.slowdown * pass_ms;
        self.pass_ends_at += self.pass_ms;
    }
}

fn set_prefilled_at(jobs: &mut [JobForecast], job: job::JobId, at: f64) {
    if let Some(job) = jobs.iter_mut().find(|other| other.job == job) {
        job.prefilled_at = Some(at);
    }
}
