//! Monotonic clock that counts milliseconds since the start of the process.

use std::time::Instant;

use model::millis;

/// Measures the time since its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start, ms.
    pub fn now(&self) -> f64 {
        millis::from_duration(self.origin.elapsed())
    }
}
