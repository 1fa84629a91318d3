//! Who may load an endpoint: each endpoint has one keeper, which grants the right to send.
//!
//! A sender takes a grant as void [`GRANT_TTL`] after it asked, by its own clock. A new
//! keeper waits that long, and for the engine's own report, before its first grant. While the
//! endpoint is cold it also needs the votes of other daemons ([`crate::systems::votes`]).

use std::time::Duration;

use model::config;
use model::ids;
use model::load;
use model::peer;
use model::request;
use model::time;

use crate::action;
use crate::state;
use crate::systems;
use crate::tables::ledger;

/// Time after asking within which a grant may be used.
pub(crate) const GRANT_TTL: Duration = Duration::from_secs(1);
/// Longest lag of an engine's load report.
pub(crate) const MAX_REPORT_LAG: Duration = Duration::from_secs(1);
/// Time after which a load report that did not come is asked for again. Longer than the
/// driver waits for one.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that a cold endpoint must finish before its carry rises.
const WARM_UP_REQUESTS: u32 = 8;
/// Time within which a second failure takes an endpoint back to its start.
const REPEATED_FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Time between two load reports of a warm engine.
const LOAD_POLL_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two load reports of an engine that is cold or new to its keeper.
const COLD_LOAD_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a grant for an endpoint that reports no load counts as returned.
const UNREPORTED_HOLD_TTL: Duration = Duration::from_secs(120);

/// What a sender asks of a keeper.
#[derive(Clone, Debug)]
pub(crate) struct GrantRequest {
    pub endpoint: ids::EndpointId,
    pub attempt: ids::AttemptId,
    pub class: request::SizeClass,
    pub tokens: u64,
}

/// Takes and gives up endpoints, and reads their loads.
pub(crate) fn tick(state: &mut state::NodeState) {
    assign_ledgers(state);
    poll_loads(state);
    expire_holds(state);
}

fn assign_ledgers(state: &mut state::NodeState) {
    let basis = ledger::RoleBasis {
        generation: state.members.generation(),
        version: state.config.version,
    };
    if state.ledgers.made_for == Some(basis) && state.takes_roles() {
        return;
    }
    let Some(config) = state.config.config.clone() else {
        return;
    };
    state.ledgers.made_for = Some(basis);
    let own = state.host().clone();
    for (id, entry) in &config.endpoints {
        let kept = state.keeper_of(id, entry).as_ref() == Some(&own);
        let open = state.ledgers.ledgers.contains_key(id);
        if kept && !open {
            open_ledger(state, &config, id, entry);
        } else if !kept && open {
            close_ledger(state, id);
        }
    }
    let gone = state
        .ledgers
        .ledgers
        .keys()
        .filter(|id| !config.endpoints.contains_key(*id));
    for id in gone.cloned().collect::<Vec<_>>() {
        close_ledger(state, &id);
    }
}

fn open_ledger(
    state: &mut state::NodeState,
    config: &config::FleetConfig,
    id: &ids::EndpointId,
    entry: &config::EndpointEntry,
) {
    let service = config.services.get(&entry.service);
    let reports_load =
        service.is_some_and(|service| matches!(service.kind, config::ServiceKind::Model { .. }));
    let account = ledger::EndpointLedger {
        ready_at: state.now + GRANT_TTL,
        reports_load,
        load: None,
        life: None,
        load_asked_at: state.now,
        load_pending: None,
        next_load_at: state.now,
        carry: if reports_load {
            entry.cold_slots
        } else {
            entry.slots
        },
        earned: 0,
        failed_at: None,
        votes: ledger::VoteRecord {
            wanted_at: state.now,
            ..Default::default()
        },
        holds: Default::default(),
    };
    state.ledgers.ledgers.insert(id.clone(), account);
    state.note(action::NodeNote::KeeperOpened {
        endpoint: id.clone(),
    });
}

fn close_ledger(state: &mut state::NodeState, id: &ids::EndpointId) {
    state.ledgers.ledgers.remove(id);
    state.note(action::NodeNote::KeeperClosed {
        endpoint: id.clone(),
    });
}

fn poll_loads(state: &mut state::NodeState) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let now = state.now;
    let mut due = Vec::new();
    for (id, account) in &mut state.ledgers.ledgers {
        let Some(entry) = config.endpoints.get(id) else {
            continue;
        };
        let pending = account
            .load_pending
            .is_some_and(|asked_at| now.since(asked_at) < LOAD_REPORT_TIMEOUT);
        if !account.reports_load || pending || now < account.next_load_at {
            continue;
        }
        account.load_pending = Some(now);
        let warm = account.load.is_some() && account.carry >= entry.slots;
        account.next_load_at = now
            + if warm {
                LOAD_POLL_PERIOD
            } else {
                COLD_LOAD_POLL_PERIOD
            };
        due.push(action::NodeAction::ReadLoad {
            endpoint: id.clone(),
            address: entry.address,
        });
    }
    for read in due {
        state.act(read);
    }
}

