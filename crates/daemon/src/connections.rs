//! Accepts client connections up to the configured limits and answers the others with an error.

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

use crate::responses;
use crate::shared;
use crate::traffic;

/// Largest request head read by the HTTP library, in bytes. Smaller heads that exceed the limit
/// in the settings are refused with the reason `headers_too_large`.
const MAX_HEADER_BUFFER_BYTES: usize = 256 << 10;
/// Time that open connections have to finish after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failure to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Refusals sent at the same time; further connections are closed without a response.
const MAX_CONCURRENT_REFUSALS: usize = 64;
/// Longest time to send one refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry delay sent with the refusal of a connection.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The limit that a connection would exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionLimit {
    /// Open connections in total.
    Total,
    /// Open connections from one IP address.
    Address,
}

impl ConnectionLimit {
    fn refusal(self) -> responses::RequestRefusal {
        let refusal = match self {
            Self::Total => responses::RequestRefusal::new(
                http::StatusCode::SERVICE_UNAVAILABLE,
                "too_many_connections",
                "too many connections are open",
            ),
            Self::Address => responses::RequestRefusal::new(
                http::StatusCode::TOO_MANY_REQUESTS,
                "too_many_connections_from_host",
                "too many connections from this address are open",
            ),
        };
        refusal.retry_after(RETRY_AFTER)
    }
}

/// Number of open connections by client address.
type ConnectionCounts = sync::Arc<sync::Mutex<map::HashMap<net::IpAddr, usize>>>;

/// Counts one connection as open until it is dropped.
struct ConnectionGuard {
    counts: ConnectionCounts,
    address: net::IpAddr,
}

impl ConnectionGuard {
    fn acquire(
        counts: &ConnectionCounts,
        address: net::IpAddr,
        limits: &daemon::LimitSettings,
    ) -> Result<Self, ConnectionLimit> {
        let mut open_counts = counts.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let total = open_counts.values().sum::<usize>();
        let from_address = open_counts.get(&address).copied().unwrap_or(0);
        if total >= limits.connections {
            return Err(ConnectionLimit::Total);
        }
        if from_address >= limits.connections_per_host {
            return Err(ConnectionLimit::Address);
        }
        open_counts.insert(address, from_address + 1);
        Ok(Self {
            counts: counts.clone(),
            address,
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut open_counts = self
            .counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(count) = open_counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                open_counts.remove(&self.address);
            }
        }
    }
}

/// A connection that stays open after the HTTP library drops it, so that a client whose headers
/// timed out can still be sent an error.
#[derive(Clone)]
struct ClientStream {
    inner: sync::Arc<sync::Mutex<StreamState>>,
}

struct StreamState {
    stream: tokio::net::TcpStream,
    /// Whether bytes were received after the last response was written.
    has_unanswered_bytes: bool,
}

impl ClientStream {
    fn new(stream: tokio::net::TcpStream) -> Self {
        let state = StreamState {
            stream,
            has_unanswered_bytes: false,
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

impl AsyncRead for ClientStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut state = self.lock();
        let polled = pin::Pin::new(&mut state.stream).poll_read(context, buffer);
        state.has_unanswered_bytes |= buffer.filled().len() > before;
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut state = self.lock();
        state.has_unanswered_bytes = false;
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

/// Accepts and serves client connections.
pub(crate) struct ConnectionAcceptor {
    router: axum::Router,
    limits: daemon::LimitSettings,
    shared: sync::Arc<shared::SharedState>,
    control: sync::Arc<traffic::ControlTraffic>,
    counts: ConnectionCounts,
    refusals: sync::Arc<tokio::sync::Semaphore>,
}

impl ConnectionAcceptor {
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
            refusals: sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_REFUSALS)),
        }
    }

    /// Accepts connections until `close_signal` changes, then lets the open ones finish.
    pub async fn accept(
        self,
        listener: tokio::net::TcpListener,
        mut close_signal: watch::Receiver<bool>,
    ) {
        let graceful = graceful::GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = close_signal.changed() => break,
            };
            let Ok((stream, peer_address)) = accepted else {
                time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            // Without the option only the latency is higher.
            let _ = stream.set_nodelay(true);
            match ConnectionGuard::acquire(&self.counts, peer_address.ip(), &self.limits) {
                Ok(guard) => self.serve(stream, guard, &graceful),
                Err(limit) => self.refuse_connection(stream, limit),
            }
        }
        drop(listener);
        // Connections still open after the timeout have no request in flight.
        let _ = time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await;
    }

    fn serve(
        &self,
        stream: tokio::net::TcpStream,
        guard: ConnectionGuard,
        graceful: &graceful::GracefulShutdown,
    ) {
        let stream = ClientStream::new(stream);
        let service = service::TowerToHyperService::new(self.router.clone());
        let connection = http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(self.limits.header_read())
            .max_buf_size(MAX_HEADER_BUFFER_BYTES)
            .serve_connection(rt::TokioIo::new(stream.clone()), service);
        let connection = graceful.watch(connection);
        let shared = self.shared.clone();
        let control = self.control.clone();
        tokio::spawn(async move {
            // Other connection errors need no handling here: the disconnect guard of the request
            // reports them.
            let result = connection.await;
            let timed_out =
                result.is_err_and(|error| error.is_timeout()) && stream.lock().has_unanswered_bytes;
            if timed_out {
                increment(&control.refused.slow_headers);
                send_slow_headers_error(stream, &shared).await;
            }
            drop(guard);
        });
    }

    /// Answers a connection over a limit with an error, or closes it if too many refusals are being
    /// sent already.
    fn refuse_connection(&self, stream: tokio::net::TcpStream, limit: ConnectionLimit) {
        increment(match limit {
            ConnectionLimit::Total => &self.control.refused.total_limit,
            ConnectionLimit::Address => &self.control.refused.address_limit,
        });
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        let shared = self.shared.clone();
        let refusal_service = service::TowerToHyperService::new(tower::service_fn(move |_| {
            let id = shared.ids.allocate();
            let response = limit.refusal().respond(id);
            async move { Ok::<_, std::convert::Infallible>(response) }
        }));
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(rt::TokioIo::new(stream), refusal_service);
            // A connection whose client does not read the refusal in time is closed.
            let _ = time::timeout(REFUSAL_TIMEOUT, connection).await;
            drop(permit);
        });
    }
}

fn increment(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

/// Sends the error for headers that did not arrive in time.
async fn send_slow_headers_error(mut stream: ClientStream, shared: &shared::SharedState) {
    let id = shared.ids.allocate().to_string();
    let body = responses::ErrorBody {
        error: responses::ErrorDetail {
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
        responses::REQUEST_ID_HEADER,
    );
    let sending = async {
        // Writing fails only if the client has disconnected.
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.shutdown().await;
    };
    let _ = time::timeout(REFUSAL_TIMEOUT, sending).await;
}
