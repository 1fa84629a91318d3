//! Stand-ins of the platform for the scripts of the third review: its store, runners and clients.
//! They use the standard library only.

pub mod daemon;
pub mod http;
pub mod link;
pub mod record;
pub mod runner;
pub mod store;
