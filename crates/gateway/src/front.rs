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

use crate::answer;
use crate::relay;
use crate::request;
use crate::sockets;
use crate::upstream;
use crate::world;

/// Objectives within which a request's first event or whole answer is expected by all means.
const EXPECTED_OBJECTIVES: f64 = 2.0;
/// Time of a token of an answer, ms: the engines' step with other requests beside it, and half more.
const EXPECTED_TOKEN_MS: f64 = 1.6;
/// Advice on when to come back to another daemon, ms.
const ELSEWHERE_RETRY_MS: u64 = 50;
/// Advice on when to come back to a daemon that has just started, ms: it knows the store by then.
const STARTING_RETRY_MS: u64 = 500;
/// Advice while the store is away, ms: outages last some seconds, callers come back once or twice, and
/// wait a third of their time at most.
const STORE_AWAY_RETRY_MS: u64 = 3_000;
/// Least size of the buffer for a request head that the HTTP library takes.
const LEAST_BUFFER: usize = 8_192;

/// What all connections of callers share.
#[derive(Clone)]
pub(crate) struct CallerPort {
    pub world: rc::Rc<world::DaemonWorld>,
    pub upstreams: rc::Rc<upstream::UpstreamPool>,
    /// Turns true when kept connections are to end after the request at hand.
    pub closing: watch::Receiver<bool>,
}

/// Takes connections until the process ends.
pub(crate) async fn accept(port: CallerPort, listener: tokio::net::TcpListener) {
    loop {
        let stream = sockets::accept(&listener, "a caller").await;
        // Without it events wait for each other's acknowledgement.
        let _ = stream.set_nodelay(true);
        tokio::task::spawn_local(serve(port.clone(), stream));
    }
}

async fn serve(port: CallerPort, stream: tokio::net::TcpStream) {
    let limits = port.world.index().config().limits.clone();
    let mut closing = port.closing.clone();
    let service = hyper::service::service_fn(move |incoming| {
        let port = port.clone();
        async move { Ok::<_, convert::Infallible>(answer(port, incoming).await) }
    });
    // The library's limit on heads runs from the end of the last answer: it covers the idle time.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let told = closing.wait_for(|closing| *closing);
    tokio::select! {
        // A broken connection has ended its requests, which say so in the log.
        _ = connection.as_mut() => return,
        _ = told => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer(
    port: CallerPort,
    incoming: http::Request<Incoming>,
) -> http::Response<answer::AnswerBody> {
    let leaving = port.world.is_leaving();
    let mut response = match read(&port, incoming).await {
        Ok(request) => relay::run(request::RequestRun::new(request)).await,
        Err(own) => answer::own(own),
    };
    if leaving {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Time that a request is likely to take, ms, on the long side.
fn expected_ms(found: &routes::RouteMatch, hints: &headers::CallerHints) -> f64 {
    let first = EXPECTED_OBJECTIVES * millis::from_duration(found.route.latency_objective);
    let answer = hints.tokens.map_or(0, |(_, answer)| answer);
    first + answer as f64 * EXPECTED_TOKEN_MS
}

/// When the daemon is likely to know enough of the store, ms.
fn not_ready_retry_ms(world: &world::DaemonWorld) -> u64 {
    let starting = world.now() < STARTING_RETRY_MS as f64;
    match starting && world.is_sighted() {
        true => STARTING_RETRY_MS,
        false => STORE_AWAY_RETRY_MS,
    }
}

/// Reads a request whole and finds its route.
async fn read(
    port: &CallerPort,
    incoming: http::Request<Incoming>,
) -> Result<request::CallerRequest, answer::OwnAnswer> {
    let world = port.world.clone();
    let arrived = world.now();
    let (parts, body) = incoming.into_parts();
    let hints = headers::read_hints(&parts.headers);
    let refuse = |own: answer::OwnAnswer| {
        log::info!(target: "sardinepaddle", request = hints.attempt, reason = own.reason(),
            path = parts.uri.path(), version = world.index().config().version,
            data_age_ms = world.data_age(); "request turned away");
        world
            .metrics
            .request("", "turned_away", own.reason(), world.now() - arrived);
        own
    };
    if !world.is_informed() {
        let retry_after_ms = not_ready_retry_ms(&world);
        return Err(refuse(answer::OwnAnswer::NotReady { retry_after_ms }));
    }
    let index = world.index();
    let host = parts.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let found = index
        .find(host, parts.uri.path(), hints.key.as_deref(), rand::random())
        .map_err(|error| {
            refuse(match error {
                routes::RouteError::NoRoute => answer::OwnAnswer::NoRoute,
                routes::RouteError::BadKey => answer::OwnAnswer::BadKey,
            })
        })?;
    if world.ends_before(expected_ms(&found, &hints)) {
        return Err(refuse(answer::OwnAnswer::NotRun {
            reason: "shutting_down",
            retry_after_ms: ELSEWHERE_RETRY_MS,
        }));
    }
    let timeout = found.route.timeout;
    let patience = hints.patience.unwrap_or(timeout).min(timeout);
    let limits = &index.config().limits;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(refuse(answer::OwnAnswer::BodyTooLarge));
    }
    let limited = http_body_util::Limited::new(body, limits.body_bytes);
    let whole = time::timeout(patience, limited.collect()).await;
    let body = match whole {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(refuse(answer::OwnAnswer::BodyTooLarge));
        }
        Ok(Err(_)) => return Err(refuse(answer::OwnAnswer::BodyBroken)),
        Err(_) => return Err(refuse(answer::OwnAnswer::BodySlow)),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(request::CallerRequest {
        upstreams: port.upstreams.clone(),
        found,
        method: parts.method.clone(),
        path: path.to_owned(),
        headers: parts.headers.clone(),
        body,
        arrived,
        deadline: arrived + millis::from_duration(patience),
        hints,
        world,
    })
}
