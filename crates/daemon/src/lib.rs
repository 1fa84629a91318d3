//! The daemon: takes callers' requests in, drives the state machine and carries out its actions.
//!
//! Nothing here decides where, when or whether a request runs.

pub mod args;
pub mod run;

mod admin;
mod attempts;
mod caller;
mod clock;
mod driver;
mod edge;
mod front;
mod intake;
mod logs;
mod metrics;
mod reply;
mod shared;
mod traffic;
mod watch;
