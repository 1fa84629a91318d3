//! Placement: the choice of an endpoint for each request.

use std::time::Duration;

use model::config;
use model::ids;
use model::peer;
use model::time;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::action;
use crate::state;
use crate::systems;
use crate::systems::grants;
use crate::tables::endpoint;
use crate::tables::request;

/// How long a coordinator has to reply to a grant request.
pub(crate) const GRANT_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Shortest backoff of a request that found no endpoint with enough free space.
const BACKOFF_MIN_MS: u64 = 20;
/// Longest backoff of a request that found no endpoint with enough free space.
const BACKOFF_MAX_MS: u64 = 60;
/// Backoff from an endpoint whose coordinator did not reply or that could not be reached.
const ENDPOINT_BACKOFF: Duration = Duration::from_millis(500);
/// Endpoints drawn at random for one choice; the one with the most free slots is taken.
const RANDOM_CHOICES: usize = 2;
/// Endpoints tried before a request backs off, if requests are placed by size class.
const MAX_ENDPOINTS_TRIED: usize = 4;
/// Age from which the free slots in a view of an endpoint are ignored.
const VIEW_TTL: Duration = Duration::from_secs(1);

/// Places the requests again whose coordinator did not reply in time.
pub(crate) fn tick(state: &mut state::NodeState) {
    let now = state.now;
    let mut overdue = Vec::new();
    for (id, entry) in &state.requests.requests {
        match &entry.phase {
            request::RequestPhase::AwaitingGrant(pending)
                if now.since(pending.requested_at) > GRANT_REPLY_TIMEOUT =>
            {
                overdue.push((*id, pending.clone()));
            }
            _ => {}
        }
    }
    for (id, pending) in overdue {
        return_grant(state, &pending, peer::GrantUsage::Unused);
        back_off_endpoint(state, &pending.endpoint);
        place(state, id);
    }
}

/// Requests a grant for the endpoint that the placement policy selects, or for an engine set;
/// requeues the request if there is none.
pub(crate) fn place(state: &mut state::NodeState, id: ids::RequestId) {
    if systems::engine_sets::needs_set(state, id) {
        systems::engine_sets::reserve_set(state, id);
        return;
    }
    let Some(choice) = choose_endpoint(state, id) else {
        requeue(state, id);
        return;
    };
    let now = state.now;
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.last_attempt += 1;
    let attempt = ids::AttemptId {
        request: id,
        number: entry.last_attempt,
    };
    let pending = request::PendingGrant {
        attempt,
        endpoint: choice.endpoint.clone(),
        coordinator: choice.coordinator.clone(),
        requested_at: now,
    };
    entry.phase = request::RequestPhase::AwaitingGrant(pending);
    let message = peer::PeerMessage::GrantRequest {
        endpoint: choice.endpoint,
        attempt,
        class: entry.metadata.class(),
        tokens: entry.metadata.memory_tokens(),
    };
    state.send(&choice.coordinator, message);
}

/// An endpoint with its coordinator.
struct EndpointChoice {
    endpoint: ids::EndpointId,
    coordinator: ids::HostId,
}

fn choose_endpoint(state: &mut state::NodeState, id: ids::RequestId) -> Option<EndpointChoice> {
    let config = state.config.config.clone()?;
    if !systems::config::is_trusted(state) {
        return None;
    }
    let entry = state.requests.get(&id)?;
    let service = entry.metadata.service.clone();
    let excluded = &entry.excluded_endpoints;
    let now = state.now;
    let available = config.endpoints.iter().filter(|(endpoint_id, endpoint)| {
        let backing_off = state
            .endpoints
            .get(endpoint_id)
            .is_some_and(|view| view.backoff_until > now);
        endpoint.service == service
            && !backing_off
            && !excluded.contains(endpoint_id)
            && state.accepts_work(endpoint_id, endpoint)
    });
    let available = available
        .map(|(endpoint_id, _)| endpoint_id.clone())
        .collect::<Vec<_>>();
    let endpoint = match config.policy.placement {
        config::PlacementPolicy::RoundRobin => next_round_robin(state, &service, &available)?,
        config::PlacementPolicy::LeastLoaded => most_free(state, &available)?,
        config::PlacementPolicy::SizeAware => {
            let sampled = available
                .choose_multiple(&mut state.rng, RANDOM_CHOICES)
                .cloned()
                .collect::<Vec<_>>();
            most_free(state, &sampled)?
        }
    };
    let coordinator = state.coordinator_of(&endpoint, config.endpoints.get(&endpoint)?)?;
    Some(EndpointChoice {
        endpoint,
        coordinator,
    })
}

fn next_round_robin(
    state: &mut state::NodeState,
    service: &ids::ServiceId,
    available: &[ids::EndpointId],
) -> Option<ids::EndpointId> {
    if available.is_empty() {
        return None;
    }
    let counter = state
        .endpoints
        .round_robin_counters
        .entry(service.clone())
        .or_default();
    *counter = counter.wrapping_add(1);
    Some(available[*counter % available.len()].clone())
}

fn most_free(state: &state::NodeState, available: &[ids::EndpointId]) -> Option<ids::EndpointId> {
    let now = state.now;
    available
        .iter()
        .max_by_key(|endpoint_id| estimated_free_slots(state.endpoints.get(endpoint_id), now))
        .cloned()
}

