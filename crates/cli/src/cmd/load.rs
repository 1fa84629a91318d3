//! `sardinepaddle load`

use std::path;

use crate::error;
use crate::load;

/// Measure a load against daemons, or against stand-ins in this process.
///
/// Sends requests at random times that do not wait for answers, for each seed and variant of
/// the experiment in turn, and reports what the callers saw.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle load experiments/zaatar.yaml\n  sardinepaddle load experiments/overload.yaml --json | jq .summary"
)]
pub(crate) struct LoadArgs {
    /// The experiment, in YAML.
    experiment: path::PathBuf,
    /// Print one JSON object and nothing else on standard output.
    #[arg(long)]
    json: bool,
}

impl LoadArgs {
    pub fn run(self) -> error::Result<()> {
        let experiment = load::experiment::read(&self.experiment)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|source| error::CliError::Start {
            what: "the runtime",
            source,
        })?;
        let report = runtime.block_on(load::run(&experiment))?;
        // Connections that are still open must not hold the process up.
        runtime.shutdown_background();
        load::table::print(&report, self.json)
    }
}
