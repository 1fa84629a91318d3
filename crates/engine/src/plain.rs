//! HTTP client of a plain service.

use std::net;

use http_body_util::BodyExt;
use model::outcome;
use tokio::time;

use crate::connect;

/// Largest answer read from a plain service, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Largest answer recorded with a claim, in bytes.
const RECORDED_BYTES: usize = 2_048;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

/// A plain service's answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// Status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

impl PlainAnswer {
    /// The answer as recorded with a claim; a long or binary body is left out.
    pub fn record(&self) -> outcome::RecordedAnswer {
        let body = Some(&self.body).filter(|body| body.len() <= RECORDED_BYTES);
        let body = body.and_then(|body| String::from_utf8(body.to_vec()).ok());
        outcome::RecordedAnswer {
            status: self.status.as_u16(),
            body,
        }
    }
}

/// How a call ended, with the answer if one came.
#[derive(Clone, Debug)]
pub struct PlainResult {
    /// How it ended.
    pub end: outcome::AttemptOutcome,
    /// The answer.
    pub answer: Option<PlainAnswer>,
}

impl PlainResult {
    fn without_answer(end: outcome::AttemptOutcome) -> Self {
        Self { end, answer: None }
    }
}

/// Sends a call. No byte leaves after `not_after`.
pub async fn call(
    address: net::SocketAddr,
    not_after: time::Instant,
    call: &PlainCall,
) -> PlainResult {
    let not_sent = PlainResult::without_answer(outcome::AttemptOutcome::NotSent);
    let mut request = http::Request::new(connect::SentBody::new(call.body.clone()));
    let Ok(uri) = call.path.parse() else {
        return not_sent;
    };
    let Ok(host) = http::HeaderValue::from_str(&address.to_string()) else {
        return not_sent;
    };
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert(http::header::HOST, host);
    let Some(mut sender) = connect::dial(address).await else {
        return not_sent;
    };
    if time::Instant::now() >= not_after {
        return not_sent;
    }
    let Ok(response) = sender.send_request(request).await else {
        return PlainResult::without_answer(outcome::AttemptOutcome::Broken);
    };
    read_answer(response).await
}

async fn read_answer(response: http::Response<hyper::body::Incoming>) -> PlainResult {
    let (parts, body) = response.into_parts();
    let body = http_body_util::Limited::new(body, ANSWER_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return PlainResult::without_answer(outcome::AttemptOutcome::Broken);
    };
    let answer = PlainAnswer {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    };
    let end = outcome::AttemptOutcome::Complete {
        answer: Some(answer.record()),
    };
    PlainResult {
        end,
        answer: Some(answer),
    }
}
