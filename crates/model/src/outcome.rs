//! How requests and attempts end.

use std::fmt;
use std::time;

use serde::{Deserialize, Serialize};

/// How a request ends. Each request ends in exactly one way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Answered,
    /// A repeat of a call that ran before; its recorded answer is given again.
    Replayed {
        /// The recorded answer.
        answer: RecordedAnswer,
    },
    /// No byte of the request can have reached an endpoint.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back, where a retry makes sense.
        retry_after: Option<time::Duration>,
    },
    /// The request ran, in part or whole, and its answer was not delivered.
    Failed {
        /// Why.
        reason: FailureReason,
        /// When to come back, where a retry makes sense.
        retry_after: Option<time::Duration>,
    },
    /// The request may or may not have run.
    Unknown {
        /// Why.
        reason: FailureReason,
        /// When to come back, where a repeat can learn the outcome.
        retry_after: Option<time::Duration>,
    },
}

/// The recorded answer of a non-idempotent call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, if it was small enough to record.
    pub body: Option<String>,
}

/// Why a request was refused without running.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The service is not configured.
    UnknownService,
    /// The customer is not configured.
    UnknownCustomer,
    /// The prompt is longer than any set of engines can hold.
    PromptTooLong,
    /// The deadline is past or cannot be met.
    DeadlineTooClose,
    /// The customer has too many requests in flight.
    CustomerLimit,
    /// The daemon or its service has no capacity left within the deadline.
    Overloaded,
    /// No endpoint of the service takes new work.
    NoEndpoint,
    /// The daemon is shutting down.
    ShuttingDown,
    /// The daemon has no configuration that it may trust.
    NotReady,
    /// The object API cannot record the claim.
    StoreUnavailable,
    /// The idempotency key was used for another call.
    KeyReused,
    /// The claim's record does not fit any more.
    ClaimsFull,
    /// Every endpoint tried could not be reached.
    Unreachable,
    /// The caller went away.
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

/// Why a request that may have run was not answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The deadline passed.
    DeadlinePassed,
    /// The endpoint broke off and no other could go on.
    EndpointLost,
    /// An earlier call with the same key has no known outcome.
    EarlierCallUnknown,
    /// An earlier call with the same key still runs.
    EarlierCallRunning,
    /// The caller went away.
    #[serde(rename = "caller_gone")]
    ClientDisconnected,
    /// The daemon was away for too long.
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

/// How one attempt on one endpoint ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptOutcome {
    /// The endpoint gave its whole answer.
    Complete {
        /// The answer to record, for a call under a claim.
        answer: Option<RecordedAnswer>,
    },
    /// No byte of the request left this daemon.
    NotSent,
    /// The endpoint refused the request without running it.
    Refused,
    /// The connection broke, or went silent, after bytes may have left.
    Broken,
}
