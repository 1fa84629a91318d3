//! The course of a request: requests placements, and makes attempts, one after another or one beside
//! another, until one of them responds or none may follow.

use std::rc;

use model::ids;
use model::millis;
use pool::attempts;
use pool::health;
use pool::job;
use tokio::task;
use tokio::time;

use crate::attempt;
use crate::forward;
use crate::reach;
use crate::request;
use crate::reservations;
use crate::response;
use crate::retry_permit;
use crate::upstream;

/// Minimum time to wait for a first event before another endpoint is tried, ms.
const MIN_FIRST_EVENT_TIMEOUT_MS: f64 = 900.0;
/// Multiple of the predicted time after which a first event counts as lost.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;
/// Silence of an endpoint after which another one is tried, as a fraction of
/// [`request::ClientRequest::abandon_after_ms`].
const ABANDON_FRACTION: f64 = 0.7;
/// Fraction of the remaining time given to a plain call before another endpoint is tried.
const CALL_TIMEOUT_FRACTION: f64 = 0.45;
/// Shortest `Retry-After` when all endpoints of a service want no requests for a time, ms.
const MIN_QUIET_RETRY_MS: u64 = 50;

/// The failure reported to the client once no further attempt is made.
#[derive(Debug)]
pub(crate) enum FinalFailure {
    Local(response::LocalResponse),
    /// The endpoint's failure response is forwarded.
    Endpoint(attempt::EndpointFailure),
}

/// Runs the attempts of one request.
pub(crate) struct RequestRunner {
    pub request: rc::Rc<request::ClientRequest>,
    /// Id of the last event that the client has.
    pub last_event: Option<u64>,
    attempts: u32,
    /// Number of attempts that were not sent as their endpoint was closed in the meantime.
    unsent: u32,
    /// Number of attempts that may have run.
    possible_runs: u32,
    may_have_run: bool,
    /// Endpoints not to be tried again.
    excluded: Vec<ids::EndpointId>,
    failure: Option<attempt::EndpointFailure>,
    /// An exchange without a response so far, kept until another one responds.
    stalled: Option<attempt::SentRequest>,
    /// Whether another daemon handles the current attempt, with its retries.
    is_forwarded: bool,
}

impl RequestRunner {
    pub fn new(request: request::ClientRequest) -> Self {
        let runs = request.hints.forwarded_runs.unwrap_or_default();
        Self {
            last_event: request.hints.last_event_id,
            request: rc::Rc::new(request),
            attempts: runs,
            unsent: 0,
            possible_runs: runs,
            may_have_run: runs > 0,
            excluded: Vec::new(),
            failure: None,
            stalled: None,
            is_forwarded: false,
        }
    }

    /// Tries endpoints until one starts to respond.
    pub async fn next_response(&mut self) -> Result<attempt::EndpointResponse, FinalFailure> {
        let state = self.request.state.clone();
        loop {
            let sendings = self.request.sendings.get();
            let attempted = tokio::select! {
                attempted = self.attempt() => attempted,
                () = state.shutdown.wait_for_last_response(&state.clock) => {
                    self.may_have_run |= self.request.sendings.get() > sendings;
                    Err(attempt::shutdown_error())
                }
            };
            let error = match attempted {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if let Some(failure) = self.handle_error(error) {
                return Err(failure);
            }
        }
    }

    /// Continues on another endpoint after a response broke off or stalled.
    pub async fn resume(
        &mut self,
        plan: &job::PlacementPlan,
        signal: health::HealthSignal,
        reason: &'static str,
    ) -> Result<attempt::EndpointResponse, FinalFailure> {
        self.excluded.push(plan.primary.endpoint.clone());
        let error = attempt::AttemptError::may_have_run(signal, reason);
        match self.handle_error(error) {
            None => self.next_response().await,
            Some(failure) => Err(failure),
        }
    }

    fn record_stalled_error(&self, error: &attempt::AttemptError) {
        self.request.state.metrics.attempt(error.reason);
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id,
            reason = error.reason; "stalled attempt failed");
    }

