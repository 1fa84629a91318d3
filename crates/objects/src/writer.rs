//! Changes the configuration by conditional update, together with its audit entry.
//!
//! A change is accepted once the conditional update of [`config::CONFIG_OBJECT`] has taken effect.
//! If the response to the write is lost, the object is read back and its audit entries are searched
//! for the id of the write. While the object still has the expected version, the same write is
//! retried, which can take effect at most once. The change is rejected only if the object has a
//! newer version and no entry with the id.

use std::time::Duration;

use model::audit;
use model::config;
use model::store;

use crate::client;
use crate::trail;

/// Maximum size of an object in the object API.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of attempts to write a change.
const MAX_WRITE_ATTEMPTS: usize = 6;
/// Delay between two attempts to write a change.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of attempts to read the configuration.
const MAX_READ_ATTEMPTS: usize = 3;

/// Errors of reading or changing the configuration.
#[derive(Debug, thiserror::Error)]
pub enum WriterError {
    /// The object API could not be reached; nothing was changed.
    #[error("the object API does not answer; nothing was changed")]
    Unreachable,
    /// The content of the object is not a valid configuration.
    #[error("the object API holds a configuration that cannot be parsed")]
    InvalidConfig(#[source] serde_json::Error),
    /// The configuration with its audit entries exceeds [`MAX_VALUE_BYTES`].
    #[error(
        "the change needs {bytes} bytes, the object API takes {MAX_VALUE_BYTES}; nothing was changed"
    )]
    TooLarge {
        /// Size of the object.
        bytes: usize,
    },
    /// The audit trail could not be archived or read; nothing was changed.
    #[error("the audit trail cannot be archived or read; nothing was changed")]
    Trail(#[from] trail::TrailError),
    /// The write may or may not have taken effect.
    #[error("the response to write {write_id} was lost: the change may or may not be in force")]
    Unknown {
        /// Id of the write.
        write_id: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, WriterError>;

/// The configuration object with its version, as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CurrentConfig {
    /// Version of the object; zero if it does not exist yet.
    pub version: store::ObjectVersion,
    /// Content of the object.
    pub object: config::ConfigObject,
}

/// Origin of a change, recorded in its audit entry.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeMetadata {
    /// Name of the operator.
    pub who: String,
    /// Command that makes the change.
    pub what: String,
    /// Time of the change, in milliseconds since 1970.
    pub at_ms: u64,
    /// Unique id of the write.
    pub write_id: String,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The configuration is the same; nothing was written.
    Unchanged,
    /// The change is in force.
    Accepted {
        /// The object as last read or written, which may include later changes.
        current: Box<CurrentConfig>,
        /// Audit entry of the change.
        entry: audit::AuditEntry,
    },
    /// Another change was accepted first; nothing of this one took effect.
    Conflict {
        /// The changes accepted first, oldest first; empty if they could not be read.
        earlier_changes: Vec<audit::AuditEntry>,
    },
}

/// Reads and changes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigWriter {
    client: client::PlatformClient,
}

/// State of a write, as found by reading the object back.
enum WriteStatus {
    Applied(Box<CurrentConfig>),
    Pending,
    Superseded(Box<CurrentConfig>),
}

