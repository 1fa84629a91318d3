//! Searches for the engines that prefill a prompt, and for how many of them.

use std::cmp;

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
/// Number of engines sorted by their least cost at once, beside two for each member.
const MIN_SORTED_CANDIDATES: usize = 14;

/// A plan with the resources that it uses and its expected gain, units of value.
#[derive(Clone, Debug)]
pub(crate) struct ScoredPlan {
    pub plan: job::PlacementPlan,
    pub usages: Vec<state::MemberUsage>,
    pub gain: f64,
}

/// Placed requests by job id.
pub(crate) type PlacedJobs = map::HashMap<job::JobId, state::PlacedJob>;

/// Orders engines by cost, and those of equal cost by their place in the list: the first ones get
/// the short prompts, and the last ones stay free for long prompts.
#[derive(Clone, Copy)]
struct RankKey {
    cost: f64,
    index: usize,
}

impl RankKey {
    fn compare(&self, other: &Self) -> cmp::Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then(self.index.cmp(&other.index))
    }
}

/// The earliest times at which engines may prefill a part of a prompt, ms.
struct EarliestStarts {
    /// Of a whole prompt.
    whole: f64,
    /// Of a part that several engines share, earliest first, of as many as one prompt may have.
    shared: Vec<f64>,
}

impl EarliestStarts {
    fn new(candidates: &[&members::CandidateEngine<'_>]) -> Self {
        let whole = candidates.iter().map(|candidate| candidate.whole_start);
        let shared = candidates.iter().map(|candidate| candidate.shared_start);
        let mut shared: Vec<f64> = shared.collect();
        let most = MEMBER_COUNTS.last().copied().unwrap_or(1);
        if shared.len() > most {
            shared.select_nth_unstable_by(most, f64::total_cmp);
            shared.truncate(most);
        }
        shared.sort_by(f64::total_cmp);
        Self {
            whole: whole.fold(f64::MAX, f64::min),
            shared,
        }
    }

    /// Returns the time at which the last of a number of engines may start.
    fn of_members(&self, member_count: usize) -> f64 {
        match member_count {
            1 => self.whole,
            count => self.shared.get(count - 1).copied().unwrap_or(f64::MAX),
        }
    }
}

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

impl PromptSearch<'_> {
    /// Returns the plan with the highest gain over all numbers of engines, if it is above
    /// `min_gain`.
    pub fn best_plan(&self, usable: &[&state::EndpointState], min_gain: f64) -> Option<ScoredPlan> {
        let job::JobKind::Prompt { tokens, .. } = self.waiting.request.kind else {
            return None;
        };
        let with_room = usable.iter().filter(|state| state.has_free_slot());
        let usual_slowdown = self.usual_slowdown(usable);
        let candidates = with_room.map(|state| {
            let (waiting, profile) = (self.waiting, self.profile);
            members::CandidateEngine::new(self.now, state, waiting, profile, usual_slowdown)
        });
        let candidates: Vec<_> = candidates.collect();
        let candidates: Vec<_> = candidates.iter().collect();
        let max_count = max_members(tokens).min(candidates.len());
        let starts = EarliestStarts::new(&candidates);
        let mut best: Option<ScoredPlan> = None;
        for member_count in MEMBER_COUNTS
            .into_iter()
            .filter(|count| *count <= max_count)
        {
            let most_gain = self.most_gain(&starts, member_count);
            let best_gain = best.as_ref().map_or(f64::NEG_INFINITY, |best| best.gain);
            if most_gain <= min_gain || most_gain < best_gain {
                continue;
            }
            let plan = self.plan_for_member_count(&candidates, member_count);
            best = plan.filter(|plan| plan.gain >= best_gain).or(best);
        }
        best.filter(|best| best.gain > min_gain)
    }

