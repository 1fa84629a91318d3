//! Answers of the daemon's own.

use std::pin;

use bytes::Bytes;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;

use crate::relay;

/// Body of an answer to a caller.
pub(crate) type ResponseBody = pin::Pin<Box<dyn Body<Data = Bytes, Error = relay::RelayError>>>;

/// Why the daemon answers by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LocalResponse {
    /// Too little of the store is known yet.
    NotReady { retry_after_ms: u64 },
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not come whole.
    BodyBroken,
    /// The body did not come in time.
    BodySlow,
    /// It has not run.
    NotRun {
        reason: &'static str,
        retry_after_ms: u64,
    },
    /// It failed and may have run.
    Failed,
    /// The time is over, and it may have run.
    TimedOut,
}

impl LocalResponse {
    /// Name in logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotReady { .. } => "not_ready",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::BodySlow => "body_slow",
            Self::NotRun { reason, .. } => reason,
            Self::Failed => "endpoint_failed",
            Self::TimedOut => "deadline_passed",
        }
    }

    fn status(self) -> http::StatusCode {
        match self {
            Self::NotReady { .. } | Self::NotRun { .. } => http::StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => http::StatusCode::NOT_FOUND,
            Self::BadKey => http::StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => http::StatusCode::BAD_REQUEST,
            Self::BodySlow => http::StatusCode::REQUEST_TIMEOUT,
            Self::Failed => http::StatusCode::BAD_GATEWAY,
            Self::TimedOut => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotReady { retry_after_ms } | Self::NotRun { retry_after_ms, .. } => {
                Some(retry_after_ms)
            }
            _ => None,
        }
    }
}

/// Builds the answer, with a JSON body that names the reason.
pub(crate) fn local(answer: LocalResponse) -> http::Response<ResponseBody> {
    let text = format!("{{\"error\":{{\"reason\":\"{}\"}}}}", answer.reason());
    let mut response = http::Response::new(full(Bytes::from(text)));
    *response.status_mut() = answer.status();
    let headers = response.headers_mut();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(millis) = answer.retry_after_ms() {
        let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
        if let Ok(value) = http::HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// A body that is known as a whole.
pub(crate) fn full(bytes: Bytes) -> ResponseBody {
    let body = Full::new(bytes).map_err(|never| match never {});
    Box::pin(body)
}
