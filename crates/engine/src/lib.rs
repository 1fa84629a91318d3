//! HTTP clients of model engines and plain services.
//!
//! Every attempt opens its own connection. Whether bytes of a request were sent is therefore always
//! known, and a connection that broke silently while idle is never reused.

pub mod client;
pub mod plain;
pub mod wire;

mod connect;
