//! Prompts beyond one engine's memory, with real processes: all or none, no deadlock, nothing
//! held after a kill.

use std::time::Duration;

use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;
use tokio::task;
use tokio::time;

/// Longest wait for engines to be free of what nobody needs any more.
const FREE_LIMIT: Duration = Duration::from_secs(30);

/// More than twice what one engine of the fleet holds for long prompts.
const HUGE_TOKENS: usize = 700_000;

fn prompt(seed: u64, tokens: usize, timeout: Duration) -> caller::PromptCall {
    caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed,
        prompt_tokens: tokens,
        max_tokens: 20,
        timeout,
    }
}

async fn used_tokens(fleet: &fleet::ProcessFleet) -> u64 {
    let mut used = 0;
    for index in 0..fleet.engines.len() {
        used += fleet
            .engine_witness(index)
            .await
            .map_or(0, |witness| witness.used_tokens);
    }
    used
}

async fn wait_free(fleet: &fleet::ProcessFleet) {
    let until = time::Instant::now() + FREE_LIMIT;
    while used_tokens(fleet).await > 0 {
        assert!(
            time::Instant::now() < until,
            "engines still hold {} tokens",
            used_tokens(fleet).await
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_beyond_one_engine_are_answered_by_a_set() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let record = caller::ask(
        fleet.callers(0),
        &prompt(1, HUGE_TOKENS, Duration::from_secs(30)),
    )
    .await;
    let log = fleet.log_text("daemon-0");
    assert_eq!(
        record.outcome,
        caller::CallOutcome::Answered,
        "{record:?}\n{log}"
    );
    wait_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn longer_than_all_engines_is_refused_at_once() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let record = caller::ask(
        fleet.callers(0),
        &prompt(1, 950_000, Duration::from_secs(30)),
    )
    .await;
    assert_eq!(record.outcome, caller::CallOutcome::NotRun, "{record:?}");
    assert_eq!(record.detail, "prompt_too_long");
}

#[tokio::test(flavor = "multi_thread")]
async fn many_sets_at_once_do_not_wait_for_each_other() {
    let fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let mut calls = task::JoinSet::new();
    for number in 0..6 {
        let address = fleet.callers(number % 3);
        let call = prompt(number as u64, HUGE_TOKENS, Duration::from_secs(60));
        calls.spawn(async move { caller::ask(address, &call).await });
    }
    let records = calls.join_all().await;
    let answered = records
        .iter()
        .all(|record| record.outcome == caller::CallOutcome::Answered);
    assert!(answered, "{records:?}");
    wait_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_set_holds_nothing_after_its_daemon_is_killed() {
    let mut fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(1))
        .await
        .unwrap();
    let address = fleet.callers(0);
    let call = prompt(1, HUGE_TOKENS, Duration::from_secs(30));
    let asking = tokio::spawn(async move { caller::ask(address, &call).await });
    let until = time::Instant::now() + FREE_LIMIT;
    while used_tokens(&fleet).await < HUGE_TOKENS as u64 {
        assert!(time::Instant::now() < until, "the set was never reserved");
        time::sleep(Duration::from_millis(10)).await;
    }
    fleet.daemons[0].process = None;
    let record = asking.await.unwrap();
    assert_eq!(record.outcome, caller::CallOutcome::Lost, "{record:?}");
    wait_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_set_that_loses_an_engine_starts_over_on_others() {
    let mut fleet = fleet::ProcessFleet::start(&fleet::FleetPlan::three_centres(2))
        .await
        .unwrap();
    let address = fleet.callers(0);
    let call = prompt(1, HUGE_TOKENS, Duration::from_secs(40));
    let asking = tokio::spawn(async move { caller::ask(address, &call).await });
    let until = time::Instant::now() + FREE_LIMIT;
    let victim = loop {
        let mut holding = None;
        for index in 0..fleet.engines.len() {
            let witness = fleet.engine_witness(index).await.unwrap_or_default();
            if witness.used_tokens > 0 {
                holding = Some(index);
            }
        }
        if let Some(index) = holding {
            break index;
        }
        assert!(time::Instant::now() < until, "no engine was sent its part");
        time::sleep(Duration::from_millis(10)).await;
    };
    fleet.engines[victim].process = None;
    let record = asking.await.unwrap();
    let log = fleet.log_text("daemon-0");
    assert_eq!(
        record.outcome,
        caller::CallOutcome::Answered,
        "{record:?}\n{log}"
    );
    wait_free(&fleet).await;
}
