//! Searches for the engines that prefill a prompt, and for how many of them.

use model::map;
use model::serving;

use crate::engine;
use crate::job;
use crate::members;
use crate::passes;
use crate::risk;
use crate::state;

/// Numbers of engines that are tried for the prefill of a prompt; the last is the most that the
/// platform accepts.
const MEMBER_COUNTS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 17];
/// Minimum size of a part, tokens, which takes two steps to prefill: smaller parts cost a helper
/// more time than they save.
const MIN_PART_TOKENS: u64 = 4_096;

/// A plan with the resources that it uses and its expected gain, units of value.
#[derive(Clone, Debug)]
pub(crate) struct ScoredPlan {
    pub plan: job::PlacementPlan,
    pub usages: Vec<state::MemberUsage>,
    pub gain: f64,
}

/// Placed requests by job id.
pub(crate) type PlacedJobs = map::HashMap<job::JobId, state::PlacedJob>;

/// The search for the best plan of one prompt.
pub(crate) struct PromptSearch<'a> {
    pub now: f64,
    pub waiting: &'a state::WaitingRequest,
    pub profile: &'a serving::EngineProfile,
    pub jobs: &'a PlacedJobs,
    /// Price of a ms of engine time, units of value.
    pub price_per_ms: f64,
}

/// Returns the largest number of engines over which a prompt of `tokens` is spread.
pub(crate) fn max_members(tokens: u64) -> usize {
    let max_count = usize::try_from(tokens / MIN_PART_TOKENS).unwrap_or(1);
    max_count.max(1)
}

/// Returns an engine with the forecasts of its requests.
pub(crate) fn candidate<'a>(
    state: &'a state::EndpointState,
    profile: &serving::EngineProfile,
    jobs: &PlacedJobs,
) -> members::CandidateEngine<'a> {
    let generating_jobs = state.jobs.iter().filter_map(|id| jobs.get(id));
    let generating_jobs = generating_jobs.filter(|job| {
        let primary = job.members.first();
        primary.is_some_and(|usage| usage.endpoint == state.live.id)
    });
    members::CandidateEngine {
        state,
        forecasts: state.pass_model.forecast(profile, None),
        shortest_gap_ms: generating_jobs
            .map(|job| job.gap_objective_ms)
            .fold(f64::MAX, f64::min),
    }
}

