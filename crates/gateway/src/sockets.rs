//! Options of connections to endpoints.

use std::io;
use std::time::Duration;

use tokio::net;

/// Idle time after which a connection is probed, and time between probes; the least that the
/// system takes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which a connection is dead: what is reserved for its
/// request elsewhere must be released within four seconds of an endpoint's end.
pub const DEAD_AFTER: Duration = Duration::from_secs(2);

/// Makes a connection send at once, and notice an endpoint that went without a word.
pub fn tune(stream: &net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(DEAD_AFTER))
}
