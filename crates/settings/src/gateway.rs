//! The settings of a daemon behind the users' platform.

use std::net;
use std::path;
use std::time::Duration;

use model::ids;
use serde::Deserialize;

use crate::load;

/// Settings of one daemon behind the platform. Fields that are not known are passed over, since
/// the platform may fill in more than this version reads.
///
/// ```
/// let text = "
/// host: edge-1
/// data_centre: amman-marka
/// listen: { callers: '10.1.0.4:80', readiness: '10.1.0.4:81', peers: '10.1.0.4:82', metrics: '10.1.0.4:83' }
/// store: '10.2.0.1:8000'
/// ";
/// let settings = sardinepaddle_settings::gateway::parse("settings", text).unwrap();
/// assert_eq!(settings.bounds.grace().as_secs(), 8);
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewaySettings {
    /// Name of this host.
    pub host: ids::HostId,
    /// Its data centre.
    pub data_centre: ids::CentreId,
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Addresses for peers of some daemons, for a start while the store is away.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Share of a processor core.
    #[serde(default = "default_share")]
    pub cpu_share: f64,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// Level of the log.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn default_share() -> f64 {
    1.0
}

fn default_level() -> String {
    "info".to_owned()
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewayListen {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For the balancer's checks.
    pub readiness: net::SocketAddr,
    /// For other daemons.
    pub peers: net::SocketAddr,
    /// For metrics.
    pub metrics: net::SocketAddr,
}

/// Bounds that the deployment sets.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct GatewayBounds {
    /// Time from SIGTERM to SIGKILL, s.
    pub grace_s: f64,
    /// Repeats per request, over all daemons.
    pub retry_ratio: f64,
    /// Window in which repeats are counted, s.
    pub retry_window_s: f64,
    /// Repeats beyond the ratio in one window.
    pub retry_extra: f64,
    /// Times its cold rate that a cold endpoint bears.
    pub cold_factor: f64,
    /// Requests a second that it bears beyond.
    pub cold_extra: f64,
    /// Time in which a configuration is in force on every daemon, ms.
    pub config_ms: f64,
    /// Time in which a leaving endpoint gets no more requests, ms.
    pub endpoints_ms: f64,
    /// Time in which a data centre out of service gets no more requests, ms.
    pub emptied_ms: f64,
}

impl Default for GatewayBounds {
    /// The figures of the users' first deployments.
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_extra: 100.0,
            cold_factor: 1.5,
            cold_extra: 5.0,
            config_ms: 2_000.0,
            endpoints_ms: 2_000.0,
            emptied_ms: 5_000.0,
        }
    }
}

impl GatewayBounds {
    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.clamp(0.0, 3_600.0))
    }
}

/// Why settings could not be read.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum GatewayError {
    /// The file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] load::SettingsError),
    /// The text is no YAML, or a field is missing or of another type.
    #[error("{name}: {source}")]
    Malformed {
        /// The file.
        name: String,
        /// The cause, with its line.
        #[source]
        source: serde_yaml_ng::Error,
    },
    /// A value is out of its range.
    #[error("{name}: {field} must be {range}")]
    OutOfRange {
        /// The file.
        name: String,
        /// The field.
        field: &'static str,
        /// What it may be.
        range: &'static str,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Parses and checks the text of a settings file.
pub fn parse(name: &str, text: &str) -> Result<GatewaySettings> {
    let settings: GatewaySettings =
        serde_yaml_ng::from_str(text).map_err(|source| GatewayError::Malformed {
            name: name.to_owned(),
            source,
        })?;
    let bounds = &settings.bounds;
    let checks = [
        ("cpu_share", "above 0", settings.cpu_share > 0.0),
        ("bounds.grace_s", "0 or more", bounds.grace_s >= 0.0),
        ("bounds.retry_ratio", "0 or more", bounds.retry_ratio >= 0.0),
        ("bounds.retry_extra", "0 or more", bounds.retry_extra >= 0.0),
        (
            "bounds.retry_window_s",
            "above 0",
            bounds.retry_window_s > 0.0,
        ),
        ("bounds.cold_factor", "0 or more", bounds.cold_factor >= 0.0),
        ("bounds.cold_extra", "0 or more", bounds.cold_extra >= 0.0),
        ("bounds.config_ms", "above 0", bounds.config_ms > 0.0),
        ("bounds.endpoints_ms", "above 0", bounds.endpoints_ms > 0.0),
        ("bounds.emptied_ms", "above 0", bounds.emptied_ms > 0.0),
    ];
    for (field, range, holds) in checks {
        if !holds {
            let name = name.to_owned();
            return Err(GatewayError::OutOfRange { name, field, range });
        }
    }
    Ok(settings)
}

/// Reads a settings file.
pub fn read(path: &path::Path) -> Result<GatewaySettings> {
    let text = load::read_text(path)?;
    parse(&path.display().to_string(), &text)
}
