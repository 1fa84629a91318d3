//! What the placer keeps of endpoints and requests.

use std::collections;

use model::ids;
use model::serving;

use crate::job;
use crate::trouble;
use crate::value;

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
    /// When all reading that was placed here is done.
    pub read_free_at: f64,
    pub memory_used: u64,
    pub jobs: Vec<job::JobId>,
    pub trouble: trouble::TroubleScore,
    pub sends: collections::VecDeque<f64>,
}

/// What a placed request takes of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct MemberShare {
    pub endpoint: ids::EndpointId,
    pub read_ms: f64,
    /// Time that a token of its part takes, ms: longer prompts have more pairs a token.
    pub token_ms: f64,
    pub read_until: f64,
    pub memory: u64,
}

/// A request that was placed and is not over.
#[derive(Clone, Debug)]
pub(crate) struct PlacedJob {
    pub service: ids::ServiceId,
    pub shape: job::JobShape,
    pub value: f64,
    pub placed_at: f64,
    pub objective_at: f64,
    pub pause_ms: f64,
    pub gone_at: f64,
    pub first_event_at: f64,
    pub started: bool,
    /// Chance that it is late already, by its first event or by a pause.
    pub lost: f64,
    /// Chance that its caller gives up for a pause.
    pub cut: f64,
    /// Pause at which its caller gives up, ms.
    pub patience_ms: f64,
    pub context: u64,
    pub members: Vec<MemberShare>,
}

/// A request that waits for a place.
#[derive(Clone, Debug)]
pub(crate) struct WaitingAsk {
    pub job: job::JobId,
    pub ask: job::PlaceAsk,
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
    pub fn new(live: serving::LiveEndpoint, now: f64) -> Self {
        Self {
            live,
            listed: true,
            closed: false,
            read_free_at: now,
            memory_used: 0,
            jobs: Vec::new(),
            trouble: trouble::TroubleScore::default(),
            sends: collections::VecDeque::new(),
        }
    }

    /// Whether it may get new work.
    pub fn takes_work(&self) -> bool {
        self.listed && !self.closed && !self.live.leaving
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
    /// Reading placed on its engine, done at `read_free_at`, that falls into its generation, ms.
    pub fn pending_ms(&self, now: f64, read_free_at: f64) -> f64 {
        let read = self.members.first().map_or(now, |share| share.read_until);
        let from = if self.started { now } else { read.max(now) };
        (read_free_at - from).max(0.0)
    }

    /// Worth that it loses if it gets late.
    pub fn at_stake(&self) -> f64 {
        self.value * (1.0 - value::LATE_SHARE) * (1.0 - self.lost)
    }

    /// Worth that is left if it is late, and lost if its caller gives up.
    pub fn rest_at_stake(&self) -> f64 {
        self.value * value::LATE_SHARE * (1.0 - self.cut)
    }
}
