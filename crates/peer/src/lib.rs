//! Messages between daemons over jsonrpsee.
//!
//! Messages are one-way and may be lost; the state machine resends those that matter. Each peer
//! has one outgoing connection, and messages that are queued for it are batched into one call.
//! Messages with which the peer responds immediately are returned in the reply to the call, so
//! that no second connection is needed. If a call gets no reply in time, its connection is closed
//! and replaced, so that an unresponsive one is not used for long.

pub mod links;
pub mod server;
pub mod traffic;

mod stream;
