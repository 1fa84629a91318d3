//! Whose word counts for a cold endpoint: a keeper grants only while other daemons, too, take
//! it as the keeper.
//!
//! Membership differs between daemons for a while after each fault, and then two of them take
//! the same endpoint as theirs. Each endpoint has a small panel of voters, the first listed
//! daemons in the order of its role. A vote names the one daemon that the voter itself takes
//! as the keeper, and counts for [`VOTE_SPAN`] after it was asked for. A term counts only once
//! it has lasted [`TERM_WAIT`]: by then an earlier keeper's votes have run out, its grants are
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
const PANEL_SIZE: usize = 5;
/// Time between two questions to a voter.
const VOTE_PERIOD: Duration = Duration::from_millis(300);
/// Time for which a vote counts, from the question on.
const VOTE_SPAN: Duration = Duration::from_secs(1);
/// Time that a term must have lasted before the first grant.
const TERM_WAIT: Duration = Duration::from_secs(3);
/// Time for which votes are asked for after somebody wanted the endpoint.
const DEMAND_SPAN: Duration = Duration::from_secs(60);
/// Longest gap in a term after which nobody else can have granted yet.
const RESUME_SPAN: Duration = Duration::from_secs(1);

const _: () = {
    let spent = VOTE_SPAN.as_millis() + grants::GRANT_SPAN.as_millis();
    assert!(TERM_WAIT.as_millis() >= spent + grants::REPORT_LAG.as_millis());
    assert!(RESUME_SPAN.as_millis() + 2 * VOTE_SPAN.as_millis() <= TERM_WAIT.as_millis());
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
        let wanted = now.since(account.votes.last_grant_request_at) < DEMAND_SPAN;
        if wanted && now >= account.votes.next_request_at {
            account.votes.next_request_at = now + VOTE_PERIOD;
            account.votes.voters = panel(state, id, entry);
            for host in &account.votes.voters {
                questions.entry(host.clone()).or_default().push(id.clone());
            }
        }
        count(state.host(), now, account);
    }
    state.ledgers.ledgers = ledgers;
    ask(state, questions);
}

fn ask(state: &mut state::NodeState, questions: map::HashMap<ids::HostId, Vec<ids::EndpointId>>) {
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
fn panel(
    state: &state::NodeState,
    id: &ids::EndpointId,
    entry: &config::EndpointEntry,
) -> Vec<ids::HostId> {
    let listed = state.members.iter().filter(|member| {
        let living = member.may_be_running() && member.update.incarnation.0 > 0;
        member.in_host_list || living
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
        .take(PANEL_SIZE)
        .map(|(_, _, host)| host)
        .collect()
}

/// Counts the votes for one endpoint at this moment, as somebody wants it.
pub(crate) fn refresh(state: &mut state::NodeState, id: &ids::EndpointId) {
    let own = state.host().clone();
    if let Some(account) = state.ledgers.ledgers.get_mut(id) {
        account.votes.last_grant_request_at = state.now;
        count(&own, state.now, account);
    }
}

fn count(own: &ids::HostId, now: time::MonoTime, account: &mut ledger::EndpointLedger) {
    let record = &mut account.votes;
    let named = record.voters.iter().filter(|host| {
        let voted = record
            .votes
            .get(*host)
            .is_some_and(|asked_at| now.since(*asked_at) <= VOTE_SPAN);
        *host == own || voted
    });
    let named = named.count() * 2;
    let wanted = record.voters.len();
    record.majority.record(now, named > wanted, RESUME_SPAN);
    record
        .half
        .record(now, named >= wanted && named > 0, RESUME_SPAN);
}

/// Answers a daemon that takes itself as the keeper of endpoints.
pub(crate) fn on_ask(
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
            entry
                .and_then(|entry| state.coordinator_of(id, entry))
                .as_ref()
                == Some(from)
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
pub(crate) fn allowed_carry(account: &ledger::EndpointLedger, now: time::MonoTime) -> u32 {
    let lasts = |term: &ledger::CoordinatorTerm| {
        let ready_at = term.started_at(now).map(|begin| begin + TERM_WAIT);
        ready_at.is_some_and(|at| now >= at && account.load_requested_at >= at)
    };
    if lasts(&account.votes.majority) {
        return account.concurrency_limit;
    }
    if lasts(&account.votes.half) {
        return account.concurrency_limit / 2;
    }
    0
}
