//! What the placer keeps of endpoints and requests.

use std::collections;

use model::ids;
use model::serving;

use crate::health;
use crate::job;
use crate::load;
use crate::passes;
use crate::slowdown;

/// Time on the network between a daemon and an endpoint, one way, with a daemon's own time, ms.
pub(crate) const ONE_WAY_MS: f64 = 6.0;

/// Share of an engine's memory that is given out; the rest covers answers longer than guessed.
const MEMORY_SHARE: f64 = 0.95;

/// Tokens of an engine's memory that are given out.
pub(crate) fn given_memory(profile: &serving::EngineProfile) -> u64 {
    (profile.memory_tokens as f64 * MEMORY_SHARE) as u64
}

/// An endpoint, and what was placed there.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub live: serving::LiveEndpoint,
    pub listed: bool,
    pub closed: bool,
    /// What it does, if it is a model engine.
    pub passes: passes::PassModel,
    pub slowdown: slowdown::EngineSlowdown,
    pub memory_used: u64,
    pub jobs: Vec<job::JobId>,
    pub health: health::EndpointHealth,
    pub sends: collections::VecDeque<f64>,
}

/// What a placed request takes of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct MemberShare {
    pub endpoint: ids::EndpointId,
    /// What it reads there; `None` for a plain call.
    pub part: Option<passes::PrefillPart>,
    pub memory: u64,
}

/// A request that was placed and is not over.
#[derive(Clone, Debug)]
pub(crate) struct PlacedJob {
    pub service: ids::ServiceId,
    pub kind: job::JobKind,
    pub value: f64,
    pub placed_at: f64,
    pub objective_at: f64,
    pub gap_objective_ms: f64,
    pub gone_at: f64,
    pub first_event_at: f64,
    pub started: bool,
    /// What it is to expect from what was placed so far.
    pub outlook: load::JobOutlook,
    /// Pause at which its caller gives up, ms.
    pub abandon_after_ms: f64,
    pub members: Vec<MemberShare>,
}

/// A request that waits for a place.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub job: job::JobId,
    pub request: job::PlacementRequest,
    pub value: f64,
    /// Share of what it costs others that counts; see `JobPlacer::cost_share`.
    pub cost_share: f64,
    pub asked_at: f64,
    pub objective_at: f64,
    pub gone_at: f64,
    /// Time to the first event on idle endpoints, ms.
    pub best_ms: f64,
}

impl EndpointState {
    /// One on which nothing was placed.
    pub fn new(live: serving::LiveEndpoint) -> Self {
        Self {
            live,
            listed: true,
            closed: false,
            passes: passes::PassModel::default(),
            slowdown: slowdown::EngineSlowdown::default(),
            memory_used: 0,
            jobs: Vec::new(),
            health: health::EndpointHealth::default(),
            sends: collections::VecDeque::new(),
        }
    }

    /// Whether it may get new work.
    pub fn takes_work(&self) -> bool {
        self.listed && !self.closed && !self.live.leaving
    }

    /// Whether it can generate for one more request, or help to read its prompt.
    pub fn has_slot(&self) -> bool {
        let slots = self.live.slots as usize;
        let generating = self.passes.generating();
        generating < slots && self.jobs.len() - generating.min(self.jobs.len()) < slots
    }

    /// Requests sent to it after a time.
    pub fn sends_since(&self, since: f64) -> f64 {
        let recent = self.sends.iter().rev().take_while(|at| **at > since);
        recent.count() as f64
    }

    /// Tokens of memory that may yet be given out.
    pub fn memory_free(&self, profile: &serving::EngineProfile) -> u64 {
        given_memory(profile).saturating_sub(self.memory_used)
    }

    /// It as a member of a plan.
    pub fn member(&self, reserve_tokens: u64) -> job::PlanMember {
        job::PlanMember {
            endpoint: self.live.id.clone(),
            address: self.live.address,
            reserve_tokens,
        }
    }
}

impl PlacedJob {
    /// Worth that it loses if one engine does as forecast `after` instead of `before`.
    pub fn loss(&self, now: f64, before: &passes::JobForecast, after: &passes::JobForecast) -> f64 {
        let share = |forecast| load::JobOutlook::foretell(now, self, forecast).earned_share();
        self.value * (share(before) - share(after))
    }
}
