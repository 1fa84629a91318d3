//! The port for operators: health, readiness, metrics and status.

use std::net;
use std::sync;
use std::sync::atomic;

use axum::response::IntoResponse;
use axum::routing;
use model::config;
use node::event;
use settings::networks;
use tokio::sync::mpsc;

use crate::driver;
use crate::metrics;
use crate::reply;
use crate::shared;
use crate::traffic;

/// What the port works with.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub shared: sync::Arc<shared::SharedState>,
    pub metrics: sync::Arc<metrics::NodeMetrics>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
    pub networks: sync::Arc<networks::NetworkList>,
    pub control: sync::Arc<traffic::ControlTraffic>,
}

/// A configuration that an operator's command saw accepted.
#[derive(Debug, serde::Deserialize)]
struct AcceptedConfig {
    version: config::ConfigVersion,
    config: config::FleetConfig,
}

/// Largest accepted configuration, in bytes.
const CONFIG_BYTES: usize = 1 << 20;

/// The router of the port for operators.
pub(crate) fn router(state: AdminState) -> axum::Router {
    axum::Router::new()
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(render_metrics))
        .route("/status", routing::get(status))
        .route("/config", routing::post(accept_config))
        .layer(axum::extract::DefaultBodyLimit::max(CONFIG_BYTES))
        .layer(axum::middleware::from_fn_with_state(
            state.clone(),
            check_source,
        ))
        .with_state(state)
}

/// Refuses calls from outside the networks of the settings.
async fn check_source(
    axum::extract::State(state): axum::extract::State<AdminState>,
    axum::extract::ConnectInfo(source): axum::extract::ConnectInfo<net::SocketAddr>,
    request: axum::extract::Request,
    next: axum::middleware::Next,
) -> axum::response::Response {
    if state.networks.contains(source.ip()) {
        return next.run(request).await;
    }
    let refused = &state.control.refused.admin_sources;
    refused.fetch_add(1, atomic::Ordering::Relaxed);
    let text = format!("{} lies in none of the networks for operators", source.ip());
    let refusal =
        reply::FrontRefusal::new(http::StatusCode::FORBIDDEN, "network_not_allowed", text);
    refusal.respond(state.shared.ids.draw())
}

async fn ready(
    axum::extract::State(state): axum::extract::State<AdminState>,
) -> axum::response::Response {
    if state.shared.ready.load(atomic::Ordering::Relaxed) {
        "ready\n".into_response()
    } else {
        (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }
}

async fn render_metrics(
    axum::extract::State(state): axum::extract::State<AdminState>,
) -> axum::response::Response {
    match state.metrics.render() {
        Ok(text) => text.into_response(),
        Err(error) => (http::StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn status(
    axum::extract::State(state): axum::extract::State<AdminState>,
) -> axum::Json<shared::NodeStatus> {
    let mut status = state.shared.status();
    status.control = state.control.status();
    axum::Json(status)
}

/// Takes a configuration that was accepted by the object API, so that it spreads even if the
/// object API fails right after the acceptance.
async fn accept_config(
    axum::extract::State(state): axum::extract::State<AdminState>,
    axum::Json(accepted): axum::Json<AcceptedConfig>,
) -> http::StatusCode {
    let event = event::NodeEvent::ConfigReceived {
        version: accepted.version,
        config: sync::Arc::new(accepted.config),
    };
    match state.inputs.send(driver::DriverInput::event(event)).await {
        Ok(()) => http::StatusCode::ACCEPTED,
        Err(_) => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}
