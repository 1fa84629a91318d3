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
use crate::systems::class_limits;
use crate::systems::grants;
use crate::systems::placement;
use crate::systems::retry;
use crate::tables::endpoint;
use crate::tables::request;

/// Most engines of one set.
const MAX_SET_MEMBERS: usize = 16;

/// Memory of an engine that one long prompt may come to hold, in tokens.
fn long_prompt_capacity(config: &config::FleetConfig, entry: &config::EndpointEntry) -> u64 {
    match config.policy.placement {
        config::PlacementPolicy::SizeAware => {
            entry.memory_tokens * class_limits::MAX_LONG_MEMORY_PERCENT / 100
        }
        config::PlacementPolicy::RoundRobin | config::PlacementPolicy::LeastLoaded => {
            entry.memory_tokens
        }
    }
}

/// Whether the service, with all its engines, could ever hold a request.
pub(crate) fn service_can_hold(config: &config::FleetConfig, request: &head::RequestHead) -> bool {
    let entries = config.endpoints.values();
    let own = entries.filter(|entry| entry.service == request.service);
    engines_can_hold(config, &own.collect::<Vec<_>>(), request)
}

/// Whether the engines of the service that take new work now could hold a request.
pub(crate) fn open_engines_can_hold(state: &state::NodeState, request: &head::RequestHead) -> bool {
    let Some(config) = &state.config.config else {
        return false;
    };
    let own = config
        .endpoints
        .iter()
        .filter(|(_, entry)| entry.service == request.service);
    let open = own.filter(|(id, entry)| state.takes_work(id, entry));
    engines_can_hold(
        config,
        &open.map(|(_, entry)| entry).collect::<Vec<_>>(),
        request,
    )
}

/// Whether one of some engines, or a set of them, has the memory for a request.
fn engines_can_hold(
    config: &config::FleetConfig,
    entries: &[&config::EndpointEntry],
    request: &head::RequestHead,
) -> bool {
    let largest = entries.iter().map(|entry| entry.memory_tokens).max();
    let alone = largest.is_none_or(|largest| request.memory_tokens() <= largest);
    alone || (request.class() == head::SizeClass::Long && set_can_hold(config, entries, request))
}

fn set_can_hold(
    config: &config::FleetConfig,
    entries: &[&config::EndpointEntry],
    request: &head::RequestHead,
) -> bool {
    let mut capacities = entries
        .iter()
        .map(|entry| long_prompt_capacity(config, entry))
        .collect::<Vec<_>>();
    capacities.sort_unstable_by(|one, two| two.cmp(one));
    let most = capacities.iter().take(MAX_SET_MEMBERS).sum::<u64>();
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
    let largest = own
        .iter()
        .map(|entry| long_prompt_capacity(config, entry))
        .max();
    let over = largest.is_some_and(|largest| request.memory_tokens() > largest);
    over && set_can_hold(config, &own, request)
}

/// Chooses a set and asks for its first engine; without one, lets the request wait.
pub(crate) fn reserve_set(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(set) = choose_set(state, id) else {
        placement::wait_for_room(state, id);
        return;
    };
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.attempts += u32::try_from(set.len()).unwrap_or(u32::MAX);
    entry.set = set;
    entry.phase = request::RequestPhase::Reserving;
    request_next_grant(state, id);
}

/// An engine that may become a member.
struct SetCandidate {
    endpoint: ids::EndpointId,
    keeper: ids::HostId,
    capacity: u64,
}

fn choose_set(state: &mut state::NodeState, id: ids::RequestId) -> Option<Vec<request::SetMember>> {
    let config = state.config.config.clone()?;
    if !systems::config::is_trusted(state) {
        return None;
    }
    let entry = state.requests.get(&id)?;
    let service = entry.head.service.clone();
    let first = entry.attempts + 1;
    let head::RequestKind::Prompt {
        prompt_tokens,
        max_tokens,
        ..
    } = entry.head.kind
    else {
        return None;
    };
    let mut candidates = list_candidates(state, &config, &service);
    candidates.shuffle(&mut state.rng);
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.capacity));
    let mut chosen = Vec::new();
    let mut total = 0;
    for candidate in candidates.into_iter().take(MAX_SET_MEMBERS) {
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
    let sizes = split_prompt(prompt_tokens, max_tokens, &chosen);
    Some(build_members(id, first, max_tokens, chosen, &sizes))
}

