//! A daemon behind the users' platform: accepts client requests, carries out the decisions of
//! [`pool`], and stays in sync with the store and the other daemons.
//!
//! All work runs on one thread, as hosts have only a fraction of a core.

pub mod byte_account;
pub mod compression;
pub mod followers;
pub mod message;
pub mod run;
pub mod sockets;
pub mod sse;

mod attempt;
mod client_stream;
mod clock;
mod course;
mod forward;
mod frontend;
mod links;
mod logs;
mod metrics;
mod monitoring;
mod quarantine_store;
mod reach;
mod relay;
mod request;
mod reservations;
mod response;
mod retry_permit;
mod shutdown;
mod state;
mod store_cache;
mod store_sync;
mod upstream;
