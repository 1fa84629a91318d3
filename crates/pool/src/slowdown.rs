//! Estimates how much slower an engine is than its configured profile.
//!
//! Evidence is the time of each first event, of whole prompts and of those that several engines
//! share, and the absence of an event that is overdue. Small prompts show whether an engine has
//! recovered, and which of the engines that shared a late prompt was slow; large ones go where the
//! speed is known.

/// Weight of a prompt that took as long as predicted, or a little longer or shorter.
const USUAL_WEIGHT: f64 = 0.1;
/// Weight of a prompt whose time is beyond the usual error of predictions.
const UNUSUAL_WEIGHT: f64 = 0.4;
/// Share of the time in which a first event is overdue that counts while it is still missing.
const OVERDUE_WEIGHT: f64 = 0.5;
/// Factor up to which a time is within the usual error of predictions.
const USUAL_ERROR_FACTOR: f64 = 1.4;
/// Difference up to which it is, whatever the factor, ms: about two one-way latencies.
const USUAL_ERROR_MS: f64 = 15.0;
/// Upper limit of the factor, also of a single prompt: its engine may have had work that the placer
/// hasn't placed.
const MAX_FACTOR: f64 = 6.0;
/// Time in which the factor's distance from one halves without new prompts, ms: an engine that no
/// small prompt tries is thus used again.
const HALF_LIFE_MS: f64 = 10_000.0;
/// The same for large prompts, which don't try engines.
const CAUTIOUS_HALF_LIFE_MS: f64 = 60_000.0;
/// Time for which a prompt on time clears an engine of delays that it shares with others, ms.
const CLEARED_MS: f64 = 1_500.0;
/// Time after which an engine that was slow is tried again, ms.
const RETRIAL_MS: f64 = 6_000.0;
/// Slowdown from which it is.
const MIN_RETRIAL_FACTOR: f64 = 1.3;
/// Time for which a delay that it shares with others makes an engine suspect, ms.
const MAX_SUSPICION_MS: f64 = 5_000.0;
/// Age from which evidence no longer tells the speed of an engine, ms.
const MAX_EVIDENCE_AGE_MS: f64 = 3_000.0;

/// The slowdown factor of one engine: one if it is as fast as its profile, two if it takes twice as
/// long.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlowdown {
    factor: f64,
    /// Time of the newest evidence, ms; `None` if there was none.
    updated_at: Option<f64>,
    /// Time of the last prompt on time, ms.
    on_time_at: Option<f64>,
    /// Factor that would explain a delay that it shares with others, and the time of that, ms.
    suspected: Option<(f64, f64)>,
}

/// The time of a first event compared with its prediction.
#[derive(Clone, Copy, Debug)]
pub struct SpeedSample {
    /// Factor that the prediction assumed.
    pub assumed_factor: f64,
    /// Predicted time, ms.
    pub predicted_ms: f64,
    /// Actual time, ms, or the time without an event so far.
    pub actual_ms: f64,
}

impl SpeedSample {
    /// Returns the factor that would have predicted the time.
    fn factor(&self) -> f64 {
        let relative_time = self.actual_ms / self.predicted_ms.max(1.0);
        (self.assumed_factor * relative_time).clamp(1.0, MAX_FACTOR)
    }

    /// Whether the time is longer than the usual error of predictions explains.
    pub fn is_late(&self) -> bool {
        let predicted_ms = self.predicted_ms.max(1.0);
        self.actual_ms > (predicted_ms * USUAL_ERROR_FACTOR).max(predicted_ms + USUAL_ERROR_MS)
    }
}

impl Default for EngineSlowdown {
    fn default() -> Self {
        Self {
            factor: 1.0,
            updated_at: None,
            on_time_at: None,
            suspected: None,
        }
    }
}

