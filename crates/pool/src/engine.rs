//! How long work takes on a model engine, from its configured figures.

use model::serving;

/// Time to read an even part of a prompt, ms: `tokens` split over `members` engines, each of
/// which has its share of the pairs of the whole prompt.
///
/// ```
/// # let profile = model::serving::EngineProfile {
/// #     slots: 16, memory_tokens: 315_000, stride: 51, step_ms: 0.85, step_ms_per_request: 0.0,
/// #     step_ms_per_context_k: 0.0, prefill_tokens_per_ms: 177.0, attention_ms_per_million_pairs: 0.184,
/// #     chunk_tokens: 2_048 };
/// let alone = sardinepaddle_pool::engine::prefill_ms(&profile, 154_000, 1);
/// let split = sardinepaddle_pool::engine::prefill_ms(&profile, 154_000, 4);
/// assert!(alone > 3_000.0 && split < 850.0);
/// ```
pub fn prefill_ms(profile: &serving::EngineProfile, tokens: u64, members: usize) -> f64 {
    let members = members.max(1) as f64;
    let tokens = tokens as f64;
    let part = tokens / members;
    let pairs = tokens * tokens / 2.0 / 1e6;
    let steps = (part / f64::from(profile.chunk_tokens)).ceil();
    part / profile.prefill_tokens_per_ms
        + pairs * profile.attention_ms_per_million_pairs / members
        + steps * profile.step_ms
}

/// Time of a pass without any reading, ms: with `requests` that generate over `context` tokens.
pub fn pass_ms(profile: &serving::EngineProfile, requests: usize, context: u64) -> f64 {
    let step = profile.step_ms
        + profile.step_ms_per_request * requests as f64
        + profile.step_ms_per_context_k * context as f64 / 1_000.0;
    step * f64::from(profile.stride)
}

/// Most time that reading can add to one pass, ms, where a token takes `ms_per_token` to read.
pub fn max_pass_prefill_ms(profile: &serving::EngineProfile, ms_per_token: f64) -> f64 {
    f64::from(profile.stride) * f64::from(profile.chunk_tokens) * ms_per_token
}
