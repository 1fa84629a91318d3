//! Drives a few state machines against a small object API and endpoints, all in memory.
//!
//! Time moves in ticks. What is under way between the parts is delivered in random order, and
//! may be late, lost or doubled, all from one seed. Every check of the driver panics.

#![allow(dead_code, reason = "each test file uses its own part")]

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
use rand::seq::SliceRandom;
use sardinepaddle_node::action;
use sardinepaddle_node::event;
use sardinepaddle_node::machine;
use sardinepaddle_node::settings;

/// Name of the only engine.
pub const ENGINE: &str = "engine-0";
/// Name of the only plain endpoint.
pub const PLAIN: &str = "plain-0";
/// Pieces of the answer to each prompt.
pub const PIECES: u64 = 6;

/// How often something goes wrong, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Messages that are lost.
    pub lost: u32,
    /// Messages that are delivered and delivered again later.
    pub doubled: u32,
    /// What is under way and stays so for a further tick.
    pub late: u32,
    /// Calls to the object API whose answers are lost, half of them after the effect.
    pub store_lost: u32,
    /// Attempts that break off, for each tick.
    pub broken: u32,
    /// Attempts that cannot be sent.
    pub not_sent: u32,
    /// Whether all messages between machines are lost.
    pub lost_peers: bool,
    /// Whether endpoints only say that work goes on.
    pub stalled: bool,
}

/// One machine.
pub struct MachineUnit {
    /// The machine; `None` after a kill.
    pub machine: Option<machine::NodeMachine>,
    /// Whether it is not run at present.
    pub paused: bool,
    /// Time since which it is run without a gap.
    running_since: time::MonoTime,
    entry: peer::HostEntry,
}

/// Something under way.
#[derive(Clone)]
enum Transit {
    Peer {
        to: net::SocketAddr,
        envelope: peer::PeerEnvelope,
    },
    Store {
        unit: usize,
        life: u64,
        call: store::CallId,
        body: store::StoreCall,
    },
    /// An attempt on its way to its endpoint.
    Start {
        unit: usize,
        life: u64,
        order: action::AttemptSpec,
    },
    Cancel {
        unit: usize,
        life: u64,
        attempt: ids::AttemptId,
    },
    Load {
        unit: usize,
        life: u64,
        endpoint: ids::EndpointId,
    },
}

/// An attempt that its endpoint has.
struct EndpointRun {
    unit: usize,
    life: u64,
    next: u64,
    engine: bool,
    attached: bool,
}

/// A request as its caller sees it.
#[derive(Clone, Debug)]
pub struct CallerView {
    /// Machine that took it in.
    pub unit: usize,
    life: u64,
    /// Its idempotency key.
    pub key: Option<u32>,
    /// When it must be over.
    pub deadline: time::MonoTime,
    /// Pieces received.
    pub pieces: u64,
    /// How it ended.
    pub outcome: Option<outcome::RequestOutcome>,
}

/// An object with its version.
type StoredObject = (store::ObjectVersion, String);

/// A few machines with all that they work with.
pub struct FleetDriver {
    /// Time now.
    pub now: time::MonoTime,
    /// The machines.
    pub units: Vec<MachineUnit>,
    /// What goes wrong.
    pub rates: FaultRates,
    /// Whether the object API answers at all.
    pub store_down: bool,
    /// All requests.
    pub callers: collections::BTreeMap<ids::RequestId, CallerView>,
    /// Attempts of keyed requests of which bytes may have left, by key.
    pub may_run: collections::BTreeMap<u32, collections::BTreeSet<ids::AttemptId>>,
    /// The same of all requests.
    started: collections::BTreeSet<ids::AttemptId>,
    transit: Vec<Transit>,
    runs: collections::BTreeMap<ids::AttemptId, EndpointRun>,
    objects: collections::BTreeMap<String, StoredObject>,
    revision: u64,
    next_request: u64,
    lives: u64,
    config: sync::Arc<config::FleetConfig>,
    rng: rngs::SmallRng,
}

fn address(port: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()))
}

