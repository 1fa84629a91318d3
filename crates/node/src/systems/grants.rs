//! Admission to endpoints: each endpoint has one coordinator, which grants the right to send to
//! it.
//!
//! A sender treats a grant as expired [`GRANT_TTL`] after it requested it, by its own clock. A
//! new coordinator waits that long, and for the engine's own load report, before its first grant.
//! While the endpoint is cold, the coordinator also needs the votes of other daemons
//! ([`crate::systems::votes`]).

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

/// How long a grant may be used, from when the sender requested it.
pub(crate) const GRANT_TTL: Duration = Duration::from_secs(1);
/// Maximum lag of an engine's load report behind its actual state.
pub(crate) const MAX_REPORT_LAG: Duration = Duration::from_secs(1);
/// Time after which a missing load report is requested again. Longer than the driver waits for
/// one.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that a cold endpoint must finish before its concurrency limit rises.
const WARM_UP_REQUESTS: u32 = 8;
/// Time within which a second failure resets an endpoint to its cold concurrency limit.
const REPEATED_FAILURE_WINDOW: Duration = Duration::from_secs(1);
/// Interval between load reports of an engine at its full concurrency limit.
const LOAD_POLL_PERIOD: Duration = Duration::from_millis(1_000);
/// Interval between load reports of an engine below its full concurrency limit or without a
/// report.
const RAMP_UP_LOAD_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a grant for an endpoint that reports no load counts as returned.
const UNREPORTED_GRANT_TTL: Duration = Duration::from_secs(120);

/// A sender's request for a grant.
#[derive(Clone, Debug)]
pub(crate) struct GrantRequest {
    pub endpoint: ids::EndpointId,
    pub attempt: ids::AttemptId,
    pub class: request::SizeClass,
    pub tokens: u64,
}

/// Updates which endpoints this daemon coordinates, polls their loads and expires old grants.
pub(crate) fn tick(state: &mut state::NodeState) {
    assign_ledgers(state);
    poll_loads(state);
    expire_grants(state);
}

