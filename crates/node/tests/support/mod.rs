//! Drives a few state machines against an object API and endpoints, all simulated in memory.
//!
//! Time advances in ticks. Pending messages and calls are processed in random order and may be
//! delayed, lost or duplicated, all determined by one seed. A failed check panics.

#![allow(dead_code, reason = "each test file uses a different part")]

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
/// Name of the only endpoint of the plain service.
pub const PLAIN_ENDPOINT: &str = "plain-0";
/// Number of chunks in the answer to each prompt.
pub const CHUNKS: u64 = 6;

/// Fault rates, in percent, and permanent faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Messages that are lost.
    pub lost: u32,
    /// Messages that are delivered twice.
    pub duplicated: u32,
    /// Pending messages and calls that are delayed by a tick, for each tick.
    pub delayed: u32,
    /// Calls to the object API whose replies are lost, half of them after taking effect.
    pub store_lost: u32,
    /// Attempts whose connections break, for each tick.
    pub broken: u32,
    /// Attempts that can't be sent.
    pub not_sent: u32,
    /// Whether all messages between hosts are lost.
    pub drop_peer_messages: bool,
    /// Whether endpoints report progress but never send an answer.
    pub stalled: bool,
}

/// A host with its state machine.
pub struct SimulatedHost {
    /// The machine; `None` while its process is killed.
    pub machine: Option<machine::NodeMachine>,
    /// Whether its process is paused.
    pub paused: bool,
    /// Time since which its process has run without a pause.
    running_since: time::MonoTime,
    entry: peer::HostEntry,
}

/// A message, call or reply that has not been delivered.
#[derive(Clone)]
enum PendingDelivery {
    Peer {
        to: net::SocketAddr,
        envelope: peer::PeerEnvelope,
    },
    Store {
        host: usize,
        process_id: u64,
        call: store::CallId,
        body: store::StoreCall,
    },
    /// An attempt that has not reached its endpoint.
    Start {
        host: usize,
        process_id: u64,
        spec: action::AttemptSpec,
    },
    Cancel {
        host: usize,
        process_id: u64,
        attempt: ids::AttemptId,
    },
    Load {
        host: usize,
        process_id: u64,
        endpoint: ids::EndpointId,
    },
}

/// An attempt that runs on its endpoint.
struct EndpointExecution {
    host: usize,
    process_id: u64,
    /// Index of the next chunk to send.
    next: u64,
    /// Whether it runs on the engine rather than on the plain endpoint.
    engine: bool,
    attached: bool,
}

/// State of a request at its client.
#[derive(Clone, Debug)]
pub struct ClientState {
    /// Host that received the request.
    pub host: usize,
    process_id: u64,
    /// Idempotency key.
    pub key: Option<u32>,
    /// Time by which the request must have ended.
    pub deadline: time::MonoTime,
    /// Number of chunks received.
    pub chunks: u64,
    /// Outcome, once the request has ended.
    pub outcome: Option<outcome::RequestOutcome>,
}

/// An object with its version.
type StoredObject = (store::ObjectVersion, String);

/// A few hosts with the simulated object API, endpoints and clients.
pub struct FleetDriver {
    /// Current time.
    pub now: time::MonoTime,
    /// The hosts.
    pub hosts: Vec<SimulatedHost>,
    /// Current fault rates.
    pub rates: FaultRates,
    /// Whether the object API gives no replies.
    pub store_down: bool,
    /// All requests.
    pub clients: collections::BTreeMap<ids::RequestId, ClientState>,
    /// Attempts of calls with idempotency keys that may have been sent, by key.
    pub sent_attempts_by_key: collections::BTreeMap<u32, collections::BTreeSet<ids::AttemptId>>,
    /// Attempts of all requests whose connection the sender has not dropped.
    connected_attempts: collections::BTreeSet<ids::AttemptId>,
    pending: Vec<PendingDelivery>,
    executions: collections::BTreeMap<ids::AttemptId, EndpointExecution>,
    objects: collections::BTreeMap<String, StoredObject>,
    revision: u64,
    last_request: u64,
    last_process_id: u64,
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
            PLAIN_ENDPOINT: { "service": "stockdesk-app", "data_centre": "kgn-a", "address": "127.0.0.1:9002" },
        },
    });
    serde_json::from_value(value).unwrap()
}

