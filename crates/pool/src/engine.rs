//! Predicts how long work takes on a model engine from its configured profile.

use model::serving;

/// Returns the prefill time of one part of a prompt, ms. The `tokens` are split evenly over
/// `members` engines, and so are the token pairs of attention over the whole prompt.
///
/// ```
/// # let profile = model::serving::EngineProfile {
/// #     slots: 16, memory_tokens: 315_000, stride: 51, step_ms: 0.85, step_ms_per_request: 0.0,
/// #     step_ms_per_context_k: 0.0, prefill_tokens_per_ms: 177.0,
/// #     attention_ms_per_million_pairs: 0.184, chunk_tokens: 2_048 };
/// let alone = sardinepaddle_pool::engine::prefill_ms(&profile, 154_000, 1);
/// let split = sardinepaddle_pool::engine::prefill_ms(&profile, 154_000, 4);
/// assert!(alone > 3_000.0 && split < 850.0);
/// ```
pub fn prefill_ms(profile: &serving::EngineProfile, tokens: u64, members: usize) -> f64 {
    let members = members.max(1) as f64;
    let tokens = tokens as f64;
    let part_tokens = tokens / members;
    let million_pairs = tokens * tokens / 2.0 / 1e6;
    let steps = (part_tokens / f64::from(profile.chunk_tokens)).ceil();
    part_tokens / profile.prefill_tokens_per_ms
        + million_pairs * profile.attention_ms_per_million_pairs / members
        + steps * profile.step_ms
}

/// Returns the time of a pass without prefill, ms, in which `requests` generate with a
/// total context of `context_tokens`.
pub fn pass_ms(profile: &serving::EngineProfile, requests: usize, context_tokens: u64) -> f64 {
    let step_ms = profile.step_ms
        + profile.step_ms_per_request * requests as f64
        + profile.step_ms_per_context_k * context_tokens as f64 / 1_000.0;
    step_ms * f64::from(profile.stride)
}

/// Returns the engine time of a whole request, ms: its prefill, and its part of the steps in which
/// an engine with all slots in use generates its response.
///
/// ```
/// # let profile = model::serving::EngineProfile {
/// #     slots: 16, memory_tokens: 315_000, stride: 51, step_ms: 0.85, step_ms_per_request: 0.0,
/// #     step_ms_per_context_k: 0.0, prefill_tokens_per_ms: 177.0,
/// #     attention_ms_per_million_pairs: 0.184, chunk_tokens: 2_048 };
/// let short = sardinepaddle_pool::engine::work_ms(&profile, 5_000, 1_600);
/// let long = sardinepaddle_pool::engine::work_ms(&profile, 154_000, 800);
/// assert!(long > 20.0 * short);
/// ```
pub fn work_ms(profile: &serving::EngineProfile, prompt_tokens: u64, answer_tokens: u64) -> f64 {
    let context_k = prompt_tokens as f64 / 1_000.0;
    let token_ms = profile.step_ms / f64::from(profile.slots.max(1))
        + profile.step_ms_per_request
        + profile.step_ms_per_context_k * context_k;
    prefill_ms(profile, prompt_tokens, 1) + answer_tokens as f64 * token_ms
}

/// Returns the longest time that prefill can add to one pass, ms, at `ms_per_token` per token.
pub fn max_pass_prefill_ms(profile: &serving::EngineProfile, ms_per_token: f64) -> f64 {
    f64::from(profile.stride) * f64::from(profile.chunk_tokens) * ms_per_token
}
