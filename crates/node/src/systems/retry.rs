//! Outcomes of attempts, and retries.
//!
//! A request that was not sent, or that its endpoint refused, is retried on another endpoint. An
//! idempotent request is also retried after its attempt broke, from the chunk after the last one
//! delivered, within the deadline and the retry budget. Any other request is not sent again.

use std::time::Duration;

use model::ids;
use model::outcome;
use model::peer;
use model::request as model_request;

use crate::action;
use crate::state;
use crate::systems;
use crate::systems::admission;
use crate::tables::request;

/// Maximum number of retries in the budget.
pub(crate) const MAX_RETRY_TOKENS: f64 = 50.0;
/// Retries that each answered request adds to the budget.
const RETRY_TOKENS_PER_ANSWER: f64 = 0.2;
/// Time without a byte of the protocol after which an endpoint's connection is dropped.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts on silent endpoints that fit into the time allowed for an idempotent plain call.
const PLAIN_ATTEMPTS_PER_DEADLINE: u32 = 3;
/// Maximum number of attempts sent for one request.
pub(crate) const MAX_ATTEMPTS: u32 = 6;

/// Ends requests past their deadline, and attempts of retryable requests whose endpoint has gone
/// silent.
pub(crate) fn tick(state: &mut state::NodeState) {
    let now = state.now;
    let mut overdue = Vec::new();
    let mut silent = Vec::new();
    for (id, entry) in &state.requests.requests {
        if entry.metadata.deadline <= now {
            overdue.push(*id);
            continue;
        }
        if let request::RequestPhase::Running(running) = &entry.phase
            && entry.metadata.is_retryable()
            && now.since(running.progressed_at) > silence_timeout(entry)
        {
            silent.push(running.attempt);
        }
    }
    for id in overdue {
        let reason = outcome::RefusalReason::DeadlineTooClose;
        refuse_or_fail(state, id, reason, Some(admission::RETRY_AFTER_SHORT));
    }
    for attempt in silent {
        state.emit(action::NodeAction::DropAttempt { attempt });
        on_ended(state, attempt, outcome::AttemptOutcome::Broken);
    }
}

/// Returns the time without a byte after which an attempt counts as silent. A plain service sends
/// nothing before its answer, so its timeout grows with the time allowed.
fn silence_timeout(entry: &request::RequestEntry) -> Duration {
    match entry.metadata.kind {
        model_request::RequestKind::Prompt { .. } => SILENCE_TIMEOUT,
        model_request::RequestKind::Plain { .. } => {
            let allowed = entry.metadata.deadline.since(entry.arrived_at);
            SILENCE_TIMEOUT.max(allowed / PLAIN_ATTEMPTS_PER_DEADLINE)
        }
    }
}

/// Records that bytes of the protocol arrived for an attempt.
pub(crate) fn on_progress(state: &mut state::NodeState, attempt: ids::AttemptId) {
    let now = state.now;
    systems::engine_sets::on_progress(state, attempt);
    if let Some(entry) = state.requests.by_running_attempt(&attempt)
        && let request::RequestPhase::Running(running) = &mut entry.phase
    {
        running.progressed_at = now;
    }
}

/// Forwards a chunk of an answer if it is the next one of the running attempt.
pub(crate) fn on_chunk(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    tagged_attempt: ids::AttemptId,
    offset: u64,
) {
    if tagged_attempt != attempt {
        state.stats.chunks_dropped += 1;
        return;
    }
    let Some(entry) = state.requests.by_running_attempt(&attempt) else {
        state.stats.chunks_dropped += 1;
        return;
    };
    if offset < entry.delivered_chunks {
        state.stats.chunks_dropped += 1;
        return;
    }
    if offset > entry.delivered_chunks {
        state.stats.chunks_dropped += 1;
        state.emit(action::NodeAction::DropAttempt { attempt });
        on_ended(state, attempt, outcome::AttemptOutcome::Broken);
        return;
    }
    entry.delivered_chunks += 1;
    let request = entry.metadata.id;
    on_progress(state, attempt);
    state.emit(action::NodeAction::ForwardChunk { request });
}

