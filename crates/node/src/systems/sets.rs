//! Prompts beyond one engine's memory: a set of engines, reserved all or none.
//!
//! Grants are asked for one engine after the other in the order of their names, and all are
//! given back as soon as one is denied, so that two sets never wait for each other. Nothing is
//! sent before all are granted. Each engine then reads its part of the prompt and exports it;
//! the leading one generates over all parts. A member that breaks off ends the whole set.

use model::config;
use model::ids;
use model::outcome;
use model::peer;
use model::request as head;
use model::time;
use rand::seq::SliceRandom;

use crate::action;
use crate::state;
use crate::systems;
use crate::systems::classes;
use crate::systems::grants;
use crate::systems::placement;
use crate::systems::retry;
use crate::tables::endpoint;
use crate::tables::request;

/// Most engines of one set.
const MOST_MEMBERS: usize = 16;

/// Memory of an engine that one long prompt may come to hold, in tokens.
fn capacity(config: &config::FleetConfig, entry: &config::EndpointEntry) -> u64 {
    match config.policy.placement {
        config::PlacementPolicy::SizeAware => {
            entry.memory_tokens * classes::LONG_MEMORY_PERCENT / 100
        }
        config::PlacementPolicy::RoundRobin | config::PlacementPolicy::LeastLoaded => {
            entry.memory_tokens
        }
    }
}

/// Whether the service, with all its engines, could ever hold a request.
pub(crate) fn can_ever_hold(config: &config::FleetConfig, request: &head::RequestHead) -> bool {
    let entries = config.endpoints.values();
    let own = entries.filter(|entry| entry.service == request.service);
    fits(config, &own.collect::<Vec<_>>(), request)
}

/// Whether the engines of the service that take new work now could hold a request.
pub(crate) fn can_hold_now(state: &state::NodeState, request: &head::RequestHead) -> bool {
    let Some(config) = &state.config.config else {
        return false;
    };
    let own = config
        .endpoints
        .iter()
        .filter(|(_, entry)| entry.service == request.service);
    let open = own.filter(|(id, entry)| state.accepts_work(id, entry));
    fits(
        config,
        &open.map(|(_, entry)| entry).collect::<Vec<_>>(),
        request,
    )
}

/// Whether one of some engines, or a set of them, has the memory for a request.
fn fits(
    config: &config::FleetConfig,
    entries: &[&config::EndpointEntry],
    request: &head::RequestHead,
) -> bool {
    let largest = entries.iter().map(|entry| entry.memory_tokens).max();
    let alone = largest.is_none_or(|largest| request.memory_tokens() <= largest);
    alone || (request.class() == head::SizeClass::Long && set_fits(config, entries, request))
}

fn set_fits(
    config: &config::FleetConfig,
    entries: &[&config::EndpointEntry],
    request: &head::RequestHead,
) -> bool {
    let mut capacities = entries
        .iter()
        .map(|entry| capacity(config, entry))
        .collect::<Vec<_>>();
    capacities.sort_unstable_by(|one, two| two.cmp(one));
    let most = capacities.iter().take(MOST_MEMBERS).sum::<u64>();
    request.memory_tokens() <= most
}

/// Whether a set is to hold a request, since it is more than one engine gives to long prompts.
pub(crate) fn needs_set(state: &state::NodeState, id: ids::RequestId) -> bool {
    let Some((config, entry)) = state.config.config.as_ref().zip(state.requests.get(&id)) else {
        return false;
    };
    let request = &entry.head;
    if request.class() != head::SizeClass::Long {
        return false;
    }
    let entries = config.endpoints.values();
    let own = entries
        .filter(|entry| entry.service == request.service)
        .collect::<Vec<_>>();
    let largest = own.iter().map(|entry| capacity(config, entry)).max();
    let over = largest.is_some_and(|largest| request.memory_tokens() > largest);
    over && set_fits(config, &own, request)
}

/// Chooses a set and asks for its first engine; without one, lets the request wait.
pub(crate) fn reserve(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(set) = choose(state, id) else {
        placement::wait(state, id);
        return;
    };
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.last_attempt += u32::try_from(set.len()).unwrap_or(u32::MAX);
    entry.engine_set = set;
    entry.phase = request::RequestPhase::Reserving;
    ask_next(state, id);
}

/// An engine that may become a member.
struct SetCandidate {
    endpoint: ids::EndpointId,
    keeper: ids::HostId,
    capacity: u64,
}

