//! What passes between the front and the driver for one request.

use engine::plain;
use engine::wire;
use model::ids;
use model::outcome;
use model::request;
use tokio::sync::mpsc;

use crate::intake;

/// Pieces of an answer that wait for a slow caller; a caller that is slower is given up.
pub(crate) const CALLER_QUEUE: usize = 4_096;

/// What is sent to endpoints for a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    Completion(wire::CompletionRequest),
    Plain(plain::PlainCall),
}

/// A request read from a caller.
#[derive(Debug)]
pub(crate) struct ArrivedRequest {
    pub service: ids::ServiceId,
    pub customer: ids::CustomerId,
    pub kind: request::RequestKind,
    /// Time allowed.
    pub timeout: std::time::Duration,
    pub body: RequestBody,
    /// Share of memory that the body takes.
    pub lease: intake::BodyLease,
    pub parts: mpsc::Sender<CallerPart>,
}

/// Something for the caller.
#[derive(Debug)]
pub(crate) enum CallerPart {
    /// The request was taken in under this id.
    Accepted(ids::RequestId),
    /// A piece of the answer.
    Text(String),
    /// The whole answer of a plain service.
    Answer(plain::PlainAnswer),
    /// The request is over.
    End(outcome::RequestOutcome),
}
