//! Monotonic time in whole milliseconds.

use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

/// A timestamp of a daemon's monotonic clock, in milliseconds since an arbitrary origin.
///
/// ```
/// use std::time::Duration;
/// use sardinepaddle_model::time::MonoTime;
/// let start = MonoTime::from_millis(40);
/// assert_eq!(start + Duration::from_millis(2), MonoTime::from_millis(42));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Creates a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for MonoTime {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}
