//! HTTP service for clients: passes requests to the driver and writes the responses.

use std::sync;

use axum::response::IntoResponse;
use axum::response::sse;
use engine::plain;
use engine::wire;
use model::ids;
use model::outcome;
use model::request;
use node::event;
use settings::daemon;
use tokio::sync::mpsc;

use crate::driver;
use crate::intake;
use crate::request_channel;
use crate::responses;
use crate::shared;

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct FrontendState {
    pub shared: sync::Arc<shared::SharedState>,
    pub limits: sync::Arc<daemon::LimitSettings>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
    pub timings: crate::metrics::TimingMetrics,
}

/// Returns the router of the client listener.
pub(crate) fn router(state: FrontendState) -> axum::Router {
    axum::Router::new().fallback(serve).with_state(state)
}

async fn serve(
    axum::extract::State(state): axum::extract::State<FrontendState>,
    request: axum::extract::Request,
) -> axum::response::Response {
    match intake::read(&state, request).await {
        Ok(parsed) => respond(&state, parsed).await,
        Err(refusal) => {
            let id = state.shared.ids.allocate();
            state.timings.count_refusal(refusal.reason);
            log::debug!(target: "sardinepaddle", "request: {id} not_run: {}", refusal.reason);
            refusal.respond(id)
        }
    }
}

/// Reports a disconnect to the driver if it is dropped before the response is complete.
struct DisconnectGuard {
    request: ids::RequestId,
    inputs: mpsc::Sender<driver::DriverInput>,
    is_finished: bool,
}

impl DisconnectGuard {
    /// Marks the response as complete, so that dropping the guard reports nothing.
    fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let request = self.request;
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let input =
                driver::DriverInput::event(event::NodeEvent::ClientDisconnected { request });
            // The driver outlives its clients except when the process exits.
            let _ = inputs.send(input).await;
        });
    }
}

async fn respond(state: &FrontendState, parsed: intake::ParsedRequest) -> axum::response::Response {
    let intake::ParsedRequest {
        incoming,
        mut response_messages,
        format,
    } = parsed;
    let class = match &incoming.kind {
        request::RequestKind::Prompt { prompt_tokens, .. } => {
            request::SizeClass::of(*prompt_tokens)
        }
        request::RequestKind::Plain { .. } => request::SizeClass::Short,
    };
    let started = tokio::time::Instant::now();
    if state
        .inputs
        .send(driver::DriverInput::Request(incoming))
        .await
        .is_err()
    {
        return intake::not_ready().respond(state.shared.ids.allocate());
    }
    let Some(request_channel::ResponseMessage::Accepted(id)) = response_messages.recv().await
    else {
        return intake::not_ready().respond(state.shared.ids.allocate());
    };
    let guard = DisconnectGuard {
        request: id,
        inputs: state.inputs.clone(),
        is_finished: false,
    };
    let first = response_messages.recv().await;
    if matches!(first, Some(request_channel::ResponseMessage::Text(_))) {
        state.timings.record_first_token(class, started.elapsed());
    }
    let pending = PendingResponse {
        id,
        response_messages,
        guard,
    };
    let mut response = match format {
        intake::ResponseFormat::Stream { model } => respond_stream(pending, first, model),
        intake::ResponseFormat::Complete { model } => {
            respond_complete(pending, first, &model).await
        }
        intake::ResponseFormat::Plain => respond_plain(pending, first).await,
    };
    responses::set_request_id(&mut response, &id.to_string());
    response
}

/// A request whose response is being written.
struct PendingResponse {
    id: ids::RequestId,
    response_messages: mpsc::Receiver<request_channel::ResponseMessage>,
    guard: DisconnectGuard,
}

fn respond_stream(
    mut pending: PendingResponse,
    first: Option<request_channel::ResponseMessage>,
    model: String,
) -> axum::response::Response {
    if let Some(request_channel::ResponseMessage::Outcome(outcome)) = &first
        && *outcome != outcome::RequestOutcome::Answered
    {
        pending.guard.finish();
        return responses::error_response(pending.id, outcome);
    }
    let events = async_stream::stream! {
        let mut message = first;
        let mut offset = 0;
        loop {
            match message {
                Some(request_channel::ResponseMessage::Text(text)) => {
                    let id = pending.id.to_string();
                    let chunk = wire::CompletionChunk::new(id, &model, Some(offset), &text, false);
                    offset += 1;
                    yield json_event(&chunk);
                }
                Some(request_channel::ResponseMessage::Outcome(outcome)) => {
                    pending.guard.finish();
                    yield final_event(pending.id, &outcome);
                    break;
                }
                Some(_) => {}
                None => break,
            }
            message = pending.response_messages.recv().await;
        }
    };
    sse::Sse::new(events).into_response()
}

type EventResult = Result<sse::Event, axum::Error>;

fn json_event<T: serde::Serialize>(body: &T) -> EventResult {
    sse::Event::default().json_data(body)
}

fn final_event(id: ids::RequestId, outcome: &outcome::RequestOutcome) -> EventResult {
    if *outcome == outcome::RequestOutcome::Answered {
        return Ok(sse::Event::default().data(wire::DONE_DATA));
    }
    let body = responses::ErrorBody {
        error: responses::error_detail(id, outcome),
    };
    sse::Event::default().event("error").json_data(&body)
}

async fn respond_complete(
    mut pending: PendingResponse,
    first: Option<request_channel::ResponseMessage>,
    model: &str,
) -> axum::response::Response {
    let mut text = String::new();
    let mut message = first;
    loop {
        match message {
            Some(request_channel::ResponseMessage::Text(chunk)) => text.push_str(&chunk),
            Some(request_channel::ResponseMessage::Outcome(outcome)) => {
                pending.guard.finish();
                if outcome != outcome::RequestOutcome::Answered {
                    return responses::error_response(pending.id, &outcome);
                }
                let id = pending.id.to_string();
                return axum::Json(wire::CompletionChunk::new(id, model, None, &text, true))
                    .into_response();
            }
            Some(_) => {}
            None => return intake::not_ready().respond(pending.id),
        }
        message = pending.response_messages.recv().await;
    }
}

async fn respond_plain(
    mut pending: PendingResponse,
    first: Option<request_channel::ResponseMessage>,
) -> axum::response::Response {
    let mut message = first;
    let mut response = None;
    loop {
        match message {
            Some(request_channel::ResponseMessage::Response(received)) => response = Some(received),
            Some(request_channel::ResponseMessage::Outcome(outcome)) => {
                pending.guard.finish();
                return plain_response(pending.id, response, outcome);
            }
            Some(_) => {}
            None => return intake::not_ready().respond(pending.id),
        }
        message = pending.response_messages.recv().await;
    }
}

fn plain_response(
    id: ids::RequestId,
    response: Option<plain::PlainResponse>,
    outcome: outcome::RequestOutcome,
) -> axum::response::Response {
    match (outcome, response) {
        (outcome::RequestOutcome::Answered, Some(received)) => {
            let mut response = axum::response::Response::new(axum::body::Body::from(received.body));
            *response.status_mut() = received.status;
            *response.headers_mut() = intake::forwarded_headers(&received.headers);
            response
        }
        (outcome::RequestOutcome::Replayed { answer }, _) => replay(answer),
        (outcome, _) => responses::error_response(id, &outcome),
    }
}

fn replay(answer: outcome::RecordedAnswer) -> axum::response::Response {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK);
    let body = answer.body.unwrap_or_default();
    let mut response = (status, body).into_response();
    let replayed = http::HeaderValue::from_static("true");
    response
        .headers_mut()
        .insert("idempotent-replayed", replayed);
    response
}
