//! What daemons tell each other, and how it goes over a connection.

use bytes::Bytes;
use model::ids;
use pool::job;
use pool::replica;
use serde::{Deserialize, Serialize};
use tokio_util::codec;

/// Most bytes of one message: a configuration of some thousand routes fits several times.
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Whether a daemon can place requests for others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlacerState {
    /// It can.
    Placing,
    /// It can, but is about to end.
    Leaving,
    /// It can't: it knows too little of the store yet.
    Unready,
}

/// A message between two daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LinkMessage {
    /// Who speaks; the first message of both sides.
    Hello {
        /// Its host.
        host: ids::HostId,
        /// This life of its process.
        life: u64,
        /// Whether it can place requests.
        state: PlacerState,
        /// The daemon that places its requests; itself if it places for others, none if it is alone.
        placer: Option<ids::HostId>,
    },
    /// The sender's requests are placed by another daemon from now on, and so should the receiver's.
    Moved {
        /// That daemon.
        placer: ids::HostId,
    },
    /// Objects of the store.
    Objects(Vec<replica::ReplicaObject>),
    /// A large object.
    Packed {
        /// The object without its content.
        object: replica::ReplicaObject,
        /// Revision to which the content is a difference; zero if it is whole.
        base: u64,
        /// The packed content.
        packed: Bytes,
    },
    /// Sign of life, sent at a fixed pace by the daemon that opened the connection, and replied to.
    Beat {
        /// Ages of what the sender knows of each kind of objects, ms.
        ages_ms: Vec<u64>,
        /// Whether the sender reaches the store, as far as it knows.
        sighted: bool,
        /// Whether the sender can place requests.
        state: PlacerState,
        /// Whether the receiver is to follow the store for others.
        follow: bool,
    },
    /// Attempts that run at the sender, for a daemon that is to place from now on.
    Running(Vec<job::RunningJob>),
    /// Asks for a place.
    Ask {
        /// The attempt.
        job: job::JobId,
        /// What is asked.
        ask: job::PlacementRequest,
    },
    /// The request waits for a place.
    Queued {
        /// The attempt.
        job: job::JobId,
    },
    /// Answers an ask.
    Verdict {
        /// The attempt.
        job: job::JobId,
        /// The answer.
        verdict: job::PlacementDecision,
    },
    /// The request is no longer to be placed, or is over without word of its endpoint.
    Withdraw {
        /// The attempt.
        job: job::JobId,
    },
    /// The first event of the answer came.
    FirstEvent {
        /// The attempt.
        job: job::JobId,
    },
    /// The attempt is over.
    End {
        /// The attempt.
        job: job::JobId,
        /// How it ended.
        end: job::JobOutcome,
    },
}

/// Frames of messages: a length and as many bytes.
pub fn frames() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MOST_BYTES)
        .new_codec()
}

/// Encodes a message.
///
/// ```
/// use sardinepaddle_gateway::message::{decode, encode, LinkMessage};
/// let message = LinkMessage::Withdraw { job: pool::job::JobId { incarnation: 1, number: 2 } };
/// assert_eq!(decode(&encode(&message).unwrap()).unwrap(), message);
/// ```
pub fn encode(message: &LinkMessage) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(message).map(Bytes::from)
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<LinkMessage, postcard::Error> {
    postcard::from_bytes(bytes)
}