fn first_config() -> config::FleetConfig {
    let value = serde_json::json!({
        "data_centres": { "kgn-a": { "region": "jm-south" } },
        "customers": { "depot-1": {} },
        "services": {
            "stockdesk-lm": { "kind": { "type": "model", "model": "stock-1" } },
            "stockdesk-app": { "kind": { "type": "plain", "path_prefix": "/" } },
        },
        "endpoints": {
            ENGINE: { "service": "stockdesk-lm", "data_centre": "kgn-a", "address": "127.0.0.1:9001", "cold_slots": 8 },
            PLAIN: { "service": "stockdesk-app", "data_centre": "kgn-a", "address": "127.0.0.1:9002" },
        },
    });
    serde_json::from_value(value).unwrap()
}

impl FleetDriver {
    /// Starts machines and lets them join without faults.
    pub fn new(machines: usize, seed: u64) -> Self {
        let entries = (0..machines).map(|index| peer::HostEntry {
            host: ids::HostId::new(&format!("host-{index}")),
            data_centre: ids::CentreId::new("kgn-a"),
            peer_address: address(7_000 + index),
            admin_address: address(8_000 + index),
            leaving: false,
        });
        let units = entries.map(|entry| MachineUnit {
            machine: None,
            paused: false,
            running_since: time::MonoTime::default(),
            entry,
        });
        let mut driver = Self {
            now: time::MonoTime::from_millis(1_000),
            units: units.collect(),
            rates: FaultRates::default(),
            store_down: false,
            callers: collections::BTreeMap::new(),
            may_run: collections::BTreeMap::new(),
            started: collections::BTreeSet::new(),
            transit: Vec::new(),
            runs: collections::BTreeMap::new(),
            objects: collections::BTreeMap::new(),
            revision: 100,
            next_request: 0,
            lives: 1,
            config: sync::Arc::new(first_config()),
            rng: rngs::SmallRng::seed_from_u64(seed),
        };
        for unit in 0..machines {
            driver.start(unit);
        }
        driver.advance(300);
        driver
    }

    /// Starts a killed machine under a new life.
    pub fn start(&mut self, unit: usize) {
        if self.units[unit].machine.is_some() {
            return;
        }
        self.lives += 1;
        let entry = &self.units[unit].entry;
        let builder = settings::NodeBuilder::new(
            entry.host.clone(),
            entry.data_centre.clone(),
            entry.peer_address,
        );
        let settings = builder
            .incarnation(machine::new_incarnation(&entry.host, self.lives))
            .seed(self.rng.random())
            .wall_origin_ms(1_000_000)
            .claim_shards(2)
            .build();
        let machine = machine::NodeMachine::new(settings, self.now);
        self.units[unit].machine = Some(machine);
        self.units[unit].paused = false;
        self.units[unit].running_since = self.now;
        let config = self.config.clone();
        let version = config::ConfigVersion(1);
        self.step(unit, event::NodeEvent::ConfigReceived { version, config });
    }

    /// Kills a machine. Its connections to endpoints close.
    pub fn kill(&mut self, unit: usize) {
        self.units[unit].machine = None;
        for run in self.runs.values_mut().filter(|run| run.unit == unit) {
            run.attached = false;
        }
    }

    /// Stops a machine from running, or lets it run again.
    pub fn set_paused(&mut self, unit: usize, paused: bool) {
        if self.units[unit].paused && !paused {
            self.units[unit].running_since = self.now;
        }
        self.units[unit].paused = paused;
    }

    fn runs_now(&self, unit: usize) -> bool {
        self.units[unit].machine.is_some() && !self.units[unit].paused
    }

    fn life(&self, unit: usize) -> Option<u64> {
        let machine = self.units[unit].machine.as_ref()?;
        Some(machine.incarnation().0 >> 8)
    }

