//! What follows on an attempt that did not give a complete answer.

use model::serving;

/// How far an attempt came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFate {
    /// No byte of it left, or its endpoint stated that it has not run.
    NotRun,
    /// It may have run, or did.
    MayHaveRun,
}

/// What is known of a request when an attempt fails.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// What the request may repeat.
    pub repeat: serving::RetrySafety,
    /// How far this attempt came.
    pub fate: AttemptFate,
    /// Whether an earlier attempt may have run.
    pub ran_before: bool,
    /// Endpoints on which the request may have run, this attempt's included.
    pub runs: u32,
    /// All attempts so far.
    pub attempts: u32,
    /// Most endpoints that the route allows.
    pub max_attempts: u32,
    /// Time left, ms.
    pub left_ms: f64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Look for another endpoint.
    TryAgain,
    /// Tell the caller that it has not run.
    RefuseNotRun,
    /// Tell the caller that it failed and may have run.
    FailMayHaveRun,
}

/// Time below which another attempt can't succeed, ms: a round trip and a short run.
const LEAST_LEFT_MS: f64 = 50.0;
/// Most attempts of a request that no endpoint has run; each met an endpoint that refused.
const MOST_REFUSALS: u32 = 4;

/// Decides what follows.
///
/// ```
/// use model::serving::RetrySafety;
/// use sardinepaddle_pool::attempts::{next_step, AttemptFate, AttemptRecord, NextStep};
/// let record = AttemptRecord {
///     repeat: RetrySafety::AtMostOnce, fate: AttemptFate::MayHaveRun, ran_before: false,
///     runs: 1, attempts: 1, max_attempts: 2, left_ms: 900.0,
/// };
/// assert_eq!(next_step(&record), NextStep::FailMayHaveRun);
/// ```
pub fn next_step(record: &AttemptRecord) -> NextStep {
    let ran = record.ran_before || record.fate == AttemptFate::MayHaveRun;
    let given_up = if ran {
        NextStep::FailMayHaveRun
    } else {
        NextStep::RefuseNotRun
    };
    if ran && !record.repeat.is_retryable() {
        return given_up;
    }
    if record.left_ms < LEAST_LEFT_MS || record.runs >= record.max_attempts {
        return given_up;
    }
    if record.attempts >= MOST_REFUSALS {
        return given_up;
    }
    NextStep::TryAgain
}
