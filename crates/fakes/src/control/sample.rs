//! Counters read from a fleet, and what they rose by.

use std::fs;
use std::io;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::fleet;
use crate::store;

/// Clock ticks in a second, as `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Column of user time in `/proc/PID/stat`, counted after the program's name.
const USER_TIME_FIELD: usize = 11;

/// What a daemon's `/status` says of control.
#[derive(Clone, Debug, Deserialize)]
struct DaemonStatus {
    control: ControlCounts,
    stats: StatCounts,
}

#[derive(Clone, Debug, Deserialize)]
struct ControlCounts {
    peer_sent_bytes: u64,
    peer_received_bytes: u64,
    peer_sent_calls: u64,
    peer_received_calls: u64,
    peer_dials: u64,
    peer_dropped: u64,
    platform: Vec<PlatformCounts>,
    load_calls: u64,
    load_bytes: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct PlatformCounts {
    kind: String,
    sent_bytes: u64,
    received_bytes: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct StatCounts {
    answered: u64,
    grants_given: u64,
    grants_denied: u64,
    claims_recorded: u64,
}

/// Counters of a whole fleet at one time, summed over its daemons.
#[derive(Clone, Debug)]
pub(super) struct FleetSample {
    at: time::Instant,
    daemons: usize,
    peer_sent: u64,
    peer_received: u64,
    calls_sent: u64,
    calls_received: u64,
    dials: u64,
    dropped: u64,
    hosts_bytes: u64,
    store_bytes: u64,
    load_calls: u64,
    load_bytes: u64,
    answered: u64,
    grants: u64,
    denied: u64,
    claims: u64,
    link_bytes: u64,
    cpu_ticks: u64,
    rss_kib: u64,
    rss_most_kib: u64,
    store: store::StoreWitness,
}

/// Reads all counters of a fleet.
pub(super) async fn read(fleet: &fleet::ProcessFleet) -> io::Result<FleetSample> {
    let mut sample = FleetSample {
        at: time::Instant::now(),
        daemons: fleet.daemons.len(),
        peer_sent: 0,
        peer_received: 0,
        calls_sent: 0,
        calls_received: 0,
        dials: 0,
        dropped: 0,
        hosts_bytes: 0,
        store_bytes: 0,
        load_calls: 0,
        load_bytes: 0,
        answered: 0,
        grants: 0,
        denied: 0,
        claims: 0,
        link_bytes: 0,
        cpu_ticks: 0,
        rss_kib: 0,
        rss_most_kib: 0,
        store: fleet.store_witness().await,
    };
    for (index, unit) in fleet.daemons.iter().enumerate() {
        let status = fleet.status(index).await;
        let status = status.ok_or_else(|| io::Error::other("a daemon gave no status"))?;
        let status = serde_json::from_value::<DaemonStatus>(status)?;
        add_status(&mut sample, &status);
        let link = unit.peer_link.control().witness();
        sample.link_bytes += link.request_bytes + link.answer_bytes;
        let process = unit.process.as_ref().map_or(0, |process| process.id());
        sample.cpu_ticks += cpu_ticks(process)?;
        let rss = rss_kib(process)?;
        sample.rss_kib += rss;
        sample.rss_most_kib = sample.rss_most_kib.max(rss);
    }
    Ok(sample)
}

fn add_status(sample: &mut FleetSample, status: &DaemonStatus) {
    let control = &status.control;
    sample.peer_sent += control.peer_sent_bytes;
    sample.peer_received += control.peer_received_bytes;
    sample.calls_sent += control.peer_sent_calls;
    sample.calls_received += control.peer_received_calls;
    sample.dials += control.peer_dials;
    sample.dropped += control.peer_dropped;
    for counts in &control.platform {
        let bytes = counts.sent_bytes + counts.received_bytes;
        if counts.kind == "hosts" {
            sample.hosts_bytes += bytes;
        } else {
            sample.store_bytes += bytes;
        }
    }
    sample.load_calls += control.load_calls;
    sample.load_bytes += control.load_bytes;
    sample.answered += status.stats.answered;
    sample.grants += status.stats.grants_given;
    sample.denied += status.stats.grants_denied;
    sample.claims += status.stats.claims_recorded;
}

fn cpu_ticks(process: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_else(|| io::Error::other("unreadable stat"))?;
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    Ok(times.filter_map(|field| field.parse::<u64>().ok()).sum())
}

fn rss_kib(process: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    field.ok_or_else(|| io::Error::other("no VmRSS"))
}

/// Rates for each daemon and for the object API.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ControlRow {
    pub daemons: usize,
    pub peer_sent: f64,
    pub peer_received: f64,
    /// Peer bytes both ways as the links saw them.
    pub link_bytes: f64,
    pub calls_sent: f64,
    pub calls_received: f64,
    pub dials: f64,
    pub dropped: f64,
    pub hosts_bytes: f64,
    pub store_bytes: f64,
    pub load_calls: f64,
    pub load_bytes: f64,
    /// All control bytes of a daemon, both ways.
    pub control_bytes: f64,
    pub cpu_percent: f64,
    pub rss_mib: f64,
    pub rss_most_mib: f64,
    pub answered: f64,
    pub grants: f64,
    pub denied: f64,
    pub claims: f64,
    /// Calls a second to the object API by the whole fleet.
    pub store_reads: f64,
    pub store_writes: f64,
    pub store_watches: f64,
}

/// Rates between two samples.
pub(super) fn difference(before: &FleetSample, after: &FleetSample) -> ControlRow {
    let seconds = (after.at - before.at).as_secs_f64();
    let daemons = after.daemons as f64;
    let each = |before: u64, after: u64| (after.saturating_sub(before)) as f64 / seconds / daemons;
    let all = |before: u64, after: u64| (after.saturating_sub(before)) as f64 / seconds;
    let peer_sent = each(before.peer_sent, after.peer_sent);
    let peer_received = each(before.peer_received, after.peer_received);
    let hosts_bytes = each(before.hosts_bytes, after.hosts_bytes);
    let store_bytes = each(before.store_bytes, after.store_bytes);
    let load_bytes = each(before.load_bytes, after.load_bytes);
    ControlRow {
        daemons: after.daemons,
        peer_sent,
        peer_received,
        link_bytes: each(before.link_bytes, after.link_bytes),
        calls_sent: each(before.calls_sent, after.calls_sent),
        calls_received: each(before.calls_received, after.calls_received),
        dials: each(before.dials, after.dials),
        dropped: each(before.dropped, after.dropped),
        hosts_bytes,
        store_bytes,
        load_calls: each(before.load_calls, after.load_calls),
        load_bytes,
        control_bytes: peer_sent + peer_received + hosts_bytes + store_bytes + load_bytes,
        cpu_percent: each(before.cpu_ticks, after.cpu_ticks) / TICKS_PER_SECOND * 100.0,
        rss_mib: after.rss_kib as f64 / daemons / 1_024.0,
        rss_most_mib: after.rss_most_kib as f64 / 1_024.0,
        answered: each(before.answered, after.answered),
        grants: each(before.grants, after.grants),
        denied: each(before.denied, after.denied),
        claims: each(before.claims, after.claims),
        store_reads: all(before.store.reads, after.store.reads),
        store_writes: all(before.store.writes, after.store.writes),
        store_watches: all(before.store.watches, after.store.watches),
    }
}

/// One column of the table.
pub(super) struct ControlColumn {
    pub name: &'static str,
    pub value: fn(&ControlRow) -> f64,
}

/// Columns of the table; bytes and calls are a second and a daemon.
pub(super) const COLUMNS: &[ControlColumn] = &[
    column("peer_sent", |row| row.peer_sent),
    column("peer_received", |row| row.peer_received),
    column("link_bytes", |row| row.link_bytes),
    column("calls_sent", |row| row.calls_sent),
    column("dials", |row| row.dials),
    column("dropped", |row| row.dropped),
    column("hosts_bytes", |row| row.hosts_bytes),
    column("store_bytes", |row| row.store_bytes),
    column("load_bytes", |row| row.load_bytes),
    column("control_bytes", |row| row.control_bytes),
    column("cpu_percent", |row| row.cpu_percent),
    column("rss_mib", |row| row.rss_mib),
    column("answered", |row| row.answered),
    column("denied", |row| row.denied),
    column("store_reads", |row| row.store_reads),
    column("store_writes", |row| row.store_writes),
    column("store_watches", |row| row.store_watches),
];

const fn column(name: &'static str, value: fn(&ControlRow) -> f64) -> ControlColumn {
    ControlColumn { name, value }
}

/// Prints one size as a line of the table.
pub(super) fn print_row(row: &ControlRow, first: bool) {
    if first {
        print!("{:>7}", "daemons");
        for column in COLUMNS {
            print!(" {:>13}", column.name);
        }
        println!();
    }
    print!("{:>7}", row.daemons);
    for column in COLUMNS {
        print!(" {:>13.2}", (column.value)(row));
    }
    println!();
}
