//! Engine sets: a prompt larger than one engine's memory is split over several engines, of which
//! all or none are reserved.
//!
//! Grants are requested for one engine after the other in the order of their names, and all are
//! returned as soon as one is denied, so that two sets never wait for each other. Nothing is sent
//! before all are granted. Each engine then reads its part of the prompt and exports it; the
//! leader generates over all parts. The failure of one member ends the whole set.

use model::config;
use model::ids;
use model::outcome;
use model::peer;
use model::request as model_request;
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

/// Maximum number of engines of one set.
const MAX_SET_MEMBERS: usize = 16;

/// Returns the memory of an engine that one long prompt may take, in tokens.
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

/// Whether the service could hold a request if all its engines were available.
pub(crate) fn service_can_hold(
    config: &config::FleetConfig,
    request: &model_request::RequestMetadata,
) -> bool {
    let entries = config.endpoints.values();
    let of_service = entries.filter(|entry| entry.service == request.service);
    engines_can_hold(config, &of_service.collect::<Vec<_>>(), request)
}

/// Whether the engines of the service that accept work now could hold a request.
pub(crate) fn available_engines_can_hold(
    state: &state::NodeState,
    request: &model_request::RequestMetadata,
) -> bool {
    let Some(config) = &state.config.config else {
        return false;
    };
    let of_service = config
        .endpoints
        .iter()
        .filter(|(_, entry)| entry.service == request.service);
    let available = of_service.filter(|(id, entry)| state.accepts_work(id, entry));
    engines_can_hold(
        config,
        &available.map(|(_, entry)| entry).collect::<Vec<_>>(),
        request,
    )
}

/// Whether one of the given engines, or a set of them, has the memory for a request.
fn engines_can_hold(
    config: &config::FleetConfig,
    entries: &[&config::EndpointEntry],
    request: &model_request::RequestMetadata,
) -> bool {
    let largest = entries.iter().map(|entry| entry.memory_tokens).max();
    let fits_one_engine = largest.is_none_or(|largest| request.memory_tokens() <= largest);
    fits_one_engine
        || (request.class() == model_request::SizeClass::Long
            && set_can_hold(config, entries, request))
}

fn set_can_hold(
    config: &config::FleetConfig,
    entries: &[&config::EndpointEntry],
    request: &model_request::RequestMetadata,
) -> bool {
    let mut capacities = entries
        .iter()
        .map(|entry| long_prompt_capacity(config, entry))
        .collect::<Vec<_>>();
    capacities.sort_unstable_by(|left, right| right.cmp(left));
    let max_capacity = capacities.iter().take(MAX_SET_MEMBERS).sum::<u64>();
    request.memory_tokens() <= max_capacity
}

/// Whether a request needs an engine set: it is larger than what one engine allows long prompts,
/// and a set can hold it.
pub(crate) fn needs_set(state: &state::NodeState, id: ids::RequestId) -> bool {
    let Some((config, entry)) = state.config.config.as_ref().zip(state.requests.get(&id)) else {
        return false;
    };
    let request = &entry.metadata;
    if request.class() != model_request::SizeClass::Long {
        return false;
    }
    let entries = config.endpoints.values();
    let of_service = entries
        .filter(|entry| entry.service == request.service)
        .collect::<Vec<_>>();
    let largest = of_service
        .iter()
        .map(|entry| long_prompt_capacity(config, entry))
        .max();
    let too_large = largest.is_some_and(|largest| request.memory_tokens() > largest);
    too_large && set_can_hold(config, &of_service, request)
}

/// Chooses a set and requests the grant of its first engine; requeues the request if no set can
/// be formed.
pub(crate) fn reserve_set(state: &mut state::NodeState, id: ids::RequestId) {
    let Some(set) = choose_set(state, id) else {
        placement::requeue(state, id);
        return;
    };
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.last_attempt += u32::try_from(set.len()).unwrap_or(u32::MAX);
    entry.engine_set = set;
    entry.phase = request::RequestPhase::Reserving;
    request_next_grant(state, id);
}

/// An engine that may become a member of a set.
struct SetCandidate {
    endpoint: ids::EndpointId,
    coordinator: ids::HostId,
    capacity: u64,
}

