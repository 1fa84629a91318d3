//! Several placers at the same time keep to the limits of cold endpoints together.

#[path = "support/placers.rs"]
mod placers;
#[path = "support/profiles.rs"]
mod profiles;

use std::collections;

use model::ids;
use sardinepaddle_pool::job;
use sardinepaddle_pool::placer;
use sardinepaddle_pool::shares;

const DAEMONS: usize = 68;
/// Rate of a cold endpoint, and what is tolerated: 14 * 1.5 + 5.
const COLD_RATE: f64 = 14.0;
const TOLERATED: usize = 26;
const ENDPOINTS: usize = 4;
const STEP_MS: f64 = 5.0;

/// A placer with the size of its group.
struct GroupPlacer {
    placer: placer::JobPlacer,
    history: shares::GroupHistory,
    incarnation: u64,
    next_number: u64,
}

impl GroupPlacer {
    fn new(incarnation: u64) -> Self {
        Self {
            placer: placers::placer_with_engines(ENDPOINTS, COLD_RATE),
            history: shares::GroupHistory::default(),
            incarnation,
            next_number: 0,
        }
    }

    fn set_members(&mut self, now: f64, members: usize) {
        let share = self.history.update(now, members, DAEMONS);
        self.placer.set_cold_share(now, share, self.incarnation);
    }

    /// Submits a request and returns the endpoints that get it, if it is placed at once.
    fn place(&mut self, now: f64) -> Vec<ids::EndpointId> {
        self.next_number += 1;
        let job = job::JobId {
            incarnation: self.incarnation,
            number: self.next_number,
        };
        self.placer
            .submit(now, job, placers::prompt("short", 1_000, 300.0));
        let decisions = self.placer.take_decisions();
        self.placer.cancel(now, job);
        let plans = decisions
            .into_iter()
            .filter_map(|(_, decision)| match decision {
                job::PlacementDecision::Placed(plan) => Some(plan),
                job::PlacementDecision::Declined { .. } => None,
            });
        let members = plans.flat_map(|plan| plan.members().cloned().collect::<Vec<_>>());
        members.map(|member| member.endpoint).collect()
    }
}

/// Times of the requests sent to each endpoint.
type SendTable = collections::BTreeMap<ids::EndpointId, Vec<f64>>;

/// Returns the highest number of requests that an endpoint got within one second.
fn peak_rate(sends: &SendTable) -> usize {
    let peaks = sends.values().flat_map(|times| {
        times.iter().map(|start| {
            let within = times
                .iter()
                .filter(|at| (0.0..1_000.0).contains(&(*at - start)));
            within.count()
        })
    });
    peaks.max().unwrap_or(0)
}

fn times(from: f64, to: f64) -> impl Iterator<Item = f64> {
    (0..)
        .map(move |step| from + f64::from(step) * STEP_MS)
        .take_while(move |now| *now < to)
}

#[test]
fn daemons_that_each_place_their_own_requests_do_not_overload_a_cold_endpoint() {
    let mut sends = SendTable::new();
    let mut placers: Vec<_> = (0..DAEMONS as u64)
        .map(|index| GroupPlacer::new(index * 7_919))
        .collect();
    for now in times(0.0, 20_000.0) {
        for placer in &mut placers {
            placer.set_members(now, 1);
            for endpoint in placer.place(now) {
                sends.entry(endpoint).or_default().push(now);
            }
        }
    }
    let peak = peak_rate(&sends);
    assert!(peak <= TOLERATED, "{peak}");
    let total: usize = sends.values().map(Vec::len).sum();
    assert!(total >= 20 * ENDPOINTS, "{total}");
}

#[test]
fn next_placer_does_not_overload_a_cold_endpoint_beside_the_previous_one() {
    for overlap_ms in [0.0, 500.0] {
        let mut sends = SendTable::new();
        let (mut previous, mut next) = (GroupPlacer::new(1), GroupPlacer::new(2));
        for now in times(0.0, 8_000.0) {
            let (previous_members, next_members) = match now {
                now if now < 3_000.0 => (DAEMONS, 1),
                _ => (1, DAEMONS - 1),
            };
            previous.set_members(now, previous_members);
            next.set_members(now, next_members);
            let previous_sends = if now < 3_000.0 + overlap_ms {
                previous.place(now)
            } else {
                Vec::new()
            };
            for endpoint in previous_sends.into_iter().chain(next.place(now)) {
                sends.entry(endpoint).or_default().push(now);
            }
        }
        let peak = peak_rate(&sends);
        assert!(peak <= TOLERATED, "{peak}");
    }
}
