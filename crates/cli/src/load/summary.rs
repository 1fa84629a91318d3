//! What the runs of an experiment came to.

use std::collections;
use std::time::Duration;

use fakes::caller;
use fakes::engine;
use model::request;
use serde::Serialize;

use crate::load;
use crate::load::cost;
use crate::load::experiment;
use crate::load::plan;
use crate::report;

/// Slowdowns are recorded in hundredths.
const SLOWDOWN_UNIT: f64 = 100.0;
/// Greatest slowdown recorded.
const SLOWDOWN_MAX: u64 = 10_000_000;
/// Significant digits kept of slowdowns.
const SLOWDOWN_DIGITS: u8 = 3;
/// Time between two rounds of a stand-in engine's batch.
const ENGINE_ROUND: Duration = Duration::from_millis(5);

/// Percentiles of the time in system over that of the same request alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct SlowdownPercentiles {
    pub count: u64,
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

impl SlowdownPercentiles {
    fn of(slowdowns: impl Iterator<Item = f64>) -> Self {
        let histogram =
            hdrhistogram::Histogram::<u64>::new_with_bounds(1, SLOWDOWN_MAX, SLOWDOWN_DIGITS);
        let Ok(mut histogram) = histogram else {
            return Self::default();
        };
        for slowdown in slowdowns {
            histogram.saturating_record(((slowdown * SLOWDOWN_UNIT) as u64).max(1));
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / SLOWDOWN_UNIT;
        Self {
            count: histogram.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Prompts of one size class in one run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ClassSummary {
    pub requests: u64,
    pub answered: u64,
    pub first_token_ms: report::TimePercentiles,
    pub slowdown: SlowdownPercentiles,
}

/// Requests that arrived in a part of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct WindowSummary {
    pub event: experiment::EventKind,
    pub from_ms: u64,
    pub to_ms: u64,
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub answered_share: f64,
    pub short_slowdown: SlowdownPercentiles,
}

/// What one customer got in one run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct CustomerSummary {
    pub requests: u64,
    pub answered: u64,
    pub answered_tokens: u64,
}

/// What a run is known by beside its calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunFacts {
    pub seed: u64,
    pub span: Duration,
    pub cost: cost::ControlCost,
    pub doubled: u64,
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunSummary {
    pub variant: String,
    pub seed: u64,
    /// Requests of the warm-up, which no other figure counts.
    pub warm_up_requests: u64,
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    pub mixed_up: u64,
    pub doubled: u64,
    /// Requests answered by their deadlines while the load lasted, for each measured second.
    pub goodput: f64,
    /// Prompt tokens answered so, for each measured second.
    pub goodput_tokens: f64,
    /// Time to a refusal.
    pub refusal_ms: report::TimePercentiles,
    /// Refusals and failures by their reasons.
    pub reasons: collections::BTreeMap<String, u64>,
    pub classes: collections::BTreeMap<request::SizeClass, ClassSummary>,
    pub customers: collections::BTreeMap<String, CustomerSummary>,
    pub windows: Vec<WindowSummary>,
    pub cost: cost::ControlCost,
    /// Length of the run, in milliseconds.
    pub span_ms: u64,
}

impl RunSummary {
    /// Counts what the callers saw.
    pub fn of(
        experiment: &experiment::LoadExperiment,
        variant: &experiment::LoadVariant,
        facts: RunFacts,
        results: &[load::CallResult],
    ) -> Self {
        let warm_up = Duration::from_millis(experiment.warm_up_ms);
        let end = Duration::from_millis(experiment.duration_ms);
        let measured = results.iter().filter(|result| result.call.at >= warm_up);
        let measured = measured.cloned().collect::<Vec<_>>();
        let warm_up_requests = results.len() - measured.len();
        let seconds = (end - warm_up).as_secs_f64();
        let within = warm_up..end;
        let timely = results.iter().filter(|result| {
            is_timely(result) && within.contains(&(result.call.at + result.record.total))
        });
        let results = measured.as_slice();
        let counts = OutcomeCounts::of(results.iter());
        let tokens = timely.clone().map(|result| result.call.prompt_tokens());
        let refused = results
            .iter()
            .filter(|result| result.record.outcome == caller::CallOutcome::NotRun);
        let times = report::TimePercentiles::of(refused.map(|result| result.record.total));
        Self {
            variant: variant.name.clone(),
            seed: facts.seed,
            warm_up_requests: warm_up_requests as u64,
            requests: counts.requests,
            answered: counts.answered,
            refused: counts.refused,
            failed: counts.failed,
            lost: counts.lost,
            mixed_up: counts.mixed_up,
            doubled: facts.doubled,
            goodput: timely.count() as f64 / seconds,
            goodput_tokens: tokens.sum::<u64>() as f64 / seconds,
            refusal_ms: times,
            reasons: reasons(results),
            classes: classes(&experiment.fleet.engine, results),
            customers: customers(experiment, results),
            windows: windows(experiment, results),
            cost: facts.cost,
            span_ms: u64::try_from(facts.span.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    requests: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    lost: u64,
    mixed_up: u64,
}

impl OutcomeCounts {
    fn of<'a>(results: impl Iterator<Item = &'a load::CallResult>) -> Self {
        let mut counts = Self::default();
        for result in results {
            counts.requests += 1;
            match result.record.outcome {
                caller::CallOutcome::Answered => counts.answered += 1,
                caller::CallOutcome::NotRun => counts.refused += 1,
                caller::CallOutcome::Failed | caller::CallOutcome::Unknown => counts.failed += 1,
                caller::CallOutcome::Wrong => counts.mixed_up += 1,
                caller::CallOutcome::Lost => counts.lost += 1,
            }
        }
        counts
    }
}

fn is_timely(result: &load::CallResult) -> bool {
    let answered = result.record.outcome == caller::CallOutcome::Answered;
    answered && result.record.total <= result.call.timeout()
}

fn reasons(results: &[load::CallResult]) -> collections::BTreeMap<String, u64> {
    let mut reasons = collections::BTreeMap::new();
    for result in results {
        if matches!(
            result.record.outcome,
            caller::CallOutcome::NotRun
                | caller::CallOutcome::Failed
                | caller::CallOutcome::Unknown
        ) {
            *reasons.entry(result.record.detail.clone()).or_default() += 1;
        }
    }
    reasons
}

/// Time that an idle engine takes for a prompt alone, by the stand-in's model.
fn alone(engine: &engine::EngineModel, call: &caller::PromptCall) -> Duration {
    let prefill = call.prompt_tokens as f64 / engine.prefill_rate;
    let load = 1.0 / f64::from(engine.slots.max(1));
    let decode = call.max_tokens as f64 * (1.0 + load) / engine.decode_rate;
    Duration::from_secs_f64((prefill + decode) / engine.time_scale) + ENGINE_ROUND
}

fn slowdown(engine: &engine::EngineModel, result: &load::CallResult) -> Option<f64> {
    let plan::CallKind::Prompt(call) = &result.call.kind else {
        return None;
    };
    if result.record.outcome != caller::CallOutcome::Answered {
        return None;
    }
    Some(result.record.total.as_secs_f64() / alone(engine, call).as_secs_f64())
}

fn is_prompt_of(result: &load::CallResult, class: request::SizeClass) -> bool {
    let prompt = matches!(result.call.kind, plan::CallKind::Prompt(_));
    prompt && request::SizeClass::of(result.call.prompt_tokens()) == class
}

fn classes(
    engine: &engine::EngineModel,
    results: &[load::CallResult],
) -> collections::BTreeMap<request::SizeClass, ClassSummary> {
    let classes = [
        request::SizeClass::Short,
        request::SizeClass::Medium,
        request::SizeClass::Long,
    ];
    let summaries = classes.map(|class| {
        let own = results.iter().filter(|result| is_prompt_of(result, class));
        let first = own.clone().filter_map(|result| result.record.first_token);
        let summary = ClassSummary {
            requests: own.clone().count() as u64,
            answered: OutcomeCounts::of(own.clone()).answered,
            first_token_ms: report::TimePercentiles::of(first),
            slowdown: SlowdownPercentiles::of(own.filter_map(|result| slowdown(engine, result))),
        };
        (class, summary)
    });
    summaries.into_iter().collect()
}

fn customers(
    experiment: &experiment::LoadExperiment,
    results: &[load::CallResult],
) -> collections::BTreeMap<String, CustomerSummary> {
    let mut customers = collections::BTreeMap::<String, CustomerSummary>::new();
    for result in results {
        let name = &experiment.customers[result.call.customer].name;
        let summary = customers.entry(name.clone()).or_default();
        summary.requests += 1;
        if is_timely(result) {
            summary.answered += 1;
            summary.answered_tokens += result.call.prompt_tokens();
        }
    }
    customers
}

fn windows(
    experiment: &experiment::LoadExperiment,
    results: &[load::CallResult],
) -> Vec<WindowSummary> {
    let windows = experiment.events.iter().map(|event| {
        let to_ms = event.window_ms.map(|span| event.at_ms + span);
        let to_ms = to_ms.unwrap_or(experiment.duration_ms);
        let span = Duration::from_millis(event.at_ms)..Duration::from_millis(to_ms);
        let within = results
            .iter()
            .filter(|result| span.contains(&result.call.at));
        let counts = OutcomeCounts::of(within.clone());
        let short = within.filter(|result| is_prompt_of(result, request::SizeClass::Short));
        let engine = &experiment.fleet.engine;
        WindowSummary {
            event: event.event.clone(),
            from_ms: event.at_ms,
            to_ms,
            requests: counts.requests,
            answered: counts.answered,
            refused: counts.refused,
            failed: counts.failed + counts.lost + counts.mixed_up,
            answered_share: counts.answered as f64 / counts.requests.max(1) as f64,
            short_slowdown: SlowdownPercentiles::of(
                short.filter_map(|result| slowdown(engine, result)),
            ),
        }
    });
    windows.collect()
}

/// Median and spread over the seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct SpreadFigure {
    pub median: f64,
    pub least: f64,
    pub most: f64,
}

impl SpreadFigure {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut values = values.collect::<Vec<_>>();
        values.sort_by(f64::total_cmp);
        let (Some(least), Some(most)) = (values.first(), values.last()) else {
            return Self::default();
        };
        let upper = values[values.len() / 2];
        let lower = values[(values.len() - 1) / 2];
        Self {
            median: f64::midpoint(lower, upper),
            least: *least,
            most: *most,
        }
    }
}

/// The figures of one variant over all seeds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct VariantSummary {
    pub variant: String,
    pub figures: collections::BTreeMap<&'static str, SpreadFigure>,
}

/// The result of an experiment.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LoadReport {
    pub experiment: String,
    pub seeds: Vec<u64>,
    pub summary: Vec<VariantSummary>,
    pub runs: Vec<RunSummary>,
}

