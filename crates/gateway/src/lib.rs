//! A daemon behind the users' platform: takes callers' requests in, carries out what
//! [`pool`] decides, and keeps up with the store and the other daemons.
//!
//! One thread does all work, as hosts have a fraction of a core.

pub mod events;
pub mod followers;
pub mod message;
pub mod packing;
pub mod run;
pub mod sockets;

mod answer;
mod clock;
mod feeds;
mod front;
mod knowledge;
mod links;
mod logs;
mod metrics;
mod ports;
mod relay;
mod request;
mod reservations;
mod upstream;
mod world;
