//! A few machines driven by hand, with a lossy network and one cold engine.
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

/// Time between two steps of the driver.
const STEP_MS: u64 = 20;
/// Age of what the engine reports.
const REPORT_LAG_MS: u64 = 900;
/// Name of the engine.
pub const ENGINE: &str = "engine-0";
/// Requests that the engine must finish to be warm.
pub const COLD_WORK: u32 = 8;
/// Requests that the engine carries while cold.
pub const COLD_SLOTS: usize = 2;

/// Something on its way to a machine or to the engine.
enum Parcel {
    Event(usize, event::NodeEvent),
    Start(usize, action::AttemptSpec),
    Cancel(usize, ids::AttemptId),
    Report(usize, ids::EndpointId),
}

/// Machines, the links between them, and the engine that they all load.
pub struct NodeSet {
    pub now: u64,
    pub machines: Vec<machine::NodeMachine>,
    pub paused: Vec<bool>,
    /// Links that carry nothing, by sender and receiver.
    pub cut: collections::BTreeSet<(usize, usize)>,
    /// Chance that a message is lost, in percent.
    pub loss: u32,
    /// Requests that arrive at each machine in a second.
    pub rate: u32,
    pub running: collections::BTreeMap<ids::AttemptId, (usize, u64)>,
    /// Most requests at once on the engine while it was cold.
    pub most_while_cold: usize,
    pub finished: u32,
    /// Bytes of the messages that carry configuration.
    pub config_bytes: usize,
    /// Whether callers go away before their answers are complete.
    pub callers_leave: bool,
    /// Attempts started by each machine.
    pub started_by: Vec<u32>,
    /// Whether the object API's watches bring nothing.
    pub silent_watch: bool,
    history: collections::VecDeque<(u64, Vec<ids::AttemptId>)>,
    parcels: collections::BTreeMap<(u64, u64), Parcel>,
    count: u64,
    hosts: Vec<peer::HostEntry>,
    /// The machine that the host list does not name.
    pub unlisted: Option<usize>,
    rng: rngs::SmallRng,
}

fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 1 + u16::try_from(index).unwrap()))
}

