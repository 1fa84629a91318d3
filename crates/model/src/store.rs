//! Calls to the object API and their replies.

use serde::{Deserialize, Serialize};

/// Version of one object; zero stands for an absent object.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// Expected by a write that must create its object.
    pub const ABSENT: Self = Self(0);
}

/// Numbers a call, so that its reply can be matched.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// A call to the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreCall {
    /// Read one object.
    Read {
        /// Object name.
        name: String,
    },
    /// Replace an object if its version is the expected one.
    Write {
        /// Object name.
        name: String,
        /// Version that must be current.
        expected: ObjectVersion,
        /// New content.
        value: String,
    },
    /// Remove an object whatever its version.
    Remove {
        /// Object name.
        name: String,
    },
}

/// Reply to a [`StoreCall`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreReply {
    /// The object as it is now.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// Its content.
        value: String,
    },
    /// There is no such object.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: ObjectVersion,
    },
    /// The version was not the expected one; nothing was written.
    Conflict,
    /// The call may or may not have taken effect.
    Lost,
}
