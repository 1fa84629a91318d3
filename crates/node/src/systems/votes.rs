//! Votes on the coordinator of a cold endpoint: it grants only while other daemons also consider
//! it the coordinator.
//!
//! After each fault the daemons' views of membership differ for a while, and two of them may
//! consider themselves the coordinator of the same endpoint. Each endpoint therefore has a few
//! voters, the listed daemons that rank first as its coordinator. A vote names the one daemon
//! that the voter itself considers the coordinator, and counts for [`VOTE_TTL`] from when it was
//! requested. A term counts only once it has lasted [`MIN_TERM_AGE`]: by then the votes of an
//! earlier coordinator have expired, its grants are void, and the requests sent on them show in
//! the engine's report.

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

/// Maximum number of voters of one endpoint.
const MAX_VOTERS: usize = 5;
/// Interval between vote requests to a voter.
const VOTE_PERIOD: Duration = Duration::from_millis(300);
/// How long a vote counts, from when it was requested.
const VOTE_TTL: Duration = Duration::from_secs(1);
/// How long a term must have lasted before the first grant.
const MIN_TERM_AGE: Duration = Duration::from_secs(3);
/// How long votes are still requested after a sender last wanted the endpoint.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest gap that does not end a term: no other daemon can have granted within it.
const MAX_TERM_GAP: Duration = Duration::from_secs(1);

const _: () = {
    let earlier_grants_expire = VOTE_TTL.as_millis() + grants::GRANT_TTL.as_millis();
    assert!(MIN_TERM_AGE.as_millis() >= earlier_grants_expire + grants::MAX_REPORT_LAG.as_millis());
    assert!(MAX_TERM_GAP.as_millis() + 2 * VOTE_TTL.as_millis() <= MIN_TERM_AGE.as_millis());
};

/// Requests votes for cold endpoints, and counts those received.
pub(crate) fn tick(state: &mut state::NodeState) {
    let Some(config) = state.config.config.clone() else {
        return;
    };
    let now = state.now;
    let mut requests = map::HashMap::<ids::HostId, Vec<ids::EndpointId>>::default();
    let mut ledgers = std::mem::take(&mut state.ledgers.ledgers);
    for (id, ledger) in &mut ledgers {
        let entry = config.endpoints.get(id);
        let Some(entry) = entry.filter(|entry| grants::is_cold(ledger, entry)) else {
            continue;
        };
        let in_demand = now.since(ledger.votes.last_grant_request_at) < DEMAND_TIMEOUT;
        if in_demand && now >= ledger.votes.next_request_at {
            ledger.votes.next_request_at = now + VOTE_PERIOD;
            ledger.votes.voters = choose_voters(state, id, entry);
            for host in &ledger.votes.voters {
                requests.entry(host.clone()).or_default().push(id.clone());
            }
        }
        count_votes(state.host(), now, ledger);
    }
    state.ledgers.ledgers = ledgers;
    request_votes(state, requests);
}

fn request_votes(
    state: &mut state::NodeState,
    requests: map::HashMap<ids::HostId, Vec<ids::EndpointId>>,
) {
    let mut requests = requests.into_iter().collect::<Vec<_>>();
    requests.sort();
    for (host, endpoints) in requests {
        if host == *state.host() {
            continue;
        }
        let message = peer::PeerMessage::VoteRequest {
            asked_at: state.now,
            incarnation: state.incarnation,
            endpoints,
        };
        state.send(&host, message);
    }
}

/// Returns the voters of an endpoint: daemons of its data centre first, the likelier coordinator
/// first.
fn choose_voters(
    state: &state::NodeState,
    id: &ids::EndpointId,
    entry: &config::EndpointEntry,
) -> Vec<ids::HostId> {
    let candidates = state.members.iter().filter(|member| {
        let alive = member.may_be_running() && member.update.incarnation.0 > 0;
        member.in_host_list || alive
    });
    let candidates = candidates.map(|member| &member.update.entry);
    let mut hosts = candidates
        .chain([&state.settings.entry])
        .map(|host| {
            let elsewhere = host.data_centre != entry.data_centre;
            let weight = member::role_weight(&host.host, id.as_str());
            (elsewhere, std::cmp::Reverse(weight), host.host.clone())
        })
        .collect::<Vec<_>>();
    hosts.sort();
    hosts
        .into_iter()
        .take(MAX_VOTERS)
        .map(|(_, _, host)| host)
        .collect()
}

/// Records that a sender wants the endpoint, and counts its votes now.
pub(crate) fn record_demand(state: &mut state::NodeState, id: &ids::EndpointId) {
    let own_host = state.host().clone();
    if let Some(ledger) = state.ledgers.ledgers.get_mut(id) {
        ledger.votes.last_grant_request_at = state.now;
        count_votes(&own_host, state.now, ledger);
    }
}

fn count_votes(own_host: &ids::HostId, now: time::MonoTime, ledger: &mut ledger::EndpointLedger) {
    let record = &mut ledger.votes;
    let yes_votes = record.voters.iter().filter(|host| {
        let voted = record
            .votes
            .get(*host)
            .is_some_and(|asked_at| now.since(*asked_at) <= VOTE_TTL);
        *host == own_host || voted
    });
    let twice_yes_votes = yes_votes.count() * 2;
    let voter_count = record.voters.len();
    record
        .majority
        .record(now, twice_yes_votes > voter_count, MAX_TERM_GAP);
    record.half.record(
        now,
        twice_yes_votes >= voter_count && twice_yes_votes > 0,
        MAX_TERM_GAP,
    );
}

/// Replies to a daemon that considers itself the coordinator of endpoints.
pub(crate) fn on_request(
    state: &mut state::NodeState,
    from: &ids::HostId,
    asked_at: time::MonoTime,
    incarnation: ids::NodeIncarnation,
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
        incarnation,
        endpoints,
    };
    state.send(from, message);
}

/// Records the votes received.
pub(crate) fn on_reply(
    state: &mut state::NodeState,
    from: &ids::HostId,
    asked_at: time::MonoTime,
    incarnation: ids::NodeIncarnation,
    endpoints: Vec<ids::EndpointId>,
) {
    if incarnation != state.incarnation {
        return;
    }
    for id in endpoints {
        if let Some(ledger) = state.ledgers.ledgers.get_mut(&id) {
            let vote = ledger.votes.votes.entry(from.clone()).or_insert(asked_at);
            *vote = asked_at.max(*vote);
        }
    }
}

/// Returns the number of slots of a cold endpoint that this daemon may grant: the whole
/// concurrency limit with a majority of the votes, half of it with exactly half of the votes,
/// otherwise none.
pub(crate) fn allowed_slots(ledger: &ledger::EndpointLedger, now: time::MonoTime) -> u32 {
    let may_grant = |term: &ledger::CoordinatorTerm| {
        let ready_at = term
            .started_at(now)
            .map(|started_at| started_at + MIN_TERM_AGE);
        ready_at.is_some_and(|ready_at| now >= ready_at && ledger.load_requested_at >= ready_at)
    };
    if may_grant(&ledger.votes.majority) {
        return ledger.concurrency_limit;
    }
    if may_grant(&ledger.votes.half) {
        return ledger.concurrency_limit / 2;
    }
    0
}
