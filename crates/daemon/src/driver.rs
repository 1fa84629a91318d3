//! Drives the state machine: hands it events and carries out its actions.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use engine::client as engine_client;
use model::config;
use model::ids;
use model::map;
use model::outcome;
use model::request;
use model::store;
use node::action;
use node::event;
use node::machine;
use objects::client;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task;
use tokio::time;

use crate::attempts;
use crate::caller;
use crate::clock;
use crate::intake;
use crate::logs;
use crate::shared;
use crate::traffic;
use crate::watch;

/// Time between two copies of the state for the ports.
const STATUS_PERIOD: Duration = Duration::from_millis(200);

/// Something for the driver.
#[derive(Debug)]
pub(crate) enum DriverInput {
    /// An event, with what it carries for the caller.
    Event {
        event: event::NodeEvent,
        payload: Option<caller::CallerPart>,
    },
    /// Messages of a peer.
    Delivered(peer::server::PeerDelivery),
    /// A caller's request.
    Arrived(caller::ArrivedRequest),
}

impl DriverInput {
    pub fn event(event: event::NodeEvent) -> Self {
        Self::Event {
            event,
            payload: None,
        }
    }

    pub fn with_payload(event: event::NodeEvent, payload: caller::CallerPart) -> Self {
        Self::Event {
            event,
            payload: Some(payload),
        }
    }
}

/// A caller that waits for its answer.
struct CallerEntry {
    body: sync::Arc<caller::RequestBody>,
    _lease: intake::BodyLease,
    parts: mpsc::Sender<caller::CallerPart>,
}

/// What a driver works with.
pub(crate) struct DriverParts {
    pub machine: machine::NodeMachine,
    pub clock: clock::NodeClock,
    pub host: ids::HostId,
    pub platform: client::PlatformClient,
    pub links: peer::links::PeerLinks,
    pub control: sync::Arc<traffic::ControlTraffic>,
    pub shared: sync::Arc<shared::SharedState>,
    pub inputs: mpsc::Sender<DriverInput>,
    pub exit: oneshot::Sender<()>,
}

/// Owns the state machine.
pub(crate) struct NodeDriver {
    parts: DriverParts,
    exit: Option<oneshot::Sender<()>>,
    callers: map::HashMap<ids::RequestId, CallerEntry>,
    attempts: map::HashMap<ids::AttemptId, task::AbortHandle>,
    watch: Option<task::AbortHandle>,
    status_at: time::Instant,
    copied_version: config::ConfigVersion,
    config_since: time::Instant,
    /// Peer whose call is being taken, and what goes back in its reply.
    answering: Option<std::net::SocketAddr>,
    answers: Vec<model::peer::PeerEnvelope>,
}

impl NodeDriver {
    pub fn new(mut parts: DriverParts) -> Self {
        let (unused, _) = oneshot::channel();
        let exit = Some(std::mem::replace(&mut parts.exit, unused));
        Self {
            parts,
            exit,
            callers: map::HashMap::default(),
            attempts: map::HashMap::default(),
            watch: None,
            status_at: time::Instant::now(),
            copied_version: config::ConfigVersion::default(),
            config_since: time::Instant::now(),
            answering: None,
            answers: Vec::new(),
        }
    }

    /// Runs until the state machine ends the process or all inputs are gone.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<DriverInput>) {
        let mut ticks = time::interval(machine::TICK_PERIOD);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        while self.exit.is_some() {
            tokio::select! {
                _ = ticks.tick() => self.step(event::NodeEvent::Tick, None),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
            self.copy_status();
        }
    }

    fn take(&mut self, input: DriverInput) {
        match input {
            DriverInput::Event { event, payload } => self.step(event, payload),
            DriverInput::Delivered(delivery) => self.receive(delivery),
            DriverInput::Arrived(arrived) => self.admit(arrived),
        }
    }

    /// Takes a peer's messages; what goes back to it at once goes as the reply to its call.
    fn receive(&mut self, delivery: peer::server::PeerDelivery) {
        let reply_to = delivery.envelopes.first().map(|first| first.reply_to);
        self.answering = reply_to.filter(|_| delivery.replies.is_some());
        for envelope in delivery.envelopes {
            self.step(event::NodeEvent::PeerReceived { envelope }, None);
        }
        self.answering = None;
        let envelopes = std::mem::take(&mut self.answers);
        if let Some(answers) = delivery.replies {
            // A peer that has given up its call asks again.
            let _ = answers.send(envelopes);
        }
    }

