//! Decides where, when and whether requests run on a pool of endpoints shared by many daemons.
//!
//! The crate has no clock, sockets or tasks: the caller passes in the time, in ms of its own clock,
//! and all events, and carries out the decisions. One daemon at a time, chosen by its rank among
//! the listed daemons, places requests for all. Any other daemon can take over, as the daemons
//! report their running requests to it.

pub mod attempts;
pub mod budget;
pub mod crashes;
pub mod engine;
pub mod grace;
pub mod health;
pub mod hedge;
pub mod holds;
pub mod job;
pub mod limits;
pub mod outage;
pub mod passes;
pub mod placer;
pub mod quarantine;
pub mod queue;
pub mod quiet;
pub mod rank;
pub mod replica;
pub mod reserve;
pub mod routes;
pub mod shares;
pub mod slowdown;
pub mod value;

mod calls;
mod cold;
mod crash_guard;
mod drain;
mod members;
mod prompt_search;
mod risk;
mod state;
