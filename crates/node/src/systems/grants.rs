//! Who may load an endpoint: each endpoint has one keeper, which grants the right to send.
//!
//! A sender takes a grant as void [`GRANT_SPAN`] after it asked, by its own clock. A new
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
pub(crate) const GRANT_SPAN: Duration = Duration::from_secs(1);
/// Longest lag of an engine's load report.
pub(crate) const REPORT_LAG: Duration = Duration::from_secs(1);
/// Time after which a load report that did not come is asked for again. Longer than the
/// driver waits for one.
const LOAD_LIMIT: Duration = Duration::from_secs(2);
/// Requests that a cold endpoint must finish before its carry rises.
const WARM_REQUESTS: u32 = 8;
/// Time within which a second failure takes an endpoint back to its start.
const FAILURE_SPAN: Duration = Duration::from_secs(1);
/// Time between two load reports of a warm engine.
const LOAD_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two load reports of an engine that is cold or new to its keeper.
const COLD_LOAD_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a grant for an endpoint that reports no load counts as returned.
const SILENT_HOLD_SPAN: Duration = Duration::from_secs(120);

/// What a sender asks of a keeper.
#[derive(Clone, Debug)]
pub(crate) struct GrantAsk {
    pub endpoint: ids::EndpointId,
    pub attempt: ids::AttemptId,
    pub class: request::SizeClass,
    pub tokens: u64,
}

/// Takes and gives up endpoints, and reads their loads.
pub(crate) fn tick(state: &mut state::NodeState) {
    divide_roles(state);
    poll_loads(state);
    expire_holds(state);
}

fn divide_roles(state: &mut state::NodeState) {
    let basis = ledger::RoleInputs {
        generation: state.members.generation(),
        version: state.config.version,
    };
    if state.ledgers.role_inputs == Some(basis) && state.accepts_roles() {
        return;
    }
    let Some(config) = state.config.config.clone() else {
        return;
    };
    state.ledgers.role_inputs = Some(basis);
    let own = state.host().clone();
    for (id, entry) in &config.endpoints {
        let kept = state.coordinator_of(id, entry).as_ref() == Some(&own);
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
        first_grant_at: state.now + GRANT_SPAN,
        reports_load,
        load: None,
        engine_incarnation: None,
        load_requested_at: state.now,
        pending_load_requested_at: None,
        next_load_at: state.now,
        concurrency_limit: if reports_load {
            entry.cold_slots
        } else {
            entry.slots
        },
        finished_since_rise: 0,
        failed_at: None,
        votes: ledger::VoteRecord {
            last_grant_request_at: state.now,
            ..Default::default()
        },
        grants: Default::default(),
    };
    state.ledgers.ledgers.insert(id.clone(), account);
    state.log(action::LogRecord::CoordinationStarted {
        endpoint: id.clone(),
    });
}

