//! Error responses to clients.

use std::time::Duration;

use axum::response::IntoResponse;
use model::ids;
use model::outcome;
use serde::Serialize;

use crate::shared;

/// Header with the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Body of every error response.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ErrorBody {
    pub error: ErrorDetail,
}

/// Description of an error.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ErrorDetail {
    /// `not_run`, `failed` or `unknown`.
    pub outcome: &'static str,
    /// Stable, machine-readable name of the reason.
    pub reason: String,
    /// Human-readable description.
    pub message: String,
    /// Time to wait before the next try, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    pub request_id: String,
}

/// A request refused before it reached the state machine.
#[derive(Clone, Debug)]
pub(crate) struct RequestRefusal {
    pub status: http::StatusCode,
    pub reason: &'static str,
    pub message: String,
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    pub fn new(status: http::StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }

    pub fn bad_request(reason: &'static str, message: impl Into<String>) -> Self {
        Self::new(http::StatusCode::BAD_REQUEST, reason, message)
    }

    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    pub fn respond(self, id: ids::RequestId) -> axum::response::Response {
        let detail = ErrorDetail {
            outcome: "not_run",
            reason: self.reason.to_owned(),
            message: self.message,
            retry_after_ms: self.retry_after.map(to_millis),
            request_id: id.to_string(),
        };
        respond(self.status, detail, self.retry_after)
    }
}

/// Returns the error detail of a request that was not answered in full.
pub(crate) fn error_detail(id: ids::RequestId, outcome: &outcome::RequestOutcome) -> ErrorDetail {
    let (reason, retry_after) = match outcome {
        outcome::RequestOutcome::NotRun {
            reason,
            retry_after,
        } => (reason.to_string(), *retry_after),
        outcome::RequestOutcome::Failed {
            reason,
            retry_after,
        }
        | outcome::RequestOutcome::Unknown {
            reason,
            retry_after,
        } => (reason.to_string(), *retry_after),
        outcome::RequestOutcome::Answered | outcome::RequestOutcome::Replayed { .. } => {
            ("answered".to_owned(), None)
        }
    };
    ErrorDetail {
        outcome: shared::outcome_name(outcome),
        message: outcome_message(outcome).to_owned(),
        reason,
        retry_after_ms: retry_after.map(to_millis),
        request_id: id.to_string(),
    }
}

/// Returns the HTTP error response to a request that was not answered in full.
pub(crate) fn error_response(
    id: ids::RequestId,
    outcome: &outcome::RequestOutcome,
) -> axum::response::Response {
    let retry_after = match outcome {
        outcome::RequestOutcome::NotRun { retry_after, .. }
        | outcome::RequestOutcome::Failed { retry_after, .. }
        | outcome::RequestOutcome::Unknown { retry_after, .. } => *retry_after,
        outcome::RequestOutcome::Answered | outcome::RequestOutcome::Replayed { .. } => None,
    };
    respond(status(outcome), error_detail(id, outcome), retry_after)
}

fn respond(
    status: http::StatusCode,
    detail: ErrorDetail,
    retry_after: Option<Duration>,
) -> axum::response::Response {
    let id = detail.request_id.clone();
    let mut response = (status, axum::Json(ErrorBody { error: detail })).into_response();
    set_request_id(&mut response, &id);
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1_000);
        if let Ok(value) = http::HeaderValue::from_str(&seconds.to_string()) {
            response
                .headers_mut()
                .insert(http::header::RETRY_AFTER, value);
        }
    }
    response
}

/// Sets the header with the request id.
pub(crate) fn set_request_id(response: &mut axum::response::Response, id: &str) {
    if let Ok(value) = http::HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

fn to_millis(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}

fn status(outcome: &outcome::RequestOutcome) -> http::StatusCode {
    match outcome {
        outcome::RequestOutcome::Answered | outcome::RequestOutcome::Replayed { .. } => {
            http::StatusCode::OK
        }
        outcome::RequestOutcome::NotRun { reason, .. } => refusal_status(*reason),
        outcome::RequestOutcome::Failed { reason, .. } => match reason {
            outcome::FailureReason::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::BAD_GATEWAY,
        },
        outcome::RequestOutcome::Unknown { reason, .. } => match reason {
            outcome::FailureReason::EarlierCallRunning
            | outcome::FailureReason::EarlierCallUnknown => http::StatusCode::CONFLICT,
            outcome::FailureReason::DeadlinePassed => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::BAD_GATEWAY,
        },
    }
}

fn refusal_status(reason: outcome::RefusalReason) -> http::StatusCode {
    match reason {
        outcome::RefusalReason::UnknownService => http::StatusCode::NOT_FOUND,
        outcome::RefusalReason::UnknownCustomer => http::StatusCode::FORBIDDEN,
        outcome::RefusalReason::PromptTooLong => http::StatusCode::PAYLOAD_TOO_LARGE,
        outcome::RefusalReason::DeadlineTooClose => http::StatusCode::REQUEST_TIMEOUT,
        outcome::RefusalReason::KeyReused => http::StatusCode::UNPROCESSABLE_ENTITY,
        outcome::RefusalReason::CustomerLimit => http::StatusCode::TOO_MANY_REQUESTS,
        _ => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn outcome_message(outcome: &outcome::RequestOutcome) -> &'static str {
    match outcome {
        outcome::RequestOutcome::Answered | outcome::RequestOutcome::Replayed { .. } => "answered",
        outcome::RequestOutcome::NotRun { .. } => "the request was not run",
        outcome::RequestOutcome::Failed { .. } => {
            "the request ran and its answer was not delivered in full"
        }
        outcome::RequestOutcome::Unknown { .. } => {
            "the request may or may not have run; do not assume either"
        }
    }
}