fn choose(state: &mut state::NodeState, id: ids::RequestId) -> Option<Vec<request::SetMember>> {
    let config = state.config.config.clone()?;
    if !systems::config::is_trusted(state) {
        return None;
    }
    let entry = state.requests.get(&id)?;
    let service = entry.head.service.clone();
    let first = entry.last_attempt + 1;
    let head::RequestKind::Prompt {
        prompt_tokens,
        max_tokens,
        ..
    } = entry.head.kind
    else {
        return None;
    };
    let mut candidates = candidates(state, &config, &service);
    candidates.shuffle(&mut state.rng);
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.capacity));
    let mut chosen = Vec::new();
    let mut total = 0;
    for candidate in candidates.into_iter().take(MOST_MEMBERS) {
        if total >= prompt_tokens + max_tokens {
            break;
        }
        total += candidate.capacity;
        chosen.push(candidate);
    }
    if total < prompt_tokens + max_tokens {
        return None;
    }
    chosen.sort_by(|one, two| one.endpoint.cmp(&two.endpoint));
    let sizes = split(prompt_tokens, max_tokens, &chosen);
    Some(members(id, first, max_tokens, chosen, &sizes))
}

fn candidates(
    state: &state::NodeState,
    config: &config::FleetConfig,
    service: &ids::ServiceId,
) -> Vec<SetCandidate> {
    let mut candidates = Vec::new();
    for (name, entry) in &config.endpoints {
        let resting = state
            .endpoints
            .get(name)
            .is_some_and(|view| view.backoff_until > state.now);
        if entry.service != *service || resting || !state.accepts_work(name, entry) {
            continue;
        }
        let Some(keeper) = state.coordinator_of(name, entry) else {
            continue;
        };
        let capacity = capacity(config, entry);
        candidates.push(SetCandidate {
            endpoint: name.clone(),
            keeper,
            capacity,
        });
    }
    candidates
}

/// Divides a prompt evenly, as far as the engines' memories allow. The first engine leads and
/// also holds the answer.
fn split(prompt_tokens: u64, max_tokens: u64, chosen: &[SetCandidate]) -> Vec<u64> {
    let room = |index: usize| {
        let answer = if index == 0 { max_tokens } else { 0 };
        chosen[index].capacity.saturating_sub(answer)
    };
    let even = prompt_tokens.div_ceil(chosen.len().max(1) as u64);
    let mut left = prompt_tokens;
    let mut sizes = Vec::new();
    for index in 0..chosen.len() {
        let size = even.min(room(index)).min(left);
        left -= size;
        sizes.push(size);
    }
    for (index, size) in sizes.iter_mut().enumerate() {
        let more = (room(index) - *size).min(left);
        *size += more;
        left -= more;
    }
    sizes
}

fn members(
    id: ids::RequestId,
    first: u32,
    max_tokens: u64,
    chosen: Vec<SetCandidate>,
    sizes: &[u64],
) -> Vec<request::SetMember> {
    let mut from = 0;
    let mut set = Vec::new();
    for ((number, candidate), size) in (first..).zip(chosen).zip(sizes) {
        let leads = set.is_empty();
        let part = head::PromptPart {
            from,
            to: from + size,
            leads,
        };
        from = part.to;
        set.push(request::SetMember {
            attempt: ids::AttemptId {
                request: id,
                number,
            },
            endpoint: candidate.endpoint,
            coordinator: candidate.keeper,
            part,
            tokens: size + if leads { max_tokens } else { 0 },
            state: request::SetState::Planned,
        });
    }
    set
}

/// Asks for the next engine of a set; when all are granted, starts.
fn ask_next(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let class = entry.head.class();
    let wanted = entry
        .engine_set
        .iter_mut()
        .find(|member| member.state == request::SetState::Planned);
    let Some(member) = wanted else {
        start(state, id);
        return;
    };
    member.state = request::SetState::Asked { asked_at: now };
    let keeper = member.coordinator.clone();
    let ask = peer::PeerMessage::GrantAsk {
        endpoint: member.endpoint.clone(),
        attempt: member.attempt,
        class,
        tokens: member.tokens,
    };
    state.send(&keeper, ask);
}

/// Takes a keeper's answer. Returns whether it was for a set.
pub(crate) fn on_grant(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    verdict: peer::GrantVerdict,
) -> bool {
    let id = attempt.request;
    let Some(member) = find(state, attempt) else {
        return false;
    };
    let request::SetState::Asked { asked_at } = member.state else {
        return false;
    };
    if verdict == peer::GrantVerdict::Granted {
        member.state = request::SetState::Granted { asked_at };
        ask_next(state, id);
    } else {
        member.state = request::SetState::Planned;
        release(state, id);
        placement::wait(state, id);
    }
    true
}

