//! A daemon behind the users' platform: takes callers' requests in, carries out what
//! [`pool`] decides, and keeps up with the store and the other daemons.
//!
//! One thread does all work, as hosts have a fraction of a core.

pub mod compression;
pub mod followers;
pub mod message;
pub mod run;
pub mod sockets;
pub mod sse;

mod clock;
mod frontend;
mod links;
mod logs;
mod metrics;
mod monitoring;
mod relay;
mod request;
mod reservations;
mod response;
mod state;
mod store_cache;
mod store_sync;
mod upstream;
