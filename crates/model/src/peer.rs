//! Messages between daemons.
//!
//! Messages that are sent for every request or probe have short names on the wire, because the
//! bandwidth for control traffic is limited.

use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::config;
use crate::delta;
use crate::ids;
use crate::outcome;
use crate::request;
use crate::time;

/// Identity and addresses of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: ids::HostId,
    /// Data centre of the host.
    pub data_centre: ids::CentreId,
    /// Address that receives messages from other daemons.
    pub peer_address: net::SocketAddr,
    /// Address of the admin API.
    pub admin_address: net::SocketAddr,
    /// Whether the platform lists the host as leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// State of a member in the view of one daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member missed a probe and is declared dead unless it answers soon.
    Suspect,
    /// The member is shutting down and takes on no roles.
    Leaving,
    /// The member is gone: it failed or left.
    Dead,
}

/// A membership update about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The member.
    pub entry: HostEntry,
    /// Incarnation of the member.
    pub incarnation: ids::NodeIncarnation,
    /// Revision of the state within that incarnation; the member increments it to refute a
    /// suspicion.
    pub revision: u64,
    /// State of the member.
    pub state: MemberState,
}

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerEnvelope {
    /// Host of the sender.
    #[serde(rename = "f")]
    pub from: ids::HostId,
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: ids::NodeIncarnation,
    /// Address of the sender, so that a sender that is not a known member can be answered.
    #[serde(rename = "r")]
    pub reply_to: net::SocketAddr,
    /// The message.
    #[serde(rename = "m")]
    pub message: PeerMessage,
}

/// A message between daemons. Messages may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Health probe; requests a [`PeerMessage::ProbeReply`].
    #[serde(rename = "p")]
    Probe {
        /// Sequence number that matches the reply to the probe.
        #[serde(rename = "n")]
        number: u64,
        /// Configuration version of the sender.
        #[serde(rename = "v")]
        version: config::ConfigVersion,
        /// Membership updates.
        #[serde(rename = "u")]
        updates: Vec<MemberUpdate>,
    },
    /// Answers a [`PeerMessage::Probe`].
    #[serde(rename = "pr")]
    ProbeReply {
        /// Sequence number of the probe.
        #[serde(rename = "n")]
        number: u64,
        /// Configuration version of the sender.
        #[serde(rename = "v")]
        version: config::ConfigVersion,
        /// Membership updates.
        #[serde(rename = "u")]
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe `target` on behalf of the sender.
    #[serde(rename = "probe_for")]
    IndirectProbe {
        /// Sequence number that matches the reply to the probe.
        number: u64,
        /// Member to probe.
        target: HostEntry,
    },
    /// Requests the receiver's configuration if it is newer than `version`.
    #[serde(rename = "config_ask")]
    ConfigRequest {
        /// Configuration version of the sender.
        version: config::ConfigVersion,
    },
    /// Sends the changes between two versions of the configuration.
    ConfigDelta {
        /// The changes.
        delta: sync::Arc<delta::ConfigDelta>,
    },
    /// Sends a complete configuration.
    ConfigPush {
        /// Version of the configuration.
        version: config::ConfigVersion,
        /// The configuration.
        config: sync::Arc<config::FleetConfig>,
    },
    /// Asks whether the receiver also regards the sender as the coordinator of the endpoints.
    #[serde(rename = "vote_ask")]
    VoteRequest {
        /// Time of the request by the sender's clock, echoed in the reply.
        asked_at: time::MonoTime,
        /// Incarnation of the sender, echoed in the reply.
        #[serde(rename = "life")]
        incarnation: ids::NodeIncarnation,
        /// The endpoints.
        endpoints: Vec<ids::EndpointId>,
    },
    /// Answers a [`PeerMessage::VoteRequest`].
    VoteReply {
        /// Time echoed from the request.
        asked_at: time::MonoTime,
        /// Incarnation echoed from the request.
        #[serde(rename = "life")]
        incarnation: ids::NodeIncarnation,
        /// The requested endpoints of which the sender regards the receiver as the coordinator.
        endpoints: Vec<ids::EndpointId>,
    },
    /// Asks the coordinator of an endpoint for a grant to send one attempt.
    #[serde(rename = "ga")]
    GrantRequest {
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: ids::EndpointId,
        /// The attempt to send.
        #[serde(rename = "a")]
        attempt: ids::AttemptId,
        /// Size class of the request.
        #[serde(rename = "c")]
        class: request::SizeClass,
        /// Maximum engine memory that the attempt may occupy, in tokens.
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
        /// Whether the attempt may be sent.
        #[serde(rename = "v")]
        verdict: GrantVerdict,
        /// Remaining free slots for the size class of the request.
        #[serde(rename = "s")]
        free_slots: u32,
        /// Remaining free memory for the size class of the request, in tokens.
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
        /// How the grant was used.
        #[serde(rename = "u")]
        usage: GrantUsage,
    },
    /// Asks the owner of a claim shard to record a claim.
    #[serde(rename = "claim_ask")]
    ClaimRequest {
        /// Claimed key.
        key: ids::ClaimKey,
        /// Request that claims the key.
        request: ids::RequestId,
        /// Digest of the call's method, path and body.
        digest: u64,
    },
    /// Answers a [`PeerMessage::ClaimRequest`].
    ClaimReply {
        /// The key.
        key: ids::ClaimKey,
        /// Request that claims the key.
        request: ids::RequestId,
        /// Result of the claim.
        verdict: ClaimVerdict,
    },
    /// Reports the outcome of a claimed call.
    ClaimSettle {
        /// The key.
        key: ids::ClaimKey,
        /// Request that holds the claim.
        request: ids::RequestId,
        /// Outcome of the call.
        settlement: ClaimSettlement,
    },
    /// Confirms that a [`PeerMessage::ClaimSettle`] is recorded or that nothing remains to be
    /// recorded.
    ClaimSettled {
        /// Request that held the claim.
        request: ids::RequestId,
    },
}

/// Decision on a [`PeerMessage::GrantRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantVerdict {
    /// The attempt may be sent.
    Granted,
    /// The endpoint has no free capacity at present.
    Full,
    /// The endpoint accepts no new work, or the receiver is not its coordinator.
    #[serde(rename = "not_keeper")]
    NotCoordinator,
}

/// How the holder of a grant used it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantUsage {
    /// The attempt finished.
    Finished,
    /// The endpoint refused the attempt or failed during it.
    Failed,
    /// The attempt was not sent.
    Unused,
    /// The attempt was sent and then abandoned; the endpoint may still be running it.
    Dropped,
    /// The attempt could not be sent because no connection to the endpoint could be opened.
    Unreachable,
}

/// Decision on a [`PeerMessage::ClaimRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVerdict {
    /// The claim is recorded for the request, which may now be sent.
    Recorded,
    /// Another request holds the claim and has not yet settled it.
    Taken,
    /// The call already ran; contains its recorded answer.
    Answered(outcome::RecordedAnswer),
    /// An earlier call with this key may have run.
    Unknown,
    /// The key was already used for a different call.
    Mismatch,
    /// The claim cannot be recorded at present.
    Unavailable,
    /// The shard has no space for another claim.
    Full,
}

/// Outcome of a claimed call, as reported by its holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimSettlement {
    /// The endpoint answered.
    Answered(outcome::RecordedAnswer),
    /// No byte was sent, and the holder will not send any.
    NotSent,
    /// Bytes may have been sent, but no answer was received.
    Unknown,
}
