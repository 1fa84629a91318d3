//! Calls to plain services that take their time.

use std::time::Duration;

use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_idempotent_call_is_answered_by_its_first_endpoint() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let call = caller::OrderCall {
        method: http::Method::GET,
        path: "/orders/route".to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        operation: "route".to_owned(),
        key: None,
        delay: Duration::from_secs(4),
        timeout: Duration::from_secs(20),
    };
    let record = caller::order(fleet.callers(0), &call).await;
    let log = fleet.log_text("daemon-0");
    assert_eq!(
        record.outcome,
        caller::CallOutcome::Answered,
        "{record:?}\n{log}"
    );
    assert_eq!(fleet.plain_runs()["route"], 1);
}
