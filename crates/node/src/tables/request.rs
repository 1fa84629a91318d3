//! Requests in flight at this daemon.

use std::collections;

use model::ids;
use model::request as head;
use model::time;

/// One request in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub head: head::RequestHead,
    pub arrived_at: time::MonoTime,
    pub phase: RequestPhase,
    /// Pieces of the answer handed to the caller.
    pub delivered_chunks: u64,
    /// Number of the last attempt asked for.
    pub last_attempt: u32,
    /// Attempts that were started.
    pub started_attempts: u32,
    /// Whether bytes of the request may have reached an endpoint.
    pub sent: bool,
    /// The same for the attempts before the one that runs.
    pub sent_by_earlier_attempt: bool,
    /// Whether a claim is recorded for it.
    pub claimed: bool,
    /// Whether its key was found taken by an earlier call that had not settled: whether that
    /// call runs is then not known.
    pub found_unsettled_claim: bool,
    /// Engines that share the prompt, by name; empty if one engine takes it whole.
    pub engine_set: Vec<SetMember>,
    /// Endpoints that had no room since the last rest.
    pub excluded_endpoints: Vec<ids::EndpointId>,
}

/// Where a request stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestPhase {
    /// Waits for its claim to be recorded.
    Claiming {
        owner: ids::HostId,
        asked_at: time::MonoTime,
        tries: usize,
    },
    /// Another request holds the claim; asks again at the given time.
    ClaimTaken { retry_at: time::MonoTime },
    /// Waits for room; asks again at the given time.
    Queued { retry_at: time::MonoTime },
    /// Asked a keeper for a grant.
    AwaitingGrant(PendingGrant),
    /// Reserves a set of engines, one after the other.
    Reserving,
    /// The engines of its set read their parts of the prompt.
    Preparing,
    /// Was sent to an endpoint.
    Running(RunningAttempt),
}

/// A grant asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PendingGrant {
    pub attempt: ids::AttemptId,
    pub endpoint: ids::EndpointId,
    pub coordinator: ids::HostId,
    pub asked_at: time::MonoTime,
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

/// One engine of a set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SetMember {
    pub attempt: ids::AttemptId,
    pub endpoint: ids::EndpointId,
    pub coordinator: ids::HostId,
    pub part: head::PromptPart,
    /// Tokens of memory reserved.
    pub tokens: u64,
    pub state: SetState,
}

/// Where one engine of a set stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SetState {
    Planned,
    Asked {
        asked_at: time::MonoTime,
    },
    Granted {
        asked_at: time::MonoTime,
    },
    /// It was sent its part.
    Sent {
        progressed_at: time::MonoTime,
    },
    /// It holds its part.
    Ready {
        export: head::KvExport,
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

    pub fn in_flight_of(&self, customer: &ids::CustomerId) -> u32 {
        self.in_flight_by_customer
            .get(customer)
            .copied()
            .unwrap_or(0)
    }

    pub fn insert(&mut self, entry: RequestEntry) {
        *self
            .in_flight_by_customer
            .entry(entry.head.customer.clone())
            .or_default() += 1;
        self.requests.insert(entry.head.id, entry);
    }

    pub fn remove(&mut self, request: &ids::RequestId) -> Option<RequestEntry> {
        let entry = self.requests.remove(request)?;
        if let Some(count) = self.in_flight_by_customer.get_mut(&entry.head.customer) {
            *count -= 1;
            if *count == 0 {
                self.in_flight_by_customer.remove(&entry.head.customer);
            }
        }
        Some(entry)
    }

    /// The request whose running attempt this is.
    pub fn by_running_attempt(&mut self, attempt: &ids::AttemptId) -> Option<&mut RequestEntry> {
        let entry = self.requests.get_mut(&attempt.request)?;
        match &entry.phase {
            RequestPhase::Running(running) if running.attempt == *attempt => Some(entry),
            _ => None,
        }
    }
}
