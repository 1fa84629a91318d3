//! Connections between daemons: each keeps one to the daemon that places for it.

use std::net;
use std::rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use model::ids;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::codec;

use crate::message;
use crate::message::LinkMessage;
use crate::world;

/// Time that a connection to another daemon may take: some times the longest way between data
/// centres.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two signs of life.
const BEAT_PERIOD: Duration = Duration::from_millis(300);
/// Silence after which the daemon that places counts as lost, ms: three signs of life.
const SILENCE_MS: f64 = 1_000.0;
/// Silence after which a follower counts as lost, ms: more, as only its grants depend on it.
const FOLLOWER_SILENCE_MS: f64 = 2_500.0;
/// Time between two looks at whether another daemon should place.
const CHOICE_PERIOD: Duration = Duration::from_millis(250);

type Frames = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

/// Why a connection is over.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("cannot connect: {0}")]
    Dial(String),
    #[error("connection broke: {0}")]
    Broken(#[from] std::io::Error),
    #[error("unreadable message: {0}")]
    Unreadable(#[from] postcard::Error),
    #[error("closed by the other side")]
    Closed,
    #[error("silent")]
    Silent,
    #[error("it does not place now")]
    NotPlacing,
}

type Result<T> = std::result::Result<T, LinkError>;

/// Sends and receives messages on one connection.
struct DaemonLink {
    world: rc::Rc<world::DaemonWorld>,
    frames: Frames,
    /// Newest change of the replica that the other side has.
    sent_change: u64,
    heard_at: f64,
}

impl DaemonLink {
    fn new(world: &rc::Rc<world::DaemonWorld>, stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            world: world.clone(),
            frames: codec::Framed::new(stream, message::frames()),
            sent_change: 0,
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
        let (objects, change) = self.world.objects_since(self.sent_change);
        self.sent_change = change;
        if objects.is_empty() {
            return Ok(());
        }
        self.send(&LinkMessage::Objects(objects)).await
    }

    /// Takes objects in; the other side needs none of them back.
    fn take_objects(&mut self, objects: Vec<pool::replica::ReplicaObject>, from: &str) {
        let (_, before) = self.world.objects_since(u64::MAX - 1);
        let current = self.sent_change == before;
        self.world.apply(objects, from);
        if current {
            self.sent_change = self.world.objects_since(u64::MAX - 1).1;
        }
    }

    async fn greet(&mut self) -> Result<(ids::HostId, u64)> {
        let hello = LinkMessage::Hello {
            host: self.world.settings().host.clone(),
            life: self.world.life,
        };
        self.send(&hello).await?;
        let reply = time::timeout(DIAL_TIMEOUT, self.receive()).await;
        match reply.map_err(|_| LinkError::Silent)?? {
            LinkMessage::Hello { host, life } => Ok((host, life)),
            _ => Err(LinkError::Closed),
        }
    }

    fn beat(&self, follow: bool) -> LinkMessage {
        let world = &self.world;
        LinkMessage::Beat {
            ages_ms: world.ages(),
            sighted: world.is_sighted(),
            placing: world.is_ready(),
            follow,
        }
    }

    /// Serves a daemon that follows, until it is gone.
    async fn serve_follower(mut self) -> Result<()> {
        let (host, life) = self.greet().await?;
        let (sender, mut outbox) = mpsc::unbounded_channel();
        self.world.add_follower(life, sender);
        log::info!(target: "sardinepaddle", daemon:% = host, life; "daemon connected");
        let end = self.follower_loop(life, &host, &mut outbox).await;
        self.world.drop_follower(&host, life);
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
        outbox: &mut mpsc::UnboundedReceiver<LinkMessage>,
    ) -> Result<()> {
        let mut changes = self.world.changes();
        self.send_changes().await?;
        let mut checks = time::interval(BEAT_PERIOD);
        loop {
            tokio::select! {
                message = self.receive() => match message? {
                    LinkMessage::Objects(objects) => self.take_objects(objects, host.as_str()),
                    LinkMessage::Beat { ages_ms, sighted, .. } => {
                        self.world.note_ages(&ages_ms);
                        let follow = self.world.choose_leader(host, sighted);
                        let beat = self.beat(follow);
                        self.send(&beat).await?;
                    }
                    message => self.world.on_follower_message(life, message),
                },
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

    /// Follows the daemon that places, until it is lost or another one should place.
    async fn follow(&mut self, host: &ids::HostId) -> Result<()> {
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
                message = self.receive() => match message? {
                    LinkMessage::Objects(objects) => self.take_objects(objects, host.as_str()),
                    LinkMessage::Beat { ages_ms, placing, follow, .. } => {
                        self.world.note_ages(&ages_ms);
                        self.world.set_told_to_follow(follow);
                        if !placing {
                            return Err(LinkError::NotPlacing);
                        }
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
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(target: "sardinepaddle", error:% = error; "cannot accept a daemon");
                time::sleep(CHOICE_PERIOD).await;
                continue;
            }
        };
        let world = world.clone();
        tokio::task::spawn_local(async move {
            let link = DaemonLink::new(&world, stream);
            if let Ok(link) = link {
                // How it ended has been logged.
                let _ = link.serve_follower().await;
            }
        });
    }
}

/// A connection to the daemon that places, with what ends it.
struct Following {
    host: ids::HostId,
    task: tokio::task::JoinHandle<()>,
}

/// Keeps a connection to the daemon that should place, for ever.
pub(crate) async fn follow_placer(world: rc::Rc<world::DaemonWorld>) {
    let mut following: Option<Following> = None;
    loop {
        if following
            .as_ref()
            .is_some_and(|following| following.task.is_finished())
        {
            following = None;
        }
        if let Some((host, address)) = wanted(&world, following.as_ref()) {
            if Some(&host) == world_host(&world).as_ref() {
                if let Some(following) = following.take() {
                    following.task.abort();
                    world.set_role(world::PlacerRole::Own);
                }
            } else {
                match dial(&world, address).await {
                    Ok((link, host)) => {
                        if let Some(following) = following.take() {
                            following.task.abort();
                        }
                        let task = tokio::task::spawn_local(keep(link, host.clone()));
                        following = Some(Following { host, task });
                    }
                    Err(error) => {
                        log::info!(target: "sardinepaddle", daemon:% = host, error:% = error;
                            "daemon not reached");
                        world.rank.borrow_mut().pass_over(&host, world.now());
                        continue;
                    }
                }
            }
        }
        time::sleep(CHOICE_PERIOD).await;
    }
}

fn world_host(world: &world::DaemonWorld) -> Option<ids::HostId> {
    Some(world.settings().host.clone())
}

/// The daemon to connect to, if it is another one than now.
fn wanted(
    world: &world::DaemonWorld,
    following: Option<&Following>,
) -> Option<(ids::HostId, net::SocketAddr)> {
    let settings = world.settings();
    let rank = world.rank.borrow();
    let now = world.now();
    if let Some(entry) = rank.placer(now) {
        let current = following.map(|following| &following.host);
        let alone = current.is_none() && entry.host == settings.host;
        let changed = current != Some(&entry.host) && !alone;
        return changed.then(|| (entry.host.clone(), entry.address));
    }
    if following.is_some() || !rank.daemons().is_empty() {
        return None;
    }
    // Nothing is known of the store: a seed may know more.
    let others = settings
        .seeds
        .iter()
        .filter(|seed| **seed != settings.listen.peers);
    let others: Vec<&net::SocketAddr> = others.collect();
    let draw = (now / 300.0) as usize;
    let seed = others.get(draw % others.len().max(1))?;
    Some((ids::HostId::new("seed"), **seed))
}

async fn dial(
    world: &rc::Rc<world::DaemonWorld>,
    address: net::SocketAddr,
) -> Result<(DaemonLink, ids::HostId)> {
    let stream = time::timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| LinkError::Dial("timed out".to_owned()))?;
    let stream = stream.map_err(|error| LinkError::Dial(error.to_string()))?;
    let mut link = DaemonLink::new(world, stream)?;
    let (host, _) = link.greet().await?;
    Ok((link, host))
}

/// Follows over a connection; when it is lost, this daemon places for itself until the next.
async fn keep(mut link: DaemonLink, host: ids::HostId) {
    let world = link.world.clone();
    world.rank.borrow_mut().heard(&host);
    if let Err(error) = link.follow(&host).await {
        log::warn!(target: "sardinepaddle", daemon:% = host, error:% = error;
            "placing daemon lost");
        world.rank.borrow_mut().pass_over(&host, world.now());
        world.set_role(world::PlacerRole::Own);
    }
}
