//! The demo: stand-ins and two daemons in this process, and a mixed load.

use std::collections;
use std::io;
use std::net;
use std::time::Duration;

use fakes::caller;
use fakes::engine;
use fakes::fleet;
use fakes::hosts;
use fakes::plain;
use fakes::store;
use model::config;
use model::ids;
use model::peer;
use model::store as store_model;
use platform::client;
use platform::wire;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use rand_distr::Distribution;
use settings::daemon as daemon_settings;
use tokio::task;
use tokio::time;

use crate::error;
use crate::report;

/// Data centres of the demo, one daemon in each.
const CENTRES: [&str; 2] = ["amman-abdali", "amman-marka"];
/// Engines in each data centre.
const ENGINES_PER_CENTRE: usize = 2;
/// Prompts sent.
const PROMPTS: usize = 150;
/// Orders sent.
const ORDERS: usize = 30;
/// Prompts in one second.
const PROMPT_RATE: f64 = 12.0;
/// Tokens generated for a prompt.
const ANSWER_TOKENS: u64 = 24;
/// Time allowed for a prompt.
const PROMPT_TIMEOUT: Duration = Duration::from_secs(25);
/// Time allowed for an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the daemons to take roles.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at the daemons.
const READY_PERIOD: Duration = Duration::from_millis(50);
/// Name of the model.
const MODEL: &str = "lunch-1";
/// Customer of all calls.
const CUSTOMER: &str = "school-1";

/// Everything that the demo starts.
struct DemoFleet {
    _store: store::FakeStore,
    _hosts: hosts::FakeHosts,
    engines: Vec<engine::FakeEngine>,
    plain: plain::FakePlain,
    daemons: Vec<DemoDaemon>,
}

struct DemoDaemon {
    handle: daemon::run::DaemonHandle,
    callers: net::SocketAddr,
    admin: net::SocketAddr,
}

/// Runs the demo.
pub(crate) async fn run(seed: u64) -> error::Result<report::RunReport> {
    let progress = indicatif::ProgressBar::new((PROMPTS + ORDERS) as u64);
    progress.set_message("starting");
    let fleet = start().await?;
    wait_ready(&fleet).await?;
    let mut calls = plan(seed);
    calls.sort_by_key(|call| call.at);
    let started = time::Instant::now();
    let mut running = task::JoinSet::new();
    for call in calls {
        time::sleep_until(started + call.at).await;
        let address = fleet.daemons[call.daemon].callers;
        let progress = progress.clone();
        running.spawn(async move {
            let record = match call.kind {
                CallKind::Prompt(prompt) => caller::ask(address, &prompt).await,
                CallKind::Order(order) => caller::order(address, &order).await,
            };
            progress.inc(1);
            record
        });
    }
    let records = running.join_all().await;
    progress.finish_and_clear();
    let mut report = report::RunReport::of(&records);
    count_operations(&fleet, &records, &mut report).await;
    for daemon in &fleet.daemons {
        daemon.handle.stopper().stop().await;
    }
    for daemon in fleet.daemons {
        daemon.handle.wait().await;
    }
    Ok(report)
}

/// A call of the demo.
struct PlannedCall {
    at: Duration,
    daemon: usize,
    kind: CallKind,
}

enum CallKind {
    Prompt(caller::PromptCall),
    Order(caller::OrderCall),
}

fn plan(seed: u64) -> Vec<PlannedCall> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut calls = plan_prompts(&mut rng);
    calls.extend(plan_orders(&mut rng));
    calls
}

fn plan_prompts(rng: &mut rngs::SmallRng) -> Vec<PlannedCall> {
    let gaps = rand_distr::Exp::new(PROMPT_RATE).ok();
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    for number in 0..PROMPTS {
        let gap = gaps.map_or(1.0 / PROMPT_RATE, |gaps| gaps.sample(rng));
        at += Duration::from_secs_f64(gap);
        let prompt = caller::PromptCall {
            model: MODEL.to_owned(),
            customer: CUSTOMER.to_owned(),
            seed: rng.random(),
            prompt_tokens: prompt_tokens(number, rng),
            max_tokens: ANSWER_TOKENS,
            timeout: PROMPT_TIMEOUT,
        };
        let daemon = rng.random_range(0..CENTRES.len());
        calls.push(PlannedCall {
            at,
            daemon,
            kind: CallKind::Prompt(prompt),
        });
    }
    calls
}

