//! The state machine: dispatches events and runs the systems in a fixed order.

use std::time::Duration;

use model::config;
use model::ids;
use model::peer;
use model::time;

use crate::action;
use crate::event;
use crate::settings;
use crate::state;
use crate::stats;
use crate::systems;
use crate::tables::member;

/// Interval at which the driver sends [`event::NodeEvent::Tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(20);

/// State machine that makes all decisions of one daemon.
#[derive(Clone, Debug)]
pub struct NodeMachine {
    state: state::NodeState,
}

impl NodeMachine {
    /// Creates a machine with no configuration and no known members.
    pub fn new(settings: settings::NodeSettings, now: time::MonoTime) -> Self {
        Self {
            state: state::NodeState::new(settings, now),
        }
    }

    /// Processes one event and returns the resulting actions, in the order to perform them.
    pub fn step(
        &mut self,
        now: time::MonoTime,
        event: event::NodeEvent,
    ) -> Vec<action::NodeAction> {
        let state = &mut self.state;
        systems::membership::detect_pause(state, now);
        state.now = now.max(state.now);
        dispatch(state, event);
        deliver_loopback(state);
        std::mem::take(&mut state.actions)
    }

    /// Returns the counters of decisions.
    pub fn stats(&self) -> &stats::NodeStats {
        &self.state.stats
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> config::ConfigVersion {
        self.state.config.version
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<std::sync::Arc<config::FleetConfig>> {
        self.state.config.config.clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.state.requests.len()
    }

    /// Returns the daemon's current incarnation.
    pub fn incarnation(&self) -> ids::NodeIncarnation {
        self.state.incarnation
    }

    /// Returns the other daemons and their health as seen by this daemon.
    pub fn members(&self) -> Vec<peer::MemberUpdate> {
        self.state
            .members
            .iter()
            .map(|entry| entry.update.clone())
            .collect()
    }

    /// Returns the endpoints that this daemon coordinates, with their usage.
    pub fn coordinated_endpoints(&self) -> Vec<CoordinatedEndpoint> {
        let ledgers = self.state.ledgers.ledgers.iter();
        ledgers
            .map(|(id, ledger)| CoordinatedEndpoint {
                endpoint: id.clone(),
                concurrency_limit: ledger.concurrency_limit,
                used_slots: ledger.used_slots(),
                used_tokens: ledger.used_tokens(),
            })
            .collect()
    }
}

/// Usage of an endpoint as tracked by its coordinator.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct CoordinatedEndpoint {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Concurrent requests currently allowed; rises as requests finish.
    #[serde(rename = "carry")]
    pub concurrency_limit: u32,
    /// Estimated number of requests on the endpoint.
    pub used_slots: u32,
    /// Estimated engine memory in use, in tokens.
    pub used_tokens: u64,
}

/// Returns the incarnation of a new process, made from its start time and its host's name.
///
/// ```
/// use model::ids::HostId;
/// let host = HostId::new("a1");
/// let first = sardinepaddle_node::machine::new_incarnation(&host, 1_000);
/// let second = sardinepaddle_node::machine::new_incarnation(&host, 1_001);
/// assert!(first < second);
/// ```
pub fn new_incarnation(host: &ids::HostId, wall_ms: u64) -> ids::NodeIncarnation {
    let digest = member::role_weight(host, "incarnation") & ((1 << member::HOST_BITS) - 1);
    let stamp = wall_ms << (member::HOST_BITS + member::REJOIN_BITS);
    ids::NodeIncarnation(stamp | (digest << member::REJOIN_BITS))
}

fn dispatch(state: &mut state::NodeState, event: event::NodeEvent) {
    match event {
        event::NodeEvent::Tick => tick(state),
        event::NodeEvent::ConfigReceived { version, config } => {
            systems::config::on_received(state, version, config);
        }
        event::NodeEvent::WatchAnswered => systems::config::on_store_contact(state),
        event::NodeEvent::HostsListed {
            hosts,
            leaving_endpoints,
        } => {
            systems::membership::on_host_list(state, hosts);
            state.endpoints.leaving = leaving_endpoints;
        }
        event::NodeEvent::PeerReceived { envelope } => receive_envelope(state, envelope),
        event::NodeEvent::RequestArrived { request } => {
            systems::admission::on_arrived(state, request)
        }
        event::NodeEvent::ClientDisconnected { request } => {
            systems::retry::on_client_disconnected(state, request)
        }
        event::NodeEvent::AttemptProgressed { attempt } => {
            systems::retry::on_progress(state, attempt)
        }
        event::NodeEvent::PartExported { attempt, export } => {
            systems::engine_sets::on_exported(state, attempt, export);
        }
        event::NodeEvent::ChunkReceived {
            attempt,
            tagged_attempt,
            offset,
        } => {
            systems::retry::on_chunk(state, attempt, tagged_attempt, offset);
        }
        event::NodeEvent::AttemptEnded { attempt, outcome } => {
            systems::retry::on_ended(state, attempt, outcome)
        }
        event::NodeEvent::LoadReported { endpoint, load } => {
            systems::grants::on_load_report(state, &endpoint, load);
        }
        event::NodeEvent::CancelConfirmed { attempt } => {
            systems::reclaim::on_confirmed(state, attempt)
        }
        event::NodeEvent::StoreReplied { call, reply } => {
            if !systems::config::on_store_reply(state, call, &reply) {
                systems::shards::on_store_reply(state, call, reply);
            }
        }
        event::NodeEvent::ShutdownRequested => systems::drain::on_shutdown(state),
    }
}

fn tick(state: &mut state::NodeState) {
    systems::membership::tick(state);
    systems::config::tick(state);
    systems::grants::tick(state);
    systems::votes::tick(state);
    systems::claims::tick(state);
    systems::placement::tick(state);
    systems::queues::tick(state);
    systems::engine_sets::tick(state);
    systems::retry::tick(state);
    systems::reclaim::tick(state);
    systems::drain::tick(state);
}

fn receive_envelope(state: &mut state::NodeState, envelope: peer::PeerEnvelope) {
    systems::membership::on_message(state, &envelope);
    let from = envelope.from.clone();
    dispatch_message(state, &from, Some(&envelope), envelope.message.clone());
}

fn deliver_loopback(state: &mut state::NodeState) {
    let own = state.host().clone();
    while let Some(message) = state.loopback.pop_front() {
        dispatch_message(state, &own, None, message);
    }
}

fn dispatch_message(
    state: &mut state::NodeState,
    from: &ids::HostId,
    envelope: Option<&peer::PeerEnvelope>,
    message: peer::PeerMessage,
) {
    match message {
        peer::PeerMessage::Probe {
            number,
            version,
            updates,
        } => {
            if let Some(envelope) = envelope {
                systems::membership::on_probe(state, envelope, number, updates);
                systems::config::on_version(state, from, version);
            }
        }
        peer::PeerMessage::ProbeReply {
            number,
            version,
            updates,
        } => {
            let verified = systems::membership::on_probe_reply(state, number, updates);
            systems::config::on_version(state, from, version);
            if verified {
                systems::config::on_verified(state);
            }
        }
        peer::PeerMessage::IndirectProbe { number, target } => {
            systems::membership::on_indirect_probe(state, from, number, target);
        }
        peer::PeerMessage::ConfigRequest { version } => {
            systems::config::on_request(state, from, version)
        }
        peer::PeerMessage::ConfigDelta { delta } => {
            systems::config::on_delta(state, from, &delta);
        }
        peer::PeerMessage::ConfigPush { version, config } => {
            systems::config::on_push(state, version, config);
        }
        peer::PeerMessage::VoteRequest {
            asked_at,
            incarnation,
            endpoints,
        } => systems::votes::on_request(state, from, asked_at, incarnation, endpoints),
        peer::PeerMessage::VoteReply {
            asked_at,
            incarnation,
            endpoints,
        } => systems::votes::on_reply(state, from, asked_at, incarnation, endpoints),
        peer::PeerMessage::GrantRequest {
            endpoint,
            attempt,
            class,
            tokens,
        } => {
            let request = systems::grants::GrantRequest {
                endpoint,
                attempt,
                class,
                tokens,
            };
            systems::grants::on_request(state, from, request);
        }
        peer::PeerMessage::GrantReply {
            endpoint,
            attempt,
            verdict,
            free_slots,
            ..
        } => {
            systems::placement::on_grant_reply(
                state, from, &endpoint, attempt, verdict, free_slots,
            );
        }
        peer::PeerMessage::GrantReturn {
            endpoint,
            attempt,
            usage,
        } => {
            systems::grants::on_return(state, &endpoint, attempt, usage);
        }
        peer::PeerMessage::ClaimRequest {
            key,
            request,
            digest,
        } => systems::claims::on_request(state, from, key, request, digest),
        peer::PeerMessage::ClaimReply {
            key,
            request,
            verdict,
        } => {
            systems::claims::on_reply(state, key, request, verdict);
        }
        peer::PeerMessage::ClaimSettle {
            key,
            request,
            settlement,
        } => {
            systems::claims::on_settle(state, from, key, request, settlement);
        }
        peer::PeerMessage::ClaimSettled { request } => {
            systems::claims::on_settled(state, request);
        }
    }
}