/// Handles the outcome of an attempt.
pub(crate) fn on_ended(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    outcome: outcome::AttemptOutcome,
) {
    if systems::engine_sets::on_ended(state, attempt, &outcome) {
        return;
    }
    let Some(entry) = state.requests.by_running_attempt(&attempt) else {
        return;
    };
    let request::RequestPhase::Running(running) = entry.phase.clone() else {
        return;
    };
    let id = entry.metadata.id;
    systems::engine_sets::release_all_but(state, id, attempt);
    let view = state.endpoints.view_mut(&running.endpoint);
    view.in_flight = view.in_flight.saturating_sub(1);
    match outcome {
        outcome::AttemptOutcome::Complete { answer } => on_complete(state, id, &running, answer),
        outcome::AttemptOutcome::NotSent => {
            return_grant(state, &running, peer::GrantUsage::Unreachable);
            retry_elsewhere(
                state,
                id,
                &running.endpoint,
                outcome::RefusalReason::Unreachable,
            );
        }
        outcome::AttemptOutcome::Refused => {
            return_grant(state, &running, peer::GrantUsage::Failed);
            mark_sent_by_earlier_attempt(state, id);
            retry_elsewhere(
                state,
                id,
                &running.endpoint,
                outcome::RefusalReason::Overloaded,
            );
        }
        outcome::AttemptOutcome::Broken => {
            return_grant(state, &running, peer::GrantUsage::Failed);
            log_lost_attempt(state, &running);
            mark_sent_by_earlier_attempt(state, id);
            on_broken(state, id, &running);
        }
    }
}

/// Records that bytes of an attempt that has ended may have reached its endpoint.
pub(crate) fn mark_sent_by_earlier_attempt(state: &mut state::NodeState, id: ids::RequestId) {
    if let Some(entry) = state.requests.get_mut(&id) {
        entry.sent_by_earlier_attempt = true;
    }
}

fn log_lost_attempt(state: &mut state::NodeState, running: &request::RunningAttempt) {
    let record = action::LogRecord::AttemptLost {
        attempt: running.attempt,
        endpoint: running.endpoint.clone(),
    };
    state.log(record);
}

fn on_complete(
    state: &mut state::NodeState,
    id: ids::RequestId,
    running: &request::RunningAttempt,
    answer: Option<outcome::RecordedAnswer>,
) {
    return_grant(state, running, peer::GrantUsage::Finished);
    record_run(state, id, running);
    state.retry_tokens = (state.retry_tokens + RETRY_TOKENS_PER_ANSWER).min(MAX_RETRY_TOKENS);
    let answer = answer.unwrap_or(outcome::RecordedAnswer {
        status: 200,
        body: None,
    });
    settle_claim(state, id, peer::ClaimSettlement::Answered(answer));
    finish(state, id, outcome::RequestOutcome::Answered);
}

fn record_run(state: &mut state::NodeState, id: ids::RequestId, running: &request::RunningAttempt) {
    let run_time = state.now.since(running.started_at);
    if let Some(metadata) = state.requests.get(&id).map(|entry| entry.metadata.clone()) {
        systems::queues::record_run(state, &metadata, run_time);
    }
}

/// Retries a request elsewhere after an attempt that will not be answered.
pub(crate) fn retry_elsewhere(
    state: &mut state::NodeState,
    id: ids::RequestId,
    endpoint: &ids::EndpointId,
    refusal: outcome::RefusalReason,
) {
    systems::placement::back_off_endpoint(state, endpoint);
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.excluded_endpoints.push(endpoint.clone());
    entry.sent = entry.sent_by_earlier_attempt;
    entry.phase = request::RequestPhase::Queued {
        retry_at: state.now,
    };
    if entry.started_attempts >= MAX_ATTEMPTS {
        refuse_or_fail(state, id, refusal, Some(admission::RETRY_AFTER_SHORT));
        return;
    }
    state.stats.retries += 1;
    systems::placement::place(state, id);
}

