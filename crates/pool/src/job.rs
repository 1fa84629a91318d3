//! Messages between the daemons and the placer, the daemon that places for all.

use std::net;

use model::ids;
use serde::{Deserialize, Serialize};

use crate::health;
use crate::quarantine;

/// Id of a job, which is one attempt to serve a request; unique over all incarnations of all
/// daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId {
    /// Incarnation of the daemon that received the request.
    pub incarnation: u64,
    /// Number of the attempt within that incarnation.
    pub number: u64,
}

/// The kind of work that a request asks for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobKind {
    /// A prompt for a model engine.
    Prompt {
        /// Tokens of the prompt.
        tokens: u64,
        /// Most tokens of the response.
        answer_tokens: u64,
    },
    /// A call of a plain service.
    Call,
}

impl JobKind {
    /// Returns the tokens of the prompt; zero for a call.
    pub fn prompt_tokens(&self) -> u64 {
        match self {
            Self::Prompt { tokens, .. } => *tokens,
            Self::Call => 0,
        }
    }

    /// Returns the most tokens of the response; zero for a call.
    pub fn answer_tokens(&self) -> u64 {
        match self {
            Self::Prompt { answer_tokens, .. } => *answer_tokens,
            Self::Call => 0,
        }
    }
}

/// A request to be placed on an endpoint. Durations count from its submission to the placer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// Its route; the requests of one route form a class.
    pub route: String,
    /// Its service.
    pub service: ids::ServiceId,
    /// Its kind of work.
    pub kind: JobKind,
    /// Data centre of the daemon that received it.
    pub centre: ids::CentreId,
    /// Time left until its first event or whole response is late, ms; negative once it is.
    pub objective_remaining_ms: f64,
    /// The same objective counted from the arrival of the request, ms.
    pub full_objective_ms: f64,
    /// Longest gap between events that is on time, ms; zero if it has no such objective.
    pub gap_objective_ms: f64,
    /// Time without an event after which the client disconnects, ms.
    pub abandon_after_ms: f64,
    /// Time left until its deadline, ms.
    pub remaining_ms: f64,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Endpoints that must not be used.
    pub excluded: Vec<ids::EndpointId>,
    /// Parts of the prompt that other prompts may share. Sent beside the request, so that builds
    /// without them can decode it.
    #[serde(skip)]
    pub shared_parts: Vec<ids::PartId>,
    /// Digest of the request, sent likewise; `None` if the daemon doesn't know digests.
    #[serde(skip)]
    pub digest: Option<ids::RequestDigest>,
    /// The customer on whose behalf it is made, sent likewise; `None` without customers, and if the
    /// daemon's build doesn't send it.
    #[serde(skip)]
    pub customer: Option<ids::CustomerId>,
    /// Whether another attempt for the same request is running, which this one may overtake; sent
    /// likewise. Builds that don't know it count the attempt as a retry.
    #[serde(skip)]
    pub is_hedge: bool,
    /// Whether an earlier attempt was made.
    pub is_retry: bool,
    /// Whether the daemon counts its retries itself, sent likewise. Retries of builds that don't count
    /// against the budget that the placer keeps for them.
    #[serde(skip)]
    pub is_budgeted: bool,
}

impl PlacementRequest {
    /// Returns what the request has in common with others.
    pub fn features(&self) -> quarantine::RequestFeatures {
        quarantine::RequestFeatures {
            parts: self.shared_parts.clone(),
            digest: self.digest,
        }
    }
}

/// An endpoint of a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanMember {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Tokens of the prompt for which memory must be reserved there; zero for the primary.
    pub reserve_tokens: u64,
}

/// The endpoints on which a request runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementPlan {
    /// The endpoint that receives the request.
    pub primary: PlanMember,
    /// Endpoints that help to prefill the prompt.
    pub helpers: Vec<PlanMember>,
    /// Predicted time until the first event, ms.
    pub predicted_ms: f64,
    /// Priority in the engine's queue; zero is the highest.
    pub priority: u8,
}

impl PlacementPlan {
    /// Returns all endpoints of the plan, the primary first.
    pub fn members(&self) -> impl Iterator<Item = &PlanMember> {
        std::iter::once(&self.primary).chain(&self.helpers)
    }
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum DeclineReason {
    /// No endpoint of the service accepts new requests.
    NoEndpoint,
    /// No endpoint can serve it in time.
    Overloaded,
    /// It needs more memory than the endpoints that may hold it have together.
    TooLarge,
    /// The retry budget is exhausted.
    RetryBudget,
    /// Endpoints crash on requests like this one.
    Quarantined,
}

impl DeclineReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::TooLarge => "too_large",
            Self::RetryBudget => "retry_budget",
            Self::Quarantined => "request_quarantined",
        }
    }
}

/// The placer's decision on a [`PlacementRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementDecision {
    /// The request runs as planned.
    Placed(PlacementPlan),
    /// The request doesn't run.
    Declined {
        /// The reason.
        reason: DeclineReason,
        /// Time after which the client should retry, ms.
        retry_after_ms: u64,
    },
}

/// A running attempt, as its daemon reports it to a new placer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningJob {
    /// The attempt.
    pub job: JobId,
    /// The request as submitted.
    pub request: PlacementRequest,
    /// The endpoints on which it runs.
    pub plan: PlacementPlan,
    /// Whether its first event has arrived.
    pub started: bool,
}

/// The outcome of an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobOutcome {
    /// What it shows about the health of the endpoint.
    pub signal: health::HealthSignal,
    /// The endpoint at fault, if it isn't the primary of the plan.
    pub at_fault: Option<ids::EndpointId>,
    /// Whether the endpoint responded, so that it didn't crash on the request. Sent after the
    /// message, so that older builds can decode it.
    #[serde(skip)]
    pub responded: bool,
}

impl From<health::HealthSignal> for JobOutcome {
    /// Creates an outcome that concerns the primary of the plan.
    fn from(signal: health::HealthSignal) -> Self {
        Self {
            signal,
            at_fault: None,
            responded: false,
        }
    }
}
