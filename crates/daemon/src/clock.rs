//! Monotonic clock.

use std::time::Duration;

use model::time;

/// Monotonic clock that counts milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeClock {
    origin: tokio::time::Instant,
}

impl NodeClock {
    pub fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    pub fn now(&self) -> time::MonoTime {
        let millis = self.origin.elapsed().as_millis();
        time::MonoTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Converts a time of this clock to a Tokio instant.
    pub fn instant(&self, at: time::MonoTime) -> tokio::time::Instant {
        self.origin + Duration::from_millis(at.as_millis())
    }
}
