//! Runs a scenario against real processes.

use std::collections;
use std::process;
use std::time::Duration;

use model::config;
use tokio::time;

use crate::fleet;
use crate::scenario::check;
use crate::scenario::error;
use crate::scenario::load;
use crate::scenario::spec;
use crate::scenario::step;

/// Time between two looks at a witness.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// A scenario that is being run.
#[derive(Debug)]
pub struct ScenarioRun {
    /// The processes.
    pub fleet: fleet::ProcessFleet,
    /// The calls made.
    pub calls: load::CallTable,
    /// Moments named, in milliseconds since 1970.
    pub marks: collections::BTreeMap<String, u64>,
    /// Version of the last accepted configuration.
    pub accepted: config::ConfigVersion,
    /// How daemons that were terminated ended, by number.
    pub ended: collections::BTreeMap<usize, process::ExitStatus>,
}

/// Runs a scenario from its start to its expectations.
pub async fn run(file: &spec::ScenarioFile) -> error::Result<()> {
    let plan = fleet::FleetPlan {
        daemons: file.fleet.daemons.clone(),
        engines: file.fleet.engines.clone(),
        engine_model: file.fleet.engine.clone(),
        plains: file.fleet.plains.clone(),
        limits: Default::default(),
        networks: settings::daemon::NetworkSettings::default(),
        log_level: "debug".to_owned(),
    };
    let fleet = fleet::ProcessFleet::start(&plan)
        .await
        .map_err(error::ScenarioError::Fleet)?;
    let mut run = ScenarioRun {
        fleet,
        calls: load::CallTable::default(),
        marks: collections::BTreeMap::new(),
        accepted: config::ConfigVersion::default(),
        ended: collections::BTreeMap::new(),
    };
    for (index, step) in file.steps.iter().enumerate() {
        if let Err(text) = step::carry_out(&mut run, step).await {
            return Err(error::ScenarioError::Step {
                number: index + 1,
                text: format!("{text}\n{}", run.fleet.daemon_logs()),
            });
        }
    }
    let mut failures = Vec::new();
    for expectation in &file.expect {
        let limit = Duration::from_millis(expectation.within_ms);
        if let Err(text) = run.wait_for(&expectation.that, limit).await {
            failures.push(format!("{:?}: {text}", expectation.proves));
        }
    }
    if failures.is_empty() {
        return Ok(());
    }
    failures.push(run.fleet.daemon_logs());
    Err(error::ScenarioError::Expectations(failures))
}

impl ScenarioRun {
    /// Looks at a witness until it shows what it should, or the time is over.
    pub async fn wait_for(
        &mut self,
        check: &spec::WitnessCheck,
        limit: Duration,
    ) -> Result<(), String> {
        let until = time::Instant::now() + limit;
        loop {
            let result = check::hold(self, check).await;
            if result.is_ok() || time::Instant::now() >= until {
                return result;
            }
            time::sleep(LOOK_PERIOD).await;
        }
    }
}