    fn handle_error(&mut self, error: attempt::AttemptError) -> Option<FinalFailure> {
        let state = &self.request.state;
        state.metrics.attempt(error.reason);
        if error.failure.is_some() {
            self.failure = error.failure;
        }
        let step = match error.declined {
            Some(_) => None,
            None => {
                self.attempts += 1;
                let may_have_run = error.execution == attempts::ExecutionStatus::MayHaveRun;
                self.possible_runs += u32::from(may_have_run);
                let step = attempts::next_step(&attempts::AttemptRecord {
                    retry_safety: self.request.route_match.route.retry_safety,
                    execution: error.execution,
                    ran_before: self.may_have_run,
                    runs: self.possible_runs,
                    attempts: self.attempts,
                    max_runs: self.request.route_match.route.max_attempts,
                    remaining_ms: self.request.remaining_ms(),
                });
                self.may_have_run = self.may_have_run || may_have_run;
                Some(step)
            }
        };
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id,
            reason = error.reason, ran:% = self.may_have_run, attempts = self.attempts,
            left_ms = self.request.remaining_ms(), step:? = step; "attempt failed");
        if step == Some(attempts::NextStep::TryAgain) {
            return None;
        }
        Some(self.final_failure(error.declined))
    }

    fn final_failure(&mut self, declined: Option<response::LocalResponse>) -> FinalFailure {
        if let Some(failure) = self.failure.take() {
            return FinalFailure::Endpoint(failure);
        }
        let deadline_passed = self.request.remaining_ms() <= 0.0;
        let response = match (self.may_have_run, deadline_passed, declined) {
            (true, true, _) => response::LocalResponse::TimedOut,
            (true, false, _) => response::LocalResponse::Failed,
            (false, _, Some(declined)) => declined,
            (false, _, None) => response::LocalResponse::NotRun {
                reason: "endpoints_refused",
                retry_after_ms: attempt::REFUSED_RETRY_AFTER_MS,
            },
        };
        FinalFailure::Local(response)
    }

    /// Whether another endpoint may be tried while one is stalled.
    fn may_retry(&self) -> bool {
        let route = &self.request.route_match.route;
        let may_run_again = self.possible_runs + 1 < route.max_attempts;
        route.retry_safety.is_retryable() && may_run_again && !self.is_forwarded
    }

    /// Returns how long to wait for the first event, ms.
    pub fn first_event_timeout_ms(&self, plan: &job::PlacementPlan) -> f64 {
        let remaining_ms = self.request.remaining_ms();
        if !self.may_retry() {
            return remaining_ms;
        }
        let wait = if self.request.route_match.route.retry_safety.is_stream() {
            let upper = ABANDON_FRACTION * self.request.abandon_after_ms();
            let lower = MIN_FIRST_EVENT_TIMEOUT_MS.min(upper);
            (FIRST_EVENT_TIMEOUT_FACTOR * plan.predicted_ms).clamp(lower, upper)
        } else {
            (CALL_TIMEOUT_FRACTION * remaining_ms)
                .max(FIRST_EVENT_TIMEOUT_FACTOR * plan.predicted_ms)
        };
        wait.min(remaining_ms)
    }

    /// Returns how long to wait for the next event, ms.
    pub fn next_event_timeout_ms(&self) -> f64 {
        let remaining_ms = self.request.remaining_ms();
        if !self.may_retry() {
            return remaining_ms;
        }
        remaining_ms.min(ABANDON_FRACTION * self.request.abandon_after_ms())
    }

    async fn attempt(&mut self) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        let state = self.request.state.clone();
        let lease = attempt::JobLease::new(&state);
        self.is_forwarded = state.reach.is_cut_off();
        let sent = match self.request.acquire_if_repeat() {
            _ if !self.may_send() => Err(attempt::shutdown_error()),
            Err(request::BudgetExhausted) => Err(attempt::budget_error(&self.request)),
            Ok(permit) if self.is_forwarded => match self.forward(permit).await {
                Ok(response) => {
                    self.stalled = None;
                    return Ok(response);
                }
                Err(error) => Err(error),
            },
            Ok(permit) => match self.place(lease.job, None).await {
                Ok(plan) => self.send(lease, plan, permit).await,
                Err(error) => Err(error),
            },
        };
        match (sent, self.stalled.take()) {
            (Ok(sent), None) => self.await_hedged(sent).await,
            (Ok(sent), stalled) => self.await_first(sent, stalled).await,
            // No other endpoint is available: keep waiting for the stalled one.
            (Err(error), Some(stalled)) if error.declined.is_some() => {
                let timeout_ms = stalled.patience_ms(self.request.state.now());
                let timeout_ms = timeout_ms.min(self.request.remaining_ms());
                self.await_stalled(stalled, timeout_ms).await
            }
            (Err(error), stalled) => {
                self.stalled = stalled;
                Err(error)
            }
        }
    }

    /// Whether a shutdown leaves the time to finish the request.
    fn may_send(&self) -> bool {
        let state = &self.request.state;
        let terms = self.request.sending_terms(self.may_have_run);
        state.shutdown.may_send(state.now(), &terms)
    }

    /// Forwards the request to another daemon, as this one reaches no endpoint.
    async fn forward(
        &self,
        permit: Option<retry_permit::RetryPermit>,
    ) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        let request = &self.request;
        if let Some(error) = attempt::quarantined_error(&self.request) {
            return Err(error);
        }
        let no_target = attempt::AttemptError::declined(response::LocalResponse::NotRun {
            reason: "endpoints_unreachable",
            retry_after_ms: attempt::REFUSED_RETRY_AFTER_MS,
        });
        if request.hints.forwarded_runs.is_some() {
            return Err(no_target);
        }
        if let Some(permit) = permit {
            permit.record_sending();
        }
        request.record_forwarding();
        let remaining = millis::to_duration(request.remaining_ms());
        let (last_event, runs) = (self.last_event, self.possible_runs);
        let forwarded = forward::forward(request, last_event, runs, &self.excluded);
        match time::timeout(remaining, forwarded).await {
            Ok(forward::ForwardOutcome::Responded(response)) => {
                attempt::accept_forwarded(request, *response, self.may_have_run).await
            }
            Ok(forward::ForwardOutcome::NoTarget) => Err(no_target),
            Ok(forward::ForwardOutcome::Broken) => Err(attempt::AttemptError::may_have_run(
                health::HealthSignal::Inconclusive,
                "daemon_lost",
            )),
            Err(_) => Err(attempt::AttemptError::may_have_run(
                health::HealthSignal::Inconclusive,
                "no_answer_in_time",
            )),
        }
    }

    /// Waits for whichever of two exchanges succeeds first; the other one is dropped, which closes
    /// its connection. If neither responds in time, `sent` becomes the stalled one and the earlier
    /// one is dropped.
    async fn await_first(
        &mut self,
        mut sent: attempt::SentRequest,
        mut stalled: Option<attempt::SentRequest>,
    ) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        let now = self.request.state.now();
        let mut timeout_ms = self.first_event_timeout_ms(&sent.plan);
        if self.may_retry() {
            let waited_ms = now - sent.sent_at;
            timeout_ms = (timeout_ms - waited_ms).min(sent.patience_ms(now));
        }
        let limit = time::sleep(millis::to_duration(timeout_ms));
        tokio::pin!(limit);
        let patience_ms = stalled.as_ref().map(|stalled| stalled.patience_ms(now));
        let patience = millis::to_duration(patience_ms.unwrap_or(f64::MAX));
        let stalled_until = time::Instant::now() + patience;
        loop {
            let earlier = async {
                match stalled.as_mut() {
                    Some(stalled) => {
                        time::timeout_at(stalled_until, stalled.exchange.as_mut()).await
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                reply = sent.exchange.as_mut() => {
                    let response = self.finish_exchange(sent, reply).await;
                    self.stalled = stalled.filter(|_| response.is_err());
                    return response;
                }
                reply = earlier => {
                    let Some(mut earlier) = stalled.take() else {
                        continue;
                    };
                    let Ok(reply) = reply else {
                        earlier.lease.end(health::HealthSignal::TimedOut.into());
                        continue;
                    };
                    match self.finish_exchange(earlier, reply).await {
                        Ok(response) => return Ok(response),
                        Err(error) => self.record_stalled_error(&error),
                    }
                }
                () = &mut limit => {
                    let state = self.request.state.clone();
                    let endpoint = sent.plan.primary.endpoint.clone();
                    task::spawn_local(async move { reach::check(&state, &endpoint).await });
                    self.excluded.push(sent.plan.primary.endpoint.clone());
                    self.stalled = Some(sent);
                    return Err(attempt::AttemptError::may_have_run(
                        health::HealthSignal::TimedOut,
                        "no_answer_in_time",
                    ));
                }
            }
        }
    }

    /// Waits for the response of an attempt, and makes a second one beside it if that is allowed and
    /// the response is late.
    async fn await_hedged(
        &mut self,
        mut sent: attempt::SentRequest,
    ) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        let Some(after_ms) = self.hedge_after_ms(&sent.plan) else {
            return self.await_first(sent, None).await;
        };
        let hedge = {
            let hedge = self.hedge(&sent.plan, after_ms);
            tokio::pin!(hedge);
            tokio::select! {
                biased;
                reply = sent.exchange.as_mut() => Err(reply),
                hedge = &mut hedge => Ok(hedge),
            }
        };
        match hedge {
            Err(reply) => self.finish_exchange(sent, reply).await,
            Ok(Some(second)) => self.await_either(sent, second).await,
            Ok(None) => self.await_first(sent, None).await,
        }
    }

    /// Returns the time after which an attempt should get another one beside it, ms, if the request
    /// may run there as well.
    fn hedge_after_ms(&self, plan: &job::PlacementPlan) -> Option<f64> {
        let request = &self.request;
        let route_match = &request.route_match;
        let may_run_twice = route_match.route.retry_safety.is_retryable()
            && self.possible_runs + 2 <= route_match.route.max_attempts;
        let is_forwarded = self.is_forwarded || request.hints.forwarded_runs.is_some();
        if !may_run_twice || is_forwarded || self.last_event.is_some() {
            return None;
        }
        let after_ms = request
            .state
            .hedge_after_ms(&route_match.service, plan.predicted_ms)?;
        (after_ms < self.first_event_timeout_ms(plan)).then_some(after_ms)
    }

    /// Sends a second attempt after a time, if the placer finds an endpoint for it.
    async fn hedge(
        &self,
        first: &job::PlacementPlan,
        after_ms: f64,
    ) -> Option<attempt::SentRequest> {
        time::sleep(millis::to_duration(after_ms)).await;
        let state = &self.request.state;
        if state.reach.is_cut_off() {
            return None;
        }
        let Ok(permit) = self.request.acquire_permit() else {
            state
                .metrics
                .hedge("declined", job::DeclineReason::RetryBudget.name());
            return None;
        };
        let request = &self.request.hints.attempt_id;
        let mut lease = attempt::JobLease::new(state);
        let placed = self.place(lease.job, Some(first)).await;
        let placed_at = state.now();
        let prepared = match placed {
            Ok(plan) => match self.prepare(lease.job, &plan).await {
                Ok(memory) => Ok((plan, memory)),
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        let (plan, memory) = match prepared {
            Ok(prepared) => prepared,
            Err(error) => {
                let declined = error.declined;
                let reason = declined.map_or(error.reason, response::LocalResponse::reason);
                state.metrics.hedge("declined", reason);
                log::info!(target: "sardinepaddle", request, job = lease.job.number, reason;
                    "no second attempt");
                lease.end_failed(&error);
                return None;
            }
        };
        state.metrics.hedge("sent", "late");
        log::info!(target: "sardinepaddle", request, job = lease.job.number,
            endpoint:% = plan.primary.endpoint, beside:% = first.primary.endpoint, after_ms,
            first_predicted_ms = first.predicted_ms, predicted_ms = plan.predicted_ms;
            "request hedged");
        let sent = attempt::SentRequest::start(
            &self.request,
            lease,
            memory,
            plan,
            placed_at,
            self.last_event,
            Some(permit),
        );
        Some(sent)
    }

    /// Waits for the first sound response of two attempts, and ends the other one. If one of them
    /// fails, the other goes on.
    async fn await_either(
        &mut self,
        mut first: attempt::SentRequest,
        mut second: attempt::SentRequest,
    ) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        self.attempts += 1;
        self.possible_runs += 1;
        let now = self.request.state.now();
        let (first_ms, second_ms) = (first.patience_ms(now), second.patience_ms(now));
        let limit_ms = first_ms.min(second_ms).min(self.request.remaining_ms());
        let (reply, is_second) = tokio::select! {
            reply = first.exchange.as_mut() => (reply, false),
            reply = second.exchange.as_mut() => (reply, true),
            () = time::sleep(millis::to_duration(limit_ms)) => {
                let (ended, kept) = match second_ms < first_ms {
                    true => (second, first),
                    false => (first, second),
                };
                self.may_have_run = true;
                drop(ended);
                return self.await_first(kept, None).await;
            }
        };
        let (responded, mut other) = match is_second {
            true => (second, first),
            false => (first, second),
        };
        let outcome = if is_second { "won" } else { "lost" };
        match self.finish_exchange(responded, reply).await {
            Ok(response) => {
                self.request.state.metrics.hedge(outcome, "response");
                other.lease.end(health::HealthSignal::Inconclusive.into());
                self.excluded.push(other.plan.primary.endpoint.clone());
                log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id,
                    endpoint:% = response.attempt.plan.primary.endpoint,
                    ended:% = other.plan.primary.endpoint, outcome; "hedge decided");
                Ok(response)
            }
            Err(error) => {
                self.record_hedged_error(error);
                self.await_first(other, None).await
            }
        }
    }

    /// Records that one of two attempts failed while the other goes on.
    fn record_hedged_error(&mut self, error: attempt::AttemptError) {
        self.request.state.metrics.attempt(error.reason);
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id,
            reason = error.reason; "hedged attempt failed");
        match error.execution {
            attempts::ExecutionStatus::NotRun => self.possible_runs -= 1,
            attempts::ExecutionStatus::MayHaveRun => self.may_have_run = true,
        }
        if error.failure.is_some() {
            self.failure = error.failure;
        }
    }

    async fn await_stalled(
        &mut self,
        mut stalled: attempt::SentRequest,
        timeout_ms: f64,
    ) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        match time::timeout(millis::to_duration(timeout_ms), stalled.exchange.as_mut()).await {
            Ok(reply) => self.finish_exchange(stalled, reply).await,
            Err(_) => {
                let signal = health::HealthSignal::TimedOut;
                stalled.lease.end(signal.into());
                Err(attempt::AttemptError::may_have_run(
                    signal,
                    "no_answer_in_time",
                ))
            }
        }
    }

    /// Converts the reply of an exchange into a response, or ends its attempt.
    async fn finish_exchange(
        &mut self,
        sent: attempt::SentRequest,
        reply: upstream::Result<attempt::ExchangeReply>,
    ) -> Result<attempt::EndpointResponse, attempt::AttemptError> {
        let primary = sent.plan.primary.endpoint.clone();
        let finished = sent.finish(&self.request, reply).await;
        if let Err(error) = &finished {
            self.exclude_failed(&primary, error);
        }
        finished
    }

    /// Excludes the endpoint at fault for a failed attempt from those that follow.
    fn exclude_failed(&mut self, primary: &ids::EndpointId, error: &attempt::AttemptError) {
        let excluded = error.at_fault.as_ref().unwrap_or(primary);
        self.excluded.push(excluded.clone());
    }

    /// Requests a placement, beside the attempt with plan `first` if there is one.
    async fn place(
        &self,
        job: job::JobId,
        first: Option<&job::PlacementPlan>,
    ) -> Result<job::PlacementPlan, attempt::AttemptError> {
        let request = &self.request;
        let state = &request.state;
        let service = &request.route_match.service;
        if let Some(error) = attempt::quarantined_error(&self.request) {
            return Err(error);
        }
        if let Some(due_ms) = state.until_first_due_ms(service, &self.excluded) {
            let retry_after_ms = (due_ms.ceil() as u64).max(MIN_QUIET_RETRY_MS);
            log::info!(target: "sardinepaddle", request = request.hints.attempt_id, retry_after_ms;
                "request declined: all endpoints want no requests for a time");
            return Err(attempt::AttemptError::declined(
                response::LocalResponse::NotRun {
                    reason: "endpoints_quiet",
                    retry_after_ms,
                },
            ));
        }
        let requested_at = state.now();
        let placement_request = self.placement_request(requested_at, first);
        let terms = request.sending_terms(self.may_have_run);
        let decision = tokio::select! {
            decision = time::timeout(
                millis::to_duration(request.remaining_ms()),
                state.place(job, placement_request),
            ) => decision,
            () = state.shutdown.wait_for_last_sending(&state.clock, &terms) => {
                return Err(attempt::shutdown_error());
            }
        };
        let waited = state.now() - requested_at;
        match decision {
            Ok(Some(job::PlacementDecision::Placed(plan))) => {
                state.metrics.placement("placed", waited);
                let (tokens, answer_tokens) = request.hints.tokens.unwrap_or_default();
                log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
                    job = job.number, endpoint:% = plan.primary.endpoint,
                    digest:% = request.digest, prompt_tokens = tokens, answer_tokens,
                    parts = attempt::part_names(&request.hints.shared_parts), helped_by = attempt::helped_by(&plan),
                    helpers = plan.helpers.len(), predicted_ms = plan.predicted_ms,
                    waited_ms = waited, left_ms = request.remaining_ms(),
                    data_age_ms = state.data_age(); "request placed");
                Ok(plan)
            }
            Ok(Some(job::PlacementDecision::Declined {
                reason,
                retry_after_ms,
            })) => {
                if first.is_none() {
                    state.metrics.placement(reason.name(), waited);
                    log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
                        job = job.number, reason = reason.name(), retry_after_ms,
                        waited_ms = waited, data_age_ms = state.data_age(); "request declined");
                }
                Err(attempt::AttemptError::declined(
                    response::LocalResponse::NotRun {
                        reason: reason.name(),
                        retry_after_ms,
                    },
                ))
            }
            Ok(None) | Err(_) => {
                state.metrics.placement("deadline_passed", waited);
                Err(attempt::AttemptError::declined(
                    response::LocalResponse::NotRun {
                        reason: "deadline_passed",
                        retry_after_ms: attempt::REFUSED_RETRY_AFTER_MS,
                    },
                ))
            }
        }
    }

    fn placement_request(
        &self,
        now: f64,
        first: Option<&job::PlacementPlan>,
    ) -> job::PlacementRequest {
        let request = &self.request;
        let route = &request.route_match.route;
        let full_objective_ms = millis::from_duration(route.latency_objective);
        let kind = match request.hints.tokens {
            Some((tokens, answer_tokens)) => job::JobKind::Prompt {
                tokens,
                answer_tokens,
            },
            None => job::JobKind::Call,
        };
        let mut excluded = self.excluded.clone();
        excluded.extend(request.state.quiet_endpoints(&request.route_match.service));
        let first_members = first.into_iter().flat_map(job::PlacementPlan::members);
        excluded.extend(first_members.map(|member| member.endpoint.clone()));
        let is_retry = first.is_some() || self.possible_runs > 0 || self.attempts > self.unsent;
        job::PlacementRequest {
            route: route.name.clone(),
            service: request.route_match.service.clone(),
            kind,
            centre: request.state.settings().data_centre.clone(),
            objective_remaining_ms: request.arrived_at + full_objective_ms - now,
            full_objective_ms,
            gap_objective_ms: millis::from_duration(route.gap_objective),
            abandon_after_ms: request.abandon_after_ms(),
            remaining_ms: request.remaining_ms(),
            priority: request.route_match.priority,
            excluded,
            shared_parts: request.hints.shared_parts.clone(),
            digest: Some(request.digest),
            customer: request.route_match.customer.clone(),
            is_hedge: first.is_some(),
            // For placers that don't know hedges.
            is_retry,
            is_budgeted: true,
        }
    }

    /// Starts to send a request according to a plan; the returned exchange makes progress when
    /// polled.
    async fn send(
        &mut self,
        mut lease: attempt::JobLease,
        plan: job::PlacementPlan,
        permit: Option<retry_permit::RetryPermit>,
    ) -> Result<attempt::SentRequest, attempt::AttemptError> {
        let request = self.request.clone();
        let placed_at = request.state.now();
        let memory = match self.prepare(lease.job, &plan).await {
            Ok(memory) => memory,
            Err(error) => {
                self.unsent += u32::from(error.is_unsent);
                self.exclude_failed(&plan.primary.endpoint, &error);
                lease.end_failed(&error);
                return Err(error);
            }
        };
        Ok(attempt::SentRequest::start(
            &request,
            lease,
            memory,
            plan,
            placed_at,
            self.last_event,
            permit,
        ))
    }

    /// Reserves the memory that a plan needs, if all its endpoints may get requests.
    async fn prepare(
        &self,
        job: job::JobId,
        plan: &job::PlacementPlan,
    ) -> Result<reservations::MemoryLease, attempt::AttemptError> {
        let request = self.request.clone();
        if !self.may_send() {
            return Err(attempt::shutdown_error());
        }
        if let Some(endpoint) = self.closed_member(plan) {
            return Err(Self::unsent_error(endpoint));
        }
        let (state, upstreams) = (&request.state, &request.upstreams);
        let release_at = self
            .may_retry()
            .then(|| state.now() + attempt::unused_memory_ms(plan));
        let helpers = &plan.helpers;
        let memory = reservations::MemoryLease::reserve(state, upstreams, job, helpers, release_at);
        let memory = memory.await.map_err(|endpoint| attempt::AttemptError {
            at_fault: Some(endpoint),
            ..attempt::AttemptError::not_run(health::HealthSignal::Full, "memory_refused")
        })?;
        // While memory was reserved, the shutdown may have begun, an endpoint may have been closed, or
        // the prompt quarantined.
        if !self.may_send() {
            return Err(attempt::shutdown_error());
        }
        if let Some(error) = attempt::quarantined_error(&self.request) {
            return Err(error);
        }
        match self.closed_member(plan) {
            Some(endpoint) => Err(Self::unsent_error(endpoint)),
            None => Ok(memory),
        }
    }

    /// Returns an endpoint of a plan that may get no requests now, if there is one.
    fn closed_member(&self, plan: &job::PlacementPlan) -> Option<ids::EndpointId> {
        let state = &self.request.state;
        let mut members = plan.members();
        let closed = members.find(|member| !state.may_send(&member.endpoint));
        closed.map(|member| member.endpoint.clone())
    }

    /// Returns the error of an attempt that is not sent, as an endpoint of its plan is closed.
    fn unsent_error(closed: ids::EndpointId) -> attempt::AttemptError {
        attempt::AttemptError {
            is_unsent: true,
            at_fault: Some(closed),
            ..attempt::AttemptError::not_run(health::HealthSignal::Inconclusive, "endpoint_left")
        }
    }
}
