//! Starts the daemon, reloads its settings, and shuts it down gracefully.

use std::path;
use std::rc;
use std::time::Duration;

use model::millis;
use process::listen;
use process::scrape;
use settings::gateway;
use tokio::signal::unix;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::frontend;
use crate::links;
use crate::logs;
use crate::metrics;
use crate::monitoring;
use crate::quarantine_store;
use crate::state;
use crate::store_sync;
use crate::upstream;

/// Interval at which queued placements are processed.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Consecutive ticks without an active request after which a process that was asked to exit does
/// so.
const MIN_IDLE_TICKS: u32 = 3;
/// Interval at which stale state is removed and the settings file is checked for changes.
const SWEEP_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after SIGTERM during which keep-alive connections are served as before: the load balancer
/// notices within two probes, each a second apart.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Reason why the daemon could not run.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum RunError {
    /// The settings are invalid.
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
    #[error("cannot set up metrics")]
    Metrics(#[from] scrape::ScrapeError),
    /// Signal handlers could not be installed.
    #[error("cannot catch signals")]
    Signal(#[source] std::io::Error),
    /// The store entry of this daemon could not be encoded.
    #[error("cannot encode the store entry of this daemon")]
    Entry(#[source] serde_json::Error),
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, RunError>;

/// Runs a daemon behind the platform until it is asked to exit.
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
    log_empty_fields(&settings);
    let addresses = settings.listen.clone();
    let state = rc::Rc::new(state::DaemonState::new(settings, metrics, log));
    let entry = serde_json::to_string(&state.entry).map_err(RunError::Entry)?;
    let upstreams = rc::Rc::new(upstream::UpstreamPool::default());
    let (close, closing) = watch::channel(false);

    let readiness_listener = listen::bind(addresses.readiness).await?;
    let metrics_listener = listen::bind(addresses.metrics).await?;
    let peer_listener = listen::bind(addresses.peers).await?;
    let client_listener = listen::bind(addresses.callers).await?;
    task::spawn_local(monitoring::serve(
        readiness_listener,
        state.clone(),
        monitoring::readiness,
    ));
    task::spawn_local(monitoring::serve(
        metrics_listener,
        state.clone(),
        monitoring::metrics,
    ));
    task::spawn_local(links::accept(state.clone(), peer_listener));
    task::spawn_local(links::follow_placer(state.clone()));
    let context = frontend::FrontendContext {
        state: state.clone(),
        upstreams: upstreams.clone(),
        closing,
    };
    task::spawn_local(frontend::accept(context, client_listener));
    store_sync::start(&state);
    task::spawn_local(quarantine_store::restore(state.clone()));
    task::spawn_local(store_sync::keep_registered(state.clone(), entry));
    task::spawn_local(tick(state.clone(), upstreams));
    log::info!(target: "sardinepaddle", life = state.incarnation, callers:% = addresses.callers;
        "daemon started");

    let mut reload_checks = time::interval(SWEEP_PERIOD);
    let mut last_text = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&state, path, &mut last_text, true),
            _ = reload_checks.tick() => reload(&state, path, &mut last_text, false),
        }
    }
    drain(&state, &close).await;
    Ok(())
}

fn log_empty_fields(settings: &gateway::GatewaySettings) {
    if !settings.empty_fields.is_empty() {
        let fields = settings.empty_fields.join(",");
        log::warn!(target: "sardinepaddle", fields; "settings without a value: using their defaults");
    }
}

async fn tick(state: rc::Rc<state::DaemonState>, upstreams: rc::Rc<upstream::UpstreamPool>) {
    let mut ticks = time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut swept_at = state.now();
    loop {
        ticks.tick().await;
        state.tick();
        for quarantine in state.take_unsaved_quarantines() {
            task::spawn_local(quarantine_store::save(state.clone(), quarantine));
        }
        if state.now() - swept_at > SWEEP_PERIOD.as_secs_f64() * 1_000.0 {
            swept_at = state.now();
            state.sweep();
            upstreams.sweep();
        }
    }
}

/// Applies changed settings; invalid ones leave the previous ones in effect.
fn reload(state: &state::DaemonState, path: &path::Path, last_text: &mut String, requested: bool) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "cannot read settings: keeping the previous ones");
            return;
        }
    };
    if text == *last_text {
        if requested {
            log::info!(target: "sardinepaddle", changed = 0; "settings reloaded");
        }
        return;
    }
    match gateway::parse(&path.display().to_string(), &text) {
        Ok(settings) => {
            logs::set_level(&settings.log_level);
            log_empty_fields(&settings);
            state.set_settings(settings);
            log::info!(target: "sardinepaddle", changed = 1; "settings reloaded");
        }
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "invalid settings: keeping the previous ones");
        }
    }
    *last_text = text;
}

/// Stops reporting readiness, serves until the load balancer has noticed, and finishes the requests
/// already read.
async fn drain(state: &state::DaemonState, close: &watch::Sender<bool>) {
    let grace = state.settings().bounds.grace();
    let grace_ms = millis::from_duration(grace);
    let period = state.shutdown.start(state.now(), grace_ms);
    log::info!(target: "sardinepaddle", active = state.active_requests.get(), grace_ms = grace.as_millis();
        "daemon shutting down");
    time::sleep(BALANCER_NOTICE_TIME.min(grace / 2)).await;
    close.send_replace(true);
    // Clients may have sent further requests that aren't read yet.
    let mut idle_ticks = 0;
    while idle_ticks < MIN_IDLE_TICKS && state.now() < period.exit_at() {
        time::sleep(TICK_PERIOD).await;
        idle_ticks = match state.active_requests.get() {
            0 => idle_ticks + 1,
            _ => 0,
        };
    }
    log::info!(target: "sardinepaddle", active = state.active_requests.get(); "daemon stopped");
}
