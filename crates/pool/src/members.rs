//! Which engines read a prompt, and where its memory lies.

use std::cmp;

use model::serving;

use crate::passes;
use crate::state;

/// Tokens set aside beyond the prompt's part, for rounding to blocks.
pub(crate) const RESERVE_MARGIN: u64 = 64;
/// Most endpoints that hold memory for one prompt.
pub(crate) const MOST_HOLDERS: usize = 4;
/// Price of sending to another data centre, units of worth; settles ties.
pub(crate) const CROSS_CENTRE_PRICE: f64 = 0.004;
/// Price of a request on an engine that generates for none with pauses as short, units of worth: it
/// is spoilt for reading long prompts.
const OPEN_PRICE: f64 = 0.4;
/// Least time left to an objective that the price of waiting is reckoned over, ms.
const LEAST_LEFT_MS: f64 = 100.0;

/// An engine with what its requests are to expect.
pub(crate) struct EngineView<'a> {
    pub state: &'a state::EndpointState,
    /// Without the request that looks for a place.
    pub forecast: Vec<passes::JobForecast>,
    /// Shortest pause that one of its requests bears, ms.
    pub shortest_pause_ms: f64,
}

/// An engine as a member of a plan.
#[derive(Clone, Copy)]
pub(crate) struct MemberCost<'v, 'a> {
    pub view: &'v EngineView<'a>,
    /// When its part is read, ms.
    pub prefilled_at: f64,
    /// Longest pass while it generates, ms.
    pub longest_pass_ms: f64,
    /// Worth that others lose.
    pub harm: f64,
}

impl EngineView<'_> {
    /// Tokens of memory that it may yet take.
    pub fn room(&self, profile: &serving::EngineProfile) -> u64 {
        self.state.memory_free(profile)
    }
}

impl MemberCost<'_, '_> {
    /// What settles the order of engines, units of worth.
    pub fn rank(&self, now: f64, waiting: &state::WaitingRequest) -> f64 {
        let request = &waiting.request;
        let left = (waiting.objective_at - now).max(LEAST_LEFT_MS);
        let wait = (self.prefilled_at - now).max(0.0) / left;
        let away = self.view.state.live.centre != request.centre;
        let opens = self.view.shortest_pause_ms > request.gap_objective_ms;
        self.harm
            + self.view.state.health.failure_rate(now) * waiting.value
            + if away { CROSS_CENTRE_PRICE } else { 0.0 }
            + waiting.value * wait.powi(2)
            + if opens { OPEN_PRICE } else { 0.0 }
    }
}

/// The first `spread` of some engines in order; if none of these has room for a prompt, those with
/// most room go before, as many as it needs.
pub(crate) fn take_members<'v, 'a>(
    mut ranked: Vec<MemberCost<'v, 'a>>,
    spread: usize,
    need: u64,
    profile: &serving::EngineProfile,
) -> Option<Vec<MemberCost<'v, 'a>>> {
    if ranked.len() < spread {
        return None;
    }
    let chosen = &ranked[..spread];
    if chosen.iter().all(|cost| cost.view.room(profile) < need) {
        let mut by_room: Vec<&EngineView<'_>> = ranked.iter().map(|cost| cost.view).collect();
        by_room.sort_by_key(|view| cmp::Reverse(view.room(profile)));
        let mut missing = need;
        by_room.retain(|view| {
            let taken = missing > 0;
            missing = missing.saturating_sub(view.room(profile));
            taken
        });
        let taken = |cost: &MemberCost<'_, '_>| {
            let mut others = by_room.iter();
            others.any(|other| other.state.live.id == cost.view.state.live.id)
        };
        ranked.sort_by_key(|cost| !taken(cost));
    }
    ranked.truncate(spread);
    Some(ranked)
}

/// Where the memory of a prompt lies.
pub(crate) struct MemorySplit<'v, 'a> {
    /// The engine that gets the request, and generates.
    pub first: &'v EngineView<'a>,
    /// Tokens of memory that it holds.
    pub first_tokens: u64,
    /// The others, with the tokens that are reserved there.
    pub helpers: Vec<(&'v EngineView<'a>, u64)>,
}

/// Splits the memory of a prompt over its engines: all of it on the one that loses least by
/// generating for it (`cost`) of those with room, or else what the one with most room can't take on
/// others.
pub(crate) fn split_memory<'v, 'a>(
    members: &[MemberCost<'v, 'a>],
    need: u64,
    profile: &serving::EngineProfile,
    cost: impl Fn(&EngineView<'_>) -> f64,
) -> Option<MemorySplit<'v, 'a>> {
    let views = || members.iter().map(|member| member.view);
    let fitting = views().filter(|view| view.room(profile) >= need);
    let first = fitting
        .map(|view| (cost(view), view))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, view)| view)
        .or_else(|| views().max_by_key(|view| view.room(profile)))?;
    let mut missing = need.saturating_sub(first.room(profile));
    let first_tokens = need - missing;
    let mut others: Vec<&EngineView<'_>> = views().collect();
    others.retain(|view| view.state.live.id != first.state.live.id);
    others.sort_by_key(|view| cmp::Reverse(view.room(profile)));
    let mut helpers = Vec::with_capacity(others.len());
    for view in others {
        let room = view.room(profile).saturating_sub(RESERVE_MARGIN);
        let reserved = missing.min(room);
        missing -= reserved;
        helpers.push((view, reserved));
    }
    let holders = helpers.iter().filter(|(_, reserved)| *reserved > 0).count();
    let fits = missing == 0 && holders <= MOST_HOLDERS;
    fits.then_some(MemorySplit {
        first,
        first_tokens,
        helpers,
    })
}
