//! The daemon: accepts client requests, drives the state machine and executes its actions.
//!
//! Where, when and whether a request runs is decided by the `node` crate alone.

pub mod args;
pub mod run;

mod admin;
mod attempts;
mod clock;
mod connections;
mod driver;
mod frontend;
mod intake;
mod logs;
mod metrics;
mod request_channel;
mod responses;
mod shared;
mod traffic;
mod watch;
