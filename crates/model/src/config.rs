//! The configuration that operators keep in the object API.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

use crate::audit;
use crate::ids;

/// Name of the object that holds the configuration.
pub const CONFIG_OBJECT: &str = "config/current";

/// Version of an accepted configuration, as given by the object API. Only rises.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

/// Content of the object named [`CONFIG_OBJECT`]: the configuration together with the newest
/// entries of its audit trail, so that a change and its entry are written as one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigObject {
    /// The configuration.
    pub config: FleetConfig,
    /// Newest changes, oldest first.
    #[serde(default)]
    pub audit: Vec<audit::AuditEntry>,
}

/// Everything that operators decide about a fleet.
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
    /// How requests are placed.
    #[serde(default)]
    pub policy: PolicyEntry,
}

/// Whether operators want something to take new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// Takes new work.
    #[default]
    InService,
    /// Takes no new work; running work finishes.
    TakenOut,
}

/// One data centre.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Region that the data centre lies in.
    pub region: String,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ServiceState,
}

/// One customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// Weight of the customer's fair share; one is usual.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests in flight at one daemon.
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

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// What kind of endpoint serves it.
    pub kind: ServiceKind,
    /// Default time that a request may take, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Calls that may not be repeated (plain services).
    #[serde(default)]
    pub non_idempotent: Vec<CallPattern>,
}

fn default_timeout_ms() -> u64 {
    30_000
}

/// What kind of endpoint serves a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "type")]
pub enum ServiceKind {
    /// A model served by engines.
    Model {
        /// Name by which callers ask for the model.
        model: String,
        /// Bytes of prompt text counted as one token.
        #[serde(default = "default_bytes_per_token")]
        bytes_per_token: u32,
    },
    /// A plain service, called by method and path.
    Plain {
        /// Path prefix by which calls are recognised when no service is named.
        path_prefix: String,
    },
}

fn default_bytes_per_token() -> u32 {
    4
}

/// A method and path prefix of calls that may not be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path prefix.
    pub path: String,
}

/// One endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Service that the endpoint serves.
    pub service: ids::ServiceId,
    /// Data centre that it stands in.
    pub data_centre: ids::CentreId,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ServiceState,
    /// Most requests that it runs at once when warm.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens that its memory holds (engines).
    #[serde(default = "default_memory_tokens")]
    pub memory_tokens: u64,
    /// Requests that it carries right after a cold start.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_orders: bool,
}

impl EndpointEntry {
    /// An endpoint in service, with every default.
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

/// How requests are placed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyEntry {
    /// Choice among the endpoints of a service.
    #[serde(default)]
    pub placement: PlacementPolicy,
}

/// Choice among the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Each endpoint in turn, without regard to size.
    RoundRobin,
    /// The endpoint with the least work in sight.
    LeastLoaded,
    /// By size class, with slots and memory that long prompts may not take.
    #[default]
    SizeAware,
}