/// One prompt in fifty is over a hundred thousand tokens, and one has a million.
fn prompt_tokens(number: usize, rng: &mut rngs::SmallRng) -> usize {
    match number % 50 {
        49 if number == 49 => 1_000_000,
        49 => rng.random_range(100_001..400_000),
        0 | 10 | 20 | 30 | 40 => rng.random_range(8_001..100_000),
        _ => rng.random_range(1_000..8_000),
    }
}

/// Every third order is repeated with its key through the other daemon, at the same moment.
fn plan_orders(rng: &mut rngs::SmallRng) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for number in 0..ORDERS {
        let repeated = number % 3 == 2;
        let operation = format!("order-{}", if repeated { number - 1 } else { number });
        let at = Duration::from_millis(300 * (number - usize::from(repeated)) as u64);
        let order = caller::OrderCall {
            method: http::Method::POST,
            path: "/orders/confirm".to_owned(),
            customer: CUSTOMER.to_owned(),
            key: Some(operation.clone()),
            operation,
            delay: Duration::from_millis(rng.random_range(1..50)),
            timeout: ORDER_TIMEOUT,
        };
        calls.push(PlannedCall {
            at,
            daemon: number % CENTRES.len(),
            kind: CallKind::Order(order),
        });
    }
    calls
}

async fn count_operations(
    fleet: &DemoFleet,
    records: &[caller::CallRecord],
    report: &mut report::RunReport,
) {
    let witness =
        caller::get_json::<plain::PlainWitness>(fleet.plain.address(), "/fake/witness").await;
    let runs = witness.unwrap_or_default().runs;
    report.doubled = runs.values().filter(|count| **count > 1).count() as u64;
    let answered = records
        .iter()
        .filter(|record| record.outcome == caller::CallOutcome::Answered);
    let replies = answered
        .filter_map(|record| serde_json::from_str::<plain::PlainReply>(&record.detail).ok());
    let operations = replies
        .map(|reply| reply.operation)
        .collect::<collections::BTreeSet<_>>();
    report.lost += operations
        .iter()
        .filter(|operation| !runs.contains_key(*operation))
        .count() as u64;
}

async fn start() -> error::Result<DemoFleet> {
    let failed = |what| move |source| error::CliError::Start { what, source };
    let store = store::FakeStore::start(fleet::free_address())
        .await
        .map_err(failed("the object API"))?;
    let plain = plain::FakePlain::start(fleet::free_address(), None)
        .await
        .map_err(failed("a plain service"))?;
    let mut engines = Vec::new();
    for _ in 0..CENTRES.len() * ENGINES_PER_CENTRE {
        let engine = engine::FakeEngine::start(fleet::free_address(), engine_model()).await;
        engines.push(engine.map_err(failed("an engine"))?);
    }
    let settings = CENTRES.map(|centre| daemon_settings(centre, store.address()));
    let listing = wire::HostListing {
        hosts: settings.iter().map(host_entry).collect(),
        leaving_endpoints: Vec::new(),
    };
    let hosts_address = settings[0].platform.host_list;
    let hosts = hosts::FakeHosts::start(hosts_address, listing, Duration::ZERO);
    let hosts = hosts.await.map_err(failed("the host list"))?;
    write_config(&store, hosts_address, &first_config(&engines, &plain)).await?;
    let mut daemons = Vec::new();
    for settings in settings {
        let callers = settings.listen.callers;
        let admin = settings.listen.admin;
        daemons.push(DemoDaemon {
            handle: daemon::run::start(settings).await?,
            callers,
            admin,
        });
    }
    Ok(DemoFleet {
        _store: store,
        _hosts: hosts,
        engines,
        plain,
        daemons,
    })
}

fn engine_model() -> engine::EngineModel {
    engine::EngineModel {
        memory_tokens: 1_500_000,
        time_scale: 8.0,
        starts_warm: true,
        ..engine::EngineModel::default()
    }
}

fn daemon_settings(centre: &str, store: net::SocketAddr) -> daemon_settings::DaemonSettings {
    static HOSTS: std::sync::OnceLock<net::SocketAddr> = std::sync::OnceLock::new();
    daemon_settings::DaemonSettings {
        host: ids::HostId::new(&format!("{centre}-1")),
        data_centre: ids::CentreId::new(centre),
        listen: daemon_settings::ListenSettings {
            callers: fleet::free_address(),
            peers: fleet::free_address(),
            advertised_peers: None,
            admin: fleet::free_address(),
        },
        platform: daemon_settings::PlatformSettings {
            object_api: store,
            host_list: *HOSTS.get_or_init(fleet::free_address),
        },
        limits: daemon_settings::LimitSettings::default(),
        networks: daemon_settings::NetworkSettings::default(),
        log: daemon_settings::LogSettings {
            level: "off".to_owned(),
        },
        seed: Some(1),
    }
}

