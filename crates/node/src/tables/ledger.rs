//! A coordinator's ledger of the endpoints for which it issues grants.

use std::collections;
use std::time::Duration;

use model::ids;
use model::load;
use model::request;
use model::time;

/// A grant that has not been returned, or whose attempt may still run.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingGrant {
    pub class: request::SizeClass,
    pub tokens: u64,
    pub granted_at: time::MonoTime,
    /// Time at which the grant was returned although the endpoint may still run its attempt.
    pub released_at: Option<time::MonoTime>,
}

/// Period during which a given share of the voters has voted for this daemon as coordinator
/// without interruption.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CoordinatorTerm {
    started_at: Option<time::MonoTime>,
    confirmed_until: time::MonoTime,
}

impl CoordinatorTerm {
    /// Extends the term if the vote is won now. A gap of up to `max_gap` doesn't interrupt it.
    pub fn record(&mut self, now: time::MonoTime, is_won: bool, max_gap: Duration) {
        if !is_won {
            return;
        }
        if self.started_at.is_none() || now.since(self.confirmed_until) > max_gap {
            self.started_at = Some(now);
        }
        self.confirmed_until = now;
    }

    /// Returns the start of the term if it still holds at `now`.
    pub fn started_at(&self, now: time::MonoTime) -> Option<time::MonoTime> {
        self.started_at.filter(|_| self.confirmed_until >= now)
    }
}

/// Votes on the coordinator of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoteRecord {
    /// Daemons that vote on this endpoint.
    pub voters: Vec<ids::HostId>,
    /// Time at which the last vote for this daemon was requested, by voter.
    pub votes: collections::BTreeMap<ids::HostId, time::MonoTime>,
    /// Time of the next vote request.
    pub next_request_at: time::MonoTime,
    /// Time of the last grant request for the endpoint.
    pub last_grant_request_at: time::MonoTime,
    /// Term with votes of more than half of the voters.
    pub majority: CoordinatorTerm,
    /// Term with votes of at least half of the voters.
    pub half: CoordinatorTerm,
}

/// Capacity and outstanding grants of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointLedger {
    /// Time before which no grant is issued, as a previous coordinator's grants may be in use.
    pub first_grant_at: time::MonoTime,
    /// Whether the endpoint reports its load, as engines do.
    pub reports_load: bool,
    /// Last load report; `None` until the next one if the engine stopped reporting.
    pub load: Option<load::EngineLoad>,
    /// The engine's incarnation in its last report, kept while it doesn't report.
    pub engine_incarnation: Option<u64>,
    /// Time at which the last received load report was requested.
    pub load_requested_at: time::MonoTime,
    /// Time at which the outstanding load report was requested.
    pub pending_load_requested_at: Option<time::MonoTime>,
    /// Time of the next request for a load report.
    pub next_load_at: time::MonoTime,
    /// Concurrent requests allowed on the endpoint; rises as requests finish.
    pub concurrency_limit: u32,
    /// Requests finished since the last rise of `concurrency_limit`; reset by failures.
    pub finished_since_rise: u32,
    /// Time at which the endpoint last refused a request or broke one off.
    pub failed_at: Option<time::MonoTime>,
    pub votes: VoteRecord,
    pub grants: collections::BTreeMap<ids::AttemptId, OutstandingGrant>,
}

impl EndpointLedger {
    /// Returns the streams on the engine that belong to no outstanding grant.
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

    /// Returns the estimated number of requests on the endpoint: outstanding grants plus other
    /// streams in its load report.
    pub fn used_slots(&self) -> u32 {
        let count = self.grants.len() + self.untracked_streams().count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the estimated memory in use on the endpoint, in tokens.
    pub fn used_tokens(&self) -> u64 {
        let granted = self.grants.values().map(|grant| grant.tokens).sum::<u64>();
        granted
            + self
                .untracked_streams()
                .map(|stream| stream.tokens)
                .sum::<u64>()
    }

    /// Returns the slots and tokens granted to long requests.
    pub fn long_request_usage(&self) -> ResourceAmount {
        let mut amount = ResourceAmount {
            slots: 0,
            tokens: 0,
        };
        for grant in self.grants.values() {
            if grant.class == request::SizeClass::Long {
                amount.slots += 1;
                amount.tokens += grant.tokens;
            }
        }
        amount
    }
}

/// An amount of an endpoint's slots and memory, free or in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ResourceAmount {
    pub slots: u32,
    pub tokens: u64,
}

/// Ledgers of all endpoints that this daemon coordinates.
#[derive(Clone, Debug, Default)]
pub(crate) struct LedgerTable {
    pub ledgers: collections::BTreeMap<ids::EndpointId, EndpointLedger>,
    /// Inputs from which the set of ledgers was last computed.
    pub role_inputs: Option<RoleInputs>,
}

/// Inputs of the assignment of coordinators to endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RoleInputs {
    /// Membership generation.
    pub generation: u64,
    /// Configuration version.
    pub version: model::config::ConfigVersion,
}
