//! What the platform sends.

use model::ids;
use model::peer;
use model::store;
use serde::{Deserialize, Serialize};

/// Answer of the host list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostListing {
    /// Hosts that run daemons.
    pub hosts: Vec<peer::HostEntry>,
    /// Endpoints that are leaving.
    #[serde(default)]
    pub leaving_endpoints: Vec<ids::EndpointId>,
}

/// One object of a listing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedObject {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: store::ObjectVersion,
}

/// Path under which objects are served.
pub const OBJECTS_PATH: &str = "/v1/objects/";
/// Path under which objects are watched.
pub const WATCH_PATH: &str = "/v1/watch/";
/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";
