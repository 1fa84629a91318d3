//! Feeds events to the state machine and executes the actions that it returns.

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
use crate::clock;
use crate::intake;
use crate::logs;
use crate::request_channel;
use crate::shared;
use crate::traffic;
use crate::watch;

/// Interval at which the status read by the listeners is refreshed.
const STATUS_PERIOD: Duration = Duration::from_millis(200);

/// Input of the driver.
#[derive(Debug)]
pub(crate) enum DriverInput {
    /// An event, with the response message that it delivers to the client.
    Event {
        event: event::NodeEvent,
        payload: Option<request_channel::ResponseMessage>,
    },
    /// Messages from a peer.
    PeerMessages(peer::server::PeerDelivery),
    /// A request from a client.
    Request(request_channel::IncomingRequest),
}

impl DriverInput {
    pub fn event(event: event::NodeEvent) -> Self {
        Self::Event {
            event,
            payload: None,
        }
    }

    pub fn with_payload(
        event: event::NodeEvent,
        payload: request_channel::ResponseMessage,
    ) -> Self {
        Self::Event {
            event,
            payload: Some(payload),
        }
    }
}

/// A client that is waiting for its response.
struct ClientEntry {
    content: sync::Arc<request_channel::RequestContent>,
    _reservation: intake::BodyReservation,
    response_messages: mpsc::Sender<request_channel::ResponseMessage>,
}

/// Dependencies of a driver.
pub(crate) struct DriverContext {
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

/// Owns the state machine and the tasks that execute its actions.
pub(crate) struct NodeDriver {
    context: DriverContext,
    exit: Option<oneshot::Sender<()>>,
    clients: map::HashMap<ids::RequestId, ClientEntry>,
    attempt_tasks: map::HashMap<ids::AttemptId, task::AbortHandle>,
    watch_task: Option<task::AbortHandle>,
    next_status_at: time::Instant,
    published_version: config::ConfigVersion,
    config_in_force_since: time::Instant,
    /// Peer whose call is being handled and can still be answered with a reply.
    reply_address: Option<std::net::SocketAddr>,
    /// Messages to that peer, returned in the reply to its call.
    reply_envelopes: Vec<model::peer::PeerEnvelope>,
}

impl NodeDriver {
    pub fn new(mut context: DriverContext) -> Self {
        let (unused, _) = oneshot::channel();
        let exit = Some(std::mem::replace(&mut context.exit, unused));
        Self {
            context,
            exit,
            clients: map::HashMap::default(),
            attempt_tasks: map::HashMap::default(),
            watch_task: None,
            next_status_at: time::Instant::now(),
            published_version: config::ConfigVersion::default(),
            config_in_force_since: time::Instant::now(),
            reply_address: None,
            reply_envelopes: Vec::new(),
        }
    }

    /// Runs until the state machine requests the exit or every sender of inputs is dropped.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<DriverInput>) {
        let mut ticks = time::interval(machine::TICK_PERIOD);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        while self.exit.is_some() {
            tokio::select! {
                _ = ticks.tick() => self.step(event::NodeEvent::Tick, None),
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
            self.publish_status();
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::Event { event, payload } => self.step(event, payload),
            DriverInput::PeerMessages(delivery) => self.handle_peer_messages(delivery),
            DriverInput::Request(incoming) => self.handle_request(incoming),
        }
    }

    /// Handles messages from a peer. Messages that this produces for the same peer are returned in
    /// the reply to its call.
    fn handle_peer_messages(&mut self, delivery: peer::server::PeerDelivery) {
        let reply_to = delivery.envelopes.first().map(|first| first.reply_to);
        self.reply_address = reply_to.filter(|_| delivery.replies.is_some());
        for envelope in delivery.envelopes {
            self.step(event::NodeEvent::PeerReceived { envelope }, None);
        }
        self.reply_address = None;
        let envelopes = std::mem::take(&mut self.reply_envelopes);
        if let Some(reply) = delivery.replies {
            // A peer that has abandoned its call sends its request again.
            let _ = reply.send(envelopes);
        }
    }

