//! Selects the engines that prefill a prompt and divides its memory among them.

use std::cmp;

use model::serving;

use crate::capacity;
use crate::engine;
use crate::passes;
use crate::state;

/// Tokens allocated beyond a prompt's own, as engines round up to whole blocks.
pub(crate) const RESERVE_MARGIN_TOKENS: u64 = 64;
/// Maximum number of helpers that hold memory for one prompt, in addition to its primary.
pub(crate) const MAX_MEMORY_HELPERS: usize = 4;
/// Cost of sending to another data centre, units of value; only breaks ties.
pub(crate) const CROSS_CENTRE_COST: f64 = 0.004;
/// Cost of a request whose gap objective is shorter than any on the engine, units of value: while
/// it runs there, the engine can't prefill long prompts without missing that objective. It also
/// applies to an engine without generating requests.
const STRICTER_GAP_COST: f64 = 0.4;
/// Reduction of the cost of an engine for a small prompt that shows how fast it is, units of value:
/// more than the wait of such a prompt costs.
const TRIAL_BONUS: f64 = 0.1;
/// Lower limit of the time to the objective by which a wait is divided, ms.
const MIN_WAIT_DIVISOR_MS: f64 = 100.0;

/// An engine that may become a member of a plan.
pub(crate) struct CandidateEngine<'a> {
    pub state: &'a state::EndpointState,
    /// Part of the ranking cost that doesn't depend on the work on the engine, units of value.
    pub fixed_cost: f64,
    /// Earliest time at which a part that several engines share may be prefilled, apart from the
    /// time of its own prefill, ms.
    pub shared_start: f64,
    /// The same for a whole prompt, which queues behind others.
    pub whole_start: f64,
    /// Factor by which it may be slower than predicted; one for prompts that may try it.
    caution: f64,
    /// Tokens of memory that can still be allocated.
    free_memory: u64,
}

/// The cost of an engine as a member of a plan.
#[derive(Clone, Copy)]
pub(crate) struct MemberCost<'v, 'a> {
    pub candidate: &'v CandidateEngine<'a>,
    /// Predicted time at which its part is prefilled, ms.
    pub prefilled_at: f64,
    /// The same if an engine of unknown speed is as slow as it may be, ms.
    pub cautious_at: f64,
    /// Longest predicted pass while it generates for the request, ms.
    pub longest_pass_ms: f64,
    /// Expected value that other requests on the engine lose.
    pub value_loss: f64,
}

impl<'a> CandidateEngine<'a> {
    /// Creates the candidate for a request that is sent now.
    pub fn new(
        now: f64,
        state: &'a state::EndpointState,
        waiting: &state::WaitingRequest,
        profile: &serving::EngineProfile,
        usual_slowdown: f64,
    ) -> Self {
        let request = &waiting.request;
        let mut fixed_cost = state.health.failure_rate(now) * waiting.value;
        if state.live.centre != request.centre {
            fixed_cost += CROSS_CENTRE_COST;
        }
        if state.shortest_gap_ms() > request.gap_objective_ms {
            fixed_cost += STRICTER_GAP_COST;
        }
        let tokens = request.kind.prompt_tokens();
        let prefill_ms = engine::prefill_ms(profile, tokens, 1);
        let is_small = prefill_ms <= capacity::MAX_TRIAL_MS;
        if is_small && Self::is_trial(now, state, waiting, prefill_ms, usual_slowdown) {
            fixed_cost -= TRIAL_BONUS;
        }
        let cautious_factor = match is_small {
            true => 1.0,
            false => state.slowdown.cautious_factor(now, usual_slowdown),
        };
        let arrives_at = now + state::ONE_WAY_LATENCY_MS;
        let start = |shared| state.pass_model.earliest_start(profile, arrives_at, shared);
        Self {
            state,
            fixed_cost,
            shared_start: start(true),
            whole_start: start(false),
            free_memory: state.free_memory(now, profile),
            caution: (cautious_factor / state.pass_model.slowdown()).max(1.0),
        }
    }

    /// Whether a small prompt should show how fast an engine is: it would be on time even if the
    /// engine was as slow as it may be.
    fn is_trial(
        now: f64,
        state: &state::EndpointState,
        waiting: &state::WaitingRequest,
        prefill_ms: f64,
        usual_slowdown: f64,
    ) -> bool {
        let slow_ms = state.slowdown.cautious_factor(now, 1.0) * prefill_ms;
        state.slowdown.needs_trial(now, usual_slowdown)
            && state.pass_model.backlog_ms(now) == 0.0
            && slow_ms <= waiting.objective_at - now
    }

    /// Returns when a part is prefilled that is predicted to be at `prefilled_at`, if the engine is
    /// as slow as it may be.
    pub fn cautious_at(&self, now: f64, prefilled_at: f64) -> f64 {
        now + (prefilled_at - now) * self.caution
    }

