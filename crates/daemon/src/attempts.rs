//! Executes attempts on endpoints.

use std::sync;

use engine::client;
use engine::plain;
use engine::wire;
use model::ids;
use node::action;
use node::event;
use tokio::sync::mpsc;
use tokio::time;

use crate::driver;
use crate::request_channel;

/// Capacity of the queue of signals from one attempt to the driver.
const SIGNAL_QUEUE_LEN: usize = 64;

/// An attempt to execute.
pub(crate) struct AttemptTask {
    pub spec: action::AttemptSpec,
    pub send_deadline: time::Instant,
    pub content: sync::Arc<request_channel::RequestContent>,
    pub inputs: mpsc::Sender<driver::DriverInput>,
}

/// Runs one attempt and passes everything received to the driver.
pub(crate) async fn run(task: AttemptTask) {
    match &*task.content {
        request_channel::RequestContent::Completion(request) => complete(&task, request).await,
        request_channel::RequestContent::Plain(call) => call_plain(&task, call).await,
    }
}

async fn complete(task: &AttemptTask, request: &wire::CompletionRequest) {
    let attempt = task.spec.attempt;
    let (signals, received) = mpsc::channel(SIGNAL_QUEUE_LEN);
    let call = client::CompletionCall {
        address: task.spec.address,
        send_deadline: task.send_deadline,
        request: engine_request(&task.spec, request),
    };
    let inputs = task.inputs.clone();
    let (outcome, ()) = tokio::join!(
        client::complete(call, signals),
        forward_signals(attempt, received, inputs)
    );
    let event = event::NodeEvent::AttemptEnded { attempt, outcome };
    send(&task.inputs, driver::DriverInput::event(event)).await;
}

fn engine_request<'a>(
    spec: &action::AttemptSpec,
    request: &'a wire::CompletionRequest,
) -> wire::EngineRequest<'a> {
    let mut engine_request = wire::EngineRequest {
        model: request.model.as_str().into(),
        prompt: std::borrow::Cow::Borrowed(&request.prompt),
        max_tokens: request.max_tokens,
        stream: true,
        attempt: spec.attempt,
        resume_offset: spec.resume_offset,
        priority: spec.priority,
        part: None,
        exports: Vec::new(),
    };
    match &spec.stage {
        action::AttemptStage::Whole => {}
        action::AttemptStage::Part(part) => engine_request.part = Some(*part),
        action::AttemptStage::Generate { exports } => engine_request.exports.clone_from(exports),
    }
    engine_request
}

async fn forward_signals(
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
            client::AttemptSignal::Chunk(chunk) => {
                let event = event::NodeEvent::ChunkReceived {
                    attempt,
                    tagged_attempt: chunk.attempt,
                    offset: chunk.offset,
                };
                driver::DriverInput::with_payload(
                    event,
                    request_channel::ResponseMessage::Text(chunk.text),
                )
            }
        };
        send(&inputs, input).await;
    }
}

async fn call_plain(task: &AttemptTask, call: &plain::PlainCall) {
    let result = plain::call(task.spec.address, task.send_deadline, call).await;
    let event = event::NodeEvent::AttemptEnded {
        attempt: task.spec.attempt,
        outcome: result.outcome,
    };
    let input = match result.response {
        Some(response) => driver::DriverInput::with_payload(
            event,
            request_channel::ResponseMessage::Response(response),
        ),
        None => driver::DriverInput::event(event),
    };
    send(&task.inputs, input).await;
}

async fn send(inputs: &mpsc::Sender<driver::DriverInput>, input: driver::DriverInput) {
    // The driver outlives its attempts except when the process exits.
    let _ = inputs.send(input).await;
}
