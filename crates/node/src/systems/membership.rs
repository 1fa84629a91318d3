//! Membership and failure detection: probes with a fixed fan-out, which also carry member updates
//! (gossip).
//!
//! The host list only proposes members. A member is usable once its state was received from
//! itself or by way of another daemon. The cost of a probe period does not grow with the fleet.

use std::cmp;
use std::time::Duration;

use model::ids;
use model::peer;
use model::time;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::action;
use crate::state;
use crate::systems;
use crate::tables::member;

/// Interval between probes.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Interval between probes while the daemon is new.
const FAST_PROBE_PERIOD: Duration = Duration::from_millis(100);
/// How long a daemon counts as new after its start.
const FAST_PROBE_DURATION: Duration = Duration::from_secs(5);
/// Time after which a daemon takes roles even if nothing is known of some listed daemons.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a reply after which other daemons are asked to probe too.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a direct or indirect reply after which a probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of daemons asked to probe a silent member.
const INDIRECT_PROBES: usize = 2;
/// How long a suspect has to refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a dead member is kept after its last change if the host list does not contain it.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of member updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// Maximum number of other members' updates in a reply to an unknown sender.
const MAX_UPDATES_FOR_UNKNOWN_SENDER: usize = 48;
/// Number of messages that carry each member update.
pub(crate) const GOSSIP_TRANSMISSIONS: u32 = 8;
/// Interval between reads of the host list.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(5);
/// Interval between reads of the host list while no member is usable.
const HOST_LIST_PERIOD_ALONE: Duration = Duration::from_secs(1);
/// Longest process pause after which a daemon keeps its incarnation. After a longer one its peers
/// may have declared it dead, and it rejoins.
pub(crate) const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Rejoins under a new incarnation if the process was paused for too long.
pub(crate) fn detect_pause(state: &mut state::NodeState, now: time::MonoTime) {
    if now.since(state.now) <= PAUSE_LIMIT {
        return;
    }
    state.now = now;
    state.incarnation = ids::NodeIncarnation(state.incarnation.0 + 1);
    state.started_at = now;
    systems::config::require_verification(state);
    state.ledgers = Default::default();
    state.probes.pending.clear();
    state.probes.own_remaining_gossip = GOSSIP_TRANSMISSIONS;
    systems::retry::end_all(state);
    systems::claims::reset_after_pause(state);
    state.log(action::LogRecord::Rejoined {
        incarnation: state.incarnation,
    });
}

/// Reads the host list, sends probes, and moves silent members on to suspect and dead.
pub(crate) fn tick(state: &mut state::NodeState) {
    request_host_list(state);
    expire_probes(state);
    expire_suspects(state);
    if state.now < state.probes.next_probe_at {
        return;
    }
    let is_new = state.now.since(state.started_at) < FAST_PROBE_DURATION;
    let period = if is_new {
        FAST_PROBE_PERIOD
    } else {
        PROBE_PERIOD
    };
    state.probes.next_probe_at = state.now + period;
    if let Some(target) = next_probe_target(state) {
        send_probe(state, &target, None);
    }
}

fn request_host_list(state: &mut state::NodeState) {
    if state.now < state.probes.next_list_at {
        return;
    }
    let alone = state.members.usable().next().is_none();
    let period = if alone {
        HOST_LIST_PERIOD_ALONE
    } else {
        HOST_LIST_PERIOD
    };
    state.probes.next_list_at = state.now + period;
    state.emit(action::NodeAction::ListHosts);
}

fn next_probe_target(state: &mut state::NodeState) -> Option<ids::HostId> {
    loop {
        if state.probes.round.is_empty() {
            let members = state.members.iter();
            let mut round = members
                .map(|entry| entry.update.entry.host.clone())
                .collect::<Vec<_>>();
            round.shuffle(&mut state.rng);
            state.probes.round = round;
        }
        let host = state.probes.round.pop()?;
        if state.members.get(&host).is_some() {
            return Some(host);
        }
    }
}

