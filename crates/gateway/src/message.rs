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
}

/// Encodes a message and the era of the store to which it belongs, zero for none. The era follows
/// the message, and the parts of the prompts in it follow the era, where builds that don't know
/// them ignore them.
///
/// ```
/// use sardinepaddle_gateway::message::{decode, encode, PlacementMessage};
/// let message = PlacementMessage::Cancel { job: pool::job::JobId { incarnation: 1, number: 2 } };
/// let bytes = encode(&message, 3).unwrap();
/// assert_eq!(decode(&bytes).unwrap(), (message, 3));
/// ```
pub fn encode(message: &PlacementMessage, era: u64) -> Result<Bytes, postcard::Error> {
    let mut bytes = postcard::to_stdvec(message)?;
    let requests = message.requests();
    let parts = requests.iter().map(|request| &request.shared_parts);
    let parts: Vec<&Vec<ids::PartId>> = parts.collect();
    let has_parts = parts.iter().any(|parts| !parts.is_empty());
    if era > 0 || has_parts {
        bytes = postcard::to_extend(&era, bytes)?;
    }
    if has_parts {
        bytes = postcard::to_extend(&parts, bytes)?;
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
    if !rest.is_empty() {
        let parts: Vec<Vec<ids::PartId>> = postcard::from_bytes(rest)?;
        for (request, parts) in message.requests_mut().into_iter().zip(parts) {
            request.shared_parts = parts;
        }
    }
    Ok((message, era))
}
