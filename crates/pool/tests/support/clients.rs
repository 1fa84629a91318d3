//! How the clients of a simulation wait and repeat, and what they saw of the queue.

/// What clients do beyond repeating once after the retry delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehaviour {
    /// Whether they leave after their patience while their request waits for a decision.
    pub leaves_undecided: bool,
    /// One in so many repeats three times at once instead; zero for none.
    pub hasty_one_in: usize,
}

/// Pause of a client that repeats at once, ms.
pub const HASTY_PAUSE_MS: f64 = 20.0;
/// Repeats of such a client.
pub const HASTY_REPEATS: u32 = 3;

impl ClientBehaviour {
    /// Returns whether the client of a request repeats at once.
    pub fn is_hasty(&self, index: usize) -> bool {
        self.hasty_one_in > 0 && index.is_multiple_of(self.hasty_one_in)
    }
}

/// What clients saw of the queue.
#[derive(Clone, Debug, Default)]
pub struct QueueOutcome {
    /// Clients that left before a decision.
    pub abandoned_undecided: u32,
    /// Longest time without a decision past the moment from which the request couldn't be on time,
    /// as a share of its objective.
    pub longest_undecided: f64,
    /// Refused requests whose clients returned at the time told.
    pub returned_in_time: u32,
    /// Those of them that were served.
    pub served_returns: u32,
    /// Longest time from a submission to its refusal, ms, of each refusal.
    pub refusal_waits_ms: Vec<f64>,
    /// Retry delays, ms.
    pub retry_delays_ms: Vec<f64>,
}
