//! The operators' command.

pub mod cmd;

mod demo;
mod error;
mod load;
mod report;
mod stand_ins;
