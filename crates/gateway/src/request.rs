//! Execution of one client request: requests a placement, sends the request to the endpoint, and
//! retries where that is allowed.

use std::pin::Pin;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use model::ids;
use model::millis;
use platform::headers;
use pool::attempts;
use pool::health;
use pool::job;
use pool::quarantine;
use pool::routes;
use tokio::task;
use tokio::time;

use crate::forward;
use crate::reach;
use crate::reservations;
use crate::response;
use crate::state;
use crate::upstream;

/// Minimum time to wait for a first event before another endpoint is tried, ms.
const MIN_FIRST_EVENT_TIMEOUT_MS: f64 = 900.0;
/// Multiple of the predicted time after which a first event counts as lost.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;
/// Silence of an endpoint after which another one is tried, as a fraction of
/// [`ClientRequest::abandon_after_ms`].
const ABANDON_FRACTION: f64 = 0.7;
/// Minimum gap between two events at which clients abandon a request, ms; set by the users'
/// protocol.
const MIN_ABANDON_AFTER_MS: f64 = 2_000.0;
/// Multiples of the latency objective and of the gap objective for which clients wait at least; set
/// by the users' protocol.
const ABANDON_FACTORS: (f64, f64) = (4.0, 8.0);
/// Time from its placement for which an attempt that holds reserved memory waits for a response, ms,
/// if it may be repeated: endpoints may leave the memory unused for nine seconds, set by the users'
/// protocol.
const MAX_UNUSED_MEMORY_MS: f64 = 8_000.0;
/// Multiple of the predicted time for which such an attempt waits at least.
const UNUSED_MEMORY_FACTOR: f64 = 2.0;
/// Fraction of the remaining time given to a plain call before another endpoint is tried.
const CALL_TIMEOUT_FRACTION: f64 = 0.45;
/// `Retry-After` when endpoints refused the request, ms.
const REFUSED_RETRY_AFTER_MS: u64 = 300;
/// Shortest `Retry-After` when all endpoints of a service want no requests for a time, ms.
const MIN_QUIET_RETRY_MS: u64 = 50;
/// Maximum size of an endpoint's failure response that is buffered for the client, bytes.
const MAX_FAILURE_BODY_BYTES: usize = 1024 * 1024;

/// A request as read from its client.
pub(crate) struct ClientRequest {
    pub state: rc::Rc<state::DaemonState>,
    pub upstreams: rc::Rc<upstream::UpstreamPool>,
    pub route_match: routes::RouteMatch,
    pub hints: headers::RequestHints,
    pub method: http::Method,
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    /// By which its repeats are recognized.
    pub digest: ids::RequestDigest,
    /// Arrival time, ms since the start of the process.
    pub arrived_at: f64,
    /// Time by which the response must be complete, ms since the start of the process.
    pub deadline: f64,
}

impl ClientRequest {
    pub fn remaining_ms(&self) -> f64 {
        self.deadline - self.state.now()
    }

    /// Returns the time for which requests like this one are declined, ms, as endpoints crash on
    /// them.
    fn quarantined_ms(&self) -> Option<f64> {
        let features = quarantine::RequestFeatures {
            parts: self.hints.shared_parts.clone(),
            digest: Some(self.digest),
        };
        self.state.quarantined_ms(&features)
    }

    /// Gap before or between events at which the client abandons the request, ms.
    fn abandon_after_ms(&self) -> f64 {
        let route = &self.route_match.route;
        let (objective_factor, gap_factor) = ABANDON_FACTORS;
        let by_objective = objective_factor * millis::from_duration(route.latency_objective);
        let by_gap = gap_factor * millis::from_duration(route.gap_objective);
        MIN_ABANDON_AFTER_MS.max(by_objective).max(by_gap)
    }
}

/// A placement held for an attempt. Cancelled on drop unless it has ended; forwarded requests have
/// none.
pub(crate) struct JobLease {
    state: rc::Rc<state::DaemonState>,
    pub job: job::JobId,
    ended: bool,
}

impl JobLease {
    fn end(&mut self, mut outcome: job::JobOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if self.state.reach.is_cut_off() && outcome.signal != health::HealthSignal::Success {
            // It shows nothing about the endpoint, which others may reach.
            outcome.signal = health::HealthSignal::Inconclusive;
        }
        self.state.finish_job(self.job, outcome);
    }
}

