//! Which daemon places for all.

use std::collections;

use model::ids;
use model::serving;
use xxhash_rust::xxh3;

/// Time for which a daemon that did not answer is passed over at first, ms: about a restart.
const PASS_OVER_MS: f64 = 1_500.0;
/// Longest time for which it is passed over, ms: a dead one is asked about twice a minute.
const LONGEST_PASS_MS: f64 = 30_000.0;

/// Time for which one daemon asks for all whether the store is back, while none reaches it, ms: some
/// calls of its own.
const TURN_MS: f64 = 1_500.0;

#[derive(Clone, Copy, Debug)]
struct PassEntry {
    until: f64,
    span: f64,
}

/// Daemons in the order in which they are asked to place: those with more processor first, then
/// in an order that all daemons share.
#[derive(Clone, Debug, Default)]
pub struct DaemonRank {
    daemons: Vec<serving::DaemonEntry>,
    passed: collections::BTreeMap<ids::HostId, PassEntry>,
}

impl DaemonRank {
    /// Takes a new list of daemons.
    pub fn set_daemons(&mut self, daemons: &[serving::DaemonEntry]) {
        self.daemons = daemons.to_vec();
        self.daemons.sort_by_cached_key(|daemon| {
            let hash = xxh3::xxh3_64(daemon.host.as_str().as_bytes());
            (std::cmp::Reverse(daemon.cpu_millis), hash)
        });
    }

    /// All daemons in order.
    pub fn daemons(&self) -> &[serving::DaemonEntry] {
        &self.daemons
    }

    /// Passes a daemon over for a while, as it did not answer or is leaving; longer each time.
    pub fn back_off(&mut self, host: &ids::HostId, now: f64) {
        let before = self.passed.get(host).map_or(0.0, |entry| entry.span);
        let span = (2.0 * before).clamp(PASS_OVER_MS, LONGEST_PASS_MS);
        let entry = PassEntry {
            until: now + span,
            span,
        };
        self.passed.insert(host.clone(), entry);
    }

    /// A daemon was heard: it is passed over no longer.
    pub fn reset_backoff(&mut self, host: &ids::HostId) {
        self.passed.remove(host);
    }

    /// Whether a daemon is passed over now.
    pub fn is_backed_off(&self, host: &ids::HostId, now: f64) -> bool {
        let entry = self.passed.get(host);
        entry.is_some_and(|entry| now < entry.until)
    }

    /// The daemon that places, as far as is known.
    pub fn placer(&self, now: f64) -> Option<&serving::DaemonEntry> {
        let mut daemons = self.daemons.iter();
        daemons.find(|daemon| !self.is_backed_off(&daemon.host, now))
    }

    /// Whether the daemon `own`, which places for others, is to let `other` do so: it has more
    /// processor, or it places for others too and stands before `own`. A placer that is as good
    /// stays, since each change loses what was foretold of running work.
    pub fn should_yield(&self, own: &ids::HostId, other: &ids::HostId, other_places: bool) -> bool {
        let position =
            |host: &ids::HostId| self.daemons.iter().position(|daemon| daemon.host == *host);
        let (Some(own), Some(other)) = (position(own), position(other)) else {
            return false;
        };
        let more = self.daemons[other].cpu_millis > self.daemons[own].cpu_millis;
        more || (other_places && other < own)
    }

    /// The daemon that follows the store beside the one that places: the first that `fits`, in
    /// another data centre if there is one.
    pub fn second_watcher(
        &self,
        placer: &ids::HostId,
        fits: impl Fn(&ids::HostId) -> bool,
    ) -> Option<&ids::HostId> {
        let own = self.daemons.iter().find(|daemon| daemon.host == *placer);
        let centre = own.map(|daemon| &daemon.centre);
        let others = || {
            let others = self.daemons.iter().filter(|daemon| daemon.host != *placer);
            others.filter(|daemon| fits(&daemon.host))
        };
        let elsewhere = others().find(|daemon| Some(&daemon.centre) != centre);
        elsewhere
            .or_else(|| others().next())
            .map(|daemon| &daemon.host)
    }

    /// The daemon that asks, beside the one that places, whether the store is back while none
    /// reaches it: each that is `connected` in turn, as the store may turn some away and serve others.
    pub fn watcher_in_rotation(
        &self,
        placer: &ids::HostId,
        now: f64,
        connected: impl Fn(&ids::HostId) -> bool,
    ) -> Option<&ids::HostId> {
        let others = self.daemons.iter().map(|daemon| &daemon.host);
        let others = others.filter(|host| *host != placer && connected(host));
        let others: Vec<&ids::HostId> = others.collect();
        let turn = (now / TURN_MS) as usize;
        others.get(turn % others.len().max(1)).copied()
    }
}
