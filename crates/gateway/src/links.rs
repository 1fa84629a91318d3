//! Connections between daemons: each daemon keeps one to its placer, the daemon that places its
//! requests.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use model::ids;
use model::map;
use pool::replica;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;
use tokio_util::codec;

use crate::compression;
use crate::message;
use crate::message::PlacementMessage;
use crate::message::PlacerStatus;
use crate::sockets;
use crate::state;

/// Timeout for connecting to another daemon and for its hello: several times the longest latency
/// between data centres.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a follower sends its first message other than objects: several times what the
/// transfer of its objects takes.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Time without a message after which the placer counts as lost, ms: three heartbeats.
const PLACER_TIMEOUT_MS: f64 = 1_000.0;
/// Time without a message after which a follower counts as lost, ms: longer than for the placer, as
/// only the follower's own placements depend on it.
const FOLLOWER_TIMEOUT_MS: f64 = 2_500.0;
/// Time in which a message is sent. A daemon that doesn't read for so long counts as lost as well.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which a daemon checks whether to switch to another placer.
const SELECTION_PERIOD: Duration = Duration::from_millis(250);
/// Interval at which a placer checks whether a daemon ranked before it should take over, ms: two
/// placers at the same time would each place with only half of the running requests in view.
const PREFERENCE_CHECK_MS: f64 = 1_000.0;
/// Maximum number of daemons contacted in one such check.
const MAX_PREFERENCE_CHECKS: usize = 8;
/// Minimum number of daemons that a daemon without a placer contacts before it selects one.
const MIN_CONTACTED: usize = 3;
/// Maximum number of daemons contacted in vain in one selection.
const MAX_FAILED_CONTACTS: usize = 8;
/// Time after the start of this daemon in which it waits for daemons that are ranked before all
/// others and are starting too, ms: each change of the placer loses what the previous one knew.
const STARTUP_WAIT_MS: f64 = 1_000.0;
/// Maximum number of daemons asked one after the other for the placer that they follow.
const MAX_FOLLOWED: usize = 6;
/// Delay for further changes to arrive before they are processed.
const CHANGE_SETTLE_TIME: Duration = Duration::from_millis(25);

type MessageStream = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// Reason for the end of a connection.
#[derive(Debug, thiserror::Error)]
enum PeerError {
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    #[error("connection failed: {0}")]
    Broken(#[from] std::io::Error),
    #[error("invalid message: {0}")]
    InvalidMessage(#[from] postcard::Error),
    #[error("connection closed by the peer")]
    Closed,
    #[error("no message received in time")]
    TimedOut,
    #[error("the peer does not read its messages")]
    Unread,
    #[error("the daemon is not ready to place requests")]
    NotReady,
}

type Result<T> = std::result::Result<T, PeerError>;

/// Contents of another daemon's [`PlacementMessage::Hello`].
struct PeerHello {
    host: ids::HostId,
    incarnation: u64,
    status: PlacerStatus,
    /// The daemon that places its requests.
    placer: Option<ids::HostId>,
}

impl PeerHello {
    fn places_for_others(&self) -> bool {
        self.placer.as_ref() == Some(&self.host)
    }
}

/// A message connection to another daemon.
struct PeerConnection {
    state: rc::Rc<state::DaemonState>,
    framed: MessageStream,
    /// Number of the latest change of the replica that the peer has.
    last_sent_change: u64,
    /// Changes of large objects that the peer has.
    peer_stamps: map::HashMap<(u8, String), replica::ObjectStamp>,
    /// Time of the last message received, ms since the start of the process.
    last_received_at: f64,
}

impl PeerConnection {
    fn new(state: &rc::Rc<state::DaemonState>, stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            state: state.clone(),
            framed: codec::Framed::new(stream, message::frame_codec()),
            last_sent_change: 0,
            peer_stamps: map::HashMap::default(),
            last_received_at: state.now(),
        })
    }

    /// Sends a message that doesn't depend on the era of the store.
    async fn send(&mut self, message: &PlacementMessage) -> Result<()> {
        self.send_with_era(message, 0).await
    }

    async fn send_with_era(&mut self, message: &PlacementMessage, era: u64) -> Result<()> {
        self.state.metrics.peer_message();
        let bytes = message::encode(message, era)?;
        let sent = time::timeout(SEND_TIMEOUT, self.framed.send(bytes)).await;
        Ok(sent.map_err(|_| PeerError::Unread)??)
    }

