//! What a scenario file holds.

use std::fs;
use std::path;

use model::config;
use serde::Deserialize;

use crate::caller;
use crate::engine;
use crate::proxy;
use crate::scenario::error;
use crate::scenario::names;
use crate::store;

/// One scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFile {
    /// What happens, in a sentence.
    pub about: String,
    /// What the fleet is made of.
    pub fleet: FleetSpec,
    /// What is done, in order.
    pub steps: Vec<ScenarioStep>,
    /// What must hold at the end.
    pub expect: Vec<ScenarioCheck>,
}

/// What the fleet of a scenario is made of.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Data centre of each daemon.
    pub daemons: Vec<String>,
    /// Data centre of each engine.
    #[serde(default)]
    pub engines: Vec<String>,
    /// Data centre of each plain endpoint.
    #[serde(default)]
    pub plains: Vec<String>,
    /// How the engines behave.
    #[serde(default)]
    pub engine: engine::EngineModel,
}

/// Something that is done.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum ScenarioStep {
    /// Ends a process without warning.
    Kill(names::UnitName),
    /// Starts a killed process again; a daemon is waited for until it is ready.
    Start(names::UnitName),
    /// Stops a process from running.
    Freeze(names::UnitName),
    /// Lets a frozen process run again.
    Thaw(names::UnitName),
    /// Asks a process to end.
    Terminate(names::UnitName),
    /// Sets the fault of a link.
    Link(LinkStep),
    /// Sets the faults of the object API; those not named are none.
    Store(store::StoreFaults),
    /// Changes the configuration as an operator does.
    Order(OperatorOrder),
    /// Makes an engine cold without notice.
    TurnCold(names::UnitName),
    /// Makes an engine report that it is leaving.
    Leave(names::UnitName),
    /// Asks prompts.
    Prompts(PromptLoad),
    /// Calls the plain service.
    Calls(CallLoad),
    /// Waits until all calls of a load have ended.
    Join(String),
    /// Closes the connections of a load's callers.
    Abandon(String),
    /// Names this moment.
    Mark(String),
    /// Waits until a witness shows something.
    Await(AwaitStep),
    /// Waits for so many milliseconds.
    Wait(u64),
}

/// Sets the fault of a link.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkStep {
    /// The link.
    pub name: names::LinkName,
    /// Its fault.
    pub fault: proxy::LinkFault,
}

/// Waits until a witness shows something.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AwaitStep {
    /// What it is to show.
    pub that: WitnessCheck,
    /// Longest wait, in milliseconds.
    pub within_ms: u64,
}

/// An operator's order, by conditional update.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum OperatorOrder {
    /// Takes a data centre out of service.
    TakeOutCentre(String),
    /// Brings a data centre back.
    BringBackCentre(String),
    /// Takes an endpoint out of service.
    TakeOutEndpoint(String),
    /// Brings an endpoint back.
    BringBackEndpoint(String),
    /// Sets how requests are placed.
    Placement(config::PlacementPolicy),
}

/// Prompts asked through some daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptLoad {
    /// Name by which expectations speak of the load.
    pub name: String,
    /// Numbers of the daemons asked.
    pub daemons: Vec<usize>,
    /// Prompts for each daemon, all at once.
    #[serde(default = "one")]
    pub count: usize,
    /// Tokens of each prompt.
    pub prompt_tokens: usize,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Time allowed, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the next step begins before the answers are there.
    #[serde(default)]
    pub background: bool,
}

/// Calls to the plain service through some daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallLoad {
    /// Name by which expectations speak of the load.
    pub name: String,
    /// Numbers of the daemons called; each gets the same operations and keys.
    pub daemons: Vec<usize>,
    /// Operations for each daemon, all at once; more than one are numbered.
    #[serde(default = "one")]
    pub count: usize,
    /// Operation as the witness counts it.
    pub operation: String,
    /// Whether the operation's name is sent as the idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Time that the service takes after the effect, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Time allowed, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the next step begins before the answers are there.
    #[serde(default)]
    pub background: bool,
}

fn one() -> usize {
    1
}

/// An expectation, with the invariant that it proves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioCheck {
    /// The invariant.
    pub proves: BriefLine,
    /// What a witness must show.
    pub that: WitnessCheck,
    /// Longest wait until it does, in milliseconds; none by default.
    #[serde(default)]
    pub within_ms: u64,
}

