//! Decision logic of a sardinepaddle daemon as a deterministic state machine.
//!
//! The machine has no clock, socket, thread or entropy source of its own. A driver passes in the
//! time and a [`event::NodeEvent`], and performs the [`action::NodeAction`]s that are returned.
//! The same seed and sequence of events always give the same sequence of actions.
//!
//! ```
//! use model::ids::{CentreId, HostId};
//! use model::time::MonoTime;
//! use sardinepaddle_node::{event::NodeEvent, machine::NodeMachine, settings::NodeBuilder};
//!
//! let address = "127.0.0.1:7001".parse().unwrap();
//! let settings = NodeBuilder::new(HostId::new("a1"), CentreId::new("amman-marka"), address)
//!     .seed(7)
//!     .build();
//! let mut machine = NodeMachine::new(settings, MonoTime::default());
//! let actions = machine.step(MonoTime::from_millis(50), NodeEvent::Tick);
//! assert!(!actions.is_empty());
//! ```

pub mod action;
pub mod event;
pub mod machine;
pub mod settings;
pub mod stats;

mod state;
mod systems;
mod tables;
