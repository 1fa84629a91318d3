//! Simulation of a few state machines with a lossy network and one cold engine.
#![allow(dead_code)]

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use model::config;
use model::ids;
use model::load;
use model::outcome;
use model::peer;
use model::request;
use model::store;
use model::time;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use sardinepaddle_node::action;
use sardinepaddle_node::event;
use sardinepaddle_node::machine;
use sardinepaddle_node::settings;

/// Time between two steps of the simulation.
const STEP_MS: u64 = 20;
/// Age of the load in the engine's reports.
const REPORT_LAG_MS: u64 = 900;
/// Name of the only engine.
pub const ENGINE: &str = "engine-0";
/// Number of requests after which the engine is warm.
pub const WARM_UP_REQUESTS: u32 = 8;
/// Number of concurrent requests that the engine supports while cold.
pub const COLD_SLOTS: usize = 2;

/// A delivery to a machine or to the engine. The first field is the index of the machine.
enum ScheduledDelivery {
    Event(usize, event::NodeEvent),
    Start(usize, action::AttemptSpec),
    Cancel(usize, ids::AttemptId),
    Report(usize, ids::EndpointId),
}

/// Machines, the network links between them, and the engine that they share.
pub struct NodeSet {
    /// Current time, in milliseconds.
    pub now: u64,
    pub machines: Vec<machine::NodeMachine>,
    pub paused: Vec<bool>,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub cut_links: collections::BTreeSet<(usize, usize)>,
    /// Probability that a message is lost, and that it is duplicated, in percent.
    pub loss_percent: u32,
    /// Mean rate of requests at each machine.
    pub requests_per_second: u32,
    /// Machine and end time, in milliseconds, of each attempt on the engine.
    pub running: collections::BTreeMap<ids::AttemptId, (usize, u64)>,
    /// Maximum number of concurrent requests on the engine while it was cold.
    pub max_running_while_cold: usize,
    /// Number of requests that the engine has finished.
    pub finished: u32,
    /// Total size of the messages that carry configuration.
    pub config_bytes: usize,
    /// Whether clients disconnect before their answers are complete.
    pub clients_disconnect: bool,
    /// Number of attempts started by each machine.
    pub started_attempts: Vec<u32>,
    /// Whether the watches of the object API return nothing.
    pub silent_watch: bool,
    /// Attempts on the engine at each step, for delayed load reports.
    history: collections::VecDeque<(u64, Vec<ids::AttemptId>)>,
    /// Deliveries by due time, in milliseconds, and number.
    deliveries: collections::BTreeMap<(u64, u64), ScheduledDelivery>,
    last_number: u64,
    hosts: Vec<peer::HostEntry>,
    /// Machine missing from the host list.
    pub unlisted: Option<usize>,
    rng: rngs::SmallRng,
}

fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 1 + u16::try_from(index).unwrap()))
}

/// Returns a configuration with one engine.
pub fn one_engine() -> config::FleetConfig {
    let mut fleet = config::FleetConfig::default();
    let centre = config::CentreEntry {
        region: "jordan".to_owned(),
        ..Default::default()
    };
    fleet
        .data_centres
        .insert(ids::CentreId::new("abdali"), centre);
    fleet
        .customers
        .insert(ids::CustomerId::new("school"), Default::default());
    let service = config::ServiceEntry {
        kind: config::ServiceKind::Model {
            model: "lunch-1".to_owned(),
            bytes_per_token: 4,
        },
        timeout_ms: 30_000,
        non_idempotent: Vec::new(),
    };
    fleet
        .services
        .insert(ids::ServiceId::new("lunch-llm"), service);
    let endpoint = config::EndpointEntry {
        service: ids::ServiceId::new("lunch-llm"),
        data_centre: ids::CentreId::new("abdali"),
        address: address(900),
        state: config::ServiceState::InService,
        slots: 16,
        memory_tokens: 400_000,
        cold_slots: COLD_SLOTS as u32,
        checks_orders: false,
    };
    fleet
        .endpoints
        .insert(ids::EndpointId::new(ENGINE), endpoint);
    fleet
}