/// Retries a request after an attempt that may have run, if that is safe and within the budget;
/// otherwise ends it.
fn on_broken(state: &mut state::NodeState, id: ids::RequestId, running: &request::RunningAttempt) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let is_retryable = entry.metadata.is_retryable();
    let is_prompt = matches!(
        entry.metadata.kind,
        model_request::RequestKind::Prompt { .. }
    );
    if is_prompt {
        systems::reclaim::cancel(state, running.attempt, &running.endpoint);
    }
    if !is_retryable {
        settle_claim(state, id, peer::ClaimSettlement::Unknown);
        let reason = outcome::FailureReason::EndpointLost;
        finish(
            state,
            id,
            outcome::RequestOutcome::Unknown {
                reason,
                retry_after: None,
            },
        );
        return;
    }
    if !take_retry_token(state) {
        fail(state, id, outcome::FailureReason::EndpointLost);
        return;
    }
    retry_elsewhere(
        state,
        id,
        &running.endpoint,
        outcome::RefusalReason::Unreachable,
    );
}

/// Takes one retry from the budget. Returns whether there was one.
pub(crate) fn take_retry_token(state: &mut state::NodeState) -> bool {
    if state.retry_tokens < 1.0 {
        return false;
    }
    state.retry_tokens -= 1.0;
    true
}

fn return_grant(
    state: &mut state::NodeState,
    running: &request::RunningAttempt,
    usage: peer::GrantUsage,
) {
    let endpoint = running.endpoint.clone();
    let attempt = running.attempt;
    state.send(
        &running.coordinator,
        peer::PeerMessage::GrantReturn {
            endpoint,
            attempt,
            usage,
        },
    );
}

/// Ends a request whose client has disconnected.
pub(crate) fn on_client_disconnected(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let must_continue = !entry.metadata.is_retryable() && entry.sent;
    if must_continue {
        // The call continues, so that its claim can be settled.
        return;
    }
    stop_attempts(state, id);
    release_unsent_claim(state, id);
    let outcome = if was_sent(state, id) {
        let reason = outcome::FailureReason::ClientDisconnected;
        outcome::RequestOutcome::Failed {
            reason,
            retry_after: None,
        }
    } else {
        admission::not_run(outcome::RefusalReason::ClientDisconnected, None)
    };
    finish(state, id, outcome);
}

/// Ends a request that cannot be served: like [`fail`] if it may have run, as unknown if an
/// earlier call under its key may still run, otherwise as not run for `reason`.
pub(crate) fn refuse_or_fail(
    state: &mut state::NodeState,
    id: ids::RequestId,
    reason: outcome::RefusalReason,
    retry_after: Option<Duration>,
) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    if entry.sent {
        let deadline_passed = entry.metadata.deadline <= state.now;
        let endpoint_lost = outcome::FailureReason::EndpointLost;
        let reason = if deadline_passed {
            outcome::FailureReason::DeadlinePassed
        } else {
            endpoint_lost
        };
        fail(state, id, reason);
        return;
    }
    if entry.found_unsettled_claim {
        release_unsent_claim(state, id);
        let reason = outcome::FailureReason::EarlierCallRunning;
        finish(
            state,
            id,
            outcome::RequestOutcome::Unknown {
                reason,
                retry_after,
            },
        );
        return;
    }
    stop_attempts(state, id);
    release_unsent_claim(state, id);
    finish(state, id, admission::not_run(reason, retry_after));
}

/// Ends a request that may have run: as failed if it is retryable, otherwise as unknown.
pub(crate) fn fail(
    state: &mut state::NodeState,
    id: ids::RequestId,
    reason: outcome::FailureReason,
) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let is_retryable = entry.metadata.is_retryable();
    stop_attempts(state, id);
    if is_retryable {
        let retry_after = Some(admission::RETRY_AFTER_SHORT);
        finish(
            state,
            id,
            outcome::RequestOutcome::Failed {
                reason,
                retry_after,
            },
        );
        return;
    }
    settle_claim(state, id, peer::ClaimSettlement::Unknown);
    finish(
        state,
        id,
        outcome::RequestOutcome::Unknown {
            reason,
            retry_after: None,
        },
    );
}

