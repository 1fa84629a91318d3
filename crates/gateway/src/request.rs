//! One caller's request: looks for a place, sends it, and tries again where that is allowed.

use std::net;
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
use pool::routes;
use tokio::time;

use crate::answer;
use crate::reservations;
use crate::upstream;
use crate::world;

/// Shortest time given to a first event before another endpoint is tried, ms.
const LEAST_FIRST_WAIT_MS: f64 = 900.0;
/// Times the predicted wait after which a first event is taken for lost.
const FIRST_WAIT_FACTOR: f64 = 3.0;
/// Share of a caller's patience between events after which another endpoint is tried.
const PATIENCE_SHARE: f64 = 0.7;
/// Shortest patience of callers between two events, ms; from the users' protocol.
const LEAST_PATIENCE_MS: f64 = 2_000.0;
/// Objectives and pauses that callers wait at least; from the users' protocol.
const PATIENCE_FACTORS: (f64, f64) = (4.0, 8.0);
/// Share of the time left given to a plain call before another endpoint is tried.
const CALL_SHARE: f64 = 0.45;
/// Advice on when to come back after endpoints refused, ms.
const REFUSED_RETRY_MS: u64 = 300;
/// Largest failure answer of an endpoint that is kept to be passed on.
const FAILURE_BODY_BYTES: usize = 1024 * 1024;

/// A request as read from its caller.
pub(crate) struct CallerRequest {
    pub world: rc::Rc<world::DaemonWorld>,
    pub upstreams: rc::Rc<upstream::UpstreamPool>,
    pub found: routes::RouteMatch,
    pub hints: headers::CallerHints,
    pub method: http::Method,
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
    pub arrived: f64,
    pub deadline: f64,
}

impl CallerRequest {
    pub fn left_ms(&self) -> f64 {
        self.deadline - self.world.now()
    }

    /// Longest pause that the caller bears before and between events, ms.
    fn patience_ms(&self) -> f64 {
        let route = &self.found.route;
        let (objectives, pauses) = PATIENCE_FACTORS;
        let by_objective = objectives * millis::from_duration(route.latency_objective);
        let by_pause = pauses * millis::from_duration(route.gap_objective);
        LEAST_PATIENCE_MS.max(by_objective).max(by_pause)
    }
}

/// A place held for an attempt. Dropped, it is given back.
pub(crate) struct JobLease {
    world: rc::Rc<world::DaemonWorld>,
    pub job: job::JobId,
    over: bool,
}

impl JobLease {
    fn end(&mut self, end: job::JobOutcome) {
        self.over = true;
        self.world.end_job(self.job, end);
    }
}

impl Drop for JobLease {
    fn drop(&mut self) {
        if !self.over {
            self.world.withdraw_job(self.job);
        }
    }
}

/// An attempt that was sent.
pub(crate) struct ActiveAttempt {
    lease: JobLease,
    _memory: reservations::MemoryLease,
    connection: upstream::UpstreamConnection,
    pub plan: job::PlacementPlan,
    pub placed_at: f64,
    keep: Option<Duration>,
}

impl ActiveAttempt {
    pub fn job(&self) -> job::JobId {
        self.lease.job
    }

    /// The attempt gave all that it should.
    pub async fn complete(mut self, upstreams: &upstream::UpstreamPool) {
        self.lease.end(health::HealthSignal::Success.into());
        upstreams.put_back(self.connection, self.keep).await;
    }

    /// The attempt failed; its connection is cut.
    pub fn fail(mut self, sign: health::HealthSignal) {
        self.lease.end(sign.into());
    }
}

/// An endpoint's answer whose head is fine.
pub(crate) struct LiveAnswer {
    pub attempt: ActiveAttempt,
    pub status: http::StatusCode,
    pub headers: http::HeaderMap,
    pub body: Incoming,
}

