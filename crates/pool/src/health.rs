//! What failures say of an endpoint.

use serde::{Deserialize, Serialize};

/// How an attempt went, as far as it says something of its endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HealthSignal {
    /// It answered as it should.
    Success,
    /// It refused, since it is full.
    Full,
    /// It could not be reached, or another endpoint has its address.
    Unreachable,
    /// It went silent on a request.
    TimedOut,
    /// It broke off, failed, or sent something unreadable.
    Failed,
    /// Nothing can be said, as when the caller went away.
    Inconclusive,
}

/// Time for which an endpoint that could not be reached is avoided at first, ms: a crashed one
/// comes back within seconds.
const FIRST_AVOID_MS: f64 = 500.0;
/// Longest time for which it is avoided, ms; it is then tried with one request.
const LONGEST_AVOID_MS: f64 = 4_000.0;
/// Weight of the newest attempt in the share of failures.
const SIGN_WEIGHT: f64 = 0.25;
/// Time in which a share of failures halves while nothing is heard, ms.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Time for which an endpoint that refused as full gets nothing more, ms: about a pass.
const FULL_PAUSE_MS: f64 = 60.0;

/// Failures of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    share: f64,
    share_at: f64,
    avoid_ms: f64,
    avoid_until: f64,
}

impl EndpointHealth {
    /// Takes in how an attempt went.
    pub fn record(&mut self, now: f64, signal: HealthSignal) {
        let failed = match signal {
            HealthSignal::Success => 0.0,
            HealthSignal::Full => {
                self.avoid_until = self.avoid_until.max(now + FULL_PAUSE_MS);
                return;
            }
            HealthSignal::Unreachable | HealthSignal::TimedOut => {
                let again = now >= self.avoid_until;
                if again {
                    let longer = (self.avoid_ms * 2.0).max(FIRST_AVOID_MS);
                    self.avoid_ms = longer.min(LONGEST_AVOID_MS);
                    self.avoid_until = now + self.avoid_ms;
                }
                1.0
            }
            HealthSignal::Failed => 1.0,
            HealthSignal::Inconclusive => return,
        };
        if signal == HealthSignal::Success {
            self.avoid_ms = 0.0;
            self.avoid_until = self.avoid_until.min(now);
        }
        let share = self.failure_rate(now);
        self.share = share + SIGN_WEIGHT * (failed - share);
        self.share_at = now;
    }

    /// Share of attempts that are likely to fail.
    pub fn failure_rate(&self, now: f64) -> f64 {
        let halvings = (now - self.share_at).max(0.0) / HALF_LIFE_MS;
        self.share * 0.5_f64.powf(halvings)
    }

    /// Whether the endpoint is to get nothing now.
    pub fn in_backoff(&self, now: f64) -> bool {
        now < self.avoid_until
    }
}
