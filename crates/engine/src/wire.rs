//! What engines and callers send: the OpenAI-compatible completions shape with our fields.

use model::ids;
use model::request;
use serde::{Deserialize, Serialize};

/// Path of completions, at callers and engines alike.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path that frees what an attempt holds.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of an engine's load.
pub const LOAD_PATH: &str = "/v1/load";
/// Name of the server-sent event that only tells that work goes on.
pub const PROGRESS_EVENT: &str = "progress";
/// Name of the server-sent event with what an engine exports of its part of a prompt.
pub const EXPORT_EVENT: &str = "export";
/// Data of the last server-sent event.
pub const DONE_DATA: &str = "[DONE]";

/// A prompt as text or as tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum PromptBody {
    /// Text.
    Text(String),
    /// Token numbers.
    Tokens(Vec<u32>),
}

impl PromptBody {
    /// Tokens of the prompt, where `bytes_per_token` bytes of text count as one.
    pub fn tokens(&self, bytes_per_token: u32) -> u64 {
        match self {
            Self::Text(text) => (text.len() as u64).div_ceil(u64::from(bytes_per_token.max(1))),
            Self::Tokens(tokens) => tokens.len() as u64,
        }
    }
}

/// A request for a completion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// The prompt.
    pub prompt: PromptBody,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

fn default_max_tokens() -> u64 {
    16
}

/// A request as sent to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineRequest<'a> {
    /// Name of the model.
    pub model: std::borrow::Cow<'a, str>,
    /// The prompt.
    pub prompt: std::borrow::Cow<'a, PromptBody>,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Always true.
    pub stream: bool,
    /// The attempt; echoed with each piece.
    pub attempt: ids::AttemptId,
    /// Pieces of the answer that are not wanted any more.
    pub resume_offset: u64,
    /// Priority; lower goes first.
    pub priority: u32,
    /// The part to read and hold; the whole prompt if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<request::PromptPart>,
    /// Exports of the other parts, to be joined with the part held under this attempt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub exports: Vec<request::KvExport>,
}

/// A piece of an answer, or a whole one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// From an engine the attempt, to a caller the request.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Position of the piece in the answer, from zero.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offset: Option<u64>,
    /// One choice.
    pub choices: Vec<CompletionChoice>,
}

/// Text of one choice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionChoice {
    /// Always zero.
    pub index: u32,
    /// The text.
    pub text: String,
    /// Why the answer ended, with its last piece.
    pub finish_reason: Option<String>,
}

impl CompletionChunk {
    /// Makes a piece with one choice.
    pub fn new(id: String, model: &str, offset: Option<u64>, text: &str, last: bool) -> Self {
        let choice = CompletionChoice {
            index: 0,
            text: text.to_owned(),
            finish_reason: last.then(|| "stop".to_owned()),
        };
        let object = "text_completion".to_owned();
        Self {
            id,
            object,
            model: model.to_owned(),
            offset,
            choices: vec![choice],
        }
    }
}

/// Asks an engine to free what an attempt holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: ids::AttemptId,
}