fn choose_set(state: &mut state::NodeState, id: ids::RequestId) -> Option<Vec<request::SetMember>> {
    let config = state.config.config.clone()?;
    if !systems::config::is_trusted(state) {
        return None;
    }
    let entry = state.requests.get(&id)?;
    let service = entry.metadata.service.clone();
    let first_number = entry.last_attempt + 1;
    let model_request::RequestKind::Prompt {
        prompt_tokens,
        max_tokens,
        ..
    } = entry.metadata.kind
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
    chosen.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    let sizes = split_prompt(prompt_tokens, max_tokens, &chosen);
    Some(build_members(id, first_number, max_tokens, chosen, &sizes))
}

fn list_candidates(
    state: &state::NodeState,
    config: &config::FleetConfig,
    service: &ids::ServiceId,
) -> Vec<SetCandidate> {
    let mut candidates = Vec::new();
    for (endpoint_id, entry) in &config.endpoints {
        let backing_off = state
            .endpoints
            .get(endpoint_id)
            .is_some_and(|view| view.backoff_until > state.now);
        if entry.service != *service || backing_off || !state.accepts_work(endpoint_id, entry) {
            continue;
        }
        let Some(coordinator) = state.coordinator_of(endpoint_id, entry) else {
            continue;
        };
        let capacity = long_prompt_capacity(config, entry);
        candidates.push(SetCandidate {
            endpoint: endpoint_id.clone(),
            coordinator,
            capacity,
        });
    }
    candidates
}

/// Splits a prompt evenly, as far as the engines' memories allow. The first engine leads and also
/// holds the answer.
fn split_prompt(prompt_tokens: u64, max_tokens: u64, chosen: &[SetCandidate]) -> Vec<u64> {
    let free_tokens = |index: usize| {
        let answer = if index == 0 { max_tokens } else { 0 };
        chosen[index].capacity.saturating_sub(answer)
    };
    let even_share = prompt_tokens.div_ceil(chosen.len().max(1) as u64);
    let mut remaining = prompt_tokens;
    let mut sizes = Vec::new();
    for index in 0..chosen.len() {
        let size = even_share.min(free_tokens(index)).min(remaining);
        remaining -= size;
        sizes.push(size);
    }
    for (index, size) in sizes.iter_mut().enumerate() {
        let extra = (free_tokens(index) - *size).min(remaining);
        *size += extra;
        remaining -= extra;
    }
    sizes
}

fn build_members(
    id: ids::RequestId,
    first_number: u32,
    max_tokens: u64,
    chosen: Vec<SetCandidate>,
    sizes: &[u64],
) -> Vec<request::SetMember> {
    let mut from = 0;
    let mut set = Vec::new();
    for ((number, candidate), size) in (first_number..).zip(chosen).zip(sizes) {
        let leads = set.is_empty();
        let part = model_request::PromptPart {
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
            coordinator: candidate.coordinator,
            part,
            tokens: size + if leads { max_tokens } else { 0 },
            state: request::SetMemberState::Planned,
        });
    }
    set
}

/// Requests the grant of the next engine of a set; starts the set once all are granted.
fn request_next_grant(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    let class = entry.metadata.class();
    let next_member = entry
        .engine_set
        .iter_mut()
        .find(|member| member.state == request::SetMemberState::Planned);
    let Some(member) = next_member else {
        start_parts(state, id);
        return;
    };
    member.state = request::SetMemberState::GrantRequested { requested_at: now };
    let coordinator = member.coordinator.clone();
    let message = peer::PeerMessage::GrantRequest {
        endpoint: member.endpoint.clone(),
        attempt: member.attempt,
        class,
        tokens: member.tokens,
    };
    state.send(&coordinator, message);
}

/// Handles a coordinator's reply to a grant request. Returns whether it was for a set.
pub(crate) fn on_grant_reply(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    verdict: peer::GrantVerdict,
) -> bool {
    let id = attempt.request;
    let Some(member) = find_member(state, attempt) else {
        return false;
    };
    let request::SetMemberState::GrantRequested { requested_at } = member.state else {
        return false;
    };
    if verdict == peer::GrantVerdict::Granted {
        member.state = request::SetMemberState::Granted { requested_at };
        request_next_grant(state, id);
    } else {
        member.state = request::SetMemberState::Planned;
        release_set(state, id);
        placement::requeue(state, id);
    }
    true
}

