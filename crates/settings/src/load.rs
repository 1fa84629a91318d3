//! Reads settings files.

use std::fs;
use std::io;
use std::path;

use crate::check;
use crate::daemon;
use crate::diagnostic;

/// Errors of reading settings.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read file {path}")]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the error.
        #[source]
        source: io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] Box<diagnostic::DiagnosticReport>),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Parses and checks the text of a daemon's settings file.
pub fn parse(text: &str) -> Result<daemon::DaemonSettings> {
    Ok(check::daemon("settings", text)?)
}

/// Reads, parses and checks a daemon's settings file.
pub fn read(path: &path::Path) -> Result<daemon::DaemonSettings> {
    let text = read_text(path)?;
    Ok(check::daemon(&path.display().to_string(), &text)?)
}

/// Reads a text file.
pub fn read_text(path: &path::Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })
}
