//! Messages between daemons over jsonrpsee.
//!
//! Messages are one way and may be lost; the state machine repeats what matters. One
//! connection carries the messages to one peer, several in a call when they queue up; what the
//! peer answers at once comes back in the reply, so that no second connection is needed. A call
//! without a reply in time closes its connection, so that a silent one is soon replaced.

pub mod links;
pub mod server;
pub mod traffic;

mod stream;
