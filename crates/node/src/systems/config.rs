//! Which configuration is in force.
//!
//! A few daemons of each data centre hold the watch and relay what they see. Each probe
//! carries the version, so that whoever missed a relay asks for it at the next probe. The
//! version only rises.

use std::sync;
use std::time::Duration;

use model::config;
use model::ids;
use model::peer;
use model::store;

use crate::action;
use crate::state;
use crate::systems;

/// Daemons of each data centre that hold the watch.
const WATCHERS: usize = 2;
/// Name of the watcher's role.
const WATCH_ROLE: &str = "config-watch";
/// Time between two tries to read the configuration while there is none.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// Time without a word of the object API or any peer after which the configuration in force
/// is not trusted any more: a data centre may have been taken out meanwhile.
pub(crate) const TRUST_SPAN: Duration = Duration::from_secs(3);

/// Holds or drops the watch, and reads the configuration while there is none.
pub(crate) fn tick(state: &mut state::NodeState) {
    choose_watch(state);
    let silent = state.now.since(state.config.heard_at) > TRUST_SPAN;
    let needed = state.config.config.is_none() || silent;
    if needed && state.config.read.is_none() && state.now >= state.config.next_read_at {
        read(state);
    }
}

/// Whether the configuration may be relied on for new work.
pub(crate) fn is_trusted(state: &state::NodeState) -> bool {
    if state.config.config.is_none() {
        return false;
    }
    let fresh = state.now.since(state.config.heard_at) <= TRUST_SPAN;
    let alone = state
        .members
        .iter()
        .all(|member| !member.may_live() && !member.listed);
    fresh || alone
}

/// The object API answered a watch: it is reachable and nothing newer was accepted.
pub(crate) fn on_heard(state: &mut state::NodeState) {
    state.config.heard_at = state.now;
}

/// A configuration was seen, in the object API or at a peer.
pub(crate) fn on_seen(
    state: &mut state::NodeState,
    version: config::ConfigVersion,
    config: sync::Arc<config::FleetConfig>,
) {
    on_heard(state);
    if version <= state.config.version {
        return;
    }
    state.config.version = version;
    state
        .endpoints
        .retain(|endpoint| config.endpoints.contains_key(endpoint));
    state.config.config = Some(config.clone());
    state.note(action::NodeNote::ConfigInForce { version });
    if state.config.watching {
        relay(state, version, &config);
    }
}

fn relay(
    state: &mut state::NodeState,
    version: config::ConfigVersion,
    config: &sync::Arc<config::FleetConfig>,
) {
    let centre = state.settings.entry.data_centre.clone();
    let own = state.host().clone();
    for host in state.usable_in(Some(&centre)) {
        if host != own {
            state.send(
                &host,
                peer::PeerMessage::ConfigPush {
                    version,
                    config: config.clone(),
                },
            );
        }
    }
}

/// A peer named the version that it has in force.
pub(crate) fn on_version(
    state: &mut state::NodeState,
    from: &ids::HostId,
    version: config::ConfigVersion,
) {
    if version > state.config.version {
        let version = state.config.version;
        state.send(from, peer::PeerMessage::ConfigAsk { version });
    }
}

/// A peer asks for a configuration newer than its own.
pub(crate) fn on_ask(
    state: &mut state::NodeState,
    from: &ids::HostId,
    version: config::ConfigVersion,
) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    if state.config.version > version {
        let version = state.config.version;
        state.send(from, peer::PeerMessage::ConfigPush { version, config });
    }
}

/// Takes the reply to a reading of the configuration. Returns whether it was one.
pub(crate) fn on_reply(
    state: &mut state::NodeState,
    call: store::CallId,
    reply: &store::StoreReply,
) -> bool {
    if state.config.read != Some(call) {
        return false;
    }
    state.config.read = None;
    systems::claims::note_store(state, reply);
    if !matches!(reply, store::StoreReply::Lost) {
        on_heard(state);
    }
    true
}

fn read(state: &mut state::NodeState) {
    state.config.next_read_at = state.now + READ_PERIOD;
    let name = config::CONFIG_OBJECT.to_owned();
    state.config.read = Some(state.call_store(store::StoreCall::Read { name }));
}

fn choose_watch(state: &mut state::NodeState) {
    let basis = (state.members.generation(), state.takes_roles());
    if state.config.watch_basis == Some(basis) {
        return;
    }
    state.config.watch_basis = Some(basis);
    let centre = state.settings.entry.data_centre.clone();
    let ranked = state.rank(Some(&centre), WATCH_ROLE);
    let held = ranked
        .iter()
        .take(WATCHERS)
        .any(|host| host == state.host());
    if held == state.config.watching {
        return;
    }
    state.config.watching = held;
    let after = state.config.version;
    state.act(action::NodeAction::WatchConfig { held, after });
}
