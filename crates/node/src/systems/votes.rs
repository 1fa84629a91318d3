//! Whose word counts for a cold endpoint: a keeper grants only while other daemons, too, take
//! it as the keeper.
//!
//! Membership differs between daemons for a while after each fault, and then two of them take
//! the same endpoint as theirs. Each endpoint has a small panel of voters, the first listed
//! daemons in the order of its role. A vote names the one daemon that the voter itself takes
//! as the keeper, and counts for [`VOTE_TTL`] after it was asked for. A term counts only once
//! it has lasted [`MIN_TERM_AGE`]: by then an earlier keeper's votes have run out, its grants are
//! void, and what was sent on them shows in the engine's report.

use std::time::Duration;

use model::config;
use model::ids;
use model::map;
use model::peer;
use model::time;

use crate::state;
use crate::systems::grants;
use crate::tables::ledger;
use crate::tables::member;

/// Most voters of one endpoint.
const MAX_VOTERS: usize = 5;
/// Time between two questions to a voter.
const VOTE_PERIOD: Duration = Duration::from_millis(300);
/// Time for which a vote counts, from the question on.
const VOTE_TTL: Duration = Duration::from_secs(1);
/// Time that a term must have lasted before the first grant.
const MIN_TERM_AGE: Duration = Duration::from_secs(3);
/// Time for which votes are asked for after somebody wanted the endpoint.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest gap in a term after which nobody else can have granted yet.
const MAX_TERM_GAP: Duration = Duration::from_secs(1);

const _: () = {
    let spent = VOTE_TTL.as_millis() + grants::GRANT_TTL.as_millis();
    assert!(MIN_TERM_AGE.as_millis() >= spent + grants::MAX_REPORT_LAG.as_millis());
    assert!(MAX_TERM_GAP.as_millis() + 2 * VOTE_TTL.as_millis() <= MIN_TERM_AGE.as_millis());
};

/// Asks the voters of cold endpoints, and counts their votes.
pub(crate) fn tick(state: &mut state::NodeState) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let now = state.now;
    let mut questions = map::HashMap::<ids::HostId, Vec<ids::EndpointId>>::default();
    let mut ledgers = std::mem::take(&mut state.ledgers.ledgers);
    for (id, account) in &mut ledgers {
        let entry = config.endpoints.get(id);
        let Some(entry) = entry.filter(|entry| grants::is_cold(account, entry)) else {
            continue;
        };
        let wanted = now.since(account.votes.wanted_at) < DEMAND_TIMEOUT;
        if wanted && now >= account.votes.next_ask_at {
            account.votes.next_ask_at = now + VOTE_PERIOD;
            account.votes.panel = choose_voters(state, id, entry);
            for host in &account.votes.panel {
                questions.entry(host.clone()).or_default().push(id.clone());
            }
        }
        count_votes(state.host(), now, account);
    }
    state.ledgers.ledgers = ledgers;
    request_votes(state, questions);
}

fn request_votes(
    state: &mut state::NodeState,
    questions: map::HashMap<ids::HostId, Vec<ids::EndpointId>>,
) {
    let mut questions = questions.into_iter().collect::<Vec<_>>();
    questions.sort();
    for (host, endpoints) in questions {
        if host == *state.host() {
            continue;
        }
        let message = peer::PeerMessage::VoteAsk {
            asked_at: state.now,
            life: state.incarnation,
            endpoints,
        };
        state.send(&host, message);
    }
}

/// The voters of an endpoint: its data centre's daemons first, the likelier keeper first.
fn choose_voters(
    state: &state::NodeState,
    id: &ids::EndpointId,
    entry: &config::EndpointEntry,
) -> Vec<ids::HostId> {
    let listed = state.members.iter().filter(|member| {
        let living = member.may_live() && member.update.incarnation.0 > 0;
        member.listed || living
    });
    let listed = listed.map(|member| &member.update.entry);
    let mut hosts = listed
        .chain([&state.settings.entry])
        .map(|host| {
            let away = host.data_centre != entry.data_centre;
            let weight = member::role_weight(&host.host, id.as_str());
            (away, std::cmp::Reverse(weight), host.host.clone())
        })
        .collect::<Vec<_>>();
    hosts.sort();
    hosts
        .into_iter()
        .take(MAX_VOTERS)
        .map(|(_, _, host)| host)
        .collect()
}

/// Counts the votes for one endpoint at this moment, as somebody wants it.
pub(crate) fn record_demand(state: &mut state::NodeState, id: &ids::EndpointId) {
    let own = state.host().clone();
    if let Some(account) = state.ledgers.ledgers.get_mut(id) {
        account.votes.wanted_at = state.now;
        count_votes(&own, state.now, account);
    }
}

fn count_votes(own: &ids::HostId, now: time::MonoTime, account: &mut ledger::EndpointLedger) {
    let record = &mut account.votes;
    let named = record.panel.iter().filter(|host| {
        let voted = record
            .votes
            .get(*host)
            .is_some_and(|asked_at| now.since(*asked_at) <= VOTE_TTL);
        *host == own || voted
    });
    let named = named.count() * 2;
    let wanted = record.panel.len();
    record.majority.note(now, named > wanted, MAX_TERM_GAP);
    record
        .half
        .note(now, named >= wanted && named > 0, MAX_TERM_GAP);
}

/// Answers a daemon that takes itself as the keeper of endpoints.
pub(crate) fn on_request(
    state: &mut state::NodeState,
    from: &ids::HostId,
    asked_at: time::MonoTime,
    life: ids::NodeIncarnation,
    endpoints: Vec<ids::EndpointId>,
) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let endpoints = endpoints
        .into_iter()
        .filter(|id| {
            let entry = config.endpoints.get(id);
            entry.and_then(|entry| state.keeper_of(id, entry)).as_ref() == Some(from)
        })
        .collect();
    let message = peer::PeerMessage::VoteReply {
        asked_at,
        life,
        endpoints,
    };
    state.send(from, message);
}

/// Takes votes.
pub(crate) fn on_reply(
    state: &mut state::NodeState,
    from: &ids::HostId,
    asked_at: time::MonoTime,
    life: ids::NodeIncarnation,
    endpoints: Vec<ids::EndpointId>,
) {
    if life != state.incarnation {
        return;
    }
    for id in endpoints {
        if let Some(account) = state.ledgers.ledgers.get_mut(&id) {
            let vote = account.votes.votes.entry(from.clone()).or_insert(asked_at);
            *vote = asked_at.max(*vote);
        }
    }
}

/// Requests that a cold endpoint may carry by this daemon's grants: all that it can for the
/// majority's keeper, half of it where the voters are evenly split, else none.
pub(crate) fn allowed_concurrency(account: &ledger::EndpointLedger, now: time::MonoTime) -> u32 {
    let lasts = |term: &ledger::TermSpan| {
        let ready_at = term.begin(now).map(|begin| begin + MIN_TERM_AGE);
        ready_at.is_some_and(|at| now >= at && account.load_asked_at >= at)
    };
    if lasts(&account.votes.majority) {
        return account.carry;
    }
    if lasts(&account.votes.half) {
        return account.carry / 2;
    }
    0
}
