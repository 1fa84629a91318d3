//! Clients of the platform (object API and host list) and of the daemons' admin ports, and the
//! conditional update of the configuration with its audit trail.

pub mod client;
pub mod daemons;
pub mod traffic;
pub mod trail;
pub mod wire;
pub mod writer;
