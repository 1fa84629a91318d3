//! Actions that the state machine requests from its driver.

use std::net;

use model::config;
use model::ids;
use model::outcome;
use model::peer;
use model::request;
use model::store;
use model::time;
use serde::{Deserialize, Serialize};

/// An action for the driver to perform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum NodeAction {
    /// Send a message to another daemon. Delivery is not guaranteed.
    SendPeer {
        /// The receiver's address.
        to: net::SocketAddr,
        /// The message.
        envelope: peer::PeerEnvelope,
    },
    /// Send a request to an endpoint, over a new connection.
    StartAttempt(AttemptSpec),
    /// Drop the connection of an attempt. No further event of the attempt is expected.
    DropAttempt {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// Forward the chunk received in the current event to the client.
    ForwardChunk {
        /// The client's request.
        request: ids::RequestId,
    },
    /// End a client's request with its final outcome.
    FinishRequest {
        /// The client's request.
        request: ids::RequestId,
        /// How it ended.
        outcome: outcome::RequestOutcome,
    },
    /// Cancel an attempt on an engine, which frees its memory.
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
    /// Start or stop watching the configuration in the object API.
    WatchConfig {
        /// Whether to watch.
        enabled: bool,
        /// Version after which changes are reported.
        after: config::ConfigVersion,
    },
    /// Read the list of hosts.
    ListHosts,
    /// Report to the load balancer whether this daemon accepts new requests.
    SetReady {
        /// Whether it accepts new requests.
        ready: bool,
    },
    /// Write a record to the log.
    WriteLog(LogRecord),
    /// Exit the process with success.
    Exit,
}

/// Parameters of an attempt to serve a request on one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Work that the endpoint does for this attempt.
    pub stage: AttemptStage,
    /// Chunks of the answer that the client has already received.
    pub resume_offset: u64,
    /// Time after which no byte of the request may be sent.
    pub send_deadline: time::MonoTime,
    /// Priority for the engine; the lowest value is served first.
    pub priority: u32,
}

/// Work that an attempt requests from its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptStage {
    /// Serve the whole request.
    Whole,
    /// Process a part of the prompt and hold the result until the attempt is cancelled.
    Part(request::PromptPart),
    /// Generate the answer from all parts, on the engine that holds the leading part.
    Generate {
        /// Exports of the other parts.
        exports: Vec<request::KvExport>,
    },
}

/// A record for the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogRecord {
    /// A configuration was put in force.
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
    /// This daemon's process was paused and rejoined under a new incarnation.
    Rejoined {
        /// The new incarnation.
        incarnation: ids::NodeIncarnation,
    },
    /// This daemon became the coordinator of an endpoint.
    CoordinationStarted {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// This daemon is no longer the coordinator of an endpoint.
    CoordinationEnded {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// An engine restarted and is treated as cold.
    EngineCold {
        /// The engine.
        endpoint: ids::EndpointId,
    },
    /// A stream without a reader or a live sender is being cancelled.
    StreamReclaimed {
        /// The attempt that the stream served.
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