fn list_candidates(
    state: &state::NodeState,
    config: &config::FleetConfig,
    service: &ids::ServiceId,
) -> Vec<SetCandidate> {
    let mut candidates = Vec::new();
    for (name, entry) in &config.endpoints {
        let resting = state
            .endpoints
            .get(name)
            .is_some_and(|view| view.rest_until > state.now);
        if entry.service != *service || resting || !state.takes_work(name, entry) {
            continue;
        }
        let Some(keeper) = state.keeper_of(name, entry) else {
            continue;
        };
        let capacity = long_prompt_capacity(config, entry);
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
fn split_prompt(prompt_tokens: u64, max_tokens: u64, chosen: &[SetCandidate]) -> Vec<u64> {
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

fn build_members(
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
            keeper: candidate.keeper,
            part,
            tokens: size + if leads { max_tokens } else { 0 },
            state: request::SetState::Wanted,
        });
    }
    set
}

/// Asks for the next engine of a set; when all are granted, starts.
fn request_next_grant(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let class = entry.head.class();
    let wanted = entry
        .set
        .iter_mut()
        .find(|member| member.state == request::SetState::Wanted);
    let Some(member) = wanted else {
        start_parts(state, id);
        return;
    };
    member.state = request::SetState::Asked { at: now };
    let keeper = member.keeper.clone();
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
    let Some(member) = find_member(state, attempt) else {
        return false;
    };
    let request::SetState::Asked { at } = member.state else {
        return false;
    };
    if verdict == peer::GrantVerdict::Granted {
        member.state = request::SetState::Granted { asked_at: at };
        request_next_grant(state, id);
    } else {
        member.state = request::SetState::Wanted;
        release_set(state, id);
        placement::wait_for_room(state, id);
    }
    true
}

fn find_member(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
) -> Option<&mut request::SetMember> {
    let entry = state.requests.get_mut(&attempt.request)?;
    entry
        .set
        .iter_mut()
        .find(|member| member.attempt == attempt)
}

/// Sends every engine its part, if no grant has lapsed meanwhile.
fn start_parts(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(orders) = part_orders(state, id) else {
        release_set(state, id);
        placement::wait_for_room(state, id);
        return;
    };
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.sent = true;
    entry.started += 1;
    entry.phase = request::RequestPhase::Preparing;
    for member in &mut entry.set {
        member.state = request::SetState::Sent { progressed_at: now };
    }
    state.stats.attempts += orders.len() as u64;
    for order in orders {
        state.act(action::NodeAction::StartAttempt(order));
    }
}

/// Orders for all parts; `None` if a grant has lapsed or an engine takes no new work.
fn part_orders(state: &state::NodeState, id: ids::RequestId) -> Option<Vec<action::AttemptOrder>> {
    let config = state.config.config.as_ref()?;
    let entry = state.requests.get(&id)?;
    let mut orders = Vec::new();
    for member in &entry.set {
        let request::SetState::Granted { asked_at } = member.state else {
            return None;
        };
        let not_after = asked_at + grants::GRANT_TTL;
        let target = config.endpoints.get(&member.endpoint)?;
        if state.now >= not_after || !state.takes_work(&member.endpoint, target) {
            return None;
        }
        orders.push(action::AttemptOrder {
            attempt: member.attempt,
            endpoint: member.endpoint.clone(),
            address: target.address,
            stage: action::AttemptStage::Part(member.part),
            resume_offset: entry.delivered,
            not_after,
            priority: endpoint::priority(entry.head.class()),
        });
    }
    Some(orders)
}

