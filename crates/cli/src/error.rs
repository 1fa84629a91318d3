//! Errors of the command.

use std::io;
use std::process;

use objects::trail;
use objects::writer;
use settings::diagnostic;
use settings::load;

/// Exit code of a change that another operator's change came before.
pub(crate) const LOST_RACE_CODE: u8 = 3;
/// Exit code of a change that may be in force or not.
pub(crate) const UNKNOWN_CODE: u8 = 4;
/// Exit code of misuse, as the argument parser gives it.
pub(crate) const MISUSE_CODE: u8 = 2;

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
        source: io::Error,
    },
    /// A daemon could not be started.
    #[error("cannot start a daemon")]
    Daemon(#[from] daemon::run::RunError),
    /// The result could not be written.
    #[error("cannot write the result")]
    Write(#[from] serde_json::Error),
    /// The result could not be written.
    #[error("cannot write YAML")]
    WriteYaml(#[from] serde_yaml_ng::Error),
    /// A file could not be written.
    #[error("cannot write {path}")]
    WriteFile {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// An experiment could not be read.
    #[error("cannot read the experiment [{path}]")]
    ReadExperiment {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: io::Error,
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
    /// The command was not used as it should be.
    #[error("{message}")]
    Misuse {
        /// How it should be.
        message: String,
    },
    /// What was asked for cannot be done.
    #[error("{message}")]
    Refused {
        /// Why.
        message: String,
    },
    /// A file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] load::SettingsError),
    /// A file has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] Box<diagnostic::DiagnosticReport>),
    /// The configuration could not be read or changed.
    #[error(transparent)]
    Writer(#[from] writer::WriterError),
    /// The audit trail could not be read.
    #[error("cannot read the audit trail")]
    Trail(#[from] trail::TrailError),
    /// Another change came first.
    #[error("another change came first; nothing of this one is in force\n{winners}")]
    #[diagnostic(help("look at `sardinepaddle diff` or `audit`, then run the command again"))]
    LostRace {
        /// Who won and what they changed.
        winners: String,
    },
    /// The terminal failed.
    #[error("cannot ask on this terminal")]
    Terminal(#[from] dialoguer::Error),
    /// Part of the system did not answer.
    #[error("{message}")]
    Incomplete {
        /// Which part.
        message: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, CliError>;

impl CliError {
    /// The exit code that tells a script what went wrong.
    pub fn exit_code(&self) -> process::ExitCode {
        let code = match self {
            Self::Misuse { .. } => MISUSE_CODE,
            Self::LostRace { .. } => LOST_RACE_CODE,
            Self::Writer(writer::WriterError::Unknown { .. }) => UNKNOWN_CODE,
            _ => return process::ExitCode::FAILURE,
        };
        process::ExitCode::from(code)
    }
}
