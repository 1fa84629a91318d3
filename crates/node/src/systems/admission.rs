//! Admission: which requests are accepted.

use std::time::Duration;

use model::outcome;
use model::request;

use crate::state;
use crate::systems;
use crate::tables::request as request_table;

/// Retry-after time of a refusal whose cause may pass soon.
pub(crate) const RETRY_AFTER_SHORT: Duration = Duration::from_secs(1);
/// Retry-after time of a refusal whose cause takes longer to pass.
pub(crate) const RETRY_AFTER_LONG: Duration = Duration::from_secs(5);

/// Accepts a request, or refuses it at once.
pub(crate) fn on_arrived(state: &mut state::NodeState, metadata: request::RequestMetadata) {
    state.stats.requests += 1;
    if let Some(refusal) = check_refusal(state, &metadata) {
        systems::retry::finish_untracked(state, &metadata, refusal);
        return;
    }
    let request = metadata.id;
    let entry = request_table::RequestEntry {
        metadata,
        arrived_at: state.now,
        phase: request_table::RequestPhase::Queued {
            retry_at: state.now,
        },
        delivered_chunks: 0,
        last_attempt: 0,
        started_attempts: 0,
        sent: false,
        sent_by_earlier_attempt: false,
        claimed: false,
        found_unsettled_claim: false,
        engine_set: Vec::new(),
        excluded_endpoints: Vec::new(),
    };
    let needs_claim = entry.metadata.claim().is_some();
    state.requests.insert(entry);
    if needs_claim {
        systems::claims::request_claim(state, request, 0);
    } else {
        systems::queues::place_or_queue(state, request);
    }
}

fn check_refusal(
    state: &state::NodeState,
    metadata: &request::RequestMetadata,
) -> Option<outcome::RequestOutcome> {
    let short_delay = Some(RETRY_AFTER_SHORT);
    if systems::drain::refuses_requests(state) {
        return Some(not_run(outcome::RefusalReason::ShuttingDown, short_delay));
    }
    let Some(config) = &state.config.config else {
        return Some(not_run(outcome::RefusalReason::NotReady, short_delay));
    };
    if !systems::config::is_trusted(state) {
        return Some(not_run(outcome::RefusalReason::NotReady, short_delay));
    }
    let Some(customer) = config.customers.get(&metadata.customer) else {
        return Some(not_run(outcome::RefusalReason::UnknownCustomer, None));
    };
    if !config.services.contains_key(&metadata.service) {
        return Some(not_run(outcome::RefusalReason::UnknownService, None));
    }
    if metadata.deadline <= state.now {
        return Some(not_run(outcome::RefusalReason::DeadlineTooClose, None));
    }
    if !systems::engine_sets::service_can_hold(config, metadata) {
        return Some(not_run(outcome::RefusalReason::PromptTooLong, None));
    }
    if !state.has_available_endpoint(&metadata.service)
        || !systems::engine_sets::available_engines_can_hold(state, metadata)
    {
        let long_delay = Some(RETRY_AFTER_LONG);
        return Some(not_run(outcome::RefusalReason::NoEndpoint, long_delay));
    }
    if state.requests.in_flight_of(&metadata.customer) >= customer.max_in_flight {
        return Some(not_run(outcome::RefusalReason::CustomerLimit, short_delay));
    }
    if state.requests.len() >= state.settings.max_in_flight {
        return Some(not_run(outcome::RefusalReason::Overloaded, short_delay));
    }
    if let Some(retry_after) = systems::queues::predict_retry_after(state, metadata) {
        return Some(not_run(
            outcome::RefusalReason::Overloaded,
            Some(retry_after),
        ));
    }
    None
}

/// Returns the outcome of a request that was not run.
pub(crate) fn not_run(
    reason: outcome::RefusalReason,
    retry_after: Option<Duration>,
) -> outcome::RequestOutcome {
    outcome::RequestOutcome::NotRun {
        reason,
        retry_after,
    }
}
