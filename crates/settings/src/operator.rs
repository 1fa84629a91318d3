//! Settings of the operators' command.

use std::net;

use serde::{Deserialize, Serialize};

/// Where the platform is and who operates it. Flags and the environment go before these.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// The object API.
    pub object_api: Option<net::SocketAddr>,
    /// The host list.
    pub host_list: Option<net::SocketAddr>,
    /// Name written to the audit trail.
    pub who: Option<String>,
}
