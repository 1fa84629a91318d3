//! Calls to the object API and their replies.

use serde::{Deserialize, Serialize};

/// Version of an object; zero means that the object does not exist.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// Expected version of a write that must create its object.
    pub const ABSENT: Self = Self(0);
}

/// Sequence number of a call, which matches the reply to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// A call to the object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// Object name.
        name: String,
    },
    /// Replaces an object if its current version matches the expected one.
    Write {
        /// Object name.
        name: String,
        /// Expected current version.
        expected: ObjectVersion,
        /// New content.
        value: String,
    },
    /// Removes an object regardless of its version.
    Remove {
        /// Object name.
        name: String,
    },
}

/// Reply to a [`StoreCall`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreReply {
    /// The current object.
    Found {
        /// Version of the object.
        version: ObjectVersion,
        /// Content of the object.
        value: String,
    },
    /// The object does not exist.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: ObjectVersion,
    },
    /// The current version differs from the expected one; nothing was written.
    Conflict,
    /// The call may or may not have taken effect.
    Lost,
}
