//! The operators' command.

pub mod cmd;

mod demo;
mod error;
mod report;