fn send_probe(
    state: &mut state::NodeState,
    target: &ids::HostId,
    relay: Option<state::RelayedProbe>,
) {
    state.probes.last_number += 1;
    let number = state.probes.last_number;
    let pending = state::PendingProbe {
        target: target.clone(),
        sent_at: state.now,
        relay_requested: relay.is_some(),
        relay_for: relay,
    };
    state.probes.pending.insert(number, pending);
    let version = state.config.version;
    let updates = take_updates(state, MAX_UPDATES_PER_MESSAGE);
    state.send(
        target,
        peer::PeerMessage::Probe {
            number,
            version,
            updates,
        },
    );
}

/// Returns the member updates for the next message, those sent least often first.
fn take_updates(state: &mut state::NodeState, limit: usize) -> Vec<peer::MemberUpdate> {
    let mut updates = Vec::new();
    if state.probes.own_remaining_gossip > 0 {
        state.probes.own_remaining_gossip -= 1;
        updates.push(own_update(state));
    }
    let mut pending = state
        .members
        .iter_mut()
        .filter(|entry| entry.remaining_gossip > 0)
        .collect::<Vec<_>>();
    pending.sort_by_key(|entry| cmp::Reverse(entry.remaining_gossip));
    for entry in pending
        .into_iter()
        .take(limit.saturating_sub(updates.len()))
    {
        entry.remaining_gossip -= 1;
        updates.push(entry.update.clone());
    }
    updates
}

fn own_update(state: &state::NodeState) -> peer::MemberUpdate {
    let leaving = state.drain.started_at.is_some();
    peer::MemberUpdate {
        entry: state.settings.entry.clone(),
        incarnation: state.incarnation,
        revision: state.probes.revision,
        state: if leaving {
            peer::MemberState::Leaving
        } else {
            peer::MemberState::Alive
        },
    }
}

/// Announces this daemon's own state under a new revision.
pub(crate) fn announce_own_state(state: &mut state::NodeState) {
    state.probes.revision += 1;
    state.probes.own_remaining_gossip = GOSSIP_TRANSMISSIONS;
}

/// Whether enough is known of other daemons to take roles: the state of every listed one was
/// received, or [`JOIN_TIMEOUT`] has passed.
pub(crate) fn has_joined(state: &state::NodeState) -> bool {
    let all_states_received = state
        .members
        .iter()
        .all(|member| member.update.incarnation.0 > 0);
    let all_known = state.probes.host_list_read && all_states_received;
    all_known || state.now.since(state.started_at) > JOIN_TIMEOUT
}

/// Handles the host list, which proposes members and never removes one that may be running.
pub(crate) fn on_host_list(state: &mut state::NodeState, hosts: Vec<peer::HostEntry>) {
    state.probes.host_list_read = true;
    for member in state.members.iter_mut() {
        member.in_host_list = false;
    }
    for entry in hosts {
        if entry.host == *state.host() {
            continue;
        }
        match state.members.get_mut(&entry.host) {
            Some(member) => {
                member.in_host_list = true;
                let state_unknown = member.update.incarnation.0 == 0;
                if state_unknown {
                    member.update.entry = entry;
                }
            }
            None => state
                .members
                .insert(member_of_unknown_state(entry, state.now)),
        }
    }
    let now = state.now;
    state.members.retain(|_, member| {
        let state_unknown = member.update.incarnation.0 == 0;
        let dead = member.update.state == peer::MemberState::Dead;
        let expired = now.since(member.changed_at) > DEAD_MEMBER_RETENTION;
        member.in_host_list || !(state_unknown || (dead && expired))
    });
}

fn member_of_unknown_state(entry: peer::HostEntry, now: time::MonoTime) -> member::MemberEntry {
    let update = peer::MemberUpdate {
        entry,
        incarnation: ids::NodeIncarnation(0),
        revision: 0,
        state: peer::MemberState::Alive,
    };
    member::MemberEntry {
        update,
        changed_at: now,
        remaining_gossip: 0,
        in_host_list: true,
        announced_leaving: false,
    }
}