/// Drops the attempts and grant requests of a request.
fn stop_attempts(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    let is_prompt = matches!(
        entry.metadata.kind,
        model_request::RequestKind::Prompt { .. }
    );
    match entry.phase.clone() {
        request::RequestPhase::AwaitingGrant(pending) => {
            systems::placement::return_grant(state, &pending, peer::GrantUsage::Unused);
        }
        request::RequestPhase::Reserving | request::RequestPhase::Preparing => {
            systems::engine_sets::release_set(state, id);
        }
        request::RequestPhase::Running(running) => {
            systems::engine_sets::release_all_but(state, id, running.attempt);
            let view = state.endpoints.view_mut(&running.endpoint);
            view.in_flight = view.in_flight.saturating_sub(1);
            state.emit(action::NodeAction::DropAttempt {
                attempt: running.attempt,
            });
            return_grant(state, &running, peer::GrantUsage::Dropped);
            if is_prompt {
                systems::reclaim::cancel(state, running.attempt, &running.endpoint);
            }
        }
        request::RequestPhase::Claiming { .. }
        | request::RequestPhase::ClaimTaken { .. }
        | request::RequestPhase::Queued { .. } => {}
    }
}

fn was_sent(state: &state::NodeState, id: ids::RequestId) -> bool {
    state.requests.get(&id).is_some_and(|entry| entry.sent)
}

fn release_unsent_claim(state: &mut state::NodeState, id: ids::RequestId) {
    if !was_sent(state, id) {
        settle_claim(state, id, peer::ClaimSettlement::NotSent);
    }
}

fn settle_claim(
    state: &mut state::NodeState,
    id: ids::RequestId,
    settlement: peer::ClaimSettlement,
) {
    let Some(entry) = state.requests.get(&id) else {
        return;
    };
    if let Some(key) = entry.metadata.claim().cloned() {
        systems::claims::settle(state, key, id, settlement);
    }
}

/// Ends all requests after the process was paused.
pub(crate) fn end_all(state: &mut state::NodeState) {
    let requests = state.requests.requests.keys().copied().collect::<Vec<_>>();
    for id in requests {
        if was_sent(state, id) {
            fail(state, id, outcome::FailureReason::DaemonPaused);
        } else {
            refuse_or_fail(
                state,
                id,
                outcome::RefusalReason::NotReady,
                Some(admission::RETRY_AFTER_SHORT),
            );
        }
    }
}

/// Sends a client the final outcome of its request, and removes the request.
pub(crate) fn finish(
    state: &mut state::NodeState,
    id: ids::RequestId,
    outcome: outcome::RequestOutcome,
) {
    let Some(entry) = state.requests.remove(&id) else {
        return;
    };
    finish_untracked(state, &entry.metadata, outcome);
}

/// Sends the final outcome of a request that is not in the table.
pub(crate) fn finish_untracked(
    state: &mut state::NodeState,
    metadata: &model_request::RequestMetadata,
    outcome: outcome::RequestOutcome,
) {
    count_outcome(state, &outcome);
    state.emit(action::NodeAction::FinishRequest {
        request: metadata.id,
        outcome,
    });
}

fn count_outcome(state: &mut state::NodeState, outcome: &outcome::RequestOutcome) {
    let stats = &mut state.stats;
    match outcome {
        outcome::RequestOutcome::Answered => stats.answered += 1,
        outcome::RequestOutcome::Replayed { .. } => stats.replayed += 1,
        outcome::RequestOutcome::NotRun { reason, .. } => {
            *stats.refused.entry(*reason).or_default() += 1
        }
        outcome::RequestOutcome::Failed { reason, .. } => {
            *stats.failed.entry(*reason).or_default() += 1
        }
        outcome::RequestOutcome::Unknown { reason, .. } => {
            *stats.unknown.entry(*reason).or_default() += 1
        }
    }
}
