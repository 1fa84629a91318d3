//! What daemons tell each other, and how it goes over a connection.

use bytes::Bytes;
use model::ids;
use pool::job;
use pool::replica;
use serde::{Deserialize, Serialize};
use tokio_util::codec;

/// Most bytes of one message: a configuration of some thousand routes fits several times.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Whether a daemon can place requests for others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlacerStatus {
    /// It can.
    Ready,
    /// It can, but is about to end.
    Draining,
    /// It can't: it knows too little of the store yet.
    NotReady,
}

/// A message between two daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Who speaks; the first message of both sides.
    Hello {
        /// Its host.
        host: ids::HostId,
        /// This life of its process.
        incarnation: u64,
        /// Whether it can place requests.
        status: PlacerStatus,
        /// The daemon that places its requests; itself if it places for others, none if it is alone.
        placer: Option<ids::HostId>,
    },
    /// The sender's requests are placed by another daemon from now on, and so should the receiver's.
    PlacerMoved {
        /// That daemon.
        placer: ids::HostId,
    },
    /// Objects of the store.
    Objects(Vec<replica::ReplicaObject>),
    /// A large object.
    Compressed {
        /// The object without its content.
        object: replica::ReplicaObject,
        /// Revision to which the content is a difference; zero if it is whole.
        base: u64,
        /// The packed content.
        compressed: Bytes,
    },
    /// Sign of life, sent at a fixed pace by the daemon that opened the connection, and replied to.
    Heartbeat {
        /// Ages of what the sender knows of each kind of objects, ms.
        ages_ms: Vec<u64>,
        /// Whether the sender reaches the store, as far as it knows.
        store_reachable: bool,
        /// Whether the sender can place requests.
        status: PlacerStatus,
        /// Whether the receiver is to follow the store for others.
        watch_store: bool,
    },
    /// Attempts that run at the sender, for a daemon that is to place from now on.
    RunningJobs(Vec<job::RunningJob>),
    /// Asks for a place.
    PlacementRequest {
        /// The attempt.
        job: job::JobId,
        /// What is asked.
        request: job::PlaceAsk,
    },
    /// The request waits for a place.
    Queued {
        /// The attempt.
        job: job::JobId,
    },
    /// Answers an ask.
    Decision {
        /// The attempt.
        job: job::JobId,
        /// The answer.
        decision: job::PlaceVerdict,
    },
    /// The request is no longer to be placed, or is over without word of its endpoint.
    Cancel {
        /// The attempt.
        job: job::JobId,
    },
    /// The first event of the answer came.
    FirstEvent {
        /// The attempt.
        job: job::JobId,
    },
    /// The attempt is over.
    JobFinished {
        /// The attempt.
        job: job::JobId,
        /// How it ended.
        outcome: job::JobEnd,
    },
}

/// Frames of messages: a length and as many bytes.
pub fn frame_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message.
///
/// ```
/// use sardinepaddle_gateway::message::{decode, encode, PeerMessage};
/// let message = PeerMessage::Cancel { job: pool::job::JobId { life: 1, number: 2 } };
/// assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
/// ```
pub fn encode(message: &PeerMessage) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(message).map(Bytes::from)
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<PeerMessage, postcard::Error> {
    postcard::from_bytes(bytes)
}
