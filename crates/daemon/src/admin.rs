//! HTTP service for operators: health, readiness, metrics, status and configuration.

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
use crate::responses;
use crate::shared;
use crate::traffic;

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub shared: sync::Arc<shared::SharedState>,
    pub metrics: sync::Arc<metrics::NodeMetrics>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
    pub networks: sync::Arc<networks::NetworkList>,
    pub control: sync::Arc<traffic::ControlTraffic>,
}

/// A configuration that the object API has accepted from an operator's command.
#[derive(Debug, serde::Deserialize)]
struct AcceptedConfig {
    version: config::ConfigVersion,
    config: config::FleetConfig,
}

/// Largest body of a posted configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 1 << 20;

/// Returns the router of the operators' listener.
pub(crate) fn router(state: AdminState) -> axum::Router {
    axum::Router::new()
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(render_metrics))
        .route("/status", routing::get(status))
        .route("/config", routing::post(accept_config))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_CONFIG_BYTES))
        .layer(axum::middleware::from_fn_with_state(
            state.clone(),
            check_source,
        ))
        .with_state(state)
}

/// Refuses calls from outside the networks allowed by the settings.
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
        responses::RequestRefusal::new(http::StatusCode::FORBIDDEN, "network_not_allowed", text);
    refusal.respond(state.shared.ids.allocate())
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

/// Receives a configuration that the object API has accepted, so that it reaches all daemons even
/// if the object API fails right after accepting it.
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
