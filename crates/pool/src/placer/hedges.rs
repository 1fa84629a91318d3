//! Second attempts beside slow ones, as [`JobPlacer`] places them.

use std::collections;

use model::ids;

use crate::engine;
use crate::health;
use crate::hedge;
use crate::job;
use crate::placer::JobPlacer;
use crate::prompt_search;
use crate::state;

/// Number of late endpoints in a data centre from which the path to it counts as slow.
const MIN_LATE_ENDPOINTS: usize = 3;

impl JobPlacer {
    /// Sets how much extra work hedges may cause.
    pub fn set_hedge_limits(&mut self, limits: hedge::HedgeLimits) {
        self.hedges.set_limits(limits);
    }

    /// Returns the state of all hedges.
    pub fn hedges(&self) -> &hedge::HedgeTable {
        &self.hedges
    }

    /// Returns and clears the hedges that were refused since the last call.
    pub fn take_hedge_refusals(&mut self) -> Vec<(job::JobId, hedge::HedgeRefusal)> {
        std::mem::take(&mut self.hedge_refusals)
    }

    /// Decides at once on an attempt beside another one of the same request. A refusal leaves the
    /// first attempt as it is.
    pub(super) fn submit_hedge(
        &mut self,
        now: f64,
        job: job::JobId,
        request: job::PlacementRequest,
    ) {
        self.advance(now);
        let waiting = self.assess(now, job, request);
        let scored_plan = match self.accept_hedge(now, &waiting) {
            Ok(scored_plan) => scored_plan,
            Err(refusal) => {
                self.hedge_refusals.push((job, refusal));
                self.decline(job, decline_reason(refusal));
                return;
            }
        };
        self.take_plan(now, &waiting, scored_plan);
    }

    fn accept_hedge(
        &mut self,
        now: f64,
        waiting: &state::WaitingRequest,
    ) -> hedge::Result<prompt_search::ScoredPlan> {
        let request = &waiting.request;
        let is_pressed = self
            .queue
            .iter()
            .any(|other| other.request.service == request.service);
        let first = self.first_attempt(waiting.job.incarnation, request);
        let proposal = hedge::HedgeProposal {
            is_suspected: request
                .digest
                .is_some_and(|digest| self.crash_guard.is_suspected(now, digest)),
            waiting: usize::from(is_pressed),
            first_remaining_ms: first.map(|first| self.remaining_ms(now, first)),
            second_predicted_ms: None,
            extra_ms: self.extra_work_ms(request),
        };
        let slow_centre = first.and_then(|first| self.slow_centre(now, first));
        let scored_plan = self.hedge_plan(now, waiting, slow_centre.as_ref());
        let second_predicted_ms = scored_plan.as_ref().map(|scored| scored.plan.predicted_ms);
        let service = &request.service;
        self.hedges.decide(
            now,
            service,
            &hedge::HedgeProposal {
                second_predicted_ms,
                ..proposal
            },
        )?;
        let scored_plan = scored_plan.ok_or(hedge::HedgeRefusal::Pressure)?;
        match request.is_budgeted || self.try_retry(now, waiting.job, request) {
            true => Ok(scored_plan),
            false => Err(hedge::HedgeRefusal::RetryBudget),
        }
    }

    /// Returns the attempt beside which a hedge would run: that of the same daemon and request that
    /// uses the excluded endpoints and hasn't responded.
    fn first_attempt(
        &self,
        incarnation: u64,
        request: &job::PlacementRequest,
    ) -> Option<&state::PlacedJob> {
        let mut jobs = self.jobs.iter();
        let first = jobs.find(|(id, job)| {
            id.incarnation == incarnation
                && job.service == request.service
                && request.digest.is_some()
                && job.features.digest == request.digest
                && job.started_at.is_none()
                && request.excluded.contains(&job.primary.0)
        });
        first.map(|(_, job)| job)
    }

    /// Returns the time until the first event or response of a job that has none yet, ms.
    fn remaining_ms(&self, now: f64, job: &state::PlacedJob) -> f64 {
        let predicted_ms = predicted_latency_ms(job);
        let elapsed_ms = now - job.placed_at;
        let forecast_ms = predicted_ms - elapsed_ms;
        let usual_ms = self
            .hedges
            .remaining_ms(&job.service, elapsed_ms, predicted_ms);
        usual_ms.max(forecast_ms)
    }

    /// Returns the data centre of a late attempt if other endpoints there are late as well, so that
    /// the path may be slow.
    fn slow_centre(&self, now: f64, first: &state::PlacedJob) -> Option<ids::CentreId> {
        let centre_of = |job: &state::PlacedJob| {
            let state = self.endpoints.get(&job.primary.0);
            state.map(|state| state.live.centre.clone())
        };
        let centre = centre_of(first)?;
        let late = self.jobs.values().filter(|job| {
            let after_ms = self
                .hedges
                .after_ms(&job.service, predicted_latency_ms(job));
            job.started_at.is_none() && after_ms.is_some_and(|after| now > job.placed_at + after)
        });
        let late = late.filter(|job| centre_of(job).as_ref() == Some(&centre));
        let endpoints: collections::BTreeSet<_> = late.map(|job| &job.primary.0).collect();
        (endpoints.len() >= MIN_LATE_ENDPOINTS).then_some(centre)
    }

