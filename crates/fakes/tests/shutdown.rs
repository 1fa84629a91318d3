//! A daemon that is asked to end cuts no request and hands its roles on.

use std::time::Duration;

use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;
use tokio::time;

/// Time that the daemon still takes new requests in, until the balancer has noticed.
const NOTICE_SPAN: Duration = Duration::from_millis(1_500);
/// Longest wait for the end of the process, from its last request on.
const END_LIMIT: Duration = Duration::from_secs(20);

fn plan() -> fleet::FleetPlan {
    let mut plan = fleet::FleetPlan::three_centres(1);
    plan.daemons = vec!["amman-abdali".to_owned(); 3];
    plan.engines = vec!["amman-abdali".to_owned(); 3];
    plan.plains = vec!["amman-abdali".to_owned()];
    plan.engine_model.time_scale = 1.0;
    plan
}

fn prompt(seed: u64, max_tokens: u64) -> caller::PromptCall {
    caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed,
        prompt_tokens: 1_000,
        max_tokens,
        timeout: Duration::from_secs(30),
    }
}

fn order(operation: &str) -> caller::OrderCall {
    caller::OrderCall {
        method: http::Method::POST,
        path: "/orders/confirm".to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        operation: operation.to_owned(),
        key: Some(operation.to_owned()),
        delay: Duration::from_millis(200),
        timeout: Duration::from_secs(10),
    }
}

async fn kept(fleet: &fleet::ProcessFleet, index: usize) -> usize {
    let status = fleet.status(index).await;
    status
        .and_then(|status| status["kept"].as_array().map(Vec::len))
        .unwrap_or(0)
}

async fn wait_kept(fleet: &fleet::ProcessFleet, indices: &[usize], wanted: usize) {
    let tries = async {
        loop {
            let mut sum = 0;
            for index in indices {
                sum += kept(fleet, *index).await;
            }
            if sum == wanted {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(END_LIMIT, tries).await.expect("roles lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_cuts_no_request_and_its_roles_pass_on() {
    let mut fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    wait_kept(&fleet, &[0, 1, 2], 4).await;
    let mut leaving = 0;
    for index in 1..3 {
        if kept(&fleet, index).await > kept(&fleet, leaving).await {
            leaving = index;
        }
    }
    let address = fleet.callers(leaving);
    let long = (0..3)
        .map(|seed| tokio::spawn(async move { caller::ask(address, &prompt(seed, 400)).await }));
    let long = long.collect::<Vec<_>>();
    time::sleep(Duration::from_secs(4)).await;
    let mut process = fleet.daemons[leaving].process.take().unwrap();
    process.terminate();
    let asked_at = time::Instant::now();
    let mut late = Vec::new();
    let mut seed = 100;
    while asked_at.elapsed() < NOTICE_SPAN {
        seed += 1;
        let call = prompt(seed, 10);
        late.push(tokio::spawn(
            async move { caller::ask(address, &call).await },
        ));
        let call = order(&format!("late-{seed}"));
        late.push(tokio::spawn(
            async move { caller::order(address, &call).await },
        ));
        time::sleep(Duration::from_millis(100)).await;
    }
    for task in long.into_iter().chain(late) {
        let record = task.await.unwrap();
        let log = fleet.log_text(&format!("daemon-{leaving}"));
        assert_eq!(
            record.outcome,
            caller::CallOutcome::Answered,
            "{record:?}\n{log}"
        );
    }
    let status = process.wait(END_LIMIT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let others = (0..3).filter(|index| *index != leaving).collect::<Vec<_>>();
    wait_kept(&fleet, &others, 4).await;
    for index in &others {
        let address = fleet.callers(*index);
        let asked = caller::ask(address, &prompt(1_000 + *index as u64, 20)).await;
        assert_eq!(asked.outcome, caller::CallOutcome::Answered, "{asked:?}");
        let call = order(&format!("after-{index}"));
        let ordered = caller::order(address, &call).await;
        assert_eq!(
            ordered.outcome,
            caller::CallOutcome::Answered,
            "{ordered:?}"
        );
    }
    let version = fleet.change_config(|config| {
        let name = model::ids::CustomerId::new("school-new");
        config.customers.insert(name, Default::default());
    });
    let version = version.await.unwrap();
    time::sleep(Duration::from_secs(4)).await;
    for index in &others {
        let status = fleet.status(*index).await.unwrap();
        assert_eq!(status["version"], serde_json::json!(version));
    }
}
