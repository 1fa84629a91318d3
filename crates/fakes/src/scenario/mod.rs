//! Scripted scenarios: a fleet, a series of steps, and expectations on the witnesses.
//!
//! One YAML file holds one scenario; `docs/SCENARIOS.md` tells its shape.

pub mod check;
pub mod error;
pub mod load;
pub mod names;
pub mod run;
pub mod spec;

mod step;
