//! The port for callers.

use std::convert;
use std::rc;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use model::millis;
use platform::headers;
use pool::routes;
use tokio::sync::watch;
use tokio::time;

use crate::relay;
use crate::request;
use crate::response;
use crate::sockets;
use crate::state;
use crate::upstream;

/// Objectives within which a request's first event or whole answer is expected by all means.
const EXPECTED_OBJECTIVE_FACTOR: f64 = 2.0;
/// Time of a token of an answer, ms: the engines' step with other requests beside it, and half more.
const EXPECTED_TOKEN_MS: f64 = 1.6;
/// Advice on when to come back to another daemon, ms.
const OTHER_DAEMON_RETRY_MS: u64 = 50;
/// Advice on when to come back to a daemon that has just started, ms: it knows the store by then.
const STARTUP_RETRY_MS: u64 = 500;
/// Advice while the store is away, ms: outages last some seconds, callers come back once or twice, and
/// wait a third of their time at most.
const STORE_OUTAGE_RETRY_MS: u64 = 3_000;
/// Least size of the buffer for a request head that the HTTP library takes.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;

/// What all connections of callers share.
#[derive(Clone)]
pub(crate) struct FrontendContext {
    pub state: rc::Rc<state::DaemonState>,
    pub upstreams: rc::Rc<upstream::UpstreamPool>,
    /// Turns true when kept connections are to end after the request at hand.
    pub closing: watch::Receiver<bool>,
}

/// Takes connections until the process ends.
pub(crate) async fn accept(context: FrontendContext, listener: tokio::net::TcpListener) {
    loop {
        let stream = sockets::accept(&listener, "a caller").await;
        // Without it events wait for each other's acknowledgement.
        let _ = stream.set_nodelay(true);
        tokio::task::spawn_local(serve(context.clone(), stream));
    }
}

async fn serve(context: FrontendContext, stream: tokio::net::TcpStream) {
    let limits = context.state.index().config().limits.clone();
    let mut closing = context.closing.clone();
    let service = hyper::service::service_fn(move |incoming| {
        let context = context.clone();
        async move { Ok::<_, convert::Infallible>(handle(context, incoming).await) }
    });
    // The library's limit on heads runs from the end of the last answer: it covers the idle time.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let close_requested = closing.wait_for(|closing| *closing);
    tokio::select! {
        // A broken connection has ended its requests, which say so in the log.
        _ = connection.as_mut() => return,
        _ = close_requested => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn handle(
    context: FrontendContext,
    incoming: http::Request<Incoming>,
) -> http::Response<response::ResponseBody> {
    let is_shutting_down = context.state.is_shutting_down();
    let mut response = match read_request(&context, incoming).await {
        Ok(request) => relay::respond(request::RequestRunner::new(request)).await,
        Err(response) => response::local(response),
    };
    if is_shutting_down {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Time that a request is likely to take, ms, on the long side.
fn expected_ms(route_match: &routes::RouteMatch, hints: &headers::CallerHints) -> f64 {
    let first_ms =
        EXPECTED_OBJECTIVE_FACTOR * millis::from_duration(route_match.route.latency_objective);
    let answer_tokens = hints.tokens.map_or(0, |(_, answer_tokens)| answer_tokens);
    first_ms + answer_tokens as f64 * EXPECTED_TOKEN_MS
}

/// When the daemon is likely to know enough of the store, ms.
fn not_ready_retry_ms(state: &state::DaemonState) -> u64 {
    let starting = state.now() < STARTUP_RETRY_MS as f64;
    match starting && state.is_store_reachable() {
        true => STARTUP_RETRY_MS,
        false => STORE_OUTAGE_RETRY_MS,
    }
}

/// Reads a request whole and finds its route.
async fn read_request(
    context: &FrontendContext,
    incoming: http::Request<Incoming>,
) -> Result<request::ClientRequest, response::LocalResponse> {
    let state = context.state.clone();
    let arrived_at = state.now();
    let (parts, body) = incoming.into_parts();
    let hints = headers::read_hints(&parts.headers);
    let refuse = |response: response::LocalResponse| {
        log::info!(target: "sardinepaddle", request = hints.attempt, reason = response.reason(),
            path = parts.uri.path(), version = state.index().config().version,
            data_age_ms = state.data_age(); "request turned away");
        state.metrics.request(
            "",
            "turned_away",
            response.reason(),
            state.now() - arrived_at,
        );
        response
    };
    if !state.is_synced() {
        let retry_after_ms = not_ready_retry_ms(&state);
        return Err(refuse(response::LocalResponse::NotReady { retry_after_ms }));
    }
    let index = state.index();
    let host = parts.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route_match = index
        .find(host, parts.uri.path(), hints.key.as_deref(), rand::random())
        .map_err(|error| {
            refuse(match error {
                routes::RouteError::NoRoute => response::LocalResponse::NoRoute,
                routes::RouteError::BadKey => response::LocalResponse::BadKey,
            })
        })?;
    if state.may_interrupt(expected_ms(&route_match, &hints)) {
        return Err(refuse(response::LocalResponse::NotRun {
            reason: "shutting_down",
            retry_after_ms: OTHER_DAEMON_RETRY_MS,
        }));
    }
    let route_timeout = route_match.route.timeout;
    let timeout = hints.patience.unwrap_or(route_timeout).min(route_timeout);
    let limits = &index.config().limits;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(refuse(response::LocalResponse::BodyTooLarge));
    }
    let limited = http_body_util::Limited::new(body, limits.body_bytes);
    let body_result = time::timeout(timeout, limited.collect()).await;
    let body = match body_result {
        Ok(Ok(body_result)) => body_result.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(refuse(response::LocalResponse::BodyTooLarge));
        }
        Ok(Err(_)) => return Err(refuse(response::LocalResponse::BodyBroken)),
        Err(_) => return Err(refuse(response::LocalResponse::BodySlow)),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(request::ClientRequest {
        upstreams: context.upstreams.clone(),
        route_match,
        method: parts.method.clone(),
        path: path.to_owned(),
        headers: parts.headers.clone(),
        body,
        arrived_at,
        deadline: arrived_at + millis::from_duration(timeout),
        hints,
        state,
    })
}