impl FleetDriver {
    /// Starts the hosts and lets them join without faults.
    pub fn new(machines: usize, seed: u64) -> Self {
        let entries = (0..machines).map(|index| peer::HostEntry {
            host: ids::HostId::new(&format!("host-{index}")),
            data_centre: ids::CentreId::new("kgn-a"),
            peer_address: address(7_000 + index),
            admin_address: address(8_000 + index),
            leaving: false,
        });
        let hosts = entries.map(|entry| SimulatedHost {
            machine: None,
            paused: false,
            running_since: time::MonoTime::default(),
            entry,
        });
        let mut driver = Self {
            now: time::MonoTime::from_millis(1_000),
            hosts: hosts.collect(),
            rates: FaultRates::default(),
            store_down: false,
            clients: collections::BTreeMap::new(),
            sent_attempts_by_key: collections::BTreeMap::new(),
            connected_attempts: collections::BTreeSet::new(),
            pending: Vec::new(),
            executions: collections::BTreeMap::new(),
            objects: collections::BTreeMap::new(),
            revision: 100,
            last_request: 0,
            last_process_id: 1,
            config: sync::Arc::new(first_config()),
            rng: rngs::SmallRng::seed_from_u64(seed),
        };
        for host in 0..machines {
            driver.start(host);
        }
        driver.advance(300);
        driver
    }

    /// Starts a new process on a host whose process was killed.
    pub fn start(&mut self, host: usize) {
        if self.hosts[host].machine.is_some() {
            return;
        }
        self.last_process_id += 1;
        let entry = &self.hosts[host].entry;
        let builder = settings::NodeBuilder::new(
            entry.host.clone(),
            entry.data_centre.clone(),
            entry.peer_address,
        );
        let settings = builder
            .incarnation(machine::new_incarnation(&entry.host, self.last_process_id))
            .seed(self.rng.random())
            .wall_origin_ms(1_000_000)
            .claim_shards(2)
            .build();
        let machine = machine::NodeMachine::new(settings, self.now);
        self.hosts[host].machine = Some(machine);
        self.hosts[host].paused = false;
        self.hosts[host].running_since = self.now;
        let config = self.config.clone();
        let version = config::ConfigVersion(1);
        self.step(host, event::NodeEvent::ConfigReceived { version, config });
    }

