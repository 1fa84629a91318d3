//! Clients of model engines and plain services.
//!
//! Every attempt goes over a connection of its own: whether bytes of a request have left is
//! then never in doubt, and no connection that went silent while idle is ever used.

pub mod client;
pub mod plain;
pub mod wire;

mod connect;
