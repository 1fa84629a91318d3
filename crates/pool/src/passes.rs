//! What a model engine does next, pass by pass.
//!
//! An engine serves what it has in passes. A pass with requests that generate has `stride` steps,
//! gives each of them one event at its end, and reads at most `chunk` tokens of prompts a step; what
//! arrives meanwhile waits for the next pass. Parts of prompts that several engines read go ahead of
//! all else, the newest first; whole prompts follow in the order in which they came.

use model::serving;

use crate::engine;
use crate::job;

/// Passes that a forecast looks ahead at most; reading that takes longer is late in any case.
const MOST_PASSES: usize = 24;

/// A prompt's part that an engine reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillPart {
    /// Whose prompt it is.
    pub job: job::JobId,
    /// Tokens that are left to read.
    pub tokens: f64,
    /// Time that one takes, ms.
    pub ms_per_token: f64,
    /// Whether other engines read parts of the same prompt.
    pub shared: bool,
    /// When it reaches the engine, ms.
    pub arrives_at: f64,
    /// Tokens of context, if this engine generates the answer.
    pub context: Option<f64>,
}

impl PrefillPart {
    /// One of `members` even parts of a prompt of some tokens.
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
            context: None,
        }
    }
}

/// What a pass model foretells of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobForecast {
    /// The request.
    pub job: job::JobId,
    /// When its part here will be read, ms; `None` if it is read already.
    pub prefilled_at: Option<f64>,
    /// Longest pass while it generates here, ms; zero if it doesn't.
    pub longest_pass_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct PassWriter {
    job: job::JobId,
    context: f64,
}

/// One engine's work and the pass that it runs.
///
/// ```
/// use sardinepaddle_pool::{job, passes};
/// # let profile = model::serving::EngineProfile {
/// #     slots: 16, memory_tokens: 315_000, stride: 51, step_ms: 0.85, step_ms_per_request: 0.0,
/// #     step_ms_per_context_k: 0.0, prefill_tokens_per_ms: 177.0, attention_ms_per_million_pairs: 0.184,
/// #     chunk_tokens: 2_048 };
/// let part = |number, members| {
///     passes::PrefillPart::new(&profile, job::JobId { incarnation: 1, number }, 20_000, members, 0.0)
/// };
/// let mut engine = passes::PassModel::default();
/// engine.add(part(1, 1));
/// engine.add(part(2, 2));
/// // The part that is shared with another engine goes first.
/// let forecast = engine.forecast(&profile, None);
/// assert!(forecast[0].prefilled_at > forecast[1].prefilled_at);
/// ```
#[derive(Clone, Debug)]
pub struct PassModel {
    /// Parts to read; the first is read next.
    parts: Vec<PrefillPart>,
    /// Parts that have not joined a pass, in the order in which they were sent.
    arriving: Vec<PrefillPart>,
    /// Parts that are read when the running pass ends.
    finishing: Vec<PrefillPart>,
    writers: Vec<PassWriter>,
    /// When the running pass ends.
    free_at: f64,
    /// How long it takes.
    pass_ms: f64,
    /// Times that a pass takes what the engine's figures say.
    pace: f64,
}

impl Default for PassModel {
    fn default() -> Self {
        Self {
            parts: Vec::new(),
            arriving: Vec::new(),
            finishing: Vec::new(),
            writers: Vec::new(),
            free_at: 0.0,
            pass_ms: 0.0,
            pace: 1.0,
        }
    }
}