impl EngineSlowdown {
    /// Records a first event of a prompt that `suspects` engines may have delayed, this one
    /// included. Of several, each is suspected until a prompt of its own shows how fast it is.
    ///
    /// ```
    /// use sardinepaddle_pool::slowdown;
    /// let mut slowdown = slowdown::EngineSlowdown::default();
    /// for prompt in 0..4 {
    ///     let sample = slowdown::SpeedSample {
    ///         assumed_factor: 1.0, predicted_ms: 50.0, actual_ms: 200.0 };
    ///     slowdown.record(f64::from(prompt), &sample, 1);
    /// }
    /// assert!(slowdown.factor(4.0) > 3.0);
    /// // It is tried again with a small prompt.
    /// assert!(!slowdown.needs_trial(1_000.0, 1.0) && slowdown.needs_trial(7_000.0, 1.0));
    /// ```
    pub fn record(&mut self, now: f64, sample: &SpeedSample, suspects: usize) {
        let factor = sample.factor();
        let previous = self.decayed(now, CAUTIOUS_HALF_LIFE_MS);
        let is_late = sample.is_late();
        if is_late && suspects > 1 {
            if factor > previous {
                let suspected = self.suspected_factor(now).max(factor);
                self.suspected = Some((suspected, now));
            }
            return;
        }
        let is_unusual = is_late || factor < previous / USUAL_ERROR_FACTOR;
        let weight = if is_unusual {
            UNUSUAL_WEIGHT
        } else {
            USUAL_WEIGHT
        };
        self.factor = (previous * (factor / previous).powf(weight)).clamp(1.0, MAX_FACTOR);
        self.updated_at = Some(now);
        self.suspected = None;
        if !is_late {
            self.on_time_at = Some(now);
        }
    }

    /// Records that the first event of a prompt that the engine prefills alone is still missing.
    pub fn record_overdue(&mut self, now: f64, sample: &SpeedSample) {
        let least_factor = sample.factor().powf(OVERDUE_WEIGHT);
        if sample.is_late() && least_factor > self.factor(now) {
            self.factor = least_factor;
            self.updated_at = Some(now);
        }
    }

    /// Records that the first event of a prompt that the engine shares with others is still missing.
    pub fn record_shared_overdue(&mut self, now: f64, sample: &SpeedSample) {
        let factor = sample.factor();
        if sample.is_late() && factor > self.cautious_factor(now, 1.0) {
            self.suspected = Some((factor, now));
        }
    }

    /// Whether a prompt that was on time clears it of the delay of another one that was placed at
    /// `placed_at` and that it shares with others.
    pub fn is_cleared(&self, now: f64, placed_at: f64) -> bool {
        let cleared_from = placed_at.min(now - CLEARED_MS);
        self.on_time_at.is_some_and(|at| at >= cleared_from)
    }

    /// Returns the age of the newest evidence, ms; `None` if there was none.
    pub fn evidence_age_ms(&self, now: f64) -> Option<f64> {
        self.updated_at.map(|at| now - at)
    }

    /// Whether evidence of the last seconds tells its speed.
    pub fn is_known(&self, now: f64) -> bool {
        self.updated_at
            .is_some_and(|at| now - at <= MAX_EVIDENCE_AGE_MS)
    }

    /// Returns the factor at `now`.
    pub fn factor(&self, now: f64) -> f64 {
        self.decayed(now, HALF_LIFE_MS)
    }

    fn decayed(&self, now: f64, half_life_ms: f64) -> f64 {
        if self.factor == 1.0 {
            return 1.0;
        }
        let age_ms = (now - self.updated_at.unwrap_or(now)).max(0.0);
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(age_ms / half_life_ms)
    }

    /// Returns the factor at `now` for work that is too large to try a slow engine with. An engine
    /// whose speed isn't known has at least `usual_factor`, that of the others.
    pub fn cautious_factor(&self, now: f64, usual_factor: f64) -> f64 {
        let factor = self.decayed(now, CAUTIOUS_HALF_LIFE_MS);
        let factor = factor.max(self.suspected_factor(now));
        match self.is_known(now) {
            true => factor,
            false => factor.max(usual_factor),
        }
    }

    fn suspected_factor(&self, now: f64) -> f64 {
        match self.suspected {
            Some((factor, at)) if now - at <= MAX_SUSPICION_MS => factor,
            _ => 1.0,
        }
    }

    /// Whether a small prompt should show how fast it is: it is suspected, was slow when it was last
    /// seen, or isn't known while engines are slower by `usual_factor`.
    pub fn needs_trial(&self, now: f64, usual_factor: f64) -> bool {
        let age_ms = now - self.updated_at.unwrap_or(now);
        let may_be_slow = self.cautious_factor(now, usual_factor) >= MIN_RETRIAL_FACTOR;
        let is_due = match self.factor(now) >= MIN_RETRIAL_FACTOR {
            true => age_ms >= RETRIAL_MS,
            false => !self.is_known(now),
        };
        self.suspected_factor(now) > 1.0 || may_be_slow && is_due
    }
}
