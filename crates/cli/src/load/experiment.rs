//! What an experiment file says.

use std::fs;
use std::net;
use std::path;

use fakes::engine;
use model::config;
use serde::{Deserialize, Serialize};

use crate::error;

/// An experiment: one load, several variants and seeds, run in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadExperiment {
    pub name: String,
    /// Each variant is run once with each seed.
    pub seeds: Vec<u64>,
    pub variants: Vec<LoadVariant>,
    /// Length of the load, in milliseconds.
    pub duration_ms: u64,
    /// Requests that arrive before this time are sent and not measured, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// Prompts in one second.
    pub prompts_per_second: f64,
    /// Calls to the plain service in one second; all are non-idempotent.
    #[serde(default)]
    pub orders_per_second: f64,
    pub mix: LengthMix,
    /// Share of prompts that begin like another one.
    #[serde(default)]
    pub shared_prefixes: f64,
    pub customers: Vec<CustomerShare>,
    /// Tokens generated for a prompt.
    pub answer_tokens: u64,
    pub timeouts: TimeoutSet,
    #[serde(default)]
    pub events: Vec<TimedEvent>,
    pub fleet: FleetEntry,
    /// Daemons that run already; stand-ins are started if absent.
    #[serde(default)]
    pub target: Option<LoadTarget>,
}

/// A way to run the load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadVariant {
    pub name: String,
    #[serde(default)]
    pub placement: config::PlacementPolicy,
    /// Multiplies the rates of prompts and orders.
    #[serde(default = "one")]
    pub rate_factor: f64,
    /// Leaves the long prompts out of the same series of arrivals.
    #[serde(default)]
    pub without_long: bool,
}

fn one() -> f64 {
    1.0
}

/// Shares of the size classes; the rest is short.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LengthMix {
    pub medium: f64,
    pub long: f64,
    /// Most tokens of a long prompt.
    pub longest: u64,
}

/// A customer with its share of the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CustomerShare {
    pub name: String,
    pub share: f64,
    #[serde(default = "usual_weight")]
    pub weight: u32,
}

fn usual_weight() -> u32 {
    1
}

/// Time allowed by class, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TimeoutSet {
    pub short_ms: u64,
    pub medium_ms: u64,
    pub long_ms: u64,
    pub order_ms: u64,
}

/// Something that happens during the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TimedEvent {
    pub at_ms: u64,
    /// End of the time after the event that is reported on its own; the end of the load if absent.
    #[serde(default)]
    pub window_ms: Option<u64>,
    pub event: EventKind,
}

/// What happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "type")]
pub(crate) enum EventKind {
    /// Operators take a data centre out of service.
    TakeOut { centre: String },
    /// Operators bring a data centre back; its engines come back cold.
    BringBack { centre: String },
    /// An engine dies.
    KillEngine { engine: usize },
    /// An engine turns cold without warning.
    Cold { engine: usize },
}

/// The stand-ins, or for daemons that run already the model of their engines alone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetEntry {
    pub region: String,
    pub centres: Vec<String>,
    pub daemons_per_centre: usize,
    pub engines_per_centre: usize,
    pub engine: engine::EngineModel,
    pub model: String,
    pub model_service: String,
    pub plain_service: String,
}

/// Daemons that run already.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadTarget {
    pub callers: Vec<net::SocketAddr>,
    #[serde(default)]
    pub admins: Vec<net::SocketAddr>,
    /// Needed for events that operators cause.
    #[serde(default)]
    pub platform: Option<TargetPlatform>,
}

/// The platform of daemons that run already.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TargetPlatform {
    pub object_api: net::SocketAddr,
    pub host_list: net::SocketAddr,
}

/// Reads and checks an experiment.
pub(crate) fn read(path: &path::Path) -> error::Result<LoadExperiment> {
    let text = fs::read_to_string(path).map_err(|source| error::CliError::ReadExperiment {
        path: path.display().to_string(),
        source,
    })?;
    let experiment = serde_yaml_ng::from_str::<LoadExperiment>(&text);
    let experiment = experiment.map_err(|error| bad(error.to_string()))?;
    check(&experiment)?;
    Ok(experiment)
}

fn check(experiment: &LoadExperiment) -> error::Result<()> {
    let shares = experiment.customers.iter().map(|customer| customer.share);
    let mix = experiment.mix;
    let positive = |value: f64| value.is_finite() && value > 0.0;
    let part = |value: f64| (0.0..=1.0).contains(&value);
    let faults = [
        (experiment.seeds.is_empty(), "seeds is empty"),
        (
            experiment.warm_up_ms >= experiment.duration_ms,
            "the warm-up must be shorter than the load",
        ),
        (experiment.variants.is_empty(), "variants is empty"),
        (experiment.fleet.centres.is_empty(), "centres is empty"),
        (experiment.fleet.daemons_per_centre == 0, "no daemons"),
        (
            !positive(experiment.prompts_per_second),
            "prompts_per_second must be above zero",
        ),
        (
            !positive(shares.sum::<f64>()),
            "the customers' shares must add up to more than zero",
        ),
        (
            !part(mix.medium) || !part(mix.long) || mix.medium + mix.long > 1.0,
            "the shares of the mix must lie between zero and one",
        ),
        (
            mix.longest <= model::request::SizeClass::MEDIUM_TOKENS,
            "longest must be above the tokens of a medium prompt",
        ),
        (
            experiment
                .target
                .as_ref()
                .is_some_and(|target| target.callers.is_empty()),
            "the target has no callers' address",
        ),
    ];
    match faults.iter().find(|(faulty, _)| *faulty) {
        Some((_, detail)) => Err(bad((*detail).to_owned())),
        None => Ok(()),
    }
}

/// An experiment that makes no sense.
pub(crate) fn bad(detail: String) -> error::CliError {
    error::CliError::Experiment { detail }
}
