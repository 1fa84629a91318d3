//! Settings of a daemon.

use std::net;
use std::time::Duration;

use model::ids;
use serde::{Deserialize, Serialize};

use crate::networks;

/// Settings of one daemon.
///
/// ```
/// let text = "
/// host: a1
/// data_centre: amman-marka
/// listen: { callers: '127.0.0.1:8080', peers: '127.0.0.1:8081', admin: '127.0.0.1:8082' }
/// platform: { object_api: '127.0.0.1:9000', host_list: '127.0.0.1:9001' }
/// ";
/// let settings = sardinepaddle_settings::load::parse(text).unwrap();
/// assert_eq!(settings.host.as_str(), "a1");
/// ```
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this host in the host list.
    pub host: ids::HostId,
    /// Data centre of this host.
    pub data_centre: ids::CentreId,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses of the platform.
    pub platform: PlatformSettings,
    /// Limits for clients.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Networks that may connect to the peer and admin ports.
    #[serde(default)]
    pub networks: NetworkSettings,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Seed of the random number generator; random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for clients.
    pub callers: net::SocketAddr,
    /// Address for other daemons.
    pub peers: net::SocketAddr,
    /// Address at which peers reach this daemon, if it differs from `peers`.
    #[serde(default)]
    pub advertised_peers: Option<net::SocketAddr>,
    /// Address for operators and for the load balancer's health checks.
    pub admin: net::SocketAddr,
}

/// Addresses of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub object_api: net::SocketAddr,
    /// Address of the host list.
    pub host_list: net::SocketAddr,
}

/// Networks that may connect to a port. The default is loopback and private networks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkSettings {
    /// Networks that may connect to the peer port.
    pub peers: networks::NetworkList,
    /// Networks that may connect to the admin port.
    pub admin: networks::NetworkList,
}

/// Limits for clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of all headers of a request together, in bytes.
    pub header_bytes: usize,
    /// Maximum size of all request bodies in memory together, in bytes.
    pub body_pool_bytes: usize,
    /// Timeout for reading the headers of a request, in milliseconds.
    pub header_read_ms: u64,
    /// Timeout for reading the body of a request, in milliseconds.
    pub body_read_ms: u64,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of open connections from one IP address.
    pub connections_per_host: usize,
    /// Maximum number of requests in flight.
    pub in_flight: usize,
    /// Maximum number of output tokens that a client may request.
    pub max_tokens: u64,
    /// Longest timeout that a client may set, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 16 << 20,
            header_bytes: 16 << 10,
            body_pool_bytes: 512 << 20,
            header_read_ms: 5_000,
            body_read_ms: 20_000,
            connections: 8_000,
            connections_per_host: 4_000,
            in_flight: 4_000,
            max_tokens: 16_384,
            timeout_ms: 600_000,
        }
    }
}

impl LimitSettings {
    /// Returns the timeout for reading the headers of a request.
    pub fn header_read(&self) -> Duration {
        Duration::from_millis(self.header_read_ms)
    }

    /// Returns the timeout for reading the body of a request.
    pub fn body_read(&self) -> Duration {
        Duration::from_millis(self.body_read_ms)
    }
}

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged: off, error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}
