//! What follows on an attempt that did not give a complete answer.

use model::serving;

/// How far an attempt came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// No byte of it left, or its endpoint stated that it has not run.
    NotRun,
    /// It may have run, or did.
    MayHaveRun,
}

/// What is known of a request when an attempt fails.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// What the request may repeat.
    pub retry_safety: serving::RetrySafety,
    /// How far this attempt came.
    pub execution: ExecutionStatus,
    /// Whether an earlier attempt may have run.
    pub ran_before: bool,
    /// Endpoints on which the request may have run, this attempt's included.
    pub runs: u32,
    /// All attempts so far.
    pub attempts: u32,
    /// Most endpoints that the route allows.
    pub max_attempts: u32,
    /// Time left, ms.
    pub remaining_ms: f64,
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
/// use sardinepaddle_pool::attempts::{next_step, ExecutionStatus, AttemptRecord, NextStep};
/// let record = AttemptRecord {
///     retry_safety: RetrySafety::AtMostOnce, execution: ExecutionStatus::MayHaveRun, ran_before: false,
///     runs: 1, attempts: 1, max_attempts: 2, remaining_ms: 900.0,
/// };
/// assert_eq!(next_step(&record), NextStep::FailMayHaveRun);
/// ```
pub fn next_step(record: &AttemptRecord) -> NextStep {
    let ran = record.ran_before || record.execution == ExecutionStatus::MayHaveRun;
    let given_up = if ran {
        NextStep::FailMayHaveRun
    } else {
        NextStep::RefuseNotRun
    };
    if ran && !record.retry_safety.is_retryable() {
        return given_up;
    }
    if record.remaining_ms < LEAST_LEFT_MS || record.runs >= record.max_attempts {
        return given_up;
    }
    if record.attempts >= MOST_REFUSALS {
        return given_up;
    }
    NextStep::TryAgain
}