impl NodeSet {
    /// Starts `count` machines in one data centre, all with the configuration of [`one_engine`].
    pub fn start(count: usize, seed: u64) -> Self {
        let hosts = (0..count).map(|index| peer::HostEntry {
            host: ids::HostId::new(&format!("host-{index}")),
            data_centre: ids::CentreId::new("abdali"),
            peer_address: address(index),
            admin_address: address(index),
            leaving: false,
        });
        let hosts = hosts.collect::<Vec<_>>();
        let origin = time::MonoTime::from_millis(0);
        let machines = hosts.iter().enumerate().map(|(index, entry)| {
            let builder = settings::NodeBuilder::new(
                entry.host.clone(),
                entry.data_centre.clone(),
                entry.peer_address,
            );
            let incarnation = machine::new_incarnation(&entry.host, 1_000_000);
            let settings = builder
                .incarnation(incarnation)
                .seed(seed + index as u64)
                .wall_origin_ms(1_000_000)
                .build();
            machine::NodeMachine::new(settings, origin)
        });
        let mut set = Self {
            now: 0,
            machines: machines.collect(),
            paused: vec![false; count],
            cut_links: collections::BTreeSet::new(),
            loss_percent: 0,
            requests_per_second: 10,
            running: collections::BTreeMap::new(),
            max_running_while_cold: 0,
            finished: 0,
            config_bytes: 0,
            clients_disconnect: false,
            started_attempts: vec![0; count],
            silent_watch: false,
            history: collections::VecDeque::new(),
            deliveries: collections::BTreeMap::new(),
            last_number: 0,
            hosts,
            unlisted: None,
            rng: rngs::SmallRng::seed_from_u64(seed),
        };
        let config = sync::Arc::new(one_engine());
        for index in 0..count {
            set.deliver_config(index, 1, &config);
        }
        set
    }