fn close_ledger(state: &mut state::NodeState, id: &ids::EndpointId) {
    state.ledgers.ledgers.remove(id);
    state.log(action::LogRecord::CoordinationEnded {
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
            .pending_load_requested_at
            .is_some_and(|asked_at| now.since(asked_at) < LOAD_LIMIT);
        if !account.reports_load || pending || now < account.next_load_at {
            continue;
        }
        account.pending_load_requested_at = Some(now);
        let warm = account.load.is_some() && account.concurrency_limit >= entry.slots;
        account.next_load_at = now + if warm { LOAD_PERIOD } else { COLD_LOAD_PERIOD };
        due.push(action::NodeAction::ReadLoad {
            endpoint: id.clone(),
            address: entry.address,
        });
    }
    for read in due {
        state.emit(read);
    }
}

fn expire_holds(state: &mut state::NodeState) {
    let now = state.now;
    for account in state.ledgers.ledgers.values_mut() {
        if !account.reports_load {
            account
                .grants
                .retain(|_, hold| now.since(hold.granted_at) < SILENT_HOLD_SPAN);
        }
    }
}

/// Takes an engine's load report.
pub(crate) fn on_load(
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
    let Some(asked_at) = account.pending_load_requested_at.take() else {
        // A second answer to one question tells nothing about its own age.
        return;
    };
    let Some(load) = load else {
        account.load = None;
        return;
    };
    if account.engine_incarnation.is_none() {
        account.concurrency_limit = carry_shown(&load, &entry);
    }
    let restarted = account
        .engine_incarnation
        .is_some_and(|life| life != load.incarnation);
    account.engine_incarnation = Some(load.incarnation);
    if restarted {
        account.concurrency_limit = entry.cold_slots;
        account.finished_since_rise = 0;
    }
    account.grants.retain(|attempt, hold| {
        let settled_at = hold.released_at.unwrap_or(hold.granted_at + GRANT_SPAN);
        let unseen = asked_at < settled_at + REPORT_LAG;
        unseen || load.streams.iter().any(|stream| stream.attempt == *attempt)
    });
    account.load = Some(load.clone());
    account.load_requested_at = asked_at;
    if restarted {
        state.log(action::LogRecord::EngineCold {
            endpoint: id.clone(),
        });
    }
    systems::reclaim::on_streams(state, id, &load.streams);
}

/// Requests that an engine shows to carry when its keeper first hears of it: a new keeper need
/// not earn again what the one before it had.
fn carry_shown(load: &load::EngineLoad, entry: &config::EndpointEntry) -> u32 {
    let read = load.streams.iter().filter(|stream| stream.attached).count();
    let read = u32::try_from(read).unwrap_or(u32::MAX);
    read.clamp(entry.cold_slots, entry.slots.max(entry.cold_slots))
}

/// Answers a sender that asks for a grant.
pub(crate) fn on_ask(state: &mut state::NodeState, from: &ids::HostId, ask: GrantAsk) {
    divide_roles(state);
    systems::votes::refresh(state, &ask.endpoint);
    let room = room_for(state, &ask);
    let verdict = match room {
        None => peer::GrantVerdict::NotKeeper,
        Some(room) if room.slots >= 1 && room.tokens >= ask.tokens => peer::GrantVerdict::Granted,
        Some(_) => peer::GrantVerdict::Full,
    };
    let mut room = room.unwrap_or(ledger::ResourceAmount {
        slots: 0,
        tokens: 0,
    });
    if verdict == peer::GrantVerdict::Granted {
        room.slots -= 1;
        room.tokens -= ask.tokens;
        hold(state, &ask);
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

fn hold(state: &mut state::NodeState, ask: &GrantAsk) {
    let now = state.now;
    if let Some(account) = state.ledgers.ledgers.get_mut(&ask.endpoint) {
        let hold = ledger::OutstandingGrant {
            class: ask.class,
            tokens: ask.tokens,
            granted_at: now,
            released_at: None,
        };
        account.grants.insert(ask.attempt, hold);
    }
}

/// Room on an endpoint for a request; `None` if this daemon may not grant it at all.
fn room_for(state: &state::NodeState, ask: &GrantAsk) -> Option<ledger::ResourceAmount> {
    let entry = endpoint_entry(state, &ask.endpoint)?;
    let account = state.ledgers.ledgers.get(&ask.endpoint)?;
    let leaving = account.load.as_ref().is_some_and(|load| load.leaving);
    if !state.accepts_work(&ask.endpoint, &entry) || leaving || !systems::config::is_trusted(state)
    {
        return None;
    }
    let carry = allowed_carry(account, &entry, state.now);
    if carry == 0 || !systems::membership::has_joined(state) {
        return Some(ledger::ResourceAmount {
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
        return Some(ledger::ResourceAmount { slots, tokens });
    }
    let free = ledger::ResourceAmount { slots, tokens };
    Some(systems::classes::limit(account, ask.class, memory, free))
}

/// Whether the endpoint has yet to show that it carries more than after its start.
pub(crate) fn is_cold(account: &ledger::EndpointLedger, entry: &config::EndpointEntry) -> bool {
    account.reports_load
        && account.concurrency_limit <= entry.cold_slots
        && account.concurrency_limit < entry.slots
}

/// Requests that this daemon may let the endpoint carry.
fn allowed_carry(
    account: &ledger::EndpointLedger,
    entry: &config::EndpointEntry,
    now: time::MonoTime,
) -> u32 {
    let seen = !account.reports_load || account.load.is_some();
    if now < account.first_grant_at || !seen {
        return 0;
    }
    if is_cold(account, entry) {
        return systems::votes::allowed_carry(account, now);
    }
    account.concurrency_limit
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
    let Some(hold) = account.grants.get_mut(&attempt) else {
        return;
    };
    let may_run = matches!(usage, peer::GrantUsage::Dropped | peer::GrantUsage::Failed);
    if may_run && account.reports_load {
        hold.released_at.get_or_insert(now);
    } else {
        account.grants.remove(&attempt);
        forget_stream(account, attempt);
    }
    match usage {
        peer::GrantUsage::Finished => earn(account, &entry),
        peer::GrantUsage::Failed => lose(account, &entry, now),
        peer::GrantUsage::Unreachable => doubt(account),
        peer::GrantUsage::Dropped | peer::GrantUsage::Unused => {}
    }
}

fn forget_stream(account: &mut ledger::EndpointLedger, attempt: ids::AttemptId) {
    if let Some(load) = &mut account.load {
        load.streams.retain(|stream| stream.attempt != attempt);
    }
}

/// Finished requests are evidence: enough of them double the carry.
fn earn(account: &mut ledger::EndpointLedger, entry: &config::EndpointEntry) {
    if account.concurrency_limit >= entry.slots {
        return;
    }
    account.finished_since_rise += 1;
    let wanted = if account.concurrency_limit <= entry.cold_slots {
        WARM_REQUESTS
    } else {
        account.concurrency_limit
    };
    if account.finished_since_rise >= wanted {
        account.finished_since_rise = 0;
        account.concurrency_limit = (account.concurrency_limit * 2).min(entry.slots);
    }
}

/// An endpoint that takes no connection gets no grant before it reports its load again.
fn doubt(account: &mut ledger::EndpointLedger) {
    account.load = None;
    account.next_load_at = time::MonoTime::default();
}

/// A refusal or a broken answer is evidence against the endpoint; two in a row take it back
/// to its start. Its load is read at once, since it may have started anew.
fn lose(account: &mut ledger::EndpointLedger, entry: &config::EndpointEntry, now: time::MonoTime) {
    let again = account
        .failed_at
        .is_some_and(|failed_at| now.since(failed_at) < FAILURE_SPAN);
    account.failed_at = Some(now);
    account.next_load_at = now;
    account.finished_since_rise = 0;
    account.concurrency_limit = match again {
        true => account.concurrency_limit.min(entry.cold_slots),
        false => (account.concurrency_limit / 2).max(entry.cold_slots),
    };
}

fn endpoint_entry(state: &state::NodeState, id: &ids::EndpointId) -> Option<config::EndpointEntry> {
    let config = state.config.config.as_ref()?;
    config.endpoints.get(id).cloned()
}