    /// Returns the mean slowdown of the engines that have been seen.
    fn usual_slowdown(&self, usable: &[&state::EndpointState]) -> f64 {
        let estimates = usable.iter().map(|state| &state.slowdown);
        let known = estimates.filter(|estimate| estimate.evidence_age_ms(self.now).is_some());
        let factors = known.map(|estimate| estimate.cautious_factor(self.now, 1.0));
        let (sum, count) = factors.fold((0.0, 0.0), |(sum, count), factor| {
            (sum + factor, count + 1.0)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// Returns an upper bound of the gain with a number of engines: that with the engines that can
    /// start first, if no other request lost any value.
    fn most_gain(&self, starts: &EarliestStarts, member_count: usize) -> f64 {
        let waiting = self.waiting;
        let tokens = waiting.request.kind.prompt_tokens();
        let part =
            passes::PrefillPart::new(self.profile, waiting.job, tokens, member_count, self.now);
        let prefilled_at = starts.of_members(member_count) + part.tokens * part.ms_per_token;
        let first_event_ms = prefilled_at - self.now + state::ONE_WAY_LATENCY_MS;
        let share = self.first_event_risk(first_event_ms).expected_share();
        waiting.value * share - self.engine_price(member_count)
    }

    /// Returns the price of the engine time that a number of engines spend on the prompt.
    fn engine_price(&self, member_count: usize) -> f64 {
        let tokens = self.waiting.request.kind.prompt_tokens();
        let prefill_ms =
            engine::prefill_ms(self.profile, tokens, member_count) * member_count as f64;
        self.waiting.cost_weight * self.price_per_ms * prefill_ms
    }

    /// Returns the risk of a first event after `first_event_ms`.
    fn first_event_risk(&self, first_event_ms: f64) -> risk::JobRisk {
        let waiting = self.waiting;
        let client_leaves_ms =
            (waiting.deadline_at - self.now).min(waiting.request.abandon_after_ms);
        risk::JobRisk {
            late: risk::overrun_probability(first_event_ms, waiting.objective_at - self.now),
            abandoned: risk::overrun_probability(first_event_ms, client_leaves_ms),
        }
    }

    fn plan_for_member_count(
        &self,
        candidates: &[&members::CandidateEngine<'_>],
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
        let members = self.select_members(candidates, member_count, needed_tokens, part)?;
        let primary_cost = |candidate: &members::CandidateEngine<'_>| {
            let cost = self.member_cost(candidate, primary_part);
            let gap_overrun = risk::overrun_probability(
                cost.longest_pass_ms,
                waiting.request.gap_objective_ms.max(1.0),
            );
            cost.value_loss + gap_overrun * waiting.value + cost.ranking_cost(self.now, waiting)
        };
        let split = members::split_memory(&members, needed_tokens, primary_cost)?;

        let primary = self.member_cost(split.primary, primary_part);
        let others = members
            .iter()
            .filter(|member| member.candidate.state.live.id != split.primary.state.live.id);
        let (mut prefilled_at, mut value_loss) = (primary.prefilled_at, primary.value_loss);
        let mut cautious_at = primary.cautious_at;
        let mut failure_rate_sum = split.primary.state.health.failure_rate(self.now);
        for member in others {
            prefilled_at = prefilled_at.max(member.prefilled_at);
            cautious_at = cautious_at.max(member.cautious_at);
            value_loss += member.value_loss;
            failure_rate_sum += member.candidate.state.health.failure_rate(self.now);
        }
        let first_event_ms = prefilled_at - self.now + state::ONE_WAY_LATENCY_MS;
        let request = &waiting.request;
        let gap_risk = risk::JobRisk::from_gaps(
            primary.longest_pass_ms,
            request.gap_objective_ms,
            request.abandon_after_ms,
        );
        let cautious_ms = cautious_at - self.now + state::ONE_WAY_LATENCY_MS;
        let risk = self.first_event_risk(cautious_ms).max(gap_risk);
        let mean_failure_rate = failure_rate_sum / member_count as f64;
        let gain = waiting.value * (risk.expected_share() - mean_failure_rate)
            - waiting.cost_weight.sqrt() * value_loss
            - self.engine_price(member_count);

        let usage =
            |candidate: &members::CandidateEngine<'_>, part, memory_tokens| state::MemberUsage {
                endpoint: candidate.state.live.id.clone(),
                part: Some(part),
                memory_tokens,
                assumed_slowdown: candidate.state.pass_model.slowdown(),
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

    /// Returns the `count` engines with the lowest ranking cost, lowest first. If none of them has
    /// enough free memory for the prompt, those with the most free memory come first, as many as
    /// the prompt needs. Returns `None` if there are fewer than `count`.
    fn select_members<'v, 'a>(
        &self,
        candidates: &[&'v members::CandidateEngine<'a>],
        count: usize,
        needed_tokens: u64,
        part: passes::PrefillPart,
    ) -> Option<Vec<members::MemberCost<'v, 'a>>> {
        let leading = self.cheapest(candidates, count, part)?;
        let has_room =
            |cost: &members::MemberCost<'_, '_>| cost.candidate.free_memory() >= needed_tokens;
        if leading.iter().any(has_room) {
            return Some(leading);
        }
        // Which engines have the most memory matters more than how soon they are free, so that all
        // of them are compared.
        let ranked = self.cheapest(candidates, candidates.len(), part)?;
        Some(members::with_largest_memory(ranked, count, needed_tokens))
    }

    /// Returns the `count` engines with the lowest ranking cost, lowest first. Engines are
    /// forecast in the order of a lower bound of their cost, until no further one can be cheaper.
    fn cheapest<'v, 'a>(
        &self,
        candidates: &[&'v members::CandidateEngine<'a>],
        count: usize,
        part: passes::PrefillPart,
    ) -> Option<Vec<members::MemberCost<'v, 'a>>> {
        if candidates.len() < count {
            return None;
        }
        let bounds = candidates.iter().enumerate();
        let bounds = bounds.map(|(index, candidate)| {
            let least_cost = candidate.least_cost(self.now, self.waiting, &part);
            RankKey {
                cost: least_cost,
                index,
            }
        });
        let mut bounds: Vec<RankKey> = bounds.collect();
        let mut cheapest: Vec<(RankKey, members::MemberCost<'_, '_>)> =
            Vec::with_capacity(count + 1);
        let mut sorted_count = 0;
        for position in 0..bounds.len() {
            if position == sorted_count {
                // Sorts only as many as are likely to be needed.
                let rest = &mut bounds[sorted_count..];
                let batch = (2 * count + MIN_SORTED_CANDIDATES).min(rest.len());
                if batch < rest.len() {
                    rest.select_nth_unstable_by(batch, RankKey::compare);
                }
                rest[..batch].sort_unstable_by(RankKey::compare);
                sorted_count += batch;
            }
            let bound = bounds[position];
            let is_full = cheapest.len() == count;
            let highest = cheapest.last().filter(|_| is_full);
            if highest.is_some_and(|(highest, _)| bound.compare(highest).is_gt()) {
                break;
            }
            let cost = self.member_cost(candidates[bound.index], part);
            let key = RankKey {
                cost: cost.ranking_cost(self.now, self.waiting),
                index: bound.index,
            };
            let rank = cheapest.partition_point(|(other, _)| other.compare(&key).is_lt());
            cheapest.insert(rank, (key, cost));
            cheapest.truncate(count);
        }
        Some(cheapest.into_iter().map(|(_, cost)| cost).collect())
    }

    /// Returns the cost of prefilling `part` on an engine.
    fn member_cost<'v, 'a>(
        &self,
        candidate: &'v members::CandidateEngine<'a>,
        part: passes::PrefillPart,
    ) -> members::MemberCost<'v, 'a> {
        let pass_model = &candidate.state.pass_model;
        let after = pass_model.forecast_with(self.profile, part);
        let own_forecast = after.last();
        let pairs = pass_model.forecast(self.profile).iter().zip(&after);
        let value_loss = pairs.filter_map(|(before, after)| {
            let job = self.jobs.get(&before.job)?;
            Some(job.value_loss(self.now, before, after))
        });
        let prefilled_at = own_forecast
            .and_then(|own| own.prefilled_at)
            .unwrap_or(self.now);
        members::MemberCost {
            candidate,
            prefilled_at,
            cautious_at: candidate.cautious_at(self.now, prefilled_at),
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
