//! Messages between a placer and its followers, and their encoding.

use bytes::Bytes;
use model::ids;
use pool::job;
use pool::replica;
use serde::{Deserialize, Serialize};
use tokio_util::codec;

/// Maximum size of a message, bytes: several times a configuration of some thousand routes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Whether a daemon can place requests for others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlacerStatus {
    /// It can place requests.
    Ready,
    /// It can place requests, but is shutting down.
    Draining,
    /// It can't place requests, as its copy of the store is incomplete.
    NotReady,
}

/// A message between a placer and a daemon whose requests it places or may place, its follower.
/// Encoded with postcard: the order of variants and fields is part of the protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementMessage {
    /// Identifies the sender; the first message of both sides.
    Hello {
        /// Host of the sender.
        host: ids::HostId,
        /// Incarnation of the sender's process.
        incarnation: u64,
        /// Whether the sender can place requests.
        status: PlacerStatus,
        /// The daemon that places the sender's requests: the sender itself if it has followers,
        /// `None` if it places only its own requests.
        placer: Option<ids::HostId>,
    },
    /// The sender has switched to another placer, and the receiver should do so too.
    PlacerChanged {
        /// The new placer.
        placer: ids::HostId,
    },
    /// Objects of the store.
    Objects(Vec<replica::ReplicaObject>),
    /// A large object.
    Compressed {
        /// The object without its content.
        object: replica::ReplicaObject,
        /// Revision that the content was compressed against; zero if there is none.
        base: u64,
        /// The compressed content.
        compressed: Bytes,
    },
    /// Heartbeat, sent periodically by the daemon that opened the connection and answered by the
    /// other.
    Heartbeat {
        /// Ages of the sender's copies of each kind of objects, ms.
        ages_ms: Vec<u64>,
        /// Whether the sender's last calls to the store succeeded.
        store_reachable: bool,
        /// Whether the sender can place requests.
        status: PlacerStatus,
        /// Whether the receiver should watch the store on behalf of other daemons.
        watch_store: bool,
    },
    /// Attempts running at the sender, for its new placer.
    RunningJobs(Vec<job::RunningJob>),
    /// Requests a placement.
    PlacementRequest {
        /// The attempt.
        job: job::JobId,
        /// The request.
        request: job::PlacementRequest,
    },
    /// The placement request is queued.
    Queued {
        /// The attempt.
        job: job::JobId,
    },
    /// Responds to a placement request.
    Decision {
        /// The attempt.
        job: job::JobId,
        /// The decision.
        decision: job::PlacementDecision,
    },
    /// The placement is no longer needed, or the attempt ended without information about its
    /// endpoint.
    Cancel {
        /// The attempt.
        job: job::JobId,
    },
    /// The first event of the response arrived.
    FirstEvent {
        /// The attempt.
        job: job::JobId,
    },
    /// The attempt ended.
    JobFinished {
        /// The attempt.
        job: job::JobId,
        /// Its outcome.
        outcome: job::JobOutcome,
    },
}

/// Returns the codec for messages, each preceded by its length.
pub fn frame_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// What follows the era of a message; builds that don't know a part of it ignore the rest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct MessageTail {
    /// Parts of the prompts in the message, request by request.
    parts: Vec<Vec<ids::PartId>>,
    /// Digests of the requests in the message.
    digests: Vec<Option<ids::RequestDigest>>,
    /// Whether the endpoint responded to the attempt that ended.
    responded: bool,
    /// Customers of the requests in the message.
    customers: Vec<Option<ids::CustomerId>>,
    /// Whether each request in the message is for an attempt beside another one.
    hedges: Vec<bool>,
    /// Whether the sender of each request in the message counts its retries itself.
    budgeted: Vec<bool>,
}

impl MessageTail {
    /// Decodes what the sender's build has encoded.
    fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let mut tail = Self::default();
        if bytes.is_empty() {
            return Ok(tail);
        }
        let (parts, bytes) = postcard::take_from_bytes(bytes)?;
        tail.parts = parts;
        if !bytes.is_empty() {
            let (known, bytes) = postcard::take_from_bytes(bytes)?;
            (tail.digests, tail.responded) = known;
            if !bytes.is_empty() {
                let (known, bytes) = postcard::take_from_bytes(bytes)?;
                (tail.customers, tail.hedges) = known;
                if !bytes.is_empty() {
                    tail.budgeted = postcard::from_bytes(bytes)?;
                }
            }
        }
        Ok(tail)
    }
}