fn find(state: &mut state::NodeState, attempt: ids::AttemptId) -> Option<&mut request::SetMember> {
    let entry = state.requests.get_mut(&attempt.request)?;
    entry
        .engine_set
        .iter_mut()
        .find(|member| member.attempt == attempt)
}

/// Sends every engine its part, if no grant has lapsed meanwhile.
fn start(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(orders) = part_orders(state, id) else {
        release(state, id);
        placement::wait(state, id);
        return;
    };
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.sent = true;
    entry.started_attempts += 1;
    entry.phase = request::RequestPhase::Preparing;
    for member in &mut entry.engine_set {
        member.state = request::SetState::Sent { progressed_at: now };
    }
    state.stats.attempts += orders.len() as u64;
    for order in orders {
        state.emit(action::NodeAction::StartAttempt(order));
    }
}

/// Orders for all parts; `None` if a grant has lapsed or an engine takes no new work.
fn part_orders(state: &state::NodeState, id: ids::RequestId) -> Option<Vec<action::AttemptSpec>> {
    let config = state.config.config.as_ref()?;
    let entry = state.requests.get(&id)?;
    let mut orders = Vec::new();
    for member in &entry.engine_set {
        let request::SetState::Granted { asked_at } = member.state else {
            return None;
        };
        let send_deadline = asked_at + grants::GRANT_SPAN;
        let target = config.endpoints.get(&member.endpoint)?;
        if state.now >= send_deadline || !state.accepts_work(&member.endpoint, target) {
            return None;
        }
        orders.push(action::AttemptSpec {
            attempt: member.attempt,
            endpoint: member.endpoint.clone(),
            address: target.address,
            stage: action::AttemptStage::Part(member.part),
            resume_offset: entry.delivered_chunks,
            send_deadline,
            priority: endpoint::engine_priority(entry.head.class()),
        });
    }
    Some(orders)
}

/// Bytes of the protocol came from an engine of a set.
pub(crate) fn on_progress(state: &mut state::NodeState, attempt: ids::AttemptId) {
    let now = state.now;
    let Some(member) = find(state, attempt) else {
        return;
    };
    match &mut member.state {
        request::SetState::Sent { progressed_at }
        | request::SetState::Ready { progressed_at, .. } => {
            *progressed_at = now;
        }
        _ => {}
    }
}

/// An engine holds its part; when all do, the leading one generates.
pub(crate) fn on_exported(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    export: head::KvExport,
) {
    let now = state.now;
    let Some(member) = find(state, attempt) else {
        return;
    };
    if !matches!(member.state, request::SetState::Sent { .. }) || export.part != member.part {
        return;
    }
    member.state = request::SetState::Ready {
        export,
        progressed_at: now,
    };
    join(state, attempt.request);
}

fn join(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let config = state.config.config.clone();
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let Some((lead, others)) = entry.engine_set.split_first() else {
        return;
    };
    let exports = others.iter().map(|member| match &member.state {
        request::SetState::Ready { export, .. } => Some(export.clone()),
        _ => None,
    });
    let Some(exports) = exports.collect::<Option<Vec<_>>>() else {
        return;
    };
    let target = config
        .as_ref()
        .and_then(|config| config.endpoints.get(&lead.endpoint));
    let ready = matches!(lead.state, request::SetState::Ready { .. });
    let Some(target) = target.filter(|_| ready && entry.phase == request::RequestPhase::Preparing)
    else {
        return;
    };
    let order = action::AttemptSpec {
        attempt: lead.attempt,
        endpoint: lead.endpoint.clone(),
        address: target.address,
        stage: action::AttemptStage::Generate { exports },
        resume_offset: entry.delivered_chunks,
        send_deadline: entry.head.deadline,
        priority: endpoint::engine_priority(entry.head.class()),
    };
    let running = request::RunningAttempt {
        attempt: lead.attempt,
        endpoint: lead.endpoint.clone(),
        coordinator: lead.coordinator.clone(),
        started_at: now,
        progressed_at: now,
    };
    entry.phase = request::RequestPhase::Running(running);
    state.endpoints.view_mut(&order.endpoint).in_flight += 1;
    state.emit(action::NodeAction::DropAttempt {
        attempt: order.attempt,
    });
    state.emit(action::NodeAction::StartAttempt(order));
}

/// Takes the end of an attempt of a set, but for that of the one that generates. Returns
/// whether it was one.
pub(crate) fn on_ended(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    end: &outcome::AttemptEnd,
) -> bool {
    if find(state, attempt).is_none() || state.requests.by_running_attempt(&attempt).is_some() {
        return false;
    }
    match end {
        outcome::AttemptEnd::NotSent => lose(state, attempt, peer::GrantUsage::Unreachable),
        _ => lose(state, attempt, peer::GrantUsage::Failed),
    }
    true
}