    /// Kills a host's process, which closes its connections to endpoints.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].machine = None;
        for execution in self
            .executions
            .values_mut()
            .filter(|execution| execution.host == host)
        {
            execution.attached = false;
        }
    }

    /// Pauses or resumes a host's process.
    pub fn set_paused(&mut self, host: usize, paused: bool) {
        if self.hosts[host].paused && !paused {
            self.hosts[host].running_since = self.now;
        }
        self.hosts[host].paused = paused;
    }

    fn is_running(&self, host: usize) -> bool {
        self.hosts[host].machine.is_some() && !self.hosts[host].paused
    }

    /// Returns the part of the incarnation that differs between processes.
    fn process_id(&self, host: usize) -> Option<u64> {
        let machine = self.hosts[host].machine.as_ref()?;
        Some(machine.incarnation().0 >> 8)
    }

    /// Sends a request to a host. Returns its id, or `None` if the host's process doesn't run.
    pub fn send_request(
        &mut self,
        host: usize,
        kind: request::RequestKind,
        key: Option<u32>,
        timeout: Duration,
    ) -> Option<ids::RequestId> {
        if !self.is_running(host) {
            return None;
        }
        self.last_request += 1;
        let id = ids::RequestId {
            node: self.hosts[host].machine.as_ref()?.incarnation(),
            count: self.last_request,
        };
        let service = match kind {
            request::RequestKind::Prompt { .. } => "stockdesk-lm",
            request::RequestKind::Plain { .. } => "stockdesk-app",
        };
        let deadline = self.now + timeout;
        let metadata = request::RequestMetadata {
            id,
            service: ids::ServiceId::new(service),
            customer: ids::CustomerId::new("depot-1"),
            kind,
            deadline,
        };
        let client = ClientState {
            host,
            process_id: self.process_id(host)?,
            key,
            deadline,
            chunks: 0,
            outcome: None,
        };
        self.clients.insert(id, client);
        self.step(host, event::NodeEvent::RequestArrived { request: metadata });
        Some(id)
    }

    /// Sends a call with an idempotency key.
    pub fn send_keyed_call(
        &mut self,
        host: usize,
        key: u32,
        timeout: Duration,
    ) -> Option<ids::RequestId> {
        let service = ids::ServiceId::new("stockdesk-app");
        let customer = ids::CustomerId::new("depot-1");
        let claim = ids::ClaimKey::digest(&service, &customer, &key.to_string());
        let kind = request::RequestKind::Plain {
            idempotent: false,
            claim: Some(claim),
            digest: u64::from(key),
        };
        self.send_request(host, kind, Some(key), timeout)
    }

    /// Sends a prompt.
    pub fn send_prompt(&mut self, host: usize, timeout: Duration) -> Option<ids::RequestId> {
        let kind = request::RequestKind::Prompt {
            prompt_tokens: 1_000,
            max_tokens: CHUNKS,
            prefix: 0,
        };
        self.send_request(host, kind, None, timeout)
    }

    /// Disconnects the client of a request.
    pub fn disconnect_client(&mut self, request: ids::RequestId) {
        let host = self.clients[&request].host;
        if self.is_running(host) {
            self.step(host, event::NodeEvent::ClientDisconnected { request });
        }
    }

    /// Returns the outcome of a request, if it has ended.
    pub fn outcome(&self, request: ids::RequestId) -> Option<&outcome::RequestOutcome> {
        self.clients[&request].outcome.as_ref()
    }

    /// Returns the attempts that hold memory on the engine.
    pub fn streams(&self) -> Vec<ids::AttemptId> {
        let on_engine = self
            .executions
            .iter()
            .filter(|(_, execution)| execution.engine);
        on_engine.map(|(attempt, _)| *attempt).collect()
    }

    /// Adds a stream of an ended request, without a connection that reads it, to the engine.
    pub fn add_orphaned_stream(&mut self, host: usize, count: u64) {
        let machine = self.hosts[host].machine.as_ref().unwrap();
        let node = machine.incarnation();
        let request = ids::RequestId { node, count };
        let attempt = ids::AttemptId { request, number: 1 };
        let execution = EndpointExecution {
            host,
            process_id: node.0 >> 8,
            next: 0,
            engine: true,
            attached: false,
        };
        self.executions.insert(attempt, execution);
    }

    /// Advances until a claim verdict for `request` is pending, and returns a copy of it.
    pub fn await_claim_reply(&mut self, request: ids::RequestId, ticks: u32) -> peer::PeerEnvelope {
        for _ in 0..ticks {
            self.advance(1);
            let found = self.pending.iter().find_map(|pending| match pending {
                PendingDelivery::Peer { envelope, .. } => match &envelope.message {
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

    /// Delivers a message to a host again.
    pub fn redeliver(&mut self, host: usize, envelope: peer::PeerEnvelope) {
        self.step(host, event::NodeEvent::PeerReceived { envelope });
    }

    /// Advances the time tick by tick.
    pub fn advance(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + machine::TICK_PERIOD;
            self.process_pending();
            self.run_endpoints();
            for host in 0..self.hosts.len() {
                if !self.is_running(host) {
                    continue;
                }
                if !self.store_down && self.now.as_millis().is_multiple_of(500) {
                    self.step(host, event::NodeEvent::WatchAnswered);
                }
                self.step(host, event::NodeEvent::Tick);
            }
            self.check_invariants();
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Processes pending deliveries in random order.
    fn process_pending(&mut self) {
        let mut deliveries = std::mem::take(&mut self.pending);
        deliveries.shuffle(&mut self.rng);
        for pending in deliveries {
            if self.chance(self.rates.delayed) {
                self.pending.push(pending);
                continue;
            }
            match pending {
                PendingDelivery::Peer { to, envelope } => self.deliver_peer_message(to, envelope),
                PendingDelivery::Store {
                    host,
                    process_id,
                    call,
                    body,
                } => self.process_store_call(host, process_id, call, body),
                PendingDelivery::Start {
                    host,
                    process_id,
                    spec,
                } => self.start_on_endpoint(host, process_id, &spec),
                PendingDelivery::Cancel {
                    host,
                    process_id,
                    attempt,
                } => {
                    if self.chance(self.rates.lost) {
                        continue;
                    }
                    self.executions.remove(&attempt);
                    self.deliver_to_process(
                        host,
                        process_id,
                        event::NodeEvent::CancelConfirmed { attempt },
                    );
                }
                PendingDelivery::Load {
                    host,
                    process_id,
                    endpoint,
                } => {
                    let load = Some(self.engine_load());
                    self.deliver_to_process(
                        host,
                        process_id,
                        event::NodeEvent::LoadReported { endpoint, load },
                    );
                }
            }
        }
    }

    fn deliver_peer_message(&mut self, to: net::SocketAddr, envelope: peer::PeerEnvelope) {
        if self.rates.drop_peer_messages || self.chance(self.rates.lost) {
            return;
        }
        let host = self
            .hosts
            .iter()
            .position(|host| host.entry.peer_address == to)
            .unwrap();
        if self.hosts[host].paused {
            // The message stays in the socket buffer of the paused process.
            self.pending.push(PendingDelivery::Peer { to, envelope });
            return;
        }
        if self.chance(self.rates.duplicated) {
            let envelope = envelope.clone();
            self.pending.push(PendingDelivery::Peer { to, envelope });
        }
        if self.hosts[host].machine.is_some() {
            self.step(host, event::NodeEvent::PeerReceived { envelope });
        }
    }

    /// Passes an event to a host if `process_id` still runs there. Events for a paused process
    /// are dropped.
    fn deliver_to_process(&mut self, host: usize, process_id: u64, event: event::NodeEvent) {
        if self.process_id(host) == Some(process_id) && self.is_running(host) {
            self.step(host, event);
        }
    }

    fn process_store_call(
        &mut self,
        host: usize,
        process_id: u64,
        call: store::CallId,
        body: store::StoreCall,
    ) {
        if self.hosts[host].paused && self.process_id(host) == Some(process_id) {
            self.pending.push(PendingDelivery::Store {
                host,
                process_id,
                call,
                body,
            });
            return;
        }
        let lost = self.chance(self.rates.store_lost);
        let lost_before_effect = self.store_down || (lost && self.rng.random());
        let reply = if lost_before_effect {
            store::StoreReply::Lost
        } else {
            self.call_store(&body)
        };
        let reply = if lost { store::StoreReply::Lost } else { reply };
        self.deliver_to_process(
            host,
            process_id,
            event::NodeEvent::StoreReplied { call, reply },
        );
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

    fn start_on_endpoint(&mut self, host: usize, process_id: u64, spec: &action::AttemptSpec) {
        let attempt = spec.attempt;
        let execution = EndpointExecution {
            host,
            process_id,
            next: spec.resume_offset,
            engine: spec.endpoint.as_str() == ENGINE,
            attached: self.is_connected(attempt) && self.process_id(host) == Some(process_id),
        };
        self.executions.insert(attempt, execution);
    }

    /// Whether the sender has not dropped the connection of an attempt.
    fn is_connected(&self, attempt: ids::AttemptId) -> bool {
        self.connected_attempts.contains(&attempt)
    }

    fn engine_load(&self) -> load::EngineLoad {
        let on_engine = self
            .executions
            .iter()
            .filter(|(_, execution)| execution.engine);
        let streams = on_engine.map(|(attempt, execution)| load::EngineStream {
            attempt: *attempt,
            tokens: 1_000 + CHUNKS,
            attached: execution.attached,
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

    /// Simulates one tick of the endpoints.
    fn run_endpoints(&mut self) {
        let attempts = self.executions.keys().copied().collect::<Vec<_>>();
        for attempt in attempts {
            let execution = &self.executions[&attempt];
            let (host, process_id, engine, next) = (
                execution.host,
                execution.process_id,
                execution.engine,
                execution.next,
            );
            if !execution.attached || !self.is_running(host) {
                continue;
            }
            if self.rates.stalled {
                self.deliver_to_process(
                    host,
                    process_id,
                    event::NodeEvent::AttemptProgressed { attempt },
                );
            } else if self.chance(self.rates.broken) {
                self.executions.get_mut(&attempt).unwrap().attached = false;
                let outcome = outcome::AttemptOutcome::Broken;
                self.deliver_to_process(
                    host,
                    process_id,
                    event::NodeEvent::AttemptEnded { attempt, outcome },
                );
            } else if engine && next < CHUNKS {
                self.executions.get_mut(&attempt).unwrap().next += 1;
                self.send_chunk(host, process_id, attempt, next);
            } else if engine || self.chance(20) {
                self.executions.remove(&attempt);
                let answer = (!engine).then_some(outcome::RecordedAnswer {
                    status: 200,
                    body: None,
                });
                let outcome = outcome::AttemptOutcome::Complete { answer };
                self.deliver_to_process(
                    host,
                    process_id,
                    event::NodeEvent::AttemptEnded { attempt, outcome },
                );
            }
        }
    }

    /// Delivers a chunk of an answer. It may be duplicated, or preceded by one that specifies
    /// another attempt.
    fn send_chunk(&mut self, host: usize, process_id: u64, attempt: ids::AttemptId, offset: u64) {
        let other_attempt = ids::AttemptId {
            number: attempt.number + 1,
            ..attempt
        };
        let duplicated = self.chance(self.rates.duplicated);
        let is_crossed = self.chance(self.rates.duplicated);
        for copy in [
            (is_crossed, other_attempt),
            (true, attempt),
            (duplicated, attempt),
        ] {
            let (sent, tagged_attempt) = copy;
            if sent && self.process_id(host) == Some(process_id) {
                let event = event::NodeEvent::ChunkReceived {
                    attempt,
                    tagged_attempt,
                    offset,
                };
                let actions = self.machine_step(host, event);
                self.check_forwarded_chunks(&actions, attempt, tagged_attempt, offset);
                self.perform(host, actions);
            }
        }
    }

    fn check_forwarded_chunks(
        &mut self,
        actions: &[action::NodeAction],
        attempt: ids::AttemptId,
        tagged_attempt: ids::AttemptId,
        offset: u64,
    ) {
        for action in actions {
            if let action::NodeAction::ForwardChunk { request } = action {
                let client = self.clients.get_mut(request).unwrap();
                assert_eq!(
                    attempt, tagged_attempt,
                    "a chunk of another attempt was forwarded"
                );
                assert_eq!(
                    attempt.request, *request,
                    "a chunk was forwarded to another client"
                );
                assert_eq!(offset, client.chunks, "a chunk was forwarded out of order");
                client.chunks += 1;
            }
        }
    }

    fn machine_step(&mut self, host: usize, event: event::NodeEvent) -> Vec<action::NodeAction> {
        let now = self.now;
        let machine = self.hosts[host].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.step(now, event))
    }

    /// Passes an event to a host's machine and performs the resulting actions.
    pub fn step(&mut self, host: usize, event: event::NodeEvent) {
        let actions = self.machine_step(host, event);
        self.perform(host, actions);
    }

    fn perform(&mut self, host: usize, actions: Vec<action::NodeAction>) {
        let Some(process_id) = self.process_id(host) else {
            return;
        };
        for action in actions {
            match action {
                action::NodeAction::SendPeer { to, envelope } => {
                    self.pending.push(PendingDelivery::Peer { to, envelope });
                }
                action::NodeAction::CallStore { call, body } => {
                    self.pending.push(PendingDelivery::Store {
                        host,
                        process_id,
                        call,
                        body,
                    });
                }
                action::NodeAction::StartAttempt(spec) => {
                    self.start_attempt(host, process_id, spec)
                }
                action::NodeAction::DropAttempt { attempt } => {
                    self.connected_attempts.remove(&attempt);
                    if let Some(execution) = self.executions.get_mut(&attempt) {
                        execution.attached = false;
                    }
                }
                action::NodeAction::CancelAttempt { attempt, .. } => {
                    self.pending.push(PendingDelivery::Cancel {
                        host,
                        process_id,
                        attempt,
                    });
                }
                action::NodeAction::ReadLoad { endpoint, .. } => {
                    self.pending.push(PendingDelivery::Load {
                        host,
                        process_id,
                        endpoint,
                    });
                }
                action::NodeAction::ListHosts => {
                    let hosts = self.hosts.iter().map(|host| host.entry.clone()).collect();
                    let leaving_endpoints = Vec::new();
                    let event = event::NodeEvent::HostsListed {
                        hosts,
                        leaving_endpoints,
                    };
                    self.step(host, event);
                }
                action::NodeAction::FinishRequest { request, outcome } => {
                    self.finish(host, request, outcome);
                }
                action::NodeAction::ForwardChunk { .. }
                | action::NodeAction::WatchConfig { .. }
                | action::NodeAction::SetReady { .. }
                | action::NodeAction::WriteLog(_)
                | action::NodeAction::Exit => {}
            }
        }
    }

    fn start_attempt(&mut self, host: usize, process_id: u64, spec: action::AttemptSpec) {
        let attempt = spec.attempt;
        if self.chance(self.rates.not_sent) {
            let outcome = outcome::AttemptOutcome::NotSent;
            self.step(host, event::NodeEvent::AttemptEnded { attempt, outcome });
            return;
        }
        self.connected_attempts.insert(attempt);
        if let Some(key) = self.clients[&attempt.request].key {
            self.sent_attempts_by_key
                .entry(key)
                .or_default()
                .insert(attempt);
        }
        self.pending.push(PendingDelivery::Start {
            host,
            process_id,
            spec,
        });
    }

    fn finish(&mut self, host: usize, request: ids::RequestId, outcome: outcome::RequestOutcome) {
        let since = self.hosts[host].running_since;
        let now = self.now;
        let sent = self.sent_attempts_by_key.values().flatten();
        let sent = sent
            .chain(&self.connected_attempts)
            .any(|attempt| attempt.request == request);
        let client = self.clients.get_mut(&request).unwrap();
        assert!(
            client.outcome.is_none(),
            "{request} ended twice: {outcome:?}"
        );
        let until = client.deadline.max(since) + machine::TICK_PERIOD;
        assert!(now <= until, "{request} ended late: {outcome:?}");
        if matches!(outcome, outcome::RequestOutcome::NotRun { .. }) {
            assert!(!sent, "{request} may have run: {outcome:?}");
        }
        let prompt = client.key.is_none();
        if prompt && outcome == outcome::RequestOutcome::Answered {
            assert_eq!(
                client.chunks, CHUNKS,
                "{request} was answered with only a part of its answer"
            );
        }
        client.outcome = Some(outcome);
    }

    /// Checks the invariants that must hold after each tick.
    fn check_invariants(&self) {
        for (key, attempts) in &self.sent_attempts_by_key {
            assert!(
                attempts.len() <= 1,
                "key {key} was sent twice: {attempts:?}"
            );
        }
        for (request, client) in &self.clients {
            let is_running = self.process_id(client.host) == Some(client.process_id)
                && !self.hosts[client.host].paused;
            let since = self.hosts[client.host].running_since;
            let is_overdue = self.now > client.deadline.max(since) + machine::TICK_PERIOD;
            assert!(
                client.outcome.is_some() || !is_running || !is_overdue,
                "{request} has not ended"
            );
        }
    }
}
