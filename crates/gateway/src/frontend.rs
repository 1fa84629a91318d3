//! HTTP server for client requests.

use std::cell;
use std::convert;
use std::net;
use std::rc;

use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use model::ids;
use model::millis;
use platform::headers;
use pool::grace;
use pool::routes;
use tokio::sync::watch;
use tokio::time;

use crate::byte_account;
use crate::client_stream;
use crate::course;
use crate::forward;
use crate::relay;
use crate::request;
use crate::response;
use crate::sockets;
use crate::state;
use crate::upstream;

/// Multiple of the latency objective within which a first event or complete response is expected
/// even in slow cases.
const EXPECTED_OBJECTIVE_FACTOR: f64 = 2.0;
/// Expected generation time per token, ms: one and a half times the step of an engine that also
/// serves other requests.
const EXPECTED_TOKEN_MS: f64 = 1.6;
/// `Retry-After` of a daemon that has just started, ms: it has read the store by then.
const STARTUP_RETRY_MS: u64 = 500;
/// `Retry-After` during an outage of the store, ms: outages last several seconds, and clients retry
/// once or twice and wait at most a third of their timeout.
const STORE_OUTAGE_RETRY_MS: u64 = 3_000;
/// Minimum size of the buffer for request headers that the HTTP library accepts, bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;

/// State shared by all client connections.
#[derive(Clone)]
pub(crate) struct FrontendContext {
    pub state: rc::Rc<state::DaemonState>,
    pub upstreams: rc::Rc<upstream::UpstreamPool>,
    /// Becomes true when keep-alive connections should close after their current request.
    pub closing: watch::Receiver<bool>,
}

/// Accepts client connections until the process exits.
pub(crate) async fn accept(context: FrontendContext, listener: tokio::net::TcpListener) {
    loop {
        let stream = sockets::accept(&listener, "a client").await;
        // Without this, events are delayed until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        tokio::task::spawn_local(serve(context.clone(), stream));
    }
}

async fn serve(context: FrontendContext, stream: tokio::net::TcpStream) {
    let limits = context.state.index().config().limits.clone();
    let client = stream.peer_addr().map(|address| address.ip());
    let client = client.unwrap_or(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED));
    let mut closing = context.closing.clone();
    let buffered = client_stream::BufferedResponses::default();
    let stream = client_stream::ClientStream::new(stream, buffered.clone());
    let open_stream = client_stream::OpenStream::default();
    let clock = context.state.clock;
    let overdue = open_stream.clone();
    let overdue = async move { overdue.wait_until_overdue(&clock).await };
    let has_requested = rc::Rc::new(cell::Cell::new(false));
    let requested = has_requested.clone();
    let service = hyper::service::service_fn(move |incoming| {
        let (context, buffered) = (context.clone(), buffered.clone());
        let open_stream = open_stream.clone();
        requested.set(true);
        async move {
            let active = client_stream::ActiveRequest::new(&context.state);
            let response = handle(context, client, incoming).await;
            let tracked = client_stream::TrackedBody::wrap(response, active, buffered, open_stream);
            Ok::<_, convert::Infallible>(tracked)
        }
    });
    // The library measures the header timeout from the end of the previous response, so it includes
    // the idle time.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let connection = async move {
        tokio::pin!(connection);
        let close_requested = closing.wait_for(|closing| *closing);
        tokio::select! {
            // Requests on a broken connection have ended and logged the reason.
            _ = connection.as_mut() => return,
            _ = close_requested => {}
        }
        // The first request of a new connection may be on its way; the connection ends with the
        // response.
        if has_requested.get() {
            connection.as_mut().graceful_shutdown();
        }
        let _ = connection.await;
    };
    tokio::select! {
        () = connection => {}
        () = overdue => {
            log::info!(target: "sardinepaddle", client:% = client;
                "connection closed: its client didn't read the stream in time");
        }
    }
}

