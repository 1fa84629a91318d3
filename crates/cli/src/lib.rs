//! The operators' command.

pub mod cmd;

mod change;
mod connect;
mod demo;
mod error;
mod output;
mod questions;
mod report;
