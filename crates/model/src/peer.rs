//! Messages between daemons.
//!
//! Those sent for each request and each probe have short names on the wire, since bytes for
//! control are bounded.

use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::delta;
use crate::ids;
use crate::outcome;
use crate::request;
use crate::time;

/// A daemon as others know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The host's name.
    pub host: ids::HostId,
    /// Data centre that it stands in.
    pub data_centre: ids::CentreId,
    /// Address for messages from peers.
    pub peer_address: net::SocketAddr,
    /// Address for operators.
    pub admin_address: net::SocketAddr,
    /// Whether the platform says that the host is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Health of a member as one daemon sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe; dead unless it answers soon.
    Suspect,
    /// Shutting down; takes no roles.
    Leaving,
    /// Gone.
    Dead,
}

/// News of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The member.
    pub entry: HostEntry,
    /// Its life.
    pub incarnation: ids::NodeIncarnation,
    /// Number of the news within that life; the member itself raises it to refute a suspicion.
    pub revision: u64,
    /// Its health.
    pub state: MemberState,
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerEnvelope {
    /// The sender's host.
    #[serde(rename = "f")]
    pub from: ids::HostId,
    /// The sender's life.
    #[serde(rename = "i")]
    pub incarnation: ids::NodeIncarnation,
    /// The sender's address for messages, so that strangers can be answered.
    #[serde(rename = "r")]
    pub reply_to: net::SocketAddr,
    /// The message.
    #[serde(rename = "m")]
    pub message: PeerMessage,
}

/// A message between daemons. Any of them may be lost, late, doubled or out of order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Asks for a [`PeerMessage::ProbeReply`].
    #[serde(rename = "p")]
    Probe {
        /// Matches the reply.
        #[serde(rename = "n")]
        number: u64,
        /// The sender's configuration version.
        #[serde(rename = "v")]
        version: config::ConfigVersion,
        /// News of members.
        #[serde(rename = "u")]
        updates: Vec<MemberUpdate>,
    },
    /// Answers a [`PeerMessage::Probe`].
    #[serde(rename = "pr")]
    ProbeReply {
        /// Number of the probe.
        #[serde(rename = "n")]
        number: u64,
        /// The sender's configuration version.
        #[serde(rename = "v")]
        version: config::ConfigVersion,
        /// News of members.
        #[serde(rename = "u")]
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    #[serde(rename = "probe_for")]
    IndirectProbe {
        /// Matches the reply.
        number: u64,
        /// Member to probe.
        target: HostEntry,
    },
    /// Asks for the receiver's configuration if it is newer than `version`.
    #[serde(rename = "config_ask")]
    ConfigRequest {
        /// The sender's version.
        version: config::ConfigVersion,
    },
    /// What changed in the configuration.
    ConfigDelta {
        /// The changes.
        delta: sync::Arc<delta::ConfigDelta>,
    },
    /// A configuration.
    ConfigPush {
        /// Its version.
        version: config::ConfigVersion,
        /// The configuration.
        config: sync::Arc<config::FleetConfig>,
    },
    /// Asks whether the receiver, too, takes the sender as the keeper of endpoints.
    #[serde(rename = "vote_ask")]
    VoteRequest {
        /// The sender's clock, to be given back.
        asked_at: time::MonoTime,
        /// The sender's life, to be given back.
        #[serde(rename = "life")]
        incarnation: ids::NodeIncarnation,
        /// The endpoints.
        endpoints: Vec<ids::EndpointId>,
    },
    /// Answers a [`PeerMessage::VoteRequest`].
    VoteReply {
        /// Time given in the question.
        asked_at: time::MonoTime,
        /// Life given in the question.
        #[serde(rename = "life")]
        incarnation: ids::NodeIncarnation,
        /// Those endpoints of which the sender takes the receiver as the keeper.
        endpoints: Vec<ids::EndpointId>,
    },
    /// Asks the keeper of an endpoint for the right to send one attempt.
    #[serde(rename = "ga")]
    GrantRequest {
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: ids::EndpointId,
        /// The attempt to be sent.
        #[serde(rename = "a")]
        attempt: ids::AttemptId,
        /// Size class of its request.
        #[serde(rename = "c")]
        class: request::SizeClass,
        /// Engine memory that it may come to hold, in tokens.
        #[serde(rename = "t")]
        tokens: u64,
    },
    /// Answers a [`PeerMessage::GrantRequest`].
    #[serde(rename = "gr")]
    GrantReply {
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: ids::EndpointId,
        /// The attempt.
        #[serde(rename = "a")]
        attempt: ids::AttemptId,
        /// Whether it may be sent.
        #[serde(rename = "v")]
        verdict: GrantVerdict,
        /// Free slots left for the class of the request.
        #[serde(rename = "s")]
        free_slots: u32,
        /// Free memory left for the class of the request, in tokens.
        #[serde(rename = "t")]
        free_tokens: u64,
    },
    /// Returns a grant.
    #[serde(rename = "gt")]
    GrantReturn {
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: ids::EndpointId,
        /// The attempt.
        #[serde(rename = "a")]
        attempt: ids::AttemptId,
        /// How it was used.
        #[serde(rename = "u")]
        usage: GrantUsage,
    },
    /// Asks the owner of a claim shard to record a claim.
    #[serde(rename = "claim_ask")]
    ClaimRequest {
        /// The key claimed.
        key: ids::ClaimKey,
        /// The request on whose behalf.
        request: ids::RequestId,
        /// Digest of what the call asks.
        digest: u64,
    },
    /// Answers a [`PeerMessage::ClaimRequest`].
    ClaimReply {
        /// The key.
        key: ids::ClaimKey,
        /// The request that asked.
        request: ids::RequestId,
        /// The answer.
        verdict: ClaimVerdict,
    },
    /// Reports how a claimed call ended.
    ClaimSettle {
        /// The key.
        key: ids::ClaimKey,
        /// The request that holds the claim.
        request: ids::RequestId,
        /// How it ended.
        settlement: ClaimSettlement,
    },
    /// Confirms that a [`PeerMessage::ClaimSettle`] is recorded, or that nothing is left to record.
    ClaimSettled {
        /// The request that held the claim.
        request: ids::RequestId,
    },
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantVerdict {
    /// It may.
    Granted,
    /// The endpoint has no room for it now.
    Full,
    /// The endpoint takes no new work, or the receiver is not its keeper.
    #[serde(rename = "not_keeper")]
    NotCoordinator,
}

/// How a grant was used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantUsage {
    /// The attempt finished.
    Finished,
    /// The endpoint refused it or broke off.
    Failed,
    /// It was not sent.
    Unused,
    /// It was sent and given up; the endpoint may still run it.
    Dropped,
    /// It could not be sent: the endpoint took no connection.
    Unreachable,
}

/// Whether a claimed call may be sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The claim is recorded for the request that asked: it may send.
    Recorded,
    /// Another request holds the claim and has not settled it.
    Taken,
    /// The call ran and was answered so.
    Answered(outcome::RecordedAnswer),
    /// The call may have run.
    Unknown,
    /// The key was used for a call that asked something else.
    Mismatch,
    /// The claim cannot be recorded now.
    Unavailable,
    /// The shard has no room for another claim.
    Full,
}

/// How a claimed call ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimSettlement {
    /// The endpoint answered.
    Answered(outcome::RecordedAnswer),
    /// No byte was sent, and the holder will not send any more.
    NotSent,
    /// Bytes may have been sent and no answer came.
    Unknown,
}
