//! Where, when and whether requests run on a pool of endpoints that many daemons share.
//!
//! Nothing here has a clock, a socket or a task of its own: callers hand in the time and what
//! happened, and carry out what comes back. One daemon at a time places for all others (its
//! rank among the listed daemons says which); any other can take over with what the daemons
//! tell it of their running work.

pub mod attempts;
pub mod budget;
pub mod engine;
pub mod health;
pub mod job;
pub mod passes;
pub mod placer;
pub mod rank;
pub mod replica;
pub mod routes;
pub mod slowdown;
pub mod value;

mod load;
mod members;
mod spread;
mod state;
