//! Starts a daemon and ends it in good order.

use std::net;
use std::sync;
use std::sync::atomic;

use model::millis;
use node::event;
use node::machine;
use node::settings as node_settings;
use objects::client;
use process::listen;
use process::scrape;
use settings::daemon;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task;

use crate::admin;
use crate::args;
use crate::clock;
use crate::driver;
use crate::edge;
use crate::front;
use crate::logs;
use crate::metrics;
use crate::shared;
use crate::traffic;

/// Inputs that wait for the driver.
const INPUT_QUEUE: usize = 16_384;
/// Messages of peers that wait for the driver.
const PEER_QUEUE: usize = 1_024;
/// Why a daemon could not run.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum RunError {
    /// The settings are no good.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::load::SettingsError),
    /// The log could not be set up.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Log(#[from] logs::LogError),
    /// The runtime could not be started.
    #[error("cannot start the runtime")]
    Runtime(#[source] std::io::Error),
    /// An address could not be bound.
    #[error(transparent)]
    Listen(#[from] listen::ListenError),
    /// The port for peers could not be opened.
    #[error("cannot open the port for peers")]
    Peers(#[from] peer::server::ServerError),
    /// Metrics could not be set up.
    #[error("cannot set metrics up")]
    Metrics(#[from] scrape::ScrapeError),
    /// Signals could not be caught.
    #[error("cannot catch signals")]
    Signal(#[source] std::io::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RunError>;

/// Runs a daemon until it is told to end.
pub fn run(args: &args::DaemonArgs) -> Result<()> {
    let settings = settings::load::read(&args.settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    runtime.block_on(async {
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
                .map_err(RunError::Signal)?;
        let mut interrupt =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())
                .map_err(RunError::Signal)?;
        let handle = start(settings).await?;
        let stop = handle.stopper();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            stop.stop().await;
        });
        handle.wait().await;
        Ok(())
    })
}

/// A daemon that runs.
#[derive(Debug)]
pub struct DaemonHandle {
    inputs: mpsc::Sender<driver::DriverInput>,
    done: task::JoinHandle<()>,
}

/// Asks a daemon to end.
#[derive(Clone, Debug)]
pub struct DaemonStopper {
    inputs: mpsc::Sender<driver::DriverInput>,
}

impl DaemonStopper {
    /// Asks the daemon to finish what it has and end.
    pub async fn stop(&self) {
        let input = driver::DriverInput::event(event::NodeEvent::ShutdownRequested);
        // A daemon that has ended needs no asking.
        let _ = self.inputs.send(input).await;
    }
}

impl DaemonHandle {
    /// Something by which the daemon can be asked to end.
    pub fn stopper(&self) -> DaemonStopper {
        DaemonStopper {
            inputs: self.inputs.clone(),
        }
    }

    /// Waits until the daemon has ended.
    pub async fn wait(self) {
        // A panic of the daemon's task has been reported already.
        let _ = self.done.await;
    }
}

/// Starts a daemon in the current runtime.
pub async fn start(settings: daemon::DaemonSettings) -> Result<DaemonHandle> {
    logs::init(&settings.log)?;
    let shared = sync::Arc::new(shared::SharedState::default());
    let traffic = sync::Arc::new(peer::traffic::PeerTraffic::default());
    let platform =
        client::PlatformClient::new(settings.platform.object_api, settings.platform.host_list);
    let control = sync::Arc::new(traffic::ControlTraffic {
        peers: traffic.clone(),
        platform: platform.traffic().clone(),
        loads: traffic::LoadTraffic::default(),
        refused: traffic::RefusedConnections::default(),
    });
    let metrics = metrics::NodeMetrics::new(&shared, &control)?;
    let (inputs, received) = mpsc::channel(INPUT_QUEUE);
    let (exit, exited) = oneshot::channel();
    let callers = listen::bind(settings.listen.callers).await?;
    let operators = listen::bind(settings.listen.admin).await?;
    let peer_inbox = pass_peers(inputs.clone());
    let peers = peer::server::serve(peer_port(&settings, peer_inbox.clone(), &traffic)).await?;

    let front = front::router(front::FrontState {
        shared: shared.clone(),
        limits: sync::Arc::new(settings.limits.clone()),
        inputs: inputs.clone(),
        timings: metrics.timings.clone(),
    });
    let admin = admin::router(admin::AdminState {
        shared: shared.clone(),
        metrics: sync::Arc::new(metrics),
        inputs: inputs.clone(),
        networks: sync::Arc::new(settings.networks.admin.clone()),
        control: control.clone(),
    });
    let links = peer::links::PeerLinks::new(peer_inbox, traffic);
    let parts = driver_parts(&settings, &shared, platform, links, &control, &inputs, exit);
    let driver = driver::NodeDriver::new(parts);
    let driving = tokio::spawn(driver.run(received));
    let (close, closed) = tokio::sync::watch::channel(false);
    let edge = edge::CallerEdge::new(front, settings.limits.clone(), &shared, control);
    let fronting = tokio::spawn(edge.accept(callers, closed));
    let operating = tokio::spawn(async move {
        // The listener fails only if the process is out of file descriptors for good.
        let service = admin.into_make_service_with_connect_info::<net::SocketAddr>();
        let _ = axum::serve(operators, service).await;
    });
    log::info!(target: "sardinepaddle", "daemon: [{}] listens on {}", settings.host, settings.listen.callers);
    let done = tokio::spawn(async move {
        // The driver drops its end only when it is over too.
        let _ = exited.await;
        // The front has gone only if its task failed.
        let _ = close.send(true);
        let _ = fronting.await;
        driving.abort();
        operating.abort();
        // A server that has stopped already is fine.
        let _ = peers.stop();
        log::info!(target: "sardinepaddle", "daemon: [{}] ended", settings.host);
    });
    Ok(DaemonHandle { inputs, done })
}

fn driver_parts(
    settings: &daemon::DaemonSettings,
    shared: &sync::Arc<shared::SharedState>,
    platform: client::PlatformClient,
    links: peer::links::PeerLinks,
    control: &sync::Arc<traffic::ControlTraffic>,
    inputs: &mpsc::Sender<driver::DriverInput>,
    exit: oneshot::Sender<()>,
) -> driver::DriverParts {
    let clock = clock::NodeClock::start();
    let wall_ms = millis::since_epoch();
    let incarnation = machine::new_incarnation(&settings.host, wall_ms);
    shared
        .ids
        .incarnation
        .store(incarnation.0, atomic::Ordering::Relaxed);
    let builder = node_settings::NodeBuilder::new(
        settings.host.clone(),
        settings.data_centre.clone(),
        settings
            .listen
            .advertised_peers
            .unwrap_or(settings.listen.peers),
    );
    let node = builder
        .admin_address(settings.listen.admin)
        .incarnation(incarnation)
        .seed(settings.seed.unwrap_or_else(rand::random))
        .wall_origin_ms(wall_ms)
        .max_in_flight(settings.limits.in_flight)
        .build();
    driver::DriverParts {
        machine: machine::NodeMachine::new(node, clock.now()),
        clock,
        host: settings.host.clone(),
        platform,
        links,
        control: control.clone(),
        shared: shared.clone(),
        inputs: inputs.clone(),
        exit,
    }
}

fn peer_port(
    settings: &daemon::DaemonSettings,
    inbox: mpsc::Sender<peer::server::PeerDelivery>,
    traffic: &sync::Arc<peer::traffic::PeerTraffic>,
) -> peer::server::ServerOptions {
    let networks = settings.networks.peers.clone();
    peer::server::ServerOptions {
        address: settings.listen.peers,
        inbox,
        traffic: traffic.clone(),
        allows: Box::new(move |source| networks.contains(source)),
    }
}

fn pass_peers(
    inputs: mpsc::Sender<driver::DriverInput>,
) -> mpsc::Sender<peer::server::PeerDelivery> {
    let (sender, mut deliveries) = mpsc::channel(PEER_QUEUE);
    tokio::spawn(async move {
        while let Some(delivery) = deliveries.recv().await {
            let input = driver::DriverInput::Delivered(delivery);
            if inputs.send(input).await.is_err() {
                return;
            }
        }
    });
    sender
}
