//! Relays responses to the client: buffered completely, or event by event. A stream that breaks off
//! is resumed on another endpoint if its route allows that.

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

use crate::attempt;
use crate::byte_account;
use crate::client_stream;
use crate::course;
use crate::request;
use crate::response;
use crate::sse;
use crate::upstream;

/// Maximum size of a response that is not streamed, bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of an event, bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Reason for interrupting a response. The client's connection is closed, so that the response does
/// not look complete.
#[derive(Debug, thiserror::Error)]
#[error("response interrupted: {0}")]
pub(crate) struct RelayError(pub &'static str);

/// Runs a request until its complete response, or the start of a streamed one, is available.
pub(crate) async fn respond(
    mut runner: course::RequestRunner,
) -> http::Response<response::ResponseBody> {
    let request = runner.request.clone();
    let recorder = OutcomeRecorder::new(&request);
    let mut next_response = runner.next_response().await;
    loop {
        let endpoint_response = match next_response {
            Ok(endpoint_response) => endpoint_response,
            Err(failure) => return recorder.finish_with_failure(failure),
        };
        if request.route_match.route.retry_safety.is_stream() {
            return stream_response(runner, endpoint_response, recorder);
        }
        match collect_body(&request, endpoint_response).await {
            Ok(response) => {
                recorder.end("answered", "complete");
                return response;
            }
            Err((attempt, signal, reason)) => {
                let plan = attempt.plan.clone();
                attempt.fail(signal);
                next_response = runner.resume(&plan, signal, reason).await;
            }
        }
    }
}

/// Logs and counts the end of a request, even if the client disconnects first.
struct OutcomeRecorder {
    request: rc::Rc<request::ClientRequest>,
    recorded: std::cell::Cell<bool>,
}

impl OutcomeRecorder {
    fn new(request: &rc::Rc<request::ClientRequest>) -> Self {
        Self {
            request: request.clone(),
            recorded: std::cell::Cell::new(false),
        }
    }

    fn end(&self, outcome: &'static str, reason: &'static str) {
        if self.recorded.replace(true) {
            return;
        }
        let state = &self.request.state;
        let route = self.request.route_match.route.name.as_str();
        let elapsed = state.now() - self.request.arrived_at;
        state.metrics.request(route, outcome, reason, elapsed);
        log::info!(target: "sardinepaddle", request = self.request.hints.attempt_id, route, outcome,
            reason, took_ms = elapsed, left_ms = self.request.remaining_ms(); "request ended");
    }

    fn finish_with_failure(
        &self,
        failure: course::FinalFailure,
    ) -> http::Response<response::ResponseBody> {
        match failure {
            course::FinalFailure::Local(response) => {
                let outcome = match response {
                    response::LocalResponse::NotRun { .. } => "not_run",
                    _ => "failed",
                };
                self.end(outcome, response.reason());
                response::local(response)
            }
            course::FinalFailure::Endpoint(failure) => {
                self.end("failed", "endpoint_answer");
                let mut response = http::Response::new(response::full(failure.body));
                *response.status_mut() = failure.status;
                *response.headers_mut() = client_headers(&failure.headers);
                response
            }
        }
    }
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        self.end("abandoned", "caller_gone");
    }
}

fn client_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers::end_to_end(headers);
    // The daemon sets the framing of the body itself.
    kept.remove(header::CONTENT_LENGTH);
    kept
}

