//! Changes the configuration by conditional update, together with its audit entry.
//!
//! A change is accepted once the conditional update of [`config::CONFIG_OBJECT`] took effect.
//! When the answer to the write is lost, the object is read back and searched for the write's
//! id; as long as its version is the one expected, the same write is tried again, which can take
//! effect at most once. Only when the object has moved on without the id is the change lost.

use std::time::Duration;

use model::audit;
use model::config;
use model::store;

use crate::client;
use crate::trail;

/// Largest value that the object API holds, in bytes.
pub const VALUE_BYTES: usize = 1 << 20;
/// Tries to settle a write whose answer was lost.
const SETTLE_TRIES: usize = 6;
/// Pause between two of them.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);
/// Tries to read the configuration.
const READ_TRIES: usize = 3;

/// Why the configuration could not be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum WriterError {
    /// The object API could not be reached; nothing was changed.
    #[error("the object API does not answer; nothing was changed")]
    Unreachable,
    /// The object does not hold a configuration.
    #[error("the object API holds a configuration that cannot be read")]
    Unreadable(#[source] serde_json::Error),
    /// The configuration and its entry are larger than the object API takes.
    #[error(
        "the change needs {bytes} bytes, the object API takes {VALUE_BYTES}; nothing was changed"
    )]
    TooLarge {
        /// Bytes needed.
        bytes: usize,
    },
    /// The audit trail could not be rolled; nothing was changed.
    #[error("the audit trail cannot be rolled off; nothing was changed")]
    Trail(#[from] trail::TrailError),
    /// The write may or may not have taken effect.
    #[error("the answer to write {write_id} was lost: it may be in force or not")]
    Unknown {
        /// Id of the write.
        write_id: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, WriterError>;

/// The object of the configuration as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CurrentConfig {
    /// Its version; zero if there is none yet.
    pub version: store::ObjectVersion,
    /// Its content.
    pub object: config::ConfigObject,
}

/// Who makes a change, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeNote {
    /// Who makes it.
    pub who: String,
    /// The command that makes it.
    pub what: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Identifies the write; unique.
    pub write_id: String,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// Nothing differs; nothing was written.
    Unchanged,
    /// It is accepted. Holds the object as it is now and the entry of the change.
    Accepted {
        /// The object now, which may hold later changes too.
        current: Box<CurrentConfig>,
        /// The change's entry.
        entry: audit::AuditEntry,
    },
    /// Another change came first; nothing of this one took effect.
    LostRace {
        /// The changes that came first, oldest first.
        winners: Vec<audit::AuditEntry>,
    },
}

/// Reads and changes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigWriter {
    client: client::PlatformClient,
}

/// What is known of a write after a look at the object.
enum WriteFate {
    Taken(Box<CurrentConfig>),
    Pending,
    Beaten(Box<CurrentConfig>),
}