    /// Delivers a configuration to a machine as from the object API.
    pub fn deliver_config(
        &mut self,
        index: usize,
        version: u64,
        config: &sync::Arc<config::FleetConfig>,
    ) {
        let event = event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(version),
            config: config.clone(),
        };
        self.schedule(1, ScheduledDelivery::Event(index, event));
    }

    /// Cuts or restores the links between two groups of machines, in both directions.
    pub fn set_partition(&mut self, left: &[usize], right: &[usize], cut: bool) {
        for (from, to) in left
            .iter()
            .flat_map(|from| right.iter().map(move |to| (*from, *to)))
        {
            for link in [(from, to), (to, from)] {
                if cut {
                    self.cut_links.insert(link);
                } else {
                    self.cut_links.remove(&link);
                }
            }
        }
    }

    /// Whether the engine has not finished enough requests to be warm.
    pub fn is_cold(&self) -> bool {
        self.finished < WARM_UP_REQUESTS
    }

    /// Runs the simulation for a given time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + u64::try_from(duration.as_millis()).unwrap();
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.run_engine();
        self.process_due_deliveries();
        for index in 0..self.machines.len() {
            if self.paused[index] {
                continue;
            }
            if self.now.is_multiple_of(500) && !self.silent_watch {
                self.step_machine(index, event::NodeEvent::WatchAnswered);
            }
            self.maybe_send_request(index);
            self.step_machine(index, event::NodeEvent::Tick);
        }
    }

    /// Sends a request to a machine with the probability given by the request rate.
    fn maybe_send_request(&mut self, index: usize) {
        let probability = f64::from(self.requests_per_second) * STEP_MS as f64 / 1_000.0;
        if !self.rng.random_bool(probability.min(1.0)) {
            return;
        }
        self.last_number += 1;
        let metadata = request::RequestMetadata {
            id: ids::RequestId {
                node: self.machines[index].incarnation(),
                count: self.last_number,
            },
            service: ids::ServiceId::new("lunch-llm"),
            customer: ids::CustomerId::new("school"),
            kind: request::RequestKind::Prompt {
                prompt_tokens: 1_000,
                max_tokens: 20,
                prefix: 0,
            },
            deadline: time::MonoTime::from_millis(self.now + 20_000),
        };
        self.step_machine(
            index,
            event::NodeEvent::RequestArrived { request: metadata },
        );
    }

    fn process_due_deliveries(&mut self) {
        let mut postponed = Vec::new();
        while let Some(first) = self.deliveries.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let (key, delivery) = self.deliveries.pop_first().unwrap();
            let index = match &delivery {
                ScheduledDelivery::Event(index, _) | ScheduledDelivery::Start(index, _) => *index,
                ScheduledDelivery::Cancel(..) | ScheduledDelivery::Report(..) => usize::MAX,
            };
            if self.paused.get(index) == Some(&true) {
                postponed.push(((self.now + STEP_MS, key.1), delivery));
                continue;
            }
            self.process_delivery(delivery);
        }
        self.deliveries.extend(postponed);
    }

    fn process_delivery(&mut self, delivery: ScheduledDelivery) {
        match delivery {
            ScheduledDelivery::Event(index, event) => self.step_machine(index, event),
            ScheduledDelivery::Start(index, spec) => self.start_attempt(index, &spec),
            ScheduledDelivery::Cancel(index, attempt) => {
                self.running.remove(&attempt);
                self.schedule(
                    5,
                    ScheduledDelivery::Event(index, event::NodeEvent::CancelConfirmed { attempt }),
                );
            }
            ScheduledDelivery::Report(index, endpoint) => {
                let sampled_at = self.now.saturating_sub(REPORT_LAG_MS);
                let sample = self.history.iter().rev().find(|(at, _)| *at <= sampled_at);
                let attempts = sample
                    .map(|(_, attempts)| attempts.clone())
                    .unwrap_or_default();
                let streams = attempts.into_iter().map(|attempt| load::EngineStream {
                    attempt,
                    tokens: 1_020,
                    attached: true,
                });
                let load = load::EngineLoad {
                    incarnation: 1,
                    slots: 16,
                    memory_tokens: 400_000,
                    streams: streams.collect(),
                    ..Default::default()
                };
                let load = Some(load);
                self.schedule(
                    5,
                    ScheduledDelivery::Event(
                        index,
                        event::NodeEvent::LoadReported { endpoint, load },
                    ),
                );
            }
        }
    }

    fn start_attempt(&mut self, index: usize, spec: &action::AttemptSpec) {
        let attempt = spec.attempt;
        if time::MonoTime::from_millis(self.now) >= spec.send_deadline {
            let outcome = outcome::AttemptOutcome::NotSent;
            self.step_machine(index, event::NodeEvent::AttemptEnded { attempt, outcome });
            return;
        }
        let run_time = self.rng.random_range(2_000..9_000);
        if self.clients_disconnect {
            let event = event::NodeEvent::ClientDisconnected {
                request: attempt.request,
            };
            let delay = self.rng.random_range(100..1_500);
            self.schedule(delay, ScheduledDelivery::Event(index, event));
        }
        self.running.insert(attempt, (index, self.now + run_time));
        if self.is_cold() {
            self.max_running_while_cold = self.max_running_while_cold.max(self.running.len());
        }
        self.step_machine(index, event::NodeEvent::AttemptProgressed { attempt });
    }

    fn run_engine(&mut self) {
        let now = self.now;
        let finished = self.running.iter().filter(|(_, (_, end))| *end <= now);
        let finished = finished
            .map(|(attempt, (index, _))| (*attempt, *index))
            .collect::<Vec<_>>();
        for (attempt, index) in finished {
            self.running.remove(&attempt);
            self.finished += 1;
            let outcome = outcome::AttemptOutcome::Complete { answer: None };
            self.schedule(
                5,
                ScheduledDelivery::Event(
                    index,
                    event::NodeEvent::AttemptEnded { attempt, outcome },
                ),
            );
        }
        let progress = self
            .running
            .iter()
            .map(|(attempt, (index, _))| (*attempt, *index));
        for (attempt, index) in progress.collect::<Vec<_>>() {
            if now.is_multiple_of(200) {
                self.schedule(
                    5,
                    ScheduledDelivery::Event(
                        index,
                        event::NodeEvent::AttemptProgressed { attempt },
                    ),
                );
            }
        }
        let attempts = self.running.keys().copied().collect();
        self.history.push_back((now, attempts));
        if self.history.len() > 100 {
            self.history.pop_front();
        }
    }

    /// Returns a message in the envelope of a machine.
    pub fn envelope(&self, from: usize, message: peer::PeerMessage) -> peer::PeerEnvelope {
        peer::PeerEnvelope {
            from: self.hosts[from].host.clone(),
            incarnation: self.machines[from].incarnation(),
            reply_to: address(from),
            message,
        }
    }

    /// Passes an event to a machine and performs the resulting actions.
    pub fn step_machine(&mut self, index: usize, event: event::NodeEvent) {
        let now = time::MonoTime::from_millis(self.now);
        for action in self.machines[index].step(now, event) {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: action::NodeAction) {
        match action {
            action::NodeAction::SendPeer { to, envelope } => {
                let target = usize::from(to.port()) - 1;
                let lost = self.rng.random_range(0..100) < self.loss_percent;
                if lost || self.cut_links.contains(&(index, target)) {
                    return;
                }
                let carries_config = matches!(
                    envelope.message,
                    peer::PeerMessage::ConfigDelta { .. } | peer::PeerMessage::ConfigPush { .. }
                );
                if carries_config {
                    self.config_bytes += serde_json::to_string(&envelope).unwrap().len();
                }
                let event = event::NodeEvent::PeerReceived { envelope };
                let copies = 1 + u32::from(self.rng.random_range(0..100) < self.loss_percent);
                for _ in 0..copies {
                    let delay = self.rng.random_range(1..60);
                    self.schedule(delay, ScheduledDelivery::Event(target, event.clone()));
                }
            }
            action::NodeAction::StartAttempt(spec) => {
                self.started_attempts[index] += 1;
                let delay = self.rng.random_range(1..40);
                self.schedule(delay, ScheduledDelivery::Start(index, spec));
            }
            action::NodeAction::CancelAttempt { attempt, .. } => {
                let delay = self.rng.random_range(1..400);
                self.schedule(delay, ScheduledDelivery::Cancel(index, attempt));
            }
            action::NodeAction::ReadLoad { endpoint, .. } => {
                let delay = self.rng.random_range(1..200);
                self.schedule(delay, ScheduledDelivery::Report(index, endpoint));
            }
            action::NodeAction::CallStore { call, .. } => {
                let reply = store::StoreReply::Lost;
                self.schedule(
                    100,
                    ScheduledDelivery::Event(index, event::NodeEvent::StoreReplied { call, reply }),
                );
            }
            action::NodeAction::ListHosts => {
                let mut hosts = self.hosts.clone();
                if let Some(unlisted) = self.unlisted {
                    hosts.remove(unlisted);
                }
                let event = event::NodeEvent::HostsListed {
                    hosts,
                    leaving_endpoints: Vec::new(),
                };
                self.schedule(20, ScheduledDelivery::Event(index, event));
            }
            _ => {}
        }
    }

    fn schedule(&mut self, delay: u64, delivery: ScheduledDelivery) {
        self.last_number += 1;
        self.deliveries
            .insert((self.now + delay, self.last_number), delivery);
    }
}
