//! After a take-out no daemon sends new work within the stated time, whatever it is cut from.

use std::time::Duration;

use model::config;
use model::ids;
use objects::wire;
use sardinepaddle_fakes::caller;
use sardinepaddle_fakes::fleet;
use sardinepaddle_fakes::proxy;
use sardinepaddle_fakes::store;
use tokio::time;

/// Time after which a take-out must hold everywhere.
const OUT_LIMIT: Duration = Duration::from_secs(4);
/// Time for which the engines are looked at after that.
const LOOK_SPAN: Duration = Duration::from_secs(4);
/// Data centre taken out.
const CENTRE: &str = "amman-abdali";

fn plan() -> fleet::FleetPlan {
    let mut plan = fleet::FleetPlan::three_centres(1);
    plan.engine_model.starts_warm = true;
    plan.plains = Vec::new();
    plan
}

fn prompt(seed: u64, max_tokens: u64) -> caller::PromptCall {
    caller::PromptCall {
        model: fleet::MODEL.to_owned(),
        customer: fleet::CUSTOMER.to_owned(),
        seed,
        prompt_tokens: 1_000,
        max_tokens,
        timeout: Duration::from_secs(25),
    }
}

/// Keeps every daemon busy until it is dropped.
struct SteadyLoad(Vec<tokio::task::JoinHandle<()>>);

impl SteadyLoad {
    fn start(fleet: &fleet::ProcessFleet) -> Self {
        let callers = (0..fleet.daemons.len() * 2).map(|index| {
            let address = fleet.callers(index % fleet.daemons.len());
            tokio::spawn(async move {
                for seed in 0.. {
                    caller::ask(address, &prompt(index as u64 * 1_000_000 + seed, 10)).await;
                    time::sleep(Duration::from_millis(50)).await;
                }
            })
        });
        Self(callers.collect())
    }
}

impl Drop for SteadyLoad {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Requests taken by the engines named.
async fn admitted(fleet: &fleet::ProcessFleet, engines: &[usize]) -> u64 {
    let mut sum = 0;
    for index in engines {
        sum += fleet.engine_witness(*index).await.unwrap().admitted;
    }
    sum
}

async fn wait_admitted(fleet: &fleet::ProcessFleet, engines: &[usize], more_than: u64) {
    let tries = async {
        while admitted(fleet, engines).await <= more_than {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = time::timeout(Duration::from_secs(30), tries).await;
    assert!(
        waited.is_ok(),
        "the engines got no work in time\n{}",
        fleet.daemon_logs()
    );
}

async fn take_out(fleet: &fleet::ProcessFleet) -> (config::ConfigVersion, config::FleetConfig) {
    let mut taken = None;
    let version = fleet.change_config(|config| {
        let centre = ids::CentreId::new(CENTRE);
        config.data_centres.get_mut(&centre).unwrap().state = config::ServiceState::TakenOut;
        taken = Some(config.clone());
    });
    let version = version.await.unwrap();
    (version, taken.unwrap())
}

/// Checks that the engine of the data centre gets nothing new after the limit.
async fn assert_no_new_work(fleet: &fleet::ProcessFleet) {
    time::sleep(OUT_LIMIT).await;
    let before = fleet.engine_witness(0).await.unwrap();
    time::sleep(LOOK_SPAN).await;
    let after = fleet.engine_witness(0).await.unwrap();
    assert_eq!(after.admitted, before.admitted, "{before:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_gets_no_new_work_from_a_daemon_without_the_store() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let load = SteadyLoad::start(&fleet);
    wait_admitted(&fleet, &[0], 5).await;
    let running = tokio::spawn({
        let address = fleet.callers(1);
        async move { caller::ask(address, &prompt(7_000_000, 600)).await }
    });
    time::sleep(Duration::from_millis(500)).await;
    fleet.daemons[0]
        .store_link
        .control()
        .set(proxy::LinkFault::Cut);
    take_out(&fleet).await;
    assert_no_new_work(&fleet).await;
    let before = admitted(&fleet, &[1, 2]).await;
    wait_admitted(&fleet, &[1, 2], before + 3).await;
    let record = running.await.unwrap();
    assert_eq!(record.outcome, caller::CallOutcome::Answered, "{record:?}");
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_gets_no_new_work_from_a_daemon_cut_from_store_and_peers() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let load = SteadyLoad::start(&fleet);
    wait_admitted(&fleet, &[0], 5).await;
    let unit = &fleet.daemons[0];
    unit.store_link.control().set(proxy::LinkFault::Blackhole);
    // A peer answers over the connection that it was asked on, so both directions must go.
    for peer in &fleet.daemons {
        peer.peer_link.control().set(proxy::LinkFault::Blackhole);
    }
    take_out(&fleet).await;
    assert_no_new_work(&fleet).await;
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_out_holds_when_the_store_fails_right_after_the_acceptance() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let load = SteadyLoad::start(&fleet);
    wait_admitted(&fleet, &[0], 5).await;
    for unit in &fleet.daemons {
        unit.store_link.control().set(proxy::LinkFault::Blackhole);
    }
    let (version, config) = take_out(&fleet).await;
    let outage = store::StoreFaults {
        outage: true,
        ..Default::default()
    };
    assert!(fleet.set_store_faults(&outage).await);
    let accepted = serde_json::json!({ "version": version, "config": config });
    let admin = fleet.daemons[2].settings.listen.admin;
    assert!(caller::send_json(admin, http::Method::POST, "/config", &accepted).await);
    assert_no_new_work(&fleet).await;
    for index in 0..3 {
        let status = fleet.status(index).await.unwrap();
        assert_eq!(status["version"], serde_json::json!(version), "{index}");
    }
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_new_work_by_its_own_word() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let load = SteadyLoad::start(&fleet);
    wait_admitted(&fleet, &[0], 5).await;
    let address = fleet.engines[0].address;
    assert!(caller::send_json(address, http::Method::POST, "/fake/leaving", &()).await);
    assert_no_new_work(&fleet).await;
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_gets_no_new_work_by_the_host_list() {
    let fleet = fleet::ProcessFleet::start(&plan()).await.unwrap();
    let load = SteadyLoad::start(&fleet);
    wait_admitted(&fleet, &[0], 5).await;
    let listing = caller::get_json::<wire::HostListing>(fleet.hosts_address, wire::HOSTS_PATH);
    let mut listing = listing.await.unwrap();
    listing.leaving_endpoints = vec![fleet.engines[0].id.clone()];
    let path = "/fake/listing";
    assert!(caller::send_json(fleet.hosts_address, http::Method::PUT, path, &listing).await);
    assert_no_new_work(&fleet).await;
    drop(load);
}
