//! HTTP client of a model engine.

use std::net;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use model::ids;
use model::load;
use model::outcome;
use model::request;
use tokio::sync::mpsc;
use tokio::time;

use crate::connect;
use crate::wire;

/// Maximum size of the response to a control call, bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Timeout of a cancel or load call, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Data received from an engine during an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptSignal {
    /// The response headers or a progress event arrived.
    Progress,
    /// The engine has prefilled and holds its part of the prompt.
    Exported(request::KvExport),
    /// A chunk of the response arrived.
    Chunk(ResponseChunk),
}

/// A chunk of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseChunk {
    /// The attempt that the engine sent with the chunk.
    pub attempt: ids::AttemptId,
    /// Index of the chunk in the response, from zero.
    pub offset: u64,
    /// The text.
    pub text: String,
}

/// A completion request to an engine, with its address and send deadline.
#[derive(Clone, Debug)]
pub struct CompletionCall<'a> {
    /// The engine's address.
    pub address: net::SocketAddr,
    /// Time before which sending must start; otherwise the request is not sent.
    pub send_deadline: time::Instant,
    /// The request.
    pub request: wire::EngineRequest<'a>,
}

/// Sends a completion and forwards everything received to `signals`.
pub async fn complete(
    call: CompletionCall<'_>,
    signals: mpsc::Sender<AttemptSignal>,
) -> outcome::AttemptOutcome {
    let Ok(body) = serde_json::to_vec(&call.request) else {
        return outcome::AttemptOutcome::NotSent;
    };
    let request = http::Request::post(wire::COMPLETIONS_PATH)
        .header(http::header::HOST, call.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(connect::RequestBody::from(body));
    let Ok(request) = request else {
        return outcome::AttemptOutcome::NotSent;
    };
    let Some(mut sender) = connect::dial(call.address).await else {
        return outcome::AttemptOutcome::NotSent;
    };
    if time::Instant::now() >= call.send_deadline {
        return outcome::AttemptOutcome::NotSent;
    }
    let Ok(response) = sender.send_request(request).await else {
        return outcome::AttemptOutcome::Broken;
    };
    match response.status() {
        http::StatusCode::OK => read_stream(response.into_body(), signals).await,
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
            outcome::AttemptOutcome::Refused
        }
        _ => outcome::AttemptOutcome::Broken,
    }
}

async fn read_stream(
    body: hyper::body::Incoming,
    signals: mpsc::Sender<AttemptSignal>,
) -> outcome::AttemptOutcome {
    let mut events = body.into_data_stream().eventsource();
    if signals.send(AttemptSignal::Progress).await.is_err() {
        return outcome::AttemptOutcome::Broken;
    }
    while let Some(Ok(event)) = events.next().await {
        if event.data == wire::DONE_DATA {
            return outcome::AttemptOutcome::Complete { answer: None };
        }
        let Some(signal) = parse_signal(&event) else {
            return outcome::AttemptOutcome::Broken;
        };
        if signals.send(signal).await.is_err() {
            return outcome::AttemptOutcome::Broken;
        }
    }
    outcome::AttemptOutcome::Broken
}

fn parse_signal(event: &eventsource_stream::Event) -> Option<AttemptSignal> {
    match event.event.as_str() {
        wire::PROGRESS_EVENT => Some(AttemptSignal::Progress),
        wire::EXPORT_EVENT => serde_json::from_str(&event.data)
            .ok()
            .map(AttemptSignal::Exported),
        _ => parse_chunk(&event.data).map(AttemptSignal::Chunk),
    }
}

fn parse_chunk(data: &str) -> Option<ResponseChunk> {
    let chunk = serde_json::from_str::<wire::CompletionChunk>(data).ok()?;
    let attempt = ids::AttemptId::try_from(chunk.id).ok()?;
    let offset = chunk.offset?;
    let text = chunk.choices.into_iter().next()?.text;
    Some(ResponseChunk {
        attempt,
        offset,
        text,
    })
}

/// Requests that an engine free the resources of an attempt. Returns whether it confirmed.
pub async fn cancel(address: net::SocketAddr, attempt: ids::AttemptId) -> bool {
    let Ok(body) = serde_json::to_vec(&wire::CancelRequest { attempt }) else {
        return false;
    };
    let request = http::Request::post(wire::CANCEL_PATH);
    control_call(address, request, body).await.is_some()
}

/// Result of a load query to an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReading {
    /// The load; `None` if it could not be read.
    pub load: Option<load::EngineLoad>,
    /// Size of the response body, in bytes.
    pub body_bytes: usize,
}

/// Queries the load of an engine.
pub async fn load(address: net::SocketAddr) -> LoadReading {
    let request = http::Request::get(wire::LOAD_PATH);
    let Some(body) = control_call(address, request, Vec::new()).await else {
        return LoadReading::default();
    };
    LoadReading {
        load: serde_json::from_slice(&body).ok(),
        body_bytes: body.len(),
    }
}

async fn control_call(
    address: net::SocketAddr,
    request: http::request::Builder,
    body: Vec<u8>,
) -> Option<bytes::Bytes> {
    let request = request
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(connect::RequestBody::from(body))
        .ok()?;
    let exchange = async {
        let mut sender = connect::dial(address).await?;
        let response = sender.send_request(request).await.ok()?;
        if response.status() != http::StatusCode::OK {
            return None;
        }
        let body = http_body_util::Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.ok()?;
        Some(body.to_bytes())
    };
    time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
}