    /// Receives a message and the era of the store to which it belongs, zero for none.
    async fn receive(&mut self) -> Result<(PlacementMessage, u64)> {
        let frame = self.framed.next().await.ok_or(PeerError::Closed)??;
        self.last_received_at = self.state.now();
        Ok(message::decode(&frame)?)
    }

    async fn send_changes(&mut self) -> Result<()> {
        let objects = self.state.cache().changed_since(self.last_sent_change);
        self.last_sent_change = self.state.cache().last_change();
        let is_large = |object: &replica::ReplicaObject| {
            let spec = object.spec.as_ref();
            spec.is_some_and(|spec| spec.len() >= compression::MIN_COMPRESSED_BYTES)
        };
        let (large, small): (Vec<_>, Vec<_>) = objects.into_iter().partition(is_large);
        let mut by_era = collections::BTreeMap::<u64, Vec<_>>::new();
        for object in small {
            by_era.entry(object.era).or_default().push(object);
        }
        for (era, objects) in by_era {
            let message = PlacementMessage::Objects(objects);
            self.send_with_era(&message, era).await?;
        }
        for object in large {
            self.send_compressed(object).await?;
        }
        Ok(())
    }

    async fn send_compressed(&mut self, mut object: replica::ReplicaObject) -> Result<()> {
        let key = (object.kind, object.name.clone());
        let (era, stamp) = (object.era, object.stamp());
        let known_stamp = self.peer_stamps.get(&key).copied();
        if known_stamp == Some(stamp) {
            return Ok(());
        }
        let (base, compressed) = self.state.compress(&object, known_stamp)?;
        self.peer_stamps.insert(key, stamp);
        object.spec = None;
        let message = PlacementMessage::Compressed {
            object,
            base,
            compressed,
        };
        self.send_with_era(&message, era).await
    }

    /// Receives the next message that does not carry store objects, applying those that do and the
    /// ages in heartbeats.
    async fn receive_message(&mut self, source: &ids::HostId) -> Result<PlacementMessage> {
        loop {
            match self.receive().await? {
                (PlacementMessage::Objects(mut objects), era) => {
                    for object in &mut objects {
                        object.era = era;
                    }
                    self.apply_objects(objects, source.as_str());
                }
                (
                    PlacementMessage::Compressed {
                        mut object,
                        base,
                        compressed,
                    },
                    era,
                ) => {
                    object.era = era;
                    self.apply_compressed(object, base, &compressed, source.as_str())?;
                }
                (message, era) => {
                    if let PlacementMessage::Heartbeat { ages_ms, .. } = &message {
                        self.state.merge_ages(ages_ms, era, source.as_str());
                    }
                    return Ok(message);
                }
            }
        }
    }

    /// Applies a large object and records that the peer has it, so that it is not sent back.
    fn apply_compressed(
        &mut self,
        mut object: replica::ReplicaObject,
        base: u64,
        compressed: &[u8],
        source: &str,
    ) -> Result<()> {
        let content = self.state.cache().decompress(&object, base, compressed)?;
        object.spec = Some(content.into());
        let key = (object.kind, object.name.clone());
        self.peer_stamps.insert(key, object.stamp());
        self.apply_objects(vec![object], source);
        Ok(())
    }

    /// Applies objects and records that the peer has them, so that they are not sent back.
    fn apply_objects(&mut self, objects: Vec<replica::ReplicaObject>, source: &str) {
        let was_current = self.last_sent_change == self.state.cache().last_change();
        let has_removals = self.state.merge(objects, source);
        if was_current && !has_removals {
            self.last_sent_change = self.state.cache().last_change();
        }
    }

    async fn exchange_hello(&mut self) -> Result<PeerHello> {
        let hello_message = PlacementMessage::Hello {
            host: self.state.settings().host.clone(),
            incarnation: self.state.incarnation,
            status: self.state.placer_status(),
            placer: self.state.placer_host(),
        };
        self.send(&hello_message).await?;
        let reply = time::timeout(DIAL_TIMEOUT, self.receive()).await;
        match reply.map_err(|_| PeerError::TimedOut)??.0 {
            PlacementMessage::Hello {
                host,
                incarnation,
                status,
                placer,
            } => Ok(PeerHello {
                host,
                incarnation,
                status,
                placer,
            }),
            _ => Err(PeerError::Closed),
        }
    }

