//! What happens to a daemon.

use std::sync;

use model::config;
use model::ids;
use model::load;
use model::outcome;
use model::peer;
use model::request;
use model::store;
use serde::{Deserialize, Serialize};

/// Something that happened, as told by the driver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum NodeEvent {
    /// Time has passed. Comes every [`crate::machine::TICK_PERIOD`].
    Tick,
    /// The object API showed a configuration.
    ConfigReceived {
        /// Its version.
        version: config::ConfigVersion,
        /// The configuration.
        config: sync::Arc<config::FleetConfig>,
    },
    /// The object API answered a watch, with or without news.
    WatchAnswered,
    /// The platform listed the hosts.
    HostsListed {
        /// Hosts that run daemons.
        hosts: Vec<peer::HostEntry>,
        /// Endpoints that are leaving.
        leaving_endpoints: Vec<ids::EndpointId>,
    },
    /// A message came from another daemon.
    PeerReceived {
        /// The message with its sender.
        envelope: peer::PeerEnvelope,
    },
    /// A caller's request was read and found well formed.
    RequestArrived {
        /// The request.
        request: request::RequestHead,
    },
    /// A caller went away before its answer was complete.
    CallerGone {
        /// Its request.
        request: ids::RequestId,
    },
    /// Bytes of the protocol came from an endpoint, or it took the request.
    AttemptProgressed {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// An engine of a set holds its part of the prompt.
    PartExported {
        /// The attempt.
        attempt: ids::AttemptId,
        /// What the engine exported.
        export: request::KvExport,
    },
    /// A piece of an answer came.
    ChunkReceived {
        /// The attempt whose connection it came over.
        attempt: ids::AttemptId,
        /// The attempt that the endpoint named in it.
        tagged_attempt: ids::AttemptId,
        /// Position in the answer, from zero.
        offset: u64,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The attempt.
        attempt: ids::AttemptId,
        /// How it ended.
        end: outcome::AttemptEnd,
    },
    /// An engine reported its load.
    LoadReported {
        /// The engine.
        endpoint: ids::EndpointId,
        /// Its load; `None` if it could not be read.
        load: Option<load::EngineLoad>,
    },
    /// An engine confirmed that it holds nothing of an attempt.
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
    /// The process was asked to end.
    ShutdownRequested,
}
