//! The audit trail.
//!
//! The newest entries live in the object of the configuration itself, so that a change and its
//! entry are one write. When there are more than [`KEPT_ENTRIES`] of them, or more than
//! [`KEPT_BYTES`], the oldest are rolled off: first they are written to an object of their own,
//! named by the number of its first entry; only the next accepted change drops them from the
//! object of the configuration. A writer that is interrupted in between leaves them in both
//! places, and whoever reads the trail takes each number once. Which entries go to which object
//! follows from the entries alone, so that two writers at once write the same.

use std::collections;

use model::audit;
use model::config;
use model::store;

use crate::client;

/// Most entries kept with the configuration before the oldest are rolled off.
pub const KEPT_ENTRIES: usize = 64;
/// Most bytes of entries kept with the configuration before the oldest are rolled off.
pub const KEPT_BYTES: usize = 384 << 10;
/// Most entries in one object of rolled entries.
const ROLLED_ENTRIES: usize = 32;
/// Most bytes in one object of rolled entries, unless one entry alone is larger.
const ROLLED_BYTES: usize = 192 << 10;
/// Names of objects of rolled entries start so.
pub const ROLLED_PREFIX: &str = "audit/";
/// Tries to write one object of rolled entries.
const ROLL_TRIES: usize = 3;

/// Why the trail could not be read or rolled.
#[derive(Debug, thiserror::Error)]
pub enum TrailError {
    /// The object API could not be reached.
    #[error("the object API does not answer")]
    Unreachable,
    /// An object holds something else than the trail says.
    #[error("object {name} does not hold the audit entries that belong there")]
    Foreign {
        /// Its name.
        name: String,
    },
    /// The call failed.
    #[error(transparent)]
    Platform(#[from] client::PlatformError),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, TrailError>;

/// Number of leading entries that are due to be rolled off, as the lengths of whole objects.
pub fn due(entries: &[audit::AuditEntry]) -> Vec<usize> {
    let sizes = entries.iter().map(size_of).collect::<Vec<_>>();
    let mut rest = sizes.as_slice();
    let mut lengths = Vec::new();
    while rest.len() > KEPT_ENTRIES || rest.iter().sum::<usize>() > KEPT_BYTES {
        let length = object_length(rest);
        lengths.push(length);
        rest = &rest[length..];
    }
    lengths
}

fn object_length(sizes: &[usize]) -> usize {
    let mut bytes = 0;
    let fitting = sizes.iter().take(ROLLED_ENTRIES).take_while(|size| {
        bytes += **size;
        bytes <= ROLLED_BYTES
    });
    fitting.count().max(1)
}

fn size_of(entry: &audit::AuditEntry) -> usize {
    serde_json::to_string(entry).map_or(0, |text| text.len())
}

/// Writes the entries that are due to objects of their own. Returns how many leading entries the
/// next change may drop.
pub async fn roll(client: &client::PlatformClient, entries: &[audit::AuditEntry]) -> Result<usize> {
    let mut rest = entries;
    for length in due(entries) {
        let (rolled, kept) = rest.split_at(length);
        write_rolled(client, rolled).await?;
        rest = kept;
    }
    Ok(entries.len() - rest.len())
}

async fn write_rolled(
    client: &client::PlatformClient,
    entries: &[audit::AuditEntry],
) -> Result<()> {
    let Some(first) = entries.first() else {
        return Ok(());
    };
    let name = format!("{ROLLED_PREFIX}{:09}", first.number);
    let value = serde_json::to_string(entries).map_err(client::PlatformError::Body)?;
    for _ in 0..ROLL_TRIES {
        let call = store::StoreCall::Write {
            name: name.clone(),
            expected: store::ObjectVersion::ABSENT,
            value: value.clone(),
        };
        match client.call(call).await {
            store::StoreReply::Written { .. } => return Ok(()),
            store::StoreReply::Conflict => return confirm_rolled(client, name, entries).await,
            _ => {}
        }
    }
    Err(TrailError::Unreachable)
}

/// Another writer, or an earlier try of this one, has written the object already.
async fn confirm_rolled(
    client: &client::PlatformClient,
    name: String,
    entries: &[audit::AuditEntry],
) -> Result<()> {
    if read_rolled(client, &name).await? == entries {
        Ok(())
    } else {
        Err(TrailError::Foreign { name })
    }
}

async fn read_rolled(
    client: &client::PlatformClient,
    name: &str,
) -> Result<Vec<audit::AuditEntry>> {
    let call = store::StoreCall::Read {
        name: name.to_owned(),
    };
    match client.call(call).await {
        store::StoreReply::Found { value, .. } => {
            Ok(serde_json::from_str(&value).map_err(client::PlatformError::Body)?)
        }
        store::StoreReply::Absent => Ok(Vec::new()),
        _ => Err(TrailError::Unreachable),
    }
}

/// Names of the objects of rolled entries, oldest first.
async fn rolled_names(client: &client::PlatformClient) -> Result<Vec<String>> {
    let listed = client.list(ROLLED_PREFIX).await?;
    let mut names = listed
        .into_iter()
        .map(|object| object.name)
        .collect::<Vec<_>>();
    names.sort();
    Ok(names)
}

/// The newest entries, at least `wanted` if there are as many, oldest first. `object` is the
/// object of the configuration.
pub async fn read(
    client: &client::PlatformClient,
    object: &config::ConfigObject,
    wanted: usize,
) -> Result<Vec<audit::AuditEntry>> {
    let mut found = collections::BTreeMap::new();
    collect(&mut found, object.audit.clone());
    if found.len() < wanted {
        for name in rolled_names(client).await?.iter().rev() {
            collect(&mut found, read_rolled(client, name).await?);
            if found.len() >= wanted {
                break;
            }
        }
    }
    Ok(found.into_values().collect())
}

fn collect(
    found: &mut collections::BTreeMap<u64, audit::AuditEntry>,
    entries: Vec<audit::AuditEntry>,
) {
    for entry in entries {
        found.entry(entry.number).or_insert(entry);
    }
}

/// Number of the newest rolled entry, zero if there is none.
pub async fn newest_rolled(client: &client::PlatformClient) -> Result<u64> {
    let Some(name) = rolled_names(client).await?.pop() else {
        return Ok(0);
    };
    let entries = read_rolled(client, &name).await?;
    Ok(entries.last().map_or(0, |entry| entry.number))
}