    /// Sends a request to a machine; returns its id if the machine runs.
    pub fn arrive(
        &mut self,
        unit: usize,
        kind: request::RequestKind,
        key: Option<u32>,
        timeout: Duration,
    ) -> Option<ids::RequestId> {
        if !self.runs_now(unit) {
            return None;
        }
        self.next_request += 1;
        let id = ids::RequestId {
            node: self.units[unit].machine.as_ref()?.incarnation(),
            count: self.next_request,
        };
        let service = match kind {
            request::RequestKind::Prompt { .. } => "stockdesk-lm",
            request::RequestKind::Plain { .. } => "stockdesk-app",
        };
        let deadline = self.now + timeout;
        let head = request::RequestHead {
            id,
            service: ids::ServiceId::new(service),
            customer: ids::CustomerId::new("depot-1"),
            kind,
            deadline,
        };
        let view = CallerView {
            unit,
            life: self.life(unit)?,
            key,
            deadline,
            pieces: 0,
            outcome: None,
        };
        self.callers.insert(id, view);
        self.step(unit, event::NodeEvent::RequestArrived { request: head });
        Some(id)
    }

    /// Sends a call with an idempotency key.
    pub fn call(&mut self, unit: usize, key: u32, timeout: Duration) -> Option<ids::RequestId> {
        let service = ids::ServiceId::new("stockdesk-app");
        let customer = ids::CustomerId::new("depot-1");
        let claim = ids::ClaimKey::digest(&service, &customer, &key.to_string());
        let kind = request::RequestKind::Plain {
            idempotent: false,
            claim: Some(claim),
            digest: u64::from(key),
        };
        self.arrive(unit, kind, Some(key), timeout)
    }

    /// Sends a prompt.
    pub fn ask(&mut self, unit: usize, timeout: Duration) -> Option<ids::RequestId> {
        let kind = request::RequestKind::Prompt {
            prompt_tokens: 1_000,
            max_tokens: PIECES,
            prefix: 0,
        };
        self.arrive(unit, kind, None, timeout)
    }

    /// The caller of a request goes away.
    pub fn leave(&mut self, request: ids::RequestId) {
        let unit = self.callers[&request].unit;
        if self.runs_now(unit) {
            self.step(unit, event::NodeEvent::CallerGone { request });
        }
    }

    /// How a request ended.
    pub fn outcome(&self, request: ids::RequestId) -> Option<&outcome::RequestOutcome> {
        self.callers[&request].outcome.as_ref()
    }

    /// Attempts that hold memory on the engine.
    pub fn streams(&self) -> Vec<ids::AttemptId> {
        let held = self.runs.iter().filter(|(_, run)| run.engine);
        held.map(|(attempt, _)| *attempt).collect()
    }

    /// Puts a stream on the engine that no connection reads, of a request long over.
    pub fn leave_behind(&mut self, unit: usize, count: u64) {
        let machine = self.units[unit].machine.as_ref().unwrap();
        let node = machine.incarnation();
        let request = ids::RequestId { node, count };
        let attempt = ids::AttemptId { request, number: 1 };
        let run = EndpointRun {
            unit,
            life: node.0 >> 8,
            next: 0,
            engine: true,
            attached: false,
        };
        self.runs.insert(attempt, run);
    }

    /// Ticks until a claim's verdict for `request` is under way, and returns a copy of it.
    pub fn hold_verdict(&mut self, request: ids::RequestId, ticks: u32) -> peer::PeerEnvelope {
        for _ in 0..ticks {
            self.advance(1);
            let found = self.transit.iter().find_map(|transit| match transit {
                Transit::Peer { envelope, .. } => match &envelope.message {
                    peer::PeerMessage::ClaimReply { request: id, .. } if *id == request => {
                        Some(envelope.clone())
                    }
                    _ => None,
                },
                _ => None,
            });
            if let Some(envelope) = found {
                return envelope;
            }
        }
        panic!("no verdict for {request}")
    }

    /// Delivers a message once more.
    pub fn deliver(&mut self, unit: usize, envelope: peer::PeerEnvelope) {
        self.step(unit, event::NodeEvent::PeerReceived { envelope });
    }