/// Updates the state of a message's sender: any message proves that it is alive.
pub(crate) fn on_message(state: &mut state::NodeState, envelope: &peer::PeerEnvelope) {
    systems::config::on_peer_message(state);
    let Some(member) = state.members.get(&envelope.from) else {
        return;
    };
    let known = &member.update;
    let newer = envelope.incarnation > known.incarnation;
    let revived = envelope.incarnation == known.incarnation
        && matches!(
            known.state,
            peer::MemberState::Suspect | peer::MemberState::Dead
        );
    if !newer && !revived {
        return;
    }
    let mut update = known.clone();
    update.state = match member.announced_leaving && !newer {
        true => peer::MemberState::Leaving,
        false => peer::MemberState::Alive,
    };
    if newer {
        update.incarnation = envelope.incarnation;
        update.revision = 0;
    }
    apply_update(state, update);
}

/// Replies to a probe.
pub(crate) fn on_probe(
    state: &mut state::NodeState,
    envelope: &peer::PeerEnvelope,
    number: u64,
    updates: Vec<peer::MemberUpdate>,
) {
    let is_unknown = state.members.get(&envelope.from).is_none();
    merge_updates(state, updates);
    let updates = if is_unknown {
        sample_members(state)
    } else {
        take_updates(state, MAX_UPDATES_PER_MESSAGE)
    };
    let version = state.config.version;
    let reply = peer::PeerMessage::ProbeReply {
        number,
        version,
        updates,
    };
    state.send_to(envelope.reply_to, reply);
}

/// Returns a random sample of the usable members, and this daemon, for an unknown sender.
fn sample_members(state: &mut state::NodeState) -> Vec<peer::MemberUpdate> {
    let known = state
        .members
        .usable()
        .map(|entry| entry.update.clone())
        .collect::<Vec<_>>();
    let mut updates = known
        .choose_multiple(&mut state.rng, MAX_UPDATES_FOR_UNKNOWN_SENDER)
        .cloned()
        .collect::<Vec<_>>();
    updates.push(own_update(state));
    updates
}

/// Handles the reply to a probe. Returns whether the probe was sent in this incarnation.
pub(crate) fn on_probe_reply(
    state: &mut state::NodeState,
    number: u64,
    updates: Vec<peer::MemberUpdate>,
) -> bool {
    merge_updates(state, updates);
    let Some(pending) = state.probes.pending.remove(&number) else {
        return false;
    };
    if let Some(relay) = pending.relay_for {
        relay_reply(state, &pending.target, &relay);
    }
    true
}

/// Forwards a probed member's reply to the daemon that requested the probe.
fn relay_reply(state: &mut state::NodeState, target: &ids::HostId, relay: &state::RelayedProbe) {
    let update = state.members.get(target).map(|entry| entry.update.clone());
    let version = state.config.version;
    let updates = update.into_iter().collect();
    let reply = peer::PeerMessage::ProbeReply {
        number: relay.number,
        version,
        updates,
    };
    state.send(&relay.requester, reply);
}

/// Probes a member on another daemon's behalf.
pub(crate) fn on_indirect_probe(
    state: &mut state::NodeState,
    requester: &ids::HostId,
    number: u64,
    target: peer::HostEntry,
) {
    if target.host == *state.host() {
        return;
    }
    if state.members.get(&target.host).is_none() {
        let mut member = member_of_unknown_state(target.clone(), state.now);
        member.in_host_list = false;
        state.members.insert(member);
    }
    let relay = state::RelayedProbe {
        requester: requester.clone(),
        number,
    };
    send_probe(state, &target.host, Some(relay));
}

fn merge_updates(state: &mut state::NodeState, updates: Vec<peer::MemberUpdate>) {
    for update in updates {
        if update.entry.host == *state.host() {
            refute(state, &update);
        } else if supersedes(state, &update) {
            apply_update(state, update);
        }
    }
}

fn refute(state: &mut state::NodeState, update: &peer::MemberUpdate) {
    let is_suspected = matches!(
        update.state,
        peer::MemberState::Suspect | peer::MemberState::Dead
    );
    if is_suspected
        && update.incarnation == state.incarnation
        && update.revision >= state.probes.revision
    {
        state.probes.revision = update.revision;
        announce_own_state(state);
    }
}

