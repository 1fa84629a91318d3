//! Ranks the daemons to choose the placer and the daemons that watch the store.

use std::cmp;
use std::collections;

use model::ids;
use model::serving;
use xxhash_rust::xxh3;

/// First backoff of a daemon that didn't answer, ms: about the time of a restart.
const INITIAL_BACKOFF_MS: f64 = 1_500.0;
/// Longest backoff, ms: a dead daemon is tried about twice a minute.
const MAX_BACKOFF_MS: f64 = 30_000.0;

/// Backoff of a daemon that is starting, ms: about the time in which it reads the store.
const STARTING_BACKOFF_MS: f64 = 250.0;

/// Time for which one daemon tries to reach the store while no daemon can, ms: long enough for
/// several calls.
const ROTATION_MS: f64 = 1_500.0;

#[derive(Clone, Copy, Debug)]
struct BackoffEntry {
    until: f64,
    duration_ms: f64,
}

/// The daemons in the order in which they become the placer: those with more processor time first,
/// then by the hash of the host, which is the same on all daemons.
#[derive(Clone, Debug, Default)]
pub struct DaemonRank {
    daemons: Vec<serving::DaemonEntry>,
    backoffs: collections::BTreeMap<ids::HostId, BackoffEntry>,
}

/// Returns the key by which daemons are ranked.
fn rank_key(daemon: &serving::DaemonEntry) -> (cmp::Reverse<u32>, u64) {
    let hash = xxh3::xxh3_64(daemon.host.as_str().as_bytes());
    (cmp::Reverse(daemon.cpu_millis), hash)
}

impl DaemonRank {
    /// Replaces the list of daemons.
    pub fn set_daemons(&mut self, daemons: &[serving::DaemonEntry]) {
        self.daemons = daemons.to_vec();
        self.daemons.sort_by_cached_key(rank_key);
    }

    /// Returns all daemons in order.
    pub fn daemons(&self) -> &[serving::DaemonEntry] {
        &self.daemons
    }

    /// Starts a backoff of a daemon that didn't answer or is leaving. Each is twice as long as the
    /// one before, up to a limit.
    pub fn back_off(&mut self, host: &ids::HostId, now: f64) {
        let previous_ms = self
            .backoffs
            .get(host)
            .map_or(0.0, |entry| entry.duration_ms);
        let duration_ms = (2.0 * previous_ms).clamp(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
        let entry = BackoffEntry {
            until: now + duration_ms,
            duration_ms,
        };
        self.backoffs.insert(host.clone(), entry);
    }

    /// Starts a short backoff of a daemon that answered but is still starting.
    pub fn back_off_starting(&mut self, host: &ids::HostId, now: f64) {
        let entry = BackoffEntry {
            until: now + STARTING_BACKOFF_MS,
            duration_ms: 0.0,
        };
        self.backoffs.insert(host.clone(), entry);
    }

    /// Returns whether a daemon was starting when it was contacted last.
    pub fn is_starting(&self, host: &ids::HostId) -> bool {
        let entry = self.backoffs.get(host);
        entry.is_some_and(|entry| entry.duration_ms == 0.0)
    }

    /// Ends the backoff of a daemon that answered.
    pub fn reset_backoff(&mut self, host: &ids::HostId) {
        self.backoffs.remove(host);
    }

    /// Returns whether a daemon is in backoff now.
    pub fn is_backed_off(&self, host: &ids::HostId, now: f64) -> bool {
        let entry = self.backoffs.get(host);
        entry.is_some_and(|entry| now < entry.until)
    }

    /// Returns the daemon that should be the placer: the first that isn't in backoff.
    pub fn placer(&self, now: f64) -> Option<&serving::DaemonEntry> {
        let mut daemons = self.daemons.iter();
        daemons.find(|daemon| !self.is_backed_off(&daemon.host, now))
    }

    /// Returns the first of some daemons in the order of the rank. Daemons that follow each other in
    /// a circle thus agree on which of them is the placer. `own` is the entry of this daemon, which
    /// may not be listed yet.
    pub fn first_of<'a>(
        &self,
        hosts: &'a [ids::HostId],
        own: &serving::DaemonEntry,
    ) -> Option<&'a ids::HostId> {
        hosts.iter().min_by_key(|host| {
            let mut known = self.daemons.iter().chain([own]);
            let entry = known.find(|daemon| daemon.host == **host);
            // Unknown daemons come last.
            (entry.is_none(), entry.map(rank_key))
        })
    }

    /// Returns whether the daemon `own`, which places for others, should hand over to `other`: that
    /// one has more processor time, or it also places for others and ranks before `own`. An equal
    /// placer stays, since each change loses the predictions for running requests.
    pub fn should_yield(
        &self,
        own: &ids::HostId,
        other: &ids::HostId,
        other_is_placing: bool,
    ) -> bool {
        let position =
            |host: &ids::HostId| self.daemons.iter().position(|daemon| daemon.host == *host);
        let (Some(own), Some(other)) = (position(own), position(other)) else {
            return false;
        };
        let has_more_cpu = self.daemons[other].cpu_millis > self.daemons[own].cpu_millis;
        has_more_cpu || (other_is_placing && other < own)
    }

    /// Returns the daemon that watches the store beside the placer: the first that `is_eligible`,
    /// in another data centre than the placer if there is one.
    pub fn second_watcher(
        &self,
        placer: &ids::HostId,
        is_eligible: impl Fn(&ids::HostId) -> bool,
    ) -> Option<&ids::HostId> {
        let placer_entry = self.daemons.iter().find(|daemon| daemon.host == *placer);
        let centre = placer_entry.map(|daemon| &daemon.centre);
        let others = || {
            let others = self.daemons.iter().filter(|daemon| daemon.host != *placer);
            others.filter(|daemon| is_eligible(&daemon.host))
        };
        let elsewhere = others().find(|daemon| Some(&daemon.centre) != centre);
        elsewhere
            .or_else(|| others().next())
            .map(|daemon| &daemon.host)
    }

    /// Returns the daemon that tries to reach the store, beside the placer, while no daemon can.
    /// The daemons for which `is_connected` holds take turns, as the store may refuse some and
    /// serve others.
    pub fn watcher_in_rotation(
        &self,
        placer: &ids::HostId,
        now: f64,
        is_connected: impl Fn(&ids::HostId) -> bool,
    ) -> Option<&ids::HostId> {
        let others = self.daemons.iter().map(|daemon| &daemon.host);
        let others = others.filter(|host| *host != placer && is_connected(host));
        let others: Vec<&ids::HostId> = others.collect();
        let turn = (now / ROTATION_MS) as usize;
        others.get(turn % others.len().max(1)).copied()
    }
}
