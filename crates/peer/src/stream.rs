//! TCP connections that count the bytes they transfer.

use std::io;
use std::pin;
use std::sync;
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

use crate::traffic;

/// A TCP connection whose payload bytes, handshakes included, are counted in a
/// [`traffic::PeerTraffic`].
#[derive(Debug)]
pub(crate) struct CountedStream {
    inner: net::TcpStream,
    traffic: sync::Arc<traffic::PeerTraffic>,
}

impl CountedStream {
    pub fn new(inner: net::TcpStream, traffic: sync::Arc<traffic::PeerTraffic>) -> Self {
        Self { inner, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        traffic::PeerTraffic::add(&self.traffic.received_bytes, count);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        if let task::Poll::Ready(Ok(count)) = &result {
            traffic::PeerTraffic::add(&self.traffic.sent_bytes, *count);
        }
        result
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
