//! One attempt to serve a request on an endpoint: what is sent, what comes back, and how it ends.

use std::pin::Pin;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use model::ids;
use model::millis;
use platform::headers;
use pool::attempts;
use pool::health;
use pool::job;
use tokio::time;

use crate::byte_account;
use crate::forward;
use crate::reach;
use crate::request;
use crate::reservations;
use crate::response;
use crate::retry_permit;
use crate::state;
use crate::upstream;

/// Time from its placement for which an attempt that holds reserved memory waits for a response, ms,
/// if it may be repeated: endpoints may leave the memory unused for nine seconds, set by the users'
/// protocol.
const MAX_UNUSED_MEMORY_MS: f64 = 8_000.0;
/// Multiple of the predicted time for which such an attempt waits at least.
const UNUSED_MEMORY_FACTOR: f64 = 2.0;
/// `Retry-After` when endpoints refused the request, ms.
pub(crate) const REFUSED_RETRY_AFTER_MS: u64 = 300;
/// `Retry-After` when the retry budget is used up, ms; spreads clients that were refused together.
const BUDGET_RETRY_AFTER_MS: std::ops::Range<u64> = 400..1_600;
/// Maximum size of an endpoint's failure response that is buffered for the client, bytes.
const MAX_FAILURE_BODY_BYTES: usize = 1024 * 1024;

/// A placement held for an attempt. Cancelled on drop unless it has ended; forwarded requests have
/// none.
pub(crate) struct JobLease {
    state: rc::Rc<state::DaemonState>,
    pub job: job::JobId,
    ended: bool,
}

impl JobLease {
    /// Creates the lease of an attempt for which a placement is requested.
    pub fn new(state: &rc::Rc<state::DaemonState>) -> Self {
        Self {
            job: state.next_job_id(),
            state: state.clone(),
            ended: false,
        }
    }

    /// Ends the attempt.
    pub fn end(&mut self, mut outcome: job::JobOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if self.state.reach.is_cut_off() && outcome.signal != health::HealthSignal::Success {
            // It shows nothing about the endpoint, which others may reach.
            outcome.signal = health::HealthSignal::Inconclusive;
        }
        self.state.finish_job(self.job, outcome);
    }

