//! Command line of the daemon.

use std::path;

/// Serves prompts of very different lengths in front of model engines and plain services.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "sardinepaddled", version)]
pub struct DaemonArgs {
    /// Settings file (YAML).
    #[arg(long, value_name = "FILE")]
    pub settings: path::PathBuf,
}
