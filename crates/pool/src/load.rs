//! What the requests on an engine lose by more work there.

use crate::passes;
use crate::state;
use crate::value;

/// Share of a bound by which a prediction may be off.
const UNCERTAINTY: f64 = 0.12;

/// Chances that a request ends badly.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobOutlook {
    /// That its first event or one of its pauses is late.
    pub late: f64,
    /// That its caller gives up.
    pub cut: f64,
}

impl JobOutlook {
    /// What a placed request is to expect, by a forecast of the engine that reads or writes it.
    pub fn foretell(now: f64, job: &state::PlacedJob, forecast: &passes::JobForecast) -> Self {
        let mut outlook = job.outlook.worst(Self::of_pauses(
            forecast.longest_pass_ms,
            job.gap_objective_ms,
            job.abandon_after_ms,
        ));
        if let Some(prefilled_at) = forecast.prefilled_at.filter(|_| !job.started) {
            let first = prefilled_at.max(job.first_event_at) + state::ONE_WAY_MS - now;
            let patience = job.gone_at.min(job.placed_at + job.abandon_after_ms);
            outlook = outlook.worst(Self {
                late: chance_over(first, job.objective_at - now),
                cut: chance_over(first, patience - now),
            });
        }
        outlook
    }

    /// What a request that generates in passes of some length is to expect.
    pub fn of_pauses(pass_ms: f64, gap_objective_ms: f64, abandon_after_ms: f64) -> Self {
        let chance = |bound: f64| match bound > 0.0 {
            true => chance_over(pass_ms, bound),
            false => 0.0,
        };
        Self {
            late: chance(gap_objective_ms),
            cut: chance(abandon_after_ms),
        }
    }

    /// The greater chances of two.
    pub fn worst(self, other: Self) -> Self {
        Self {
            late: self.late.max(other.late),
            cut: self.cut.max(other.cut),
        }
    }

    /// Share of its worth that a request is likely to earn.
    pub fn earned_share(self) -> f64 {
        (1.0 - self.cut) * (1.0 - self.late * (1.0 - value::LATE_SHARE))
    }
}

/// Chance that something takes longer than a bound, from its prediction.
pub(crate) fn chance_over(predicted: f64, bound: f64) -> f64 {
    let bound = bound.max(1.0);
    let low = bound * (1.0 - 2.0 * UNCERTAINTY);
    ((predicted - low) / (bound - low)).clamp(0.0, 1.0)
}
