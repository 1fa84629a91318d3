//! Which engines read a prompt, and where its memory lies.

use std::cmp;

use model::serving;

use crate::load;
use crate::state;

/// Tokens set aside beyond the prompt's part, for rounding to blocks.
pub(crate) const RESERVE_MARGIN: u64 = 64;
/// Most endpoints that hold memory for one prompt.
pub(crate) const MOST_HOLDERS: usize = 4;
/// Price of sending to another data centre, units of worth; settles ties.
pub(crate) const CROSS_CENTRE_PRICE: f64 = 0.004;
/// Price of each request that an engine generates for already, units of worth; spreads them.
const CROWD_PRICE: f64 = 0.01;
/// Least time left to an objective that the price of waiting is reckoned over, ms.
const LEAST_LEFT_MS: f64 = 100.0;

/// An engine with what it does.
pub(crate) struct EngineView<'a> {
    pub state: &'a state::EndpointState,
    pub load: load::EngineLoad,
}

impl EngineView<'_> {
    /// Tokens of memory that it may yet take.
    pub fn room(&self, profile: &serving::EngineProfile) -> u64 {
        self.state.memory_free(profile)
    }
}

/// Engines with room for one more request, those that lose least by it first.
pub(crate) fn rank_members<'v, 'a>(
    now: f64,
    waiting: &state::WaitingAsk,
    profile: &serving::EngineProfile,
    views: &'v [EngineView<'a>],
    addition: &load::ReadAddition,
) -> Vec<&'v EngineView<'a>> {
    let left = (waiting.objective_at - now).max(LEAST_LEFT_MS);
    let wait_price = waiting.value / left;
    let cost = |view: &EngineView<'_>| {
        let away = view.state.live.centre != waiting.ask.centre;
        view.load.harm(profile, addition)
            + view.state.trouble.share(now) * waiting.value
            + if away { CROSS_CENTRE_PRICE } else { 0.0 }
            + view.load.start_ms() * wait_price
            + CROWD_PRICE * view.load.first_here as f64
    };
    let open = views
        .iter()
        .filter(|view| view.state.jobs.len() < view.state.live.slots as usize);
    let mut ranked: Vec<(f64, &EngineView<'_>)> = open.map(|view| (cost(view), view)).collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    ranked.into_iter().map(|(_, view)| view).collect()
}

/// The first `spread` of some engines; if none of these has room for a prompt, those with most
/// room go before, as many as it needs.
pub(crate) fn take_members<'v, 'a>(
    mut ranked: Vec<&'v EngineView<'a>>,
    spread: usize,
    need: u64,
    profile: &serving::EngineProfile,
) -> Option<Vec<&'v EngineView<'a>>> {
    if ranked.len() < spread {
        return None;
    }
    if ranked[..spread]
        .iter()
        .all(|view| view.room(profile) < need)
    {
        let mut by_room = ranked.clone();
        by_room.sort_by_key(|view| cmp::Reverse(view.room(profile)));
        let mut missing = need;
        by_room.retain(|view| {
            let taken = missing > 0;
            missing = missing.saturating_sub(view.room(profile));
            taken
        });
        let taken = |view: &&EngineView<'_>| {
            let mut others = by_room.iter();
            others.any(|other| other.state.live.id == view.state.live.id)
        };
        ranked.sort_by_key(|view| !taken(view));
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

/// Splits the memory of a prompt over its engines: all of it on the one with the shortest pass of
/// those with room, or else what the one with most room can't take on others.
pub(crate) fn split_memory<'v, 'a>(
    members: &[&'v EngineView<'a>],
    need: u64,
    profile: &serving::EngineProfile,
) -> Option<MemorySplit<'v, 'a>> {
    let fitting = members.iter().filter(|view| view.room(profile) >= need);
    let first = fitting
        .min_by(|a, b| a.load.pass_ms.total_cmp(&b.load.pass_ms))
        .or_else(|| members.iter().max_by_key(|view| view.room(profile)))?;
    let mut missing = need.saturating_sub(first.room(profile));
    let first_tokens = need - missing;
    let mut others: Vec<&EngineView<'_>> = members.to_vec();
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
