//! What a daemon is to do.

use std::net;

use model::config;
use model::ids;
use model::outcome;
use model::peer;
use model::request;
use model::store;
use model::time;
use serde::{Deserialize, Serialize};

/// Something that the driver is to carry out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum NodeAction {
    /// Send a message to another daemon. It may get lost.
    SendPeer {
        /// Receiver's address.
        to: net::SocketAddr,
        /// The message.
        envelope: peer::PeerEnvelope,
    },
    /// Send a request to an endpoint, over a new connection.
    StartAttempt(AttemptSpec),
    /// Drop the connection of an attempt. No event comes of it any more.
    DropAttempt {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// Hand the piece of answer just received to the caller.
    ForwardChunk {
        /// The caller's request.
        request: ids::RequestId,
    },
    /// Give the caller its final answer.
    FinishRequest {
        /// The caller's request.
        request: ids::RequestId,
        /// How it ended.
        outcome: outcome::RequestOutcome,
    },
    /// Tell an engine to free what it holds of an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: ids::AttemptId,
        /// The engine's address.
        address: net::SocketAddr,
    },
    /// Read an engine's load.
    ReadLoad {
        /// The engine.
        endpoint: ids::EndpointId,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Call the object API.
    CallStore {
        /// Number of the call.
        call: store::CallId,
        /// The call.
        body: store::StoreCall,
    },
    /// Hold a watch on the configuration, or let it go.
    WatchConfig {
        /// Whether to hold it.
        enabled: bool,
        /// Version from which to wait for news.
        after: config::ConfigVersion,
    },
    /// Read the list of hosts.
    ListHosts,
    /// Tell the balancer whether this daemon takes new requests.
    SetReady {
        /// Whether it does.
        ready: bool,
    },
    /// Write a line to the log.
    WriteLog(LogRecord),
    /// End the process with success.
    Exit,
}

/// An attempt to serve a request on one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: net::SocketAddr,
    /// What is asked of it.
    pub stage: AttemptStage,
    /// Pieces of the answer that the caller has already.
    pub resume_offset: u64,
    /// Time after which no byte may be sent any more.
    pub send_deadline: time::MonoTime,
    /// Priority for the engine; lower goes first.
    pub priority: u32,
}

/// What an attempt asks of its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptStage {
    /// The whole request.
    Whole,
    /// To read and hold a part of the prompt until the attempt is cancelled.
    Part(request::PromptPart),
    /// To generate, on the engine that holds the leading part, over all parts.
    Generate {
        /// Exports of the other parts.
        exports: Vec<request::KvExport>,
    },
}

/// Something worth a line in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogRecord {
    /// A configuration came into force.
    ConfigInForce {
        /// Its version.
        version: config::ConfigVersion,
    },
    /// A member changed its state.
    MemberChanged {
        /// The member.
        host: ids::HostId,
        /// Its new state.
        state: peer::MemberState,
    },
    /// This daemon was away and rejoined under a new life.
    Rejoined {
        /// The new life.
        incarnation: ids::NodeIncarnation,
    },
    /// This daemon became the keeper of an endpoint.
    CoordinationStarted {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// This daemon is the keeper of an endpoint no more.
    CoordinationEnded {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// An engine started anew and is taken as cold.
    EngineCold {
        /// The engine.
        endpoint: ids::EndpointId,
    },
    /// A dead daemon's stream is being cancelled.
    StreamReclaimed {
        /// The attempt that it served.
        attempt: ids::AttemptId,
    },
    /// An attempt did not complete.
    AttemptLost {
        /// The attempt.
        attempt: ids::AttemptId,
        /// Its endpoint.
        endpoint: ids::EndpointId,
    },
    /// Shutdown has begun.
    Draining,
}
