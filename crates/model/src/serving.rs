//! What a daemon serves behind a platform: routes, services, customers and live endpoints.

use std::net;
use std::sync;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::map;

/// One accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Its version; later ones are higher.
    pub version: u64,
    /// Routes in the order in which they were listed.
    pub routes: Vec<sync::Arc<RouteEntry>>,
    /// Services by name.
    pub services: map::HashMap<ids::ServiceId, sync::Arc<ServiceProfile>>,
    /// Customers by API key. `None`: requests carry no key.
    pub customers: Option<map::HashMap<String, CustomerProfile>>,
    /// Limits towards callers.
    pub limits: ClientLimits,
}

/// Where requests of one host and path prefix go, and what they are owed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What a request may repeat.
    pub retry_safety: RetrySafety,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time to the first event, or to the whole answer, that earns full credit.
    pub latency_objective: Duration,
    /// Longest pause between two events of an answer that is on time; zero if it has none.
    pub gap_objective: Duration,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Rank of the route; zero goes first.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub targets: Vec<RouteTarget>,
    /// Whether requests need no key.
    pub public: bool,
}

/// A share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ids::ServiceId,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// What a request may repeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RetrySafety {
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run at most once.
    AtMostOnce,
    /// A stream that another endpoint can go on with after a given event.
    ResumableStream,
    /// A stream that may run at most once.
    AtMostOnceStream,
}

impl RetrySafety {
    /// Whether a request may run again after it may have run.
    ///
    /// ```
    /// use sardinepaddle_model::serving::RetrySafety;
    /// assert!(RetrySafety::ResumableStream.is_retryable());
    /// assert!(!RetrySafety::AtMostOnce.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::AtMostOnce | Self::AtMostOnceStream => false,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::ResumableStream | Self::AtMostOnceStream => true,
            Self::Idempotent | Self::AtMostOnce => false,
        }
    }
}

/// A customer as found by an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerProfile {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Rank that goes before the route's, if the customer has one.
    pub priority: Option<u8>,
}

/// Limits towards callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Bytes of a request head.
    pub header_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Longest time that a request head may take.
    pub header_timeout: Duration,
    /// Longest time that a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits in force until a configuration is known: those of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A service as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub service: ids::ServiceId,
    /// Requests a second that an endpoint bears while it is cold; zero if it never is.
    pub cold_rate: f64,
    /// Figures of the model engine; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Speed and sizes of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens of memory.
    pub memory_tokens: u64,
    /// Steps of a pass that includes generation; also the tokens of one event.
    pub stride: u32,
    /// Time of one step, ms.
    pub step_ms: f64,
    /// Time that each generating request adds to a step, ms.
    pub step_ms_per_request: f64,
    /// Time that each 1,000 tokens of context add to a step, ms.
    pub step_ms_per_context_k: f64,
    /// Prompt tokens read in one ms.
    pub prefill_tokens_per_ms: f64,
    /// Time of a million pairs of a prompt token and an earlier one, ms.
    pub attention_ms_per_million_pairs: f64,
    /// Most prompt tokens read in one step.
    pub chunk_tokens: u32,
}

/// A live endpoint as listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveEndpoint {
    /// Its id, new at each start as a rule.
    pub id: ids::EndpointId,
    /// Its service.
    pub service: ids::ServiceId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub centre: ids::CentreId,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Start of this life as told by itself, Unix ms; zero if not told.
    pub started_ms: u64,
}

/// A daemon as listed by itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonEntry {
    /// Its host.
    pub host: ids::HostId,
    /// Its data centre.
    pub centre: ids::CentreId,
    /// Where other daemons reach it.
    pub address: net::SocketAddr,
    /// Share of a processor core that it has, in thousandths.
    pub cpu_millis: u32,
}
