//! Estimates how much slower an engine is than its configured profile.

/// Weight of the newest prompt in the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Upper limit of the factor, also of a single prompt: its engine may have had work that the placer
/// hasn't placed.
const MAX_FACTOR: f64 = 6.0;
/// Time in which the factor's distance from one halves without new prompts, ms: an engine that was
/// too slow to get requests is thus tried again.
const HALF_LIFE_MS: f64 = 4_000.0;

/// The slowdown factor of one engine: one if it is as fast as its profile, two if it takes twice as
/// long.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlowdown {
    factor: f64,
    updated_at: f64,
}

impl Default for EngineSlowdown {
    fn default() -> Self {
        Self {
            factor: 1.0,
            updated_at: 0.0,
        }
    }
}

impl EngineSlowdown {
    /// Records the predicted and the actual time of a prompt that the engine prefilled alone.
    ///
    /// ```
    /// let mut slowdown = sardinepaddle_pool::slowdown::EngineSlowdown::default();
    /// for prompt in 0..20 {
    ///     slowdown.record(f64::from(prompt), 50.0, 200.0);
    /// }
    /// assert!(slowdown.factor(20.0) > 3.0);
    /// ```
    pub fn record(&mut self, now: f64, predicted_ms: f64, actual_ms: f64) {
        let relative_time = (actual_ms / predicted_ms.max(1.0)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let previous = self.factor(now);
        // The predicted time already includes the previous factor.
        let factor = previous * (1.0 + SAMPLE_WEIGHT * (relative_time - 1.0));
        self.factor = factor.clamp(1.0, MAX_FACTOR);
        self.updated_at = now;
    }

    /// Returns the factor at `now`.
    pub fn factor(&self, now: f64) -> f64 {
        if self.factor == 1.0 {
            return 1.0;
        }
        let halvings = (now - self.updated_at).max(0.0) / HALF_LIFE_MS;
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(halvings)
    }
}
