//! Conversions between durations and fractional milliseconds.

use std::time;

/// Longest duration returned by [`to_duration`], ms: about eleven days, above every timeout.
const MAX_DURATION_MS: f64 = 1e9;

/// Converts milliseconds to a duration; a negative value becomes zero.
///
/// ```
/// use sardinepaddle_model::millis;
/// use std::time::Duration;
///
/// assert_eq!(millis::to_duration(1.5), Duration::from_micros(1_500));
/// assert_eq!(millis::to_duration(-1.0), Duration::ZERO);
/// assert_eq!(millis::from_duration(millis::to_duration(250.0)), 250.0);
/// ```
pub fn to_duration(ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(ms.clamp(0.0, MAX_DURATION_MS) / 1_000.0)
}

/// Converts a duration to milliseconds.
pub fn from_duration(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns the Unix time in milliseconds, or zero if the wall clock is set before 1970.
///
/// ```
/// assert!(sardinepaddle_model::millis::since_epoch() > 1_700_000_000_000);
/// ```
pub fn since_epoch() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |duration| {
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    })
}
