//! Places the calls of plain services, which take a slot of an endpoint each.

use model::ids;
use model::map;

use crate::job;
use crate::members;
use crate::prompt_search;
use crate::state;

/// Network and daemon time between a client and an endpoint, both ways, ms.
pub(crate) const ROUND_TRIP_MS: f64 = 12.0;
/// Assumed duration of a plain call until one has completed, ms.
const INITIAL_CALL_MS: f64 = 30.0;
/// Weight of the newest call in the mean duration of calls.
const CALL_SAMPLE_WEIGHT: f64 = 0.05;
/// Requests per slot up to which late calls are placed in the queue of a plain service.
const MAX_CALLS_PER_SLOT: f64 = 2.0;

/// The durations of calls by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallPlanner {
    means_ms: map::HashMap<ids::ServiceId, f64>,
}

impl CallPlanner {
    /// Records the duration of a call that succeeded, ms.
    pub fn record(&mut self, service: ids::ServiceId, took_ms: f64) {
        let mean_ms = self.means_ms.entry(service).or_insert(INITIAL_CALL_MS);
        *mean_ms += CALL_SAMPLE_WEIGHT * (took_ms - *mean_ms);
    }

    /// Returns the mean duration of the calls of a service, ms.
    pub fn mean_ms(&self, service: &ids::ServiceId) -> f64 {
        self.means_ms
            .get(service)
            .copied()
            .unwrap_or(INITIAL_CALL_MS)
    }

    /// Returns the endpoint with the lowest cost that has room for a call.
    pub fn best_plan(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        usable: &[&state::EndpointState],
    ) -> Option<prompt_search::ScoredPlan> {
        let mean_ms = self.mean_ms(&waiting.request.service);
        let requests_per_slot = |state: &state::EndpointState| {
            (state.jobs.len() as f64 + 1.0) / f64::from(state.live.slots)
        };
        let cost = |state: &state::EndpointState| {
            let is_cross_centre = state.live.centre != waiting.request.centre;
            let wait_ms = (requests_per_slot(state) - 1.0).max(0.0) * mean_ms;
            let objective_ms = waiting.request.full_objective_ms.max(1.0);
            let cost = state.health.failure_rate(now)
                + wait_ms / objective_ms
                + 0.02 * requests_per_slot(state);
            cost + if is_cross_centre {
                members::CROSS_CENTRE_COST
            } else {
                0.0
            }
        };
        let slack_ms = waiting.objective_at - now - mean_ms - ROUND_TRIP_MS;
        let max_per_slot = if slack_ms > 0.0 {
            1.0
        } else {
            MAX_CALLS_PER_SLOT
        };
        let fitting = usable
            .iter()
            .filter(|state| requests_per_slot(state) <= max_per_slot);
        let state = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let plan = job::PlacementPlan {
            primary: state.plan_member(0),
            helpers: Vec::new(),
            predicted_ms: (requests_per_slot(state) - 1.0).max(0.0) * mean_ms
                + mean_ms
                + ROUND_TRIP_MS,
            priority: waiting.request.priority.min(9),
        };
        let usages = vec![state::MemberUsage {
            endpoint: state.live.id.clone(),
            part: None,
            memory_tokens: 0,
        }];
        Some(prompt_search::ScoredPlan {
            plan,
            usages,
            gain: waiting.value,
        })
    }
}
