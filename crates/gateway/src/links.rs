//! Connections between daemons: each keeps one to the daemon that places for it.

use std::cell;
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

use crate::message;
use crate::message::LinkMessage;
use crate::message::PlacerState;
use crate::packing;
use crate::sockets;
use crate::world;

/// Time that a connection to another daemon may take: some times the longest way between data
/// centres.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a daemon that follows says so: some times the way of what it tells before.
const FIRST_WORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two signs of life.
const BEAT_PERIOD: Duration = Duration::from_millis(300);
/// Silence after which the daemon that places counts as lost, ms: three signs of life.
const SILENCE_MS: f64 = 1_000.0;
/// Silence after which a follower counts as lost, ms: more, as only its grants depend on it.
const FOLLOWER_SILENCE_MS: f64 = 2_500.0;
/// Time between two looks at whether another daemon should place.
const CHOICE_PERIOD: Duration = Duration::from_millis(250);
/// Time between two looks of the daemon that places at those before it, ms: two that place at once
/// each know half of the work.
const COMPARE_MS: f64 = 1_000.0;
/// Daemons that it asks in one look.
const MOST_COMPARED: usize = 8;
/// Daemons that one without a placer asks who places, at least.
const MOST_ASKED: usize = 3;
/// Time for further news to come along before they are looked at.
const NEWS_PAUSE: Duration = Duration::from_millis(25);