    /// Lets time pass, tick by tick.
    pub fn advance(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + machine::TICK_PERIOD;
            self.carry();
            self.serve();
            for unit in 0..self.units.len() {
                if !self.runs_now(unit) {
                    continue;
                }
                if !self.store_down && self.now.as_millis().is_multiple_of(500) {
                    self.step(unit, event::NodeEvent::WatchAnswered);
                }
                self.step(unit, event::NodeEvent::Tick);
            }
            self.check();
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Moves on what is under way.
    fn carry(&mut self) {
        let mut moving = std::mem::take(&mut self.transit);
        moving.shuffle(&mut self.rng);
        for transit in moving {
            if self.chance(self.rates.late) {
                self.transit.push(transit);
                continue;
            }
            match transit {
                Transit::Peer { to, envelope } => self.carry_peer(to, envelope),
                Transit::Store {
                    unit,
                    life,
                    call,
                    body,
                } => self.carry_store(unit, life, call, body),
                Transit::Start { unit, life, order } => self.carry_start(unit, life, &order),
                Transit::Cancel {
                    unit,
                    life,
                    attempt,
                } => {
                    if self.chance(self.rates.lost) {
                        continue;
                    }
                    self.runs.remove(&attempt);
                    self.reply(unit, life, event::NodeEvent::CancelConfirmed { attempt });
                }
                Transit::Load {
                    unit,
                    life,
                    endpoint,
                } => {
                    let load = Some(self.engine_load());
                    self.reply(
                        unit,
                        life,
                        event::NodeEvent::LoadReported { endpoint, load },
                    );
                }
            }
        }
    }

    fn carry_peer(&mut self, to: net::SocketAddr, envelope: peer::PeerEnvelope) {
        if self.rates.lost_peers || self.chance(self.rates.lost) {
            return;
        }
        let unit = self
            .units
            .iter()
            .position(|unit| unit.entry.peer_address == to)
            .unwrap();
        if self.units[unit].paused {
            // The message waits in the paused process's socket.
            self.transit.push(Transit::Peer { to, envelope });
            return;
        }
        if self.chance(self.rates.doubled) {
            let envelope = envelope.clone();
            self.transit.push(Transit::Peer { to, envelope });
        }
        if self.units[unit].machine.is_some() {
            self.step(unit, event::NodeEvent::PeerReceived { envelope });
        }
    }

    /// Hands an event to the life of a machine that it is meant for; a paused one gets it later.
    fn reply(&mut self, unit: usize, life: u64, event: event::NodeEvent) {
        if self.life(unit) == Some(life) && self.runs_now(unit) {
            self.step(unit, event);
        }
    }

    fn carry_store(&mut self, unit: usize, life: u64, call: store::CallId, body: store::StoreCall) {
        if self.units[unit].paused && self.life(unit) == Some(life) {
            self.transit.push(Transit::Store {
                unit,
                life,
                call,
                body,
            });
            return;
        }
        let lost = self.chance(self.rates.store_lost);
        let before = self.store_down || (lost && self.rng.random());
        let reply = if before {
            store::StoreReply::Lost
        } else {
            self.call_store(&body)
        };
        let reply = if lost { store::StoreReply::Lost } else { reply };
        self.reply(unit, life, event::NodeEvent::StoreReplied { call, reply });
    }

    fn call_store(&mut self, call: &store::StoreCall) -> store::StoreReply {
        match call {
            store::StoreCall::Read { name } => match self.objects.get(name) {
                Some((version, value)) => store::StoreReply::Found {
                    version: *version,
                    value: value.clone(),
                },
                None => store::StoreReply::Absent,
            },
            store::StoreCall::Write {
                name,
                expected,
                value,
            } => {
                let current = self.objects.get(name).map(|(version, _)| *version);
                if current.unwrap_or(store::ObjectVersion::ABSENT) != *expected {
                    return store::StoreReply::Conflict;
                }
                self.revision += 1;
                let version = store::ObjectVersion(self.revision);
                self.objects.insert(name.clone(), (version, value.clone()));
                store::StoreReply::Written { version }
            }
            store::StoreCall::Remove { name } => {
                self.objects.remove(name);
                store::StoreReply::Absent
            }
        }
    }

    fn carry_start(&mut self, unit: usize, life: u64, order: &action::AttemptSpec) {
        let attempt = order.attempt;
        let run = EndpointRun {
            unit,
            life,
            next: order.resume_offset,
            engine: order.endpoint.as_str() == ENGINE,
            attached: self.is_wanted(attempt) && self.life(unit) == Some(life),
        };
        self.runs.insert(attempt, run);
    }

    /// Whether the connection of an attempt is still held by its sender.
    fn is_wanted(&self, attempt: ids::AttemptId) -> bool {
        self.started.contains(&attempt)
    }

    fn engine_load(&self) -> load::EngineLoad {
        let held = self.runs.iter().filter(|(_, run)| run.engine);
        let streams = held.map(|(attempt, run)| load::EngineStream {
            attempt: *attempt,
            tokens: 1_000 + PIECES,
            attached: run.attached,
        });
        let streams = streams.collect::<Vec<_>>();
        load::EngineLoad {
            incarnation: 1,
            slots: 16,
            memory_tokens: 400_000,
            used_tokens: streams.iter().map(|stream| stream.tokens).sum(),
            leaving: false,
            streams,
        }
    }

    /// Lets the endpoints work for a tick.
    fn serve(&mut self) {
        let attempts = self.runs.keys().copied().collect::<Vec<_>>();
        for attempt in attempts {
            let run = &self.runs[&attempt];
            let (unit, life, engine, next) = (run.unit, run.life, run.engine, run.next);
            if !run.attached || !self.runs_now(unit) {
                continue;
            }
            if self.rates.stalled {
                self.reply(unit, life, event::NodeEvent::AttemptProgressed { attempt });
            } else if self.chance(self.rates.broken) {
                self.runs.get_mut(&attempt).unwrap().attached = false;
                let end = outcome::AttemptEnd::Broken;
                self.reply(unit, life, event::NodeEvent::AttemptEnded { attempt, end });
            } else if engine && next < PIECES {
                self.runs.get_mut(&attempt).unwrap().next += 1;
                self.send_chunk(unit, life, attempt, next);
            } else if engine || self.chance(20) {
                self.runs.remove(&attempt);
                let answer = (!engine).then_some(outcome::RecordedAnswer {
                    status: 200,
                    body: None,
                });
                let end = outcome::AttemptEnd::Complete { answer };
                self.reply(unit, life, event::NodeEvent::AttemptEnded { attempt, end });
            }
        }
    }

    /// Delivers a piece of an answer; it may be doubled, and another's may cross it.
    fn send_chunk(&mut self, unit: usize, life: u64, attempt: ids::AttemptId, offset: u64) {
        let crossed = ids::AttemptId {
            number: attempt.number + 1,
            ..attempt
        };
        let doubled = self.chance(self.rates.doubled);
        let crosses = self.chance(self.rates.doubled);
        for named in [(crosses, crossed), (true, attempt), (doubled, attempt)] {
            let (sent, named) = named;
            if sent && self.life(unit) == Some(life) {
                let event = event::NodeEvent::ChunkReceived {
                    attempt,
                    tagged_attempt: named,
                    offset,
                };
                let actions = self.machine_step(unit, event);
                self.note_chunk(&actions, attempt, named, offset);
                self.carry_out(unit, actions);
            }
        }
    }

    fn note_chunk(
        &mut self,
        actions: &[action::NodeAction],
        attempt: ids::AttemptId,
        named: ids::AttemptId,
        offset: u64,
    ) {
        for action in actions {
            if let action::NodeAction::ForwardChunk { request } = action {
                let view = self.callers.get_mut(request).unwrap();
                assert_eq!(attempt, named, "a crossed piece was forwarded");
                assert_eq!(attempt.request, *request, "a piece went to another caller");
                assert_eq!(offset, view.pieces, "a piece came out of order");
                view.pieces += 1;
            }
        }
    }

    fn machine_step(&mut self, unit: usize, event: event::NodeEvent) -> Vec<action::NodeAction> {
        let now = self.now;
        let machine = self.units[unit].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.step(now, event))
    }