/// A failure that an endpoint answered with, kept as a whole.
#[derive(Clone, Debug)]
pub(crate) struct EndpointFailure {
    pub status: http::StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

/// Why no answer can be had any more.
#[derive(Debug)]
pub(crate) enum GivenUp {
    Own(answer::OwnAnswer),
    /// The endpoint's own failure is passed on.
    Endpoint(EndpointFailure),
}

/// How an attempt went wrong.
struct AttemptFault {
    fate: attempts::ExecutionStatus,
    sign: health::HealthSignal,
    at_fault: Option<ids::EndpointId>,
    reason: &'static str,
    failure: Option<EndpointFailure>,
    /// The pool's own refusal: there is nothing to try again.
    declined: Option<answer::OwnAnswer>,
}

impl AttemptFault {
    fn not_run(sign: health::HealthSignal, reason: &'static str) -> Self {
        Self {
            fate: attempts::ExecutionStatus::NotRun,
            sign,
            at_fault: None,
            reason,
            failure: None,
            declined: None,
        }
    }

    fn may_have_run(sign: health::HealthSignal, reason: &'static str) -> Self {
        Self {
            fate: attempts::ExecutionStatus::MayHaveRun,
            ..Self::not_run(sign, reason)
        }
    }

    fn declined(answer: answer::OwnAnswer) -> Self {
        Self {
            declined: Some(answer),
            ..Self::not_run(health::HealthSignal::Inconclusive, "declined")
        }
    }
}

/// The attempts of one request.
pub(crate) struct RequestRun {
    pub request: rc::Rc<CallerRequest>,
    pub last_event: Option<u64>,
    attempts: u32,
    runs: u32,
    ran: bool,
    avoid: Vec<ids::EndpointId>,
    failure: Option<EndpointFailure>,
    /// An exchange that is silent, kept until another one answers.
    held: Option<SentRequest>,
}

impl RequestRun {
    pub fn new(request: CallerRequest) -> Self {
        Self {
            last_event: request.hints.last_event,
            request: rc::Rc::new(request),
            attempts: 0,
            runs: 0,
            ran: false,
            avoid: Vec::new(),
            failure: None,
            held: None,
        }
    }

    /// Tries endpoints until one begins to answer.
    pub async fn next_answer(&mut self) -> Result<LiveAnswer, GivenUp> {
        loop {
            let fault = match self.attempt().await {
                Ok(answer) => return Ok(answer),
                Err(fault) => fault,
            };
            if let Some(given_up) = self.after_fault(fault) {
                return Err(given_up);
            }
        }
    }

    /// A begun answer broke off or went silent: looks for an endpoint that goes on with it.
    pub async fn go_on(
        &mut self,
        plan: &job::PlacementPlan,
        sign: health::HealthSignal,
        reason: &'static str,
    ) -> Result<LiveAnswer, GivenUp> {
        self.avoid.push(plan.primary.endpoint.clone());
        let fault = AttemptFault::may_have_run(sign, reason);
        match self.after_fault(fault) {
            None => self.next_answer().await,
            Some(given_up) => Err(given_up),
        }
    }

    fn log_fault(&self, fault: &AttemptFault) {
        self.request.world.metrics.attempt(fault.reason);
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt,
            reason = fault.reason; "held attempt failed");
    }

