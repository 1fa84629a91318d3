//! Why a scenario could not be run, or did not hold.

use std::io;

/// Why a scenario could not be run, or did not hold.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file could not be read.
    #[error("cannot read the scenario")]
    Read(#[source] io::Error),
    /// The file is not a scenario.
    #[error("not a scenario: {0}")]
    Parse(String),
    /// The fleet did not start.
    #[error("the fleet did not start: {0}")]
    Fleet(#[source] io::Error),
    /// A step could not be carried out.
    #[error("step {number}: {text}")]
    Step {
        /// Number of the step, from one.
        number: usize,
        /// What went wrong.
        text: String,
    },
    /// Expectations did not hold.
    #[error("{}", .0.join("\n"))]
    Expectations(Vec<String>),
}

/// Result of a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;
