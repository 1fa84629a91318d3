//! The log: short lines with a fixed prefix for each part.

use node::action;
use settings::daemon;

/// Why the log could not be set up.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum LogError {
    /// The level is not known.
    #[error("log level {level:?} is not one of off, error, warn, info, debug, trace")]
    Level {
        /// The level given.
        level: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, LogError>;

/// Sets the log up. A log that is set up already stays as it is.
pub(crate) fn init(settings: &daemon::LogSettings) -> Result<()> {
    let level = settings.level.parse::<log::LevelFilter>();
    let level = level.map_err(|_| LogError::Level {
        level: settings.level.clone(),
    })?;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("sardinepaddle", level)
        .format(|out, message, record| {
            let stamp = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{stamp} {:<5} {message}", record.level()));
        })
        .chain(std::io::stderr());
    // Several daemons may share one process, in the demo for one.
    let _ = dispatch.apply();
    Ok(())
}

/// Writes a line for something that the state machine noted.
pub(crate) fn write_note(host: &model::ids::HostId, note: &action::NodeNote) {
    match note {
        action::NodeNote::ConfigInForce { version } => {
            log::info!(target: "sardinepaddle", "config: [{host}] version {} in force", version.0);
        }
        action::NodeNote::MemberChanged {
            host: member,
            state,
        } => {
            log::info!(target: "sardinepaddle", "member: [{host}] {member} is {state:?}");
        }
        action::NodeNote::Rejoined { incarnation } => {
            log::warn!(target: "sardinepaddle", "member: [{host}] was away, rejoined as {:x}", incarnation.0);
        }
        action::NodeNote::KeeperOpened { endpoint } => {
            log::info!(target: "sardinepaddle", "grant: [{host}] keeps {endpoint}");
        }
        action::NodeNote::KeeperClosed { endpoint } => {
            log::info!(target: "sardinepaddle", "grant: [{host}] gave {endpoint} up");
        }
        action::NodeNote::EngineCold { endpoint } => {
            log::warn!(target: "sardinepaddle", "grant: [{host}] {endpoint} started anew");
        }
        action::NodeNote::StreamReclaimed { attempt } => {
            log::info!(target: "sardinepaddle", "reclaim: [{host}] cancels {attempt} of a dead daemon");
        }
        action::NodeNote::AttemptLost { attempt, endpoint } => {
            log::info!(target: "sardinepaddle", "retry: [{host}] {attempt} lost on {endpoint}");
        }
        action::NodeNote::Draining => log::info!(target: "sardinepaddle", "drain: [{host}] begun"),
    }
}
