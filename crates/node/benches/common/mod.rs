//! A state machine with simulated members and endpoints, driven without a daemon.

use std::net;
use std::sync;
use std::time::Duration;

use model::config;
use model::ids;
use model::load;
use model::outcome;
use model::peer;
use model::request;
use model::time;
use sardinepaddle_node::action;
use sardinepaddle_node::event;
use sardinepaddle_node::machine;
use sardinepaddle_node::settings;

const OWN_CENTRE: &str = "amman-abdali";
const FAR_CENTRE: &str = "amman-marka";
const CUSTOMER: &str = "school-1";
const SERVICE: &str = "lunch-llm";
const SLOTS: u32 = 100_000;
const MEMORY_TOKENS: u64 = 1 << 50;

/// Size of the fleet that a machine is part of.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of other daemons.
    pub members: usize,
    /// Number of endpoints coordinated by other daemons.
    pub endpoints: usize,
    /// Number of endpoints coordinated by this daemon.
    pub coordinated: usize,
}

/// A machine under benchmark, with its current time.
pub struct BenchNode {
    pub machine: machine::NodeMachine,
    pub now: time::MonoTime,
    last_request: u64,
    incarnation: ids::NodeIncarnation,
}

fn address(index: usize) -> net::SocketAddr {
    let port = u16::try_from(1_024 + index % 60_000).unwrap_or(1_024);
    net::SocketAddr::from(([127, 9, 9, 9], port))
}

fn member(index: usize) -> peer::HostEntry {
    peer::HostEntry {
        host: ids::HostId::new(&format!("entry-host-{index:03}")),
        data_centre: ids::CentreId::new(FAR_CENTRE),
        peer_address: address(index),
        admin_address: address(index),
        leaving: false,
    }
}

fn endpoint(centre: &str, index: usize) -> config::EndpointEntry {
    config::EndpointEntry {
        service: ids::ServiceId::new(SERVICE),
        data_centre: ids::CentreId::new(centre),
        address: address(index),
        state: config::ServiceState::InService,
        slots: SLOTS,
        memory_tokens: MEMORY_TOKENS,
        cold_slots: SLOTS,
        checks_orders: false,
    }
}

/// Returns a configuration with the endpoints of a fleet of the given size.
pub fn fleet_config(size: FleetSize) -> config::FleetConfig {
    let mut fleet = config::FleetConfig::default();
    for centre in [OWN_CENTRE, FAR_CENTRE] {
        let entry = config::CentreEntry::default();
        fleet.data_centres.insert(ids::CentreId::new(centre), entry);
    }
    let customer = config::CustomerEntry {
        max_in_flight: u32::MAX,
        ..config::CustomerEntry::default()
    };
    fleet
        .customers
        .insert(ids::CustomerId::new(CUSTOMER), customer);
    let service = config::ServiceEntry {
        kind: config::ServiceKind::Model {
            model: "lunch-1".to_owned(),
            bytes_per_token: 4,
        },
        timeout_ms: 30_000,
        non_idempotent: Vec::new(),
    };
    fleet.services.insert(ids::ServiceId::new(SERVICE), service);
    let near = (0..size.coordinated).map(|index| ("near", OWN_CENTRE, index));
    let far = (0..size.endpoints).map(|index| ("far", FAR_CENTRE, index));
    for (kind, centre, index) in near.chain(far) {
        let name = ids::EndpointId::new(&format!("{kind}-{index:03}"));
        fleet.endpoints.insert(name, endpoint(centre, index));
    }
    fleet
}

