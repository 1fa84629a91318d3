//! Keeps requests on which endpoints crash from running: gathers the evidence, and applies what is
//! quarantined.

use crate::crashes;
use crate::health;
use crate::job;
use crate::prompt_search;
use crate::quarantine;
use crate::state;

/// The evidence of crashes and the quarantined causes.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashGuard {
    pub tracker: crashes::CrashTracker,
    quarantines: quarantine::QuarantineList,
}

impl CrashGuard {
    /// Replaces the quarantined causes, each given with the time for which it remains so, ms.
    pub fn set_quarantines(&mut self, now: f64, listed: &[(quarantine::CrashCause, f64)]) {
        self.quarantines = quarantine::QuarantineList::new(now, listed);
        self.update_tracker();
    }

    /// Returns the time for which requests with these features are declined, ms.
    pub fn quarantined_ms(&self, now: f64, features: &quarantine::RequestFeatures) -> Option<f64> {
        self.quarantines.remaining_ms(now, features)
    }

    fn update_tracker(&mut self) {
        let ended = self.quarantines.ended().to_vec();
        let causes = self.quarantines.causes();
        self.tracker.set_quarantined(causes, ended);
    }

    /// Records what the end of a job shows about crashes of endpoints.
    pub fn record_outcome(&mut self, now: f64, job: &state::PlacedJob, outcome: &job::JobOutcome) {
        let tracker = &mut self.tracker;
        match outcome.signal {
            health::HealthSignal::Success => {
                tracker.record_response(now, &job.primary, job.placed_at);
                tracker.record_sound(now, &job.features);
            }
            _ if outcome.responded => {
                tracker.record_response(now, &job.primary, job.placed_at);
                tracker.record_sound(now, &job.features);
            }
            health::HealthSignal::Failed if outcome.at_fault.is_none() => {
                let (placed_at, started_at) = (job.placed_at, job.started_at);
                let features = &job.features;
                tracker.record_break(now, &job.primary, placed_at, started_at, features);
            }
            health::HealthSignal::Unreachable if outcome.at_fault.is_none() => {
                tracker.record_end(&job.primary);
            }
            _ => {}
        }
    }

    /// Ends quarantines whose time is over, and decides on crashes that all daemons have reported.
    pub fn settle(&mut self, now: f64, jobs: &prompt_search::PlacedJobs) {
        if self.quarantines.expire(now) {
            self.update_tracker();
        }
        let written_features = || {
            let is_written = |job: &&state::PlacedJob| {
                let started_at = job.started_at.unwrap_or(now);
                now - started_at >= crashes::BEGIN_MS
            };
            let written = jobs.values().filter(is_written);
            written.flat_map(|job| job.features.iter()).collect()
        };
        self.tracker.tick(now, written_features);
    }

    /// Whether a request may crash endpoints, and an identical one still has to show whether it does.
    pub fn awaits_repeat(
        &self,
        now: f64,
        request: &job::PlacementRequest,
        jobs: &prompt_search::PlacedJobs,
    ) -> bool {
        let Some(digest) = request.digest else {
            return false;
        };
        let tracker = &self.tracker;
        if !tracker.is_suspected(digest) && !self.quarantines.has_ended(now, digest) {
            return false;
        }
        if tracker.is_in_unsettled_crash(digest) {
            return true;
        }
        let is_undecided = |job: &state::PlacedJob| {
            let started_at = job.started_at.unwrap_or(now);
            job.features.digest == Some(digest) && now - started_at < crashes::BEGIN_MS
        };
        jobs.values().any(is_undecided)
    }
}
