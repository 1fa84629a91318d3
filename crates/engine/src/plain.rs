//! HTTP client of a plain service.

use std::net;

use http_body_util::BodyExt;
use model::outcome;
use tokio::time;

use crate::connect;

/// Largest response body read from a plain service, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Statuses that may end a request. No client asks for another protocol, so 101 doesn't either.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// Largest response body recorded with a claim, in bytes.
const MAX_RECORDED_BYTES: usize = 2_048;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// Forwarded headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

/// A response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// Status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

impl PlainResponse {
    /// Returns the response as recorded with a claim. A long or binary body is left out.
    pub fn to_recorded(&self) -> outcome::RecordedAnswer {
        let body = Some(&self.body).filter(|body| body.len() <= MAX_RECORDED_BYTES);
        let body = body.and_then(|body| String::from_utf8(body.to_vec()).ok());
        outcome::RecordedAnswer {
            status: self.status.as_u16(),
            body,
        }
    }
}

/// Outcome of a call, with the response if one arrived.
#[derive(Clone, Debug)]
pub struct PlainResult {
    /// Outcome of the attempt.
    pub outcome: outcome::AttemptOutcome,
    /// The response.
    pub response: Option<PlainResponse>,
}

impl PlainResult {
    fn without_response(outcome: outcome::AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
        }
    }
}

/// Sends a call. Nothing is sent if sending cannot start before `send_deadline`.
pub async fn call(
    address: net::SocketAddr,
    send_deadline: time::Instant,
    call: &PlainCall,
) -> PlainResult {
    let not_sent = PlainResult::without_response(outcome::AttemptOutcome::NotSent);
    let mut request = http::Request::new(connect::RequestBody::new(call.body.clone()));
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
    if time::Instant::now() >= send_deadline {
        return not_sent;
    }
    let Ok(response) = sender.send_request(request).await else {
        return PlainResult::without_response(outcome::AttemptOutcome::Broken);
    };
    read_response(response).await
}

async fn read_response(response: http::Response<hyper::body::Incoming>) -> PlainResult {
    let (parts, body) = response.into_parts();
    if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
        return PlainResult::without_response(outcome::AttemptOutcome::Broken);
    }
    let body = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return PlainResult::without_response(outcome::AttemptOutcome::Broken);
    };
    let response = PlainResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    };
    let outcome = outcome::AttemptOutcome::Complete {
        answer: Some(response.to_recorded()),
    };
    PlainResult {
        outcome,
        response: Some(response),
    }
}
