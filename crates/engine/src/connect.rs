//! Connections that serve one exchange.

use std::net;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt;

/// Longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// A body sent to an endpoint.
pub(crate) type SentBody = http_body_util::Full<bytes::Bytes>;

/// Connects; `None` if that fails. No byte of a request has left then.
pub(crate) async fn dial(address: net::SocketAddr) -> Option<http1::SendRequest<SentBody>> {
    let stream = tokio::time::timeout(CONNECT_LIMIT, tokio::net::TcpStream::connect(address));
    let stream = stream.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // An error shows at the sender, which reports it.
        let _ = connection.await;
    });
    Some(sender)
}
