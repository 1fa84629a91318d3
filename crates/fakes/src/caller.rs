//! Callers that check what they get.

use std::net;
use std::time::Duration;

use engine::wire;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;
use model::request;
use serde::Deserialize;
use tokio::time;

use crate::engine as fake_engine;
use crate::plain;

/// Bytes of one token of made-up text.
const TOKEN_BYTES: usize = 4;

/// A prompt to be asked.
#[derive(Clone, Debug)]
pub struct PromptCall {
    /// Model asked for.
    pub model: String,
    /// Customer on whose behalf.
    pub customer: String,
    /// Number from which the prompt's text is made; each gives another answer.
    pub seed: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Time allowed.
    pub timeout: Duration,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct OrderCall {
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: String,
    /// Customer on whose behalf.
    pub customer: String,
    /// Operation, as the witness counts it.
    pub operation: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time that the service takes after the effect.
    pub delay: Duration,
    /// Time allowed.
    pub timeout: Duration,
}

/// How a call ended, as its caller saw it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The whole right answer came.
    Answered,
    /// Refused: not run.
    NotRun,
    /// Ran and failed.
    Failed,
    /// May have run.
    Unknown,
    /// An answer came that was not the right one, or not whole.
    Wrong,
    /// The daemon went away, or gave no answer that makes sense.
    Lost,
}

/// What a caller saw of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// How it ended.
    pub outcome: CallOutcome,
    /// HTTP status; zero if none came.
    pub status: u16,
    /// Size class.
    pub class: request::SizeClass,
    /// Time to the first piece of the answer.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// When to come back, if the daemon said so.
    pub retry_after: Option<Duration>,
    /// Reason in the error, or the body of a plain answer.
    pub detail: String,
}

/// The text of a made-up prompt.
pub fn prompt_text(seed: u64, tokens: usize) -> String {
    let mut text = format!("{seed:016x}");
    let bytes = (tokens * TOKEN_BYTES).max(text.len());
    text.extend(std::iter::repeat_n('x', bytes - text.len()));
    text
}

/// Asks a prompt, streamed, and checks each piece of the answer.
pub async fn ask(address: net::SocketAddr, call: &PromptCall) -> CallRecord {
    let started = time::Instant::now();
    let text = prompt_text(call.seed, call.prompt_tokens);
    let request = wire::CompletionRequest {
        model: call.model.clone(),
        prompt: wire::PromptBody::Text(text),
        max_tokens: call.max_tokens,
        stream: true,
    };
    let digest = fake_engine::prompt_digest(&request.prompt);
    let class = request::SizeClass::of(call.prompt_tokens as u64);
    let mut record = CallRecord {
        outcome: CallOutcome::Lost,
        status: 0,
        class,
        first_token: None,
        total: Duration::ZERO,
        retry_after: None,
        detail: String::new(),
    };
    let body = serde_json::to_vec(&request).unwrap_or_default();
    drop(request);
    let request = http::Request::post(wire::COMPLETIONS_PATH)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header("x-customer", &call.customer)
        .header("x-timeout-ms", call.timeout.as_millis().to_string())
        .body(http_body_util::Full::new(bytes::Bytes::from(body)));
    if let Ok(request) = request
        && let Some(response) = exchange(address, request).await
    {
        record.status = response.status().as_u16();
        if response.status() == http::StatusCode::OK {
            read_answer(response, digest, call.max_tokens, started, &mut record).await;
        } else {
            read_error(response, &mut record).await;
        }
    }
    record.total = started.elapsed();
    record
}

async fn read_answer(
    response: http::Response<hyper::body::Incoming>,
    digest: u64,
    wanted: u64,
    started: time::Instant,
    record: &mut CallRecord,
) {
    let mut events = response.into_body().into_data_stream().eventsource();
    let mut next = 0;
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            note_error(&event.data, record);
            return;
        }
        if event.data == wire::DONE_DATA {
            let whole = next == wanted;
            record.outcome = if whole {
                CallOutcome::Answered
            } else {
                CallOutcome::Wrong
            };
            return;
        }
        record.first_token.get_or_insert_with(|| started.elapsed());
        let expected = fake_engine::piece_text(digest, next);
        next += 1;
        if !is_piece(&event.data, &expected) {
            record.outcome = CallOutcome::Wrong;
            return;
        }
    }
}