    /// Returns a plan for a hedge, outside of a data centre if one is given and others have room.
    fn hedge_plan(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        slow_centre: Option<&ids::CentreId>,
    ) -> Option<prompt_search::ScoredPlan> {
        let min_gain = self.min_gain(now, waiting);
        let elsewhere = slow_centre.and_then(|centre| {
            let mut moved = waiting.clone();
            let there = self.available(&waiting.request.service);
            let there = there.filter(|(_, state)| state.live.centre == *centre);
            moved
                .request
                .excluded
                .extend(there.map(|(id, _)| id.clone()));
            self.best_plan(now, &moved, min_gain).ok().flatten()
        });
        elsewhere.or_else(|| self.best_plan(now, waiting, min_gain).ok().flatten())
    }

    /// Returns the work of a second attempt until it responds, ms; one of the two ends then.
    fn extra_work_ms(&self, request: &job::PlacementRequest) -> f64 {
        let engine = self.services.get(&request.service);
        let engine = engine.and_then(|profile| profile.engine.as_ref());
        match (request.kind, engine) {
            (job::JobKind::Prompt { tokens, .. }, Some(profile)) => {
                engine::work_ms(profile, tokens, 0)
            }
            _ => self.call_planner.mean_ms(&request.service),
        }
    }

    /// Records the work of a placed request.
    pub(super) fn record_work(&mut self, now: f64, waiting: &state::WaitingRequest) {
        let request = &waiting.request;
        let service = &request.service;
        match request.is_hedge {
            true => {
                let extra_ms = self.extra_work_ms(request);
                self.hedges.record_hedge(now, service, extra_ms);
            }
            false => self.hedges.record_request(now, service, waiting.work_ms),
        }
    }

    /// Records how long the first event of a prompt, or a call, took.
    pub(super) fn record_latency(&mut self, now: f64, id: job::JobId) {
        if let Some(job) = self.jobs.get(&id) {
            let (latency_ms, predicted_ms) = (now - job.placed_at, predicted_latency_ms(job));
            self.hedges
                .record_latency(now, &job.service, latency_ms, predicted_ms);
        }
    }

    /// Records how long a job took that ended without a first event: a call, or an attempt that took
    /// longer than predicted, also if another one was faster.
    pub(super) fn record_end_of_hedged(
        &mut self,
        now: f64,
        id: job::JobId,
        outcome: &job::JobOutcome,
    ) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.started_at.is_none()) else {
            return;
        };
        if !self.hedges.is_enabled(&job.service) {
            return;
        }
        let (predicted_ms, elapsed_ms) = (predicted_latency_ms(job), now - job.placed_at);
        let is_call = job.kind == job::JobKind::Call;
        let is_known = match outcome.signal {
            health::HealthSignal::Success => is_call,
            health::HealthSignal::Inconclusive | health::HealthSignal::TimedOut => {
                elapsed_ms > predicted_ms
            }
            _ => false,
        };
        if !is_known {
            return;
        }
        // An engine that always loses would never show that it is slow.
        let has_lost = self.has_other_attempt(id, job);
        let is_slow = has_lost && job.members.len() == 1 && !is_call;
        let endpoint = job.primary.0.clone();
        self.record_latency(now, id);
        if let Some(state) = self.endpoints.get_mut(&endpoint).filter(|_| is_slow) {
            state.slowdown.record(now, predicted_ms, elapsed_ms);
        }
    }

    fn has_other_attempt(&self, id: job::JobId, job: &state::PlacedJob) -> bool {
        let mut jobs = self.jobs.iter();
        jobs.any(|(other_id, other)| {
            *other_id != id
                && other_id.incarnation == id.incarnation
                && other.features.digest.is_some()
                && other.features.digest == job.features.digest
        })
    }
}

/// Returns the predicted time from the placement of a job to its first event or response, ms.
fn predicted_latency_ms(job: &state::PlacedJob) -> f64 {
    job.predicted_first_event_at + state::ONE_WAY_LATENCY_MS - job.placed_at
}

/// Returns the reason that a daemon is told; builds without hedges know no other reasons.
fn decline_reason(refusal: hedge::HedgeRefusal) -> job::DeclineReason {
    match refusal {
        hedge::HedgeRefusal::Limit | hedge::HedgeRefusal::RetryBudget => {
            job::DeclineReason::RetryBudget
        }
        hedge::HedgeRefusal::Suspected => job::DeclineReason::Quarantined,
        hedge::HedgeRefusal::Pressure
        | hedge::HedgeRefusal::NotEarlier
        | hedge::HedgeRefusal::NoFirstAttempt => job::DeclineReason::Overloaded,
    }
}
