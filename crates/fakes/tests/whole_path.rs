//! The whole path with real processes: object API, host list, three daemons, engines, a plain
//! service.

use std::time::Duration;

use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;

fn prompt(seed: u64, tokens: usize) -> caller::PromptCall {
    caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed,
        prompt_tokens: tokens,
        max_tokens: 20,
        timeout: Duration::from_secs(20),
    }
}

fn order(operation: &str, key: Option<&str>) -> caller::OrderCall {
    caller::OrderCall {
        method: http::Method::POST,
        path: "/orders/confirm".to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        operation: operation.to_owned(),
        key: key.map(str::to_owned),
        delay: Duration::ZERO,
        timeout: Duration::from_secs(5),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_and_orders_are_answered_through_every_daemon() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    for index in 0..3 {
        for (step, tokens) in [1_000, 20_000, 150_000].into_iter().enumerate() {
            let record = caller::ask(
                fleet.callers(index),
                &prompt((index * 10 + step) as u64, tokens),
            )
            .await;
            let log = fleet.log_text(&format!("daemon-{index}"));
            assert_eq!(
                record.outcome,
                caller::CallOutcome::Answered,
                "{record:?}\n{log}"
            );
        }
    }
    for index in 0..3 {
        let key = format!("key-{index}");
        let record = caller::order(fleet.callers(index), &order(&key, Some(&key))).await;
        assert_eq!(record.outcome, caller::CallOutcome::Answered, "{record:?}");
        let again = caller::order(fleet.callers((index + 1) % 3), &order(&key, Some(&key))).await;
        assert_eq!(again.outcome, caller::CallOutcome::Answered, "{again:?}");
    }
    let runs = fleet.plain_runs();
    assert_eq!(runs.len(), 3);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_ends_with_success() {
    let mut fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let mut process = fleet.daemons[0].process.take().unwrap();
    process.terminate();
    let status = process.wait(Duration::from_secs(20)).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
