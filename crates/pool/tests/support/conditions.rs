//! What engines of a simulated load can do as time goes on, and where its clients are.

/// The speed and the places of engines, and the data centre of requests, by time in ms.
#[derive(Clone, Copy, Debug)]
pub struct LoadConditions {
    /// Factor by which an engine is slower than its profile.
    pub slowdown: fn(engine: usize, at: f64) -> f64,
    /// Requests that an engine takes at most; it rejects others.
    pub places: fn(engine: usize, at: f64) -> usize,
    /// Data centre of the daemon that submits a request.
    pub centre: fn(request: usize, at: f64) -> &'static str,
}

impl Default for LoadConditions {
    fn default() -> Self {
        Self {
            slowdown: |_, _| 1.0,
            places: |_, _| usize::MAX,
            centre: |_, _| "a",
        }
    }
}
