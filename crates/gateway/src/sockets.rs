//! Makes and takes connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net;
use tokio::time;

/// Idle time after which a connection is probed, and time between probes; the least that the
/// system takes.
pub const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which a connection is dead: what is reserved for its
/// request elsewhere must be released within four seconds of an endpoint's end.
pub const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes the next connection; `who` names in the log who opens such ones.
pub(crate) async fn accept(listener: &net::TcpListener, peer: &str) -> net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(target: "sardinepaddle", error:% = error; "cannot accept {peer}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Opens a connection within a time.
pub(crate) async fn dial(address: SocketAddr, limit: Duration) -> io::Result<net::TcpStream> {
    let stream = time::timeout(limit, net::TcpStream::connect(address)).await;
    stream.map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "timed out"))?
}

/// Makes a connection send at once, and notice an endpoint that went without a word.
pub fn tune(stream: &net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
