//! Messages of the OpenAI-compatible completions API, extended with fields for attempts,
//! resumption and parts of prompts.

use model::ids;
use model::request;
use serde::{Deserialize, Serialize};

/// Path of completions, for clients and engines alike.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path that cancels an attempt and frees its resources.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path that returns the load of an engine.
pub const LOAD_PATH: &str = "/v1/load";
/// Name of the server-sent event that only reports progress.
pub const PROGRESS_EVENT: &str = "progress";
/// Name of the server-sent event with the export of an engine's part of a prompt.
pub const EXPORT_EVENT: &str = "export";
/// Data of the final server-sent event.
pub const DONE_DATA: &str = "[DONE]";

/// A prompt as text or as tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum PromptBody {
    /// Text.
    Text(String),
    /// Token ids.
    Tokens(Vec<u32>),
}

impl PromptBody {
    /// Returns the number of tokens; for text, `bytes_per_token` bytes count as one token.
    pub fn token_count(&self, bytes_per_token: u32) -> u64 {
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
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
}

// The default of the OpenAI API.
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
    /// The attempt; echoed with each chunk.
    pub attempt: ids::AttemptId,
    /// Number of chunks at the start of the response to skip, because they were received already.
    pub resume_offset: u64,
    /// Priority; lower values are served first.
    pub priority: u32,
    /// The part of the prompt to prefill and hold; the whole prompt if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<request::PromptPart>,
    /// Exports of the other parts, to combine with the part held under this attempt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub exports: Vec<request::KvExport>,
}

/// A chunk of a response, or a complete one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// The attempt in a chunk from an engine, the request in a response to a client.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Index of the chunk in the response, from zero.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offset: Option<u64>,
    /// Exactly one choice.
    pub choices: Vec<CompletionChoice>,
}

/// Text of one choice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionChoice {
    /// Always zero.
    pub index: u32,
    /// The text.
    pub text: String,
    /// Why the response ended; set in its last chunk.
    pub finish_reason: Option<String>,
}

impl CompletionChunk {
    /// Creates a chunk with one choice.
    pub fn new(id: String, model: &str, offset: Option<u64>, text: &str, is_last: bool) -> Self {
        let choice = CompletionChoice {
            index: 0,
            text: text.to_owned(),
            finish_reason: is_last.then(|| "stop".to_owned()),
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

/// Requests that an engine cancel an attempt and free its resources.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: ids::AttemptId,
}
