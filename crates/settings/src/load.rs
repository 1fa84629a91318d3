//! Reads settings files.

use std::fs;
use std::io;
use std::path;

use crate::daemon;

/// Why settings could not be read.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings file {path}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The text is not a settings file.
    #[error("settings are not valid: {message}")]
    Invalid {
        /// What is wrong, with its place.
        message: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Parses the text of a settings file.
pub fn parse(text: &str) -> Result<daemon::DaemonSettings> {
    serde_yaml_ng::from_str(text).map_err(|error| SettingsError::Invalid {
        message: error.to_string(),
    })
}

/// Reads a settings file.
pub fn read(path: &path::Path) -> Result<daemon::DaemonSettings> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.display().to_string(),
        source,
    })?;
    parse(&text)
}