    async fn send_heartbeat(&mut self, watch_store: bool) -> Result<()> {
        let state = &self.state;
        let heartbeat = PlacementMessage::Heartbeat {
            ages_ms: state.ages(),
            store_reachable: state.is_store_reachable(),
            status: state.placer_status(),
            watch_store,
        };
        let era = state.store_era();
        self.send_with_era(&heartbeat, era).await
    }

    /// Serves a follower until its connection ends.
    async fn serve_follower(mut self) -> Result<()> {
        let PeerHello {
            host, incarnation, ..
        } = self.exchange_hello().await?;
        self.state.rank.borrow_mut().reset_backoff(&host);
        // A daemon that connected only to ask for the placer sends nothing more.
        let first_message = time::timeout(FIRST_MESSAGE_TIMEOUT, self.receive_message(&host));
        let first_message = first_message.await.map_err(|_| PeerError::TimedOut)??;
        let (sender, mut outbox) = mpsc::unbounded_channel();
        self.state.add_follower(incarnation, sender.clone());
        log::info!(target: "sardinepaddle", daemon:% = host, life = incarnation; "daemon connected");
        if let Some(placer) = self.state.remote_placer_host() {
            // Sent after the list of daemons, which contains the address of the placer.
            let _ = sender.send(PlacementMessage::PlacerChanged { placer });
        }
        let result = self
            .follower_loop(incarnation, &host, first_message, &mut outbox)
            .await;
        self.state.remove_follower(&host, incarnation, &sender);
        if let Err(error) = &result {
            log::info!(target: "sardinepaddle", daemon:% = host, life = incarnation, error:% = error;
                "daemon disconnected");
        }
        result
    }

    async fn follower_loop(
        &mut self,
        incarnation: u64,
        host: &ids::HostId,
        first_message: PlacementMessage,
        outbox: &mut mpsc::UnboundedReceiver<PlacementMessage>,
    ) -> Result<()> {
        let mut changes = self.state.subscribe_changes();
        self.handle_follower_message(incarnation, host, first_message)
            .await?;
        self.send_changes().await?;
        let mut liveness_checks = time::interval(HEARTBEAT_PERIOD);
        loop {
            tokio::select! {
                message = self.receive_message(host) => {
                    self.handle_follower_message(incarnation, host, message?).await?;
                }
                Some(message) = outbox.recv() => self.send(&message).await?,
                _ = changes.changed() => self.send_changes().await?,
                _ = liveness_checks.tick() => {
                    if self.state.now() - self.last_received_at > FOLLOWER_TIMEOUT_MS {
                        return Err(PeerError::TimedOut);
                    }
                }
            }
        }
    }

    async fn handle_follower_message(
        &mut self,
        incarnation: u64,
        host: &ids::HostId,
        message: PlacementMessage,
    ) -> Result<()> {
        self.state.record_follower_message(incarnation);
        let PlacementMessage::Heartbeat {
            store_reachable, ..
        } = message
        else {
            self.state.handle_follower_message(incarnation, message);
            return Ok(());
        };
        let watch_store = self.state.assign_store_watch(host, store_reachable);
        self.send_heartbeat(watch_store).await
    }

    /// Runs as a follower of the placer until the connection ends.
    async fn run_follower(
        &mut self,
        host: &ids::HostId,
        draining: &cell::Cell<bool>,
    ) -> Result<()> {
        let (sender, mut outbox) = mpsc::unbounded_channel();
        let mut changes = self.state.subscribe_changes();
        self.send_changes().await?;
        self.state
            .set_placer_location(state::PlacerLocation::Remote {
                host: host.clone(),
                sender,
            });
        // Followers that are added from now on are redirected as they are added.
        self.state.redirect_followers(host);
        let mut heartbeats = time::interval(HEARTBEAT_PERIOD);
        loop {
            tokio::select! {
                message = self.receive_message(host) => match message? {
                    PlacementMessage::Heartbeat { status, watch_store, .. } => {
                        self.state.set_assigned_store_watch(watch_store);
                        draining.set(status == PlacerStatus::Draining);
                    }
                    message => self.state.handle_placer_message(message),
                },
                Some(message) = outbox.recv() => self.send(&message).await?,
                _ = changes.changed() => self.send_changes().await?,
                _ = heartbeats.tick() => {
                    if self.state.now() - self.last_received_at > PLACER_TIMEOUT_MS {
                        return Err(PeerError::TimedOut);
                    }
                    self.send_heartbeat(false).await?;
                }
            }
        }
    }
}

