//! Probabilities that a request ends late or is abandoned, and the value it is expected to earn.

use crate::passes;
use crate::state;
use crate::value;

/// Error that a prediction may have, as a share of the limit. The probability of an overrun rises
/// from zero at two errors below the limit to one at the limit.
const PREDICTION_ERROR: f64 = 0.12;

/// Probabilities that a request misses its objective or loses its client.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobRisk {
    /// Probability that its first event or a gap between events misses the objective.
    pub late: f64,
    /// Probability that its client disconnects before the response is complete.
    pub abandoned: f64,
}

impl JobRisk {
    /// Predicts the risk of a placed request from the forecast of one of its engines; never lower
    /// than `job.risk`, the risk predicted before.
    pub fn predict(now: f64, job: &state::PlacedJob, forecast: &passes::JobForecast) -> Self {
        let mut risk = job.risk.max(Self::from_gaps(
            forecast.longest_pass_ms,
            job.gap_objective_ms,
            job.abandon_after_ms,
        ));
        if let Some(prefilled_at) = forecast.prefilled_at.filter(|_| job.started_at.is_none()) {
            let first_event_ms =
                prefilled_at.max(job.predicted_first_event_at) + state::ONE_WAY_LATENCY_MS - now;
            let client_leaves_at = job.deadline_at.min(job.placed_at + job.abandon_after_ms);
            risk = risk.max(Self {
                late: overrun_probability(first_event_ms, job.objective_at - now),
                abandoned: overrun_probability(first_event_ms, client_leaves_at - now),
            });
        }
        risk
    }

    /// Returns the risk of a request whose events come once per pass of `pass_ms`.
    pub fn from_gaps(pass_ms: f64, gap_objective_ms: f64, abandon_after_ms: f64) -> Self {
        let probability = |limit_ms: f64| match limit_ms > 0.0 {
            true => overrun_probability(pass_ms, limit_ms),
            false => 0.0,
        };
        Self {
            late: probability(gap_objective_ms),
            abandoned: probability(abandon_after_ms),
        }
    }

    /// Returns the higher of both probabilities in each field.
    pub fn max(self, other: Self) -> Self {
        Self {
            late: self.late.max(other.late),
            abandoned: self.abandoned.max(other.abandoned),
        }
    }

    /// Returns the expected share of its value that the request earns.
    pub fn expected_share(self) -> f64 {
        (1.0 - self.abandoned) * (1.0 - self.late * (1.0 - value::LATE_VALUE_SHARE))
    }
}

/// Returns the probability that something takes longer than a limit, given its predicted time.
pub(crate) fn overrun_probability(predicted_ms: f64, limit_ms: f64) -> f64 {
    let limit_ms = limit_ms.max(1.0);
    let lower_ms = limit_ms * (1.0 - 2.0 * PREDICTION_ERROR);
    ((predicted_ms - lower_ms) / (limit_ms - lower_ms)).clamp(0.0, 1.0)
}
