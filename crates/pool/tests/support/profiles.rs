//! Profile of the users' engines.

use model::serving;

/// Returns the profile of the engines in the users' deployments.
pub fn profile(slots: u32, stride: u32) -> serving::EngineProfile {
    serving::EngineProfile {
        slots,
        memory_tokens: 315_000,
        stride,
        step_ms: 0.85,
        step_ms_per_request: 0.00425,
        step_ms_per_context_k: 0.00285,
        prefill_tokens_per_ms: 177.0,
        attention_ms_per_million_pairs: 0.184,
        chunk_tokens: 2_048,
    }
}