/// Accepts connections of other daemons.
pub(crate) async fn accept(state: rc::Rc<state::DaemonState>, listener: tokio::net::TcpListener) {
    loop {
        let stream = sockets::accept(&listener, "a daemon").await;
        let state = state.clone();
        task::spawn_local(async move {
            let connection = PeerConnection::new(&state, stream);
            if let Ok(connection) = connection {
                // The reason for the end of the connection has been logged.
                let _ = connection.serve_follower().await;
            }
        });
    }
}

/// A connection to the placer.
struct PlacerConnection {
    host: ids::HostId,
    /// Whether the placer is shutting down.
    draining: rc::Rc<cell::Cell<bool>>,
    task: task::JoinHandle<()>,
}

impl Drop for PlacerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Result of selecting a placer.
enum PlacerSelection {
    Local,
    Remote(Box<PeerConnection>, ids::HostId),
    Unchanged,
}

/// Keeps the daemon connected to its placer; never returns.
pub(crate) async fn follow_placer(state: rc::Rc<state::DaemonState>) {
    let mut placer_connection: Option<PlacerConnection> = None;
    let mut changes = state.subscribe_changes();
    let mut preference_checked_at = state.now();
    loop {
        let selection = match (&placer_connection, state.take_announced_placer()) {
            (Some(current), Some(placer)) if current.host != placer => {
                select_named_placer(&state, &current.host, placer).await
            }
            (Some(current), _) if !current.draining.get() => PlacerSelection::Unchanged,
            (None, _) if state.places_for_others() && state.is_ready() => {
                if state.now() - preference_checked_at < PREFERENCE_CHECK_MS {
                    PlacerSelection::Unchanged
                } else {
                    preference_checked_at = state.now();
                    find_preferred_placer(&state).await
                }
            }
            _ => select_placer(&state, placer_connection.as_ref()).await,
        };
        match selection {
            PlacerSelection::Unchanged => {}
            PlacerSelection::Local => {
                if placer_connection.take().is_some() {
                    state.set_placer_location(state::PlacerLocation::Local);
                }
            }
            PlacerSelection::Remote(connection, host) => {
                let draining = rc::Rc::new(cell::Cell::new(false));
                let task = task::spawn_local(maintain_connection(
                    connection,
                    host.clone(),
                    draining.clone(),
                ));
                placer_connection = Some(PlacerConnection {
                    host,
                    draining,
                    task,
                });
            }
        }
        let pause = async {
            tokio::select! {
                () = time::sleep(SELECTION_PERIOD) => {}
                // A new list of daemons may contain a better placer.
                _ = changes.changed() => time::sleep(CHANGE_SETTLE_TIME).await,
                () = state.wait_for_announced_placer() => {}
            }
        };
        match placer_connection.as_mut() {
            Some(current) => tokio::select! {
                // The connection ended: select the next placer at once.
                _ = &mut current.task => placer_connection = None,
                () = pause => {}
            },
            None => pause.await,
        }
    }
}

/// Returns the daemons that may be selected as placer, most preferred first.
fn candidates(state: &state::DaemonState) -> Vec<(ids::HostId, net::SocketAddr)> {
    let settings = state.settings();
    let rank = state.rank.borrow();
    if rank.daemons().is_empty() {
        // Without a list of daemons, start from the seeds, which may have one.
        let seeds = settings.seeds.iter().copied();
        let others = seeds.filter(|seed| *seed != settings.listen.peers);
        return others
            .map(|seed| (ids::HostId::new("seed"), seed))
            .collect();
    }
    let now = state.now();
    let available = rank
        .daemons()
        .iter()
        .filter(|daemon| !rank.is_backed_off(&daemon.host, now));
    available
        .map(|daemon| (daemon.host.clone(), daemon.address))
        .collect()
}

fn address_of(state: &state::DaemonState, host: &ids::HostId) -> Option<net::SocketAddr> {
    let rank = state.rank.borrow();
    let mut daemons = rank.daemons().iter();
    let daemon = daemons.find(|daemon| daemon.host == *host);
    daemon.map(|daemon| daemon.address)
}

