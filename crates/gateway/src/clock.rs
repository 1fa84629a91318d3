//! The steady clock, as milliseconds since the start of the process.

use std::time::Instant;

use model::millis;

/// Reads time since the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        millis::from_duration(self.origin.elapsed())
    }
}
