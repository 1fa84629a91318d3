//! The configuration in force, and its distribution among the daemons.
//!
//! A few daemons of each data centre watch the configuration and relay its changes. Each probe
//! carries the version, so that a daemon that missed a relay requests the change at the next
//! probe. A daemon that receives a version from the object API without holding the watch also
//! sends it to the watchers of the other data centres. The version only rises.

use std::sync;
use std::time::Duration;

use model::config;
use model::delta;
use model::ids;
use model::peer;
use model::store;
use model::time;

use crate::action;
use crate::state;
use crate::systems;

/// Daemons of each data centre that watch the configuration.
const WATCHERS_PER_CENTRE: usize = 2;
/// Role name by which the watchers are ranked.
const WATCH_ROLE: &str = "config-watch";
/// Minimum interval between direct reads of the configuration.
const READ_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Time without a reply to the watch after which the configuration is read directly.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of deltas kept for peers that missed them.
const MAX_DELTAS: usize = 16;
/// Time without a message from the object API or any peer after which the configuration in force
/// is no longer trusted: a data centre may have been taken out of service meanwhile.
pub(crate) const TRUST_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts or stops the watch, and reads the configuration while it is missing or may be stale.
pub(crate) fn tick(state: &mut state::NodeState) {
    update_watch(state);
    let untrusted = state.now.since(state.config.last_contact_at) > TRUST_TIMEOUT;
    let store_silent = state.now.since(state.config.store_last_contact_at) > WATCH_TIMEOUT;
    let watch_silent = state.config.holds_watch && store_silent;
    let needed = state.config.config.is_none() || untrusted || watch_silent;
    if needed && state.config.pending_read.is_none() && state.now >= state.config.next_read_at {
        start_read(state);
    }
}

/// Whether the configuration may be relied on for new work.
pub(crate) fn is_trusted(state: &state::NodeState) -> bool {
    if state.config.config.is_none() {
        return false;
    }
    let recent = state.now.since(state.config.last_contact_at) <= TRUST_TIMEOUT;
    let fresh = recent && !state.config.unverified;
    let alone = state
        .members
        .iter()
        .all(|member| !member.may_be_running() && !member.in_host_list);
    fresh || alone
}

/// Records that the object API replied, to a watch or to a read.
pub(crate) fn on_store_contact(state: &mut state::NodeState) {
    state.config.store_last_contact_at = state.now;
    on_peer_message(state);
}

/// Records a message from a peer. It does not count while the configuration is unverified: after
/// a process pause, messages may have been queued here for long.
pub(crate) fn on_peer_message(state: &mut state::NodeState) {
    if !state.config.unverified {
        state.config.last_contact_at = state.now;
    }
}

/// Trusts the configuration again after a reply to a request sent since the process pause, unless
/// a peer has announced a newer version.
pub(crate) fn on_verified(state: &mut state::NodeState) {
    if state.config.version >= state.config.newest_announced {
        state.config.unverified = false;
        state.config.last_contact_at = state.now;
    }
}

/// Stops trusting the configuration until a reply to a request sent from now on confirms it.
pub(crate) fn require_verification(state: &mut state::NodeState) {
    state.config.unverified = true;
    state.config.last_contact_at = time::MonoTime::default();
    state.config.pending_read = None;
    state.config.next_read_at = state.now;
}

/// Handles a configuration from the object API, or from the command that had it accepted.
pub(crate) fn on_received(
    state: &mut state::NodeState,
    version: config::ConfigVersion,
    config: sync::Arc<config::FleetConfig>,
) {
    on_store_contact(state);
    if let Some(message) = adopt(state, version, config) {
        relay_to_own_centre(state, &message);
        if !state.config.holds_watch {
            relay_to_other_centres(state, &message);
        }
    }
}

/// Handles a configuration sent by a peer.
pub(crate) fn on_push(
    state: &mut state::NodeState,
    version: config::ConfigVersion,
    config: sync::Arc<config::FleetConfig>,
) {
    let message = adopt(state, version, config);
    relay_if_watching(state, message);
}

/// Handles changes sent by a peer. If they start from another version than the one in
/// force, the missing ones are requested from the sender.
pub(crate) fn on_delta(
    state: &mut state::NodeState,
    from: &ids::HostId,
    delta: &sync::Arc<delta::ConfigDelta>,
) {
    let old = state.config.config.clone();
    match old {
        Some(old) if delta.base == state.config.version => {
            let config = sync::Arc::new(delta.changes.apply(&old));
            let message = adopt(state, delta.version, config);
            relay_if_watching(state, message);
        }
        _ => on_version(state, from, delta.version),
    }
}

fn relay_if_watching(state: &mut state::NodeState, message: Option<peer::PeerMessage>) {
    if let Some(message) = message.filter(|_| state.config.holds_watch) {
        relay_to_own_centre(state, &message);
    }
}