    fn after_fault(&mut self, fault: AttemptFault) -> Option<GivenUp> {
        let world = &self.request.world;
        world.metrics.attempt(fault.reason);
        if fault.failure.is_some() {
            self.failure = fault.failure;
        }
        let step = match fault.declined {
            Some(_) => None,
            None => {
                self.attempts += 1;
                let ran = fault.fate == attempts::ExecutionStatus::MayHaveRun;
                self.runs += u32::from(ran);
                let step = attempts::next_step(&attempts::AttemptRecord {
                    retry_safety: self.request.found.route.retry_safety,
                    execution: fault.fate,
                    ran_before: self.ran,
                    runs: self.runs,
                    attempts: self.attempts,
                    max_attempts: self.request.found.route.max_attempts,
                    remaining_ms: self.request.left_ms(),
                });
                self.ran = self.ran || ran;
                Some(step)
            }
        };
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt,
            reason = fault.reason, ran:% = self.ran, attempts = self.attempts,
            left_ms = self.request.left_ms(), step:? = step; "attempt failed");
        if step == Some(attempts::NextStep::TryAgain) {
            return None;
        }
        Some(self.give_up(fault.declined))
    }

    fn give_up(&mut self, declined: Option<answer::OwnAnswer>) -> GivenUp {
        if let Some(failure) = self.failure.take() {
            return GivenUp::Endpoint(failure);
        }
        let late = self.request.left_ms() <= 0.0;
        let own = match (self.ran, late, declined) {
            (true, true, _) => answer::OwnAnswer::TimedOut,
            (true, false, _) => answer::OwnAnswer::Failed,
            (false, _, Some(declined)) => declined,
            (false, _, None) => answer::OwnAnswer::NotRun {
                reason: "endpoints_refused",
                retry_after_ms: REFUSED_RETRY_MS,
            },
        };
        GivenUp::Own(own)
    }

    /// Whether another endpoint may be tried after one that is silent.
    fn may_try_more(&self) -> bool {
        let route = &self.request.found.route;
        route.retry_safety.is_retryable() && self.runs + 1 < route.max_attempts
    }

    /// Time that a first event may take, ms.
    pub fn first_wait_ms(&self, plan: &job::PlacementPlan) -> f64 {
        let left = self.request.left_ms();
        if !self.may_try_more() {
            return left;
        }
        let wait = if self.request.found.route.retry_safety.is_stream() {
            let most = PATIENCE_SHARE * self.request.patience_ms();
            let least = LEAST_FIRST_WAIT_MS.min(most);
            (FIRST_WAIT_FACTOR * plan.predicted_ms).clamp(least, most)
        } else {
            (CALL_SHARE * left).max(FIRST_WAIT_FACTOR * plan.predicted_ms)
        };
        wait.min(left)
    }

    /// Time that the next event may take, ms.
    pub fn pause_wait_ms(&self) -> f64 {
        let left = self.request.left_ms();
        if !self.may_try_more() {
            return left;
        }
        left.min(PATIENCE_SHARE * self.request.patience_ms())
    }

    async fn attempt(&mut self) -> Result<LiveAnswer, AttemptFault> {
        let world = self.request.world.clone();
        let lease = JobLease {
            job: world.new_job(),
            world,
            over: false,
        };
        let sent = match self.place(lease.job).await {
            Ok(plan) => self.send(lease, plan).await,
            Err(fault) => Err(fault),
        };
        match (sent, self.held.take()) {
            (Ok(sent), held) => self.first_of(sent, held).await,
            // There is no better place: the silent one is all there is.
            (Err(fault), Some(held)) if fault.declined.is_some() => {
                let left = self.request.left_ms();
                self.held_answer(held, left).await
            }
            (Err(fault), held) => {
                self.held = held;
                Err(fault)
            }
        }
    }

    /// Waits for the first of two exchanges; the other one is cut.
    async fn first_of(
        &mut self,
        mut sent: SentRequest,
        mut held: Option<SentRequest>,
    ) -> Result<LiveAnswer, AttemptFault> {
        let limit = time::sleep(millis::to_duration(self.first_wait_ms(&sent.plan)));
        tokio::pin!(limit);
        loop {
            let earlier = async {
                match held.as_mut() {
                    Some(held) => held.exchange.as_mut().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                reply = sent.exchange.as_mut() => {
                    let answer = self.answer_of(sent, reply).await;
                    self.held = held.filter(|_| answer.is_err());
                    return answer;
                }
                reply = earlier => {
                    let Some(earlier) = held.take() else {
                        continue;
                    };
                    match self.answer_of(earlier, reply).await {
                        Ok(answer) => return Ok(answer),
                        Err(fault) => self.log_fault(&fault),
                    }
                }
                () = &mut limit => {
                    self.avoid.push(sent.plan.primary.endpoint.clone());
                    self.held = Some(sent);
                    return Err(AttemptFault::may_have_run(
                        health::HealthSignal::TimedOut,
                        "no_answer_in_time",
                    ));
                }
            }
        }
    }

    async fn held_answer(
        &mut self,
        mut held: SentRequest,
        wait_ms: f64,
    ) -> Result<LiveAnswer, AttemptFault> {
        match time::timeout(millis::to_duration(wait_ms), held.exchange.as_mut()).await {
            Ok(reply) => self.answer_of(held, reply).await,
            Err(_) => {
                let sign = health::HealthSignal::TimedOut;
                held.lease.end(sign.into());
                Err(AttemptFault::may_have_run(sign, "no_answer_in_time"))
            }
        }
    }

    /// Turns the reply to an exchange into an answer, or ends its attempt.
    async fn answer_of(
        &mut self,
        sent: SentRequest,
        reply: upstream::Result<Exchanged>,
    ) -> Result<LiveAnswer, AttemptFault> {
        let SentRequest {
            mut lease,
            memory,
            plan,
            placed_at,
            exchange: _,
        } = sent;
        let judged = match reply {
            Ok((connection, response)) => {
                let keep = upstream::kept_for(response.headers());
                let judged = self.judge(response, &plan).await;
                judged.map(|parts| (connection, keep, parts))
            }
            Err(error) => Err(self.exchange_fault(&plan, &error)),
        };
        match judged {
            Ok((connection, keep, (status, headers, body))) => Ok(LiveAnswer {
                attempt: ActiveAttempt {
                    lease,
                    _memory: memory,
                    connection,
                    plan,
                    placed_at,
                    keep,
                },
                status,
                headers,
                body,
            }),
            Err(fault) => {
                self.end_at_fault(&mut lease, &plan, &fault);
                Err(fault)
            }
        }
    }

    fn end_at_fault(
        &mut self,
        lease: &mut JobLease,
        plan: &job::PlacementPlan,
        fault: &AttemptFault,
    ) {
        let avoided = fault.at_fault.as_ref().unwrap_or(&plan.primary.endpoint);
        self.avoid.push(avoided.clone());
        lease.end(job::JobOutcome {
            signal: fault.sign,
            at_fault: fault.at_fault.clone(),
        });
    }

    fn exchange_fault(
        &self,
        plan: &job::PlacementPlan,
        error: &upstream::UpstreamError,
    ) -> AttemptFault {
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt,
            endpoint:% = plan.primary.endpoint, error:% = error; "exchange failed");
        match error {
            upstream::UpstreamError::Connect(_) => {
                AttemptFault::not_run(health::HealthSignal::Unreachable, "unreachable")
            }
            upstream::UpstreamError::Unsendable(_) => {
                AttemptFault::not_run(health::HealthSignal::Inconclusive, "unsendable")
            }
            upstream::UpstreamError::Broken(_) | upstream::UpstreamError::Stale(_) => {
                AttemptFault::may_have_run(health::HealthSignal::Failed, "connection_broke")
            }
        }
    }

    async fn place(&self, job: job::JobId) -> Result<job::PlacementPlan, AttemptFault> {
        let request = &self.request;
        let world = &request.world;
        let asked_at = world.now();
        let ask = self.ask(asked_at);
        let verdict = time::timeout(
            millis::to_duration(request.left_ms()),
            world.place(job, ask),
        )
        .await;
        let waited = world.now() - asked_at;
        match verdict {
            Ok(Some(job::PlacementDecision::Placed(plan))) => {
                world.metrics.placement("placed", waited);
                let (tokens, answer_tokens) = request.hints.tokens.unwrap_or_default();
                log::info!(target: "sardinepaddle", request = request.hints.attempt,
                    job = job.number, endpoint:% = plan.primary.endpoint,
                    prompt_tokens = tokens, answer_tokens, helped_by = helped_by(&plan),
                    helpers = plan.helpers.len(), predicted_ms = plan.predicted_ms,
                    waited_ms = waited, left_ms = request.left_ms(),
                    data_age_ms = world.data_age(); "request placed");
                Ok(plan)
            }
            Ok(Some(job::PlacementDecision::Declined {
                reason,
                retry_after_ms,
            })) => {
                world.metrics.placement(reason.name(), waited);
                log::info!(target: "sardinepaddle", request = request.hints.attempt,
                    job = job.number, reason = reason.name(), retry_after_ms,
                    waited_ms = waited, data_age_ms = world.data_age(); "request declined");
                Err(AttemptFault::declined(answer::OwnAnswer::NotRun {
                    reason: reason.name(),
                    retry_after_ms,
                }))
            }
            Ok(None) | Err(_) => {
                world.metrics.placement("deadline_passed", waited);
                Err(AttemptFault::declined(answer::OwnAnswer::NotRun {
                    reason: "deadline_passed",
                    retry_after_ms: REFUSED_RETRY_MS,
                }))
            }
        }
    }

    fn ask(&self, now: f64) -> job::PlacementRequest {
        let request = &self.request;
        let route = &request.found.route;
        let full_objective_ms = millis::from_duration(route.latency_objective);
        let shape = match request.hints.tokens {
            Some((tokens, answer_tokens)) => job::JobKind::Prompt {
                tokens,
                answer_tokens,
            },
            None => job::JobKind::Call,
        };
        job::PlacementRequest {
            route: route.name.clone(),
            service: request.found.service.clone(),
            kind: shape,
            centre: request.world.settings().data_centre.clone(),
            objective_remaining_ms: request.arrived + full_objective_ms - now,
            full_objective_ms,
            gap_objective_ms: millis::from_duration(route.gap_objective),
            abandon_after_ms: request.patience_ms(),
            remaining_ms: request.left_ms(),
            priority: request.found.priority,
            excluded: self.avoid.clone(),
            is_retry: self.runs > 0 || self.attempts > 0,
        }
    }

    /// Sends a request where a plan says; the exchange goes on by itself when polled.
    async fn send(
        &mut self,
        mut lease: JobLease,
        plan: job::PlacementPlan,
    ) -> Result<SentRequest, AttemptFault> {
        let request = self.request.clone();
        let placed_at = request.world.now();
        let prepared = if request.world.known().takes_work(&plan.primary.endpoint) {
            let upstreams = &request.upstreams;
            let memory = reservations::MemoryLease::reserve(upstreams, lease.job, &plan.helpers);
            memory.await.map_err(|endpoint| AttemptFault {
                at_fault: Some(endpoint),
                ..AttemptFault::not_run(health::HealthSignal::Full, "memory_refused")
            })
        } else {
            let sign = health::HealthSignal::Inconclusive;
            Err(AttemptFault::not_run(sign, "endpoint_left"))
        };
        let memory = match prepared {
            Ok(memory) => memory,
            Err(fault) => {
                self.end_at_fault(&mut lease, &plan, &fault);
                return Err(fault);
            }
        };
        let headers = self.outgoing_headers(&lease, &plan);
        let exchange = Box::pin(exchange(request, plan.primary.address, headers));
        Ok(SentRequest {
            lease,
            memory,
            plan,
            placed_at,
            exchange,
        })
    }

    fn outgoing_headers(&self, lease: &JobLease, plan: &job::PlacementPlan) -> http::HeaderMap {
        let request = &self.request;
        let helpers: Vec<headers::HelperSlot> = plan
            .helpers
            .iter()
            .map(|helper| headers::HelperSlot {
                address: helper.address,
                reservation: (helper.reserve_tokens > 0)
                    .then(|| reservations::reservation_id(lease.job, helper)),
            })
            .collect();
        headers::for_endpoint(
            &request.headers,
            &headers::SendOrder {
                endpoint: &plan.primary.endpoint,
                left: millis::to_duration(request.left_ms()),
                customer: request.found.customer.as_ref(),
                priority: request.hints.tokens.is_some().then_some(plan.priority),
                helpers: &helpers,
                last_event: self.last_event,
            },
        )
    }

    /// Says whether an answer's head is that of a good answer to this request.
    async fn judge(
        &self,
        response: http::Response<Incoming>,
        plan: &job::PlacementPlan,
    ) -> Result<(http::StatusCode, http::HeaderMap, Incoming), AttemptFault> {
        let (parts, body) = response.into_parts();
        let marks = headers::read_marks(parts.status, &parts.headers);
        let own = &self.request.hints.attempt;
        let crossed = marks.attempt.as_ref().is_some_and(|other| other != own);
        if crossed {
            log::warn!(target: "sardinepaddle", request = own, endpoint:% = plan.primary.endpoint,
                other = marks.attempt; "answer to another request dropped");
            return Err(AttemptFault::may_have_run(
                health::HealthSignal::Failed,
                "crossed_answer",
            ));
        }
        if marks.not_run {
            let sign = if marks.misdirected {
                health::HealthSignal::Unreachable
            } else {
                health::HealthSignal::Full
            };
            let members = std::iter::once(&plan.primary).chain(&plan.helpers);
            let at_fault = marks.at_fault.as_ref().and_then(|name| {
                let mut members = members;
                let member = members.find(|member| {
                    member.endpoint.as_str() == name || member.address.to_string() == *name
                });
                member.map(|member| member.endpoint.clone())
            });
            log::info!(target: "sardinepaddle", request = own, endpoint:% = plan.primary.endpoint,
                status = parts.status.as_u16(), at_fault = marks.at_fault;
                "endpoint has not run the request");
            return Err(AttemptFault {
                at_fault,
                ..AttemptFault::not_run(sign, "endpoint_refused")
            });
        }
        if parts.status.is_success() {
            let sound = marks.signed && !marks.encoded && marks.attempt.is_some();
            if sound {
                return Ok((parts.status, parts.headers, body));
            }
            return Err(AttemptFault::may_have_run(
                health::HealthSignal::Failed,
                "unsound_answer",
            ));
        }
        log::info!(target: "sardinepaddle", request = own, endpoint:% = plan.primary.endpoint,
            status = parts.status.as_u16(); "endpoint answered with a failure");
        let mut fault = AttemptFault::may_have_run(health::HealthSignal::Failed, "endpoint_failed");
        if parts.status.is_client_error() {
            fault.sign = health::HealthSignal::Inconclusive;
        }
        let limited = http_body_util::Limited::new(body, FAILURE_BODY_BYTES);
        let whole = time::timeout(
            millis::to_duration(self.request.left_ms()),
            limited.collect(),
        )
        .await;
        if let Ok(Ok(whole)) = whole {
            // A status that promises that nothing ran is not passed on without the proof.
            fault.failure = (!marks.promises_not_run).then(|| EndpointFailure {
                status: parts.status,
                headers: parts.headers,
                body: whole.to_bytes(),
            });
        }
        Err(fault)
    }
}