async fn handle(
    context: FrontendContext,
    client: net::IpAddr,
    incoming: http::Request<Incoming>,
) -> http::Response<response::ResponseBody> {
    let state = context.state.clone();
    let is_shutting_down = state.is_shutting_down();
    let is_forwarded =
        headers::is_forwarded(incoming.headers()) && forward::is_daemon(&state, client);
    let mut response = match read_request(&context, is_forwarded, incoming).await {
        Ok(request) => relay::respond(course::RequestRunner::new(request)).await,
        Err(response) => response::local(response),
    };
    let can_serve = state.is_ready() && !state.reach.is_cut_off();
    let is_refused = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    if is_forwarded && is_refused && !can_serve {
        headers::mark_forward_refused(response.headers_mut());
    }
    if is_shutting_down {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Returns a conservative estimate of the duration of a request, ms.
fn expected_ms(route_match: &routes::RouteMatch, hints: &headers::RequestHints) -> f64 {
    let first_ms =
        EXPECTED_OBJECTIVE_FACTOR * millis::from_duration(route_match.route.latency_objective);
    let answer_tokens = hints.tokens.map_or(0, |(_, answer_tokens)| answer_tokens);
    first_ms + answer_tokens as f64 * EXPECTED_TOKEN_MS
}

/// Returns when the daemon is likely to have read the store, ms.
fn not_ready_retry_ms(state: &state::DaemonState) -> u64 {
    let starting = state.now() < STARTUP_RETRY_MS as f64;
    match starting && state.is_store_reachable() {
        true => STARTUP_RETRY_MS,
        false => STORE_OUTAGE_RETRY_MS,
    }
}

/// Reads a complete request and finds its route.
async fn read_request(
    context: &FrontendContext,
    is_forwarded: bool,
    incoming: http::Request<Incoming>,
) -> Result<request::ClientRequest, response::LocalResponse> {
    let state = context.state.clone();
    let arrived_at = state.now();
    let (parts, body) = incoming.into_parts();
    let mut hints = headers::parse_hints(&parts.headers);
    hints.forwarded_runs = hints.forwarded_runs.filter(|_| is_forwarded);
    if let Some(runs) = hints.forwarded_runs {
        log::info!(target: "sardinepaddle", request = hints.attempt_id, runs;
            "request forwarded by another daemon");
    }
    let refuse = |response: response::LocalResponse| {
        log::info!(target: "sardinepaddle", request = hints.attempt_id, reason = response.reason(),
            path = parts.uri.path(), version = state.index().config().version,
            data_age_ms = state.data_age(); "request rejected");
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
        .find(
            host,
            parts.uri.path(),
            hints.api_key.as_deref(),
            rand::random(),
        )
        .map_err(|error| {
            refuse(match error {
                routes::RouteError::NoRoute => response::LocalResponse::NoRoute,
                routes::RouteError::BadKey => response::LocalResponse::BadKey,
            })
        })?;
    let route_timeout = route_match.route.timeout;
    let timeout = hints.timeout.unwrap_or(route_timeout).min(route_timeout);
    let terms = grace::SendingTerms {
        retry_safety: route_match.route.retry_safety,
        may_have_run: hints.forwarded_runs.is_some_and(|runs| runs > 0),
        deadline: arrived_at + millis::from_duration(timeout),
        expected_ms: expected_ms(&route_match, &hints),
    };
    if !state.shutdown.may_send(state.now(), &terms) {
        return Err(refuse(response::SHUTTING_DOWN));
    }
    let limits = &index.config().limits;
    let stated_bytes = body.size_hint().lower();
    if stated_bytes > limits.body_bytes as u64 {
        return Err(refuse(response::LocalResponse::BodyTooLarge));
    }
    let kind = byte_account::BodyKind::Request;
    if !state.bodies.has_room(kind, stated_bytes) {
        return Err(refuse(response::MEMORY_FULL));
    }
    let collecting = state.bodies.collect(kind, body, limits.body_bytes);
    let body = match time::timeout(timeout, collecting).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            return Err(refuse(match error {
                byte_account::CollectError::TooLong => response::LocalResponse::BodyTooLarge,
                byte_account::CollectError::AccountFull => response::MEMORY_FULL,
                byte_account::CollectError::Broken(_) => response::LocalResponse::BodyBroken,
            }));
        }
        Err(_) => return Err(refuse(response::LocalResponse::BodySlow)),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let customer = route_match.customer.as_ref();
    let customer = customer.map_or("", ids::CustomerId::as_str);
    let texts = [host, parts.method.as_str(), path, customer].map(str::as_bytes);
    let [host, method, target, customer] = texts;
    if hints.forwarded_runs.is_none() {
        let mut budget = state.retry_budget.borrow_mut();
        budget.record_request(state.now(), &route_match.service);
    }
    Ok(request::ClientRequest {
        digest: ids::RequestDigest::of(&[host, method, target, customer, &body]),
        upstreams: context.upstreams.clone(),
        route_match,
        method: parts.method.clone(),
        path: path.to_owned(),
        headers: parts.headers.clone(),
        body,
        arrived_at,
        deadline: terms.deadline,
        expected_ms: terms.expected_ms,
        sendings: cell::Cell::new(hints.forwarded_runs.unwrap_or_default()),
        hints,
        state,
    })
}