fn expire_holds(state: &mut state::NodeState) {
    let now = state.now;
    for account in state.ledgers.ledgers.values_mut() {
        if !account.reports_load {
            account
                .holds
                .retain(|_, hold| now.since(hold.granted_at) < UNREPORTED_HOLD_TTL);
        }
    }
}

/// Takes an engine's load report.
pub(crate) fn on_load_report(
    state: &mut state::NodeState,
    id: &ids::EndpointId,
    load: Option<load::EngineLoad>,
) {
    let Some(entry) = endpoint_entry(state, id) else {
        return;
    };
    let Some(account) = state.ledgers.ledgers.get_mut(id) else {
        return;
    };
    let Some(asked_at) = account.load_pending.take() else {
        // A second answer to one question tells nothing about its own age.
        return;
    };
    let Some(load) = load else {
        account.load = None;
        return;
    };
    if account.life.is_none() {
        account.carry = observed_limit(&load, &entry);
    }
    let restarted = account.life.is_some_and(|life| life != load.incarnation);
    account.life = Some(load.incarnation);
    if restarted {
        account.carry = entry.cold_slots;
        account.earned = 0;
    }
    account.holds.retain(|attempt, hold| {
        let settled_at = hold.released_at.unwrap_or(hold.granted_at + GRANT_TTL);
        let unseen = asked_at < settled_at + MAX_REPORT_LAG;
        unseen || load.streams.iter().any(|stream| stream.attempt == *attempt)
    });
    account.load = Some(load.clone());
    account.load_asked_at = asked_at;
    if restarted {
        state.note(action::NodeNote::EngineCold {
            endpoint: id.clone(),
        });
    }
    systems::reclaim::reclaim_streams(state, id, &load.streams);
}

/// Requests that an engine shows to carry when its keeper first hears of it: a new keeper need
/// not earn again what the one before it had.
fn observed_limit(load: &load::EngineLoad, entry: &config::EndpointEntry) -> u32 {
    let read = load.streams.iter().filter(|stream| stream.attached).count();
    let read = u32::try_from(read).unwrap_or(u32::MAX);
    read.clamp(entry.cold_slots, entry.slots.max(entry.cold_slots))
}

/// Answers a sender that asks for a grant.
pub(crate) fn on_request(state: &mut state::NodeState, from: &ids::HostId, ask: GrantRequest) {
    assign_ledgers(state);
    systems::votes::record_demand(state, &ask.endpoint);
    let room = free_space(state, &ask);
    let verdict = match room {
        None => peer::GrantVerdict::NotKeeper,
        Some(room) if room.slots >= 1 && room.tokens >= ask.tokens => peer::GrantVerdict::Granted,
        Some(_) => peer::GrantVerdict::Full,
    };
    let mut room = room.unwrap_or(ledger::SpaceUse {
        slots: 0,
        tokens: 0,
    });
    if verdict == peer::GrantVerdict::Granted {
        room.slots -= 1;
        room.tokens -= ask.tokens;
        record_hold(state, &ask);
        state.stats.grants_given += 1;
    } else {
        state.stats.grants_denied += 1;
    }
    let reply = peer::PeerMessage::GrantReply {
        endpoint: ask.endpoint,
        attempt: ask.attempt,
        verdict,
        free_slots: room.slots,
        free_tokens: room.tokens,
    };
    state.send(from, reply);
}

fn record_hold(state: &mut state::NodeState, ask: &GrantRequest) {
    let now = state.now;
    if let Some(account) = state.ledgers.ledgers.get_mut(&ask.endpoint) {
        let hold = ledger::GrantHold {
            class: ask.class,
            tokens: ask.tokens,
            granted_at: now,
            released_at: None,
        };
        account.holds.insert(ask.attempt, hold);
    }
}

