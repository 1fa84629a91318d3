//! Log output: short lines, each with the fixed prefix of its subsystem.

use model::ids;
use model::outcome;
use model::request;
use node::action;
use settings::daemon;

use crate::shared;

/// Error while setting up the log.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum LogError {
    /// Unknown log level.
    #[error("log level {level:?} is not one of off, error, warn, info, debug, trace")]
    Level {
        /// Value of the setting.
        level: String,
    },
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, LogError>;

/// Sets up the log. Has no effect if the process has set one up already.
pub(crate) fn init(settings: &daemon::LogSettings) -> Result<()> {
    let level = settings.level.parse::<log::LevelFilter>();
    let level = level.map_err(|_| LogError::Level {
        level: settings.level.clone(),
    })?;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("sardinepaddle", level)
        .format(|out, message, record| {
            let timestamp = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{timestamp} {:<5} {message}", record.level()));
        })
        .chain(std::io::stderr());
    // Several daemons may share one process, for example in the demo.
    let _ = dispatch.apply();
    Ok(())
}

/// Logs the arrival of a request: its id, service, customer and size class, never its content.
pub(crate) fn write_arrival(metadata: &request::RequestMetadata) {
    let request::RequestMetadata {
        id,
        service,
        customer,
        ..
    } = metadata;
    log::debug!(target: "sardinepaddle", "request: {id} arrived for {service} from {customer}, {}", metadata.class());
}

/// Logs the outcome of a request.
pub(crate) fn write_outcome(request: ids::RequestId, outcome: &outcome::RequestOutcome) {
    let name = shared::outcome_name(outcome);
    match shared::reason_name(outcome) {
        Some(reason) => {
            log::debug!(target: "sardinepaddle", "request: {request} {name}: {reason}");
        }
        None => log::debug!(target: "sardinepaddle", "request: {request} {name}"),
    }
}

/// Logs a record emitted by the state machine.
pub(crate) fn write_record(host: &ids::HostId, record: &action::LogRecord) {
    match record {
        action::LogRecord::ConfigInForce { version } => {
            log::info!(target: "sardinepaddle", "config: [{host}] version {} is in force", version.0);
        }
        action::LogRecord::MemberChanged {
            host: member,
            state,
        } => {
            log::info!(target: "sardinepaddle", "member: [{host}] {member} is {state:?}");
        }
        action::LogRecord::Rejoined { incarnation } => {
            log::warn!(target: "sardinepaddle", "member: [{host}] rejoined as incarnation {:x} after a process pause", incarnation.0);
        }
        action::LogRecord::CoordinationStarted { endpoint } => {
            log::info!(target: "sardinepaddle", "grant: [{host}] became coordinator of {endpoint}");
        }
        action::LogRecord::CoordinationEnded { endpoint } => {
            log::info!(target: "sardinepaddle", "grant: [{host}] stopped coordinating {endpoint}");
        }
        action::LogRecord::EngineCold { endpoint } => {
            log::warn!(target: "sardinepaddle", "grant: [{host}] {endpoint} restarted");
        }
        action::LogRecord::StreamReclaimed { attempt } => {
            log::info!(target: "sardinepaddle", "reclaim: [{host}] cancelling {} attempt {} of a dead daemon", attempt.request, attempt.number);
        }
        action::LogRecord::AttemptLost { attempt, endpoint } => {
            log::info!(target: "sardinepaddle", "retry: [{host}] {} attempt {} was lost on {endpoint}", attempt.request, attempt.number);
        }
        action::LogRecord::Draining => {
            log::info!(target: "sardinepaddle", "drain: [{host}] started")
        }
    }
}
