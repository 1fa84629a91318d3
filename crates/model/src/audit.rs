//! Entries of the audit trail.

use serde::{Deserialize, Serialize};

/// An accepted change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Sequence number of the change, starting at 1.
    pub number: u64,
    /// User who made the change.
    pub who: String,
    /// Time of the change, Unix ms.
    pub at_ms: u64,
    /// Command that made the change.
    pub what: String,
    /// Unique id of the write. If the reply to the write is lost, reading the object back and
    /// finding the id shows that the write took effect.
    pub write_id: String,
    /// All values that differ.
    pub changes: Vec<AuditChange>,
}

/// A value that was added, replaced or removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditChange {
    /// Location of the value, as `table/name`.
    pub path: String,
    /// The value before; `None` if it is new.
    pub before: Option<serde_json::Value>,
    /// The value after; `None` if it was removed.
    pub after: Option<serde_json::Value>,
}
