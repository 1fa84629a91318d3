//! The daemons that this daemon knows of.

use std::collections;

use model::ids;
use model::peer;
use model::time;
use xxhash_rust::xxh3;

/// One daemon as known here.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub update: peer::MemberUpdate,
    /// When its state changed last.
    pub changed_at: time::MonoTime,
    /// How many more messages carry its news.
    pub remaining_gossip: u32,
    /// Whether the host list named it last time.
    pub in_host_list: bool,
    /// Whether it has said in this life that it is leaving.
    pub announced_leaving: bool,
}

impl MemberEntry {
    /// Whether it has been heard of, and takes roles.
    pub fn is_usable(&self) -> bool {
        self.update.state == peer::MemberState::Alive && self.update.incarnation.0 > 0
    }

    /// Whether it may still be running.
    pub fn may_be_running(&self) -> bool {
        self.update.state != peer::MemberState::Dead
    }
}

/// All daemons known, without this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    members: collections::BTreeMap<ids::HostId, MemberEntry>,
    generation: u64,
}

impl MemberTable {
    /// Rises whenever a member or its state changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn get(&self, host: &ids::HostId) -> Option<&MemberEntry> {
        self.members.get(host)
    }

    pub fn get_mut(&mut self, host: &ids::HostId) -> Option<&mut MemberEntry> {
        self.members.get_mut(host)
    }

    pub fn insert(&mut self, entry: MemberEntry) {
        self.generation += 1;
        self.members.insert(entry.update.entry.host.clone(), entry);
    }

    /// Notes that some member's state has changed.
    pub fn bump_generation(&mut self) {
        self.generation += 1;
    }

    pub fn retain(&mut self, keep: impl FnMut(&ids::HostId, &mut MemberEntry) -> bool) {
        let before = self.members.len();
        self.members.retain(keep);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut MemberEntry> {
        self.members.values_mut()
    }

    /// Members that take roles.
    pub fn usable(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.is_usable())
    }

    /// What is known of the owner of a life.
    pub fn incarnation_state(&self, incarnation: ids::NodeIncarnation) -> IncarnationState {
        let host = host_bits(incarnation);
        for entry in self.iter() {
            if entry.update.incarnation == incarnation {
                return match entry.update.state {
                    peer::MemberState::Dead => IncarnationState::DeadSince(entry.changed_at),
                    _ => IncarnationState::Live,
                };
            }
            let same_host =
                entry.update.incarnation.0 > 0 && host_bits(entry.update.incarnation) == host;
            if same_host && entry.update.incarnation > incarnation {
                return IncarnationState::Replaced;
            }
        }
        IncarnationState::Unknown
    }
}

/// What is known of one life of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IncarnationState {
    Live,
    /// The same host runs a newer life.
    Replaced,
    DeadSince(time::MonoTime),
    /// Nothing was ever heard of it.
    Unknown,
}

/// Bits of an incarnation that count the lives within one process.
pub(crate) const REJOIN_BITS: u32 = 8;
/// Bits of an incarnation that hold a digest of the host's name.
pub(crate) const HOST_BITS: u32 = 15;

fn host_bits(incarnation: ids::NodeIncarnation) -> u64 {
    (incarnation.0 >> REJOIN_BITS) & ((1 << HOST_BITS) - 1)
}

/// Weight of a host for a role, by rendezvous hashing: the heaviest host takes the role.
pub(crate) fn role_weight(host: &ids::HostId, role: &str) -> u64 {
    xxh3::xxh3_64_with_seed(role.as_bytes(), xxh3::xxh3_64(host.as_str().as_bytes()))
}