fn assign_ledgers(state: &mut state::NodeState) {
    let inputs = ledger::RoleInputs {
        generation: state.members.generation(),
        version: state.config.version,
    };
    if state.ledgers.role_inputs == Some(inputs) && state.accepts_roles() {
        return;
    }
    let Some(config) = state.config.config.clone() else {
        return;
    };
    state.ledgers.role_inputs = Some(inputs);
    let own_host = state.host().clone();
    for (id, entry) in &config.endpoints {
        let is_coordinator = state.coordinator_of(id, entry).as_ref() == Some(&own_host);
        let has_ledger = state.ledgers.ledgers.contains_key(id);
        if is_coordinator && !has_ledger {
            open_ledger(state, &config, id, entry);
        } else if !is_coordinator && has_ledger {
            close_ledger(state, id);
        }
    }
    let removed = state
        .ledgers
        .ledgers
        .keys()
        .filter(|id| !config.endpoints.contains_key(*id));
    for id in removed.cloned().collect::<Vec<_>>() {
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
    let ledger = ledger::EndpointLedger {
        first_grant_at: state.now + GRANT_TTL,
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
    state.ledgers.ledgers.insert(id.clone(), ledger);
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
    for (id, ledger) in &mut state.ledgers.ledgers {
        let Some(entry) = config.endpoints.get(id) else {
            continue;
        };
        let pending = ledger
            .pending_load_requested_at
            .is_some_and(|requested_at| now.since(requested_at) < LOAD_REPORT_TIMEOUT);
        if !ledger.reports_load || pending || now < ledger.next_load_at {
            continue;
        }
        ledger.pending_load_requested_at = Some(now);
        let at_full_limit = ledger.load.is_some() && ledger.concurrency_limit >= entry.slots;
        ledger.next_load_at = now
            + if at_full_limit {
                LOAD_POLL_PERIOD
            } else {
                RAMP_UP_LOAD_POLL_PERIOD
            };
        due.push(action::NodeAction::ReadLoad {
            endpoint: id.clone(),
            address: entry.address,
        });
    }
    for read in due {
        state.emit(read);
    }
}

fn expire_grants(state: &mut state::NodeState) {
    let now = state.now;
    for ledger in state.ledgers.ledgers.values_mut() {
        if !ledger.reports_load {
            ledger
                .grants
                .retain(|_, grant| now.since(grant.granted_at) < UNREPORTED_GRANT_TTL);
        }
    }
}

/// Handles an engine's load report.
pub(crate) fn on_load_report(
    state: &mut state::NodeState,
    id: &ids::EndpointId,
    load: Option<load::EngineLoad>,
) {
    let Some(entry) = endpoint_entry(state, id) else {
        return;
    };
    let Some(ledger) = state.ledgers.ledgers.get_mut(id) else {
        return;
    };
    let Some(requested_at) = ledger.pending_load_requested_at.take() else {
        // Without a pending request, as for a duplicate reply, the age of the report is unknown.
        return;
    };
    let Some(load) = load else {
        ledger.load = None;
        return;
    };
    if ledger.engine_incarnation.is_none() {
        ledger.concurrency_limit = observed_concurrency_limit(&load, &entry);
    }
    let restarted = ledger
        .engine_incarnation
        .is_some_and(|incarnation| incarnation != load.incarnation);
    ledger.engine_incarnation = Some(load.incarnation);
    if restarted {
        ledger.concurrency_limit = entry.cold_slots;
        ledger.finished_since_rise = 0;
    }
    ledger.grants.retain(|attempt, grant| {
        let settled_at = grant.released_at.unwrap_or(grant.granted_at + GRANT_TTL);
        let possibly_unreported = requested_at < settled_at + MAX_REPORT_LAG;
        possibly_unreported || load.streams.iter().any(|stream| stream.attempt == *attempt)
    });
    ledger.load = Some(load.clone());
    ledger.load_requested_at = requested_at;
    if restarted {
        state.log(action::LogRecord::EngineCold {
            endpoint: id.clone(),
        });
    }
    systems::reclaim::reclaim_streams(state, id, &load.streams);
}

/// Returns the concurrency limit shown by the attached streams of an engine's first report, so
/// that a new coordinator need not raise again the limit that its predecessor had reached.
fn observed_concurrency_limit(load: &load::EngineLoad, entry: &config::EndpointEntry) -> u32 {
    let attached = load.streams.iter().filter(|stream| stream.attached).count();
    let attached = u32::try_from(attached).unwrap_or(u32::MAX);
    attached.clamp(entry.cold_slots, entry.slots.max(entry.cold_slots))
}

/// Replies to a sender's request for a grant.
pub(crate) fn on_request(state: &mut state::NodeState, from: &ids::HostId, request: GrantRequest) {
    assign_ledgers(state);
    systems::votes::record_demand(state, &request.endpoint);
    let space = free_space(state, &request);
    let verdict = match space {
        None => peer::GrantVerdict::NotCoordinator,
        Some(space) if space.slots >= 1 && space.tokens >= request.tokens => {
            peer::GrantVerdict::Granted
        }
        Some(_) => peer::GrantVerdict::Full,
    };
    let mut space = space.unwrap_or(ledger::ResourceAmount {
        slots: 0,
        tokens: 0,
    });
    if verdict == peer::GrantVerdict::Granted {
        space.slots -= 1;
        space.tokens -= request.tokens;
        record_grant(state, &request);
        state.stats.grants_given += 1;
    } else {
        state.stats.grants_denied += 1;
    }
    let reply = peer::PeerMessage::GrantReply {
        endpoint: request.endpoint,
        attempt: request.attempt,
        verdict,
        free_slots: space.slots,
        free_tokens: space.tokens,
    };
    state.send(from, reply);
}

fn record_grant(state: &mut state::NodeState, request: &GrantRequest) {
    let now = state.now;
    if let Some(ledger) = state.ledgers.ledgers.get_mut(&request.endpoint) {
        let grant = ledger::OutstandingGrant {
            class: request.class,
            tokens: request.tokens,
            granted_at: now,
            released_at: None,
        };
        ledger.grants.insert(request.attempt, grant);
    }
}

/// Returns the free slots and tokens of an endpoint for a request; `None` if this daemon may not
/// grant at all.
fn free_space(state: &state::NodeState, request: &GrantRequest) -> Option<ledger::ResourceAmount> {
    let entry = endpoint_entry(state, &request.endpoint)?;
    let ledger = state.ledgers.ledgers.get(&request.endpoint)?;
    let leaving = ledger.load.as_ref().is_some_and(|load| load.leaving);
    if !state.accepts_work(&request.endpoint, &entry)
        || leaving
        || !systems::config::is_trusted(state)
    {
        return None;
    }
    let allowed_slots = allowed_slots(ledger, &entry, state.now);
    if allowed_slots == 0 || !systems::membership::has_joined(state) {
        return Some(ledger::ResourceAmount {
            slots: 0,
            tokens: 0,
        });
    }
    let memory = match &ledger.load {
        Some(load) => load.memory_tokens,
        None => entry.memory_tokens,
    };
    let slots = allowed_slots.saturating_sub(ledger.used_slots());
    let tokens = memory.saturating_sub(ledger.used_tokens());
    let policy = state
        .config
        .config
        .as_ref()
        .map(|config| config.policy.placement);
    let is_size_aware = policy == Some(config::PlacementPolicy::SizeAware);
    if !is_size_aware {
        return Some(ledger::ResourceAmount { slots, tokens });
    }
    let free = ledger::ResourceAmount { slots, tokens };
    Some(systems::class_limits::limit_space(
        ledger,
        request.class,
        memory,
        free,
    ))
}

/// Whether the endpoint's concurrency limit has not yet risen above its value after an engine
/// start.
pub(crate) fn is_cold(ledger: &ledger::EndpointLedger, entry: &config::EndpointEntry) -> bool {
    ledger.reports_load
        && ledger.concurrency_limit <= entry.cold_slots
        && ledger.concurrency_limit < entry.slots
}

/// Returns the number of slots of the endpoint that this daemon may grant.
fn allowed_slots(
    ledger: &ledger::EndpointLedger,
    entry: &config::EndpointEntry,
    now: time::MonoTime,
) -> u32 {
    let load_known = !ledger.reports_load || ledger.load.is_some();
    if now < ledger.first_grant_at || !load_known {
        return 0;
    }
    if is_cold(ledger, entry) {
        return systems::votes::allowed_slots(ledger, now);
    }
    ledger.concurrency_limit
}

/// Handles the return of a grant.
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
    let Some(ledger) = state.ledgers.ledgers.get_mut(id) else {
        return;
    };
    let Some(grant) = ledger.grants.get_mut(&attempt) else {
        return;
    };
    let may_run = matches!(usage, peer::GrantUsage::Dropped | peer::GrantUsage::Failed);
    if may_run && ledger.reports_load {
        grant.released_at.get_or_insert(now);
    } else {
        ledger.grants.remove(&attempt);
        remove_stream(ledger, attempt);
    }
    match usage {
        peer::GrantUsage::Finished => raise_concurrency_limit(ledger, &entry),
        peer::GrantUsage::Failed => lower_concurrency_limit(ledger, &entry, now),
        peer::GrantUsage::Unreachable => await_load_report(ledger),
        peer::GrantUsage::Dropped | peer::GrantUsage::Unused => {}
    }
}

fn remove_stream(ledger: &mut ledger::EndpointLedger, attempt: ids::AttemptId) {
    if let Some(load) = &mut ledger.load {
        load.streams.retain(|stream| stream.attempt != attempt);
    }
}

/// Counts a finished request; enough of them double the concurrency limit.
fn raise_concurrency_limit(ledger: &mut ledger::EndpointLedger, entry: &config::EndpointEntry) {
    if ledger.concurrency_limit >= entry.slots {
        return;
    }
    ledger.finished_since_rise += 1;
    let required = if ledger.concurrency_limit <= entry.cold_slots {
        WARM_UP_REQUESTS
    } else {
        ledger.concurrency_limit
    };
    if ledger.finished_since_rise >= required {
        ledger.finished_since_rise = 0;
        ledger.concurrency_limit = (ledger.concurrency_limit * 2).min(entry.slots);
    }
}

/// Discards the load of an endpoint that accepted no connection, so that nothing is granted
/// before it reports its load again.
fn await_load_report(ledger: &mut ledger::EndpointLedger) {
    ledger.load = None;
    ledger.next_load_at = time::MonoTime::default();
}

/// Halves the concurrency limit after a refusal or a broken answer; a second failure within
/// [`REPEATED_FAILURE_WINDOW`] resets it to the cold limit. Polls the load at once, since the
/// engine may have restarted.
fn lower_concurrency_limit(
    ledger: &mut ledger::EndpointLedger,
    entry: &config::EndpointEntry,
    now: time::MonoTime,
) {
    let is_repeated = ledger
        .failed_at
        .is_some_and(|failed_at| now.since(failed_at) < REPEATED_FAILURE_WINDOW);
    ledger.failed_at = Some(now);
    ledger.next_load_at = now;
    ledger.finished_since_rise = 0;
    ledger.concurrency_limit = match is_repeated {
        true => ledger.concurrency_limit.min(entry.cold_slots),
        false => (ledger.concurrency_limit / 2).max(entry.cold_slots),
    };
}

fn endpoint_entry(state: &state::NodeState, id: &ids::EndpointId) -> Option<config::EndpointEntry> {
    let config = state.config.config.as_ref()?;
    config.endpoints.get(id).cloned()
}
