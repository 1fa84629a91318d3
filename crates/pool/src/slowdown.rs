//! How much slower an engine is than its figures say.

/// Weight of the newest prompt in the pace.
const PACE_WEIGHT: f64 = 0.1;
/// Most that one prompt counts as; it may have met work that is not known here.
const MOST_RATIO: f64 = 6.0;
/// Time in which a pace halves its distance from one while nothing is heard, ms: an engine that is
/// avoided is tried again.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Pace of one engine: one if it is as fast as its figures, two if it takes twice as long.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlowdown {
    ratio: f64,
    noted_at: f64,
}

impl Default for EngineSlowdown {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            noted_at: 0.0,
        }
    }
}

impl EngineSlowdown {
    /// Takes in a prompt that the engine read alone: the time that was foretold, and that it took.
    ///
    /// ```
    /// let mut slowdown = sardinepaddle_pool::slowdown::EngineSlowdown::default();
    /// for prompt in 0..20 {
    ///     slowdown.record(f64::from(prompt), 50.0, 200.0);
    /// }
    /// assert!(slowdown.factor(20.0) > 3.0);
    /// ```
    pub fn record(&mut self, now: f64, foretold_ms: f64, took_ms: f64) {
        let seen = (took_ms / foretold_ms.max(1.0)).clamp(1.0 / MOST_RATIO, MOST_RATIO);
        let before = self.factor(now);
        // The foretold time has the pace in it already.
        let ratio = before * (1.0 + PACE_WEIGHT * (seen - 1.0));
        self.ratio = ratio.clamp(1.0, MOST_RATIO);
        self.noted_at = now;
    }

    /// The pace now.
    pub fn factor(&self, now: f64) -> f64 {
        let halvings = (now - self.noted_at).max(0.0) / HALF_LIFE_MS;
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(halvings)
    }
}
