//! Outcomes of requests and attempts.

use std::fmt;
use std::time;

use serde::{Deserialize, Serialize};

/// Outcome of a request. Every request has exactly one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestOutcome {
    /// The complete answer was delivered.
    Answered,
    /// The request is a retry of a call that already ran; its recorded answer is returned.
    Replayed {
        /// The recorded answer.
        answer: RecordedAnswer,
    },
    /// No byte of the request can have reached an endpoint.
    NotRun {
        /// The reason.
        reason: RefusalReason,
        /// Delay after which a retry makes sense, if it does.
        retry_after: Option<time::Duration>,
    },
    /// The request may have run, partly or completely, but its answer was not delivered. It may
    /// safely be sent again.
    Failed {
        /// The reason.
        reason: FailureReason,
        /// Delay after which a retry makes sense, if it does.
        retry_after: Option<time::Duration>,
    },
    /// The request may or may not have run.
    Unknown {
        /// The reason.
        reason: FailureReason,
        /// Delay after which a retry can learn the outcome, if it can.
        retry_after: Option<time::Duration>,
    },
}

/// Recorded answer of a non-idempotent call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Response body, if small enough to record.
    pub body: Option<String>,
}

/// Reason why a request was refused without running.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The service is not configured.
    UnknownService,
    /// The customer is not configured.
    UnknownCustomer,
    /// The prompt exceeds the memory of every possible engine set.
    PromptTooLong,
    /// The deadline has passed or cannot be met.
    DeadlineTooClose,
    /// The customer has too many requests in flight.
    CustomerLimit,
    /// The daemon or the service has no capacity before the deadline.
    Overloaded,
    /// No endpoint of the service accepts new work.
    NoEndpoint,
    /// The daemon is shutting down.
    ShuttingDown,
    /// The daemon has no verified configuration.
    NotReady,
    /// The claim cannot be recorded in the object API.
    StoreUnavailable,
    /// The idempotency key was already used for a different call.
    KeyReused,
    /// The claim shard has no space for another claim.
    ClaimsFull,
    /// No endpoint that was tried could be reached.
    Unreachable,
    /// The client closed its connection.
    #[serde(rename = "caller_gone")]
    ClientDisconnected,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownService => "unknown_service",
            Self::UnknownCustomer => "unknown_customer",
            Self::PromptTooLong => "prompt_too_long",
            Self::DeadlineTooClose => "deadline_too_close",
            Self::CustomerLimit => "customer_limit",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::ShuttingDown => "shutting_down",
            Self::NotReady => "not_ready",
            Self::StoreUnavailable => "store_unavailable",
            Self::KeyReused => "key_reused",
            Self::ClaimsFull => "claims_full",
            Self::Unreachable => "unreachable",
            Self::ClientDisconnected => "caller_gone",
        })
    }
}

/// Reason why a request that may have run was not answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The deadline passed.
    DeadlinePassed,
    /// The endpoint failed and no other endpoint could continue.
    EndpointLost,
    /// An earlier call with the same idempotency key has an unknown outcome.
    EarlierCallUnknown,
    /// An earlier call with the same idempotency key has not settled its claim and may still be
    /// running.
    EarlierCallRunning,
    /// The client closed its connection.
    #[serde(rename = "caller_gone")]
    ClientDisconnected,
    /// The daemon process was paused for too long.
    DaemonPaused,
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DeadlinePassed => "deadline_passed",
            Self::EndpointLost => "endpoint_lost",
            Self::EarlierCallUnknown => "earlier_call_unknown",
            Self::EarlierCallRunning => "earlier_call_running",
            Self::ClientDisconnected => "caller_gone",
            Self::DaemonPaused => "daemon_paused",
        })
    }
}

/// Outcome of an attempt on one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptOutcome {
    /// The endpoint returned its complete answer.
    Complete {
        /// The answer to record if the call has a claim.
        answer: Option<RecordedAnswer>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint refused the request without running it.
    Refused,
    /// The connection broke or timed out after bytes may have been sent.
    Broken,
}