impl Drop for JobLease {
    fn drop(&mut self) {
        if !self.ended {
            self.state.cancel_job(self.job);
        }
    }
}

/// An attempt that was sent to an endpoint.
pub(crate) struct ActiveAttempt {
    lease: JobLease,
    _memory: reservations::MemoryLease,
    connection: upstream::UpstreamConnection,
    pub plan: job::PlacementPlan,
    /// Time of the placement, ms since the start of the process.
    pub placed_at: f64,
    /// How long the endpoint keeps the connection open while idle.
    keep_alive: Option<Duration>,
}

impl ActiveAttempt {
    pub fn job(&self) -> job::JobId {
        self.lease.job
    }

    /// Ends the attempt as successful and returns its connection to the pool.
    pub async fn complete(mut self, upstreams: &upstream::UpstreamPool) {
        self.lease.end(health::HealthSignal::Success.into());
        upstreams.put_back(self.connection, self.keep_alive).await;
    }

    /// Ends the attempt as failed and closes its connection.
    pub fn fail(mut self, signal: health::HealthSignal) {
        self.lease.end(signal.into());
    }
}

/// An endpoint's response with a valid header and an unread body.
pub(crate) struct EndpointResponse {
    pub attempt: ActiveAttempt,
    pub status: http::StatusCode,
    pub headers: http::HeaderMap,
    pub body: Incoming,
}

/// A failure response of an endpoint, buffered completely.
#[derive(Clone, Debug)]
pub(crate) struct EndpointFailure {
    pub status: http::StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

/// The failure reported to the client once no further attempt is made.
#[derive(Debug)]
pub(crate) enum FinalFailure {
    Local(response::LocalResponse),
    /// The endpoint's failure response is forwarded.
    Endpoint(EndpointFailure),
}

/// A failed attempt.
struct AttemptError {
    execution: attempts::ExecutionStatus,
    signal: health::HealthSignal,
    /// The endpoint that caused the failure; `None` for the primary of the plan.
    at_fault: Option<ids::EndpointId>,
    /// Whether the endpoint responded.
    responded: bool,
    reason: &'static str,
    failure: Option<EndpointFailure>,
    /// Set if the placement was declined, in which case there is no retry.
    declined: Option<response::LocalResponse>,
}

impl AttemptError {
    fn not_run(signal: health::HealthSignal, reason: &'static str) -> Self {
        Self {
            execution: attempts::ExecutionStatus::NotRun,
            signal,
            at_fault: None,
            responded: false,
            reason,
            failure: None,
            declined: None,
        }
    }

    fn may_have_run(signal: health::HealthSignal, reason: &'static str) -> Self {
        Self {
            execution: attempts::ExecutionStatus::MayHaveRun,
            ..Self::not_run(signal, reason)
        }
    }