    /// Ends the attempt as failed.
    pub fn end_failed(&mut self, error: &AttemptError) {
        self.end(job::JobOutcome {
            signal: error.signal,
            at_fault: error.at_fault.clone(),
            responded: error.responded,
        });
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
    pub fn complete(mut self, upstreams: &rc::Rc<upstream::UpstreamPool>) {
        self.lease.end(health::HealthSignal::Success.into());
        upstreams.put_back(self.connection, self.keep_alive);
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

/// A failed attempt.
pub(crate) struct AttemptError {
    pub execution: attempts::ExecutionStatus,
    pub signal: health::HealthSignal,
    /// The endpoint that caused the failure; `None` for the primary of the plan.
    pub at_fault: Option<ids::EndpointId>,
    /// Whether the endpoint responded.
    pub responded: bool,
    pub reason: &'static str,
    /// Whether it wasn't sent, as an endpoint of its plan was closed in the meantime.
    pub is_unsent: bool,
    pub failure: Option<EndpointFailure>,
    /// Set if the placement was declined, in which case there is no retry.
    pub declined: Option<response::LocalResponse>,
}

impl AttemptError {
    pub fn not_run(signal: health::HealthSignal, reason: &'static str) -> Self {
        Self {
            execution: attempts::ExecutionStatus::NotRun,
            signal,
            at_fault: None,
            responded: false,
            reason,
            is_unsent: false,
            failure: None,
            declined: None,
        }
    }

    pub fn may_have_run(signal: health::HealthSignal, reason: &'static str) -> Self {
        Self {
            execution: attempts::ExecutionStatus::MayHaveRun,
            ..Self::not_run(signal, reason)
        }
    }

    pub fn declined(response: response::LocalResponse) -> Self {
        Self {
            declined: Some(response),
            ..Self::not_run(health::HealthSignal::Inconclusive, "declined")
        }
    }
}

/// The header of a response to a request that was sent.
pub(crate) struct ExchangeReply {
    connection: upstream::UpstreamConnection,
    response: http::Response<Incoming>,
    /// Whether the request was sent before on a connection that broke, and may have run.
    ran_before: bool,
}

/// A request being sent to an endpoint.
pub(crate) struct SentRequest {
    pub lease: JobLease,
    memory: reservations::MemoryLease,
    pub plan: job::PlacementPlan,
    /// When it was sent, ms since the start of the process.
    pub sent_at: f64,
    /// Start time of the incarnation of the primary to which it was sent, Unix ms.
    started_ms: u64,
    placed_at: f64,
    pub exchange: Pin<Box<dyn Future<Output = upstream::Result<ExchangeReply>>>>,
}

impl SentRequest {
    /// Starts to send a request according to a plan; the exchange makes progress when polled.
    pub fn start(
        request: &rc::Rc<request::ClientRequest>,
        lease: JobLease,
        memory: reservations::MemoryLease,
        plan: job::PlacementPlan,
        placed_at: f64,
        last_event: Option<u64>,
        permit: Option<retry_permit::RetryPermit>,
    ) -> Self {
        let state = &request.state;
        let started_ms = state.started_ms(&plan.primary.endpoint);
        for member in plan.members() {
            state.record_send(&member.endpoint);
        }
        let headers = outgoing_headers(request, &lease, &plan, last_event);
        let exchange = Box::pin(exchange(
            request.clone(),
            plan.primary.clone(),
            headers,
            permit,
        ));
        Self {
            lease,
            memory,
            plan,
            sent_at: state.now(),
            started_ms,
            placed_at,
            exchange,
        }
    }

    /// Returns for how long it may still wait for a response once other endpoints are tried, ms.
    pub fn patience_ms(&self, now: f64) -> f64 {
        if self.memory.is_empty() {
            return f64::MAX;
        }
        self.placed_at + unused_memory_ms(&self.plan) - now
    }

    /// Converts the reply of the exchange into a response, or ends the attempt.
    pub async fn finish(
        self,
        request: &request::ClientRequest,
        reply: upstream::Result<ExchangeReply>,
    ) -> Result<EndpointResponse, AttemptError> {
        let Self {
            mut lease,
            memory,
            plan,
            sent_at: _,
            started_ms,
            placed_at,
            exchange: _,
        } = self;
        let checked = match reply {
            Ok(ExchangeReply {
                connection,
                response,
                ran_before,
            }) => {
                record_notice(
                    request,
                    &plan.primary.endpoint,
                    started_ms,
                    placed_at,
                    &response,
                );
                let keep_alive = upstream::keep_alive_timeout(response.headers());
                let reused = connection.is_reused();
                let checked = check_response(request, response, &plan, reused).await;
                match checked {
                    Ok(parts) => Ok((connection, keep_alive, parts)),
                    Err(error) if ran_before => Err(AttemptError {
                        execution: attempts::ExecutionStatus::MayHaveRun,
                        ..error
                    }),
                    Err(error) => Err(error),
                }
            }
            Err(error) => {
                reach::check(&request.state, &plan.primary.endpoint).await;
                Err(exchange_error(request, &plan, &error))
            }
        };
        if checked.is_ok() {
            memory.mark_used();
        }
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
                lease.end_failed(&error);
                Err(error)
            }
        }
    }
}

/// Returns the time from its placement for which an attempt may hold reserved memory without a
/// response, ms.
pub(crate) fn unused_memory_ms(plan: &job::PlacementPlan) -> f64 {
    MAX_UNUSED_MEMORY_MS.max(UNUSED_MEMORY_FACTOR * plan.predicted_ms)
}

/// Records what a response states about its endpoint, unless another one has its address.
fn record_notice(
    request: &request::ClientRequest,
    endpoint: &ids::EndpointId,
    started_ms: u64,
    sent_at: f64,
    response: &http::Response<Incoming>,
) {
    let (status, headers) = (response.status(), response.headers());
    if !headers::parse_marks(status, headers).misdirected {
        let notice = headers::parse_notice(status, headers);
        let state = &request.state;
        state.record_notice(endpoint, started_ms, notice, Some(sent_at));
    }
}

fn exchange_error(
    request: &request::ClientRequest,
    plan: &job::PlacementPlan,
    error: &upstream::UpstreamError,
) -> AttemptError {
    log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
        endpoint:% = plan.primary.endpoint, error:% = error; "exchange failed");
    match error {
        upstream::UpstreamError::Connect(_) => {
            AttemptError::not_run(health::HealthSignal::Unreachable, "unreachable")
        }
        upstream::UpstreamError::Unsendable(_) => {
            AttemptError::not_run(health::HealthSignal::Inconclusive, "unsendable")
        }
        upstream::UpstreamError::BudgetExhausted => budget_error(request),
        upstream::UpstreamError::Broken(_) | upstream::UpstreamError::Stale(_) => {
            AttemptError::may_have_run(health::HealthSignal::Failed, "connection_broke")
        }
    }
}

