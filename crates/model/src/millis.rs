//! Times in milliseconds.

use std::time;

/// Longest time that is made a span, ms: some eleven days, over each time limit.
const LONGEST_MS: f64 = 1e9;

/// A span of so many milliseconds; none if that is negative.
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
    time::Duration::from_secs_f64(ms.clamp(0.0, LONGEST_MS) / 1_000.0)
}

/// Milliseconds of a span.
pub fn from_duration(span: time::Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Milliseconds since 1970 by the wall clock; zero if it stands before that.
///
/// ```
/// assert!(sardinepaddle_model::millis::since_epoch() > 1_700_000_000_000);
/// ```
pub fn since_epoch() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