type Frames = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// Why a connection is over.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("cannot connect: {0}")]
    Dial(#[source] std::io::Error),
    #[error("connection broke: {0}")]
    Broken(#[from] std::io::Error),
    #[error("unreadable message: {0}")]
    Unreadable(#[from] postcard::Error),
    #[error("closed by the other side")]
    Closed,
    #[error("silent")]
    Silent,
    #[error("it can't place")]
    Unready,
}

type Result<T> = std::result::Result<T, LinkError>;

/// What another daemon says of itself.
struct DaemonGreeting {
    host: ids::HostId,
    life: u64,
    state: PlacerState,
    /// The daemon that places its requests.
    placer: Option<ids::HostId>,
}

impl DaemonGreeting {
    fn places_for_others(&self) -> bool {
        self.placer.as_ref() == Some(&self.host)
    }
}

/// Sends and receives messages on one connection.
struct DaemonLink {
    world: rc::Rc<world::DaemonWorld>,
    frames: Frames,
    /// Newest change of the replica that the other side has.
    sent_change: u64,
    /// Revisions of large objects that the other side has.
    other_has: map::HashMap<(u8, String), u64>,
    heard_at: f64,
}

impl DaemonLink {
    fn new(world: &rc::Rc<world::DaemonWorld>, stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            world: world.clone(),
            frames: codec::Framed::new(stream, message::frames()),
            sent_change: 0,
            other_has: map::HashMap::default(),
            heard_at: world.now(),
        })
    }

    async fn send(&mut self, message: &LinkMessage) -> Result<()> {
        self.world.metrics.peer_message();
        let bytes = message::encode(message)?;
        Ok(self.frames.send(bytes).await?)
    }

    async fn receive(&mut self) -> Result<LinkMessage> {
        let frame = self.frames.next().await.ok_or(LinkError::Closed)??;
        self.heard_at = self.world.now();
        Ok(message::decode(&frame)?)
    }

    async fn send_changes(&mut self) -> Result<()> {
        let objects = self.world.known().since(self.sent_change);
        self.sent_change = self.world.known().last_change();
        let is_large = |object: &replica::ReplicaObject| {
            let spec = object.spec.as_ref();
            spec.is_some_and(|spec| spec.len() >= packing::LEAST_PACKED)
        };
        let (large, small): (Vec<_>, Vec<_>) = objects.into_iter().partition(is_large);
        if !small.is_empty() {
            self.send(&LinkMessage::Objects(small)).await?;
        }
        for object in large {
            self.send_large(object).await?;
        }
        Ok(())
    }

    async fn send_large(&mut self, mut object: replica::ReplicaObject) -> Result<()> {
        let key = (object.kind, object.name.clone());
        let has = self.other_has.get(&key).copied();
        if has.is_some_and(|has| has >= object.revision) {
            return Ok(());
        }
        let (base, packed) = self.world.pack(&object, has)?;
        self.other_has.insert(key, object.revision);
        object.spec = None;
        let message = LinkMessage::Packed {
            object,
            base,
            packed,
        };
        self.send(&message).await
    }

    /// Receives the next message that is not about objects of the store; takes those in.
    async fn receive_other(&mut self, from: &ids::HostId) -> Result<LinkMessage> {
        loop {
            match self.receive().await? {
                LinkMessage::Objects(objects) => self.take_objects(objects, from.as_str()),
                LinkMessage::Packed {
                    object,
                    base,
                    packed,
                } => self.take_large(object, base, &packed, from.as_str())?,
                other => return Ok(other),
            }
        }
    }

    /// Takes a large object in; the other side needs it not back.
    fn take_large(
        &mut self,
        mut object: replica::ReplicaObject,
        base: u64,
        packed: &[u8],
        from: &str,
    ) -> Result<()> {
        let content = self.world.known().unpack(&object, base, packed)?;
        object.spec = Some(content.into());
        let key = (object.kind, object.name.clone());
        let has = self.other_has.entry(key).or_default();
        *has = (*has).max(object.revision);
        self.take_objects(vec![object], from);
        Ok(())
    }

    /// Takes objects in; the other side needs none of them back.
    fn take_objects(&mut self, objects: Vec<replica::ReplicaObject>, from: &str) {
        let current = self.sent_change == self.world.known().last_change();
        self.world.apply(objects, from);
        if current {
            self.sent_change = self.world.known().last_change();
        }
    }

    async fn greet(&mut self) -> Result<DaemonGreeting> {
        let hello = LinkMessage::Hello {
            host: self.world.settings().host.clone(),
            life: self.world.life,
            state: self.world.placer_state(),
            placer: self.world.placed_by(),
        };
        self.send(&hello).await?;
        let reply = time::timeout(DIAL_TIMEOUT, self.receive()).await;
        match reply.map_err(|_| LinkError::Silent)?? {
            LinkMessage::Hello {
                host,
                life,
                state,
                placer,
            } => Ok(DaemonGreeting {
                host,
                life,
                state,
                placer,
            }),
            _ => Err(LinkError::Closed),
        }
    }

    fn beat(&self, follow: bool) -> LinkMessage {
        let world = &self.world;
        LinkMessage::Beat {
            ages_ms: world.ages(),
            sighted: world.is_sighted(),
            state: world.placer_state(),
            follow,
        }
    }

    /// Serves a daemon that follows, until it is gone.
    async fn serve_follower(mut self) -> Result<()> {
        let DaemonGreeting { host, life, .. } = self.greet().await?;
        self.world.rank.borrow_mut().reset_backoff(&host);
        // One that only asked who places says nothing more.
        let first = time::timeout(FIRST_WORD_TIMEOUT, self.receive_other(&host));
        let first = first.await.map_err(|_| LinkError::Silent)??;
        let (sender, mut outbox) = mpsc::unbounded_channel();
        self.world.add_follower(life, sender.clone());
        log::info!(target: "sardinepaddle", daemon:% = host, life; "daemon connected");
        if let Some(placer) = self.world.placed_elsewhere() {
            // Sent behind what is known of the daemons, and so of that one.
            let _ = sender.send(LinkMessage::Moved { placer });
        }
        let end = self.follower_loop(life, &host, first, &mut outbox).await;
        self.world.drop_follower(&host, life, &sender);
        if let Err(error) = &end {
            log::info!(target: "sardinepaddle", daemon:% = host, life, error:% = error;
                "daemon disconnected");
        }
        end
    }

    async fn follower_loop(
        &mut self,
        life: u64,
        host: &ids::HostId,
        first: LinkMessage,
        outbox: &mut mpsc::UnboundedReceiver<LinkMessage>,
    ) -> Result<()> {
        let mut changes = self.world.changes();
        self.on_follower_message(life, host, first).await?;
        self.send_changes().await?;
        let mut checks = time::interval(BEAT_PERIOD);
        loop {
            tokio::select! {
                message = self.receive_other(host) => {
                    self.on_follower_message(life, host, message?).await?;
                }
                Some(message) = outbox.recv() => self.send(&message).await?,
                _ = changes.changed() => self.send_changes().await?,
                _ = checks.tick() => {
                    if self.world.now() - self.heard_at > FOLLOWER_SILENCE_MS {
                        return Err(LinkError::Silent);
                    }
                }
            }
        }
    }

    async fn on_follower_message(
        &mut self,
        life: u64,
        host: &ids::HostId,
        message: LinkMessage,
    ) -> Result<()> {
        let LinkMessage::Beat {
            ages_ms, sighted, ..
        } = message
        else {
            self.world.on_follower_message(life, message);
            return Ok(());
        };
        self.world.note_ages(&ages_ms);
        let follow = self.world.choose_follower(host, sighted);
        let beat = self.beat(follow);
        self.send(&beat).await
    }

    /// Follows the daemon that places, until it is lost.
    async fn follow(&mut self, host: &ids::HostId, leaving: &cell::Cell<bool>) -> Result<()> {
        let (sender, mut outbox) = mpsc::unbounded_channel();
        let mut changes = self.world.changes();
        self.send_changes().await?;
        self.world.set_role(world::PlacerRole::Remote {
            host: host.clone(),
            sender,
        });
        let mut beats = time::interval(BEAT_PERIOD);
        loop {
            tokio::select! {
                message = self.receive_other(host) => match message? {
                    LinkMessage::Beat { ages_ms, state, follow, .. } => {
                        self.world.note_ages(&ages_ms);
                        self.world.set_told_to_follow(follow);
                        leaving.set(state == PlacerState::Leaving);
                    }
                    message => self.world.on_placer_message(message),
                },
                Some(message) = outbox.recv() => self.send(&message).await?,
                _ = changes.changed() => self.send_changes().await?,
                _ = beats.tick() => {
                    if self.world.now() - self.heard_at > SILENCE_MS {
                        return Err(LinkError::Silent);
                    }
                    let beat = self.beat(false);
                    self.send(&beat).await?;
                }
            }
        }
    }
}

