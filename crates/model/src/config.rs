//! Fleet configuration, as stored by operators in the object API.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

use crate::audit;
use crate::ids;

/// Name of the object that holds the configuration.
pub const CONFIG_OBJECT: &str = "config/current";

/// Version of an accepted configuration, assigned by the object API. Never decreases.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

/// Content of the object named [`CONFIG_OBJECT`]: the configuration and the newest entries of its
/// audit trail, stored together so that a change and its entry are written atomically.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigObject {
    /// The configuration.
    pub config: FleetConfig,
    /// The newest changes, oldest first.
    #[serde(default)]
    pub audit: Vec<audit::AuditEntry>,
}

/// Configuration of a fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Data centres by name.
    pub data_centres: collections::BTreeMap<ids::CentreId, CentreEntry>,
    /// Customers by name.
    pub customers: collections::BTreeMap<ids::CustomerId, CustomerEntry>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceId, ServiceEntry>,
    /// Endpoints by name.
    pub endpoints: collections::BTreeMap<ids::EndpointId, EndpointEntry>,
    /// Placement of requests.
    #[serde(default)]
    pub policy: PolicyEntry,
}

/// Administrative state of a data centre or endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// Accepts new work.
    #[default]
    InService,
    /// Accepts no new work; running work finishes.
    TakenOut,
}

/// Configuration of a data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Region of the data centre.
    pub region: String,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: ServiceState,
}

/// Configuration of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// Weight of the customer's fair share; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests in flight per daemon.
    #[serde(default = "default_customer_in_flight")]
    pub max_in_flight: u32,
}

impl Default for CustomerEntry {
    fn default() -> Self {
        Self {
            weight: default_weight(),
            max_in_flight: default_customer_in_flight(),
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_customer_in_flight() -> u32 {
    1_000
}

/// Configuration of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Kind of endpoint that serves it.
    pub kind: ServiceKind,
    /// Default request timeout, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Calls that must not run more than once (plain services only).
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
}

fn default_timeout_ms() -> u64 {
    30_000
}

/// Kind of endpoint that serves a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "type")]
pub enum ServiceKind {
    /// A model served by engines.
    Model {
        /// Model name that clients use in requests.
        model: String,
        /// Bytes of prompt text counted as one token.
        #[serde(default = "default_bytes_per_token")]
        bytes_per_token: u32,
    },
    /// A plain service, called by method and path.
    Plain {
        /// Path prefix that identifies the service in calls that do not name one.
        path_prefix: String,
    },
}

fn default_bytes_per_token() -> u32 {
    4
}

/// Method and path prefix of calls that must not run more than once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path prefix.
    pub path: String,
}

/// Configuration of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Service that the endpoint serves.
    pub service: ids::ServiceId,
    /// Data centre of the endpoint.
    pub data_centre: ids::CentreId,
    /// Address that the endpoint listens on.
    pub address: net::SocketAddr,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: ServiceState,
    /// Maximum concurrent requests when warm.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Memory capacity, in tokens (engines only).
    #[serde(default = "default_memory_tokens")]
    pub memory_tokens: u64,
    /// Maximum concurrent requests right after a cold start.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u32,
    /// Whether the endpoint rejects calls with an outdated fencing token.
    #[serde(default)]
    pub checks_orders: bool,
}

impl EndpointEntry {
    /// Creates an endpoint that is in service, with defaults for all other settings.
    pub fn new(
        service: ids::ServiceId,
        data_centre: ids::CentreId,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            service,
            data_centre,
            address,
            state: ServiceState::InService,
            slots: default_slots(),
            memory_tokens: default_memory_tokens(),
            cold_slots: default_cold_slots(),
            checks_orders: false,
        }
    }
}

fn default_slots() -> u32 {
    16
}

fn default_memory_tokens() -> u64 {
    400_000
}

fn default_cold_slots() -> u32 {
    2
}

/// Placement of requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyEntry {
    /// Strategy for choosing an endpoint of a service.
    #[serde(default)]
    pub placement: PlacementPolicy,
}

/// Strategy for choosing an endpoint of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Cycles through the endpoints regardless of request size.
    RoundRobin,
    /// Chooses the endpoint with the least known work.
    LeastLoaded,
    /// Chooses by size class and reserves slots and memory that long prompts must not use.
    #[default]
    SizeAware,
}