fn host_entry(settings: &daemon_settings::DaemonSettings) -> peer::HostEntry {
    peer::HostEntry {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.listen.peers,
        admin_address: settings.listen.admin,
        leaving: false,
    }
}

fn first_config(engines: &[engine::FakeEngine], plain: &plain::FakePlain) -> config::FleetConfig {
    let mut fleet = config::FleetConfig::default();
    for centre in CENTRES {
        let entry = config::CentreEntry {
            region: "jordan".to_owned(),
            ..Default::default()
        };
        fleet.data_centres.insert(ids::CentreId::new(centre), entry);
    }
    fleet.customers.insert(
        ids::CustomerId::new(CUSTOMER),
        config::CustomerEntry::default(),
    );
    let kind = config::ServiceKind::Model {
        model: MODEL.to_owned(),
        bytes_per_token: 4,
    };
    fleet
        .services
        .insert(ids::ServiceId::new("lunch-llm"), service(kind));
    let kind = config::ServiceKind::Plain {
        path_prefix: "/orders".to_owned(),
    };
    fleet
        .services
        .insert(ids::ServiceId::new("order-app"), service(kind));
    let model = engine_model();
    for (index, engine) in engines.iter().enumerate() {
        let centre = CENTRES[index % CENTRES.len()];
        let mut entry = endpoint("lunch-llm", centre, engine.address());
        entry.memory_tokens = model.memory_tokens;
        entry.cold_slots = model.cold_slots;
        fleet
            .endpoints
            .insert(ids::EndpointId::new(&format!("engine-{index}")), entry);
    }
    let entry = endpoint("order-app", CENTRES[0], plain.address());
    fleet
        .endpoints
        .insert(ids::EndpointId::new("order-app-0"), entry);
    fleet
}

fn service(kind: config::ServiceKind) -> config::ServiceEntry {
    config::ServiceEntry {
        kind,
        timeout_ms: 30_000,
        non_idempotent: Vec::new(),
    }
}

fn endpoint(service: &str, centre: &str, address: net::SocketAddr) -> config::EndpointEntry {
    config::EndpointEntry {
        service: ids::ServiceId::new(service),
        data_centre: ids::CentreId::new(centre),
        address,
        state: config::ServiceState::InService,
        slots: 16,
        memory_tokens: 400_000,
        cold_slots: 2,
        checks_orders: false,
    }
}

async fn write_config(
    store: &store::FakeStore,
    hosts: net::SocketAddr,
    fleet: &config::FleetConfig,
) -> error::Result<()> {
    let object = config::ConfigObject {
        config: fleet.clone(),
        audit: Vec::new(),
    };
    let call = store_model::StoreCall::Write {
        name: config::CONFIG_OBJECT.to_owned(),
        expected: store_model::ObjectVersion::ABSENT,
        value: serde_json::to_string(&object)?,
    };
    match client::PlatformClient::new(store.address(), hosts)
        .call(call)
        .await
    {
        store_model::StoreReply::Written { .. } => Ok(()),
        reply => {
            let source = io::Error::other(format!("{reply:?}"));
            Err(error::CliError::Start {
                what: "the configuration",
                source,
            })
        }
    }
}

/// Waits until the daemons are ready and every endpoint has a keeper.
async fn wait_ready(fleet: &DemoFleet) -> error::Result<()> {
    let endpoints = fleet.engines.len() + 1;
    let tries = async {
        loop {
            let mut ready = true;
            let mut kept = 0;
            for daemon in &fleet.daemons {
                let status = caller::get_json::<serde_json::Value>(daemon.admin, "/status").await;
                let status = status.unwrap_or_default();
                ready &= status["ready"] == true;
                kept += status["kept"].as_array().map_or(0, Vec::len);
            }
            if ready && kept == endpoints {
                return;
            }
            time::sleep(READY_PERIOD).await;
        }
    };
    let late = error::CliError::Late {
        what: "the start of the daemons",
    };
    time::timeout(READY_LIMIT, tries).await.map_err(|_| late)
}
