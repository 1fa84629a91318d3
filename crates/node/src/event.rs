//! Input events of the state machine.

use std::sync;

use model::config;
use model::ids;
use model::load;
use model::outcome;
use model::peer;
use model::request;
use model::store;
use serde::{Deserialize, Serialize};

/// An event passed in by the driver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum NodeEvent {
    /// Periodic tick, sent every [`crate::machine::TICK_PERIOD`].
    Tick,
    /// A configuration was received from the object API, or from the command that had it accepted.
    ConfigReceived {
        /// Its version.
        version: config::ConfigVersion,
        /// The configuration.
        config: sync::Arc<config::FleetConfig>,
    },
    /// The object API answered a watch, with or without a change.
    WatchAnswered,
    /// The platform listed the hosts.
    HostsListed {
        /// Hosts that run daemons.
        hosts: Vec<peer::HostEntry>,
        /// Endpoints that are leaving.
        leaving_endpoints: Vec<ids::EndpointId>,
    },
    /// A message from another daemon was received.
    PeerReceived {
        /// The message with its sender.
        envelope: peer::PeerEnvelope,
    },
    /// A well-formed request from a client was received.
    RequestArrived {
        /// The request.
        request: request::RequestMetadata,
    },
    /// A client disconnected before its answer was complete.
    ClientDisconnected {
        /// The client's request.
        request: ids::RequestId,
    },
    /// An endpoint accepted an attempt or sent bytes for it.
    AttemptProgressed {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// An engine of an engine set has processed its part of the prompt.
    PartExported {
        /// The attempt.
        attempt: ids::AttemptId,
        /// What the engine exported.
        export: request::KvExport,
    },
    /// A chunk of an answer was received.
    ChunkReceived {
        /// The attempt over whose connection it was received.
        attempt: ids::AttemptId,
        /// The attempt that the chunk itself specifies.
        tagged_attempt: ids::AttemptId,
        /// Zero-based index of the chunk in the answer.
        offset: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: ids::AttemptId,
        /// How it ended.
        outcome: outcome::AttemptOutcome,
    },
    /// An engine reported its load.
    LoadReported {
        /// The engine.
        endpoint: ids::EndpointId,
        /// The load; `None` if it could not be read.
        load: Option<load::EngineLoad>,
    },
    /// An engine confirmed that it holds no memory of an attempt.
    CancelConfirmed {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// The object API replied.
    StoreReplied {
        /// Number of the call.
        call: store::CallId,
        /// The reply.
        reply: store::StoreReply,
    },
    /// Shutdown of the process was requested.
    ShutdownRequested,
}