/// A configuration with one engine.
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
    /// Starts `count` machines of one data centre, all with the configuration.
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
            let life = machine::new_incarnation(&entry.host, 1_000_000);
            let settings = builder
                .incarnation(life)
                .seed(seed + index as u64)
                .wall_origin_ms(1_000_000)
                .build();
            machine::NodeMachine::new(settings, origin)
        });
        let mut set = Self {
            now: 0,
            machines: machines.collect(),
            paused: vec![false; count],
            cut: collections::BTreeSet::new(),
            loss: 0,
            rate: 10,
            running: collections::BTreeMap::new(),
            most_while_cold: 0,
            finished: 0,
            config_bytes: 0,
            callers_leave: false,
            started_by: vec![0; count],
            silent_watch: false,
            history: collections::VecDeque::new(),
            parcels: collections::BTreeMap::new(),
            count: 0,
            hosts,
            unlisted: None,
            rng: rngs::SmallRng::seed_from_u64(seed),
        };
        let config = sync::Arc::new(one_engine());
        for index in 0..count {
            set.give_config(index, 1, &config);
        }
        set
    }

    /// Shows a machine a configuration as the object API does.
    pub fn give_config(
        &mut self,
        index: usize,
        version: u64,
        config: &sync::Arc<config::FleetConfig>,
    ) {
        let event = event::NodeEvent::ConfigReceived {
            version: config::ConfigVersion(version),
            config: config.clone(),
        };
        self.put(1, Parcel::Event(index, event));
    }

    /// Cuts or mends the links between two groups, in both directions.
    pub fn part(&mut self, left: &[usize], right: &[usize], cut: bool) {
        for (one, two) in left
            .iter()
            .flat_map(|one| right.iter().map(move |two| (*one, *two)))
        {
            for link in [(one, two), (two, one)] {
                if cut {
                    self.cut.insert(link);
                } else {
                    self.cut.remove(&link);
                }
            }
        }
    }

    /// Whether the engine has yet to finish enough to be warm.
    pub fn is_cold(&self) -> bool {
        self.finished < COLD_WORK
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + u64::try_from(span.as_millis()).unwrap();
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.run_engine();
        self.deliver();
        for index in 0..self.machines.len() {
            if self.paused[index] {
                continue;
            }
            if self.now.is_multiple_of(500) && !self.silent_watch {
                self.apply(index, event::NodeEvent::WatchAnswered);
            }
            self.arrive(index);
            self.apply(index, event::NodeEvent::Tick);
        }
    }

    fn arrive(&mut self, index: usize) {
        let chance = f64::from(self.rate) * STEP_MS as f64 / 1_000.0;
        if !self.rng.random_bool(chance.min(1.0)) {
            return;
        }
        self.count += 1;
        let head = request::RequestHead {
            id: ids::RequestId {
                node: self.machines[index].incarnation(),
                count: self.count,
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
        self.apply(index, event::NodeEvent::RequestArrived { request: head });
    }

    fn deliver(&mut self) {
        let mut held = Vec::new();
        while let Some(first) = self.parcels.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let (key, parcel) = self.parcels.pop_first().unwrap();
            let index = match &parcel {
                Parcel::Event(index, _) | Parcel::Start(index, _) => *index,
                Parcel::Cancel(..) | Parcel::Report(..) => usize::MAX,
            };
            if self.paused.get(index) == Some(&true) {
                held.push(((self.now + STEP_MS, key.1), parcel));
                continue;
            }
            self.open(parcel);
        }
        self.parcels.extend(held);
    }

    fn open(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Event(index, event) => self.apply(index, event),
            Parcel::Start(index, order) => self.begin(index, &order),
            Parcel::Cancel(index, attempt) => {
                self.running.remove(&attempt);
                self.put(
                    5,
                    Parcel::Event(index, event::NodeEvent::CancelConfirmed { attempt }),
                );
            }
            Parcel::Report(index, endpoint) => {
                let shown = self.now.saturating_sub(REPORT_LAG_MS);
                let sample = self.history.iter().rev().find(|(at, _)| *at <= shown);
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
                self.put(
                    5,
                    Parcel::Event(index, event::NodeEvent::LoadReported { endpoint, load }),
                );
            }
        }
    }

    fn begin(&mut self, index: usize, order: &action::AttemptSpec) {
        let attempt = order.attempt;
        if time::MonoTime::from_millis(self.now) >= order.send_deadline {
            let end = outcome::AttemptEnd::NotSent;
            self.apply(index, event::NodeEvent::AttemptEnded { attempt, end });
            return;
        }
        let span = self.rng.random_range(2_000..9_000);
        if self.callers_leave {
            let event = event::NodeEvent::CallerGone {
                request: attempt.request,
            };
            let delay = self.rng.random_range(100..1_500);
            self.put(delay, Parcel::Event(index, event));
        }
        self.running.insert(attempt, (index, self.now + span));
        if self.is_cold() {
            self.most_while_cold = self.most_while_cold.max(self.running.len());
        }
        self.apply(index, event::NodeEvent::AttemptProgressed { attempt });
    }

    fn run_engine(&mut self) {
        let now = self.now;
        let done = self.running.iter().filter(|(_, (_, end))| *end <= now);
        let done = done
            .map(|(attempt, (index, _))| (*attempt, *index))
            .collect::<Vec<_>>();
        for (attempt, index) in done {
            self.running.remove(&attempt);
            self.finished += 1;
            let end = outcome::AttemptEnd::Complete { answer: None };
            self.put(
                5,
                Parcel::Event(index, event::NodeEvent::AttemptEnded { attempt, end }),
            );
        }
        let progress = self
            .running
            .iter()
            .map(|(attempt, (index, _))| (*attempt, *index));
        for (attempt, index) in progress.collect::<Vec<_>>() {
            if now.is_multiple_of(200) {
                self.put(
                    5,
                    Parcel::Event(index, event::NodeEvent::AttemptProgressed { attempt }),
                );
            }
        }
        let attempts = self.running.keys().copied().collect();
        self.history.push_back((now, attempts));
        if self.history.len() > 100 {
            self.history.pop_front();
        }
    }

    /// A message as a machine sends it.
    pub fn envelope(&self, from: usize, message: peer::PeerMessage) -> peer::PeerEnvelope {
        peer::PeerEnvelope {
            from: self.hosts[from].host.clone(),
            incarnation: self.machines[from].incarnation(),
            reply_to: address(from),
            message,
        }
    }

    /// Hands a machine an event.
    pub fn apply(&mut self, index: usize, event: event::NodeEvent) {
        let now = time::MonoTime::from_millis(self.now);
        for action in self.machines[index].step(now, event) {
            self.carry_out(index, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: action::NodeAction) {
        match action {
            action::NodeAction::SendPeer { to, envelope } => {
                let target = usize::from(to.port()) - 1;
                let lost = self.rng.random_range(0..100) < self.loss;
                if lost || self.cut.contains(&(index, target)) {
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
                let copies = 1 + u32::from(self.rng.random_range(0..100) < self.loss);
                for _ in 0..copies {
                    let delay = self.rng.random_range(1..60);
                    self.put(delay, Parcel::Event(target, event.clone()));
                }
            }
            action::NodeAction::StartAttempt(order) => {
                self.started_by[index] += 1;
                let delay = self.rng.random_range(1..40);
                self.put(delay, Parcel::Start(index, order));
            }
            action::NodeAction::CancelAttempt { attempt, .. } => {
                let delay = self.rng.random_range(1..400);
                self.put(delay, Parcel::Cancel(index, attempt));
            }
            action::NodeAction::ReadLoad { endpoint, .. } => {
                let delay = self.rng.random_range(1..200);
                self.put(delay, Parcel::Report(index, endpoint));
            }
            action::NodeAction::CallStore { call, .. } => {
                let reply = store::StoreReply::Lost;
                self.put(
                    100,
                    Parcel::Event(index, event::NodeEvent::StoreReplied { call, reply }),
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
                self.put(20, Parcel::Event(index, event));
            }
            _ => {}
        }
    }

    fn put(&mut self, delay: u64, parcel: Parcel) {
        self.count += 1;
        self.parcels.insert((self.now + delay, self.count), parcel);
    }
}
