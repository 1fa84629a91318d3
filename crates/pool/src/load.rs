//! What an engine does at a moment, and what those who use it lose by more reading.

use model::serving;

use crate::engine;
use crate::value;

/// Share of the objective by which a prediction may be off.
const UNCERTAINTY: f64 = 0.12;

/// What one engine does at a moment.
pub(crate) struct EngineLoad {
    pub backlog_ms: f64,
    pub pass_ms: f64,
    /// Longest time that a token takes of what is still to be read here, ms.
    pub token_ms: f64,
    pub generating: Vec<GeneratingJob>,
    /// Time to spare and what is lost beyond it, for each request that is read here.
    pub reading: Vec<(f64, f64)>,
    /// Requests that this engine generates for, or will.
    pub first_here: usize,
}

impl EngineLoad {
    /// Time until something new is read here, ms.
    pub fn start_ms(&self) -> f64 {
        if self.generating.is_empty() {
            self.backlog_ms
        } else {
            self.backlog_ms.max(self.pass_ms / 2.0)
        }
    }

    /// What the requests here lose by added reading.
    pub fn harm(&self, profile: &serving::EngineProfile, addition: &ReadAddition) -> f64 {
        let most = engine::most_read_ms(profile, self.token_ms.max(addition.token_ms));
        let pauses = self.generating.iter().map(|job| {
            let before = self.pass_ms + job.pending_ms.min(most);
            let after = self.pass_ms + (job.pending_ms + addition.read_ms).min(most);
            let more = |bound: f64| late_chance(after, bound) - late_chance(before, bound);
            more(job.pause_ms) * job.late_loss + more(job.patience_ms) * job.cut_loss
        });
        let delays = self.reading.iter().map(|(spare, loss)| {
            let delayed = addition.ahead && *spare > 0.0 && *spare < addition.read_ms;
            if delayed { *loss } else { 0.0 }
        });
        pauses.sum::<f64>() + delays.sum::<f64>()
    }
}

/// Reading that is to be added to an engine.
pub(crate) struct ReadAddition {
    pub read_ms: f64,
    pub token_ms: f64,
    /// Whether it goes ahead of what waits there.
    pub ahead: bool,
}

/// A request that generates, and what it loses by pauses.
pub(crate) struct GeneratingJob {
    /// Reading that was placed here and falls into its generation, ms.
    pub pending_ms: f64,
    /// Longest pause that is on time, ms.
    pub pause_ms: f64,
    pub late_loss: f64,
    /// Pause at which its caller gives up, ms.
    pub patience_ms: f64,
    pub cut_loss: f64,
}

/// Chance that a first event is late, from its prediction.
pub(crate) fn on_time_loss(predicted: f64, objective: f64) -> f64 {
    late_chance(predicted, objective.max(1.0))
}

/// Chance that a pause is over its bound, from its prediction.
pub(crate) fn late_chance(predicted: f64, bound: f64) -> f64 {
    if bound <= 0.0 {
        return 0.0;
    }
    let low = bound * (1.0 - 2.0 * UNCERTAINTY);
    ((predicted - low) / (bound - low)).clamp(0.0, 1.0)
}

/// Share of a request's worth that it earns if its first event comes as predicted.
pub(crate) fn on_time_share(predicted: f64, objective: f64, left: f64) -> f64 {
    if predicted >= left {
        return 0.0;
    }
    let late = on_time_loss(predicted, objective);
    1.0 - late * (1.0 - value::LATE_SHARE)
}
