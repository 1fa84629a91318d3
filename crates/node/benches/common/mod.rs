//! A state machine with made-up members and endpoints, driven without a daemon.

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

/// Size of what a machine knows.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Other daemons.
    pub members: usize,
    /// Endpoints that other daemons keep.
    pub endpoints: usize,
    /// Endpoints that this daemon keeps.
    pub kept: usize,
}

/// A machine under measurement, with its clock.
pub struct BenchNode {
    pub machine: machine::NodeMachine,
    pub now: time::MonoTime,
    next_request: u64,
    life: ids::NodeIncarnation,
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

/// A configuration with so many endpoints.
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
    let near = (0..size.kept).map(|index| ("near", OWN_CENTRE, index));
    let far = (0..size.endpoints).map(|index| ("far", FAR_CENTRE, index));
    for (kind, centre, index) in near.chain(far) {
        let name = ids::EndpointId::new(&format!("{kind}-{index:03}"));
        fleet.endpoints.insert(name, endpoint(centre, index));
    }
    fleet
}

impl BenchNode {
    /// Makes a machine that has joined, with all members alive.
    pub fn new(size: FleetSize) -> Self {
        let host = ids::HostId::new("own-host");
        let life = ids::NodeIncarnation(77);
        let builder = settings::NodeBuilder::new(host, ids::CentreId::new(OWN_CENTRE), address(0));
        let built = builder
            .incarnation(life)
            .seed(3)
            .max_in_flight(1 << 20)
            .build();
        let now = time::MonoTime::from_millis(0);
        let mut node = Self {
            machine: machine::NodeMachine::new(built, now),
            now,
            next_request: 0,
            life,
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
            node.hear(index);
        }
        for _ in 0..400 {
            node.pass_time();
        }
        for index in 0..size.kept {
            node.report_load(index);
        }
        node
    }

    fn feed(&mut self, event: event::NodeEvent) -> Vec<action::NodeAction> {
        self.machine.step(self.now, event)
    }

    fn hear(&mut self, index: usize) {
        self.receive(
            index,
            peer::PeerMessage::ConfigAsk {
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

    /// Lets one tick pass and answers the probes that it sends, as living members do.
    pub fn pass_time(&mut self) -> usize {
        self.now = self.now + machine::TICK_PERIOD;
        let actions = self.feed(event::NodeEvent::Tick);
        let count = actions.len();
        for action in actions {
            self.answer(&action);
        }
        count
    }

    fn answer(&mut self, action: &action::NodeAction) {
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

    /// Admits a prompt and obtains its grant. Returns the attempt that was started.
    pub fn begin(&mut self) -> action::AttemptSpec {
        self.next_request += 1;
        let head = request::RequestHead {
            id: ids::RequestId {
                node: self.life,
                count: self.next_request,
            },
            service: ids::ServiceId::new(SERVICE),
            customer: ids::CustomerId::new(CUSTOMER),
            kind: request::RequestKind::Prompt {
                prompt_tokens: 1_000,
                max_tokens: 400,
                prefix: self.next_request,
            },
            deadline: self.now + Duration::from_secs(600),
        };
        let mut actions = self.feed(event::NodeEvent::RequestArrived { request: head });
        loop {
            if let Some(order) = actions.iter().find_map(started) {
                return order.clone();
            }
            let asked = actions.iter().find_map(granted);
            let (index, reply) = asked.expect("the machine asked for no grant");
            actions = self.receive(index, reply);
        }
    }

    /// Hands over pieces of an answer, then ends the attempt.
    pub fn finish(&mut self, order: &action::AttemptSpec, pieces: u64) {
        for offset in 0..pieces {
            self.feed(event::NodeEvent::ChunkReceived {
                attempt: order.attempt,
                tagged_attempt: order.attempt,
                offset,
            });
        }
        self.feed(event::NodeEvent::AttemptEnded {
            attempt: order.attempt,
            end: outcome::AttemptEnd::Complete { answer: None },
        });
    }
}

fn started(action: &action::NodeAction) -> Option<&action::AttemptSpec> {
    match action {
        action::NodeAction::StartAttempt(order) => Some(order),
        _ => None,
    }
}

/// A keeper's grant for an ask, with the keeper's index.
fn granted(action: &action::NodeAction) -> Option<(usize, peer::PeerMessage)> {
    let action::NodeAction::SendPeer { to, envelope } = action else {
        return None;
    };
    let peer::PeerMessage::GrantAsk {
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
