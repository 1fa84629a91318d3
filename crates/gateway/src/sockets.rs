//! Opens, accepts and configures connections.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net;
use tokio::time;

/// Idle time before the first keepalive probe and interval of the probes; the minimum of the
/// operating system.
pub const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which a connection is dead, also to its keepalive probes.
/// Sound endpoints are silent for a second or so, and memory reserved on other endpoints must be
/// released within four seconds of an endpoint's failure.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2_900);

/// Delay after a failure to accept a connection, as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts the next connection; `peer` describes the other side in log messages.
pub(crate) async fn accept(listener: &net::TcpListener, peer: &str) -> net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(target: "sardinepaddle", error:% = error; "cannot accept a connection from {peer}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Opens a connection within a time limit.
pub(crate) async fn dial(address: SocketAddr, limit: Duration) -> io::Result<net::TcpStream> {
    within(limit, net::TcpStream::connect(address)).await
}

/// Opens a connection from an address of this host within a time limit.
pub(crate) async fn dial_from(
    source: IpAddr,
    address: SocketAddr,
    limit: Duration,
) -> io::Result<net::TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => net::TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    within(limit, socket.connect(address)).await
}

async fn within(
    limit: Duration,
    connecting: impl Future<Output = io::Result<net::TcpStream>>,
) -> io::Result<net::TcpStream> {
    let stream = time::timeout(limit, connecting).await;
    stream.map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "timed out"))?
}

/// Configures a connection for requests: without Nagle's algorithm, failing once its endpoint has
/// disappeared without closing it, and reset when it is closed. What the endpoint hasn't read by then
/// belongs to a request that was given up, and must not arrive later.
pub fn tune(stream: &net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
