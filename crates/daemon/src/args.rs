//! Command line of the daemon.

use std::path;

/// Serves prompts of very different lengths in front of model engines and plain services.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "sardinepaddled", version)]
pub struct DaemonArgs {
    /// Settings file (YAML).
    #[arg(long, value_name = "FILE", env = "SARDINEPADDLE_SETTINGS")]
    pub settings: path::PathBuf,
    /// Serve behind the users' platform instead of the project's own interface.
    #[arg(long)]
    pub behind_platform: bool,
}
