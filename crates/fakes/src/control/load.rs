//! A steady load of prompts and orders on every daemon of a fleet.

use std::net;
use std::time::Duration;

use tokio::task;
use tokio::time;

use crate::caller;
use crate::fleet;

/// Time allowed for each call.
const CALL_LIMIT: Duration = Duration::from_secs(20);
/// Tokens of each prompt.
const PROMPT_TOKENS: usize = 1_000;
/// Tokens asked for.
const ANSWER_TOKENS: u64 = 20;

/// Calls that go on until this is dropped.
pub(super) struct SteadyLoad {
    _tasks: task::JoinSet<()>,
}

/// Starts so many prompts and orders a second on each daemon.
pub(super) fn start(fleet: &fleet::ProcessFleet, prompts: f64, orders: f64) -> SteadyLoad {
    let mut tasks = task::JoinSet::new();
    for index in 0..fleet.daemons.len() {
        let address = fleet.callers(index);
        if prompts > 0.0 {
            tasks.spawn(ask_steadily(address, index, prompts));
        }
        if orders > 0.0 {
            tasks.spawn(order_steadily(address, index, orders));
        }
    }
    SteadyLoad { _tasks: tasks }
}

fn beat(index: usize, rate: f64) -> time::Interval {
    let period = Duration::from_secs_f64(1.0 / rate);
    // Daemons are not asked all at once.
    let first = time::Instant::now() + period.mul_f64((index as f64 * 0.618).fract());
    time::interval_at(first, period)
}

async fn ask_steadily(address: net::SocketAddr, index: usize, rate: f64) {
    let mut ticks = beat(index, rate);
    let mut calls = task::JoinSet::new();
    let mut seed = (index as u64) << 32;
    loop {
        ticks.tick().await;
        seed += 1;
        let call = caller::PromptCall {
            model: fleet::MODEL.to_owned(),
            customer: fleet::CUSTOMER.to_owned(),
            seed,
            prompt_tokens: PROMPT_TOKENS,
            max_tokens: ANSWER_TOKENS,
            timeout: CALL_LIMIT,
        };
        calls.spawn(async move { caller::ask(address, &call).await });
        while calls.try_join_next().is_some() {}
    }
}

async fn order_steadily(address: net::SocketAddr, index: usize, rate: f64) {
    let mut ticks = beat(index, rate);
    let mut calls = task::JoinSet::new();
    let mut count = 0_u64;
    loop {
        ticks.tick().await;
        count += 1;
        let operation = format!("control-{index}-{count}");
        let call = caller::OrderCall {
            method: http::Method::POST,
            path: "/orders/confirm".to_owned(),
            customer: fleet::CUSTOMER.to_owned(),
            key: Some(operation.clone()),
            operation,
            delay: Duration::ZERO,
            timeout: CALL_LIMIT,
        };
        calls.spawn(async move { caller::order(address, &call).await });
        while calls.try_join_next().is_some() {}
    }
}