/// Names of the endpoints that help to read a prompt, for the log.
fn helped_by(plan: &job::PlacementPlan) -> String {
    let names = plan.helpers.iter().map(|helper| helper.endpoint.as_str());
    names.collect::<Vec<_>>().join(",")
}

type Exchanged = (upstream::UpstreamConnection, http::Response<Incoming>);

/// A request on its way to an endpoint.
struct SentRequest {
    lease: JobLease,
    memory: reservations::MemoryLease,
    plan: job::PlacementPlan,
    placed_at: f64,
    exchange: Pin<Box<dyn Future<Output = upstream::Result<Exchanged>>>>,
}

/// Sends a request and waits for the head of its answer. A kept connection that was closed
/// meanwhile is replaced by a fresh one if the request may run again.
async fn exchange(
    request: rc::Rc<CallerRequest>,
    address: net::SocketAddr,
    headers: http::HeaderMap,
) -> upstream::Result<Exchanged> {
    let mut fresh = !request.found.route.retry_safety.is_retryable();
    loop {
        let mut connection = request.upstreams.connect(address, fresh).await?;
        let mut outgoing = http::Request::builder()
            .method(request.method.clone())
            .uri(request.path.as_str())
            .body(Full::new(request.body.clone()))?;
        *outgoing.headers_mut() = headers.clone();
        match connection.exchange(outgoing).await {
            Err(upstream::UpstreamError::Stale(_)) => fresh = true,
            reply => return Ok((connection, reply?)),
        }
    }
}