/// Gives a whole set up after one of its members broke off, and tries another.
fn lose(state: &mut state::NodeState, attempt: ids::AttemptId, usage: peer::GrantUsage) {
    let id = attempt.request;
    let Some(member) = find(state, attempt) else {
        return;
    };
    let endpoint = member.endpoint.clone();
    state.log(action::LogRecord::AttemptLost {
        attempt,
        endpoint: endpoint.clone(),
    });
    stop_lead(state, id);
    release_with(state, id, attempt, usage);
    retry::mark_sent(state, id);
    if !retry::take_retry(state) {
        retry::fail(state, id, outcome::FailureReason::EndpointLost);
        return;
    }
    retry::go_on(state, id, &endpoint, outcome::RefusalReason::Unreachable);
}

/// Counts the generating attempt out, if there is one.
fn stop_lead(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let request::RequestPhase::Running(running) = &entry.phase else {
        return;
    };
    let endpoint = running.endpoint.clone();
    entry.phase = request::RequestPhase::Preparing;
    let view = state.endpoints.view_mut(&endpoint);
    view.in_flight = view.in_flight.saturating_sub(1);
}

/// Gives everything of a set back.
pub(crate) fn release(state: &mut state::NodeState, id: ids::RequestId) {
    for member in take_set(state, id) {
        give_back(state, member, peer::GrantUsage::Unused);
    }
}

fn release_with(
    state: &mut state::NodeState,
    id: ids::RequestId,
    lost: ids::AttemptId,
    usage: peer::GrantUsage,
) {
    for member in take_set(state, id) {
        let own = if member.attempt == lost {
            usage
        } else {
            peer::GrantUsage::Unused
        };
        give_back(state, member, own);
    }
}

/// Gives everything of a set back but for what `lead` holds.
pub(crate) fn release_others(
    state: &mut state::NodeState,
    id: ids::RequestId,
    lead: ids::AttemptId,
) {
    for member in take_set(state, id) {
        if member.attempt != lead {
            give_back(state, member, peer::GrantUsage::Unused);
        }
    }
}

fn take_set(state: &mut state::NodeState, id: ids::RequestId) -> Vec<request::SetMember> {
    let entry = state.requests.get_mut(&id);
    entry
        .map(|entry| std::mem::take(&mut entry.engine_set))
        .unwrap_or_default()
}

fn give_back(state: &mut state::NodeState, member: request::SetMember, usage: peer::GrantUsage) {
    let attempt = member.attempt;
    match member.state {
        request::SetState::Planned => return,
        request::SetState::Asked { .. } | request::SetState::Granted { .. } => {}
        request::SetState::Sent { .. } | request::SetState::Ready { .. } => {
            state.emit(action::NodeAction::DropAttempt { attempt });
            systems::reclaim::cancel(state, attempt, &member.endpoint);
        }
    }
    let endpoint = member.endpoint;
    state.send(
        &member.coordinator,
        peer::PeerMessage::GrantReturn {
            endpoint,
            attempt,
            usage,
        },
    );
}

/// Gives up sets whose keepers do not answer, or whose engines went silent.
pub(crate) fn tick(state: &mut state::NodeState) {
    let now = state.now;
    let mut unanswered = Vec::new();
    let mut silent = Vec::new();
    for (id, entry) in &state.requests.requests {
        for (index, member) in entry.engine_set.iter().enumerate() {
            let generates = index == 0 && matches!(entry.phase, request::RequestPhase::Running(_));
            match &member.state {
                request::SetState::Asked { asked_at }
                    if now.since(*asked_at) > placement::ASK_TIMEOUT =>
                {
                    unanswered.push((*id, member.endpoint.clone()));
                }
                request::SetState::Sent { progressed_at }
                | request::SetState::Ready { progressed_at, .. }
                    if !generates && is_silent(now, *progressed_at) =>
                {
                    silent.push(member.attempt);
                }
                _ => {}
            }
        }
    }
    for (id, endpoint) in unanswered {
        placement::rest(state, &endpoint);
        release(state, id);
        placement::wait(state, id);
    }
    for attempt in silent {
        on_ended(state, attempt, &outcome::AttemptEnd::Broken);
    }
}

fn is_silent(now: time::MonoTime, progressed_at: time::MonoTime) -> bool {
    now.since(progressed_at) > retry::SILENCE_LIMIT
}
