//! Messages between the HTTP service and the driver for one request.

use engine::plain;
use engine::wire;
use model::ids;
use model::outcome;
use model::request;
use tokio::sync::mpsc;

use crate::intake;

/// Capacity of the queue of response messages to a slow client; a client that falls further behind
/// is treated as disconnected.
pub(crate) const RESPONSE_QUEUE_LEN: usize = 4_096;

/// Content of a request, as sent to endpoints.
#[derive(Debug)]
pub(crate) enum RequestContent {
    Completion(wire::CompletionRequest),
    Plain(plain::PlainCall),
}

/// A request read from a client.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub service: ids::ServiceId,
    pub customer: ids::CustomerId,
    pub kind: request::RequestKind,
    /// Time until the deadline.
    pub timeout: std::time::Duration,
    pub content: RequestContent,
    /// Reservation of the memory that the body takes.
    pub reservation: intake::BodyReservation,
    pub response_messages: mpsc::Sender<ResponseMessage>,
}

/// Message from the driver about the response to a client.
#[derive(Debug)]
pub(crate) enum ResponseMessage {
    /// The request was accepted under this id.
    Accepted(ids::RequestId),
    /// A chunk of the completion text.
    Text(String),
    /// The complete response of a plain service.
    Response(plain::PlainResponse),
    /// The request has ended with this outcome.
    Outcome(outcome::RequestOutcome),
}
