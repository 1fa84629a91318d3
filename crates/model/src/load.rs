//! What engines report of themselves.

use serde::{Deserialize, Serialize};

use crate::ids;

/// An engine's report of its load. Late by the engine's reporting lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// One life of the engine; differs after each restart.
    pub incarnation: u64,
    /// Requests that it can carry when warm.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in use.
    pub used_tokens: u64,
    /// Whether the engine is leaving and wants no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Streams that hold memory.
    pub streams: Vec<EngineStream>,
}

/// One stream that holds memory on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStream {
    /// Attempt that the stream serves.
    pub attempt: ids::AttemptId,
    /// Tokens of memory that it holds.
    pub tokens: u64,
    /// Whether a connection reads it.
    pub attached: bool,
}