/// Room on an endpoint for a request; `None` if this daemon may not grant it at all.
fn free_space(state: &state::NodeState, ask: &GrantRequest) -> Option<ledger::SpaceUse> {
    let entry = endpoint_entry(state, &ask.endpoint)?;
    let account = state.ledgers.ledgers.get(&ask.endpoint)?;
    let leaving = account.load.as_ref().is_some_and(|load| load.leaving);
    if !state.takes_work(&ask.endpoint, &entry) || leaving || !systems::config::is_trusted(state) {
        return None;
    }
    let carry = allowed_concurrency(account, &entry, state.now);
    if carry == 0 || !systems::membership::has_joined(state) {
        return Some(ledger::SpaceUse {
            slots: 0,
            tokens: 0,
        });
    }
    let memory = match &account.load {
        Some(load) => load.memory_tokens,
        None => entry.memory_tokens,
    };
    let slots = carry.saturating_sub(account.used_slots());
    let tokens = memory.saturating_sub(account.used_tokens());
    let policy = state
        .config
        .config
        .as_ref()
        .map(|config| config.policy.placement);
    let sized = policy == Some(config::PlacementPolicy::SizeAware);
    if !sized {
        return Some(ledger::SpaceUse { slots, tokens });
    }
    let free = ledger::SpaceUse { slots, tokens };
    Some(systems::class_limits::limit_space(
        account, ask.class, memory, free,
    ))
}

/// Whether the endpoint has yet to show that it carries more than after its start.
pub(crate) fn is_cold(account: &ledger::EndpointLedger, entry: &config::EndpointEntry) -> bool {
    account.reports_load && account.carry <= entry.cold_slots && account.carry < entry.slots
}

/// Requests that this daemon may let the endpoint carry.
fn allowed_concurrency(
    account: &ledger::EndpointLedger,
    entry: &config::EndpointEntry,
    now: time::MonoTime,
) -> u32 {
    let seen = !account.reports_load || account.load.is_some();
    if now < account.ready_at || !seen {
        return 0;
    }
    if is_cold(account, entry) {
        return systems::votes::allowed_concurrency(account, now);
    }
    account.carry
}

/// Takes a grant back.
pub(crate) fn on_return(
    state: &mut state::NodeState,
    id: &ids::EndpointId,
    attempt: ids::AttemptId,
    usage: peer::GrantUsage,
) {
    let Some(entry) = endpoint_entry(state, id) else {
        return;
    };
    let now = state.now;
    let Some(account) = state.ledgers.ledgers.get_mut(id) else {
        return;
    };
    let Some(hold) = account.holds.get_mut(&attempt) else {
        return;
    };
    let may_run = matches!(usage, peer::GrantUsage::Dropped | peer::GrantUsage::Failed);
    if may_run && account.reports_load {
        hold.released_at.get_or_insert(now);
    } else {
        account.holds.remove(&attempt);
        remove_stream(account, attempt);
    }
    match usage {
        peer::GrantUsage::Finished => raise_limit(account, &entry),
        peer::GrantUsage::Failed => lower_limit(account, &entry, now),
        peer::GrantUsage::Unreachable => await_load_report(account),
        peer::GrantUsage::Dropped | peer::GrantUsage::Unused => {}
    }
}

fn remove_stream(account: &mut ledger::EndpointLedger, attempt: ids::AttemptId) {
    if let Some(load) = &mut account.load {
        load.streams.retain(|stream| stream.attempt != attempt);
    }
}

/// Finished requests are evidence: enough of them double the carry.
fn raise_limit(account: &mut ledger::EndpointLedger, entry: &config::EndpointEntry) {
    if account.carry >= entry.slots {
        return;
    }
    account.earned += 1;
    let wanted = if account.carry <= entry.cold_slots {
        WARM_UP_REQUESTS
    } else {
        account.carry
    };
    if account.earned >= wanted {
        account.earned = 0;
        account.carry = (account.carry * 2).min(entry.slots);
    }
}

/// An endpoint that takes no connection gets no grant before it reports its load again.
fn await_load_report(account: &mut ledger::EndpointLedger) {
    account.load = None;
    account.next_load_at = time::MonoTime::default();
}

/// A refusal or a broken answer is evidence against the endpoint; two in a row take it back
/// to its start. Its load is read at once, since it may have started anew.
fn lower_limit(
    account: &mut ledger::EndpointLedger,
    entry: &config::EndpointEntry,
    now: time::MonoTime,
) {
    let again = account
        .failed_at
        .is_some_and(|failed_at| now.since(failed_at) < REPEATED_FAILURE_WINDOW);
    account.failed_at = Some(now);
    account.next_load_at = now;
    account.earned = 0;
    account.carry = match again {
        true => account.carry.min(entry.cold_slots),
        false => (account.carry / 2).max(entry.cold_slots),
    };
}

fn endpoint_entry(state: &state::NodeState, id: &ids::EndpointId) -> Option<config::EndpointEntry> {
    let config = state.config.config.as_ref()?;
    config.endpoints.get(id).cloned()
}
