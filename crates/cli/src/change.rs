//! Changes the configuration: read, change, check, write by conditional update, tell the daemons.

use std::collections;
use std::fmt;

use model::config;
use model::millis;
use model::peer;
use model::store;
use objects::daemons;
use objects::writer;
use rand::Rng;
use settings::check;

use crate::connect;
use crate::error;
use crate::output;

/// How many daemons took an accepted configuration.
struct PushCount {
    taken: usize,
    asked: usize,
}

/// Makes one change and tells how it ended.
pub(crate) async fn run(
    access: &connect::PlatformAccess,
    what: &str,
    edit: impl FnOnce(&mut config::FleetConfig) -> error::Result<()>,
) -> error::Result<()> {
    let note = writer::ChangeMetadata {
        who: access.who()?,
        what: what.to_owned(),
        at_ms: millis::since_epoch(),
        write_id: format!("{:032x}", rand::rng().random::<u128>()),
    };
    let write_id = note.write_id.clone();
    let base = access.writer.read().await?;
    let mut config = base.object.config.clone();
    edit(&mut config)?;
    check_whole(&config)?;
    let outcome = access.writer.change(&base, config, note).await;
    if let Err(writer::WriterError::Unknown { .. }) = &outcome {
        eprintln!("see later: sardinepaddle audit --write-id {write_id}");
    }
    match outcome? {
        writer::ChangeOutcome::Unchanged => {
            let version = base.version.0;
            output::say(&format!("nothing to change: version {version} stays"))
        }
        writer::ChangeOutcome::Conflict { earlier_changes } => Err(lost_race(&earlier_changes)),
        writer::ChangeOutcome::Accepted { current, entry } => {
            let pushed = push(access, &current).await;
            output::say(&format!("accepted: version {}", current.version.0))?;
            output::say(&output::entry(&entry))?;
            output::say(&pushed)
        }
    }
}

/// Checks a changed configuration as `check` does a file.
fn check_whole(config: &config::FleetConfig) -> error::Result<()> {
    let text = serde_yaml_ng::to_string(config)?;
    check::config("configuration after the change", &text)?;
    Ok(())
}

fn lost_race(winners: &[model::audit::AuditEntry]) -> error::CliError {
    let lines = winners.iter().map(output::entry).collect::<Vec<_>>();
    let winners = match lines.is_empty() {
        true => "the audit trail could not be read to tell whose it was".to_owned(),
        false => lines.join("\n"),
    };
    error::CliError::LostRace { winners }
}

/// Hands the accepted configuration to the daemons, so that it spreads even if the object API
/// fails now. A daemon that does not take it learns of it by its watch or its peers.
async fn push(access: &connect::PlatformAccess, current: &writer::CurrentConfig) -> String {
    let Ok(listing) = access.client.hosts().await else {
        let text =
            "pushed to no daemon: the host list does not answer; daemons learn by their watch";
        return text.to_owned();
    };
    let count = push_to(&listing.hosts, current.version, &current.object.config).await;
    format!("pushed to {} of {} daemons", count.taken, count.asked)
}

async fn push_to(
    hosts: &[peer::HostEntry],
    version: store::ObjectVersion,
    config: &config::FleetConfig,
) -> PushCount {
    let client = daemons::DaemonClient::default();
    let accepted = daemons::AcceptedConfig {
        version: config::ConfigVersion(version.0),
        config,
    };
    let pushes = hosts
        .iter()
        .map(|host| client.push(host.admin_address, &accepted));
    let results = futures_util::future::join_all(pushes).await;
    PushCount {
        taken: results.iter().filter(|result| result.is_ok()).count(),
        asked: hosts.len(),
    }
}

/// Adds an entry that must be new.
pub(crate) fn insert<K: Ord + fmt::Display, V>(
    table: &mut collections::BTreeMap<K, V>,
    name: K,
    entry: V,
) -> error::Result<()> {
    if table.contains_key(&name) {
        let message = format!("{name} exists already");
        return Err(error::CliError::Refused { message });
    }
    table.insert(name, entry);
    Ok(())
}

/// Finds an entry that must exist.
pub(crate) fn find<'a, K: Ord + fmt::Display, V>(
    table: &'a mut collections::BTreeMap<K, V>,
    name: &K,
) -> error::Result<&'a mut V> {
    let found = table.get_mut(name);
    found.ok_or_else(|| error::CliError::Refused {
        message: format!("there is no {name}"),
    })
}

/// Removes an entry that must exist.
pub(crate) fn remove<K: Ord + fmt::Display, V>(
    table: &mut collections::BTreeMap<K, V>,
    name: &K,
) -> error::Result<()> {
    find(table, name)?;
    table.remove(name);
    Ok(())
}
