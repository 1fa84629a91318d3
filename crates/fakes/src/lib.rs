//! Stand-ins for what sardinepaddle works with: engines, plain services, the object API, the
//! host list, a fault-injecting proxy, callers, and processes under test.
//!
//! Every stand-in serves real TCP and keeps witnesses of what it saw, which the tests and the
//! demo read instead of asking the daemons.

pub mod args;
pub mod caller;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod plain;
pub mod process;
pub mod proxy;
pub mod scenario;
pub mod store;

mod serve;