/// Selects the placer that the daemon `source` named, or the one that this placer follows by now. If
/// the daemons follow each other in a circle, the first in rank order that is ready is selected.
async fn select_named_placer(
    state: &rc::Rc<state::DaemonState>,
    source: &ids::HostId,
    named: ids::HostId,
) -> PlacerSelection {
    let own_host = state.settings().host.clone();
    let mut followed = vec![source.clone()];
    let mut selected = None;
    let mut next = named;
    while followed.len() <= MAX_FOLLOWED {
        if next == own_host || followed.contains(&next) {
            followed.push(next);
            return select_in_circle(state, followed).await;
        }
        let Some((connection, hello)) = contact_ready(state, &next).await else {
            break;
        };
        let placer = hello.placer.filter(|placer| *placer != hello.host);
        followed.push(hello.host.clone());
        selected = Some((connection, hello.host));
        match placer {
            Some(placer) => next = placer,
            None => break,
        }
    }
    match selected {
        Some((connection, host)) => PlacerSelection::Remote(Box::new(connection), host),
        None => PlacerSelection::Unchanged,
    }
}

/// Selects the first daemon in rank order that is ready, of those that follow each other in a circle.
async fn select_in_circle(
    state: &rc::Rc<state::DaemonState>,
    mut followed: Vec<ids::HostId>,
) -> PlacerSelection {
    loop {
        let first = state
            .rank
            .borrow()
            .first_of(&followed, &state.entry)
            .cloned();
        let Some(first) = first else {
            return PlacerSelection::Unchanged;
        };
        log::info!(target: "sardinepaddle", placer:% = first, daemons = followed.len();
            "daemons follow each other: selecting the one ranked first");
        if first == state.settings().host {
            if state.is_ready() {
                return PlacerSelection::Local;
            }
        } else if let Some((connection, hello)) = contact_ready(state, &first).await {
            return match state.remote_placer_host() == Some(first) {
                true => PlacerSelection::Unchanged,
                false => PlacerSelection::Remote(Box::new(connection), hello.host),
            };
        }
        followed.retain(|host| *host != first);
    }
}

/// Connects to a listed daemon that is ready to place requests.
async fn contact_ready(
    state: &rc::Rc<state::DaemonState>,
    host: &ids::HostId,
) -> Option<(PeerConnection, PeerHello)> {
    let Some(address) = address_of(state, host) else {
        log::info!(target: "sardinepaddle", placer:% = host; "placer not listed in the store yet");
        return None;
    };
    let contacted = contact(state, host, address).await;
    contacted.filter(|(_, hello)| hello.status == PlacerStatus::Ready)
}

/// Looks for a daemon ranked before this one that should take over this one's followers.
async fn find_preferred_placer(state: &rc::Rc<state::DaemonState>) -> PlacerSelection {
    let own_host = state.settings().host.clone();
    let preferred = candidates(state);
    let preferred = preferred
        .into_iter()
        .take_while(|(host, _)| *host != own_host);
    for (host, address) in preferred.take(MAX_PREFERENCE_CHECKS) {
        let Some((connection, hello)) = contact(state, &host, address).await else {
            continue;
        };
        let places_for_others = hello.places_for_others();
        let should_yield = state
            .rank
            .borrow()
            .should_yield(&own_host, &host, places_for_others);
        if should_yield && hello.status == PlacerStatus::Ready {
            return PlacerSelection::Remote(Box::new(connection), hello.host);
        }
    }
    PlacerSelection::Unchanged
}

