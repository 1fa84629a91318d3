//! Clients of the platform (the object API and the host list), the writer of the configuration,
//! and operators' calls to daemons.

pub mod client;
pub mod daemons;
pub mod traffic;
pub mod trail;
pub mod wire;
pub mod writer;
