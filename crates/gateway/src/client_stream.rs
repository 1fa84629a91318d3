//! Connections of clients, and the responses on them that have not been written completely.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use model::millis;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net;
use tokio::sync;
use tokio::time;

use crate::clock;
use crate::relay;
use crate::response;
use crate::state;

/// Time after its deadline at which a stream ends with its connection, ms. A stream whose client reads
/// has ended by itself then.
const OVERDUE_MARGIN_MS: f64 = 250.0;

/// Time at which a streamed response ends at the latest, ms since the start of the process; an
/// extension of the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamDeadline(pub f64);

/// The deadline of the stream that a connection is writing, if it is writing one.
#[derive(Clone, Default)]
pub(crate) struct OpenStream(rc::Rc<OpenStreamState>);

#[derive(Default)]
struct OpenStreamState {
    deadline: cell::Cell<Option<StreamDeadline>>,
    changed: sync::Notify,
}

impl OpenStream {
    fn set(&self, deadline: Option<StreamDeadline>) {
        self.0.deadline.set(deadline);
        self.0.changed.notify_one();
    }

    /// Waits until a stream is written past its deadline. Its body isn't asked for more while the client
    /// reads nothing, so that the body doesn't notice.
    pub async fn wait_until_overdue(&self, clock: &clock::MonotonicClock) {
        loop {
            let remaining = match self.0.deadline.get() {
                Some(StreamDeadline(at)) => at + OVERDUE_MARGIN_MS - clock.now(),
                None => f64::MAX,
            };
            tokio::select! {
                () = time::sleep(millis::to_duration(remaining)) => return,
                () = self.0.changed.notified() => {}
            }
        }
    }
}

/// A request that counts as active until it is dropped.
pub(crate) struct ActiveRequest(rc::Rc<state::DaemonState>);

impl ActiveRequest {
    /// Counts a request.
    pub fn new(state: &rc::Rc<state::DaemonState>) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self(state.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let active = &self.0.active_requests;
        active.set(active.get() - 1);
    }
}

/// The requests of one connection whose responses are in its buffer.
#[derive(Clone, Default)]
pub(crate) struct BufferedResponses(rc::Rc<cell::RefCell<Vec<ActiveRequest>>>);

/// The connection of a client. The HTTP library flushes it once its own buffer is empty.
pub(crate) struct ClientStream {
    stream: net::TcpStream,
    responses: BufferedResponses,
}

impl ClientStream {
    /// Wraps a connection.
    pub fn new(stream: net::TcpStream, responses: BufferedResponses) -> Self {
        Self { stream, responses }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let flushed = pin::Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.responses.0.borrow_mut().clear();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a response whose request counts as active until the body is in the buffer of its
/// connection and written from there, or the connection is gone.
pub(crate) struct TrackedBody {
    body: response::ResponseBody,
    request: Option<ActiveRequest>,
    responses: BufferedResponses,
    stream: OpenStream,
}

impl TrackedBody {
    /// Wraps the body of the response to a request; `stream` is that of its connection.
    pub fn wrap(
        response: http::Response<response::ResponseBody>,
        request: ActiveRequest,
        responses: BufferedResponses,
        stream: OpenStream,
    ) -> http::Response<Self> {
        stream.set(response.extensions().get().copied());
        response.map(|body| Self {
            body,
            request: Some(request),
            responses,
            stream,
        })
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.responses.0.borrow_mut().extend(self.request.take());
        self.stream.set(None);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = relay::RelayError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, relay::RelayError>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