type BrokenAttempt = (attempt::ActiveAttempt, health::HealthSignal, &'static str);

async fn collect_body(
    request: &request::ClientRequest,
    endpoint_response: attempt::EndpointResponse,
) -> Result<http::Response<response::ResponseBody>, BrokenAttempt> {
    let limit = millis::to_duration(request.remaining_ms());
    let state = &request.state;
    let kind = byte_account::BodyKind::Response;
    let collecting = state
        .bodies
        .collect(kind, endpoint_response.body, MAX_BODY_BYTES);
    let collected = tokio::select! {
        collected = time::timeout(limit, collecting) => collected,
        () = state.shutdown.wait_for_last_response(&state.clock) => {
            return Err((
                endpoint_response.attempt,
                health::HealthSignal::Inconclusive,
                "shutting_down",
            ));
        }
    };
    let body_bytes = match collected {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let (signal, reason) = match error {
                byte_account::CollectError::TooLong => {
                    (health::HealthSignal::Failed, "answer_too_large")
                }
                byte_account::CollectError::AccountFull => {
                    (health::HealthSignal::Inconclusive, "memory_full")
                }
                byte_account::CollectError::Broken(_) => {
                    (health::HealthSignal::Failed, "answer_torn")
                }
            };
            return Err((endpoint_response.attempt, signal, reason));
        }
        Err(_) => {
            return Err((
                endpoint_response.attempt,
                health::HealthSignal::TimedOut,
                "answer_late",
            ));
        }
    };
    endpoint_response.attempt.complete(&request.upstreams);
    let mut response = http::Response::new(response::full(body_bytes));
    *response.status_mut() = endpoint_response.status;
    *response.headers_mut() = client_headers(&endpoint_response.headers);
    Ok(response)
}

fn stream_response(
    runner: course::RequestRunner,
    endpoint_response: attempt::EndpointResponse,
    recorder: OutcomeRecorder,
) -> http::Response<response::ResponseBody> {
    let status = endpoint_response.status;
    let headers = client_headers(&endpoint_response.headers);
    let deadline = client_stream::StreamDeadline(runner.request.deadline);
    let source = EventSource::new(&runner.request, endpoint_response);
    let body = StreamBody::new(relay_events(runner, source, recorder));
    let mut response = http::Response::new(Box::pin(body) as response::ResponseBody);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response.extensions_mut().insert(deadline);
    response
}

