//! HTTP clients of model engines and plain services.
//!
//! Every attempt opens its own connection. An attempt that fails to connect has therefore certainly
//! not been sent, and a connection that broke silently while idle is never reused.

pub mod client;
pub mod plain;
pub mod wire;

mod connect;