impl PlacementMessage {
    /// Returns the placement requests in the message.
    fn requests(&self) -> Vec<&job::PlacementRequest> {
        match self {
            Self::PlacementRequest { request, .. } => vec![request],
            Self::RunningJobs(jobs) => jobs.iter().map(|running| &running.request).collect(),
            _ => Vec::new(),
        }
    }

    fn requests_mut(&mut self) -> Vec<&mut job::PlacementRequest> {
        match self {
            Self::PlacementRequest { request, .. } => vec![request],
            Self::RunningJobs(jobs) => {
                let jobs = jobs.iter_mut();
                jobs.map(|running| &mut running.request).collect()
            }
            _ => Vec::new(),
        }
    }

    fn tail(&self) -> MessageTail {
        let requests = self.requests();
        MessageTail {
            parts: requests
                .iter()
                .map(|request| request.shared_parts.clone())
                .collect(),
            digests: requests.iter().map(|request| request.digest).collect(),
            responded: matches!(self, Self::JobFinished { outcome, .. } if outcome.responded),
            customers: requests
                .iter()
                .map(|request| request.customer.clone())
                .collect(),
            hedges: requests.iter().map(|request| request.is_hedge).collect(),
            budgeted: requests.iter().map(|request| request.is_budgeted).collect(),
        }
    }

    fn apply_tail(&mut self, tail: MessageTail) {
        if let Self::JobFinished { outcome, .. } = self {
            outcome.responded = tail.responded;
        }
        for (request, parts) in self.requests_mut().into_iter().zip(tail.parts) {
            request.shared_parts = parts;
        }
        for (request, digest) in self.requests_mut().into_iter().zip(tail.digests) {
            request.digest = digest;
        }
        for (request, customer) in self.requests_mut().into_iter().zip(tail.customers) {
            request.customer = customer;
        }
        for (request, is_hedge) in self.requests_mut().into_iter().zip(tail.hedges) {
            request.is_hedge = is_hedge;
        }
        for (request, is_budgeted) in self.requests_mut().into_iter().zip(tail.budgeted) {
            request.is_budgeted = is_budgeted;
        }
    }
}

/// Encodes a message and the era of the store to which it belongs, zero for none. The era follows
/// the message, and what builds without it don't need follows the era, where they ignore it.
///
/// ```
/// use sardinepaddle_gateway::message::{decode, encode, PlacementMessage};
/// let message = PlacementMessage::Cancel { job: pool::job::JobId { incarnation: 1, number: 2 } };
/// let bytes = encode(&message, 3).unwrap();
/// assert_eq!(decode(&bytes).unwrap(), (message, 3));
/// ```
pub fn encode(message: &PlacementMessage, era: u64) -> Result<Bytes, postcard::Error> {
    let mut bytes = postcard::to_stdvec(message)?;
    let tail = message.tail();
    let has_budgeted = tail.budgeted.contains(&true);
    let has_customers =
        has_budgeted || tail.customers.iter().any(Option::is_some) || tail.hedges.contains(&true);
    let has_digests = has_customers || tail.responded || tail.digests.iter().any(Option::is_some);
    let has_parts = has_digests || tail.parts.iter().any(|parts| !parts.is_empty());
    if era > 0 || has_parts {
        bytes = postcard::to_extend(&era, bytes)?;
    }
    if has_budgeted {
        bytes = postcard::to_extend(&tail, bytes)?;
    } else if has_customers {
        let known = (
            &tail.parts,
            &tail.digests,
            tail.responded,
            &tail.customers,
            &tail.hedges,
        );
        bytes = postcard::to_extend(&known, bytes)?;
    } else if has_digests {
        let known = (&tail.parts, &tail.digests, tail.responded);
        bytes = postcard::to_extend(&known, bytes)?;
    } else if has_parts {
        bytes = postcard::to_extend(&tail.parts, bytes)?;
    }
    Ok(Bytes::from(bytes))
}

/// Decodes a message and the era of the store to which it belongs, zero for none.
pub fn decode(bytes: &[u8]) -> Result<(PlacementMessage, u64), postcard::Error> {
    let (mut message, rest) = postcard::take_from_bytes::<PlacementMessage>(bytes)?;
    if rest.is_empty() {
        return Ok((message, 0));
    }
    let (era, rest) = postcard::take_from_bytes(rest)?;
    message.apply_tail(MessageTail::decode(rest)?);
    Ok((message, era))
}
