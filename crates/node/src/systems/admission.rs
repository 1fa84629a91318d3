//! Which requests are taken in.

use std::time::Duration;

use model::outcome;
use model::request;

use crate::state;
use crate::systems;
use crate::tables::request as table;

/// When to come back after a refusal that a little time may cure.
pub(crate) const RETRY_AFTER_SHORT: Duration = Duration::from_secs(1);
/// When to come back after a refusal that takes longer to cure.
pub(crate) const RETRY_AFTER_LONG: Duration = Duration::from_secs(5);

/// Takes a request in, or refuses it at once.
pub(crate) fn on_arrived(state: &mut state::NodeState, head: request::RequestHead) {
    state.stats.requests += 1;
    if let Some(refusal) = check_refusal(state, &head) {
        systems::retry::finish_untracked(state, &head, refusal);
        return;
    }
    let request = head.id;
    let entry = table::RequestEntry {
        head,
        arrived_at: state.now,
        phase: table::RequestPhase::Waiting { until: state.now },
        delivered: 0,
        attempts: 0,
        started: 0,
        sent: false,
        sent_before: false,
        claimed: false,
        met_claim: false,
        set: Vec::new(),
        tried: Vec::new(),
    };
    let claimed = entry.head.claim().is_some();
    state.requests.insert(entry);
    if claimed {
        systems::claims::request_claim(state, request, 0);
    } else {
        systems::queues::place_or_queue(state, request);
    }
}

fn check_refusal(
    state: &state::NodeState,
    head: &request::RequestHead,
) -> Option<outcome::RequestOutcome> {
    let soon = Some(RETRY_AFTER_SHORT);
    if systems::drain::refuses_requests(state) {
        return Some(not_run(outcome::RefusalReason::ShuttingDown, soon));
    }
    let Some(config) = &state.config.config else {
        return Some(not_run(outcome::RefusalReason::NotReady, soon));
    };
    if !systems::config::is_trusted(state) {
        return Some(not_run(outcome::RefusalReason::NotReady, soon));
    }
    let Some(customer) = config.customers.get(&head.customer) else {
        return Some(not_run(outcome::RefusalReason::UnknownCustomer, None));
    };
    if !config.services.contains_key(&head.service) {
        return Some(not_run(outcome::RefusalReason::UnknownService, None));
    }
    if head.deadline <= state.now {
        return Some(not_run(outcome::RefusalReason::DeadlineTooClose, None));
    }
    if !systems::engine_sets::service_can_hold(config, head) {
        return Some(not_run(outcome::RefusalReason::PromptTooLong, None));
    }
    if !state.has_open_endpoint(&head.service)
        || !systems::engine_sets::open_engines_can_hold(state, head)
    {
        let later = Some(RETRY_AFTER_LONG);
        return Some(not_run(outcome::RefusalReason::NoEndpoint, later));
    }
    if state.requests.of_customer(&head.customer) >= customer.max_in_flight {
        return Some(not_run(outcome::RefusalReason::CustomerLimit, soon));
    }
    if state.requests.len() >= state.settings.max_in_flight {
        return Some(not_run(outcome::RefusalReason::Overloaded, soon));
    }
    if let Some(wait) = systems::queues::predict_overrun(state, head) {
        return Some(not_run(outcome::RefusalReason::Overloaded, Some(wait)));
    }
    None
}

/// An outcome that says that the request was not run.
pub(crate) fn not_run(
    reason: outcome::RefusalReason,
    retry_after: Option<Duration>,
) -> outcome::RequestOutcome {
    outcome::RequestOutcome::NotRun {
        reason,
        retry_after,
    }
}
