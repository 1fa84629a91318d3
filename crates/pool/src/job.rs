//! What daemons ask of the one that places, and what it answers.

use std::net;

use model::ids;
use serde::{Deserialize, Serialize};

use crate::health;

/// One attempt to serve a request, unique among all lives of all daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId {
    /// Life of the daemon that has the request.
    pub incarnation: u64,
    /// Its number there.
    pub number: u64,
}

/// What kind of work a request is.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobKind {
    /// A prompt for a model engine.
    Prompt {
        /// Tokens of the prompt.
        tokens: u64,
        /// Most tokens of the answer.
        answer_tokens: u64,
    },
    /// A call of a plain service.
    Call,
}

impl JobKind {
    /// Tokens of the prompt; none for a call.
    pub fn prompt_tokens(&self) -> u64 {
        match self {
            Self::Prompt { tokens, .. } => *tokens,
            Self::Call => 0,
        }
    }

    /// Most tokens of the answer; none for a call.
    pub fn answer_tokens(&self) -> u64 {
        match self {
            Self::Prompt { answer_tokens, .. } => *answer_tokens,
            Self::Call => 0,
        }
    }
}

/// A request that looks for an endpoint. All times count from when it is asked.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// Its route; requests of one route are of one kind.
    pub route: String,
    /// Its service.
    pub service: ids::ServiceId,
    /// What it is.
    pub kind: JobKind,
    /// Data centre of the daemon that has it.
    pub centre: ids::CentreId,
    /// Time left for its first event or whole answer to be on time, ms; negative once late.
    pub objective_remaining_ms: f64,
    /// The whole objective, ms.
    pub full_objective_ms: f64,
    /// Longest pause between events that is on time, ms; zero if it has none.
    pub gap_objective_ms: f64,
    /// Pause at which its caller gives up, ms.
    pub abandon_after_ms: f64,
    /// Time left until it must be over, ms.
    pub remaining_ms: f64,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Endpoints not to use.
    pub excluded: Vec<ids::EndpointId>,
    /// Whether an earlier attempt reached an endpoint.
    pub is_retry: bool,
}

/// An endpoint of a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanMember {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Tokens of the prompt that are to be kept in memory reserved there.
    pub reserve_tokens: u64,
}

/// Where a request runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementPlan {
    /// The endpoint that gets the request.
    pub primary: PlanMember,
    /// Endpoints that help to read the prompt.
    pub helpers: Vec<PlanMember>,
    /// Time until the first event as predicted, ms.
    pub predicted_ms: f64,
    /// Rank for the engine; zero goes first.
    pub priority: u8,
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum DeclineReason {
    /// No endpoint of the service takes new work.
    NoEndpoint,
    /// No endpoint can serve it in time.
    Overloaded,
    /// It is larger than the memory of all endpoints that may hold it together.
    TooLarge,
    /// The budget for repeats is used up.
    RetryBudget,
}

impl DeclineReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::TooLarge => "too_large",
            Self::RetryBudget => "retry_budget",
        }
    }
}

/// Answer to a [`PlacementRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementDecision {
    /// It runs there.
    Placed(PlacementPlan),
    /// It does not run.
    Declined {
        /// Why.
        reason: DeclineReason,
        /// When there is likely to be room, ms from now.
        retry_after_ms: u64,
    },
}

/// A running attempt as its daemon tells it to one that takes over placing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningJob {
    /// The attempt.
    pub job: JobId,
    /// What was asked.
    pub request: PlacementRequest,
    /// Where it runs.
    pub plan: PlacementPlan,
    /// Whether its first event has come.
    pub started: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobOutcome {
    /// What it says of its endpoint.
    pub signal: health::HealthSignal,
    /// The endpoint at fault, if it is not the first of the plan.
    pub at_fault: Option<ids::EndpointId>,
}

impl From<health::HealthSignal> for JobOutcome {
    /// An end that says something of the first endpoint of the plan.
    fn from(signal: health::HealthSignal) -> Self {
        Self {
            signal,
            at_fault: None,
        }
    }
}
