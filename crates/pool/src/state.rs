//! The placer's state of endpoints and requests.

use std::collections;

use model::ids;
use model::serving;

use crate::crashes;
use crate::health;
use crate::job;
use crate::passes;
use crate::quarantine;
use crate::risk;
use crate::slowdown;

/// One-way latency between a daemon and an endpoint, with the daemon's processing time, ms.
pub(crate) const ONE_WAY_LATENCY_MS: f64 = 6.0;

/// Time for which a request may wait past its objective, as a share of the objective.
const LATE_WAIT_SHARE: f64 = 0.1;
/// Time for which a request may wait that was past its objective when it came, as a share of the
/// objective.
const LATE_RETURN_WAIT_SHARE: f64 = 0.15;

/// Share of an engine's memory that the placer allocates; the rest covers responses that are longer
/// than estimated.
const ALLOCATABLE_SHARE: f64 = 0.95;

/// Returns the tokens of an engine's memory that the placer may allocate.
pub(crate) fn allocatable_memory(profile: &serving::EngineProfile) -> u64 {
    (profile.memory_tokens as f64 * ALLOCATABLE_SHARE) as u64
}

/// An endpoint and the jobs placed on it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub live: serving::LiveEndpoint,
    /// Whether the current endpoint list contains it.
    pub listed: bool,
    /// Whether its data centre is closed to new requests.
    pub centre_closed: bool,
    /// Prediction of its passes; unused unless it is a model engine.
    pub pass_model: passes::PassModel,
    pub slowdown: slowdown::EngineSlowdown,
    /// Tokens of memory allocated to its jobs.
    pub used_memory: u64,
    pub jobs: Vec<job::JobId>,
    /// Gap objectives of the requests that it generates for, ms; zero for those that have none.
    gap_objectives: Vec<(job::JobId, f64)>,
    pub health: health::EndpointHealth,
    /// Times of the requests sent to it: of the last one, and of those in the second before it.
    pub send_times: collections::VecDeque<f64>,
}

/// The resources that a placed request uses on one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct MemberUsage {
    pub endpoint: ids::EndpointId,
    /// Part of the prompt that the endpoint prefills; `None` for a plain call.
    pub part: Option<passes::PrefillPart>,
    pub memory_tokens: u64,
}

/// A request that was placed and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct PlacedJob {
    pub service: ids::ServiceId,
    pub kind: job::JobKind,
    pub value: f64,
    pub placed_at: f64,
    pub objective_at: f64,
    pub gap_objective_ms: f64,
    pub deadline_at: f64,
    pub predicted_first_event_at: f64,
    /// Time of the first event, if there was one.
    pub started_at: Option<f64>,
    /// Highest risk predicted since the placement; set anew by the first event.
    pub risk: risk::JobRisk,
    /// Time without an event after which the client disconnects, ms.
    pub abandon_after_ms: f64,
    pub members: Vec<MemberUsage>,
    /// Incarnation of the endpoint that generates the response.
    pub primary: crashes::EndpointIncarnation,
    /// What it has in common with other requests.
    pub features: quarantine::RequestFeatures,
}

/// A request that has not been placed yet.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub job: job::JobId,
    pub request: job::PlacementRequest,
    pub value: f64,
    /// Weight of its costs when plans are compared; see `JobPlacer::cost_weight`.
    pub cost_weight: f64,
    /// Value per ms of its weighed cost on idle endpoints.
    pub value_density: f64,
    pub submitted_at: f64,
    pub objective_at: f64,
    pub deadline_at: f64,
    /// Time to its first event on idle endpoints, ms.
    pub min_latency_ms: f64,
    /// Engine time that it takes, or time in a slot of a plain service, ms.
    pub work_ms: f64,
    /// How far its customer is above its share; zero while customers have no shares.
    pub excess: f64,
    /// Lane of its route in the queue.
    pub lane: usize,
    /// Whether it couldn't be on time when it was submitted, so that it may be late.
    pub is_late: bool,
    /// Whether its client was refused before and returns at the time that it was told.
    pub returned: bool,
}

