//! Connections used for a single request.

use std::net;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt;

/// Longest time to establish a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Body of a request to an endpoint.
pub(crate) type RequestBody = http_body_util::Full<bytes::Bytes>;

/// Opens a connection. Returns `None` if that fails; no byte of a request has been sent then.
pub(crate) async fn dial(address: net::SocketAddr) -> Option<http1::SendRequest<RequestBody>> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address));
    let stream = stream.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // `SendRequest` and the response body report the error.
        let _ = connection.await;
    });
    Some(sender)
}
