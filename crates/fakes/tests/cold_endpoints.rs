//! Cold engines under full load from every daemon, while keepers are killed, paused or doubled.

use std::time::Duration;

use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::engine;
use sardinepaddle_fakes::fleet;
use sardinepaddle_fakes::proxy;
use tokio::time;

/// Longest wait for something to show.
const SHOW_LIMIT: Duration = Duration::from_secs(30);
/// Callers that keep each daemon busy.
const CALLERS: usize = 6;

/// Four daemons of one data centre before one engine that starts cold.
fn plan(cold_work: u32) -> fleet::FleetPlan {
    let mut plan = fleet::FleetPlan::three_centres(0);
    plan.daemons = vec!["amman-abdali".to_owned(); 4];
    plan.engines = vec!["amman-abdali".to_owned()];
    plan.plains = Vec::new();
    plan.engine_model = engine::EngineModel {
        cold_work,
        time_scale: 2.0,
        ..engine::EngineModel::default()
    };
    plan
}

fn prompt(seed: u64) -> caller::PromptCall {
    caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed,
        prompt_tokens: 1_000,
        max_tokens: 150,
        timeout: Duration::from_secs(8),
    }
}

/// Keeps every daemon at full load until it is dropped.
struct FullLoad(Vec<tokio::task::JoinHandle<()>>);

impl FullLoad {
    fn start(fleet: &fleet::ProcessFleet) -> Self {
        let callers = (0..fleet.daemons.len() * CALLERS).map(|index| {
            let address = fleet.callers(index % fleet.daemons.len());
            tokio::spawn(async move {
                for seed in 0.. {
                    caller::ask(address, &prompt(index as u64 * 1_000_000 + seed)).await;
                    time::sleep(Duration::from_millis(20)).await;
                }
            })
        });
        Self(callers.collect())
    }
}

impl Drop for FullLoad {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

async fn keeper(fleet: &fleet::ProcessFleet) -> usize {
    let tries = async {
        loop {
            for index in 0..fleet.daemons.len() {
                let status = fleet.status(index).await;
                let kept = status.and_then(|status| status["kept"].as_array().map(Vec::len));
                if kept.is_some_and(|kept| kept > 0) {
                    return index;
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(SHOW_LIMIT, tries)
        .await
        .expect("no daemon keeps the engine")
}

async fn wait_admitted(fleet: &fleet::ProcessFleet, more_than: u64) -> engine::EngineWitness {
    let tries = async {
        loop {
            let witness = fleet.engine_witness(0).await.unwrap_or_default();
            if witness.admitted > more_than {
                return witness;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(SHOW_LIMIT, tries)
        .await
        .expect("the engine got no work in time")
}

fn assert_cold_bound(witness: &engine::EngineWitness) {
    assert_eq!(witness.overruns, 0, "{witness:?}");
    assert!(witness.most_while_cold <= 2, "{witness:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_engine_is_not_overrun_while_it_warms_up_under_full_load() {
    let fleet = fleet::ProcessFleet::start(&plan(8)).await.unwrap();
    let load = FullLoad::start(&fleet);
    let witness = wait_admitted(&fleet, 20).await;
    drop(load);
    assert!(!witness.cold, "{witness:?}");
    assert_cold_bound(&witness);
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_engine_is_not_overrun_when_its_keeper_is_killed() {
    let mut fleet = fleet::ProcessFleet::start(&plan(1_000)).await.unwrap();
    let load = FullLoad::start(&fleet);
    let before = wait_admitted(&fleet, 1).await;
    let index = keeper(&fleet).await;
    fleet.daemons[index].process.as_mut().unwrap().kill();
    let witness = wait_admitted(&fleet, before.admitted + 3).await;
    drop(load);
    assert_cold_bound(&witness);
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_engine_is_not_overrun_when_its_keeper_is_paused_and_resumes() {
    let fleet = fleet::ProcessFleet::start(&plan(1_000)).await.unwrap();
    let load = FullLoad::start(&fleet);
    for pause in [1_200, 4_000] {
        let before = wait_admitted(&fleet, 1).await;
        let index = keeper(&fleet).await;
        let process = fleet.daemons[index].process.as_ref().unwrap();
        process.freeze();
        time::sleep(Duration::from_millis(pause)).await;
        process.thaw();
        let witness = wait_admitted(&fleet, before.admitted + 3).await;
        assert_cold_bound(&witness);
    }
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_engine_is_not_overrun_by_daemons_that_cannot_reach_each_other() {
    let fleet = fleet::ProcessFleet::start(&plan(1_000)).await.unwrap();
    let load = FullLoad::start(&fleet);
    let before = wait_admitted(&fleet, 1).await;
    for unit in &fleet.daemons {
        unit.peer_link.control().set(proxy::LinkFault::Cut);
    }
    time::sleep(Duration::from_secs(8)).await;
    assert_cold_bound(&fleet.engine_witness(0).await.unwrap());
    for unit in &fleet.daemons {
        unit.peer_link.control().set(proxy::LinkFault::None);
    }
    let witness = wait_admitted(&fleet, before.admitted + 4).await;
    drop(load);
    assert_cold_bound(&witness);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_turns_cold_unannounced_falls_over_at_most_twice() {
    let fleet = fleet::ProcessFleet::start(&plan(8)).await.unwrap();
    let load = FullLoad::start(&fleet);
    for step in 1..=2 {
        let tries = async {
            while fleet
                .engine_witness(0)
                .await
                .is_none_or(|witness| witness.cold)
            {
                time::sleep(Duration::from_millis(50)).await;
            }
        };
        time::timeout(SHOW_LIMIT, tries).await.expect("never warm");
        let warm = fleet.engine_witness(0).await.unwrap();
        wait_admitted(&fleet, warm.admitted + 20).await;
        let address = fleet.engines[0].address;
        assert!(caller::send_json(address, http::Method::POST, "/fake/cold", &()).await);
        let after = wait_admitted(&fleet, warm.admitted + 40).await;
        assert!(after.overruns <= 2 * step, "after {step}: {after:?}");
    }
    drop(load);
}
