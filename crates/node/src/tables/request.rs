//! Requests in flight at this daemon.

use std::collections;

use model::ids;
use model::request as model_request;
use model::time;

/// One request in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub metadata: model_request::RequestMetadata,
    pub arrived_at: time::MonoTime,
    pub phase: RequestPhase,
    /// Chunks of the answer forwarded to the client.
    pub delivered_chunks: u64,
    /// Number of the last attempt for which a grant was requested.
    pub last_attempt: u32,
    /// Number of attempts started.
    pub started_attempts: u32,
    /// Whether bytes of the request may have reached an endpoint.
    pub sent: bool,
    /// Whether bytes sent by an attempt before the current one may have reached an endpoint.
    pub sent_by_earlier_attempt: bool,
    /// Whether a claim is recorded for the request.
    pub claimed: bool,
    /// Whether an earlier call with the same key holds an unsettled claim. That call may or may
    /// not be running.
    pub found_unsettled_claim: bool,
    /// Engines that share the prompt, ordered by name; empty if one engine serves it alone.
    pub engine_set: Vec<SetMember>,
    /// Endpoints without room or that failed, skipped until the next backoff.
    pub excluded_endpoints: Vec<ids::EndpointId>,
}

/// Phase of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestPhase {
    /// Waits until its claim is recorded.
    Claiming {
        owner: ids::HostId,
        requested_at: time::MonoTime,
        tries: usize,
    },
    /// Another request holds the claim; the claim is requested again at `retry_at`.
    ClaimTaken { retry_at: time::MonoTime },
    /// Waits for capacity; a grant is requested no earlier than `retry_at`.
    Queued { retry_at: time::MonoTime },
    /// Has requested a grant from an endpoint's coordinator.
    AwaitingGrant(PendingGrant),
    /// Requests grants for a set of engines, one after the other.
    Reserving,
    /// The engines of the set process their parts of the prompt.
    Preparing,
    /// An attempt runs on an endpoint.
    Running(RunningAttempt),
}

/// A requested grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PendingGrant {
    pub attempt: ids::AttemptId,
    pub endpoint: ids::EndpointId,
    pub coordinator: ids::HostId,
    pub requested_at: time::MonoTime,
}

/// An attempt in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RunningAttempt {
    pub attempt: ids::AttemptId,
    pub endpoint: ids::EndpointId,
    pub coordinator: ids::HostId,
    pub started_at: time::MonoTime,
    pub progressed_at: time::MonoTime,
}

/// One engine of an engine set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SetMember {
    pub attempt: ids::AttemptId,
    pub endpoint: ids::EndpointId,
    pub coordinator: ids::HostId,
    pub part: model_request::PromptPart,
    /// Tokens of memory reserved.
    pub tokens: u64,
    pub state: SetMemberState,
}

/// State of one engine of an engine set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SetMemberState {
    /// No grant is requested yet.
    Planned,
    GrantRequested {
        requested_at: time::MonoTime,
    },
    Granted {
        requested_at: time::MonoTime,
    },
    /// Its part of the prompt was sent to it.
    Sent {
        progressed_at: time::MonoTime,
    },
    /// It has processed its part and holds the result in memory.
    Ready {
        export: model_request::KvExport,
        progressed_at: time::MonoTime,
    },
}

/// All requests in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    pub requests: collections::BTreeMap<ids::RequestId, RequestEntry>,
    pub in_flight_by_customer: collections::BTreeMap<ids::CustomerId, u32>,
}

impl RequestTable {
    pub fn get(&self, request: &ids::RequestId) -> Option<&RequestEntry> {
        self.requests.get(request)
    }

    pub fn get_mut(&mut self, request: &ids::RequestId) -> Option<&mut RequestEntry> {
        self.requests.get_mut(request)
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests in flight for a customer.
    pub fn in_flight_of(&self, customer: &ids::CustomerId) -> u32 {
        self.in_flight_by_customer
            .get(customer)
            .copied()
            .unwrap_or(0)
    }

    pub fn insert(&mut self, entry: RequestEntry) {
        *self
            .in_flight_by_customer
            .entry(entry.metadata.customer.clone())
            .or_default() += 1;
        self.requests.insert(entry.metadata.id, entry);
    }

    pub fn remove(&mut self, request: &ids::RequestId) -> Option<RequestEntry> {
        let entry = self.requests.remove(request)?;
        if let Some(count) = self.in_flight_by_customer.get_mut(&entry.metadata.customer) {
            *count -= 1;
            if *count == 0 {
                self.in_flight_by_customer.remove(&entry.metadata.customer);
            }
        }
        Some(entry)
    }

    /// Returns the request that currently runs `attempt`.
    pub fn by_running_attempt(&mut self, attempt: &ids::AttemptId) -> Option<&mut RequestEntry> {
        let entry = self.requests.get_mut(&attempt.request)?;
        match &entry.phase {
            RequestPhase::Running(running) if running.attempt == *attempt => Some(entry),
            _ => None,
        }
    }
}
