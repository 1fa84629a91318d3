//! The settings of a daemon.

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
    /// Name of this host, as in the host list.
    pub host: ids::HostId,
    /// Data centre that this host stands in.
    pub data_centre: ids::CentreId,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses of the platform.
    pub platform: PlatformSettings,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Networks from which the ports for peers and operators take connections.
    #[serde(default)]
    pub networks: NetworkSettings,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// Seed of random choices; drawn at the start if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For other daemons.
    pub peers: net::SocketAddr,
    /// Address by which peers reach this daemon, if it is not the one listened on.
    #[serde(default)]
    pub advertised_peers: Option<net::SocketAddr>,
    /// For operators and the balancer's checks.
    pub admin: net::SocketAddr,
}

/// Addresses of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The object API.
    pub object_api: net::SocketAddr,
    /// The host list.
    pub host_list: net::SocketAddr,
}

/// Networks from which ports take connections. The default is loopback and private networks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkSettings {
    /// For the port for peers.
    pub peers: networks::NetworkList,
    /// For the port for operators.
    pub admin: networks::NetworkList,
}

/// Limits towards callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest sum of request headers, in bytes.
    pub header_bytes: usize,
    /// Bytes of request bodies held at once.
    pub body_pool_bytes: usize,
    /// Time for the headers of a request, in milliseconds.
    pub header_read_ms: u64,
    /// Time for the body of a request, in milliseconds.
    pub body_read_ms: u64,
    /// Connections at once.
    pub connections: usize,
    /// Connections at once from one address.
    pub connections_per_host: usize,
    /// Requests in flight at once.
    pub in_flight: usize,
    /// Most tokens that a caller may ask for.
    pub max_tokens: u64,
    /// Longest time that a caller may allow, in milliseconds.
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
    /// Time for the headers of a request.
    pub fn header_read(&self) -> Duration {
        Duration::from_millis(self.header_read_ms)
    }

    /// Time for the body of a request.
    pub fn body_read(&self) -> Duration {
        Duration::from_millis(self.body_read_ms)
    }
}

/// The log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least level that is written: off, error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}
