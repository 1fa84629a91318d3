//! The series of calls that one seed gives.

use std::time::Duration;

use fakes::caller;
use model::request;
use rand::Rng;
use rand::SeedableRng;
use rand::distr::weighted;
use rand::rngs;
use rand_distr::Distribution;

use crate::error;
use crate::load::experiment;

/// Fewest tokens of a prompt.
const SHORTEST_TOKENS: u64 = 1_000;
/// Prefixes that the prompts with a shared one divide among them.
const PREFIXES: u64 = 8;
/// Longest time that the plain service takes for a call.
const ORDER_DELAY_MS: u64 = 50;

/// A call to be made.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    pub at: Duration,
    /// Number from which the daemon is drawn.
    pub daemon: usize,
    pub customer: usize,
    pub kind: CallKind,
}

/// What is called.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Prompt(caller::PromptCall),
    Order(caller::OrderCall),
}

impl PlannedCall {
    /// Time allowed.
    pub fn timeout(&self) -> Duration {
        match &self.kind {
            CallKind::Prompt(call) => call.timeout,
            CallKind::Order(call) => call.timeout,
        }
    }

    /// Tokens of the prompt; zero for a plain call.
    pub fn prompt_tokens(&self) -> u64 {
        match &self.kind {
            CallKind::Prompt(call) => call.prompt_tokens as u64,
            CallKind::Order(_) => 0,
        }
    }
}

/// Draws the calls of one run, in the order of their times.
pub(crate) fn draw(
    experiment: &experiment::LoadExperiment,
    variant: &experiment::LoadVariant,
    seed: u64,
) -> error::Result<Vec<PlannedCall>> {
    let shares = experiment.customers.iter().map(|customer| customer.share);
    let customers = weighted::WeightedIndex::new(shares);
    let customers = customers.map_err(|error| experiment::bad(error.to_string()))?;
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let rate = experiment.prompts_per_second * variant.rate_factor;
    for at in arrivals(&mut rng, rate, experiment.duration_ms)? {
        let customer = customers.sample(&mut rng);
        let prompt = draw_prompt(experiment, &mut rng, customer);
        let long = request::SizeClass::of(prompt.prompt_tokens as u64);
        let daemon = rng.random_range(0..usize::MAX);
        if variant.without_long && long == request::SizeClass::Long {
            continue;
        }
        let kind = CallKind::Prompt(prompt);
        calls.push(PlannedCall {
            at,
            daemon,
            customer,
            kind,
        });
    }
    let rate = experiment.orders_per_second * variant.rate_factor;
    if rate > 0.0 {
        for (number, at) in arrivals(&mut rng, rate, experiment.duration_ms)?
            .into_iter()
            .enumerate()
        {
            let customer = customers.sample(&mut rng);
            let order = draw_order(experiment, &mut rng, customer, seed, number);
            calls.push(PlannedCall {
                at,
                daemon: rng.random_range(0..usize::MAX),
                customer,
                kind: CallKind::Order(order),
            });
        }
    }
    calls.sort_by_key(|call| call.at);
    Ok(calls)
}

fn arrivals(rng: &mut rngs::SmallRng, rate: f64, duration_ms: u64) -> error::Result<Vec<Duration>> {
    let gaps = rand_distr::Exp::new(rate).map_err(|error| experiment::bad(error.to_string()))?;
    let end = Duration::from_millis(duration_ms).as_secs_f64();
    let mut times = Vec::new();
    let mut at = gaps.sample(rng);
    while at < end {
        times.push(Duration::from_secs_f64(at));
        at += gaps.sample(rng);
    }
    Ok(times)
}

fn draw_prompt(
    experiment: &experiment::LoadExperiment,
    rng: &mut rngs::SmallRng,
    customer: usize,
) -> caller::PromptCall {
    let mix = experiment.mix;
    let dice = rng.random::<f64>();
    let (low, high, timeout_ms) = if dice < mix.long {
        let low = request::SizeClass::MEDIUM_TOKENS + 1;
        (low, mix.longest, experiment.timeouts.long_ms)
    } else if dice < mix.long + mix.medium {
        let low = request::SizeClass::SHORT_TOKENS + 1;
        let high = request::SizeClass::MEDIUM_TOKENS;
        (low, high, experiment.timeouts.medium_ms)
    } else {
        let high = request::SizeClass::SHORT_TOKENS;
        (SHORTEST_TOKENS, high, experiment.timeouts.short_ms)
    };
    let shared = rng.random::<f64>() < experiment.shared_prefixes;
    let own = rng.random::<u64>();
    // Texts made from one number begin alike.
    let seed = if shared { own % PREFIXES } else { own };
    caller::PromptCall {
        model: experiment.fleet.model.clone(),
        customer: experiment.customers[customer].name.clone(),
        seed,
        prompt_tokens: log_uniform(rng, low, high),
        max_tokens: experiment.answer_tokens,
        timeout: Duration::from_millis(timeout_ms),
    }
}

/// A length of which each doubling is as likely as the next.
fn log_uniform(rng: &mut rngs::SmallRng, low: u64, high: u64) -> usize {
    let (from, to) = ((low as f64).ln(), (high as f64).ln());
    let drawn = rng.random_range(from..=to).exp().round() as u64;
    usize::try_from(drawn.clamp(low, high)).unwrap_or(usize::MAX)
}

fn draw_order(
    experiment: &experiment::LoadExperiment,
    rng: &mut rngs::SmallRng,
    customer: usize,
    seed: u64,
    number: usize,
) -> caller::OrderCall {
    let operation = format!("order-{seed}-{number}");
    caller::OrderCall {
        method: http::Method::POST,
        path: "/orders/confirm".to_owned(),
        customer: experiment.customers[customer].name.clone(),
        key: Some(operation.clone()),
        operation,
        delay: Duration::from_millis(rng.random_range(1..ORDER_DELAY_MS)),
        timeout: Duration::from_millis(experiment.timeouts.order_ms),
    }
}
