//! Settings of the `sardinepaddle` command.

use std::net;

use serde::{Deserialize, Serialize};

/// Addresses of the platform and name of the operator. Flags and environment variables take
/// precedence over them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address of the object API.
    pub object_api: Option<net::SocketAddr>,
    /// Address of the host list.
    pub host_list: Option<net::SocketAddr>,
    /// Name of the operator in the audit trail.
    pub who: Option<String>,
}