/// Takes connections of other daemons.
pub(crate) async fn accept(world: rc::Rc<world::DaemonWorld>, listener: tokio::net::TcpListener) {
    loop {
        let stream = sockets::accept(&listener, "a daemon").await;
        let world = world.clone();
        task::spawn_local(async move {
            let link = DaemonLink::new(&world, stream);
            if let Ok(link) = link {
                // How it ended has been logged.
                let _ = link.serve_follower().await;
            }
        });
    }
}

/// A connection to the daemon that places.
struct Following {
    host: ids::HostId,
    leaving: rc::Rc<cell::Cell<bool>>,
    task: task::JoinHandle<()>,
}

impl Drop for Following {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Who is to place from now on.
enum PlacerChoice {
    Own,
    Other(Box<DaemonLink>, ids::HostId),
    Unchanged,
}

/// Keeps a connection to the daemon that should place, for ever.
pub(crate) async fn follow_placer(world: rc::Rc<world::DaemonWorld>) {
    let mut following: Option<Following> = None;
    let mut changes = world.changes();
    let mut compared_at = world.now();
    loop {
        let choice = match (&following, world.take_move()) {
            (Some(current), Some(placer)) if current.host != placer => go_to(&world, placer).await,
            (Some(current), _) if !current.leaving.get() => PlacerChoice::Unchanged,
            (None, _) if world.places_for_others() && world.is_ready() => {
                if world.now() - compared_at < COMPARE_MS {
                    PlacerChoice::Unchanged
                } else {
                    compared_at = world.now();
                    compare(&world).await
                }
            }
            _ => choose(&world, following.as_ref()).await,
        };
        match choice {
            PlacerChoice::Unchanged => {}
            PlacerChoice::Own => {
                if following.take().is_some() {
                    world.set_role(world::PlacerRole::Own);
                }
            }
            PlacerChoice::Other(link, host) => {
                let leaving = rc::Rc::new(cell::Cell::new(false));
                let task = task::spawn_local(keep(link, host.clone(), leaving.clone()));
                world.send_followers_to(&host);
                following = Some(Following {
                    host,
                    leaving,
                    task,
                });
            }
        }
        let pause = async {
            tokio::select! {
                () = time::sleep(CHOICE_PERIOD) => {}
                // A new list of daemons may name another one.
                _ = changes.changed() => time::sleep(NEWS_PAUSE).await,
                () = world.placer_moves() => {}
            }
        };
        match following.as_mut() {
            Some(current) => tokio::select! {
                // It was lost: the next one is looked for at once.
                _ = &mut current.task => following = None,
                () = pause => {}
            },
            None => pause.await,
        }
    }
}

/// Daemons that may place, best first.
fn candidates(world: &world::DaemonWorld) -> Vec<(ids::HostId, net::SocketAddr)> {
    let settings = world.settings();
    let rank = world.rank.borrow();
    if rank.daemons().is_empty() {
        // Nothing is known of the store: a seed may know more.
        let seeds = settings.seeds.iter().copied();
        let others = seeds.filter(|seed| *seed != settings.listen.peers);
        return others
            .map(|seed| (ids::HostId::new("seed"), seed))
            .collect();
    }
    let now = world.now();
    let open = rank
        .daemons()
        .iter()
        .filter(|daemon| !rank.is_backed_off(&daemon.host, now));
    open.map(|daemon| (daemon.host.clone(), daemon.address))
        .collect()
}

fn address_of(world: &world::DaemonWorld, host: &ids::HostId) -> Option<net::SocketAddr> {
    let rank = world.rank.borrow();
    let mut daemons = rank.daemons().iter();
    let daemon = daemons.find(|daemon| daemon.host == *host);
    daemon.map(|daemon| daemon.address)
}

/// Follows this daemon's placer to where it moved.
async fn go_to(world: &rc::Rc<world::DaemonWorld>, placer: ids::HostId) -> PlacerChoice {
    if placer == world.settings().host {
        return match world.is_ready() {
            true => PlacerChoice::Own,
            false => PlacerChoice::Unchanged,
        };
    }
    let Some(address) = address_of(world, &placer) else {
        log::info!(target: "sardinepaddle", placer:% = placer; "placing daemon not listed yet");
        return PlacerChoice::Unchanged;
    };
    match ask(world, &placer, address).await {
        Some((link, greeting)) if greeting.state == PlacerState::Placing => {
            PlacerChoice::Other(Box::new(link), greeting.host)
        }
        _ => PlacerChoice::Unchanged,
    }
}

/// Looks, while this daemon places for others, whether one of those before it is to do so.
async fn compare(world: &rc::Rc<world::DaemonWorld>) -> PlacerChoice {
    let own = world.settings().host.clone();
    let before = candidates(world);
    let before = before.into_iter().take_while(|(host, _)| *host != own);
    for (host, address) in before.take(MOST_COMPARED) {
        let Some((link, greeting)) = ask(world, &host, address).await else {
            continue;
        };
        let places = greeting.places_for_others();
        let yields = world.rank.borrow().should_yield(&own, &host, places);
        if yields && greeting.state == PlacerState::Placing {
            return PlacerChoice::Other(Box::new(link), greeting.host);
        }
    }
    PlacerChoice::Unchanged
}

/// Looks for a daemon to place this one's requests: the one that places for those that are asked,
/// or else the first that can.
async fn choose(world: &rc::Rc<world::DaemonWorld>, following: Option<&Following>) -> PlacerChoice {
    let own = world.settings().host.clone();
    let current = following.map(|current| &current.host);
    let mut own_is_next = false;
    let mut asked = 0;
    let mut first = None;
    let mut last_resort = None;
    for (host, address) in candidates(world) {
        if Some(&host) == current {
            continue;
        }
        if host == own {
            own_is_next = world.is_ready() && first.is_none();
            continue;
        }
        let Some((link, greeting)) = ask(world, &host, address).await else {
            continue;
        };
        asked += 1;
        let elsewhere = greeting.placer.as_ref();
        let elsewhere = elsewhere.filter(|placer| **placer != own && Some(*placer) != current);
        let named = elsewhere
            .filter(|placer| **placer != greeting.host)
            .cloned();
        if let Some(placer) = named {
            let moved = go_to(world, placer).await;
            if !matches!(moved, PlacerChoice::Unchanged) {
                return moved;
            }
        }
        match greeting.state {
            PlacerState::Placing if greeting.places_for_others() => {
                return PlacerChoice::Other(Box::new(link), greeting.host);
            }
            PlacerState::Placing => {
                first.get_or_insert((link, greeting.host));
            }
            PlacerState::Leaving => {
                last_resort.get_or_insert((link, greeting.host));
            }
            PlacerState::Unready => {}
        }
        if asked >= MOST_ASKED && (own_is_next || first.is_some()) {
            break;
        }
    }
    if own_is_next {
        return PlacerChoice::Own;
    }
    let last_resort = last_resort.filter(|_| following.is_none() && !world.is_ready());
    match first.or(last_resort) {
        Some((link, host)) => PlacerChoice::Other(Box::new(link), host),
        None => PlacerChoice::Unchanged,
    }
}

/// Dials a daemon for its greeting; one that gives none, or can't place, is passed over for a while.
async fn ask(
    world: &rc::Rc<world::DaemonWorld>,
    host: &ids::HostId,
    address: net::SocketAddr,
) -> Option<(DaemonLink, DaemonGreeting)> {
    let error = match dial(world, address).await {
        Ok((link, greeting)) if greeting.state != PlacerState::Unready => {
            if greeting.state == PlacerState::Leaving {
                world.rank.borrow_mut().back_off(host, world.now());
            }
            return Some((link, greeting));
        }
        Ok(_) => LinkError::Unready,
        Err(error) => error,
    };
    log::info!(target: "sardinepaddle", daemon:% = host, error:% = error; "daemon not reached");
    world.rank.borrow_mut().back_off(host, world.now());
    None
}

async fn dial(
    world: &rc::Rc<world::DaemonWorld>,
    address: net::SocketAddr,
) -> Result<(DaemonLink, DaemonGreeting)> {
    let stream = sockets::dial(address, DIAL_TIMEOUT).await;
    let stream = stream.map_err(LinkError::Dial)?;
    let mut link = DaemonLink::new(world, stream)?;
    let greeting = link.greet().await?;
    Ok((link, greeting))
}

/// Follows over a connection; when it is lost, this daemon places for itself until the next.
async fn keep(mut link: Box<DaemonLink>, host: ids::HostId, leaving: rc::Rc<cell::Cell<bool>>) {
    let world = link.world.clone();
    world.rank.borrow_mut().reset_backoff(&host);
    if let Err(error) = link.follow(&host, &leaving).await {
        log::warn!(target: "sardinepaddle", daemon:% = host, error:% = error;
            "placing daemon lost");
        world.rank.borrow_mut().back_off(&host, world.now());
        world.set_role(world::PlacerRole::Own);
    }
}
