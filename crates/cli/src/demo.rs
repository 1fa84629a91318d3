//! The demo: stand-ins and two daemons in this process, and a mixed load.

use std::collections;
use std::time::Duration;

use fakes::caller;
use fakes::engine;
use fakes::plain;
use model::config;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use rand_distr::Distribution;
use tokio::task;
use tokio::time;

use crate::error;
use crate::report;
use crate::stand_ins;

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
/// Name of the model.
const MODEL: &str = "lunch-1";
/// Customer of all calls.
const CUSTOMER: &str = "school-1";

/// Runs the demo.
pub(crate) async fn run(seed: u64) -> error::Result<report::RunReport> {
    let progress = indicatif::ProgressBar::new((PROMPTS + ORDERS) as u64);
    progress.set_message("starting");
    let fleet = stand_ins::StandInFleet::start(&shape(seed)).await?;
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
    fleet.stop().await;
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
    fleet: &stand_ins::StandInFleet,
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

fn shape(seed: u64) -> stand_ins::FleetShape {
    stand_ins::FleetShape {
        centres: CENTRES.map(str::to_owned).to_vec(),
        region: "jordan".to_owned(),
        daemons_per_centre: 1,
        engines_per_centre: ENGINES_PER_CENTRE,
        engine: engine::EngineModel {
            memory_tokens: 1_500_000,
            time_scale: 8.0,
            starts_warm: true,
            ..engine::EngineModel::default()
        },
        model: MODEL.to_owned(),
        model_service: "lunch-llm".to_owned(),
        plain_service: "order-app".to_owned(),
        customers: vec![stand_ins::ShapeCustomer {
            name: CUSTOMER.to_owned(),
            weight: 1,
        }],
        placement: config::PlacementPolicy::default(),
        seed,
    }
}
