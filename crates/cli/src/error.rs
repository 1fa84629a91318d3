//! Errors of the command.

use std::process;

/// Why a command failed.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum CliError {
    /// Something that the command needs could not be started.
    #[error("cannot start {what}")]
    Start {
        /// What.
        what: &'static str,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// A daemon could not be started.
    #[error("cannot start a daemon")]
    Daemon(#[from] daemon::run::RunError),
    /// The result could not be written.
    #[error("cannot write the result")]
    Write(#[from] serde_json::Error),
    /// An experiment could not be read.
    #[error("cannot read the experiment [{path}]")]
    ReadExperiment {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// An experiment makes no sense.
    #[error("the experiment is no good: {detail}")]
    Experiment {
        /// Why.
        detail: String,
    },
    /// Something did not happen in time.
    #[error("{what} took too long")]
    Late {
        /// What.
        what: &'static str,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, CliError>;

impl CliError {
    /// The exit code that tells a script what went wrong.
    pub fn exit_code(&self) -> process::ExitCode {
        process::ExitCode::FAILURE
    }
}