impl ConfigWriter {
    /// Creates a writer that uses `client`.
    pub fn new(client: client::PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the configuration with its version.
    pub async fn read(&self) -> Result<CurrentConfig> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let call = store::StoreCall::Read {
                name: config::CONFIG_OBJECT.to_owned(),
            };
            match self.client.call(call).await {
                store::StoreReply::Found { version, value } => {
                    let object =
                        serde_json::from_str(&value).map_err(WriterError::InvalidConfig)?;
                    return Ok(CurrentConfig { version, object });
                }
                store::StoreReply::Absent => return Ok(CurrentConfig::default()),
                _ => {}
            }
        }
        Err(WriterError::Unreachable)
    }

    /// Replaces the configuration, provided that it is still the one that was read as `base`.
    pub async fn change(
        &self,
        base: &CurrentConfig,
        config: config::FleetConfig,
        metadata: ChangeMetadata,
    ) -> Result<ChangeOutcome> {
        let changes = differences(&base.object.config, &config);
        if changes.is_empty() && base.version != store::ObjectVersion::ABSENT {
            return Ok(ChangeOutcome::Unchanged);
        }
        let number = self.next_number(base).await?;
        let entry = audit::AuditEntry {
            number,
            who: metadata.who,
            at_ms: metadata.at_ms,
            what: metadata.what,
            write_id: metadata.write_id,
            changes,
        };
        let archived = trail::archive(&self.client, &base.object.audit).await?;
        let mut audit = base.object.audit[archived..].to_vec();
        audit.push(entry.clone());
        let object = config::ConfigObject { config, audit };
        self.write(base, object, entry).await
    }

    async fn next_number(&self, base: &CurrentConfig) -> Result<u64> {
        match base.object.audit.last() {
            Some(last) => Ok(last.number + 1),
            None => Ok(trail::newest_archived_number(&self.client).await? + 1),
        }
    }

    async fn write(
        &self,
        base: &CurrentConfig,
        object: config::ConfigObject,
        entry: audit::AuditEntry,
    ) -> Result<ChangeOutcome> {
        let value = serde_json::to_string(&object).map_err(WriterError::InvalidConfig)?;
        if value.len() > MAX_VALUE_BYTES {
            let bytes = value.len();
            return Err(WriterError::TooLarge { bytes });
        }
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let call = store::StoreCall::Write {
                name: config::CONFIG_OBJECT.to_owned(),
                expected: base.version,
                value: value.clone(),
            };
            if let store::StoreReply::Written { version } = self.client.call(call).await {
                let current = Box::new(CurrentConfig { version, object });
                return Ok(ChangeOutcome::Accepted { current, entry });
            }
            match self.write_status(base, &entry).await {
                Ok(WriteStatus::Applied(current)) => {
                    return Ok(ChangeOutcome::Accepted { current, entry });
                }
                Ok(WriteStatus::Superseded(current)) => return self.conflict(base, &current).await,
                // Retry: the condition on the version lets the write take effect at most once.
                Ok(WriteStatus::Pending) | Err(_) => tokio::time::sleep(WRITE_RETRY_DELAY).await,
            }
        }
        let write_id = entry.write_id;
        Err(WriterError::Unknown { write_id })
    }

    /// Reads the object back to find out whether the write of `entry` took effect.
    async fn write_status(
        &self,
        base: &CurrentConfig,
        entry: &audit::AuditEntry,
    ) -> Result<WriteStatus> {
        let current = Box::new(self.read().await?);
        if current.version == base.version {
            return Ok(WriteStatus::Pending);
        }
        let newer_entries = entries_since(&self.client, &current, entry.number).await?;
        let is_applied = newer_entries
            .iter()
            .any(|other| other.write_id == entry.write_id);
        Ok(match is_applied {
            true => WriteStatus::Applied(current),
            false => WriteStatus::Superseded(current),
        })
    }

    async fn conflict(
        &self,
        base: &CurrentConfig,
        current: &CurrentConfig,
    ) -> Result<ChangeOutcome> {
        let last_number = base.object.audit.last().map_or(0, |entry| entry.number);
        let earlier_changes = entries_since(&self.client, current, last_number + 1).await;
        // It is a conflict even if the earlier changes cannot be read.
        let earlier_changes = earlier_changes.unwrap_or_default();
        Ok(ChangeOutcome::Conflict { earlier_changes })
    }
}

/// Returns the entries from `number` on, including those archived in the meantime.
async fn entries_since(
    client: &client::PlatformClient,
    current: &CurrentConfig,
    number: u64,
) -> Result<Vec<audit::AuditEntry>> {
    let newest = current.object.audit.last().map_or(0, |entry| entry.number);
    let min_count = newest.saturating_sub(number).saturating_add(1);
    let min_count = usize::try_from(min_count).unwrap_or(usize::MAX);
    let mut entries = trail::read(client, &current.object, min_count).await?;
    entries.retain(|entry| entry.number >= number);
    Ok(entries)
}

/// Returns every value that differs between two configurations, with its path `table/name`.
///
/// ```
/// use model::config;
/// use model::ids;
/// use sardinepaddle_objects::writer;
/// let before = config::FleetConfig::default();
/// let mut after = before.clone();
/// after.customers.insert(ids::CustomerId::new("a"), config::CustomerEntry::default());
/// let changes = writer::differences(&before, &after);
/// assert_eq!(changes[0].path, "customers/a");
/// ```
pub fn differences(
    before: &config::FleetConfig,
    after: &config::FleetConfig,
) -> Vec<audit::AuditChange> {
    let mut changes = Vec::new();
    let tables = [
        (
            "data_centres",
            to_map(&before.data_centres),
            to_map(&after.data_centres),
        ),
        (
            "customers",
            to_map(&before.customers),
            to_map(&after.customers),
        ),
        (
            "services",
            to_map(&before.services),
            to_map(&after.services),
        ),
        (
            "endpoints",
            to_map(&before.endpoints),
            to_map(&after.endpoints),
        ),
        ("policy", to_map(&before.policy), to_map(&after.policy)),
    ];
    for (table, before, after) in tables {
        add_differences(table, &before, &after, &mut changes);
    }
    changes
}

fn to_map<T: serde::Serialize>(value: &T) -> serde_json::Map<String, serde_json::Value> {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}

fn add_differences(
    table: &str,
    before: &serde_json::Map<String, serde_json::Value>,
    after: &serde_json::Map<String, serde_json::Value>,
    changes: &mut Vec<audit::AuditChange>,
) {
    let added = after.keys().filter(|name| !before.contains_key(*name));
    for name in before.keys().chain(added) {
        if before.get(name) == after.get(name) {
            continue;
        }
        changes.push(audit::AuditChange {
            path: format!("{table}/{name}"),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
        });
    }
}