/// Checks that a response is a valid success for this request and converts it to an error
/// otherwise. `reused` tells whether its connection was used before.
async fn check_response(
    request: &request::ClientRequest,
    response: http::Response<Incoming>,
    plan: &job::PlacementPlan,
    reused: bool,
) -> Result<(http::StatusCode, http::HeaderMap, Incoming), AttemptError> {
    let (parts, body) = response.into_parts();
    let marks = headers::parse_marks(parts.status, &parts.headers);
    let own_attempt = &request.hints.attempt_id;
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
    if !is_final(parts.status) {
        log::warn!(target: "sardinepaddle", request = own_attempt, endpoint:% = plan.primary.endpoint,
            status = parts.status.as_u16(); "response without a valid final status dropped");
        return Err(AttemptError {
            responded: true,
            ..AttemptError::may_have_run(health::HealthSignal::Failed, "invalid_status")
        });
    }
    if marks.not_run {
        let signal = if marks.misdirected {
            health::HealthSignal::Unreachable
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
    let failure = read_failure(request, parts, body).await;
    error.failure = failure.filter(|_| !marks.implies_not_run);
    Err(error)
}

/// Whether a status may end a request. No client asks for another protocol, so 101 doesn't either.
fn is_final(status: http::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads a failure response, unless it is too large or breaks off.
async fn read_failure(
    request: &request::ClientRequest,
    parts: http::response::Parts,
    body: Incoming,
) -> Option<EndpointFailure> {
    let kind = byte_account::BodyKind::Response;
    let bodies = &request.state.bodies;
    let collecting = bodies.collect(kind, body, MAX_FAILURE_BODY_BYTES);
    let remaining = millis::to_duration(request.remaining_ms());
    let body = time::timeout(remaining, collecting).await.ok()?.ok()?;
    Some(EndpointFailure {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

/// Converts the response of the daemon to which the request was forwarded. Its failures are
/// final, as it has made the attempts that the request may have.
pub(crate) async fn accept_forwarded(
    request: &request::ClientRequest,
    forwarded: forward::ForwardedResponse,
    may_have_run: bool,
) -> Result<EndpointResponse, AttemptError> {
    let state = &request.state;
    let (parts, body) = forwarded.response.into_parts();
    let marks = headers::parse_marks(parts.status, &parts.headers);
    if !parts.status.is_success() {
        let failure = read_failure(request, parts, body).await;
        // The other daemon doesn't know what this one has sent.
        let failure = failure
            .filter(|failure| is_final(failure.status))
            .filter(|_| !(may_have_run && marks.implies_not_run));
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
    let mut lease = JobLease::new(state);
    // It was placed by the other daemon.
    lease.ended = true;
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

/// Returns the error of a request on which endpoints crash.
pub(crate) fn quarantined_error(request: &request::ClientRequest) -> Option<AttemptError> {
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

/// Returns the error of a request that this daemon might not finish before it exits.
pub(crate) fn shutdown_error() -> AttemptError {
    AttemptError::declined(response::SHUTTING_DOWN)
}

/// Returns the error of a request that may not be sent again.
pub(crate) fn budget_error(request: &request::ClientRequest) -> AttemptError {
    let reason = job::DeclineReason::RetryBudget.name();
    request.state.metrics.placement(reason, 0.0);
    AttemptError::declined(response::LocalResponse::NotRun {
        reason,
        retry_after_ms: rand::random_range(BUDGET_RETRY_AFTER_MS),
    })
}

fn outgoing_headers(
    request: &request::ClientRequest,
    lease: &JobLease,
    plan: &job::PlacementPlan,
    last_event: Option<u64>,
) -> http::HeaderMap {
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
            last_event_id: last_event,
        },
    )
}

/// Returns the names of the endpoints that help with the prefill, for the log.
pub(crate) fn helped_by(plan: &job::PlacementPlan) -> String {
    let names = plan.helpers.iter().map(|helper| helper.endpoint.as_str());
    names.collect::<Vec<_>>().join(",")
}

/// Returns the parts that a prompt may share with others, for the log.
pub(crate) fn part_names(parts: &[ids::PartId]) -> String {
    let names = parts.iter().map(ids::PartId::to_string);
    names.collect::<Vec<_>>().join(",")
}

/// Sends a request and waits for the header of its response; each sending but the first takes a retry
/// from the budget, `permit` if there is one. If a reused connection turns out to be closed, the
/// request is sent again over a new one, provided that it may run again and that the endpoint still
/// accepts requests.
async fn exchange(
    request: rc::Rc<request::ClientRequest>,
    primary: job::PlanMember,
    mut headers: http::HeaderMap,
    mut permit: Option<retry_permit::RetryPermit>,
) -> upstream::Result<ExchangeReply> {
    let mut force_new = !request.route_match.route.retry_safety.is_retryable();
    let mut first_error = None;
    loop {
        let held = match permit.take() {
            Some(permit) => Ok(Some(permit)),
            None => request.acquire_if_repeat(),
        };
        let Ok(held) = held else {
            return Err(first_error.unwrap_or(upstream::UpstreamError::BudgetExhausted));
        };
        let connected = request.upstreams.connect(primary.address, force_new).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            // The endpoint may have run the request and ended on it.
            Err(error) => return Err(first_error.unwrap_or(error)),
        };
        if !connection.is_reused() {
            request.state.reach.record_connected(request.state.now());
        }
        let remaining = millis::to_duration(request.remaining_ms());
        headers::set_deadline(&mut headers, remaining);
        let mut outgoing = http::Request::builder()
            .method(request.method.clone())
            .uri(request.path.as_str())
            .body(Full::new(request.body.clone()))?;
        *outgoing.headers_mut() = headers.clone();
        let reason = match first_error {
            Some(_) => "connection_closed",
            None => "attempt",
        };
        if let Some(permit) = held {
            permit.record_sending();
        }
        request.record_sending(&primary.endpoint, reason);
        match connection.exchange(outgoing).await {
            Err(error @ upstream::UpstreamError::Stale(_))
                if request.state.may_send(&primary.endpoint)
                    && request.quarantined_ms().is_none() =>
            {
                force_new = true;
                first_error = Some(error);
            }
            reply => {
                return Ok(ExchangeReply {
                    response: reply?,
                    connection,
                    ran_before: first_error.is_some(),
                });
            }
        }
    }
}
