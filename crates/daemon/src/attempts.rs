//! Carries out attempts on endpoints.

use std::sync;

use engine::client;
use engine::plain;
use engine::wire;
use model::ids;
use node::action;
use node::event;
use tokio::sync::mpsc;
use tokio::time;

use crate::caller;
use crate::driver;

/// Signals that wait for the driver.
const SIGNAL_QUEUE: usize = 64;

/// An attempt to be carried out.
pub(crate) struct AttemptTask {
    pub order: action::AttemptSpec,
    pub not_after: time::Instant,
    pub body: sync::Arc<caller::RequestBody>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
}

/// Runs one attempt and tells the driver of everything that comes back.
pub(crate) async fn run(task: AttemptTask) {
    match &*task.body {
        caller::RequestBody::Completion(request) => complete(&task, request).await,
        caller::RequestBody::Plain(call) => call_plain(&task, call).await,
    }
}

async fn complete(task: &AttemptTask, request: &wire::CompletionRequest) {
    let attempt = task.order.attempt;
    let (signals, received) = mpsc::channel(SIGNAL_QUEUE);
    let order = client::CompletionOrder {
        address: task.order.address,
        not_after: task.not_after,
        request: engine_request(&task.order, request),
    };
    let inputs = task.inputs.clone();
    let (outcome, ()) = tokio::join!(
        client::complete(order, signals),
        pass_signals(attempt, received, inputs)
    );
    let event = event::NodeEvent::AttemptEnded { attempt, outcome };
    send(&task.inputs, driver::DriverInput::event(event)).await;
}

fn engine_request<'a>(
    order: &action::AttemptSpec,
    request: &'a wire::CompletionRequest,
) -> wire::EngineRequest<'a> {
    let mut sent = wire::EngineRequest {
        model: request.model.as_str().into(),
        prompt: std::borrow::Cow::Borrowed(&request.prompt),
        max_tokens: request.max_tokens,
        stream: true,
        attempt: order.attempt,
        resume_offset: order.resume_offset,
        priority: order.priority,
        part: None,
        exports: Vec::new(),
    };
    match &order.stage {
        action::AttemptStage::Whole => {}
        action::AttemptStage::Part(part) => sent.part = Some(*part),
        action::AttemptStage::Generate { exports } => sent.exports.clone_from(exports),
    }
    sent
}

async fn pass_signals(
    attempt: ids::AttemptId,
    mut received: mpsc::Receiver<client::AttemptSignal>,
    inputs: mpsc::Sender<driver::DriverInput>,
) {
    while let Some(signal) = received.recv().await {
        let input = match signal {
            client::AttemptSignal::Progress => {
                driver::DriverInput::event(event::NodeEvent::AttemptProgressed { attempt })
            }
            client::AttemptSignal::Exported(export) => {
                driver::DriverInput::event(event::NodeEvent::PartExported { attempt, export })
            }
            client::AttemptSignal::Piece(piece) => {
                let event = event::NodeEvent::ChunkReceived {
                    attempt,
                    tagged_attempt: piece.named,
                    offset: piece.offset,
                };
                driver::DriverInput::with_payload(event, caller::CallerPart::Text(piece.text))
            }
        };
        send(&inputs, input).await;
    }
}

async fn call_plain(task: &AttemptTask, call: &plain::PlainCall) {
    let result = plain::call(task.order.address, task.not_after, call).await;
    let event = event::NodeEvent::AttemptEnded {
        attempt: task.order.attempt,
        outcome: result.end,
    };
    let input = match result.answer {
        Some(answer) => {
            driver::DriverInput::with_payload(event, caller::CallerPart::Answer(answer))
        }
        None => driver::DriverInput::event(event),
    };
    send(&task.inputs, input).await;
}

async fn send(inputs: &mpsc::Sender<driver::DriverInput>, input: driver::DriverInput) {
    // The driver outlives its attempts except at the end of the process.
    let _ = inputs.send(input).await;
}