/// Result of reading from a response body.
enum BodyRead {
    Bytes(Bytes),
    End,
    Failed(health::HealthSignal, &'static str),
}

async fn read_body(body: &mut Incoming, wait_ms: f64) -> BodyRead {
    if wait_ms <= 0.0 {
        return BodyRead::Failed(health::HealthSignal::TimedOut, "stream_silent");
    }
    match time::timeout(millis::to_duration(wait_ms), body.frame()).await {
        Ok(Some(Ok(frame))) => BodyRead::Bytes(frame.into_data().unwrap_or_default()),
        Ok(Some(Err(_))) => BodyRead::Failed(health::HealthSignal::Failed, "stream_torn"),
        Ok(None) => BodyRead::End,
        Err(_) => BodyRead::Failed(health::HealthSignal::TimedOut, "stream_silent"),
    }
}

/// The part of a streamed response that has not been relayed yet.
struct EventSource {
    attempt: attempt::ActiveAttempt,
    body: Incoming,
    splitter: sse::EventSplitter,
    /// The bytes in `splitter`.
    held: byte_account::ByteShare,
    /// Whether only the end of the connection ends the response.
    is_undelimited: bool,
}

impl EventSource {
    fn new(request: &request::ClientRequest, response: attempt::EndpointResponse) -> Self {
        let kind = byte_account::BodyKind::Response;
        Self {
            held: request.state.bodies.share(kind),
            is_undelimited: upstream::is_undelimited(&response.headers),
            attempt: response.attempt,
            body: response.body,
            splitter: sse::EventSplitter::default(),
        }
    }
}

fn relay_events(
    mut runner: course::RequestRunner,
    source: EventSource,
    recorder: OutcomeRecorder,
) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> {
    async_stream::stream! {
        let request = runner.request.clone();
        let mut first_event_recorded = false;
        let mut current = Some(source);
        while let Some(source) = current.take() {
            let EventSource { attempt, mut body, mut splitter, mut held, is_undelimited } = source;
            let mut received_event = false;
            // Bytes that complete no event don't count as progress.
            let mut progress_at = request.state.now();
            let (signal, reason) = loop {
                while let Some(event) = splitter.next_event() {
                    progress_at = request.state.now();
                    if !received_event {
                        received_event = true;
                        record_first_event(&request, &attempt, first_event_recorded);
                        first_event_recorded = true;
                    }
                    let already_sent = event.id.is_some_and(|id| runner.last_event.is_some_and(|last| id <= last));
                    if already_sent {
                        log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
                            event = event.id; "duplicate event dropped: the client already has it");
                        continue;
                    }
                    runner.last_event = event.id.or(runner.last_event);
                    yield Ok(Frame::data(event.bytes));
                }
                let wait = match received_event {
                    true => runner.next_event_timeout_ms(),
                    false => runner.first_event_timeout_ms(&attempt.plan),
                };
                if request.remaining_ms() <= 0.0 {
                    break (health::HealthSignal::TimedOut, "deadline_passed");
                }
                if held.resize(splitter.len()).is_err() {
                    break (health::HealthSignal::Inconclusive, "memory_full");
                }
                if splitter.len() > MAX_EVENT_BYTES {
                    break (health::HealthSignal::Failed, "event_too_large");
                }
                let elapsed = request.state.now() - progress_at;
                match read_body(&mut body, wait - elapsed).await {
                    BodyRead::Bytes(bytes) => splitter.push(&bytes),
                    // An endpoint that ends before its first event closes the connection likewise.
                    BodyRead::End if is_undelimited && !received_event => {
                        break (health::HealthSignal::Failed, "stream_empty");
                    }
                    BodyRead::End if splitter.is_empty() => {
                        attempt.complete(&request.upstreams);
                        recorder.end("answered", "complete");
                        return;
                    }
                    BodyRead::End => break (health::HealthSignal::Failed, "event_torn"),
                    BodyRead::Failed(signal, reason) => break (signal, reason),
                }
            };
            if request.remaining_ms() <= 0.0 {
                attempt.fail(health::HealthSignal::Inconclusive);
                recorder.end("failed", "deadline_passed");
                yield Err(RelayError("deadline passed"));
                return;
            }
            let plan = attempt.plan.clone();
            // A stalled endpoint may still continue, so its attempt is ended only once another one
            // has taken over.
            let mut stalled_attempt = None;
            match signal {
                health::HealthSignal::TimedOut => {
                    stalled_attempt = Some(EventSource { attempt, body, splitter, held, is_undelimited });
                }
                signal => attempt.fail(signal),
            }
            match runner.resume(&plan, signal, reason).await {
                Ok(endpoint_response) => {
                    log::info!(target: "sardinepaddle", request = request.hints.attempt_id,
                        endpoint:% = endpoint_response.attempt.plan.primary.endpoint,
                        after_event = runner.last_event;
                        "stream resumed on another endpoint");
                    if let Some(source) = stalled_attempt.take() {
                        source.attempt.fail(signal);
                    }
                    current = Some(EventSource::new(&request, endpoint_response));
                }
                Err(_) if stalled_attempt.is_some() => {
                    log::info!(target: "sardinepaddle", request = request.hints.attempt_id;
                        "no other endpoint available: waiting for the silent one");
                    current = stalled_attempt.take();
                }
                Err(_) => {
                    recorder.end("failed", reason);
                    yield Err(RelayError(reason));
                }
            }
        }
    }
}

fn record_first_event(
    request: &request::ClientRequest,
    attempt: &attempt::ActiveAttempt,
    first_event_recorded: bool,
) {
    let state = &request.state;
    state.record_first_event(attempt.job());
    if first_event_recorded {
        return;
    }
    let now = state.now();
    let route = request.route_match.route.name.as_str();
    let since_placement = now - attempt.placed_at;
    let predicted = attempt.plan.predicted_ms;
    state
        .metrics
        .first_event(route, now - request.arrived_at, since_placement, predicted);
    log::info!(target: "sardinepaddle", request = request.hints.attempt_id, route,
        after_ms = now - request.arrived_at, seen_ms = since_placement, predicted_ms = predicted; "first event");
}
