//! Reads settings files.

use std::fs;
use std::io;
use std::path;

use crate::check;
use crate::daemon;
use crate::fault;

/// Why settings could not be read.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read file {path}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The settings have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] Box<fault::FaultReport>),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Parses the text of a settings file.
pub fn parse(text: &str) -> Result<daemon::DaemonSettings> {
    Ok(check::daemon("settings", text)?)
}

/// Reads a settings file.
pub fn read(path: &path::Path) -> Result<daemon::DaemonSettings> {
    let text = read_text(path)?;
    Ok(check::daemon(&path.display().to_string(), &text)?)
}

/// Reads the text of any file.
pub fn read_text(path: &path::Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })
}