/// Estimates the free slots of an endpoint. Without a recent reply of its coordinator, it counts
/// as having one slot, less the attempts of this daemon in flight.
fn estimated_free_slots(view: Option<&endpoint::EndpointView>, now: time::MonoTime) -> i64 {
    match view {
        Some(view) if now.since(view.updated_at) < VIEW_TTL => i64::from(view.free_slots),
        Some(view) => 1 - i64::from(view.in_flight),
        None => 1,
    }
}

/// Puts a request back into its queue, to be placed again after a random backoff.
pub(crate) fn requeue(state: &mut state::NodeState, id: ids::RequestId) {
    let backoff = Duration::from_millis(state.rng.random_range(BACKOFF_MIN_MS..=BACKOFF_MAX_MS));
    let now = state.now;
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.excluded_endpoints.clear();
    entry.phase = request::RequestPhase::Queued {
        retry_at: now + backoff,
    };
    systems::queues::back_off(state, id);
}

/// Handles a coordinator's reply to a grant request.
pub(crate) fn on_grant_reply(
    state: &mut state::NodeState,
    from: &ids::HostId,
    id: &ids::EndpointId,
    attempt: ids::AttemptId,
    verdict: peer::GrantVerdict,
    free_slots: u32,
) {
    let now = state.now;
    let view = state.endpoints.view_mut(id);
    view.free_slots = free_slots;
    view.updated_at = now;
    if systems::engine_sets::on_grant_reply(state, attempt, verdict) {
        return;
    }
    let Some(pending) = pending_grant(state, attempt) else {
        let is_running = state.requests.by_running_attempt(&attempt).is_some();
        if verdict == peer::GrantVerdict::Granted && !is_running {
            let usage = peer::GrantUsage::Unused;
            state.send(
                from,
                peer::PeerMessage::GrantReturn {
                    endpoint: id.clone(),
                    attempt,
                    usage,
                },
            );
        }
        return;
    };
    match verdict {
        peer::GrantVerdict::Granted => start_attempt(state, pending),
        peer::GrantVerdict::Full => try_next(state, &pending),
        peer::GrantVerdict::NotCoordinator => {
            back_off_endpoint(state, id);
            try_next(state, &pending);
        }
    }
}

fn pending_grant(
    state: &state::NodeState,
    attempt: ids::AttemptId,
) -> Option<request::PendingGrant> {
    let entry = state.requests.get(&attempt.request)?;
    match &entry.phase {
        request::RequestPhase::AwaitingGrant(pending) if pending.attempt == attempt => {
            Some(pending.clone())
        }
        _ => None,
    }
}

fn try_next(state: &mut state::NodeState, pending: &request::PendingGrant) {
    let id = pending.attempt.request;
    let Some(entry) = state.requests.get_mut(&id) else {
        return;
    };
    entry.excluded_endpoints.push(pending.endpoint.clone());
    let excluded_count = entry.excluded_endpoints.len();
    if is_size_aware(state) && excluded_count >= MAX_ENDPOINTS_TRIED {
        requeue(state, id);
        return;
    }
    place(state, id);
}

/// Whether requests are placed by size class.
fn is_size_aware(state: &state::NodeState) -> bool {
    let config = state.config.config.as_ref();
    config.is_some_and(|config| config.policy.placement == config::PlacementPolicy::SizeAware)
}

fn start_attempt(state: &mut state::NodeState, pending: request::PendingGrant) {
    let now = state.now;
    let send_deadline = pending.requested_at + grants::GRANT_TTL;
    let config = state.config.config.clone();
    let target = config
        .as_ref()
        .and_then(|config| config.endpoints.get(&pending.endpoint));
    let Some(target) = target
        .filter(|target| now < send_deadline && state.accepts_work(&pending.endpoint, target))
    else {
        return_grant(state, &pending, peer::GrantUsage::Unused);
        try_next(state, &pending);
        return;
    };
    let Some(entry) = state.requests.get_mut(&pending.attempt.request) else {
        return;
    };
    entry.sent = true;
    entry.started_attempts += 1;
    entry.phase = request::RequestPhase::Running(request::RunningAttempt {
        attempt: pending.attempt,
        endpoint: pending.endpoint.clone(),
        coordinator: pending.coordinator,
        started_at: now,
        progressed_at: now,
    });
    let spec = action::AttemptSpec {
        attempt: pending.attempt,
        endpoint: pending.endpoint.clone(),
        address: target.address,
        stage: action::AttemptStage::Whole,
        resume_offset: entry.delivered_chunks,
        send_deadline,
        priority: endpoint::engine_priority(entry.metadata.class()),
    };
    state.endpoints.view_mut(&pending.endpoint).in_flight += 1;
    state.stats.attempts += 1;
    state.emit(action::NodeAction::StartAttempt(spec));
    systems::queues::on_started(state, pending.attempt.request);
}

/// Returns a grant to its coordinator.
pub(crate) fn return_grant(
    state: &mut state::NodeState,
    pending: &request::PendingGrant,
    usage: peer::GrantUsage,
) {
    let endpoint = pending.endpoint.clone();
    let attempt = pending.attempt;
    state.send(
        &pending.coordinator,
        peer::PeerMessage::GrantReturn {
            endpoint,
            attempt,
            usage,
        },
    );
}

/// Excludes an endpoint from placement for [`ENDPOINT_BACKOFF`].
pub(crate) fn back_off_endpoint(state: &mut state::NodeState, id: &ids::EndpointId) {
    let backoff_until = state.now + ENDPOINT_BACKOFF;
    state.endpoints.view_mut(id).backoff_until = backoff_until;
}
