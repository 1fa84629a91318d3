//! Membership table: the other daemons of the fleet.

use std::collections;

use model::ids;
use model::peer;
use model::time;
use xxhash_rust::xxh3;

/// State of one other daemon.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub update: peer::MemberUpdate,
    /// Time of the last change of its state or incarnation.
    pub changed_at: time::MonoTime,
    /// Number of further messages that carry its latest update.
    pub remaining_gossip: u32,
    /// Whether the last host list contained it.
    pub in_host_list: bool,
    /// Whether its current incarnation has announced that it is leaving.
    pub announced_leaving: bool,
}

impl MemberEntry {
    /// Whether it is known to be alive and accepts roles.
    pub fn is_usable(&self) -> bool {
        self.update.state == peer::MemberState::Alive && self.update.incarnation.0 > 0
    }

    /// Whether it may still be running, that is, isn't known to be dead.
    pub fn may_be_running(&self) -> bool {
        self.update.state != peer::MemberState::Dead
    }
}

/// All known daemons except this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    members: collections::BTreeMap<ids::HostId, MemberEntry>,
    generation: u64,
}

impl MemberTable {
    /// Returns a number that increases with each change of a member or its state.
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

    /// Records that a member's state has changed.
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

    /// Returns the members that accept roles.
    pub fn usable(&self) -> impl Iterator<Item = &MemberEntry> {
        self.iter().filter(|entry| entry.is_usable())
    }

    /// Returns the state of an incarnation of any daemon.
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

/// State of one incarnation of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IncarnationState {
    /// Current incarnation of its host, not known to be dead.
    Live,
    /// The same host runs a newer incarnation.
    Replaced,
    DeadSince(time::MonoTime),
    /// No message of it or about it was received.
    Unknown,
}

/// Lowest bits of an incarnation, which count the rejoins within one process.
pub(crate) const REJOIN_BITS: u32 = 8;
/// Bits of an incarnation above [`REJOIN_BITS`], which hold a digest of the host's name.
pub(crate) const HOST_BITS: u32 = 15;

fn host_bits(incarnation: ids::NodeIncarnation) -> u64 {
    (incarnation.0 >> REJOIN_BITS) & ((1 << HOST_BITS) - 1)
}

/// Returns the weight of a host for a role by rendezvous hashing. The host with the highest weight
/// is assigned the role.
pub(crate) fn role_weight(host: &ids::HostId, role: &str) -> u64 {
    xxh3::xxh3_64_with_seed(role.as_bytes(), xxh3::xxh3_64(host.as_str().as_bytes()))
}
