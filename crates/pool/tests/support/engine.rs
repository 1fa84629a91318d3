//! A model engine in virtual time: passes, strides, chunks, pairs and helpers.

use model::serving;

/// A part of a prompt that waits to be read or is being read.
#[derive(Clone, Debug)]
struct PartRead {
    job: usize,
    tokens_left: f64,
    ms_per_token: f64,
}

/// A request that generates.
#[derive(Clone, Debug)]
struct JobWriter {
    job: usize,
    tokens_left: f64,
    context: f64,
}

/// Something that came of a pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PassNews {
    /// The engine has read its part of a prompt.
    Read(usize),
    /// A request made an event; the last one if `true`.
    Event(usize, bool),
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct PassEngine {
    reads: Vec<PartRead>,
    writers: Vec<JobWriter>,
    /// What came of the pass that runs, and when it ends.
    running: Option<(f64, Vec<PassNews>)>,
}

impl PassEngine {
    /// A part of a prompt arrived. Parts of a prompt that several engines read go ahead of all that
    /// waits, the newest first.
    pub fn read(&mut self, job: usize, tokens: f64, ms_per_token: f64, helps: bool) {
        let read = PartRead {
            job,
            tokens_left: tokens,
            ms_per_token,
        };
        let at = if helps { 0 } else { self.reads.len() };
        self.reads.insert(at, read);
    }

    /// All parts of a prompt are read: its request generates here.
    pub fn write(&mut self, job: usize, tokens: f64, context: f64) {
        self.writers.push(JobWriter {
            job,
            tokens_left: tokens,
            context,
        });
    }

    /// A request was cut.
    pub fn cut(&mut self, job: usize) {
        self.reads.retain(|read| read.job != job);
        self.writers.retain(|writer| writer.job != job);
    }

    /// When the running pass ends; begins one if there is work.
    pub fn next_end(&mut self, now: f64, profile: &serving::EngineProfile) -> Option<f64> {
        if self.running.is_none() && !(self.reads.is_empty() && self.writers.is_empty()) {
            self.running = Some(self.pass(now, profile));
        }
        self.running.as_ref().map(|(end, _)| *end)
    }

    /// Whether a pass runs.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Ends the pass that ends now.
    pub fn finish(&mut self) -> Vec<PassNews> {
        self.running
            .take()
            .map(|(_, news)| news)
            .unwrap_or_default()
    }

    fn pass(&mut self, now: f64, profile: &serving::EngineProfile) -> (f64, Vec<PassNews>) {
        let steps = match self.writers.is_empty() {
            true => 1,
            false => profile.stride,
        };
        let context: f64 = self.writers.iter().map(|writer| writer.context).sum();
        let step = profile.step_ms
            + profile.step_ms_per_request * self.writers.len() as f64
            + profile.step_ms_per_context_k * context / 1_000.0;
        let mut end = now;
        let mut news = Vec::new();
        for _ in 0..steps {
            end += step;
            let mut chunk = f64::from(profile.chunk_tokens);
            while let Some(read) = self.reads.first_mut().filter(|_| chunk > 0.0) {
                let tokens = chunk.min(read.tokens_left);
                read.tokens_left -= tokens;
                chunk -= tokens;
                end += tokens * read.ms_per_token;
                if read.tokens_left <= 0.0 {
                    news.push(PassNews::Read(read.job));
                    self.reads.remove(0);
                }
            }
        }
        for writer in &mut self.writers {
            writer.tokens_left -= f64::from(profile.stride);
            news.push(PassNews::Event(writer.job, writer.tokens_left <= 0.0));
        }
        self.writers.retain(|writer| writer.tokens_left > 0.0);
        (end, news)
    }
}