    fn send_peer(&mut self, to: std::net::SocketAddr, envelope: model::peer::PeerEnvelope) {
        if self.reply_address == Some(to) {
            self.reply_envelopes.push(envelope);
        } else {
            self.context.links.send(to, envelope);
        }
    }

    fn handle_request(&mut self, incoming: request_channel::IncomingRequest) {
        let id = self.context.shared.ids.allocate();
        let metadata = request::RequestMetadata {
            id,
            service: incoming.service,
            customer: incoming.customer,
            kind: incoming.kind,
            deadline: self.context.clock.now() + incoming.timeout,
        };
        let entry = ClientEntry {
            content: sync::Arc::new(incoming.content),
            _reservation: incoming.reservation,
            response_messages: incoming.response_messages,
        };
        logs::write_arrival(&metadata);
        // The channel is new, so it has capacity.
        let _ = entry
            .response_messages
            .try_send(request_channel::ResponseMessage::Accepted(id));
        self.clients.insert(id, entry);
        self.step(event::NodeEvent::RequestArrived { request: metadata }, None);
    }

    fn step(
        &mut self,
        event: event::NodeEvent,
        mut payload: Option<request_channel::ResponseMessage>,
    ) {
        let now = self.context.clock.now();
        if let event::NodeEvent::AttemptEnded { attempt, .. } = &event {
            self.attempt_tasks.remove(attempt);
        }
        let actions = self.context.machine.step(now, event);
        let incarnation = self.context.machine.incarnation().0;
        self.context
            .shared
            .ids
            .incarnation
            .store(incarnation, atomic::Ordering::Relaxed);
        self.publish_config();
        for action in actions {
            self.execute(action, &mut payload);
        }
    }

    fn execute(
        &mut self,
        action: action::NodeAction,
        payload: &mut Option<request_channel::ResponseMessage>,
    ) {
        match action {
            action::NodeAction::SendPeer { to, envelope } => self.send_peer(to, envelope),
            action::NodeAction::StartAttempt(spec) => self.start_attempt(spec),
            action::NodeAction::DropAttempt { attempt } => {
                if let Some(handle) = self.attempt_tasks.remove(&attempt) {
                    handle.abort();
                }
            }
            action::NodeAction::ForwardChunk { request } => {
                self.forward_chunk(request, payload.take())
            }
            action::NodeAction::FinishRequest { request, outcome } => {
                self.finish_request(request, outcome, payload.take());
            }
            action::NodeAction::CancelAttempt { attempt, address } => {
                self.cancel_attempt(attempt, address)
            }
            action::NodeAction::ReadLoad { endpoint, address } => self.read_load(endpoint, address),
            action::NodeAction::CallStore { call, body } => self.call_store(call, body),
            action::NodeAction::WatchConfig { enabled, after } => self.watch_config(enabled, after),
            action::NodeAction::ListHosts => self.list_hosts(),
            action::NodeAction::SetReady { ready } => {
                self.context
                    .shared
                    .ready
                    .store(ready, atomic::Ordering::Relaxed);
            }
            action::NodeAction::WriteLog(record) => logs::write_record(&self.context.host, &record),
            action::NodeAction::Exit => {
                if let Some(exit) = self.exit.take() {
                    // The receiver is dropped only when the process is exiting anyway.
                    let _ = exit.send(());
                }
            }
        }
    }

    fn start_attempt(&mut self, spec: action::AttemptSpec) {
        let attempt = spec.attempt;
        log::debug!(target: "sardinepaddle", "request: {} attempt {} on {}", attempt.request, attempt.number, spec.endpoint);
        let Some(entry) = self.clients.get(&attempt.request) else {
            return;
        };
        let task = attempts::AttemptTask {
            send_deadline: self.context.clock.instant(spec.send_deadline),
            spec,
            content: entry.content.clone(),
            inputs: self.context.inputs.clone(),
        };
        let handle = tokio::spawn(attempts::run(task)).abort_handle();
        self.attempt_tasks.insert(attempt, handle);
    }

