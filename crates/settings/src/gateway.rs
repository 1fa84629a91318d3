//! Settings of a daemon behind the users' platform.

use std::collections;
use std::net;
use std::path;
use std::time::Duration;

use model::ids;
use serde::Deserialize;

use crate::load;

/// Settings of one daemon behind the platform. Unknown fields are ignored, since the platform may
/// write fields that this version does not read.
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
    /// Data centre of this host.
    pub data_centre: ids::CentreId,
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Peer addresses of other daemons, used at startup while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// CPU cores that the daemon may use; may be a fraction.
    #[serde(default = "default_share")]
    pub cpu_share: f64,
    /// Memory that the daemon may use, in MB.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// Second attempts beside slow ones.
    #[serde(default)]
    pub hedging: HedgingSettings,
    /// Log level.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Paths of the fields that have no value, and are read as if they were missing.
    #[serde(skip)]
    pub empty_fields: Vec<String>,
}

fn default_share() -> f64 {
    1.0
}

fn default_memory() -> f64 {
    260.0
}

fn default_level() -> String {
    "info".to_owned()
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewayListen {
    /// Address for clients.
    pub callers: net::SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness: net::SocketAddr,
    /// Address for other daemons.
    pub peers: net::SocketAddr,
    /// Address for metrics.
    pub metrics: net::SocketAddr,
}

/// Bounds that the deployment sets.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct GatewayBounds {
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Maximum ratio of retries to requests, over all daemons.
    pub retry_ratio: f64,
    /// Window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Retries allowed in one window in addition to the ratio.
    pub retry_extra: f64,
    /// Maximum request rate of a cold endpoint, as a multiple of its cold rate.
    pub cold_factor: f64,
    /// Requests per second that a cold endpoint accepts in addition.
    pub cold_extra: f64,
    /// Time within which a configuration must be in force on every daemon, in milliseconds.
    pub config_ms: f64,
    /// Time after which a leaving endpoint must get no more requests, in milliseconds.
    pub endpoints_ms: f64,
    /// Time after which a data centre out of service must get no more requests, in milliseconds.
    pub emptied_ms: f64,
    /// Interval at which endpoints write their entries in the store, in milliseconds.
    pub heartbeat_ms: f64,
    /// Time after which a daemon whose connections work again must follow all removals, in
    /// milliseconds.
    pub contact_ms: f64,
}

/// Second attempts beside slow ones, for requests that may be repeated.
///
/// ```
/// use sardinepaddle_settings::gateway::HedgingSettings;
/// assert_eq!(HedgingSettings::default().max_extra_share, 0.0);
/// ```
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct HedgingSettings {
    /// Extra work as a share of the work of all requests of a service; zero for none.
    pub max_extra_share: f64,
    /// Shares of single services, by name.
    pub services: collections::BTreeMap<ids::ServiceId, f64>,
}

impl HedgingSettings {
    fn is_valid(&self) -> bool {
        let mut shares = self.services.values().chain([&self.max_extra_share]);
        shares.all(|share| (0.0..=1.0).contains(share))
    }
}

impl Default for GatewayBounds {
    /// Returns the bounds of the users' first deployments.
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
            heartbeat_ms: 1_200.0,
            contact_ms: 3_000.0,
        }
    }
}

impl GatewayBounds {
    /// Returns the time from SIGTERM to SIGKILL, at most one hour.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s.clamp(0.0, 3_600.0))
    }
}

/// Errors of reading settings.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum GatewayError {
    /// The file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] load::SettingsError),
    /// The text is not valid YAML, or a field is missing or has the wrong type.
    #[error("{name}: {source}")]
    Malformed {
        /// Name of the file.
        name: String,
        /// Parse error with the line and column.
        #[source]
        source: serde_yaml_ng::Error,
    },
    /// A value is out of range.
    #[error("{name}: {field} must be {range}")]
    OutOfRange {
        /// Name of the file.
        name: String,
        /// Path of the field.
        field: &'static str,
        /// Allowed range.
        range: &'static str,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Parses and checks the text of a settings file. A field without a value counts as missing: the
/// platform renders fields like this whose values it doesn't have.
pub fn parse(name: &str, text: &str) -> Result<GatewaySettings> {
    let settings = decode(text).map_err(|source| GatewayError::Malformed {
        name: name.to_owned(),
        source,
    })?;
    let bounds = &settings.bounds;
    let checks = [
        ("cpu_share", "above 0", settings.cpu_share > 0.0),
        ("memory_mb", "above 0", settings.memory_mb > 0.0),
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
        ("bounds.heartbeat_ms", "above 0", bounds.heartbeat_ms > 0.0),
        ("bounds.contact_ms", "above 0", bounds.contact_ms > 0.0),
        ("hedging", "shares of 0 to 1", settings.hedging.is_valid()),
    ];
    for (field, range, is_valid) in checks {
        if !is_valid {
            let name = name.to_owned();
            return Err(GatewayError::OutOfRange { name, field, range });
        }
    }
    Ok(settings)
}

/// Decodes settings. An error has its position in the text if all fields have values.
fn decode(text: &str) -> std::result::Result<GatewaySettings, serde_yaml_ng::Error> {
    let mut value: serde_yaml_ng::Value = serde_yaml_ng::from_str(text)?;
    let mut empty_fields = Vec::new();
    remove_empty(&mut value, "", &mut empty_fields);
    if empty_fields.is_empty() {
        return serde_yaml_ng::from_str(text);
    }
    let settings: GatewaySettings = serde_yaml_ng::from_value(value)?;
    Ok(GatewaySettings {
        empty_fields,
        ..settings
    })
}

/// Removes the fields without a value from a mapping and those in it, and adds their paths to `paths`.
fn remove_empty(value: &mut serde_yaml_ng::Value, parent: &str, paths: &mut Vec<String>) {
    let Some(fields) = value.as_mapping_mut() else {
        return;
    };
    fields.retain(|key, field| {
        let key = key.as_str().unwrap_or_default();
        let path = match parent {
            "" => key.to_owned(),
            parent => format!("{parent}.{key}"),
        };
        remove_empty(field, &path, paths);
        let is_empty = field.is_null();
        if is_empty {
            paths.push(path);
        }
        !is_empty
    });
}

/// Reads a settings file.
pub fn read(path: &path::Path) -> Result<GatewaySettings> {
    let text = load::read_text(path)?;
    parse(&path.display().to_string(), &text)
}