fn supersedes(state: &state::NodeState, update: &peer::MemberUpdate) -> bool {
    let Some(member) = state.members.get(&update.entry.host) else {
        return update.state != peer::MemberState::Dead;
    };
    let known = &member.update;
    let known_rank = (known.incarnation, known.revision, known.state);
    (update.incarnation, update.revision, update.state) > known_rank
}

fn apply_update(state: &mut state::NodeState, update: peer::MemberUpdate) {
    let host = update.entry.host.clone();
    let now = state.now;
    let record = action::LogRecord::MemberChanged {
        host: host.clone(),
        state: update.state,
    };
    let changed = match state.members.get_mut(&host) {
        Some(member) => {
            let changed = member.update.state != update.state
                || member.update.incarnation != update.incarnation;
            let same_incarnation = member.update.incarnation == update.incarnation;
            let leaving = update.state == peer::MemberState::Leaving;
            member.announced_leaving = leaving || (member.announced_leaving && same_incarnation);
            member.update = update;
            member.remaining_gossip = GOSSIP_TRANSMISSIONS;
            if changed {
                member.changed_at = now;
            }
            changed
        }
        None => {
            let member = member::MemberEntry {
                announced_leaving: update.state == peer::MemberState::Leaving,
                update,
                changed_at: now,
                remaining_gossip: GOSSIP_TRANSMISSIONS,
                in_host_list: false,
            };
            state.members.insert(member);
            true
        }
    };
    if changed {
        state.members.bump_generation();
        state.log(record);
    }
}

fn expire_probes(state: &mut state::NodeState) {
    let now = state.now;
    let overdue = state.probes.pending.iter().filter(|(_, probe)| {
        let age = now.since(probe.sent_at);
        age > PROBE_TIMEOUT || (age > DIRECT_PROBE_TIMEOUT && !probe.relay_requested)
    });
    let overdue = overdue.map(|(number, _)| *number).collect::<Vec<_>>();
    for number in overdue {
        let Some(probe) = state.probes.pending.get_mut(&number) else {
            continue;
        };
        let failed = now.since(probe.sent_at) > PROBE_TIMEOUT;
        probe.relay_requested = true;
        let target = probe.target.clone();
        let is_own = probe.relay_for.is_none();
        if failed {
            state.probes.pending.remove(&number);
            if is_own {
                mark_suspect(state, &target);
            }
        } else {
            request_indirect_probes(state, &target, number);
        }
    }
}

fn request_indirect_probes(state: &mut state::NodeState, target: &ids::HostId, number: u64) {
    let Some(member) = state.members.get(target) else {
        return;
    };
    let entry = member.update.entry.clone();
    let others = state
        .members
        .usable()
        .map(|other| other.update.entry.host.clone());
    let others = others.filter(|host| host != target).collect::<Vec<_>>();
    let chosen = others
        .choose_multiple(&mut state.rng, INDIRECT_PROBES)
        .cloned()
        .collect::<Vec<_>>();
    for relay in chosen {
        state.send(
            &relay,
            peer::PeerMessage::IndirectProbe {
                number,
                target: entry.clone(),
            },
        );
    }
}

fn mark_suspect(state: &mut state::NodeState, host: &ids::HostId) {
    let Some(member) = state.members.get(host) else {
        return;
    };
    if !matches!(
        member.update.state,
        peer::MemberState::Alive | peer::MemberState::Leaving
    ) {
        return;
    }
    if member.update.incarnation.0 == 0 {
        return;
    }
    let mut update = member.update.clone();
    update.state = peer::MemberState::Suspect;
    apply_update(state, update);
}

fn expire_suspects(state: &mut state::NodeState) {
    let now = state.now;
    let overdue = state.members.iter().filter(|member| {
        member.update.state == peer::MemberState::Suspect
            && now.since(member.changed_at) > SUSPICION_TIMEOUT
    });
    let updates = overdue
        .map(|member| member.update.clone())
        .collect::<Vec<_>>();
    for mut update in updates {
        update.state = peer::MemberState::Dead;
        apply_update(state, update);
    }
}