/// Puts a configuration in force if it is newer. Returns the message that distributes it.
fn adopt(
    state: &mut state::NodeState,
    version: config::ConfigVersion,
    config: sync::Arc<config::FleetConfig>,
) -> Option<peer::PeerMessage> {
    if version <= state.config.version {
        return None;
    }
    let base = state.config.version;
    let old = state.config.config.replace(config.clone());
    state.config.version = version;
    state
        .endpoints
        .retain(|endpoint| config.endpoints.contains_key(endpoint));
    state.log(action::LogRecord::ConfigInForce { version });
    let Some(old) = old else {
        return Some(peer::PeerMessage::ConfigPush { version, config });
    };
    let delta = sync::Arc::new(delta::ConfigDelta {
        base,
        version,
        changes: delta::ConfigChanges::between(&old, &config),
    });
    state.config.deltas.push_back(delta.clone());
    if state.config.deltas.len() > MAX_DELTAS {
        state.config.deltas.pop_front();
    }
    Some(peer::PeerMessage::ConfigDelta { delta })
}

/// Sends a message to the daemons of this data centre.
fn relay_to_own_centre(state: &mut state::NodeState, message: &peer::PeerMessage) {
    let centre = state.settings.entry.data_centre.clone();
    let hosts = state.usable_hosts(Some(&centre));
    send_to_each(state, hosts, message);
}

/// Sends a message to the watchers of all other data centres, which may be unable to reach the
/// object API.
fn relay_to_other_centres(state: &mut state::NodeState, message: &peer::PeerMessage) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let own_centre = state.settings.entry.data_centre.clone();
    let mut hosts = Vec::new();
    for centre in config
        .data_centres
        .keys()
        .filter(|centre| **centre != own_centre)
    {
        let ranked = state.rank_hosts(Some(centre), WATCH_ROLE);
        hosts.extend(ranked.into_iter().take(WATCHERS_PER_CENTRE));
    }
    send_to_each(state, hosts, message);
}

fn send_to_each(
    state: &mut state::NodeState,
    hosts: Vec<ids::HostId>,
    message: &peer::PeerMessage,
) {
    let own_host = state.host().clone();
    for host in hosts.iter().filter(|host| **host != own_host) {
        state.send(host, message.clone());
    }
}

/// Handles the version that a peer has in force.
pub(crate) fn on_version(
    state: &mut state::NodeState,
    from: &ids::HostId,
    version: config::ConfigVersion,
) {
    state.config.newest_announced = state.config.newest_announced.max(version);
    if version > state.config.version {
        let version = state.config.version;
        state.send(from, peer::PeerMessage::ConfigRequest { version });
    }
}

/// Replies to a peer that requests a configuration newer than its own.
pub(crate) fn on_request(
    state: &mut state::NodeState,
    from: &ids::HostId,
    version: config::ConfigVersion,
) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    if state.config.version <= version {
        return;
    }
    let first_delta = state
        .config
        .deltas
        .iter()
        .position(|delta| delta.base == version);
    let Some(first_delta) = first_delta else {
        let version = state.config.version;
        state.send(from, peer::PeerMessage::ConfigPush { version, config });
        return;
    };
    let deltas = state
        .config
        .deltas
        .range(first_delta..)
        .cloned()
        .collect::<Vec<_>>();
    for delta in deltas {
        state.send(from, peer::PeerMessage::ConfigDelta { delta });
    }
}

/// Handles the reply to a read of the configuration. Returns whether the call was such a read.
pub(crate) fn on_store_reply(
    state: &mut state::NodeState,
    call: store::CallId,
    reply: &store::StoreReply,
) -> bool {
    if state.config.pending_read != Some(call) {
        return false;
    }
    state.config.pending_read = None;
    systems::claims::record_store_reply(state, reply);
    if !matches!(reply, store::StoreReply::Lost) {
        on_store_contact(state);
        on_verified(state);
    }
    true
}

fn start_read(state: &mut state::NodeState) {
    state.config.next_read_at = state.now + READ_RETRY_PERIOD;
    let name = config::CONFIG_OBJECT.to_owned();
    state.config.pending_read = Some(state.call_store(store::StoreCall::Read { name }));
}

fn update_watch(state: &mut state::NodeState) {
    let inputs = (state.members.generation(), state.accepts_roles());
    if state.config.watch_inputs == Some(inputs) {
        return;
    }
    state.config.watch_inputs = Some(inputs);
    let centre = state.settings.entry.data_centre.clone();
    let ranked = state.rank_hosts(Some(&centre), WATCH_ROLE);
    let enabled = ranked
        .iter()
        .take(WATCHERS_PER_CENTRE)
        .any(|host| host == state.host());
    if enabled == state.config.holds_watch {
        return;
    }
    state.config.holds_watch = enabled;
    let after = state.config.version;
    state.emit(action::NodeAction::WatchConfig { enabled, after });
}
