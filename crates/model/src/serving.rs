//! Routes, services, customers and live endpoints that a daemon serves when a platform configures
//! it.

use std::net;
use std::sync;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::map;

/// An accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Version of the configuration; increases with every change.
    pub version: u64,
    /// Routes in configured order.
    pub routes: Vec<sync::Arc<RouteEntry>>,
    /// Services by name.
    pub services: map::HashMap<ids::ServiceId, sync::Arc<ServiceProfile>>,
    /// Customers by API key; `None` if requests carry no key.
    pub customers: Option<map::HashMap<String, CustomerProfile>>,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
}

/// Target services, latency objectives and limits of the requests with a given host and path
/// prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub retry_safety: RetrySafety,
    /// Default timeout of a request.
    pub timeout: Duration,
    /// Latency objective: time to the first event of a stream, or to the whole response otherwise.
    pub latency_objective: Duration,
    /// Objective for the gap between two events of a stream; zero if there is none.
    pub gap_objective: Duration,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Weighted target services; never empty.
    pub targets: Vec<RouteTarget>,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

/// A weighted target of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ids::ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RetrySafety {
    /// A plain call that may run more than once.
    Idempotent,
    /// A plain call that may run at most once.
    AtMostOnce,
    /// A stream that another endpoint can resume after a given event.
    ResumableStream,
    /// A stream that may run at most once.
    AtMostOnceStream,
}

impl RetrySafety {
    /// Returns whether a request may be sent again after an endpoint may have run it.
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

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::ResumableStream | Self::AtMostOnceStream => true,
            Self::Idempotent | Self::AtMostOnce => false,
        }
    }
}

/// The customer that an API key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerProfile {
    /// The customer.
    pub customer: ids::CustomerId,
    /// Priority that overrides the route's, if configured.
    pub priority: Option<u8>,
}

/// Limits on client connections and requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for reading the request line and headers.
    pub header_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits that apply until a configuration is loaded: those of common HTTP
    /// servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub service: ids::ServiceId,
    /// Requests per second that a cold endpoint can serve; zero if endpoints are never cold.
    pub cold_rate: f64,
    /// Performance figures of the model engine; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Performance and capacity of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass with generating requests; also the number of tokens per event.
    pub stride: u32,
    /// Base duration of a step, ms.
    pub step_ms: f64,
    /// Time that each generating request adds to a step, ms.
    pub step_ms_per_request: f64,
    /// Time that each 1,000 tokens of context add to a step, ms.
    pub step_ms_per_context_k: f64,
    /// Prefill rate, in prompt tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// Attention cost of prefill: time per million pairs of a prompt token and an earlier one, ms.
    pub attention_ms_per_million_pairs: f64,
    /// Maximum number of prompt tokens that prefill processes in one step.
    pub chunk_tokens: u32,
}

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveEndpoint {
    /// Id of the endpoint; usually new at each start.
    pub id: ids::EndpointId,
    /// Service that the endpoint serves.
    pub service: ids::ServiceId,
    /// Address that the endpoint listens on.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub centre: ids::CentreId,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is draining and will leave.
    pub leaving: bool,
    /// Start time of this incarnation as reported by the endpoint, Unix ms; zero if not reported.
    pub started_ms: u64,
    /// Number that the endpoint raises with its changes of state; starts anew with each
    /// incarnation.
    pub sequence: u64,
}

/// A daemon as registered by itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonEntry {
    /// Host that the daemon runs on.
    pub host: ids::HostId,
    /// Its data centre.
    pub centre: ids::CentreId,
    /// Address for connections from other daemons.
    pub address: net::SocketAddr,
    /// Address for requests, also those that other daemons forward; `None` if its build takes none.
    #[serde(default)]
    pub callers: Option<net::SocketAddr>,
    /// Processor time available to the daemon, in thousandths of a core.
    pub cpu_millis: u32,
}
