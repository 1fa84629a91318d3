//! Tracks the health of endpoints from the outcomes of attempts.

use serde::{Deserialize, Serialize};

/// What the outcome of an attempt shows about its endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HealthSignal {
    /// It gave a complete, valid response.
    Success,
    /// It refused the request because it is full.
    Full,
    /// It couldn't be reached, or its address now belongs to another endpoint.
    Unreachable,
    /// It sent nothing within the time limit.
    TimedOut,
    /// It closed the connection early, failed, or sent an invalid response.
    Failed,
    /// The outcome shows nothing, for example because the client disconnected.
    Inconclusive,
}

/// First backoff of an endpoint that couldn't be reached or timed out, ms: a crashed one restarts
/// within seconds.
const INITIAL_BACKOFF_MS: f64 = 500.0;
/// Longest backoff, ms; the endpoint gets requests again after it.
const MAX_BACKOFF_MS: f64 = 4_000.0;
/// Weight of the newest attempt in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Time in which the failure rate halves without new attempts, ms.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Failure rate and backoff of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failure_rate: f64,
    updated_at: f64,
    backoff_ms: f64,
    backoff_until: f64,
}

impl EndpointHealth {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: f64, signal: HealthSignal) {
        let sample = match signal {
            HealthSignal::Success => 0.0,
            HealthSignal::Unreachable | HealthSignal::TimedOut => {
                let backoff_over = now >= self.backoff_until;
                if backoff_over {
                    let doubled_ms = (self.backoff_ms * 2.0).max(INITIAL_BACKOFF_MS);
                    self.backoff_ms = doubled_ms.min(MAX_BACKOFF_MS);
                    self.backoff_until = now + self.backoff_ms;
                }
                1.0
            }
            HealthSignal::Failed => 1.0,
            // What it can take is the matter of [`crate::capacity`].
            HealthSignal::Full | HealthSignal::Inconclusive => return,
        };
        if signal == HealthSignal::Success {
            self.backoff_ms = 0.0;
            self.backoff_until = self.backoff_until.min(now);
        }
        let rate = self.failure_rate(now);
        self.failure_rate = rate + SAMPLE_WEIGHT * (sample - rate);
        self.updated_at = now;
    }

    /// Returns the expected share of attempts that fail.
    pub fn failure_rate(&self, now: f64) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let halvings = (now - self.updated_at).max(0.0) / HALF_LIFE_MS;
        self.failure_rate * 0.5_f64.powf(halvings)
    }

    /// Returns whether the endpoint must get no requests now.
    pub fn is_backed_off(&self, now: f64) -> bool {
        now < self.backoff_until
    }
}