    /// Hands an event to a machine.
    pub fn step(&mut self, unit: usize, event: event::NodeEvent) {
        let actions = self.machine_step(unit, event);
        self.carry_out(unit, actions);
    }

    fn carry_out(&mut self, unit: usize, actions: Vec<action::NodeAction>) {
        let Some(life) = self.life(unit) else {
            return;
        };
        for action in actions {
            match action {
                action::NodeAction::SendPeer { to, envelope } => {
                    self.transit.push(Transit::Peer { to, envelope });
                }
                action::NodeAction::CallStore { call, body } => {
                    self.transit.push(Transit::Store {
                        unit,
                        life,
                        call,
                        body,
                    });
                }
                action::NodeAction::StartAttempt(order) => self.start_attempt(unit, life, order),
                action::NodeAction::DropAttempt { attempt } => {
                    self.started.remove(&attempt);
                    if let Some(run) = self.runs.get_mut(&attempt) {
                        run.attached = false;
                    }
                }
                action::NodeAction::CancelAttempt { attempt, .. } => {
                    self.transit.push(Transit::Cancel {
                        unit,
                        life,
                        attempt,
                    });
                }
                action::NodeAction::ReadLoad { endpoint, .. } => {
                    self.transit.push(Transit::Load {
                        unit,
                        life,
                        endpoint,
                    });
                }
                action::NodeAction::ListHosts => {
                    let hosts = self.units.iter().map(|unit| unit.entry.clone()).collect();
                    let leaving_endpoints = Vec::new();
                    let event = event::NodeEvent::HostsListed {
                        hosts,
                        leaving_endpoints,
                    };
                    self.step(unit, event);
                }
                action::NodeAction::FinishRequest { request, outcome } => {
                    self.finish(unit, request, outcome);
                }
                action::NodeAction::ForwardChunk { .. }
                | action::NodeAction::WatchConfig { .. }
                | action::NodeAction::SetReady { .. }
                | action::NodeAction::WriteLog(_)
                | action::NodeAction::Exit => {}
            }
        }
    }

