//! `sardinepaddle demo`

use crate::demo;
use crate::error;
use crate::report;

/// Show the system at work against stand-ins, with nothing set up.
///
/// Starts an object API, a host list, engines, a plain service and two daemons in this process,
/// sends prompts from a thousand to a million tokens and orders that may not run twice, and
/// reports what the callers and the stand-ins saw.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle demo\n  sardinepaddle demo --json | jq .doubled"
)]
pub(crate) struct DemoArgs {
    /// Print one JSON object and nothing else on standard output.
    #[arg(long)]
    json: bool,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl DemoArgs {
    pub fn run(self) -> error::Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|source| error::CliError::Start {
            what: "the runtime",
            source,
        })?;
        let result = runtime.block_on(demo::run(self.seed))?;
        // Connections that are still open must not hold the process up.
        runtime.shutdown_background();
        report::print(&result, self.json)
    }
}
