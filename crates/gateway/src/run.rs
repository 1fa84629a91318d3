//! Starts the daemon, reloads its settings, and ends it in good order.

use std::path;
use std::rc;
use std::time::Duration;

use model::millis;
use model::serving;
use process::listen;
use process::scrape;
use settings::gateway;
use tokio::signal::unix;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::feeds;
use crate::front;
use crate::links;
use crate::logs;
use crate::metrics;
use crate::ports;
use crate::upstream;
use crate::world;

/// Time between two looks at what waits for a place.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Ticks without a request after which a process that is asked to end does: some times what the last
/// bytes of an answer need.
const QUIET_TICKS: u32 = 3;
/// Time between two sweeps of what was forgotten.
const SWEEP_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after SIGTERM for which kept connections go on as before: the balancer notices within two
/// checks of a second each.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Why the daemon could not run.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum RunError {
    /// The settings are no good.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] gateway::GatewayError),
    /// The runtime could not be started.
    #[error("cannot start the runtime")]
    Runtime(#[source] std::io::Error),
    /// An address could not be bound.
    #[error(transparent)]
    Listen(#[from] listen::ListenError),
    /// Metrics could not be set up.
    #[error("cannot set metrics up")]
    Metrics(#[from] scrape::ScrapeError),
    /// Signals could not be caught.
    #[error("cannot catch signals")]
    Signal(#[source] std::io::Error),
    /// The entry of this daemon could not be encoded.
    #[error("cannot encode the entry of this daemon")]
    Entry(#[source] serde_json::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RunError>;

/// Runs a daemon behind the platform until it is told to end.
pub fn run(path: &path::Path) -> Result<()> {
    let settings = gateway::read(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    let tasks = task::LocalSet::new();
    tasks.block_on(&runtime, serve(path, settings))
}

async fn serve(path: &path::Path, settings: gateway::GatewaySettings) -> Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(RunError::Signal)?;
    let mut hangup = unix::signal(unix::SignalKind::hangup()).map_err(RunError::Signal)?;
    let log = logs::init(settings.host.as_str(), &settings.log_level);
    let metrics = metrics::GatewayMetrics::new()?;
    let entry = serving::DaemonEntry {
        host: settings.host.clone(),
        centre: settings.data_centre.clone(),
        address: settings.listen.peers,
        cpu_millis: (settings.cpu_share * 1_000.0) as u32,
    };
    let entry = serde_json::to_string(&entry).map_err(RunError::Entry)?;
    let ports = settings.listen.clone();
    let world = rc::Rc::new(world::DaemonWorld::new(settings, metrics, log));
    let upstreams = rc::Rc::new(upstream::UpstreamPool::default());
    let (close, closing) = watch::channel(false);

    let checks = listen::bind(ports.readiness).await?;
    let scrapes = listen::bind(ports.metrics).await?;
    let peers = listen::bind(ports.peers).await?;
    let callers = listen::bind(ports.callers).await?;
    task::spawn_local(ports::serve(checks, world.clone(), ports::readiness));
    task::spawn_local(ports::serve(scrapes, world.clone(), ports::metrics));
    task::spawn_local(links::accept(world.clone(), peers));
    task::spawn_local(links::follow_placer(world.clone()));
    let port = front::CallerPort {
        world: world.clone(),
        upstreams: upstreams.clone(),
        closing,
    };
    task::spawn_local(front::accept(port, callers));
    feeds::start(&world);
    task::spawn_local(feeds::enlist(world.clone(), entry));
    task::spawn_local(tick(world.clone(), upstreams));
    log::info!(target: "sardinepaddle", life = world.life, callers:% = ports.callers;
        "daemon started");

    let mut looks = time::interval(SWEEP_PERIOD);
    let mut last = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&world, path, &mut last, true),
            _ = looks.tick() => reload(&world, path, &mut last, false),
        }
    }
    drain(&world, &close).await;
    Ok(())
}

async fn tick(world: rc::Rc<world::DaemonWorld>, upstreams: rc::Rc<upstream::UpstreamPool>) {
    let mut ticks = time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut swept_at = world.now();
    loop {
        ticks.tick().await;
        world.tick();
        if world.now() - swept_at > SWEEP_PERIOD.as_secs_f64() * 1_000.0 {
            swept_at = world.now();
            world.sweep();
            upstreams.sweep();
        }
    }
}

/// Takes changed settings in; damaged ones leave the last good ones in force.
fn reload(world: &world::DaemonWorld, path: &path::Path, last: &mut String, asked: bool) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "settings not read: unchanged");
            return;
        }
    };
    if text == *last {
        if asked {
            log::info!(target: "sardinepaddle", changed = 0; "settings reloaded");
        }
        return;
    }
    match gateway::parse(&path.display().to_string(), &text) {
        Ok(settings) => {
            logs::set_level(&settings.log_level);
            *world.settings.borrow_mut() = rc::Rc::new(settings);
            log::info!(target: "sardinepaddle", changed = 1; "settings reloaded");
        }
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "settings damaged: unchanged");
        }
    }
    *last = text;
}

/// Stops being ready, serves until the balancer has noticed, and finishes what was read.
async fn drain(world: &world::DaemonWorld, close: &watch::Sender<bool>) {
    let grace = world.settings().bounds.grace();
    let end =
        time::Instant::now() + grace.saturating_sub(millis::to_duration(world::END_MARGIN_MS));
    world.leave();
    log::info!(target: "sardinepaddle", active = world.active.get(), grace_ms = grace.as_millis();
        "daemon leaves");
    time::sleep(NOTICE_TIME.min(grace / 2)).await;
    close.send_replace(true);
    // What was written last is still on its way out of the process, and requests may yet come.
    let mut quiet = 0;
    while quiet < QUIET_TICKS && time::Instant::now() < end {
        time::sleep(TICK_PERIOD).await;
        quiet = match world.active.get() {
            0 => quiet + 1,
            _ => 0,
        };
    }
    log::info!(target: "sardinepaddle", active = world.active.get(); "daemon stopped");
}
