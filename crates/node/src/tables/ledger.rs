//! A keeper's account of the endpoints that it grants.

use std::collections;
use std::time::Duration;

use model::ids;
use model::load;
use model::request;
use model::time;

/// One grant that has not been returned.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingGrant {
    pub class: request::SizeClass,
    pub tokens: u64,
    pub granted_at: time::MonoTime,
    /// When it was given back although the endpoint may still run its attempt.
    pub released_at: Option<time::MonoTime>,
}

/// For how long some share of the voters has named this daemon the keeper without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CoordinatorTerm {
    started_at: Option<time::MonoTime>,
    confirmed_until: time::MonoTime,
}

impl CoordinatorTerm {
    /// Notes whether the voters name this daemon now. A gap of up to `resume` is no gap.
    pub fn record(&mut self, now: time::MonoTime, named: bool, resume: Duration) {
        if !named {
            return;
        }
        if self.started_at.is_none() || now.since(self.confirmed_until) > resume {
            self.started_at = Some(now);
        }
        self.confirmed_until = now;
    }

    /// Begin of the span that holds at `now`.
    pub fn started_at(&self, now: time::MonoTime) -> Option<time::MonoTime> {
        self.started_at.filter(|_| self.confirmed_until >= now)
    }
}

/// What the voters of an endpoint said.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoteRecord {
    /// The voters.
    pub voters: Vec<ids::HostId>,
    /// When each voter was asked that said yes last.
    pub votes: collections::BTreeMap<ids::HostId, time::MonoTime>,
    pub next_ask_at: time::MonoTime,
    /// When somebody last wanted the endpoint.
    pub last_requested_at: time::MonoTime,
    /// Term by more than half of the voters.
    pub majority: CoordinatorTerm,
    /// Term by half of the voters or more.
    pub half: CoordinatorTerm,
}

/// Account of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLedger {
    /// Earliest time of the first grant.
    pub first_grant_at: time::MonoTime,
    /// Whether the endpoint reports its load.
    pub reports_load: bool,
    /// Last load reported, and when it was asked for.
    pub load: Option<load::EngineLoad>,
    /// The engine's life by its last report, kept while it does not report.
    pub engine_incarnation: Option<u64>,
    pub load_requested_at: time::MonoTime,
    /// When the report that has not come yet was asked for.
    pub pending_load_requested_at: Option<time::MonoTime>,
    pub next_load_at: time::MonoTime,
    /// Requests that the endpoint has earned the right to carry.
    pub concurrency_limit: u32,
    /// Finished requests towards the next rise of `carry`.
    pub finished_since_rise: u32,
    /// When the endpoint refused or broke off last.
    pub failed_at: Option<time::MonoTime>,
    pub votes: VoteRecord,
    pub grants: collections::BTreeMap<ids::AttemptId, OutstandingGrant>,
}

impl EndpointLedger {
    /// Streams on the engine that no grant here accounts for.
    fn untracked_streams(&self) -> impl Iterator<Item = &load::EngineStream> {
        let streams = self
            .load
            .as_ref()
            .map(|load| load.streams.as_slice())
            .unwrap_or_default();
        streams
            .iter()
            .filter(|stream| !self.grants.contains_key(&stream.attempt))
    }

    /// Requests that the endpoint is taken to carry.
    pub fn used_slots(&self) -> u32 {
        let count = self.grants.len() + self.untracked_streams().count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Tokens of memory that the endpoint is taken to hold.
    pub fn used_tokens(&self) -> u64 {
        let held = self.grants.values().map(|hold| hold.tokens).sum::<u64>();
        held + self
            .untracked_streams()
            .map(|stream| stream.tokens)
            .sum::<u64>()
    }

    /// Slots and tokens held by long requests.
    pub fn long_request_usage(&self) -> ResourceAmount {
        let mut space = ResourceAmount {
            slots: 0,
            tokens: 0,
        };
        for hold in self.grants.values() {
            if hold.class == request::SizeClass::Long {
                space.slots += 1;
                space.tokens += hold.tokens;
            }
        }
        space
    }
}

/// Slots and tokens of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ResourceAmount {
    pub slots: u32,
    pub tokens: u64,
}

/// Accounts of all endpoints that this daemon keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct LedgerTable {
    pub ledgers: collections::BTreeMap<ids::EndpointId, EndpointLedger>,
    /// Membership generation and configuration version that the table was made for.
    pub role_inputs: Option<RoleInputs>,
}

/// What the division of roles rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RoleInputs {
    pub generation: u64,
    pub version: model::config::ConfigVersion,
}
