//! The port for operators: health, readiness, metrics and status.

use std::sync;
use std::sync::atomic;

use axum::response::IntoResponse;
use axum::routing;
use model::config;
use node::event;
use tokio::sync::mpsc;

use crate::driver;
use crate::metrics;
use crate::shared;

/// What the port works with.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub shared: sync::Arc<shared::SharedState>,
    pub metrics: sync::Arc<metrics::NodeMetrics>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
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
        .with_state(state)
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
    axum::Json(state.shared.status())
}

/// Takes a configuration that was accepted by the object API, so that it spreads even if the
/// object API fails right after the acceptance.
async fn accept_config(
    axum::extract::State(state): axum::extract::State<AdminState>,
    axum::Json(accepted): axum::Json<AcceptedConfig>,
) -> http::StatusCode {
    let event = event::NodeEvent::ConfigSeen {
        version: accepted.version,
        config: sync::Arc::new(accepted.config),
    };
    match state.inputs.send(driver::DriverInput::event(event)).await {
        Ok(()) => http::StatusCode::ACCEPTED,
        Err(_) => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}