impl PassModel {
    /// Sets how many times its figures the engine takes from now on.
    pub fn set_slowdown(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Adds a part that was sent here.
    pub fn add(&mut self, part: PrefillPart) {
        self.arriving.push(part);
    }

    /// Lets time pass.
    pub fn advance(&mut self, profile: &serving::EngineProfile, now: f64) {
        while self.free_at <= now && self.begin_pass(profile, now) {}
    }

    /// The first event of a request came, so its prompt is read. `context` is that of its answer,
    /// if it is generated here.
    pub fn start(&mut self, now: f64, job: job::JobId, context: Option<f64>) {
        let unread = self.remove_parts(job);
        if unread {
            // The engine was faster than foretold.
            self.free_at = self.free_at.min(now);
        }
        let known = self.writers.iter().any(|writer| writer.job == job);
        if let Some(context) = context.filter(|_| !known) {
            self.writers.push(PassWriter { job, context });
        }
    }

    /// A request is over here.
    pub fn remove(&mut self, job: job::JobId) {
        self.remove_parts(job);
        self.writers.retain(|writer| writer.job != job);
    }

    /// Requests that generate here, or will once they are read.
    pub fn generating(&self) -> usize {
        let parts = self.waiting_parts().filter(|part| part.context.is_some());
        self.writers.len() + parts.count()
    }

    /// Time that reading takes which has been sent here, ms.
    pub fn backlog_ms(&self, now: f64) -> f64 {
        let parts = self.parts.iter().chain(&self.arriving);
        let left: f64 = parts.map(|part| part.tokens * part.ms_per_token).sum();
        let left = self.pace * left;
        let running = match self.finishing.is_empty() {
            true => 0.0,
            false => (self.free_at - now).max(0.0),
        };
        left + running
    }

    /// Foretells what becomes of each request here, in the order in which they came, if `extra` is
    /// sent here too; that one is last.
    pub fn forecast(
        &self,
        profile: &serving::EngineProfile,
        extra: Option<PrefillPart>,
    ) -> Vec<JobForecast> {
        let mut model = self.clone();
        let writers = model.writers.iter().map(|writer| JobForecast {
            job: writer.job,
            prefilled_at: None,
            longest_pass_ms: model.pass_ms,
        });
        let mut jobs: Vec<JobForecast> = writers.collect();
        model.arriving.extend(extra);
        jobs.extend(model.waiting_parts().map(|part| JobForecast {
            job: part.job,
            prefilled_at: None,
            longest_pass_ms: 0.0,
        }));
        for _ in 0..MOST_PASSES {
            let read = model.waiting_parts().next().is_none();
            if !model.begin_pass(profile, f64::MAX) {
                break;
            }
            model.note_pass(&mut jobs);
            if read {
                break;
            }
        }
        // What is not read within all passes is read after them.
        for part in model.waiting_parts() {
            note_read(
                &mut jobs,
                part.job,
                model.free_at + part.tokens * part.ms_per_token,
            );
        }
        jobs
    }

    fn note_pass(&self, jobs: &mut [JobForecast]) {
        for part in &self.finishing {
            note_read(jobs, part.job, self.free_at);
        }
        for writer in &self.writers {
            if let Some(job) = jobs.iter_mut().find(|job| job.job == writer.job) {
                job.longest_pass_ms = job.longest_pass_ms.max(self.pass_ms);
            }
        }
    }

    fn waiting_parts(&self) -> impl Iterator<Item = &PrefillPart> {
        let joined = self.finishing.iter().chain(&self.parts);
        joined.chain(&self.arriving)
    }

    fn remove_parts(&mut self, job: job::JobId) -> bool {
        let before = self.waiting_parts().count();
        for parts in [&mut self.parts, &mut self.arriving, &mut self.finishing] {
            parts.retain(|part| part.job != job);
        }
        self.waiting_parts().count() < before
    }

    /// Begins the pass after the one that runs; without requests that generate, all steps until a
    /// part is read, another one arrives, or `until`. `false` if there is nothing to do by then.
    fn begin_pass(&mut self, profile: &serving::EngineProfile, until: f64) -> bool {
        for part in std::mem::take(&mut self.finishing) {
            if let Some(context) = part.context {
                let job = part.job;
                self.writers.push(PassWriter { job, context });
            }
        }
        if self.parts.is_empty() && self.writers.is_empty() {
            let arrivals = self.arriving.iter().map(|part| part.arrives_at);
            let next = arrivals.fold(f64::MAX, f64::min);
            if next > until || next == f64::MAX {
                return false;
            }
            self.free_at = self.free_at.max(next);
        }
        self.join();
        if self.writers.is_empty() {
            self.read_steps(profile, until);
        } else {
            self.read_stride(profile);
        }
        true
    }

    fn join(&mut self) {
        let at = self.free_at;
        let mut later = Vec::new();
        for part in std::mem::take(&mut self.arriving) {
            if part.arrives_at > at {
                later.push(part);
            } else if part.shared {
                self.parts.insert(0, part);
            } else {
                self.parts.push(part);
            }
        }
        self.arriving = later;
    }

    fn read_steps(&mut self, profile: &serving::EngineProfile, until: f64) {
        let Some(part) = self.parts.first_mut() else {
            return;
        };
        let chunk = f64::from(profile.chunk_tokens);
        let step = self.pace * (profile.step_ms + chunk * part.ms_per_token);
        let arrivals = self.arriving.iter().map(|part| part.arrives_at);
        let stop = arrivals.fold(until, f64::min);
        let most = ((stop - self.free_at) / step).ceil().max(1.0);
        let steps = (part.tokens / chunk).ceil().clamp(1.0, most);
        let tokens = part.tokens.min(steps * chunk);
        part.tokens -= tokens;
        self.pass_ms = self.pace * (steps * profile.step_ms + tokens * part.ms_per_token);
        self.free_at += self.pass_ms;
        if part.tokens <= 0.0 {
            self.finishing.push(self.parts.remove(0));
        }
    }

    fn read_stride(&mut self, profile: &serving::EngineProfile) {
        let context: f64 = self.writers.iter().map(|writer| writer.context).sum();
        let mut pass_ms = engine::pass_ms(profile, self.writers.len(), context as u64);
        let mut room = f64::from(profile.stride) * f64::from(profile.chunk_tokens);
        while let Some(part) = self.parts.first_mut().filter(|_| room > 0.0) {
            let tokens = part.tokens.min(room);
            part.tokens -= tokens;
            room -= tokens;
            pass_ms += tokens * part.ms_per_token;
            if part.tokens <= 0.0 {
                self.finishing.push(self.parts.remove(0));
            }
        }
        self.pass_ms = self.pace * pass_ms;
        self.free_at += self.pass_ms;
    }
}

fn note_read(jobs: &mut [JobForecast], job: job::JobId, at: f64) {
    if let Some(job) = jobs.iter_mut().find(|other| other.job == job) {
        job.prefilled_at = Some(at);
    }
}
