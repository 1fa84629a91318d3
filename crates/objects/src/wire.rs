//! Paths and messages of the platform.

use model::ids;
use model::peer;
use model::store;
use serde::{Deserialize, Serialize};

/// Response of the host list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostListing {
    /// Hosts that run daemons.
    pub hosts: Vec<peer::HostEntry>,
    /// Endpoints that are leaving.
    #[serde(default)]
    pub leaving_endpoints: Vec<ids::EndpointId>,
}

/// An object in a listing of the object API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedObject {
    /// Name of the object.
    pub name: String,
    /// Version of the object.
    pub version: store::ObjectVersion,
}

/// Path prefix of objects; also the path of the listing.
pub const OBJECTS_PATH: &str = "/v1/objects/";
/// Path prefix of watches.
pub const WATCH_PATH: &str = "/v1/watch/";
/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";
