//! The edge towards callers: takes connections within limits and refuses the others clearly.

use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt;
use hyper_util::server::graceful;
use hyper_util::service;
use model::map;
use settings::daemon;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::watch;
use tokio::time;

use crate::reply;
use crate::shared;
use crate::traffic;

/// Largest request head read by the HTTP library, in bytes. Smaller heads that are too large
/// by the settings get a typed refusal.
const HEAD_BUFFER_BYTES: usize = 256 << 10;
/// Time for open connections to finish after the last request.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that are being refused at once; more are closed without a word.
const MOST_REFUSALS: usize = 64;
/// Time for one refusal.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
/// When to come back after a refusal of a connection.
const CONNECTION_RETRY: Duration = Duration::from_secs(1);

/// The limit that a connection would exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionLimit {
    Total,
    Host,
}

impl ConnectionLimit {
    fn refusal(self) -> reply::FrontRefusal {
        let refusal = match self {
            Self::Total => reply::FrontRefusal::new(
                http::StatusCode::SERVICE_UNAVAILABLE,
                "too_many_connections",
                "too many connections are open",
            ),
            Self::Host => reply::FrontRefusal::new(
                http::StatusCode::TOO_MANY_REQUESTS,
                "too_many_connections_from_host",
                "too many connections from this address are open",
            ),
        };
        refusal.retry_after(CONNECTION_RETRY)
    }
}

/// Connections open, by the caller's address.
type ConnectionCounts = sync::Arc<sync::Mutex<map::HashMap<net::IpAddr, usize>>>;

/// Counts one connection for as long as it lives.
struct ConnectionLease {
    counts: ConnectionCounts,
    address: net::IpAddr,
}

impl ConnectionLease {
    fn take(
        counts: &ConnectionCounts,
        address: net::IpAddr,
        limits: &daemon::LimitSettings,
    ) -> Result<Self, ConnectionLimit> {
        let mut table = counts.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let total = table.values().sum::<usize>();
        let own = table.get(&address).copied().unwrap_or(0);
        if total >= limits.connections {
            return Err(ConnectionLimit::Total);
        }
        if own >= limits.connections_per_host {
            return Err(ConnectionLimit::Host);
        }
        table.insert(address, own + 1);
        Ok(Self {
            counts: counts.clone(),
            address,
        })
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        let mut table = self
            .counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(count) = table.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                table.remove(&self.address);
            }
        }
    }
}

/// A connection that is kept open when the HTTP library gives it up, so that a caller who was
/// too slow can be told.
#[derive(Clone)]
struct CallerStream {
    inner: sync::Arc<sync::Mutex<StreamState>>,
}

struct StreamState {
    stream: tokio::net::TcpStream,
    /// Whether bytes have come since the last answer.
    asked: bool,
}

impl CallerStream {
    fn new(stream: tokio::net::TcpStream) -> Self {
        let state = StreamState {
            stream,
            asked: false,
        };
        Self {
            inner: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, StreamState> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut state = self.lock();
        let polled = pin::Pin::new(&mut state.stream).poll_read(context, buffer);
        state.asked |= buffer.filled().len() > before;
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut state = self.lock();
        state.asked = false;
        pin::Pin::new(&mut state.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.lock().stream).poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.lock().stream).poll_shutdown(context)
    }
}

/// The port for callers.
pub(crate) struct CallerEdge {
    router: axum::Router,
    limits: daemon::LimitSettings,
    shared: sync::Arc<shared::SharedState>,
    control: sync::Arc<traffic::ControlTraffic>,
    counts: ConnectionCounts,
    refusals: sync::Arc<tokio::sync::Semaphore>,
}

impl CallerEdge {
    pub fn new(
        router: axum::Router,
        limits: daemon::LimitSettings,
        shared: &sync::Arc<shared::SharedState>,
        control: sync::Arc<traffic::ControlTraffic>,
    ) -> Self {
        Self {
            router,
            limits,
            shared: shared.clone(),
            control,
            counts: ConnectionCounts::default(),
            refusals: sync::Arc::new(tokio::sync::Semaphore::new(MOST_REFUSALS)),
        }
    }

    /// Takes callers' connections until told to close, then lets the open ones finish.
    pub async fn accept(
        self,
        listener: tokio::net::TcpListener,
        mut closed: watch::Receiver<bool>,
    ) {
        let graceful = graceful::GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closed.changed() => break,
            };
            let Ok((stream, source)) = accepted else {
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Only latency suffers if the option cannot be set.
            let _ = stream.set_nodelay(true);
            match ConnectionLease::take(&self.counts, source.ip(), &self.limits) {
                Ok(lease) => self.serve(stream, lease, &graceful),
                Err(limit) => self.refuse(stream, limit),
            }
        }
        drop(listener);
        // What is still open after this has no request in flight.
        let _ = time::timeout(CLOSE_LIMIT, graceful.shutdown()).await;
    }

    fn serve(
        &self,
        stream: tokio::net::TcpStream,
        lease: ConnectionLease,
        graceful: &graceful::GracefulShutdown,
    ) {
        let stream = CallerStream::new(stream);
        let service = service::TowerToHyperService::new(self.router.clone());
        let connection = http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(self.limits.header_read())
            .max_buf_size(HEAD_BUFFER_BYTES)
            .serve_connection(rt::TokioIo::new(stream.clone()), service);
        let connection = graceful.watch(connection);
        let shared = self.shared.clone();
        let control = self.control.clone();
        tokio::spawn(async move {
            // A broken connection concerns only its caller, who is told by its guard.
            let ended = connection.await;
            let slow = ended.is_err_and(|error| error.is_timeout()) && stream.lock().asked;
            if slow {
                add(&control.refused.slow_headers);
                refuse_headers(stream, &shared).await;
            }
            drop(lease);
        });
    }

    /// Tells a caller that too many connections are open, if not too many are told already.
    fn refuse(&self, stream: tokio::net::TcpStream, limit: ConnectionLimit) {
        add(match limit {
            ConnectionLimit::Total => &self.control.refused.total_limit,
            ConnectionLimit::Host => &self.control.refused.host_limit,
        });
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        let shared = self.shared.clone();
        let answer = service::TowerToHyperService::new(tower::service_fn(move |_| {
            let id = shared.ids.draw();
            let response = limit.refusal().respond(id);
            async move { Ok::<_, std::convert::Infallible>(response) }
        }));
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(rt::TokioIo::new(stream), answer);
            // A caller that does not read its refusal in time is closed.
            let _ = time::timeout(REFUSAL_LIMIT, connection).await;
            drop(permit);
        });
    }
}

fn add(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

/// Tells a caller that its headers did not come in time.
async fn refuse_headers(mut stream: CallerStream, shared: &shared::SharedState) {
    let id = shared.ids.draw().to_string();
    let body = reply::ErrorBody {
        error: reply::ErrorDetail {
            outcome: "not_run",
            reason: "headers_too_slow".to_owned(),
            message: "the headers did not arrive in time".to_owned(),
            retry_after_ms: None,
            request_id: id.clone(),
        },
    };
    let body = serde_json::to_string(&body).unwrap_or_default();
    let text = format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n{}: {id}\r\n\r\n{body}",
        body.len(),
        reply::REQUEST_ID_HEADER,
    );
    let telling = async {
        // A caller that is gone needs no answer.
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.shutdown().await;
    };
    let _ = time::timeout(REFUSAL_LIMIT, telling).await;
}
