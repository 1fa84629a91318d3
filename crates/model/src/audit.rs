//! Entries of the audit trail.

use serde::{Deserialize, Serialize};

/// One accepted change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Number of the change, from one.
    pub number: u64,
    /// Who made it.
    pub who: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// The command that made it.
    pub what: String,
    /// Identifies the write, so that a lost answer can be read back.
    pub write_id: String,
    /// Every value that differs.
    pub changes: Vec<AuditChange>,
}

/// One value that a change replaced.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditChange {
    /// Where the value stands, as `table/name`.
    pub path: String,
    /// The value before; `None` if it is new.
    pub before: Option<serde_json::Value>,
    /// The value after; `None` if it was removed.
    pub after: Option<serde_json::Value>,
}