/// Bytes of the protocol came from an engine of a set.
pub(crate) fn on_progress(state: &mut state::NodeState, attempt: ids::AttemptId) {
    let now = state.now;
    let Some(member) = find_member(state, attempt) else {
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
    let Some(member) = find_member(state, attempt) else {
        return;
    };
    if !matches!(member.state, request::SetState::Sent { .. }) || export.part != member.part {
        return;
    }
    member.state = request::SetState::Ready {
        export,
        progressed_at: now,
    };
    start_generation(state, attempt.request);
}

fn start_generation(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let config = state.config.config.clone();
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let Some((lead, others)) = entry.set.split_first() else {
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
    let order = action::AttemptOrder {
        attempt: lead.attempt,
        endpoint: lead.endpoint.clone(),
        address: target.address,
        stage: action::AttemptStage::Join { exports },
        resume_offset: entry.delivered,
        not_after: entry.head.deadline,
        priority: endpoint::priority(entry.head.class()),
    };
    let running = request::RunningAttempt {
        attempt: lead.attempt,
        endpoint: lead.endpoint.clone(),
        keeper: lead.keeper.clone(),
        started_at: now,
        progressed_at: now,
    };
    entry.phase = request::RequestPhase::Running(running);
    state.endpoints.view(&order.endpoint).in_flight += 1;
    state.act(action::NodeAction::DropAttempt {
        attempt: order.attempt,
    });
    state.act(action::NodeAction::StartAttempt(order));
}

/// Takes the end of an attempt of a set, but for that of the one that generates. Returns
/// whether it was one.
pub(crate) fn on_ended(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    end: &outcome::AttemptEnd,
) -> bool {
    if find_member(state, attempt).is_none() || state.requests.running(&attempt).is_some() {
        return false;
    }
    match end {
        outcome::AttemptEnd::NotSent => {
            on_member_lost(state, attempt, peer::GrantUsage::Unreachable)
        }
        _ => on_member_lost(state, attempt, peer::GrantUsage::Failed),
    }
    true
}

/// Gives a whole set up after one of its members broke off, and tries another.
fn on_member_lost(state: &mut state::NodeState, attempt: ids::AttemptId, usage: peer::GrantUsage) {
    let id = attempt.request;
    let Some(member) = find_member(state, attempt) else {
        return;
    };
    let endpoint = member.endpoint.clone();
    state.note(action::NodeNote::AttemptLost {
        attempt,
        endpoint: endpoint.clone(),
    });
    stop_generation(state, id);
    release_lost_set(state, id, attempt, usage);
    retry::mark_sent(state, id);
    if !retry::take_retry_token(state) {
        retry::fail(state, id, outcome::FailureReason::EndpointLost);
        return;
    }
    retry::retry_elsewhere(state, id, &endpoint, outcome::RefusalReason::Unreachable);
}

/// Counts the generating attempt out, if there is one.
fn stop_generation(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let request::RequestPhase::Running(running) = &entry.phase else {
        return;
    };
    let endpoint = running.endpoint.clone();
    entry.phase = request::RequestPhase::Preparing;
    let view = state.endpoints.view(&endpoint);
    view.in_flight = view.in_flight.saturating_sub(1);
}

/// Gives everything of a set back.
pub(crate) fn release_set(state: &mut state::NodeState, id: ids::RequestId) {
    for member in take_set(state, id) {
        release_member(state, member, peer::GrantUsage::Unused);
    }
}

fn release_lost_set(
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
        release_member(state, member, own);
    }
}

/// Gives everything of a set back but for what `lead` holds.
pub(crate) fn release_all_but(
    state: &mut state::NodeState,
    id: ids::RequestId,
    lead: ids::AttemptId,
) {
    for member in take_set(state, id) {
        if member.attempt != lead {
            release_member(state, member, peer::GrantUsage::Unused);
        }
    }
}

fn take_set(state: &mut state::NodeState, id: ids::RequestId) -> Vec<request::SetMember> {
    let entry = state.requests.get_mut(&id);
    entry
        .map(|entry| std::mem::take(&mut entry.set))
        .unwrap_or_default()
}

fn release_member(
    state: &mut state::NodeState,
    member: request::SetMember,
    usage: peer::GrantUsage,
) {
    let attempt = member.attempt;
    match member.state {
        request::SetState::Wanted => return,
        request::SetState::Asked { .. } | request::SetState::Granted { .. } => {}
        request::SetState::Sent { .. } | request::SetState::Ready { .. } => {
            state.act(action::NodeAction::DropAttempt { attempt });
            systems::reclaim::cancel(state, attempt, &member.endpoint);
        }
    }
    let endpoint = member.endpoint;
    state.send(
        &member.keeper,
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
        for (index, member) in entry.set.iter().enumerate() {
            let generates = index == 0 && matches!(entry.phase, request::RequestPhase::Running(_));
            match &member.state {
                request::SetState::Asked { at }
                    if now.since(*at) > placement::GRANT_REPLY_TIMEOUT =>
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
        placement::back_off_endpoint(state, &endpoint);
        release_set(state, id);
        placement::wait_for_room(state, id);
    }
    for attempt in silent {
        on_ended(state, attempt, &outcome::AttemptEnd::Broken);
    }
}

fn is_silent(now: time::MonoTime, progressed_at: time::MonoTime) -> bool {
    now.since(progressed_at) > retry::SILENCE_TIMEOUT
}