/// A figure of one run.
type RunFigure = fn(&RunSummary) -> f64;

/// Figures that are compared between variants.
const FIGURES: [(&str, RunFigure); 14] = [
    ("answered_percent", |run| {
        percent(run.answered, run.requests)
    }),
    ("refused", |run| run.refused as f64),
    ("failed_or_lost", |run| {
        (run.failed + run.lost + run.mixed_up + run.doubled) as f64
    }),
    ("goodput", |run| run.goodput),
    ("goodput_tokens", |run| run.goodput_tokens),
    ("refusal_p95_ms", |run| run.refusal_ms.p95 as f64),
    ("short_slowdown_p50", |run| {
        class(run, request::SizeClass::Short).slowdown.p50
    }),
    ("short_slowdown_p95", |run| {
        class(run, request::SizeClass::Short).slowdown.p95
    }),
    ("short_first_token_p95_ms", |run| {
        class(run, request::SizeClass::Short).first_token_ms.p95 as f64
    }),
    ("medium_slowdown_p95", |run| {
        class(run, request::SizeClass::Medium).slowdown.p95
    }),
    ("long_slowdown_p95", |run| {
        class(run, request::SizeClass::Long).slowdown.p95
    }),
    ("long_answered_percent", |run| {
        let long = class(run, request::SizeClass::Long);
        percent(long.answered, long.requests)
    }),
    ("peer_messages_per_request", |run| {
        run.cost.peer_messages as f64 / run.requests.max(1) as f64
    }),
    ("store_calls", |run| run.cost.store_calls as f64),
];

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn class(run: &RunSummary, class: request::SizeClass) -> ClassSummary {
    run.classes.get(&class).cloned().unwrap_or_default()
}

impl LoadReport {
    /// Sums up the runs of each variant.
    pub fn of(experiment: &experiment::LoadExperiment, runs: Vec<RunSummary>) -> Self {
        let variants = experiment.variants.iter().map(|variant| {
            let own = runs.iter().filter(|run| run.variant == variant.name);
            let figures =
                FIGURES.map(|(name, figure)| (name, SpreadFigure::of(own.clone().map(figure))));
            VariantSummary {
                variant: variant.name.clone(),
                figures: figures.into_iter().collect(),
            }
        });
        Self {
            experiment: experiment.name.clone(),
            seeds: experiment.seeds.clone(),
            summary: variants.collect(),
            runs,
        }
    }
}
