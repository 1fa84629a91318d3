//! A keeper's account of the endpoints that it grants.

use std::collections;
use std::time::Duration;

use model::ids;
use model::load;
use model::request;
use model::time;

/// One grant that has not been returned.
#[derive(Clone, Debug)]
pub(crate) struct GrantHold {
    pub class: request::SizeClass,
    pub tokens: u64,
    pub granted_at: time::MonoTime,
    /// When it was given back although the endpoint may still run its attempt.
    pub released_at: Option<time::MonoTime>,
}

/// For how long some share of the voters has named this daemon the keeper without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TermSpan {
    since: Option<time::MonoTime>,
    held_to: time::MonoTime,
}

impl TermSpan {
    /// Notes whether the voters name this daemon now. A gap of up to `resume` is no gap.
    pub fn note(&mut self, now: time::MonoTime, named: bool, resume: Duration) {
        if !named {
            return;
        }
        if self.since.is_none() || now.since(self.held_to) > resume {
            self.since = Some(now);
        }
        self.held_to = now;
    }

    /// Begin of the span that holds at `now`.
    pub fn begin(&self, now: time::MonoTime) -> Option<time::MonoTime> {
        self.since.filter(|_| self.held_to >= now)
    }
}

/// What the voters of an endpoint said.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoteRecord {
    /// The voters.
    pub panel: Vec<ids::HostId>,
    /// When each voter was asked that said yes last.
    pub votes: collections::BTreeMap<ids::HostId, time::MonoTime>,
    pub next_ask_at: time::MonoTime,
    /// When somebody last wanted the endpoint.
    pub wanted_at: time::MonoTime,
    /// Term by more than half of the voters.
    pub majority: TermSpan,
    /// Term by half of the voters or more.
    pub half: TermSpan,
}

/// Account of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLedger {
    /// Earliest time of the first grant.
    pub ready_at: time::MonoTime,
    /// Whether the endpoint reports its load.
    pub reports_load: bool,
    /// Last load reported, and when it was asked for.
    pub load: Option<load::EngineLoad>,
    /// The engine's life by its last report, kept while it does not report.
    pub life: Option<u64>,
    pub load_asked_at: time::MonoTime,
    /// When the report that has not come yet was asked for.
    pub load_pending: Option<time::MonoTime>,
    pub next_load_at: time::MonoTime,
    /// Requests that the endpoint has earned the right to carry.
    pub carry: u32,
    /// Finished requests towards the next rise of `carry`.
    pub earned: u32,
    /// When the endpoint refused or broke off last.
    pub failed_at: Option<time::MonoTime>,
    pub votes: VoteRecord,
    pub holds: collections::BTreeMap<ids::AttemptId, GrantHold>,
}

impl EndpointLedger {
    /// Streams on the engine that no grant here accounts for.
    fn foreign_streams(&self) -> impl Iterator<Item = &load::EngineStream> {
        let streams = self
            .load
            .as_ref()
            .map(|load| load.streams.as_slice())
            .unwrap_or_default();
        streams
            .iter()
            .filter(|stream| !self.holds.contains_key(&stream.attempt))
    }

    /// Requests that the endpoint is taken to carry.
    pub fn used_slots(&self) -> u32 {
        let count = self.holds.len() + self.foreign_streams().count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Tokens of memory that the endpoint is taken to hold.
    pub fn used_tokens(&self) -> u64 {
        let held = self.holds.values().map(|hold| hold.tokens).sum::<u64>();
        held + self
            .foreign_streams()
            .map(|stream| stream.tokens)
            .sum::<u64>()
    }

    /// Slots and tokens held by long requests.
    pub fn long_use(&self) -> SpaceUse {
        let mut space = SpaceUse {
            slots: 0,
            tokens: 0,
        };
        for hold in self.holds.values() {
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
pub(crate) struct SpaceUse {
    pub slots: u32,
    pub tokens: u64,
}

/// Accounts of all endpoints that this daemon keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct LedgerTable {
    pub ledgers: collections::BTreeMap<ids::EndpointId, EndpointLedger>,
    /// Membership generation and configuration version that the table was made for.
    pub made_for: Option<RoleBasis>,
}

/// What the division of roles rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RoleBasis {
    pub generation: u64,
    pub version: model::config::ConfigVersion,
}
