//! Over which engines, and over how many, the reading of a prompt is spread.

use model::map;
use model::serving;

use crate::engine;
use crate::job;
use crate::load;
use crate::members;
use crate::passes;
use crate::state;

/// Numbers of engines over which the reading of a prompt may be spread; the last is the most
/// that the platform takes.
const SPREADS: [usize; 10] = [1, 2, 3, 4, 6, 8, 10, 12, 14, 17];
/// Least tokens of a part, so that a helper saves more than it costs: two steps.
const LEAST_PART_TOKENS: u64 = 4_096;

/// A plan with what it takes and gains.
#[derive(Clone, Debug)]
pub(crate) struct PlanChoice {
    pub plan: job::PlacementPlan,
    pub shares: Vec<state::MemberShare>,
    pub gain: f64,
}

/// Requests that are placed, by their ids.
pub(crate) type PlacedJobs = map::HashMap<job::JobId, state::PlacedJob>;

/// A prompt that looks for engines.
pub(crate) struct PromptSearch<'a> {
    pub now: f64,
    pub waiting: &'a state::WaitingRequest,
    pub profile: &'a serving::EngineProfile,
    pub jobs: &'a PlacedJobs,
    /// Price of a ms of engine time, units of worth.
    pub price: f64,
}

/// Most engines that a prompt of some tokens is spread over.
pub(crate) fn most_members(tokens: u64) -> usize {
    let most = usize::try_from(tokens / LEAST_PART_TOKENS).unwrap_or(1);
    most.max(1)
}

/// An engine with what its requests are to expect.
pub(crate) fn view<'a>(
    state: &'a state::EndpointState,
    profile: &serving::EngineProfile,
    jobs: &PlacedJobs,
) -> members::EngineView<'a> {
    let pauses = state.jobs.iter().filter_map(|id| jobs.get(id));
    let pauses = pauses.filter(|job| {
        let first = job.members.first();
        first.is_some_and(|share| share.endpoint == state.live.id)
    });
    members::EngineView {
        state,
        forecast: state.passes.forecast(profile, None),
        shortest_pause_ms: pauses
            .map(|job| job.gap_objective_ms)
            .fold(f64::MAX, f64::min),
    }
}

impl PromptSearch<'_> {
    /// The choice that gains most over all numbers of engines.
    pub fn choose(&self, views: &[members::EngineView<'_>]) -> Option<PlanChoice> {
        let job::JobKind::Prompt { tokens, .. } = self.waiting.request.kind else {
            return None;
        };
        let most = most_members(tokens).min(views.len());
        let spreads = SPREADS.iter().filter(|spread| **spread <= most);
        let choices = spreads.filter_map(|spread| self.choose_spread(views, *spread));
        choices.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    fn choose_spread(
        &self,
        views: &[members::EngineView<'_>],
        spread: usize,
    ) -> Option<PlanChoice> {
        let waiting = self.waiting;
        let tokens = waiting.request.kind.prompt_tokens();
        let answer = waiting.request.kind.answer_tokens();
        let need = tokens + answer + members::RESERVE_MARGIN;
        let arrives_at = self.now + state::ONE_WAY_MS;
        let read = passes::PrefillPart::new(self.profile, waiting.job, tokens, spread, arrives_at);
        let generating = passes::PrefillPart {
            context: Some(tokens as f64),
            ..read
        };
        let part = if spread == 1 { generating } else { read };
        let costs = views.iter().filter(|view| view.state.has_slot());
        let mut costs: Vec<(f64, members::MemberCost<'_, '_>)> = costs
            .map(|view| self.member_cost(view, part))
            .map(|cost| (cost.rank(self.now, waiting), cost))
            .collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ranked = costs.into_iter().map(|(_, cost)| cost).collect();
        let members = members::take_members(ranked, spread, need, self.profile)?;
        let first_cost = |view: &members::EngineView<'_>| {
            let cost = self.member_cost(view, generating);
            let late = load::chance_over(
                cost.longest_pass_ms,
                waiting.request.gap_objective_ms.max(1.0),
            );
            cost.harm + late * waiting.value + cost.rank(self.now, waiting)
        };
        let split = members::split_memory(&members, need, self.profile, first_cost)?;

        let first = self.member_cost(split.first, generating);
        let others = members
            .iter()
            .filter(|member| member.view.state.live.id != split.first.state.live.id);
        let (mut prefilled_at, mut harm) = (first.prefilled_at, first.harm);
        let mut trouble = split.first.state.health.failure_rate(self.now);
        for member in others {
            prefilled_at = prefilled_at.max(member.prefilled_at);
            harm += member.harm;
            trouble += member.view.state.health.failure_rate(self.now);
        }
        let predicted = prefilled_at - self.now + state::ONE_WAY_MS;
        let request = &waiting.request;
        let outlook = load::JobOutlook {
            late: load::chance_over(predicted, waiting.objective_at - self.now),
            cut: load::chance_over(
                predicted,
                (waiting.gone_at - self.now).min(request.abandon_after_ms),
            ),
        };
        let pauses = load::JobOutlook::of_pauses(
            first.longest_pass_ms,
            request.gap_objective_ms,
            request.abandon_after_ms,
        );
        let outlook = outlook.worst(pauses);
        let failed = trouble / spread as f64;
        let prefill_ms = engine::prefill_ms(self.profile, tokens, spread) * spread as f64;
        let gain = waiting.value * (outlook.earned_share() - failed)
            - waiting.cost_share.sqrt() * harm
            - waiting.cost_share * self.price * prefill_ms;

        let share = |view: &members::EngineView<'_>, part, memory| state::MemberShare {
            endpoint: view.state.live.id.clone(),
            part: Some(part),
            memory,
        };
        let mut shares = vec![share(split.first, generating, split.first_tokens)];
        let helpers = split.helpers.iter();
        let helper_shares = helpers.clone();
        shares.extend(helper_shares.map(|(view, memory)| share(view, read, *memory)));
        let plan = job::PlacementPlan {
            primary: split.first.state.member(0),
            helpers: helpers
                .map(|(view, tokens)| view.state.member(*tokens))
                .collect(),
            predicted_ms: predicted,
            priority: engine_priority(request),
        };
        Some(PlanChoice { plan, shares, gain })
    }

    /// What a part on an engine costs.
    fn member_cost<'v, 'a>(
        &self,
        view: &'v members::EngineView<'a>,
        part: passes::PrefillPart,
    ) -> members::MemberCost<'v, 'a> {
        let after = view.state.passes.forecast(self.profile, Some(part));
        let own = after.last();
        let pairs = view.forecast.iter().zip(&after);
        let harm = pairs.filter_map(|(before, after)| {
            let job = self.jobs.get(&before.job)?;
            Some(job.loss(self.now, before, after))
        });
        members::MemberCost {
            view,
            prefilled_at: own.and_then(|own| own.prefilled_at).unwrap_or(self.now),
            longest_pass_ms: own.map_or(0.0, |own| own.longest_pass_ms),
            harm: harm.sum(),
        }
    }
}

/// Rank for an engine's own queue: tighter objectives go first.
fn engine_priority(request: &job::PlacementRequest) -> u8 {
    let rank = match request.full_objective_ms {
        objective if objective <= 500.0 => 0,
        objective if objective <= 2_000.0 => 2,
        _ => 4,
    };
    rank + request.priority.min(3)
}
