//! Passes an answer on to the caller: whole, or event by event, going on at another endpoint
//! where the stream allows it.

use std::rc;

use bytes::Bytes;
use futures_util::Stream;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use model::millis;
use platform::headers;
use pool::health;
use tokio::time;

use crate::answer;
use crate::events;
use crate::request;

/// Why an answer broke off; the caller's connection is cut, so that it does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("answer broke off: {0}")]
pub(crate) struct RelayError(pub &'static str);

/// Runs a request until its answer, or the beginning of a streamed one, is there.
pub(crate) async fn run(mut run: request::RequestRun) -> http::Response<answer::AnswerBody> {
    let request = run.request.clone();
    let over = Outcome::new(&request);
    let mut next = run.next_answer().await;
    loop {
        let live = match next {
            Ok(live) => live,
            Err(given_up) => return over.refuse(given_up),
        };
        if request.found.route.retry_safety.is_stream() {
            return stream(run, live, over);
        }
        match collect(&request, live).await {
            Ok(response) => {
                over.end("answered", "complete");
                return response;
            }
            Err((attempt, sign, reason)) => {
                let plan = attempt.plan.clone();
                attempt.fail(sign);
                next = run.go_on(&plan, sign, reason).await;
            }
        }
    }
}

/// Logs and counts the end of a request, also if the caller goes away before it.
struct Outcome {
    request: rc::Rc<request::CallerRequest>,
    told: std::cell::Cell<bool>,
}

impl Outcome {
    fn new(request: &rc::Rc<request::CallerRequest>) -> Self {
        let world = &request.world;
        world.active.set(world.active.get() + 1);
        Self {
            request: request.clone(),
            told: std::cell::Cell::new(false),
        }
    }

    fn end(&self, outcome: &'static str, reason: &'static str) {
        if self.told.replace(true) {
            return;
        }
        let world = &self.request.world;
        let route = self.request.found.route.name.as_str();
        let took = world.now() - self.request.arrived;
        world.metrics.request(route, outcome, reason, took);
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt, route, outcome,
            reason, took_ms = took, left_ms = self.request.left_ms(); "request ended");
    }

    fn refuse(&self, given_up: request::GivenUp) -> http::Response<answer::AnswerBody> {
        match given_up {
            request::GivenUp::Own(own) => {
                let outcome = match own {
                    answer::OwnAnswer::NotRun { .. } => "not_run",
                    _ => "failed",
                };
                self.end(outcome, own.reason());
                answer::own(own)
            }
            request::GivenUp::Endpoint(failure) => {
                self.end("failed", "endpoint_answer");
                let mut response = http::Response::new(answer::whole(failure.body));
                *response.status_mut() = failure.status;
                *response.headers_mut() = passed_on(&failure.headers);
                response
            }
        }
    }
}

impl Drop for Outcome {
    fn drop(&mut self) {
        self.end("abandoned", "caller_gone");
        let world = &self.request.world;
        world.active.set(world.active.get() - 1);
    }
}

fn passed_on(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers::end_to_end(headers);
    // The daemon frames the body itself.
    kept.remove(header::CONTENT_LENGTH);
    kept
}

type Broken = (request::ActiveAttempt, health::HealthSignal, &'static str);

async fn collect(
    request: &request::CallerRequest,
    live: request::LiveAnswer,
) -> Result<http::Response<answer::AnswerBody>, Broken> {
    let limit = millis::to_duration(request.left_ms());
    let whole = match time::timeout(limit, live.body.collect()).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(_)) => return Err((live.attempt, health::HealthSignal::Failed, "answer_torn")),
        Err(_) => return Err((live.attempt, health::HealthSignal::TimedOut, "answer_late")),
    };
    live.attempt.complete(&request.upstreams).await;
    let mut response = http::Response::new(answer::whole(whole));
    *response.status_mut() = live.status;
    *response.headers_mut() = passed_on(&live.headers);
    Ok(response)
}

