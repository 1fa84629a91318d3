//! The audit trail.
//!
//! The newest entries are stored in the configuration object, so that a change and its entry are
//! one write. When there are more than [`MAX_INLINE_ENTRIES`] of them, or more than
//! [`MAX_INLINE_BYTES`], the oldest are archived: they are first written to an archive object,
//! named by the number of its first entry, and removed from the configuration object only by the
//! next accepted change. If a writer is interrupted in between, they are in both objects, and
//! readers take each number once. The entries alone determine which entries go to which archive
//! object, so that concurrent writers write the same objects.

use std::collections;

use model::audit;
use model::config;
use model::store;

use crate::client;

/// Maximum number of entries in the configuration object before the oldest are archived.
pub const MAX_INLINE_ENTRIES: usize = 64;
/// Maximum size of the entries in the configuration object before the oldest are archived.
pub const MAX_INLINE_BYTES: usize = 384 << 10;
/// Maximum number of entries in an archive object.
const MAX_ARCHIVE_ENTRIES: usize = 32;
/// Maximum size of the entries in an archive object, unless a single entry is larger.
const MAX_ARCHIVE_BYTES: usize = 192 << 10;
/// Name prefix of archive objects.
pub const ARCHIVE_PREFIX: &str = "audit/";
/// Maximum number of attempts to write an archive object.
const MAX_ARCHIVE_ATTEMPTS: usize = 3;

/// Errors of reading or archiving the audit trail.
#[derive(Debug, thiserror::Error)]
pub enum TrailError {
    /// The object API could not be reached.
    #[error("the object API does not answer")]
    Unreachable,
    /// An archive object exists already with other entries.
    #[error("object {name} does not hold the audit entries that belong there")]
    UnexpectedEntries {
        /// Name of the object.
        name: String,
    },
    /// A call to the object API failed.
    #[error(transparent)]
    Platform(#[from] client::PlatformError),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, TrailError>;

/// Returns the number of entries in each archive object that must be written, oldest entries
/// first; empty if no entries must be archived.
pub fn archive_lengths(entries: &[audit::AuditEntry]) -> Vec<usize> {
    let sizes = entries.iter().map(entry_bytes).collect::<Vec<_>>();
    let mut remaining = sizes.as_slice();
    let mut lengths = Vec::new();
    while remaining.len() > MAX_INLINE_ENTRIES || remaining.iter().sum::<usize>() > MAX_INLINE_BYTES
    {
        let length = archive_length(remaining);
        lengths.push(length);
        remaining = &remaining[length..];
    }
    lengths
}

fn archive_length(sizes: &[usize]) -> usize {
    let mut bytes = 0;
    let fitting = sizes.iter().take(MAX_ARCHIVE_ENTRIES).take_while(|size| {
        bytes += **size;
        bytes <= MAX_ARCHIVE_BYTES
    });
    fitting.count().max(1)
}

fn entry_bytes(entry: &audit::AuditEntry) -> usize {
    serde_json::to_string(entry).map_or(0, |text| text.len())
}

/// Writes the entries that must be archived to archive objects. Returns the number of leading
/// entries that the next change may remove.
pub async fn archive(
    client: &client::PlatformClient,
    entries: &[audit::AuditEntry],
) -> Result<usize> {
    let mut remaining = entries;
    for length in archive_lengths(entries) {
        let (archived, kept) = remaining.split_at(length);
        write_archive(client, archived).await?;
        remaining = kept;
    }
    Ok(entries.len() - remaining.len())
}

async fn write_archive(
    client: &client::PlatformClient,
    entries: &[audit::AuditEntry],
) -> Result<()> {
    let Some(first) = entries.first() else {
        return Ok(());
    };
    let name = format!("{ARCHIVE_PREFIX}{:09}", first.number);
    let value = serde_json::to_string(entries).map_err(client::PlatformError::InvalidBody)?;
    for _ in 0..MAX_ARCHIVE_ATTEMPTS {
        let call = store::StoreCall::Write {
            name: name.clone(),
            expected: store::ObjectVersion::ABSENT,
            value: value.clone(),
        };
        match client.call(call).await {
            store::StoreReply::Written { .. } => return Ok(()),
            store::StoreReply::Conflict => return verify_archive(client, name, entries).await,
            _ => {}
        }
    }
    Err(TrailError::Unreachable)
}

/// Checks that an archive object, which another writer or an earlier attempt has written, holds
/// `entries`.
async fn verify_archive(
    client: &client::PlatformClient,
    name: String,
    entries: &[audit::AuditEntry],
) -> Result<()> {
    if read_archive(client, &name).await? == entries {
        Ok(())
    } else {
        Err(TrailError::UnexpectedEntries { name })
    }
}

async fn read_archive(
    client: &client::PlatformClient,
    name: &str,
) -> Result<Vec<audit::AuditEntry>> {
    let call = store::StoreCall::Read {
        name: name.to_owned(),
    };
    match client.call(call).await {
        store::StoreReply::Found { value, .. } => {
            Ok(serde_json::from_str(&value).map_err(client::PlatformError::InvalidBody)?)
        }
        store::StoreReply::Absent => Ok(Vec::new()),
        _ => Err(TrailError::Unreachable),
    }
}

/// Returns the names of the archive objects, oldest first.
async fn archive_names(client: &client::PlatformClient) -> Result<Vec<String>> {
    let listed = client.list(ARCHIVE_PREFIX).await?;
    let mut names = listed
        .into_iter()
        .map(|object| object.name)
        .collect::<Vec<_>>();
    names.sort();
    Ok(names)
}

/// Returns the newest entries, oldest first: at least `min_count`, or all if there are fewer.
/// `object` is the configuration object.
pub async fn read(
    client: &client::PlatformClient,
    object: &config::ConfigObject,
    min_count: usize,
) -> Result<Vec<audit::AuditEntry>> {
    let mut entries_by_number = collections::BTreeMap::new();
    add_missing(&mut entries_by_number, object.audit.clone());
    if entries_by_number.len() < min_count {
        for name in archive_names(client).await?.iter().rev() {
            add_missing(&mut entries_by_number, read_archive(client, name).await?);
            if entries_by_number.len() >= min_count {
                break;
            }
        }
    }
    Ok(entries_by_number.into_values().collect())
}

/// Adds the entries whose numbers are not present yet.
fn add_missing(
    entries_by_number: &mut collections::BTreeMap<u64, audit::AuditEntry>,
    entries: Vec<audit::AuditEntry>,
) {
    for entry in entries {
        entries_by_number.entry(entry.number).or_insert(entry);
    }
}

/// Returns the number of the newest archived entry; zero if there is none.
pub async fn newest_archived_number(client: &client::PlatformClient) -> Result<u64> {
    let Some(name) = archive_names(client).await?.pop() else {
        return Ok(0);
    };
    let entries = read_archive(client, &name).await?;
    Ok(entries.last().map_or(0, |entry| entry.number))
}
