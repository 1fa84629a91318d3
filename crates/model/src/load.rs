//! Load reports of engines.

use serde::{Deserialize, Serialize};

use crate::ids;

/// Load report of an engine. It lags behind the engine's state by the engine's reporting lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Incarnation of the engine; changes at each restart.
    pub incarnation: u64,
    /// Maximum concurrent requests when warm.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Whether the engine is shutting down and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Streams that occupy memory.
    pub streams: Vec<EngineStream>,
}

/// A stream that occupies memory on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStream {
    /// Attempt that the stream belongs to.
    pub attempt: ids::AttemptId,
    /// Memory that the stream occupies, in tokens.
    pub tokens: u64,
    /// Whether a connection is reading the stream.
    pub attached: bool,
}