    fn declined(response: response::LocalResponse) -> Self {
        Self {
            declined: Some(response),
            ..Self::not_run(health::HealthSignal::Inconclusive, "declined")
        }
    }
}

/// Runs the attempts of one request.
pub(crate) struct RequestRunner {
    pub request: rc::Rc<ClientRequest>,
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
    failure: Option<EndpointFailure>,
    /// An exchange without a response so far, kept until another one responds.
    stalled: Option<SentRequest>,
    /// Whether another daemon handles the current attempt, with its retries.
    is_forwarded: bool,
}

impl RequestRunner {
    pub fn new(request: ClientRequest) -> Self {
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
    pub async fn next_response(&mut self) -> Result<EndpointResponse, FinalFailure> {
        loop {
            let error = match self.attempt().await {
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
    ) -> Result<EndpointResponse, FinalFailure> {
        self.excluded.push(plan.primary.endpoint.clone());
        let error = AttemptError::may_have_run(signal, reason);
        match self.handle_error(error) {
            None => self.next_response().await,
            Some(failure) => Err(failure),
        }
    }

    fn record_stalled_error(&self, error: &AttemptError) {
        self.request.state.metrics.attempt(error.reason);
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id,
            reason = error.reason; "stalled attempt failed");
    }

    fn handle_error(&mut self, error: AttemptError) -> Option<FinalFailure> {
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
                retry_after_ms: REFUSED_RETRY_AFTER_MS,
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

    async fn attempt(&mut self) -> Result<EndpointResponse, AttemptError> {
        let state = self.request.state.clone();
        let lease = JobLease {
            job: state.next_job_id(),
            state,
            ended: false,
        };
        self.is_forwarded = lease.state.reach.is_cut_off();
        let sent = if self.is_forwarded {
            match self.forward().await {
                Ok(response) => {
                    self.stalled = None;
                    return Ok(response);
                }
                Err(error) => Err(error),
            }
        } else {
            match self.place(lease.job).await {
                Ok(plan) => self.send(lease, plan).await,
                Err(error) => Err(error),
            }
        };
        match (sent, self.stalled.take()) {
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

    /// Forwards the request to another daemon, as this one reaches no endpoint.
    async fn forward(&self) -> Result<EndpointResponse, AttemptError> {
        let request = &self.request;
        if let Some(error) = self.quarantined_error() {
            return Err(error);
        }
        let no_target = AttemptError::declined(response::LocalResponse::NotRun {
            reason: "endpoints_unreachable",
            retry_after_ms: REFUSED_RETRY_AFTER_MS,
        });
        if request.hints.forwarded_runs.is_some() {
            return Err(no_target);
        }
        let remaining = millis::to_duration(request.remaining_ms());
        let forwarded = forward::forward(request, self.last_event, self.possible_runs);
        match time::timeout(remaining, forwarded).await {
            Ok(forward::ForwardOutcome::Responded(response)) => {
                self.accept_forwarded(*response).await
            }
            Ok(forward::ForwardOutcome::NoTarget) => Err(no_target),
            Ok(forward::ForwardOutcome::Broken) => Err(AttemptError::may_have_run(
                health::HealthSignal::Inconclusive,
                "daemon_lost",
            )),
            Err(_) => Err(AttemptError::may_have_run(
                health::HealthSignal::Inconclusive,
                "no_answer_in_time",
            )),
        }
    }

    /// Converts the response of the daemon to which the request was forwarded. Its failures are
    /// final, as it has made the attempts that the request may have.
    async fn accept_forwarded(
        &self,
        forwarded: forward::ForwardedResponse,
    ) -> Result<EndpointResponse, AttemptError> {
        let request = &self.request;
        let state = &request.state;
        let (parts, body) = forwarded.response.into_parts();
        let marks = headers::parse_marks(parts.status, &parts.headers);
        if !parts.status.is_success() {
            let failure = self.read_failure(parts, body).await;
            // The other daemon doesn't know what this one has sent.
            let failure = failure.filter(|_| !(self.may_have_run && marks.implies_not_run));
            let without_body = match marks.implies_not_run {
                true => response::LocalResponse::NotRun {
                    reason: "forwarded_refused",
                    retry_after_ms: REFUSED_RETRY_AFTER_MS,
                },
                false => response::LocalResponse::Failed,
            };
            return Err(AttemptError {
                failure,
                ..AttemptError::declined(without_body)
            });
        }
        let is_own = marks.attempt_id.as_deref() == Some(request.hints.attempt_id.as_str());
        if !is_own || !marks.signed || marks.encoded {
            return Err(AttemptError::may_have_run(
                health::HealthSignal::Inconclusive,
                "unsound_answer",
            ));
        }
        let lease = JobLease {
            state: state.clone(),
            job: state.next_job_id(),
            ended: true,
        };
        let memory = reservations::MemoryLease::none(state, &request.upstreams);
        Ok(EndpointResponse {
            attempt: ActiveAttempt {
                lease,
                _memory: memory,
                connection: forwarded.connection,
                plan: forwarded.plan,
                placed_at: state.now(),
                keep_alive: upstream::keep_alive_timeout(&parts.headers),
            },
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Reads a failure response, unless it is too large or breaks off.
    async fn read_failure(
        &self,
        parts: http::response::Parts,
        body: Incoming,
    ) -> Option<EndpointFailure> {
        let limited = http_body_util::Limited::new(body, MAX_FAILURE_BODY_BYTES);
        let remaining = millis::to_duration(self.request.remaining_ms());
        let collected = time::timeout(remaining, limited.collect())
            .await
            .ok()?
            .ok()?;
        Some(EndpointFailure {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
        })
    }

    /// Waits for whichever of two exchanges succeeds first; the other one is dropped, which closes
    /// its connection. If neither responds in time, `sent` becomes the stalled one and the earlier
    /// one is dropped.
    async fn await_first(
        &mut self,
        mut sent: SentRequest,
        mut stalled: Option<SentRequest>,
    ) -> Result<EndpointResponse, AttemptError> {
        let now = self.request.state.now();
        let mut timeout_ms = self.first_event_timeout_ms(&sent.plan);
        if self.may_retry() {
            timeout_ms = timeout_ms.min(sent.patience_ms(now));
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
                    return Err(AttemptError::may_have_run(
                        health::HealthSignal::TimedOut,
                        "no_answer_in_time",
                    ));
                }
            }
        }
    }

    async fn await_stalled(
        &mut self,
        mut stalled: SentRequest,
        timeout_ms: f64,
    ) -> Result<EndpointResponse, AttemptError> {
        match time::timeout(millis::to_duration(timeout_ms), stalled.exchange.as_mut()).await {
            Ok(reply) => self.finish_exchange(stalled, reply).await,
            Err(_) => {
                let signal = health::HealthSignal::TimedOut;
                stalled.lease.end(signal.into());
                Err(AttemptError::may_have_run(signal, "no_answer_in_time"))
            }
        }
    }

    /// Converts the reply of an exchange into a response, or ends its attempt.
    async fn finish_exchange(
        &mut self,
        sent: SentRequest,
        reply: upstream::Result<ExchangeReply>,
    ) -> Result<EndpointResponse, AttemptError> {
        let SentRequest {
            mut lease,
            memory,
            plan,
            started_ms,
            placed_at,
            exchange: _,
        } = sent;
        let checked = match reply {
            Ok((connection, response)) => {
                self.record_notice(&plan.primary.endpoint, started_ms, placed_at, &response);
                let keep_alive = upstream::keep_alive_timeout(response.headers());
                let reused = connection.is_reused();
                let checked = self.check_response(response, &plan, reused).await;
                checked.map(|parts| (connection, keep_alive, parts))
            }
            Err(error) => {
                reach::check(&self.request.state, &plan.primary.endpoint).await;
                Err(self.exchange_error(&plan, &error))
            }
        };
        match checked {
            Ok((connection, keep_alive, (status, headers, body))) => Ok(EndpointResponse {
                attempt: ActiveAttempt {
                    lease,
                    _memory: memory,
                    connection,
                    plan,
                    placed_at,
                    keep_alive,
                },
                status,
                headers,
                body,
            }),
            Err(error) => {
                self.end_failed(&mut lease, &plan, &error);
                Err(error)
            }
        }
    }

    /// Records what a response states about its endpoint, unless another one has its address.
    fn record_notice(
        &self,
        endpoint: &ids::EndpointId,
        started_ms: u64,
        sent_at: f64,
        response: &http::Response<Incoming>,
    ) {
        let (status, headers) = (response.status(), response.headers());
        if !headers::parse_marks(status, headers).misdirected {
            let notice = headers::parse_notice(status, headers);
            let state = &self.request.state;
            state.record_notice(endpoint, started_ms, notice, Some(sent_at));
        }
    }

    fn end_failed(
        &mut self,
        lease: &mut JobLease,
        plan: &job::PlacementPlan,
        error: &AttemptError,
    ) {
        let excluded = error.at_fault.as_ref().unwrap_or(&plan.primary.endpoint);
        self.excluded.push(excluded.clone());
        lease.end(job::JobOutcome {
            signal: error.signal,
            at_fault: error.at_fault.clone(),
            responded: error.responded,
        });
    }

    fn exchange_error(
        &self,
        plan: &job::PlacementPlan,
        error: &upstream::UpstreamError,
    ) -> AttemptError {
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id,
            endpoint:% = plan.primary.endpoint, error:% = error; "exchange failed");
        match error {
            upstream::UpstreamError::Connect(_) => {
                AttemptError::not_run(health::HealthSignal::Unreachable, "unreachable")
            }
            upstream::UpstreamError::Unsendable(_) => {
                AttemptError::not_run(health::HealthSignal::Inconclusive, "unsendable")
            }
            upstream::UpstreamError::Broken(_) | upstream::UpstreamError::Stale(_) => {
                AttemptError::may_have_run(health::HealthSignal::Failed, "connection_broke")
            }
        }
    }

    async fn place(&self, job: job::JobId) -> Result<job::PlacementPlan, AttemptError> {
        let request = &self.request;
        let state = &request.state;
        let service = &request.route_match.service;
        if let Some(error) = self.quarantined_error() {
            return Err(error);
        }
        if let Some(due_ms) = state.until_first_due_ms(service, &self.excluded) {
            let retry_after_ms = (due_ms.ceil() as u64).max(MIN_QUIET_RETRY_MS);
            log::info!(target: "sardinepaddle", request = request.hints.attempt_id, retry_after_ms;
                "request declined: all endpoints want no requests for a time");
            return Err(AttemptError::declined(response::LocalResponse::NotRun {
                reason: "endpoints_quiet",
                retry_after_ms,
            }));
        }
        let requested_at = state.now();
        let placement_request = self.placement_request(requested_at);
        let decision = time::timeout(
            millis::to_duration(request.remaining_ms()),
            state.place(job, placement_request),
        )
        .await;
        let waited = state.now() - requested_at;
        match decision {
            Ok(Some(job::PlacementDecision::Placed(plan))) => {
                state.metrics.placement("placed", waited);
                let (tokens, answer_tokens) = request.hints.tokens.unwrap_or_default();
                log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
                    job = job.number, endpoint:% = plan.primary.endpoint,
                    digest:% = request.digest, prompt_tokens = tokens, answer_tokens,
                    parts = part_names(&request.hints.shared_parts), helped_by = helped_by(&plan),
                    helpers = plan.helpers.len(), predicted_ms = plan.predicted_ms,
                    waited_ms = waited, left_ms = request.remaining_ms(),
                    data_age_ms = state.data_age(); "request placed");
                Ok(plan)
            }
            Ok(Some(job::PlacementDecision::Declined {
                reason,
                retry_after_ms,
            })) => {
                state.metrics.placement(reason.name(), waited);
                log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
                    job = job.number, reason = reason.name(), retry_after_ms,
                    waited_ms = waited, data_age_ms = state.data_age(); "request declined");
                Err(AttemptError::declined(response::LocalResponse::NotRun {
                    reason: reason.name(),
                    retry_after_ms,
                }))
            }
            Ok(None) | Err(_) => {
                state.metrics.placement("deadline_passed", waited);
                Err(AttemptError::declined(response::LocalResponse::NotRun {
                    reason: "deadline_passed",
                    retry_after_ms: REFUSED_RETRY_AFTER_MS,
                }))
            }
        }
    }

    /// Returns the error of a request on which endpoints crash.
    fn quarantined_error(&self) -> Option<AttemptError> {
        let request = &self.request;
        let left_ms = request.quarantined_ms()?;
        let reason = job::DeclineReason::Quarantined.name();
        let retry_after_ms = left_ms.ceil() as u64;
        request.state.metrics.placement(reason, 0.0);
        log::info!(target: "sardinepaddle", request = request.hints.attempt_id, reason,
            digest:% = request.digest, parts = part_names(&request.hints.shared_parts),
            retry_after_ms; "request declined");
        Some(AttemptError::declined(response::LocalResponse::NotRun {
            reason,
            retry_after_ms,
        }))
    }

    fn placement_request(&self, now: f64) -> job::PlacementRequest {
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
            is_hedge: false,
            is_retry: self.possible_runs > 0 || self.attempts > self.unsent,
        }
    }

    /// Starts to send a request according to a plan; the returned exchange makes progress when
    /// polled.
    async fn send(
        &mut self,
        mut lease: JobLease,
        plan: job::PlacementPlan,
    ) -> Result<SentRequest, AttemptError> {
        let request = self.request.clone();
        let placed_at = request.state.now();
        let memory = match self.prepare(lease.job, &plan).await {
            Ok(memory) => memory,
            Err(error) => {
                self.end_failed(&mut lease, &plan, &error);
                return Err(error);
            }
        };
        let state = &request.state;
        let started_ms = state.started_ms(&plan.primary.endpoint);
        for member in plan.members() {
            state.record_send(&member.endpoint);
        }
        let headers = self.outgoing_headers(&lease, &plan);
        let exchange = Box::pin(exchange(request, plan.primary.clone(), headers));
        Ok(SentRequest {
            lease,
            memory,
            plan,
            started_ms,
            placed_at,
            exchange,
        })
    }

    /// Reserves the memory that a plan needs, if all its endpoints may get requests.
    async fn prepare(
        &mut self,
        job: job::JobId,
        plan: &job::PlacementPlan,
    ) -> Result<reservations::MemoryLease, AttemptError> {
        let request = self.request.clone();
        if let Some(endpoint) = self.closed_member(plan) {
            return Err(self.unsent_error(endpoint));
        }
        let (state, upstreams) = (&request.state, &request.upstreams);
        let memory = reservations::MemoryLease::reserve(state, upstreams, job, &plan.helpers);
        let memory = memory.await.map_err(|endpoint| AttemptError {
            at_fault: Some(endpoint),
            ..AttemptError::not_run(health::HealthSignal::Full, "memory_refused")
        })?;
        // While memory was reserved, an endpoint may have been closed, or the prompt quarantined.
        if let Some(error) = self.quarantined_error() {
            return Err(error);
        }
        match self.closed_member(plan) {
            Some(endpoint) => Err(self.unsent_error(endpoint)),
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
    fn unsent_error(&mut self, closed: ids::EndpointId) -> AttemptError {
        self.unsent += 1;
        AttemptError {
            at_fault: Some(closed),
            ..AttemptError::not_run(health::HealthSignal::Inconclusive, "endpoint_left")
        }
    }

    fn outgoing_headers(&self, lease: &JobLease, plan: &job::PlacementPlan) -> http::HeaderMap {
        let request = &self.request;
        let helpers: Vec<headers::HelperEndpoint> = plan
            .helpers
            .iter()
            .map(|helper| headers::HelperEndpoint {
                address: helper.address,
                reservation_id: (helper.reserve_tokens > 0)
                    .then(|| reservations::reservation_id(lease.job, helper)),
            })
            .collect();
        headers::for_endpoint(
            &request.headers,
            &headers::SendOptions {
                endpoint: &plan.primary.endpoint,
                remaining: millis::to_duration(request.remaining_ms()),
                customer: request.route_match.customer.as_ref(),
                priority: request.hints.tokens.is_some().then_some(plan.priority),
                helpers: &helpers,
                last_event_id: self.last_event,
            },
        )
    }

    /// Checks that a response is a valid success for this request and converts it to an error
    /// otherwise. `reused` tells whether its connection was used before.
    async fn check_response(
        &self,
        response: http::Response<Incoming>,
        plan: &job::PlacementPlan,
        reused: bool,
    ) -> Result<(http::StatusCode, http::HeaderMap, Incoming), AttemptError> {
        let (parts, body) = response.into_parts();
        let marks = headers::parse_marks(parts.status, &parts.headers);
        let own_attempt = &self.request.hints.attempt_id;
        let is_mismatched = match &marks.attempt_id {
            Some(attempt_id) => attempt_id != own_attempt,
            // It may belong to an earlier request on the connection.
            None => reused,
        };
        if is_mismatched {
            log::warn!(target: "sardinepaddle", request = own_attempt, endpoint:% = plan.primary.endpoint,
                other = marks.attempt_id; "response to another request dropped");
            return Err(AttemptError::may_have_run(
                health::HealthSignal::Failed,
                "crossed_answer",
            ));
        }
        if marks.not_run {
            let signal = if marks.misdirected {
                health::HealthSignal::Unreachable
            } else if headers::parse_notice(parts.status, &parts.headers)
                .quiet_period
                .is_some()
            {
                // It concerns this daemon only, as its quiet period does.
                health::HealthSignal::Inconclusive
            } else {
                health::HealthSignal::Full
            };
            let at_fault = marks.at_fault.as_ref().and_then(|name| {
                let mut members = plan.members();
                let member = members.find(|member| {
                    member.endpoint.as_str() == name || member.address.to_string() == *name
                });
                member.map(|member| member.endpoint.clone())
            });
            log::info!(target: "sardinepaddle", request = own_attempt, endpoint:% = plan.primary.endpoint,
                status = parts.status.as_u16(), at_fault = marks.at_fault;
                "endpoint did not run the request");
            return Err(AttemptError {
                at_fault,
                ..AttemptError::not_run(signal, "endpoint_refused")
            });
        }
        if parts.status.is_success() {
            let is_valid = marks.signed && !marks.encoded && marks.attempt_id.is_some();
            if is_valid {
                return Ok((parts.status, parts.headers, body));
            }
            return Err(AttemptError {
                responded: true,
                ..AttemptError::may_have_run(health::HealthSignal::Failed, "unsound_answer")
            });
        }
        log::info!(target: "sardinepaddle", request = own_attempt, endpoint:% = plan.primary.endpoint,
            status = parts.status.as_u16(); "endpoint returned a failure");
        let mut error = AttemptError {
            responded: true,
            ..AttemptError::may_have_run(health::HealthSignal::Failed, "endpoint_failed")
        };
        if parts.status.is_client_error() {
            error.signal = health::HealthSignal::Inconclusive;
        }
        // Clients read some statuses as a guarantee that the request has not run, so these are not
        // forwarded without the endpoint's confirmation.
        let failure = self.read_failure(parts, body).await;
        error.failure = failure.filter(|_| !marks.implies_not_run);
        Err(error)
    }
}

/// Returns the names of the endpoints that help with the prefill, for the log.
fn helped_by(plan: &job::PlacementPlan) -> String {
    let names = plan.helpers.iter().map(|helper| helper.endpoint.as_str());
    names.collect::<Vec<_>>().join(",")
}

/// Returns the parts that a prompt may share with others, for the log.
fn part_names(parts: &[ids::PartId]) -> String {
    let names = parts.iter().map(ids::PartId::to_string);
    names.collect::<Vec<_>>().join(",")
}

type ExchangeReply = (upstream::UpstreamConnection, http::Response<Incoming>);

/// A request being sent to an endpoint.
struct SentRequest {
    lease: JobLease,
    memory: reservations::MemoryLease,
    plan: job::PlacementPlan,
    /// Start time of the incarnation of the primary to which it was sent, Unix ms.
    started_ms: u64,
    placed_at: f64,
    exchange: Pin<Box<dyn Future<Output = upstream::Result<ExchangeReply>>>>,
}

impl SentRequest {
    /// Returns for how long it may still wait for a response once other endpoints are tried, ms.
    fn patience_ms(&self, now: f64) -> f64 {
        if self.memory.is_empty() {
            return f64::MAX;
        }
        let patience_ms = MAX_UNUSED_MEMORY_MS.max(UNUSED_MEMORY_FACTOR * self.plan.predicted_ms);
        self.placed_at + patience_ms - now
    }
}

/// Sends a request and waits for the header of its response. If a reused connection turns out to be
/// closed, the request is sent again over a new one, provided that it may run again and that the
/// endpoint still accepts requests.
async fn exchange(
    request: rc::Rc<ClientRequest>,
    primary: job::PlanMember,
    headers: http::HeaderMap,
) -> upstream::Result<ExchangeReply> {
    let mut force_new = !request.route_match.route.retry_safety.is_retryable();
    let mut first_error = None;
    loop {
        let connected = request.upstreams.connect(primary.address, force_new).await;
        let mut connection = match (connected, first_error.take()) {
            (Ok(connection), _) => {
                if !connection.is_reused() {
                    request.state.reach.record_connected(request.state.now());
                }
                connection
            }
            // The endpoint may have run the request and ended on it.
            (Err(_), Some(first_error)) => return Err(first_error),
            (Err(error), None) => return Err(error),
        };
        let mut outgoing = http::Request::builder()
            .method(request.method.clone())
            .uri(request.path.as_str())
            .body(Full::new(request.body.clone()))?;
        *outgoing.headers_mut() = headers.clone();
        match connection.exchange(outgoing).await {
            Err(error @ upstream::UpstreamError::Stale(_))
                if request.state.may_send(&primary.endpoint)
                    && request.quarantined_ms().is_none() =>
            {
                force_new = true;
                first_error = Some(error);
            }
            reply => return Ok((connection, reply?)),
        }
    }
}