fn stream(
    run: request::RequestRun,
    live: request::LiveAnswer,
    over: Outcome,
) -> http::Response<answer::AnswerBody> {
    let status = live.status;
    let headers = passed_on(&live.headers);
    let body = StreamBody::new(relay(run, live.attempt, live.body, over));
    let mut response = http::Response::new(Box::pin(body) as answer::AnswerBody);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// What came next of a stream.
enum Piece {
    Bytes(Bytes),
    End,
    Broken(health::HealthSignal, &'static str),
}

async fn next_piece(body: &mut Incoming, wait_ms: f64) -> Piece {
    match time::timeout(millis::to_duration(wait_ms), body.frame()).await {
        Ok(Some(Ok(frame))) => Piece::Bytes(frame.into_data().unwrap_or_default()),
        Ok(Some(Err(_))) => Piece::Broken(health::HealthSignal::Failed, "stream_torn"),
        Ok(None) => Piece::End,
        Err(_) => Piece::Broken(health::HealthSignal::TimedOut, "stream_silent"),
    }
}

fn relay(
    mut run: request::RequestRun,
    attempt: request::ActiveAttempt,
    body: Incoming,
    over: Outcome,
) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> {
    async_stream::stream! {
        let request = run.request.clone();
        let mut started = false;
        let splitter = events::EventSplitter::default();
        let mut current = Some((attempt, body, splitter));
        while let Some((attempt, mut body, mut splitter)) = current.take() {
            let mut any = false;
            let (sign, reason) = loop {
                while let Some(event) = splitter.next_event() {
                    if !any {
                        any = true;
                        note_first(&request, &attempt, started);
                        started = true;
                    }
                    let old = event.id.is_some_and(|id| run.last_event.is_some_and(|last| id <= last));
                    if old {
                        log::info!(target: "sardinepaddle", request = request.hints.attempt,
                            event = event.id; "event that the caller has was dropped");
                        continue;
                    }
                    run.last_event = event.id.or(run.last_event);
                    yield Ok(Frame::data(event.bytes));
                }
                let wait = match any {
                    true => run.pause_wait_ms(),
                    false => run.first_wait_ms(&attempt.plan),
                };
                match next_piece(&mut body, wait).await {
                    Piece::Bytes(bytes) => splitter.push(&bytes),
                    Piece::End if splitter.is_empty() => {
                        attempt.complete(&request.upstreams).await;
                        over.end("answered", "complete");
                        return;
                    }
                    Piece::End => break (health::HealthSignal::Failed, "event_torn"),
                    Piece::Broken(sign, reason) => break (sign, reason),
                }
            };
            if request.left_ms() <= 0.0 {
                attempt.fail(health::HealthSignal::Inconclusive);
                over.end("failed", "deadline_passed");
                yield Err(RelayError("deadline passed"));
                return;
            }
            let plan = attempt.plan.clone();
            // A silent endpoint may go on yet: it is left only for one that does.
            let mut kept = None;
            match sign {
                health::HealthSignal::TimedOut => kept = Some((attempt, body, splitter)),
                sign => attempt.fail(sign),
            }
            match run.go_on(&plan, sign, reason).await {
                Ok(live) => {
                    log::info!(target: "sardinepaddle", request = request.hints.attempt,
                        endpoint:% = live.attempt.plan.primary.endpoint, after_event = run.last_event;
                        "stream goes on at another endpoint");
                    if let Some((attempt, ..)) = kept.take() {
                        attempt.fail(sign);
                    }
                    current = Some((live.attempt, live.body, events::EventSplitter::default()));
                }
                Err(_) if kept.is_some() => {
                    log::info!(target: "sardinepaddle", request = request.hints.attempt;
                        "no other endpoint: waiting for the silent one");
                    current = kept.take();
                }
                Err(_) => {
                    over.end("failed", reason);
                    yield Err(RelayError(reason));
                }
            }
        }
    }
}

fn note_first(request: &request::CallerRequest, attempt: &request::ActiveAttempt, started: bool) {
    let world = &request.world;
    world.start_job(attempt.job());
    if started {
        return;
    }
    let now = world.now();
    let route = request.found.route.name.as_str();
    let seen = now - attempt.placed_at;
    let predicted = attempt.plan.predicted_ms;
    world
        .metrics
        .first_event(route, now - request.arrived, seen, predicted);
    log::info!(target: "sardinepaddle", request = request.hints.attempt, route,
        after_ms = now - request.arrived, seen_ms = seen, predicted_ms = predicted; "first event");
}
