//! The port for callers: hands requests to the driver and its answers back.

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

use crate::caller;
use crate::driver;
use crate::intake;
use crate::reply;
use crate::shared;

/// What the front works with.
#[derive(Clone)]
pub(crate) struct FrontState {
    pub shared: sync::Arc<shared::SharedState>,
    pub limits: sync::Arc<daemon::LimitSettings>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
    pub timings: crate::metrics::TimingMetrics,
}

/// The router of the port for callers.
pub(crate) fn router(state: FrontState) -> axum::Router {
    axum::Router::new().fallback(serve).with_state(state)
}

async fn serve(
    axum::extract::State(state): axum::extract::State<FrontState>,
    request: axum::extract::Request,
) -> axum::response::Response {
    match intake::read(&state, request).await {
        Ok(reading) => answer(&state, reading).await,
        Err(refusal) => {
            let id = state.shared.ids.draw();
            state.timings.front_refusal(refusal.reason);
            log::debug!(target: "sardinepaddle", "request: {id} not_run: {}", refusal.reason);
            refusal.respond(id)
        }
    }
}

/// Tells the driver when the caller goes away before its answer is complete.
struct CallerGuard {
    request: ids::RequestId,
    inputs: mpsc::Sender<driver::DriverInput>,
    ended: bool,
}

impl CallerGuard {
    /// The caller has its final answer.
    fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let request = self.request;
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let input =
                driver::DriverInput::event(event::NodeEvent::ClientDisconnected { request });
            // The driver outlives its callers except at the end of the process.
            let _ = inputs.send(input).await;
        });
    }
}

async fn answer(state: &FrontState, reading: intake::ReadRequest) -> axum::response::Response {
    let intake::ReadRequest {
        arrived,
        mut parts,
        form,
    } = reading;
    let class = match &arrived.kind {
        request::RequestKind::Prompt { prompt_tokens, .. } => {
            request::SizeClass::of(*prompt_tokens)
        }
        request::RequestKind::Plain { .. } => request::SizeClass::Short,
    };
    let started = tokio::time::Instant::now();
    if state
        .inputs
        .send(driver::DriverInput::Arrived(arrived))
        .await
        .is_err()
    {
        return intake::not_ready().respond(state.shared.ids.draw());
    }
    let Some(caller::CallerPart::Accepted(id)) = parts.recv().await else {
        return intake::not_ready().respond(state.shared.ids.draw());
    };
    let guard = CallerGuard {
        request: id,
        inputs: state.inputs.clone(),
        ended: false,
    };
    let first = parts.recv().await;
    if matches!(first, Some(caller::CallerPart::Text(_))) {
        state.timings.first_token(class, started.elapsed());
    }
    let answering = Answering { id, parts, guard };
    let mut response = match form {
        intake::AnswerForm::Stream { model } => answer_stream(answering, first, model),
        intake::AnswerForm::Whole { model } => answer_whole(answering, first, &model).await,
        intake::AnswerForm::Plain => answer_plain(answering, first).await,
    };
    reply::set_request_id(&mut response, &id.to_string());
    response
}

/// A request being answered.
struct Answering {
    id: ids::RequestId,
    parts: mpsc::Receiver<caller::CallerPart>,
    guard: CallerGuard,
}

fn answer_stream(
    mut answering: Answering,
    first: Option<caller::CallerPart>,
    model: String,
) -> axum::response::Response {
    if let Some(caller::CallerPart::End(outcome)) = &first
        && *outcome != outcome::RequestOutcome::Answered
    {
        answering.guard.end();
        return reply::error(answering.id, outcome);
    }
    let events = async_stream::stream! {
        let mut part = first;
        let mut offset = 0;
        loop {
            match part {
                Some(caller::CallerPart::Text(text)) => {
                    let id = answering.id.to_string();
                    let chunk = wire::CompletionChunk::new(id, &model, Some(offset), &text, false);
                    offset += 1;
                    yield json_event(&chunk);
                }
                Some(caller::CallerPart::End(outcome)) => {
                    answering.guard.end();
                    yield last_event(answering.id, &outcome);
                    break;
                }
                Some(_) => {}
                None => break,
            }
            part = answering.parts.recv().await;
        }
    };
    sse::Sse::new(events).into_response()
}

type EventResult = Result<sse::Event, axum::Error>;

fn json_event<T: serde::Serialize>(body: &T) -> EventResult {
    sse::Event::default().json_data(body)
}

fn last_event(id: ids::RequestId, outcome: &outcome::RequestOutcome) -> EventResult {
    if *outcome == outcome::RequestOutcome::Answered {
        return Ok(sse::Event::default().data(wire::DONE_DATA));
    }
    let body = reply::ErrorBody {
        error: reply::detail(id, outcome),
    };
    sse::Event::default().event("error").json_data(&body)
}

async fn answer_whole(
    mut answering: Answering,
    first: Option<caller::CallerPart>,
    model: &str,
) -> axum::response::Response {
    let mut text = String::new();
    let mut part = first;
    loop {
        match part {
            Some(caller::CallerPart::Text(piece)) => text.push_str(&piece),
            Some(caller::CallerPart::End(outcome)) => {
                answering.guard.end();
                if outcome != outcome::RequestOutcome::Answered {
                    return reply::error(answering.id, &outcome);
                }
                let id = answering.id.to_string();
                return axum::Json(wire::CompletionChunk::new(id, model, None, &text, true))
                    .into_response();
            }
            Some(_) => {}
            None => return intake::not_ready().respond(answering.id),
        }
        part = answering.parts.recv().await;
    }
}

async fn answer_plain(
    mut answering: Answering,
    first: Option<caller::CallerPart>,
) -> axum::response::Response {
    let mut part = first;
    let mut answer = None;
    loop {
        match part {
            Some(caller::CallerPart::Answer(given)) => answer = Some(given),
            Some(caller::CallerPart::End(outcome)) => {
                answering.guard.end();
                return plain_response(answering.id, answer, outcome);
            }
            Some(_) => {}
            None => return intake::not_ready().respond(answering.id),
        }
        part = answering.parts.recv().await;
    }
}

fn plain_response(
    id: ids::RequestId,
    answer: Option<plain::PlainAnswer>,
    outcome: outcome::RequestOutcome,
) -> axum::response::Response {
    match (outcome, answer) {
        (outcome::RequestOutcome::Answered, Some(answer)) => {
            let mut response = axum::response::Response::new(axum::body::Body::from(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = intake::passed_headers(&answer.headers);
            response
        }
        (outcome::RequestOutcome::Replayed { answer }, _) => replay(answer),
        (outcome, _) => reply::error(id, &outcome),
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
