//! Startup and graceful shutdown of a daemon.

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
use crate::connections;
use crate::driver;
use crate::frontend;
use crate::logs;
use crate::metrics;
use crate::shared;
use crate::traffic;

/// Capacity of the queue of inputs to the driver.
const INPUT_QUEUE_LEN: usize = 16_384;
/// Capacity of the queue of peer messages to the driver.
const PEER_QUEUE_LEN: usize = 1_024;

/// Error that prevents a daemon from running.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum RunError {
    /// The settings are invalid.
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
    /// The peer listener could not be opened.
    #[error("cannot open the peer listener")]
    Peers(#[from] peer::server::ServerError),
    /// Metrics could not be set up.
    #[error("cannot set up metrics")]
    Metrics(#[from] scrape::ScrapeError),
    /// Signal handlers could not be installed.
    #[error("cannot install signal handlers")]
    Signal(#[source] std::io::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RunError>;

/// Runs a daemon until it receives SIGTERM or SIGINT and has drained.
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
        let stopper = handle.stopper();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            stopper.stop().await;
        });
        handle.wait().await;
        Ok(())
    })
}

/// A running daemon.
#[derive(Debug)]
pub struct DaemonHandle {
    inputs: mpsc::Sender<driver::DriverInput>,
    shutdown_task: task::JoinHandle<()>,
}

/// Handle that requests the shutdown of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonStopper {
    inputs: mpsc::Sender<driver::DriverInput>,
}

impl DaemonStopper {
    /// Requests that the daemon finish its open requests and exit.
    pub async fn stop(&self) {
        let input = driver::DriverInput::event(event::NodeEvent::ShutdownRequested);
        // Sending fails only if the daemon has ended already.
        let _ = self.inputs.send(input).await;
    }
}

impl DaemonHandle {
    /// Returns a handle that requests the shutdown.
    pub fn stopper(&self) -> DaemonStopper {
        DaemonStopper {
            inputs: self.inputs.clone(),
        }
    }

    /// Waits until the daemon has ended.
    pub async fn wait(self) {
        // A panic in the daemon's task has been reported already.
        let _ = self.shutdown_task.await;
    }
}

/// Starts a daemon on the current runtime.
pub async fn start(settings: daemon::DaemonSettings) -> Result<DaemonHandle> {
    logs::init(&settings.log)?;
    let shared = sync::Arc::new(shared::SharedState::default());
    let peer_traffic = sync::Arc::new(peer::traffic::PeerTraffic::default());
    let platform =
        client::PlatformClient::new(settings.platform.object_api, settings.platform.host_list);
    let control = sync::Arc::new(traffic::ControlTraffic {
        peers: peer_traffic.clone(),
        platform: platform.traffic().clone(),
        loads: traffic::LoadTraffic::default(),
        refused: traffic::RefusedConnections::default(),
    });
    let metrics = metrics::NodeMetrics::new(&shared, &control)?;
    let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_LEN);
    let (exit, exit_signal) = oneshot::channel();
    let client_listener = listen::bind(settings.listen.callers).await?;
    let admin_listener = listen::bind(settings.listen.admin).await?;
    let peer_inbox = forward_peer_messages(inputs.clone());
    let peer_server =
        peer::server::serve(peer_options(&settings, peer_inbox.clone(), &peer_traffic)).await?;

    let frontend = frontend::router(frontend::FrontendState {
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
    let links = peer::links::PeerLinks::new(peer_inbox, peer_traffic);
    let context = driver_context(&settings, &shared, platform, links, &control, &inputs, exit);
    let driver = driver::NodeDriver::new(context);
    let driver_task = tokio::spawn(driver.run(input_receiver));
    let (close_sender, close_signal) = tokio::sync::watch::channel(false);
    let acceptor =
        connections::ConnectionAcceptor::new(frontend, settings.limits.clone(), &shared, control);
    let accept_task = tokio::spawn(acceptor.accept(client_listener, close_signal));
    let admin_task = tokio::spawn(async move {
        // Serving fails only if the process has permanently run out of file descriptors.
        let service = admin.into_make_service_with_connect_info::<net::SocketAddr>();
        let _ = axum::serve(admin_listener, service).await;
    });
    log::info!(target: "sardinepaddle", "daemon: [{}] listening on {}", settings.host, settings.listen.callers);
    let shutdown_task = tokio::spawn(async move {
        // An error means that the driver has ended without a signal; the daemon stops then too.
        let _ = exit_signal.await;
        // The receiver is dropped only if the accept task failed.
        let _ = close_sender.send(true);
        let _ = accept_task.await;
        driver_task.abort();
        admin_task.abort();
        // An error means that the server has stopped already.
        let _ = peer_server.stop();
        log::info!(target: "sardinepaddle", "daemon: [{}] ended", settings.host);
    });
    Ok(DaemonHandle {
        inputs,
        shutdown_task,
    })
}

fn driver_context(
    settings: &daemon::DaemonSettings,
    shared: &sync::Arc<shared::SharedState>,
    platform: client::PlatformClient,
    links: peer::links::PeerLinks,
    control: &sync::Arc<traffic::ControlTraffic>,
    inputs: &mpsc::Sender<driver::DriverInput>,
    exit: oneshot::Sender<()>,
) -> driver::DriverContext {
    let clock = clock::NodeClock::start();
    let wall_origin_ms = millis::since_epoch();
    let incarnation = machine::new_incarnation(&settings.host, wall_origin_ms);
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
        .wall_origin_ms(wall_origin_ms)
        .max_in_flight(settings.limits.in_flight)
        .build();
    driver::DriverContext {
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

fn peer_options(
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

/// Spawns a task that forwards peer messages to the driver. Returns the sender of its queue.
fn forward_peer_messages(
    inputs: mpsc::Sender<driver::DriverInput>,
) -> mpsc::Sender<peer::server::PeerDelivery> {
    let (sender, mut deliveries) = mpsc::channel(PEER_QUEUE_LEN);
    tokio::spawn(async move {
        while let Some(delivery) = deliveries.recv().await {
            let input = driver::DriverInput::PeerMessages(delivery);
            if inputs.send(input).await.is_err() {
                return;
            }
        }
    });
    sender
}