    fn send_peer(&mut self, to: std::net::SocketAddr, envelope: model::peer::PeerEnvelope) {
        if self.answering == Some(to) {
            self.answers.push(envelope);
        } else {
            self.parts.links.send(to, envelope);
        }
    }

    fn admit(&mut self, arrived: caller::ArrivedRequest) {
        let id = self.parts.shared.ids.draw();
        let head = request::RequestMetadata {
            id,
            service: arrived.service,
            customer: arrived.customer,
            kind: arrived.kind,
            deadline: self.parts.clock.now() + arrived.timeout,
        };
        let entry = CallerEntry {
            body: sync::Arc::new(arrived.body),
            _lease: arrived.lease,
            parts: arrived.parts,
        };
        logs::write_arrival(&head);
        // The queue is new and has room.
        let _ = entry.parts.try_send(caller::CallerPart::Accepted(id));
        self.callers.insert(id, entry);
        self.step(event::NodeEvent::RequestArrived { request: head }, None);
    }

    fn step(&mut self, event: event::NodeEvent, mut payload: Option<caller::CallerPart>) {
        let now = self.parts.clock.now();
        if let event::NodeEvent::AttemptEnded { attempt, .. } = &event {
            self.attempts.remove(attempt);
        }
        let actions = self.parts.machine.step(now, event);
        let life = self.parts.machine.incarnation().0;
        self.parts
            .shared
            .ids
            .incarnation
            .store(life, atomic::Ordering::Relaxed);
        self.copy_config();
        for action in actions {
            self.carry_out(action, &mut payload);
        }
    }

    fn carry_out(&mut self, action: action::NodeAction, payload: &mut Option<caller::CallerPart>) {
        match action {
            action::NodeAction::SendPeer { to, envelope } => self.send_peer(to, envelope),
            action::NodeAction::StartAttempt(order) => self.start_attempt(order),
            action::NodeAction::DropAttempt { attempt } => {
                if let Some(handle) = self.attempts.remove(&attempt) {
                    handle.abort();
                }
            }
            action::NodeAction::ForwardChunk { request } => self.forward(request, payload.take()),
            action::NodeAction::FinishRequest { request, outcome } => {
                self.finish(request, outcome, payload.take());
            }
            action::NodeAction::CancelAttempt { attempt, address } => self.cancel(attempt, address),
            action::NodeAction::ReadLoad { endpoint, address } => self.read_load(endpoint, address),
            action::NodeAction::CallStore { call, body } => self.call_store(call, body),
            action::NodeAction::WatchConfig { enabled, after } => self.watch_config(enabled, after),
            action::NodeAction::ListHosts => self.list_hosts(),
            action::NodeAction::SetReady { ready } => {
                self.parts
                    .shared
                    .ready
                    .store(ready, atomic::Ordering::Relaxed);
            }
            action::NodeAction::WriteLog(note) => logs::write_note(&self.parts.host, &note),
            action::NodeAction::Exit => {
                if let Some(exit) = self.exit.take() {
                    // The receiver is gone only if the process ends anyway.
                    let _ = exit.send(());
                }
            }
        }
    }

    fn start_attempt(&mut self, order: action::AttemptSpec) {
        let attempt = order.attempt;
        log::debug!(target: "sardinepaddle", "request: {} attempt {} on {}", attempt.request, attempt.number, order.endpoint);
        let Some(entry) = self.callers.get(&attempt.request) else {
            return;
        };
        let task = attempts::AttemptTask {
            not_after: self.parts.clock.instant(order.send_deadline),
            order,
            body: entry.body.clone(),
            inputs: self.parts.inputs.clone(),
        };
        let handle = tokio::spawn(attempts::run(task)).abort_handle();
        self.attempts.insert(attempt, handle);
    }

    fn forward(&mut self, request: ids::RequestId, payload: Option<caller::CallerPart>) {
        let Some((entry, part)) = self.callers.get(&request).zip(payload) else {
            return;
        };
        if entry.parts.try_send(part).is_err() {
            self.lose_caller(request);
        }
    }

    fn lose_caller(&self, request: ids::RequestId) {
        let inputs = self.parts.inputs.clone();
        tokio::spawn(async move {
            let input = DriverInput::event(event::NodeEvent::ClientDisconnected { request });
            // The driver outlives its callers except at the end of the process.
            let _ = inputs.send(input).await;
        });
    }