fn find_member(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
) -> Option<&mut request::SetMember> {
    let entry = state.requests.get_mut(&attempt.request)?;
    entry
        .engine_set
        .iter_mut()
        .find(|member| member.attempt == attempt)
}

/// Sends every engine its part, if no grant has expired meanwhile.
fn start_parts(state: &mut state::NodeState, id: ids::RequestId) {
    let now = state.now;
    let Some(specs) = part_attempts(state, id) else {
        release_set(state, id);
        placement::requeue(state, id);
        return;
    };
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.sent = true;
    entry.started_attempts += 1;
    entry.phase = request::RequestPhase::Preparing;
    for member in &mut entry.engine_set {
        member.state = request::SetMemberState::Sent { progressed_at: now };
    }
    state.stats.attempts += specs.len() as u64;
    for spec in specs {
        state.emit(action::NodeAction::StartAttempt(spec));
    }
}

/// Returns the attempts for all parts; `None` if a grant has expired or an engine accepts no
/// work.
fn part_attempts(state: &state::NodeState, id: ids::RequestId) -> Option<Vec<action::AttemptSpec>> {
    let config = state.config.config.as_ref()?;
    let entry = state.requests.get(&id)?;
    let mut specs = Vec::new();
    for member in &entry.engine_set {
        let request::SetMemberState::Granted { requested_at } = member.state else {
            return None;
        };
        let send_deadline = requested_at + grants::GRANT_TTL;
        let target = config.endpoints.get(&member.endpoint)?;
        if state.now >= send_deadline || !state.accepts_work(&member.endpoint, target) {
            return None;
        }
        specs.push(action::AttemptSpec {
            attempt: member.attempt,
            endpoint: member.endpoint.clone(),
            address: target.address,
            stage: action::AttemptStage::Part(member.part),
            resume_offset: entry.delivered_chunks,
            send_deadline,
            priority: endpoint::engine_priority(entry.metadata.class()),
        });
    }
    Some(specs)
}

/// Records that bytes of the protocol arrived from an engine of a set.
pub(crate) fn on_progress(state: &mut state::NodeState, attempt: ids::AttemptId) {
    let now = state.now;
    let Some(member) = find_member(state, attempt) else {
        return;
    };
    match &mut member.state {
        request::SetMemberState::Sent { progressed_at }
        | request::SetMemberState::Ready { progressed_at, .. } => {
            *progressed_at = now;
        }
        _ => {}
    }
}