impl PromptSearch<'_> {
    /// Returns the plan with the highest gain over all numbers of engines.
    pub fn best_plan(&self, candidates: &[members::CandidateEngine<'_>]) -> Option<ScoredPlan> {
        let job::JobKind::Prompt { tokens, .. } = self.waiting.request.kind else {
            return None;
        };
        let max_count = max_members(tokens).min(candidates.len());
        let member_counts = MEMBER_COUNTS
            .iter()
            .filter(|member_count| **member_count <= max_count);
        let plans = member_counts
            .filter_map(|member_count| self.plan_for_member_count(candidates, *member_count));
        plans.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    fn plan_for_member_count(
        &self,
        candidates: &[members::CandidateEngine<'_>],
        member_count: usize,
    ) -> Option<ScoredPlan> {
        let waiting = self.waiting;
        let tokens = waiting.request.kind.prompt_tokens();
        let answer_tokens = waiting.request.kind.answer_tokens();
        let needed_tokens = tokens + answer_tokens + members::RESERVE_MARGIN_TOKENS;
        let arrives_at = self.now + state::ONE_WAY_LATENCY_MS;
        let helper_part =
            passes::PrefillPart::new(self.profile, waiting.job, tokens, member_count, arrives_at);
        let primary_part = passes::PrefillPart {
            context_tokens: Some(tokens as f64),
            ..helper_part
        };
        let part = if member_count == 1 {
            primary_part
        } else {
            helper_part
        };
        let costs = candidates
            .iter()
            .filter(|candidate| candidate.state.has_free_slot());
        let mut costs: Vec<(f64, members::MemberCost<'_, '_>)> = costs
            .map(|candidate| self.member_cost(candidate, part))
            .map(|cost| (cost.ranking_cost(self.now, waiting), cost))
            .collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ranked = costs.into_iter().map(|(_, cost)| cost).collect();
        let members = members::select_members(ranked, member_count, needed_tokens, self.profile)?;
        let primary_cost = |candidate: &members::CandidateEngine<'_>| {
            let cost = self.member_cost(candidate, primary_part);
            let gap_overrun = risk::overrun_probability(
                cost.longest_pass_ms,
                waiting.request.gap_objective_ms.max(1.0),
            );
            cost.value_loss + gap_overrun * waiting.value + cost.ranking_cost(self.now, waiting)
        };
        let split = members::split_memory(&members, needed_tokens, self.profile, primary_cost)?;

        let primary = self.member_cost(split.primary, primary_part);
        let others = members
            .iter()
            .filter(|member| member.candidate.state.live.id != split.primary.state.live.id);
        let (mut prefilled_at, mut value_loss) = (primary.prefilled_at, primary.value_loss);
        let mut failure_rate_sum = split.primary.state.health.failure_rate(self.now);
        for member in others {
            prefilled_at = prefilled_at.max(member.prefilled_at);
            value_loss += member.value_loss;
            failure_rate_sum += member.candidate.state.health.failure_rate(self.now);
        }
        let first_event_ms = prefilled_at - self.now + state::ONE_WAY_LATENCY_MS;
        let request = &waiting.request;
        let risk = risk::JobRisk {
            late: risk::overrun_probability(first_event_ms, waiting.objective_at - self.now),
            abandoned: risk::overrun_probability(
                first_event_ms,
                (waiting.deadline_at - self.now).min(request.abandon_after_ms),
            ),
        };
        let gap_risk = risk::JobRisk::from_gaps(
            primary.longest_pass_ms,
            request.gap_objective_ms,
            request.abandon_after_ms,
        );
        let risk = risk.max(gap_risk);
        let mean_failure_rate = failure_rate_sum / member_count as f64;
        let prefill_ms =
            engine::prefill_ms(self.profile, tokens, member_count) * member_count as f64;
        let gain = waiting.value * (risk.expected_share() - mean_failure_rate)
            - waiting.cost_weight.sqrt() * value_loss
            - waiting.cost_weight * self.price_per_ms * prefill_ms;

        let usage =
            |candidate: &members::CandidateEngine<'_>, part, memory_tokens| state::MemberUsage {
                endpoint: candidate.state.live.id.clone(),
                part: Some(part),
                memory_tokens,
            };
        let mut usages = vec![usage(split.primary, primary_part, split.primary_tokens)];
        let helpers = split.helpers.iter();
        let helper_usages = helpers.clone();
        usages.extend(
            helper_usages
                .map(|(candidate, memory_tokens)| usage(candidate, helper_part, *memory_tokens)),
        );
        let plan = job::PlacementPlan {
            primary: split.primary.state.plan_member(0),
            helpers: helpers
                .map(|(candidate, tokens)| candidate.state.plan_member(*tokens))
                .collect(),
            predicted_ms: first_event_ms,
            priority: engine_priority(request),
        };
        Some(ScoredPlan { plan, usages, gain })
    }

    /// Returns the cost of prefilling `part` on an engine.
    fn member_cost<'v, 'a>(
        &self,
        candidate: &'v members::CandidateEngine<'a>,
        part: passes::PrefillPart,
    ) -> members::MemberCost<'v, 'a> {
        let after = candidate
            .state
            .pass_model
            .forecast(self.profile, Some(part));
        let own_forecast = after.last();
        let pairs = candidate.forecasts.iter().zip(&after);
        let value_loss = pairs.filter_map(|(before, after)| {
            let job = self.jobs.get(&before.job)?;
            Some(job.value_loss(self.now, before, after))
        });
        members::MemberCost {
            candidate,
            prefilled_at: own_forecast
                .and_then(|own| own.prefilled_at)
                .unwrap_or(self.now),
            longest_pass_ms: own_forecast.map_or(0.0, |own| own.longest_pass_ms),
            value_loss: value_loss.sum(),
        }
    }
}

/// Returns the priority in an engine's own queue, zero first: shorter objectives come first.
fn engine_priority(request: &job::PlacementRequest) -> u8 {
    let base = match request.full_objective_ms {
        objective if objective <= 500.0 => 0,
        objective if objective <= 2_000.0 => 2,
        _ => 4,
    };
    base + request.priority.min(3)
}