impl ConfigWriter {
    /// A writer through `client`.
    pub fn new(client: client::PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the configuration with its version.
    pub async fn read(&self) -> Result<CurrentConfig> {
        for _ in 0..READ_TRIES {
            let call = store::StoreCall::Read {
                name: config::CONFIG_OBJECT.to_owned(),
            };
            match self.client.call(call).await {
                store::StoreReply::Found { version, value } => {
                    let object = serde_json::from_str(&value).map_err(WriterError::Unreadable)?;
                    return Ok(CurrentConfig { version, object });
                }
                store::StoreReply::Absent => return Ok(CurrentConfig::default()),
                _ => {}
            }
        }
        Err(WriterError::Unreachable)
    }

    /// Replaces the configuration that was read as `base`.
    pub async fn change(
        &self,
        base: &CurrentConfig,
        config: config::FleetConfig,
        note: ChangeNote,
    ) -> Result<ChangeOutcome> {
        let changes = differences(&base.object.config, &config);
        if changes.is_empty() && base.version != store::ObjectVersion::ABSENT {
            return Ok(ChangeOutcome::Unchanged);
        }
        let number = self.next_number(base).await?;
        let entry = audit::AuditEntry {
            number,
            who: note.who,
            at_ms: note.at_ms,
            what: note.what,
            write_id: note.write_id,
            changes,
        };
        let rolled = trail::roll(&self.client, &base.object.audit).await?;
        let mut audit = base.object.audit[rolled..].to_vec();
        audit.push(entry.clone());
        let object = config::ConfigObject { config, audit };
        self.write(base, object, entry).await
    }

    async fn next_number(&self, base: &CurrentConfig) -> Result<u64> {
        match base.object.audit.last() {
            Some(last) => Ok(last.number + 1),
            None => Ok(trail::newest_rolled(&self.client).await? + 1),
        }
    }

    async fn write(
        &self,
        base: &CurrentConfig,
        object: config::ConfigObject,
        entry: audit::AuditEntry,
    ) -> Result<ChangeOutcome> {
        let value = serde_json::to_string(&object).map_err(WriterError::Unreadable)?;
        if value.len() > VALUE_BYTES {
            let bytes = value.len();
            return Err(WriterError::TooLarge { bytes });
        }
        for _ in 0..SETTLE_TRIES {
            let call = store::StoreCall::Write {
                name: config::CONFIG_OBJECT.to_owned(),
                expected: base.version,
                value: value.clone(),
            };
            if let store::StoreReply::Written { version } = self.client.call(call).await {
                let current = Box::new(CurrentConfig { version, object });
                return Ok(ChangeOutcome::Accepted { current, entry });
            }
            match self.fate(base, &entry).await {
                Ok(WriteFate::Taken(current)) => {
                    return Ok(ChangeOutcome::Accepted { current, entry });
                }
                Ok(WriteFate::Beaten(current)) => return self.lost_race(base, &current).await,
                // Not settled yet: the same write can take effect at most once.
                Ok(WriteFate::Pending) | Err(_) => tokio::time::sleep(SETTLE_PAUSE).await,
            }
        }
        let write_id = entry.write_id;
        Err(WriterError::Unknown { write_id })
    }

    /// Looks whether the write of `entry` took effect.
    async fn fate(&self, base: &CurrentConfig, entry: &audit::AuditEntry) -> Result<WriteFate> {
        let current = Box::new(self.read().await?);
        if current.version == base.version {
            return Ok(WriteFate::Pending);
        }
        let since = entries_since(&self.client, &current, entry.number).await?;
        let taken = since.iter().any(|other| other.write_id == entry.write_id);
        Ok(match taken {
            true => WriteFate::Taken(current),
            false => WriteFate::Beaten(current),
        })
    }

    async fn lost_race(
        &self,
        base: &CurrentConfig,
        current: &CurrentConfig,
    ) -> Result<ChangeOutcome> {
        let seen = base.object.audit.last().map_or(0, |entry| entry.number);
        let winners = entries_since(&self.client, current, seen + 1).await;
        // The race is lost for certain, even if who won it cannot be read.
        let winners = winners.unwrap_or_default();
        Ok(ChangeOutcome::LostRace { winners })
    }
}

/// Entries from `number` on, also those rolled off meanwhile.
async fn entries_since(
    client: &client::PlatformClient,
    current: &CurrentConfig,
    number: u64,
) -> Result<Vec<audit::AuditEntry>> {
    let newest = current.object.audit.last().map_or(0, |entry| entry.number);
    let wanted = newest.saturating_sub(number).saturating_add(1);
    let wanted = usize::try_from(wanted).unwrap_or(usize::MAX);
    let mut entries = trail::read(client, &current.object, wanted).await?;
    entries.retain(|entry| entry.number >= number);
    Ok(entries)
}

/// Every value that differs between two configurations, by `table/name`.
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
            json(&before.data_centres),
            json(&after.data_centres),
        ),
        ("customers", json(&before.customers), json(&after.customers)),
        ("services", json(&before.services), json(&after.services)),
        ("endpoints", json(&before.endpoints), json(&after.endpoints)),
        ("policy", json(&before.policy), json(&after.policy)),
    ];
    for (table, before, after) in tables {
        compare(table, &before, &after, &mut changes);
    }
    changes
}

fn json<T: serde::Serialize>(value: &T) -> serde_json::Map<String, serde_json::Value> {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}

fn compare(
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
