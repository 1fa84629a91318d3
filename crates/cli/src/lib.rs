//! The operators' command.

pub mod cmd;

mod change;
mod connect;
mod demo;
mod error;
mod load;
mod output;
mod questions;
mod report;
mod stand_ins;