    fn start_attempt(&mut self, unit: usize, life: u64, order: action::AttemptSpec) {
        let attempt = order.attempt;
        if self.chance(self.rates.not_sent) {
            let end = outcome::AttemptEnd::NotSent;
            self.step(unit, event::NodeEvent::AttemptEnded { attempt, end });
            return;
        }
        self.started.insert(attempt);
        if let Some(key) = self.callers[&attempt.request].key {
            self.may_run.entry(key).or_default().insert(attempt);
        }
        self.transit.push(Transit::Start { unit, life, order });
    }

    fn finish(&mut self, unit: usize, request: ids::RequestId, outcome: outcome::RequestOutcome) {
        let since = self.units[unit].running_since;
        let now = self.now;
        let sent = self.may_run.values().flatten();
        let sent = sent
            .chain(&self.started)
            .any(|attempt| attempt.request == request);
        let view = self.callers.get_mut(&request).unwrap();
        assert!(view.outcome.is_none(), "{request} ended twice: {outcome:?}");
        let until = view.deadline.max(since) + machine::TICK_PERIOD;
        assert!(now <= until, "{request} ended late: {outcome:?}");
        if matches!(outcome, outcome::RequestOutcome::NotRun { .. }) {
            assert!(!sent, "{request} may have run: {outcome:?}");
        }
        let prompt = view.key.is_none();
        if prompt && outcome == outcome::RequestOutcome::Answered {
            assert_eq!(view.pieces, PIECES, "{request} got a part of its answer");
        }
        view.outcome = Some(outcome);
    }

    /// Checks what must hold after each tick.
    fn check(&self) {
        for (key, attempts) in &self.may_run {
            assert!(
                attempts.len() <= 1,
                "key {key} was sent twice: {attempts:?}"
            );
        }
        for (request, view) in &self.callers {
            let lives = self.life(view.unit) == Some(view.life) && !self.units[view.unit].paused;
            let since = self.units[view.unit].running_since;
            let over = self.now > view.deadline.max(since) + machine::TICK_PERIOD;
            assert!(
                view.outcome.is_some() || !lives || !over,
                "{request} has not ended"
            );
        }
    }
}