impl BenchNode {
    /// Creates a machine that has joined its fleet, with all members alive.
    pub fn new(size: FleetSize) -> Self {
        let host = ids::HostId::new("own-host");
        let incarnation = ids::NodeIncarnation(77);
        let builder = settings::NodeBuilder::new(host, ids::CentreId::new(OWN_CENTRE), address(0));
        let built = builder
            .incarnation(incarnation)
            .seed(3)
            .max_in_flight(1 << 20)
            .build();
        let now = time::MonoTime::from_millis(0);
        let mut node = Self {
            machine: machine::NodeMachine::new(built, now),
            now,
            last_request: 0,
            incarnation,
        };
        node.feed(event::NodeEvent::HostsListed {
            hosts: (0..size.members).map(member).collect(),
            leaving_endpoints: Vec::new(),
        });
        node.feed(event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(1),
            config: sync::Arc::new(fleet_config(size)),
        });
        for index in 0..size.members {
            node.receive_config_request(index);
        }
        for _ in 0..400 {
            node.tick();
        }
        for index in 0..size.coordinated {
            node.report_load(index);
        }
        node
    }

    fn feed(&mut self, event: event::NodeEvent) -> Vec<action::NodeAction> {
        self.machine.step(self.now, event)
    }

    /// Receives a message from a member, which marks it as alive.
    fn receive_config_request(&mut self, index: usize) {
        self.receive(
            index,
            peer::PeerMessage::ConfigRequest {
                version: config::ConfigVersion(1),
            },
        );
    }

    fn receive(&mut self, index: usize, message: peer::PeerMessage) -> Vec<action::NodeAction> {
        let entry = member(index);
        let envelope = peer::PeerEnvelope {
            from: entry.host,
            incarnation: ids::NodeIncarnation(5),
            reply_to: entry.peer_address,
            message,
        };
        self.feed(event::NodeEvent::PeerReceived { envelope })
    }

    fn report_load(&mut self, index: usize) {
        let report = load::EngineLoad {
            incarnation: 1,
            slots: SLOTS,
            memory_tokens: MEMORY_TOKENS,
            ..load::EngineLoad::default()
        };
        self.feed(event::NodeEvent::LoadReported {
            endpoint: ids::EndpointId::new(&format!("near-{index:03}")),
            load: Some(report),
        });
    }

    /// Advances by one tick and answers the machine's probes as live members do. Returns the number
    /// of actions.
    pub fn tick(&mut self) -> usize {
        self.now = self.now + machine::TICK_PERIOD;
        let actions = self.feed(event::NodeEvent::Tick);
        let count = actions.len();
        for action in actions {
            self.answer_probe(&action);
        }
        count
    }

    fn answer_probe(&mut self, action: &action::NodeAction) {
        let action::NodeAction::SendPeer { to, envelope } = action else {
            return;
        };
        let peer::PeerMessage::Probe { number, .. } = &envelope.message else {
            return;
        };
        let reply = peer::PeerMessage::ProbeReply {
            number: *number,
            version: config::ConfigVersion(1),
            updates: Vec::new(),
        };
        self.receive(usize::from(to.port()) - 1_024, reply);
    }

    /// Sends a prompt and answers its grant request. Returns the attempt that was started.
    pub fn start_request(&mut self) -> action::AttemptSpec {
        self.last_request += 1;
        let metadata = request::RequestMetadata {
            id: ids::RequestId {
                node: self.incarnation,
                count: self.last_request,
            },
            service: ids::ServiceId::new(SERVICE),
            customer: ids::CustomerId::new(CUSTOMER),
            kind: request::RequestKind::Prompt {
                prompt_tokens: 1_000,
                max_tokens: 400,
                prefix: self.last_request,
            },
            deadline: self.now + Duration::from_secs(600),
        };
        let mut actions = self.feed(event::NodeEvent::RequestArrived { request: metadata });
        loop {
            if let Some(spec) = actions.iter().find_map(started_attempt) {
                return spec.clone();
            }
            let granted = actions.iter().find_map(grant_reply);
            let (index, reply) = granted.expect("the machine requested no grant");
            actions = self.receive(index, reply);
        }
    }

    /// Delivers the chunks of an answer, then ends the attempt.
    pub fn finish_request(&mut self, spec: &action::AttemptSpec, chunks: u64) {
        for offset in 0..chunks {
            self.feed(event::NodeEvent::ChunkReceived {
                attempt: spec.attempt,
                tagged_attempt: spec.attempt,
                offset,
            });
        }
        self.feed(event::NodeEvent::AttemptEnded {
            attempt: spec.attempt,
            outcome: outcome::AttemptOutcome::Complete { answer: None },
        });
    }
}

fn started_attempt(action: &action::NodeAction) -> Option<&action::AttemptSpec> {
    match action {
        action::NodeAction::StartAttempt(spec) => Some(spec),
        _ => None,
    }
}

/// Returns the reply that grants a request for a grant, with the index of the coordinator.
fn grant_reply(action: &action::NodeAction) -> Option<(usize, peer::PeerMessage)> {
    let action::NodeAction::SendPeer { to, envelope } = action else {
        return None;
    };
    let peer::PeerMessage::GrantRequest {
        endpoint, attempt, ..
    } = &envelope.message
    else {
        return None;
    };
    let reply = peer::PeerMessage::GrantReply {
        endpoint: endpoint.clone(),
        attempt: *attempt,
        verdict: peer::GrantVerdict::Granted,
        free_slots: SLOTS,
        free_tokens: MEMORY_TOKENS,
    };
    Some((usize::from(to.port()) - 1_024, reply))
}
