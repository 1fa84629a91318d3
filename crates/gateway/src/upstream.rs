//! Pooled connections to endpoints.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::map;
use tokio::task;
use tokio::time;

use crate::sockets;

/// Timeout of a connection to an endpoint; one that takes longer is dead or cut off.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Time for which a connection stays idle if the endpoint names no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time for which a connection stays idle, whatever the endpoint names.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Time before the end of the endpoint's keep-alive at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time in which an endpoint that has responded must read the rest of the request.
const MAX_REST_TIME: Duration = Duration::from_secs(10);

/// Reason why an exchange with an endpoint failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpstreamError {
    #[error("cannot connect: {0}")]
    Connect(String),
    #[error("connection failed before a response: {0}")]
    Broken(hyper::Error),
    /// A reused connection failed before a response, as when the endpoint has closed it.
    #[error("reused connection was closed: {0}")]
    Stale(hyper::Error),
    /// The request was sent before, and no retry is left for another sending.
    #[error("the retry budget is used up")]
    BudgetExhausted,
    #[error("cannot build request: {0}")]
    Unsendable(#[from] http::Error),
}

/// Result of this module.
pub(crate) type Result<T> = std::result::Result<T, UpstreamError>;

/// A task that is aborted on drop.
struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an endpoint. Closed on drop, which makes the endpoint cancel its work.
pub(crate) struct UpstreamConnection {
    address: net::SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
    reused: bool,
}

impl UpstreamConnection {
    /// Whether it was used for an earlier exchange, whose response may arrive once more.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the header of its response.
    pub async fn exchange(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>> {
        let reply = self.sender.send_request(request).await;
        reply.map_err(|error| match self.reused {
            true => UpstreamError::Stale(error),
            false => UpstreamError::Broken(error),
        })
    }
}

struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: time::Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: cell::RefCell<map::HashMap<net::SocketAddr, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Returns a connection for one exchange: an idle one, or a new one if `force_new` is set or
    /// none is idle.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        force_new: bool,
    ) -> Result<UpstreamConnection> {
        let reused = if force_new { None } else { self.take(address) };
        match reused {
            Some(connection) => Ok(connection),
            None => start(address, sockets::dial(address, CONNECT_TIMEOUT)).await,
        }
    }

    /// Returns a connection to another daemon likewise, a new one from an address of this host by
    /// which that daemon knows it.
    pub async fn connect_to_daemon(
        &self,
        source: net::IpAddr,
        address: net::SocketAddr,
        force_new: bool,
    ) -> Result<UpstreamConnection> {
        let reused = if force_new { None } else { self.take(address) };
        match reused {
            Some(connection) => Ok(connection),
            None => {
                let dialing = sockets::dial_from(source, address, CONNECT_TIMEOUT);
                start(address, dialing).await
            }
        }
    }

    fn take(&self, address: net::SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = time::Instant::now();
        while let Some(mut entry) = connections.pop() {
            if entry.expires_at > now && entry.connection.sender.is_ready() {
                entry.connection.reused = true;
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is the endpoint's
    /// limit, `None` if it named none. Nobody waits for an endpoint that responded before it has read
    /// the whole request.
    pub fn put_back(
        self: &rc::Rc<Self>,
        mut connection: UpstreamConnection,
        keep_alive: Option<Duration>,
    ) {
        let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT)
        });
        if idle_timeout.is_zero() {
            return;
        }
        if connection.sender.is_ready() {
            self.add_idle(connection, idle_timeout);
            return;
        }
        let pool = self.clone();
        task::spawn_local(async move {
            let ready = time::timeout(MAX_REST_TIME, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.add_idle(connection, idle_timeout);
            }
        });
    }

    fn add_idle(&self, connection: UpstreamConnection, idle_timeout: Duration) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: time::Instant::now() + idle_timeout,
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = time::Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections
                .retain(|entry| entry.expires_at > now && !entry.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

async fn start(
    address: net::SocketAddr,
    dialing: impl Future<Output = io::Result<tokio::net::TcpStream>>,
) -> Result<UpstreamConnection> {
    let failed = |error: String| UpstreamError::Connect(error);
    let stream = dialing.await.map_err(|error| failed(error.to_string()))?;
    sockets::tune(&stream).map_err(|error| failed(error.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    let driver = task::spawn_local(async move {
        // Errors of the connection are reported by its exchange.
        let _ = connection.await;
    });
    Ok(UpstreamConnection {
        address,
        sender,
        _driver: AbortOnDrop(driver),
        reused: false,
    })
}

/// Returns whether a response has neither a length nor chunks, and so ends with its connection.
pub(crate) fn is_undelimited(headers: &http::HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns how long an endpoint keeps an idle connection open: zero if it closes it, `None` if it
/// does not say.
pub(crate) fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(header::CONNECTION).iter().any(|value| {
        let value = value.to_str().unwrap_or_default();
        value.to_ascii_lowercase().contains("close")
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
