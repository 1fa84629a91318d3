//! The retry budget that daemons divide among themselves.

use std::collections;

use model::ids;
use proptest::prelude::*;
use sardinepaddle_pool::budget;

const WINDOW_MS: f64 = 10_000.0;
const EXTRA: f64 = 196.0;
const RATIO: f64 = 0.2;
const STEP_MS: f64 = 50.0;

fn bounds() -> budget::BudgetBounds {
    budget::BudgetBounds {
        ratio: RATIO,
        extra: EXTRA,
        window_ms: WINDOW_MS,
    }
}

/// Daemons that send each of their requests again if their budget allows it.
struct Deployment {
    service: ids::ServiceId,
    now: f64,
    daemons: collections::BTreeMap<usize, budget::DaemonBudget>,
    requests: Vec<f64>,
    retries: Vec<f64>,
}

impl Deployment {
    fn new(daemons: usize) -> Self {
        let mut deployment = Self {
            service: ids::ServiceId::new("llm"),
            now: 0.0,
            daemons: collections::BTreeMap::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for host in 0..daemons {
            deployment.start(host);
        }
        deployment.list();
        deployment
    }

    fn start(&mut self, host: usize) {
        let started = budget::DaemonBudget::new(bounds(), self.now);
        self.daemons.insert(host, started);
    }

    fn list(&mut self) {
        let listed = self.daemons.len();
        for daemon in self.daemons.values_mut() {
            daemon.set_daemons(self.now, listed);
        }
    }

    /// Sends a number of requests through each daemon, and again if that is allowed.
    fn step(&mut self, per_daemon: usize) {
        self.now += STEP_MS;
        for daemon in self.daemons.values_mut() {
            for _ in 0..per_daemon {
                daemon.record_request(self.now, &self.service);
                self.requests.push(self.now);
                if daemon.try_reserve(self.now, &self.service) {
                    daemon.record_retry(self.now, &self.service);
                    self.retries.push(self.now);
                }
            }
        }
    }

    /// Returns the largest share of the allowed retries that was used in any window.
    fn most_used(&self) -> f64 {
        let count = |times: &[f64], since: f64| {
            let until = since + WINDOW_MS;
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < since)
        };
        let starts = self.retries.iter().copied();
        let used = starts.map(|since| {
            let allowed = RATIO * count(&self.requests, since) as f64 + EXTRA;
            count(&self.retries, since) as f64 / allowed
        });
        used.fold(0.0, f64::max)
    }
}

#[derive(Clone, Copy, Debug)]
enum FleetChange {
    /// All daemons whose number divided by three leaves this rest are killed and start again.
    Restart(usize),
    /// Daemons are added.
    Add(usize),
    /// Daemons are removed.
    Remove(usize),
    /// Nothing changes.
    None,
}

fn changes() -> impl Strategy<Value = Vec<(FleetChange, usize, usize)>> {
    let change = prop_oneof![
        (0usize..3).prop_map(FleetChange::Restart),
        (1usize..20).prop_map(FleetChange::Add),
        (1usize..10).prop_map(FleetChange::Remove),
        Just(FleetChange::None),
    ];
    // Each change, the steps that follow, and the requests in each of them.
    prop::collection::vec((change, 60usize..200, 0usize..3), 1..8)
}

proptest! {
    #[test]
    fn daemons_together_stay_within_the_budget_whoever_restarts_or_joins(changes in changes()) {
        let mut deployment = Deployment::new(24);
        let mut next = 24;
        for (change, steps, per_daemon) in changes {
            match change {
                FleetChange::Restart(rest) => {
                    let hosts: Vec<usize> = deployment.daemons.keys().copied().collect();
                    for host in hosts.into_iter().filter(|host| host % 3 == rest) {
                        deployment.start(host);
                    }
                }
                FleetChange::Add(count) => {
                    for host in next..next + count {
                        deployment.start(host);
                    }
                    next += count;
                }
                FleetChange::Remove(count) => {
                    for _ in 0..count.min(deployment.daemons.len() - 1) {
                        deployment.daemons.pop_first();
                    }
                }
                FleetChange::None => {}
            }
            deployment.list();
            for _ in 0..steps {
                deployment.step(per_daemon);
            }
        }
        let used = deployment.most_used();
        prop_assert!(used <= 1.0, "{used}");
    }
}

#[test]
fn settled_daemons_use_most_of_the_budget() {
    let mut deployment = Deployment::new(24);
    for _ in 0..600 {
        deployment.step(1);
    }
    let used = deployment.most_used();
    assert!((0.6..=1.0).contains(&used), "{used}");
}

#[test]
fn retry_that_is_not_sent_is_given_back() {
    let service = ids::ServiceId::new("llm");
    let mut daemon = budget::DaemonBudget::new(bounds(), 0.0);
    daemon.set_daemons(0.0, 24);
    for _ in 0..1_000 {
        assert!(daemon.try_reserve(1.0, &service));
        daemon.release(&service);
    }
}

#[test]
fn retry_counts_from_its_sending_not_from_its_decision() {
    let service = ids::ServiceId::new("llm");
    let bounds = budget::BudgetBounds {
        extra: 1.6,
        ratio: 0.0,
        ..bounds()
    };
    let mut daemon = budget::DaemonBudget::new(bounds, -WINDOW_MS);
    daemon.set_daemons(0.0, 1);
    assert!(daemon.try_reserve(0.0, &service));
    daemon.record_retry(9_000.0, &service);
    assert!(!daemon.try_reserve(18_000.0, &service));
    assert!(daemon.try_reserve(19_001.0, &service));
}
