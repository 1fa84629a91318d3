//! Open-loop load with measurements.

use std::net;
use std::sync;
use std::time::Duration;

use fakes::caller;
use tokio::task;
use tokio::time;

use crate::error;
use crate::stand_ins;

mod cost;
mod events;
pub(crate) mod experiment;
mod plan;
mod summary;
pub(crate) mod table;

/// A call that was made.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub call: plan::PlannedCall,
    pub record: caller::CallRecord,
}

/// Runs an experiment: for each seed, each variant in turn.
pub(crate) async fn run(
    experiment: &experiment::LoadExperiment,
) -> error::Result<summary::LoadReport> {
    let mut plans = Vec::new();
    for seed in &experiment.seeds {
        for variant in &experiment.variants {
            plans.push((*seed, variant, plan::draw(experiment, variant, *seed)?));
        }
    }
    let calls = plans.iter().map(|(_, _, calls)| calls.len() as u64).sum();
    let progress = indicatif::ProgressBar::new(calls);
    let mut runs = Vec::new();
    for (seed, variant, calls) in plans {
        progress.set_message(format!("{} seed {seed}", variant.name));
        runs.push(run_once(experiment, variant, seed, calls, &progress).await?);
    }
    progress.finish_and_clear();
    Ok(summary::LoadReport::of(experiment, runs))
}

async fn run_once(
    experiment: &experiment::LoadExperiment,
    variant: &experiment::LoadVariant,
    seed: u64,
    calls: Vec<plan::PlannedCall>,
    progress: &indicatif::ProgressBar,
) -> error::Result<summary::RunSummary> {
    let mut fleet = match &experiment.target {
        Some(_) => None,
        None => Some(stand_ins::StandInFleet::start(&shape(experiment, variant, seed)).await?),
    };
    let addresses = caller_addresses(experiment, fleet.as_ref());
    let admins = admin_addresses(experiment, fleet.as_ref());
    let before = cost::read(&admins).await;
    let started = time::Instant::now();
    let sending = tokio::spawn(send(addresses, calls, started, progress.clone()));
    events::play(experiment, fleet.as_mut(), started).await?;
    let results = sending.await.map_err(|error| error::CliError::Start {
        what: "the load",
        source: std::io::Error::other(error),
    })?;
    let span = started.elapsed();
    let spent = cost::read(&admins).await.since(&before);
    let doubled = match &fleet {
        Some(fleet) => cost::doubled(fleet.plain.address()).await,
        None => 0,
    };
    if let Some(fleet) = fleet {
        fleet.stop().await;
    }
    let facts = summary::RunFacts {
        seed,
        span,
        cost: spent,
        doubled,
    };
    Ok(summary::RunSummary::of(
        experiment, variant, facts, &results,
    ))
}

async fn send(
    addresses: Vec<net::SocketAddr>,
    calls: Vec<plan::PlannedCall>,
    started: time::Instant,
    progress: indicatif::ProgressBar,
) -> Vec<CallResult> {
    let results = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let mut running = task::JoinSet::new();
    for call in calls {
        time::sleep_until(started + call.at).await;
        let address = addresses[call.daemon % addresses.len()];
        let progress = progress.clone();
        let results = results.clone();
        running.spawn(async move {
            let record = make(address, &call).await;
            progress.inc(1);
            results
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner)
                .push(CallResult { call, record });
        });
    }
    running.join_all().await;
    let mut results = results.lock().unwrap_or_else(sync::PoisonError::into_inner);
    std::mem::take(&mut *results)
}

/// Time after its deadline at which a call without an answer counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(5);

async fn make(address: net::SocketAddr, call: &plan::PlannedCall) -> caller::CallRecord {
    let limit = call.timeout() + LOST_AFTER;
    let making = async {
        match &call.kind {
            plan::CallKind::Prompt(prompt) => caller::ask(address, prompt).await,
            plan::CallKind::Order(order) => caller::order(address, order).await,
        }
    };
    let made = time::timeout(limit, making).await;
    made.unwrap_or_else(|_| caller::CallRecord {
        outcome: caller::CallOutcome::Lost,
        status: 0,
        class: model::request::SizeClass::of(call.prompt_tokens()),
        first_token: None,
        total: limit,
        retry_after: None,
        detail: String::new(),
    })
}

fn shape(
    experiment: &experiment::LoadExperiment,
    variant: &experiment::LoadVariant,
    seed: u64,
) -> stand_ins::FleetShape {
    let fleet = &experiment.fleet;
    let customers = experiment.customers.iter();
    stand_ins::FleetShape {
        centres: fleet.centres.clone(),
        region: fleet.region.clone(),
        daemons_per_centre: fleet.daemons_per_centre,
        engines_per_centre: fleet.engines_per_centre,
        engine: fleet.engine.clone(),
        model: fleet.model.clone(),
        model_service: fleet.model_service.clone(),
        plain_service: fleet.plain_service.clone(),
        customers: customers
            .map(|customer| stand_ins::ShapeCustomer {
                name: customer.name.clone(),
                weight: customer.weight,
            })
            .collect(),
        placement: variant.placement,
        seed,
    }
}

fn caller_addresses(
    experiment: &experiment::LoadExperiment,
    fleet: Option<&stand_ins::StandInFleet>,
) -> Vec<net::SocketAddr> {
    match (fleet, &experiment.target) {
        (Some(fleet), _) => fleet.daemons.iter().map(|daemon| daemon.callers).collect(),
        (None, Some(target)) => target.callers.clone(),
        (None, None) => Vec::new(),
    }
}

fn admin_addresses(
    experiment: &experiment::LoadExperiment,
    fleet: Option<&stand_ins::StandInFleet>,
) -> Vec<net::SocketAddr> {
    match (fleet, &experiment.target) {
        (Some(fleet), _) => fleet.daemons.iter().map(|daemon| daemon.admin).collect(),
        (None, Some(target)) => target.admins.clone(),
        (None, None) => Vec::new(),
    }
}