    /// Returns a lower bound of the ranking cost of prefilling a part, units of value.
    pub fn least_cost(
        &self,
        now: f64,
        waiting: &state::WaitingRequest,
        part: &passes::PrefillPart,
    ) -> f64 {
        let start = if part.shared {
            self.shared_start
        } else {
            self.whole_start
        };
        let own_ms = self.state.pass_model.slowdown() * part.tokens * part.ms_per_token;
        let cautious_at = self.cautious_at(now, start + own_ms);
        self.fixed_cost + wait_cost(now, waiting, cautious_at)
    }

    /// Returns the tokens of memory that can still be allocated.
    pub fn free_memory(&self) -> u64 {
        self.free_memory
    }
}

impl MemberCost<'_, '_> {
    /// Returns the cost by which engines are ranked, units of value; lower is better.
    pub fn ranking_cost(&self, now: f64, waiting: &state::WaitingRequest) -> f64 {
        self.value_loss + self.candidate.fixed_cost + wait_cost(now, waiting, self.cautious_at)
    }
}

/// Returns the cost of the wait until a part is prefilled, units of value.
fn wait_cost(now: f64, waiting: &state::WaitingRequest, prefilled_at: f64) -> f64 {
    let remaining_ms = (waiting.objective_at - now).max(MIN_WAIT_DIVISOR_MS);
    let relative_wait = (prefilled_at - now).max(0.0) / remaining_ms;
    waiting.value * relative_wait.powi(2)
}

/// Returns the first `count` of the ranked engines, after moving those with the most free memory to
/// the front, as many as a prompt needs.
pub(crate) fn with_largest_memory<'v, 'a>(
    mut ranked: Vec<MemberCost<'v, 'a>>,
    count: usize,
    needed_tokens: u64,
) -> Vec<MemberCost<'v, 'a>> {
    let mut by_free_memory: Vec<&CandidateEngine<'_>> =
        ranked.iter().map(|cost| cost.candidate).collect();
    by_free_memory.sort_by_key(|candidate| cmp::Reverse(candidate.free_memory()));
    let mut missing_tokens = needed_tokens;
    by_free_memory.retain(|candidate| {
        let is_needed = missing_tokens > 0;
        missing_tokens = missing_tokens.saturating_sub(candidate.free_memory());
        is_needed
    });
    let is_selected = |cost: &MemberCost<'_, '_>| {
        let mut others = by_free_memory.iter();
        others.any(|other| std::ptr::eq(*other, cost.candidate))
    };
    ranked.sort_by_key(|cost| !is_selected(cost));
    ranked.truncate(count);
    ranked
}

/// How the memory of a prompt is divided among its engines.
pub(crate) struct MemorySplit<'v, 'a> {
    /// The engine that receives the request and generates the response.
    pub primary: &'v CandidateEngine<'a>,
    /// Tokens of memory allocated there.
    pub primary_tokens: u64,
    /// The other engines, with the tokens reserved on each.
    pub helpers: Vec<(&'v CandidateEngine<'a>, u64)>,
}

/// Divides the memory of a prompt among its engines. The primary is the engine with the lowest
/// `cost` of generating among those that have room for the whole prompt. If none has, it is the
/// engine with the most free memory, and the rest is reserved on the others.
/// Returns `None` if they don't have enough, or if too many helpers would hold memory.
pub(crate) fn split_memory<'v, 'a>(
    members: &[MemberCost<'v, 'a>],
    needed_tokens: u64,
    cost: impl Fn(&CandidateEngine<'_>) -> f64,
) -> Option<MemorySplit<'v, 'a>> {
    let candidates = || members.iter().map(|member| member.candidate);
    let large_enough = candidates().filter(|candidate| candidate.free_memory() >= needed_tokens);
    let primary = large_enough
        .map(|candidate| (cost(candidate), candidate))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
        .or_else(|| candidates().max_by_key(|candidate| candidate.free_memory()))?;
    let mut missing_tokens = needed_tokens.saturating_sub(primary.free_memory());
    let primary_tokens = needed_tokens - missing_tokens;
    let mut others: Vec<&CandidateEngine<'_>> = candidates().collect();
    others.retain(|candidate| candidate.state.live.id != primary.state.live.id);
    others.sort_by_key(|candidate| cmp::Reverse(candidate.free_memory()));
    let mut helpers = Vec::with_capacity(others.len());
    for candidate in others {
        let available = candidate
            .free_memory()
            .saturating_sub(RESERVE_MARGIN_TOKENS);
        let reserved_tokens = missing_tokens.min(available);
        missing_tokens -= reserved_tokens;
        helpers.push((candidate, reserved_tokens));
    }
    let memory_helpers = helpers
        .iter()
        .filter(|(_, reserved_tokens)| *reserved_tokens > 0)
        .count();
    let fits = missing_tokens == 0 && memory_helpers <= MAX_MEMORY_HELPERS;
    fits.then_some(MemorySplit {
        primary,
        primary_tokens,
        helpers,
    })
}
