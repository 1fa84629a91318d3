//! Decides what follows an attempt that gave no complete response.

use model::serving;

/// Whether an endpoint may have run an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// No byte of it was sent, or the endpoint stated that it has not run.
    NotRun,
    /// It ran or may have run.
    MayHaveRun,
}

/// The state of a request when an attempt fails.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// Whether the request may run more than once.
    pub retry_safety: serving::RetrySafety,
    /// Whether this attempt may have run.
    pub execution: ExecutionStatus,
    /// Whether an earlier attempt may have run.
    pub ran_before: bool,
    /// Number of endpoints on which the request may have run, with this attempt's.
    pub runs: u32,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Maximum number of endpoints on which the route allows the request to run.
    pub max_runs: u32,
    /// Time left until the deadline, ms.
    pub remaining_ms: f64,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Try another endpoint.
    TryAgain,
    /// Reply to the client that the request has not run.
    RefuseNotRun,
    /// Reply to the client that the request failed and may have run.
    FailMayHaveRun,
}

/// Time left below which another attempt can't succeed, ms: a round trip and a short run.
const MIN_REMAINING_MS: f64 = 50.0;
/// Maximum number of attempts of a request, including those that their endpoints refused to run.
const MAX_ATTEMPTS: u32 = 4;

/// Decides what follows a failed attempt.
///
/// ```
/// use model::serving::RetrySafety;
/// use sardinepaddle_pool::attempts::{next_step, ExecutionStatus, AttemptRecord, NextStep};
/// let record = AttemptRecord {
///     retry_safety: RetrySafety::AtMostOnce, execution: ExecutionStatus::MayHaveRun,
///     ran_before: false, runs: 1, attempts: 1, max_runs: 2, remaining_ms: 900.0,
/// };
/// assert_eq!(next_step(&record), NextStep::FailMayHaveRun);
/// ```
pub fn next_step(record: &AttemptRecord) -> NextStep {
    let may_have_run = record.ran_before || record.execution == ExecutionStatus::MayHaveRun;
    let failure = if may_have_run {
        NextStep::FailMayHaveRun
    } else {
        NextStep::RefuseNotRun
    };
    if may_have_run && !record.retry_safety.is_retryable() {
        return failure;
    }
    if record.remaining_ms < MIN_REMAINING_MS || record.runs >= record.max_runs {
        return failure;
    }
    if record.attempts >= MAX_ATTEMPTS {
        return failure;
    }
    NextStep::TryAgain
}
