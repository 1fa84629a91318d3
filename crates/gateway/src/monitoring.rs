//! HTTP servers for readiness probes and metrics scrapes.

use std::convert;
use std::rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;

use crate::sockets;
use crate::state;

type MonitoringResponse = http::Response<Full<Bytes>>;

/// Responds to each request with the result of `handler`.
pub(crate) async fn serve(
    listener: tokio::net::TcpListener,
    state: rc::Rc<state::DaemonState>,
    handler: fn(&state::DaemonState) -> MonitoringResponse,
) {
    loop {
        let stream = sockets::accept(&listener, "a readiness probe or metrics scrape").await;
        let state = state.clone();
        let service = hyper::service::service_fn(move |_: http::Request<Incoming>| {
            let response = handler(&state);
            async move { Ok::<_, convert::Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            // A failed probe or scrape is repeated by its client.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Reports whether the daemon accepts new requests.
pub(crate) fn readiness(state: &state::DaemonState) -> MonitoringResponse {
    let ready = state.is_ready();
    let mut response = http::Response::new(Full::new(Bytes::from_static(match ready {
        true => b"ready\n",
        false => b"not ready\n",
    })));
    if !ready {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns all metrics in the Prometheus text format.
pub(crate) fn metrics(state: &state::DaemonState) -> MonitoringResponse {
    state.record_gauges();
    match state.metrics.render() {
        Ok(text) => http::Response::new(Full::new(Bytes::from(text))),
        Err(error) => {
            log::warn!(target: "sardinepaddle", error:% = error; "failed to encode metrics");
            let mut response = http::Response::new(Full::new(Bytes::new()));
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