    fn forward_chunk(
        &mut self,
        request: ids::RequestId,
        payload: Option<request_channel::ResponseMessage>,
    ) {
        let Some((entry, message)) = self.clients.get(&request).zip(payload) else {
            return;
        };
        if entry.response_messages.try_send(message).is_err() {
            self.report_disconnect(request);
        }
    }

    fn report_disconnect(&self, request: ids::RequestId) {
        let inputs = self.context.inputs.clone();
        tokio::spawn(async move {
            let input = DriverInput::event(event::NodeEvent::ClientDisconnected { request });
            // The driver outlives its clients except when the process exits.
            let _ = inputs.send(input).await;
        });
    }

    fn finish_request(
        &mut self,
        request: ids::RequestId,
        outcome: outcome::RequestOutcome,
        payload: Option<request_channel::ResponseMessage>,
    ) {
        let Some(entry) = self.clients.remove(&request) else {
            return;
        };
        logs::write_outcome(request, &outcome);
        tokio::spawn(async move {
            if let Some(message @ request_channel::ResponseMessage::Response(_)) = payload {
                // Sending fails only if the client has disconnected.
                let _ = entry.response_messages.send(message).await;
            }
            let _ = entry
                .response_messages
                .send(request_channel::ResponseMessage::Outcome(outcome))
                .await;
        });
    }

    fn cancel_attempt(&self, attempt: ids::AttemptId, address: std::net::SocketAddr) {
        self.spawn_event(async move {
            let confirmed = engine_client::cancel(address, attempt).await;
            confirmed.then_some(event::NodeEvent::CancelConfirmed { attempt })
        });
    }

    fn read_load(&self, endpoint: ids::EndpointId, address: std::net::SocketAddr) {
        let control = self.context.control.clone();
        self.spawn_event(async move {
            let reading = engine_client::load(address).await;
            control.loads.add(reading.body_bytes);
            let load = reading.load;
            Some(event::NodeEvent::LoadReported { endpoint, load })
        });
    }

    fn call_store(&self, call: store::CallId, body: store::StoreCall) {
        let platform = self.context.platform.clone();
        let inputs = self.context.inputs.clone();
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
        if let Some(handle) = self.watch_task.take() {
            handle.abort();
        }
        if enabled {
            let platform = self.context.platform.clone();
            let inputs = self.context.inputs.clone();
            self.watch_task =
                Some(tokio::spawn(watch::run(platform, after, inputs)).abort_handle());
        }
    }

    fn list_hosts(&self) {
        let platform = self.context.platform.clone();
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

    fn spawn_event(&self, task: impl Future<Output = Option<event::NodeEvent>> + Send + 'static) {
        let inputs = self.context.inputs.clone();
        tokio::spawn(async move {
            if let Some(event) = task.await {
                // The driver outlives its tasks except when the process exits.
                let _ = inputs.send(DriverInput::event(event)).await;
            }
        });
    }

    fn publish_config(&mut self) {
        let version = self.context.machine.config_version();
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        self.config_in_force_since = time::Instant::now();
        let config = self.context.machine.config();
        *self
            .context
            .shared
            .config
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = config;
    }

    fn publish_status(&mut self) {
        let now = time::Instant::now();
        if now < self.next_status_at {
            return;
        }
        self.next_status_at = now + STATUS_PERIOD;
        let machine = &self.context.machine;
        let shared = &self.context.shared;
        let status = shared::NodeStatus {
            host: self.context.host.to_string(),
            incarnation: machine.incarnation(),
            ready: shared.ready.load(atomic::Ordering::Relaxed),
            version: machine.config_version(),
            in_flight: machine.in_flight(),
            members: machine.members(),
            kept: machine.coordinated_endpoints(),
            stats: machine.stats().clone(),
            config_age_ms: u64::try_from(self.config_in_force_since.elapsed().as_millis())
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