fn is_piece(data: &str, expected: &str) -> bool {
    let chunk = serde_json::from_str::<wire::CompletionChunk>(data);
    chunk.is_ok_and(|chunk| {
        chunk
            .choices
            .first()
            .is_some_and(|choice| choice.text == expected)
    })
}

async fn read_error(response: http::Response<hyper::body::Incoming>, record: &mut CallRecord) {
    let after = response.headers().get(http::header::RETRY_AFTER).cloned();
    let seconds = after.and_then(|value| value.to_str().ok()?.parse().ok());
    record.retry_after = seconds.map(Duration::from_secs);
    if let Ok(body) = response.into_body().collect().await {
        note_error(&String::from_utf8_lossy(&body.to_bytes()), record);
    }
}

fn note_error(text: &str, record: &mut CallRecord) {
    let Ok(body) = serde_json::from_str::<serde_json::Value>(text) else {
        return;
    };
    let error = &body["error"];
    record.detail = error["reason"].as_str().unwrap_or_default().to_owned();
    record.outcome = match error["outcome"].as_str() {
        Some("not_run") => CallOutcome::NotRun,
        Some("failed") => CallOutcome::Failed,
        Some("unknown") => CallOutcome::Unknown,
        _ => CallOutcome::Lost,
    };
}

/// Calls a plain service.
pub async fn order(address: net::SocketAddr, call: &OrderCall) -> CallRecord {
    let started = time::Instant::now();
    let mut record = CallRecord {
        outcome: CallOutcome::Lost,
        status: 0,
        class: request::SizeClass::Short,
        first_token: None,
        total: Duration::ZERO,
        retry_after: None,
        detail: String::new(),
    };
    let mut request = http::Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(http::header::HOST, address.to_string())
        .header("x-customer", &call.customer)
        .header("x-timeout-ms", call.timeout.as_millis().to_string())
        .header(plain::OPERATION_HEADER, &call.operation)
        .header(plain::DELAY_HEADER, call.delay.as_millis().to_string());
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(http_body_util::Full::new(bytes::Bytes::new()));
    if let Ok(request) = request
        && let Some(response) = exchange(address, request).await
    {
        record.status = response.status().as_u16();
        if response.status().is_success() {
            read_plain(response, &call.operation, &mut record).await;
        } else {
            read_error(response, &mut record).await;
        }
    }
    record.total = started.elapsed();
    record
}

async fn read_plain(
    response: http::Response<hyper::body::Incoming>,
    operation: &str,
    record: &mut CallRecord,
) {
    let Ok(body) = response.into_body().collect().await else {
        return;
    };
    let body = body.to_bytes();
    record.detail = String::from_utf8_lossy(&body).into_owned();
    let reply = serde_json::from_slice::<plain::PlainReply>(&body);
    let right = reply.is_ok_and(|reply| reply.operation == operation);
    record.outcome = if right {
        CallOutcome::Answered
    } else {
        CallOutcome::Wrong
    };
}

/// Sends a request over a connection of its own.
pub async fn exchange(
    address: net::SocketAddr,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
) -> Option<http::Response<hyper::body::Incoming>> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // An error shows at the sender.
        let _ = connection.await;
    });
    sender.send_request(request).await.ok()
}

/// Whether a port answers a plain `GET` with 200.
pub async fn is_ok(address: net::SocketAddr, path: &str) -> bool {
    let request = http::Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(http_body_util::Full::new(bytes::Bytes::new()));
    let Ok(request) = request else {
        return false;
    };
    let response = exchange(address, request).await;
    response.is_some_and(|response| response.status() == http::StatusCode::OK)
}

/// Reads JSON from a stand-in or a daemon's port for operators.
pub async fn get_json<T: serde::de::DeserializeOwned>(
    address: net::SocketAddr,
    path: &str,
) -> Option<T> {
    let request = http::Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(http_body_util::Full::new(bytes::Bytes::new()))
        .ok()?;
    let response = exchange(address, request).await?;
    let body = response.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// Sends JSON to a stand-in or a daemon's port for operators. Returns whether it was taken.
pub async fn send_json<T: serde::Serialize>(
    address: net::SocketAddr,
    method: http::Method,
    path: &str,
    body: &T,
) -> bool {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(http_body_util::Full::new(bytes::Bytes::from(body)));
    let Ok(request) = request else {
        return false;
    };
    exchange(address, request)
        .await
        .is_some_and(|response| response.status().is_success())
}