/// Records that an engine holds its part; once all do, the leader generates.
pub(crate) fn on_exported(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    export: model_request::KvExport,
) {
    let now = state.now;
    let Some(member) = find_member(state, attempt) else {
        return;
    };
    if !matches!(member.state, request::SetMemberState::Sent { .. }) || export.part != member.part {
        return;
    }
    member.state = request::SetMemberState::Ready {
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
    let Some((leader, others)) = entry.engine_set.split_first() else {
        return;
    };
    let exports = others.iter().map(|member| match &member.state {
        request::SetMemberState::Ready { export, .. } => Some(export.clone()),
        _ => None,
    });
    let Some(exports) = exports.collect::<Option<Vec<_>>>() else {
        return;
    };
    let target = config
        .as_ref()
        .and_then(|config| config.endpoints.get(&leader.endpoint));
    let ready = matches!(leader.state, request::SetMemberState::Ready { .. });
    let Some(target) = target.filter(|_| ready && entry.phase == request::RequestPhase::Preparing)
    else {
        return;
    };
    let spec = action::AttemptSpec {
        attempt: leader.attempt,
        endpoint: leader.endpoint.clone(),
        address: target.address,
        stage: action::AttemptStage::Generate { exports },
        resume_offset: entry.delivered_chunks,
        send_deadline: entry.metadata.deadline,
        priority: endpoint::engine_priority(entry.metadata.class()),
    };
    let running = request::RunningAttempt {
        attempt: leader.attempt,
        endpoint: leader.endpoint.clone(),
        coordinator: leader.coordinator.clone(),
        started_at: now,
        progressed_at: now,
    };
    entry.phase = request::RequestPhase::Running(running);
    state.endpoints.view_mut(&spec.endpoint).in_flight += 1;
    state.emit(action::NodeAction::DropAttempt {
        attempt: spec.attempt,
    });
    state.emit(action::NodeAction::StartAttempt(spec));
}

/// Handles the outcome of an attempt of a set, except the one that generates. Returns whether it
/// was such an attempt.
pub(crate) fn on_ended(
    state: &mut state::NodeState,
    attempt: ids::AttemptId,
    outcome: &outcome::AttemptOutcome,
) -> bool {
    if find_member(state, attempt).is_none()
        || state.requests.by_running_attempt(&attempt).is_some()
    {
        return false;
    }
    match outcome {
        outcome::AttemptOutcome::NotSent => {
            on_member_lost(state, attempt, peer::GrantUsage::Unreachable)
        }
        _ => on_member_lost(state, attempt, peer::GrantUsage::Failed),
    }
    true
}

/// Releases a whole set after one of its members failed, and retries the request within the
/// budget.
fn on_member_lost(state: &mut state::NodeState, attempt: ids::AttemptId, usage: peer::GrantUsage) {
    let id = attempt.request;
    let Some(member) = find_member(state, attempt) else {
        return;
    };
    let endpoint = member.endpoint.clone();
    state.log(action::LogRecord::AttemptLost {
        attempt,
        endpoint: endpoint.clone(),
    });
    stop_generation(state, id);
    release_lost_set(state, id, attempt, usage);
    retry::mark_sent_by_earlier_attempt(state, id);
    if !retry::take_retry_token(state) {
        retry::fail(state, id, outcome::FailureReason::EndpointLost);
        return;
    }
    retry::retry_elsewhere(state, id, &endpoint, outcome::RefusalReason::Unreachable);
}

/// Stops counting the generating attempt as running, if there is one.
fn stop_generation(state: &mut state::NodeState, id: ids::RequestId) {
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

/// Releases all members of a set.
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
        let member_usage = if member.attempt == lost {
            usage
        } else {
            peer::GrantUsage::Unused
        };
        release_member(state, member, member_usage);
    }
}

/// Releases all members of a set except the one of attempt `leader`.
pub(crate) fn release_all_but(
    state: &mut state::NodeState,
    id: ids::RequestId,
    leader: ids::AttemptId,
) {
    for member in take_set(state, id) {
        if member.attempt != leader {
            release_member(state, member, peer::GrantUsage::Unused);
        }
    }
}

fn take_set(state: &mut state::NodeState, id: ids::RequestId) -> Vec<request::SetMember> {
    let entry = state.requests.get_mut(&id);
    entry
        .map(|entry| std::mem::take(&mut entry.engine_set))
        .unwrap_or_default()
}

fn release_member(
    state: &mut state::NodeState,
    member: request::SetMember,
    usage: peer::GrantUsage,
) {
    let attempt = member.attempt;
    match member.state {
        request::SetMemberState::Planned => return,
        request::SetMemberState::GrantRequested { .. }
        | request::SetMemberState::Granted { .. } => {}
        request::SetMemberState::Sent { .. } | request::SetMemberState::Ready { .. } => {
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

/// Releases sets whose coordinators do not reply or whose engines have gone silent.
pub(crate) fn tick(state: &mut state::NodeState) {
    let now = state.now;
    let mut unanswered = Vec::new();
    let mut silent = Vec::new();
    for (id, entry) in &state.requests.requests {
        for (index, member) in entry.engine_set.iter().enumerate() {
            let is_generating =
                index == 0 && matches!(entry.phase, request::RequestPhase::Running(_));
            match &member.state {
                request::SetMemberState::GrantRequested { requested_at }
                    if now.since(*requested_at) > placement::GRANT_REPLY_TIMEOUT =>
                {
                    unanswered.push((*id, member.endpoint.clone()));
                }
                request::SetMemberState::Sent { progressed_at }
                | request::SetMemberState::Ready { progressed_at, .. }
                    if !is_generating && is_silent(now, *progressed_at) =>
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
        placement::requeue(state, id);
    }
    for attempt in silent {
        on_ended(state, attempt, &outcome::AttemptOutcome::Broken);
    }
}

fn is_silent(now: time::MonoTime, progressed_at: time::MonoTime) -> bool {
    now.since(progressed_at) > retry::SILENCE_TIMEOUT
}
