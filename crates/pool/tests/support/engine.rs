//! Simulates a model engine in virtual time: passes, strides, prefill chunks and shared prompts.

use model::serving;

/// A part of a prompt whose prefill isn't complete.
#[derive(Clone, Debug)]
struct QueuedPart {
    job: usize,
    tokens_left: f64,
    ms_per_token: f64,
}

/// A request that generates.
#[derive(Clone, Debug)]
struct GeneratingRequest {
    job: usize,
    tokens_left: f64,
    context_tokens: f64,
}

/// A result of one pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PassResult {
    /// The engine has prefilled its part of a prompt.
    Prefilled(usize),
    /// A request sent an event; its last one if `true`.
    AnswerEvent(usize, bool),
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct SimulatedEngine {
    queue: Vec<QueuedPart>,
    generating: Vec<GeneratingRequest>,
    /// End and results of the running pass.
    running: Option<(f64, Vec<PassResult>)>,
    /// Time by which passes take longer than the profile says, relative to it.
    pub extra_time: f64,
}

impl SimulatedEngine {
    /// Adds a part of a prompt. Parts of prompts shared with other engines are prefilled before all
    /// others, newest first.
    pub fn add_part(&mut self, job: usize, tokens: f64, ms_per_token: f64, shared: bool) {
        let part = QueuedPart {
            job,
            tokens_left: tokens,
            ms_per_token,
        };
        let at = if shared { 0 } else { self.queue.len() };
        self.queue.insert(at, part);
    }

    /// Starts to generate for a request whose prompt is prefilled on all its engines.
    pub fn start_generating(&mut self, job: usize, tokens: f64, context_tokens: f64) {
        self.generating.push(GeneratingRequest {
            job,
            tokens_left: tokens,
            context_tokens,
        });
    }

    /// Removes a request.
    pub fn remove(&mut self, job: usize) {
        self.queue.retain(|part| part.job != job);
        self.generating.retain(|request| request.job != job);
    }

    /// Returns the end of the running pass; begins a pass if there is work.
    pub fn next_pass_end(&mut self, now: f64, profile: &serving::EngineProfile) -> Option<f64> {
        if self.running.is_none() && !(self.queue.is_empty() && self.generating.is_empty()) {
            self.running = Some(self.run_pass(now, profile));
        }
        self.running.as_ref().map(|(end, _)| *end)
    }

    /// Returns the number of requests that it has.
    pub fn request_count(&self) -> usize {
        self.queue.len() + self.generating.len()
    }

    /// Returns whether a pass is running.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Ends the running pass and returns its results.
    pub fn finish_pass(&mut self) -> Vec<PassResult> {
        self.running
            .take()
            .map(|(_, results)| results)
            .unwrap_or_default()
    }

    fn run_pass(&mut self, now: f64, profile: &serving::EngineProfile) -> (f64, Vec<PassResult>) {
        let steps = match self.generating.is_empty() {
            true => 1,
            false => profile.stride,
        };
        let context_tokens: f64 = self
            .generating
            .iter()
            .map(|request| request.context_tokens)
            .sum();
        let step_ms = profile.step_ms
            + profile.step_ms_per_request * self.generating.len() as f64
            + profile.step_ms_per_context_k * context_tokens / 1_000.0;
        let mut pass_ends_at = now;
        let mut results = Vec::new();
        for _ in 0..steps {
            pass_ends_at += step_ms;
            let mut token_budget = f64::from(profile.chunk_tokens);
            while let Some(part) = self.queue.first_mut().filter(|_| token_budget > 0.0) {
                let tokens = token_budget.min(part.tokens_left);
                part.tokens_left -= tokens;
                token_budget -= tokens;
                pass_ends_at += tokens * part.ms_per_token;
                if part.tokens_left <= 0.0 {
                    results.push(PassResult::Prefilled(part.job));
                    self.queue.remove(0);
                }
            }
        }
        for request in &mut self.generating {
            request.tokens_left -= f64::from(profile.stride);
            results.push(PassResult::AnswerEvent(
                request.job,
                request.tokens_left <= 0.0,
            ));
        }
        self.generating.retain(|request| request.tokens_left > 0.0);
        pass_ends_at += (pass_ends_at - now) * self.extra_time;
        (pass_ends_at, results)
    }
}
