//! Clients of the platform: the object API and the host list.

pub mod client;
pub mod traffic;
pub mod wire;