/// Selects a placer for this daemon's requests: the placer of a contacted daemon, or else the first
/// daemon that can place requests.
async fn select_placer(
    state: &rc::Rc<state::DaemonState>,
    placer_connection: Option<&PlacerConnection>,
) -> PlacerSelection {
    let own_host = state.settings().host.clone();
    let current = placer_connection.map(|current| &current.host);
    let mut prefer_local = false;
    let (mut contacted, mut failed) = (0, 0);
    let mut first_ready = None;
    let mut last_resort = None;
    for (host, address) in candidates(state) {
        if Some(&host) == current {
            continue;
        }
        if host == own_host {
            prefer_local = state.is_ready() && first_ready.is_none();
            continue;
        }
        let Some((connection, hello)) = contact(state, &host, address).await else {
            failed += 1;
            if failed >= MAX_FAILED_CONTACTS {
                break;
            }
            continue;
        };
        contacted += 1;
        let reported_placer = hello.placer.as_ref();
        let reported_placer =
            reported_placer.filter(|placer| **placer != own_host && Some(*placer) != current);
        let named_placer = reported_placer
            .filter(|placer| **placer != hello.host)
            .cloned();
        if let Some(placer) = named_placer {
            let selection = select_named_placer(state, &hello.host, placer).await;
            if !matches!(selection, PlacerSelection::Unchanged) {
                return selection;
            }
        }
        match hello.status {
            PlacerStatus::Ready if hello.places_for_others() => {
                return PlacerSelection::Remote(Box::new(connection), hello.host);
            }
            PlacerStatus::Ready => {
                first_ready.get_or_insert((connection, hello.host));
            }
            PlacerStatus::Draining => {
                last_resort.get_or_insert((connection, hello.host));
            }
            PlacerStatus::NotReady => {}
        }
        if contacted >= MIN_CONTACTED && (prefer_local || first_ready.is_some()) {
            break;
        }
    }
    let first = match (&first_ready, prefer_local) {
        (_, true) => Some(&own_host),
        (first_ready, false) => first_ready.as_ref().map(|(_, host)| host),
    };
    if let Some(first) = first.filter(|_| state.now() < STARTUP_WAIT_MS) {
        let rank = state.rank.borrow();
        let hosts = rank.daemons().iter().map(|daemon| &daemon.host);
        let mut ahead = hosts.take_while(|host| *host != first);
        if ahead.any(|host| rank.is_starting(host)) {
            return PlacerSelection::Unchanged;
        }
    }
    if prefer_local {
        return PlacerSelection::Local;
    }
    let last_resort = last_resort.filter(|_| placer_connection.is_none() && !state.is_ready());
    match first_ready.or(last_resort) {
        Some((connection, host)) => PlacerSelection::Remote(Box::new(connection), host),
        None => PlacerSelection::Unchanged,
    }
}

/// Connects to a daemon and exchanges hellos. A daemon that does not respond, can't place requests
/// or is shutting down goes into backoff; the connection to one that is shutting down is returned
/// nevertheless, for use as a last resort.
async fn contact(
    state: &rc::Rc<state::DaemonState>,
    host: &ids::HostId,
    address: net::SocketAddr,
) -> Option<(PeerConnection, PeerHello)> {
    let error = match dial(state, address).await {
        Ok((connection, hello)) if hello.status != PlacerStatus::NotReady => {
            if hello.status == PlacerStatus::Draining {
                state.rank.borrow_mut().back_off(host, state.now());
            }
            return Some((connection, hello));
        }
        Ok(_) => PeerError::NotReady,
        Err(error) => error,
    };
    log::info!(target: "sardinepaddle", daemon:% = host, error:% = error; "daemon not available");
    let mut rank = state.rank.borrow_mut();
    match error {
        PeerError::NotReady => rank.back_off_starting(host, state.now()),
        _ => rank.back_off(host, state.now()),
    }
    None
}

async fn dial(
    state: &rc::Rc<state::DaemonState>,
    address: net::SocketAddr,
) -> Result<(PeerConnection, PeerHello)> {
    let stream = sockets::dial(address, DIAL_TIMEOUT).await;
    let stream = stream.map_err(PeerError::Connect)?;
    let mut connection = PeerConnection::new(state, stream)?;
    let hello = connection.exchange_hello().await?;
    Ok((connection, hello))
}

/// Runs as a follower on a connection. Once it ends, this daemon places its own requests until
/// another placer is selected.
async fn maintain_connection(
    mut connection: Box<PeerConnection>,
    host: ids::HostId,
    draining: rc::Rc<cell::Cell<bool>>,
) {
    let state = connection.state.clone();
    state.rank.borrow_mut().reset_backoff(&host);
    if let Err(error) = connection.run_follower(&host, &draining).await {
        log::warn!(target: "sardinepaddle", daemon:% = host, error:% = error;
            "connection to the placer lost");
        state.rank.borrow_mut().back_off(&host, state.now());
        state.set_placer_location(state::PlacerLocation::Local);
    }
}
