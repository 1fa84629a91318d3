//! An accepted configuration is in force on every daemon within seconds, and never reverts.

use std::time::Duration;

use model::config;
use model::ids;
use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;
use sardinepaddle_fakes::proxy;
use sardinepaddle_fakes::store;
use tokio::time;

/// Time within which an accepted configuration must be in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(4);

fn plan() -> fleet::FleetPlan {
    let mut plan = fleet::FleetPlan::three_centres(0);
    plan.plains = Vec::new();
    plan
}

async fn add_customer(fleet: &fleet::ProcessFleet, name: &str) -> config::ConfigVersion {
    let changed = fleet.change_config(|config| {
        config
            .customers
            .insert(ids::CustomerId::new(name), Default::default());
    });
    changed.await.unwrap()
}

async fn version(fleet: &fleet::ProcessFleet, index: usize) -> u64 {
    let status = fleet.status(index).await;
    status
        .and_then(|status| status["version"].as_u64())
        .unwrap_or(0)
}

/// Checks that all daemons have the version in time, and that none falls back meanwhile.
async fn assert_in_force(fleet: &fleet::ProcessFleet, wanted: config::ConfigVersion) {
    let mut last = vec![0; fleet.daemons.len()];
    let until = time::Instant::now() + FORCE_LIMIT;
    while last.iter().any(|version| *version < wanted.0) {
        assert!(time::Instant::now() < until, "{last:?}, not {wanted:?}");
        for (index, last) in last.iter_mut().enumerate() {
            let now = version(fleet, index).await;
            assert!(now >= *last, "daemon {index} went from {last} to {now}");
            *last = now;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_in_force_although_all_watches_are_silent() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let silent = store::StoreFaults {
        silent_watch: true,
        ..Default::default()
    };
    assert!(fleet.set_store_faults(&silent).await);
    time::sleep(Duration::from_secs(2)).await;
    for step in 0..3 {
        let version = add_customer(&fleet, &format!("school-{step}-new")).await;
        assert_in_force(&fleet, version).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_data_centres_cut_from_the_store() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    for unit in &fleet.daemons[..2] {
        unit.store_link.control().set(proxy::LinkFault::Cut);
    }
    let version = add_customer(&fleet, "school-new").await;
    assert_in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_in_force_although_the_answer_to_its_write_was_lost() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let lost = store::StoreFaults {
        lose_writes: 1,
        ..Default::default()
    };
    assert!(fleet.set_store_faults(&lost).await);
    let before = version(&fleet, 0).await;
    let written = fleet.change_config(|config| {
        let name = ids::CustomerId::new("school-new");
        config.customers.insert(name, Default::default());
    });
    assert!(written.await.is_err(), "the answer was not lost");
    assert_in_force(&fleet, config::ConfigVersion(before + 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_who_race_one_wins_and_the_other_is_told() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    for step in 0..10 {
        let names = [format!("one-{step}"), format!("two-{step}")];
        let [one, two] = names.map(|name| {
            fleet.change_config(move |config| {
                let name = ids::CustomerId::new(&name);
                config.customers.insert(name, Default::default());
            })
        });
        let (one, two) = tokio::join!(one, two);
        let newest = one.iter().chain(two.iter()).max().copied().unwrap();
        assert_in_force(&fleet, newest).await;
    }
    let mut count = 0;
    fleet
        .change_config(|config| count = config.customers.len())
        .await
        .unwrap();
    let witness = fleet.store_witness().await;
    assert_eq!(count as u64, 1 + 20 - witness.conflicts, "{witness:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_started_during_an_outage_takes_the_configuration_from_peers() {
    let mut fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let version = add_customer(&fleet, "school-new").await;
    assert_in_force(&fleet, version).await;
    fleet.daemons[0].process.as_mut().unwrap().kill();
    let outage = store::StoreFaults {
        outage: true,
        ..Default::default()
    };
    assert!(fleet.set_store_faults(&outage).await);
    fleet.start_daemon(0).unwrap();
    fleet.wait_ready(0).await.unwrap();
    assert_in_force(&fleet, version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_store_and_peers_says_that_it_is_not_ready() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let unit = &fleet.daemons[0];
    unit.store_link.control().set(proxy::LinkFault::Cut);
    // A peer answers over the connection that it was asked on, so both directions must go.
    for peer in &fleet.daemons {
        peer.peer_link.control().set(proxy::LinkFault::Cut);
    }
    time::sleep(FORCE_LIMIT).await;
    let status = fleet.status(0).await.unwrap();
    assert_eq!(status["ready"], serde_json::json!(false), "{status}");
    let call = caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed: 1,
        prompt_tokens: 1_000,
        max_tokens: 10,
        timeout: Duration::from_secs(5),
    };
    let record = caller::ask(fleet.callers(0), &call).await;
    assert_eq!(record.outcome, caller::CallOutcome::NotRun, "{record:?}");
    assert!(record.retry_after.is_some(), "{record:?}");
    unit.store_link.control().set(proxy::LinkFault::None);
    fleet.wait_ready(0).await.unwrap();
}
