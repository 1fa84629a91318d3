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

#[tokio::test(flavor = "multi_thread")]
async fn a_key_used_for_another_call_is_refused_and_not_run() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let call = |path: &str, operation: &str| caller::OrderCall {
        method: http::Method::POST,
        path: path.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        operation: operation.to_owned(),
        key: Some("key-1".to_owned()),
        delay: Duration::ZERO,
        timeout: Duration::from_secs(20),
    };
    let first = caller::order(fleet.callers(0), &call("/orders/1", "first")).await;
    assert_eq!(first.outcome, caller::CallOutcome::Answered, "{first:?}");
    let other = caller::order(fleet.callers(1), &call("/orders/2", "second")).await;
    assert_eq!(other.outcome, caller::CallOutcome::NotRun, "{other:?}");
    assert_eq!(other.status, 422);
    assert_eq!(other.detail, "key_reused");
    assert!(!fleet.plain_runs().contains_key("second"));
}