/// The invariants of the brief, in its order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum BriefLine {
    /// An admitted request finishes or fails in time.
    FinishesInTime,
    /// No engine loses memory for good.
    EngineMemory,
    /// A cold endpoint gets no more than it can carry.
    ColdEndpoint,
    /// A data centre taken out gets no new work after seconds.
    CentreOut,
    /// Each caller gets the whole answer to its own request.
    RightAnswer,
    /// A refusal that says "not run" is true.
    NotRunTrue,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after seconds.
    LeavingEndpoint,
    /// A graceful shutdown cuts no request.
    GracefulShutdown,
    /// An accepted configuration is in force within seconds and never reverts.
    ConfigInForce,
}

/// What a witness must show.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum WitnessCheck {
    /// Callers' records of a load.
    Records(RecordCheck),
    /// Runs of one operation, over all plain endpoints.
    Runs(RunCheck),
    /// Each keyed operation of these loads ran at most once, none ran of which every caller was
    /// told "not run", and each that was answered ran.
    TrueOutcomes(Vec<String>),
    /// What one engine saw.
    Engine(EngineCheck),
    /// An endpoint got no new work later than this.
    NoWorkAfter(WorkCheck),
    /// The last accepted configuration is in force on these daemons.
    ConfigInForce(Vec<usize>),
    /// Calls that the object API counted, at most.
    StoreCalls(store::StoreWitness),
    /// A process has ended with success.
    EndedWell(names::UnitName),
    /// No process of the fleet's daemons has a request in flight.
    Idle(Vec<usize>),
}

/// Callers' records of a load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordCheck {
    /// The load.
    pub load: String,
    /// Outcomes of which each record has one.
    pub outcomes: Vec<caller::CallOutcome>,
    /// Records that have ended, at least; all of the load by default.
    #[serde(default)]
    pub least: Option<usize>,
    /// Reason that each error names, if given.
    #[serde(default)]
    pub reason: Option<String>,
    /// Longest time that each took, in milliseconds.
    #[serde(default)]
    pub most_ms: Option<u64>,
    /// Whether each error says when to come back.
    #[serde(default)]
    pub retry_after: bool,
}

/// Runs of one operation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunCheck {
    /// The operation.
    pub operation: String,
    /// Fewest runs.
    #[serde(default)]
    pub least: u64,
    /// Most runs.
    pub most: u64,
}

/// What one engine saw.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCheck {
    /// Number of the engine.
    pub engine: usize,
    /// Streams that hold memory, exactly.
    #[serde(default)]
    pub streams: Option<usize>,
    /// Tokens of memory in use, exactly.
    #[serde(default)]
    pub used_tokens: Option<u64>,
    /// Requests taken, at least.
    #[serde(default)]
    pub least_admitted: u64,
    /// Requests taken, at most.
    #[serde(default)]
    pub most_admitted: Option<u64>,
    /// Requests answered in full, at least.
    #[serde(default)]
    pub least_finished: u64,
    /// Times that it fell over while cold, at most.
    #[serde(default)]
    pub most_overruns: Option<u64>,
    /// Requests at once while cold, at most.
    #[serde(default)]
    pub most_while_cold: Option<u32>,
}

/// An endpoint got no new work later than this.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkCheck {
    /// The endpoint.
    pub endpoint: names::UnitName,
    /// The moment named by a mark.
    pub mark: String,
    /// Milliseconds allowed after it.
    pub ms: u64,
}

/// Reads a scenario from YAML.
///
/// ```
/// let text = "
/// about: nothing happens
/// fleet: { daemons: [amman-marka] }
/// steps: [{ wait: 10 }]
/// expect: []
/// ";
/// let file = sardinepaddle_fakes::scenario::spec::parse(text).unwrap();
/// assert_eq!(file.steps.len(), 1);
/// assert!(sardinepaddle_fakes::scenario::spec::parse(&text.replace("about", "abuot")).is_err());
/// ```
pub fn parse(text: &str) -> error::Result<ScenarioFile> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_yaml_ng::with::singleton_map_recursive::deserialize(deserializer)
        .map_err(|error| error::ScenarioError::Parse(error.to_string()))
}

/// Reads a scenario file.
pub fn read(path: &path::Path) -> error::Result<ScenarioFile> {
    let text = fs::read_to_string(path).map_err(error::ScenarioError::Read)?;
    parse(&text)
}
