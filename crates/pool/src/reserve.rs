//! How long memory reserved on endpoints stays reserved if nothing more is heard of its daemon.

/// Lifetime of a reservation, ms, which bounds how long one remains after its daemon has died.
pub const RESERVATION_TTL_MS: f64 = 3_000.0;
/// Shortest lifetime that is asked for, ms: a few round trips.
const MIN_TTL_MS: f64 = 500.0;
/// Time after the planned release of unused memory in which it has expired at the latest, ms: the
/// users' protocol allows a second.
const EXPIRY_MARGIN_MS: f64 = 700.0;

/// Returns the lifetime to ask for, ms, when a reservation is made or renewed. `release_in_ms` is the
/// time until it is released if no endpoint has begun to use the memory; `None` if it is in use, or
/// waits for its request to the end.
///
/// ```
/// use sardinepaddle_pool::reserve;
/// assert_eq!(reserve::ttl_ms(None), reserve::RESERVATION_TTL_MS);
/// assert_eq!(reserve::ttl_ms(Some(8_000.0)), reserve::RESERVATION_TTL_MS);
/// assert!(reserve::ttl_ms(Some(1_000.0)) < 2_000.0);
/// ```
pub fn ttl_ms(release_in_ms: Option<f64>) -> f64 {
    let unused_ttl_ms = release_in_ms.map_or(f64::MAX, |left_ms| left_ms + EXPIRY_MARGIN_MS);
    unused_ttl_ms.clamp(MIN_TTL_MS, RESERVATION_TTL_MS)
}