    fn finish(
        &mut self,
        request: ids::RequestId,
        outcome: outcome::RequestOutcome,
        payload: Option<caller::CallerPart>,
    ) {
        let Some(entry) = self.callers.remove(&request) else {
            return;
        };
        logs::write_outcome(request, &outcome);
        tokio::spawn(async move {
            if let Some(part @ caller::CallerPart::Answer(_)) = payload {
                // A caller that has gone needs no answer.
                let _ = entry.parts.send(part).await;
            }
            let _ = entry.parts.send(caller::CallerPart::End(outcome)).await;
        });
    }

    fn cancel(&self, attempt: ids::AttemptId, address: std::net::SocketAddr) {
        self.spawn_event(async move {
            let confirmed = engine_client::cancel(address, attempt).await;
            confirmed.then_some(event::NodeEvent::CancelConfirmed { attempt })
        });
    }

    fn read_load(&self, endpoint: ids::EndpointId, address: std::net::SocketAddr) {
        let control = self.parts.control.clone();
        self.spawn_event(async move {
            let reading = engine_client::load(address).await;
            control.loads.add(reading.body_bytes);
            let load = reading.load;
            Some(event::NodeEvent::LoadReported { endpoint, load })
        });
    }

    fn call_store(&self, call: store::CallId, body: store::StoreCall) {
        let platform = self.parts.platform.clone();
        let inputs = self.parts.inputs.clone();
        let reads_config =
            matches!(&body, store::StoreCall::Read { name } if name == config::CONFIG_OBJECT);
        self.spawn_event(async move {
            let reply = platform.call(body).await;
            if let store::StoreReply::Found { version, value } = &reply
                && reads_config
                && let Some(event) = watch::parse(&client::StoredObject {
                    version: *version,
                    value: value.clone(),
                })
            {
                let _ = inputs.send(DriverInput::event(event)).await;
            }
            Some(event::NodeEvent::StoreReplied { call, reply })
        });
    }

    fn watch_config(&mut self, enabled: bool, after: config::ConfigVersion) {
        if let Some(handle) = self.watch.take() {
            handle.abort();
        }
        if enabled {
            let platform = self.parts.platform.clone();
            let inputs = self.parts.inputs.clone();
            self.watch = Some(tokio::spawn(watch::run(platform, after, inputs)).abort_handle());
        }
    }

    fn list_hosts(&self) {
        let platform = self.parts.platform.clone();
        self.spawn_event(async move {
            let listing = platform.hosts().await.ok()?;
            let hosts = listing.hosts;
            let leaving_endpoints = listing.leaving_endpoints;
            Some(event::NodeEvent::HostsListed {
                hosts,
                leaving_endpoints,
            })
        });
    }

    fn spawn_event(&self, work: impl Future<Output = Option<event::NodeEvent>> + Send + 'static) {
        let inputs = self.parts.inputs.clone();
        tokio::spawn(async move {
            if let Some(event) = work.await {
                // The driver outlives its calls except at the end of the process.
                let _ = inputs.send(DriverInput::event(event)).await;
            }
        });
    }

    fn copy_config(&mut self) {
        let version = self.parts.machine.config_version();
        if version == self.copied_version {
            return;
        }
        self.copied_version = version;
        self.config_since = time::Instant::now();
        let config = self.parts.machine.config();
        *self
            .parts
            .shared
            .config
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = config;
    }

    fn copy_status(&mut self) {
        let now = time::Instant::now();
        if now < self.status_at {
            return;
        }
        self.status_at = now + STATUS_PERIOD;
        let machine = &self.parts.machine;
        let shared = &self.parts.shared;
        let status = shared::NodeStatus {
            host: self.parts.host.to_string(),
            incarnation: machine.incarnation(),
            ready: shared.ready.load(atomic::Ordering::Relaxed),
            version: machine.config_version(),
            in_flight: machine.in_flight(),
            members: machine.members(),
            kept: machine.coordinated_endpoints(),
            stats: machine.stats().clone(),
            config_age_ms: u64::try_from(self.config_since.elapsed().as_millis())
                .unwrap_or(u64::MAX),
            control: traffic::ControlStatus::default(),
        };
        *shared
            .status
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = status;
        *shared
            .config
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = machine.config();
    }
}
