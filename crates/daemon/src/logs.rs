//! The log: short lines with a fixed prefix for each part.

use model::ids;
use model::outcome;
use model::request;
use node::action;
use settings::daemon;

use crate::shared;

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

/// Writes a line for a request taken in: names and sizes, nothing of its content.
pub(crate) fn write_arrival(head: &request::RequestMetadata) {
    let request::RequestMetadata {
        id,
        service,
        customer,
        ..
    } = head;
    log::debug!(target: "sardinepaddle", "request: {id} arrived for {service} from {customer}, {}", head.class());
}

/// Writes a line for the end of a request.
pub(crate) fn write_outcome(request: ids::RequestId, outcome: &outcome::RequestOutcome) {
    let name = shared::outcome_name(outcome);
    match shared::reason_name(outcome) {
        Some(reason) => {
            log::debug!(target: "sardinepaddle", "request: {request} {name}: {reason}");
        }
        None => log::debug!(target: "sardinepaddle", "request: {request} {name}"),
    }
}

/// Writes a line for something that the state machine noted.
pub(crate) fn write_note(host: &ids::HostId, note: &action::LogRecord) {
    match note {
        action::LogRecord::ConfigInForce { version } => {
            log::info!(target: "sardinepaddle", "config: [{host}] version {} in force", version.0);
        }
        action::LogRecord::MemberChanged {
            host: member,
            state,
        } => {
            log::info!(target: "sardinepaddle", "member: [{host}] {member} is {state:?}");
        }
        action::LogRecord::Rejoined { incarnation } => {
            log::warn!(target: "sardinepaddle", "member: [{host}] was away, rejoined as {:x}", incarnation.0);
        }
        action::LogRecord::CoordinationStarted { endpoint } => {
            log::info!(target: "sardinepaddle", "grant: [{host}] keeps {endpoint}");
        }
        action::LogRecord::CoordinationEnded { endpoint } => {
            log::info!(target: "sardinepaddle", "grant: [{host}] gave {endpoint} up");
        }
        action::LogRecord::EngineCold { endpoint } => {
            log::warn!(target: "sardinepaddle", "grant: [{host}] {endpoint} started anew");
        }
        action::LogRecord::StreamReclaimed { attempt } => {
            log::info!(target: "sardinepaddle", "reclaim: [{host}] {} attempt {} of a dead daemon is cancelled", attempt.request, attempt.number);
        }
        action::LogRecord::AttemptLost { attempt, endpoint } => {
            log::info!(target: "sardinepaddle", "retry: [{host}] {} attempt {} lost on {endpoint}", attempt.request, attempt.number);
        }
        action::LogRecord::Draining => log::info!(target: "sardinepaddle", "drain: [{host}] begun"),
    }
}
