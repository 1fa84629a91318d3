//! The steady clock, as milliseconds since the start of the process.

use std::time::Instant;

/// Reads time since the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteadyClock {
    origin: Instant,
}

impl SteadyClock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1_000.0
    }
}