impl WaitingRequest {
    /// Returns the time at which its first event must come for it to be worth serving.
    pub fn useful_until(&self) -> f64 {
        let client_leaves_at = self.submitted_at + self.request.abandon_after_ms;
        let least = self.deadline_at.min(client_leaves_at);
        match self.is_late {
            true => least,
            false => {
                let late_wait_ms = LATE_WAIT_SHARE * self.request.full_objective_ms;
                least.min(self.objective_at + late_wait_ms)
            }
        }
    }

    /// Returns whether no plan can serve it any more, or it has waited too long for one.
    pub fn is_unservable(&self, now: f64) -> bool {
        let late_wait_ms = LATE_RETURN_WAIT_SHARE * self.request.full_objective_ms;
        let waited_too_long = self.is_late && now > self.submitted_at + late_wait_ms;
        waited_too_long || now + self.min_latency_ms > self.useful_until()
    }
}

impl EndpointState {
    /// Creates the state of an endpoint without jobs.
    pub fn new(live: serving::LiveEndpoint) -> Self {
        Self {
            live,
            listed: true,
            centre_closed: false,
            pass_model: passes::PassModel::default(),
            slowdown: slowdown::EngineSlowdown::default(),
            used_memory: 0,
            jobs: Vec::new(),
            gap_objectives: Vec::new(),
            health: health::EndpointHealth::default(),
            send_times: collections::VecDeque::new(),
        }
    }

    /// Returns whether the placer may send it new requests.
    pub fn accepts_work(&self) -> bool {
        self.listed && !self.centre_closed && !self.live.leaving
    }

    /// Returns whether a request may be placed on it: both the requests that it generates for and
    /// the other requests placed on it must be fewer than its slots.
    pub fn has_free_slot(&self) -> bool {
        let slots = self.live.slots as usize;
        let generating = self.pass_model.generating_count();
        generating < slots && self.jobs.len() - generating.min(self.jobs.len()) < slots
    }

    /// Adds a job; `gap_objective_ms` is given if the endpoint generates its response.
    pub fn add_job(&mut self, job: job::JobId, gap_objective_ms: Option<f64>) {
        self.jobs.push(job);
        let gap_objective = gap_objective_ms.map(|gap_ms| (job, gap_ms));
        self.gap_objectives.extend(gap_objective);
    }

    /// Removes a job that has ended.
    pub fn remove_job(&mut self, job: job::JobId) {
        self.jobs.retain(|other| *other != job);
        self.gap_objectives.retain(|(other, _)| *other != job);
    }

    /// Records that a request is sent to it.
    pub fn record_send(&mut self, now: f64) {
        self.send_times.push_back(now);
        let is_over = |at: &f64| *at < now - 1_000.0;
        while self.send_times.front().is_some_and(is_over) {
            self.send_times.pop_front();
        }
    }

    /// Returns the shortest gap objective of the requests that it generates for, ms; `f64::MAX` if
    /// there are none, zero if one of them has no such objective.
    pub fn shortest_gap_ms(&self) -> f64 {
        let gaps = self.gap_objectives.iter().map(|(_, gap_ms)| *gap_ms);
        gaps.fold(f64::MAX, f64::min)
    }

    /// Returns the tokens of memory that can still be allocated.
    pub fn free_memory(&self, profile: &serving::EngineProfile) -> u64 {
        allocatable_memory(profile).saturating_sub(self.used_memory)
    }

    /// Returns the endpoint as a member of a plan.
    pub fn plan_member(&self, reserve_tokens: u64) -> job::PlanMember {
        job::PlanMember {
            endpoint: self.live.id.clone(),
            address: self.live.address,
            reserve_tokens,
        }
    }
}

impl PlacedJob {
    /// Returns the expected value lost if one of its engines follows forecast `after` instead of
    /// `before`.
    pub fn value_loss(
        &self,
        now: f64,
        before: &passes::JobForecast,
        after: &passes::JobForecast,
    ) -> f64 {
        let expected_share =
            |forecast| risk::JobRisk::predict(now, self, forecast).expected_share();
        self.value * (expected_share(before) - expected_share(after))
    }
}
