//! All hosts lose power at once and start again: what this build needs, against the earlier one.

use std::net;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::support;
use crate::earlier_build::DaemonBuild;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::store::FakeObjectStore;
use support::RunningDaemon;

/// Hosts of the deployment.
const HOSTS: usize = 6;
/// Power losses of each build; the median counts.
const LOSSES: usize = 3;
/// Time after the start in which all daemons have what they need and follow a placer.
const START_TIME: Duration = Duration::from_secs(3);

/// What a start of all hosts needed.
#[derive(Clone, Copy, Debug)]
struct StartCost {
    /// Time from the first daemon that listens to the first response, s.
    first_response_s: f64,
    /// Calls to the store.
    calls: u64,
}

/// Waits until one of the hosts listens, and returns the time from then to its first response.
fn time_to_first_response(daemons: &[RunningDaemon]) -> Duration {
    let mut listening = None;
    let deadline = Instant::now() + support::WAIT_TIMEOUT;
    loop {
        assert!(Instant::now() < deadline, "no response");
        for daemon in daemons {
            if listening.is_none() && net::TcpStream::connect(daemon.clients).is_ok() {
                listening = Some(Instant::now());
            }
            if let Some(since) = listening
                && daemon.call("GET /safe/ HTTP/1.1", "first").status == 200
            {
                return since.elapsed();
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
}

fn lose_power(
    store: &FakeObjectStore,
    daemons: &mut [RunningDaemon],
    build: DaemonBuild,
) -> StartCost {
    for daemon in &mut *daemons {
        daemon.process.kill();
    }
    thread::sleep(Duration::from_millis(500));
    let calls = store.calls();
    let started_at = Instant::now();
    for daemon in &mut *daemons {
        daemon.start_again(build.program());
    }
    let first_response_s = time_to_first_response(daemons).as_secs_f64();
    for daemon in &*daemons {
        daemon.wait_ready();
    }
    thread::sleep(START_TIME.saturating_sub(started_at.elapsed()));
    StartCost {
        first_response_s,
        calls: store.calls() - calls,
    }
}

/// Returns the median costs of several power losses.
async fn start_cost(build: DaemonBuild) -> StartCost {
    let (store, _endpoints) = super::platform(&[EndpointScript::Respond; 3]).await;
    let mut daemons: Vec<_> = (0..HOSTS)
        .map(|index| {
            let host = format!("h{index}");
            RunningDaemon::spawn_with(store.address(), &host, 0.5, build.program())
        })
        .collect();
    for daemon in &daemons {
        daemon.wait_ready();
    }
    let costs = (0..LOSSES).map(|_| lose_power(&store, &mut daemons, build));
    let costs: Vec<StartCost> = costs.collect();
    let mut times: Vec<f64> = costs.iter().map(|cost| cost.first_response_s).collect();
    times.sort_by(f64::total_cmp);
    let mut calls: Vec<u64> = costs.iter().map(|cost| cost.calls).collect();
    calls.sort_unstable();
    StartCost {
        first_response_s: times[LOSSES / 2],
        calls: calls[LOSSES / 2],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_to_the_store_after_a_power_loss_are_half_of_the_earlier_builds() {
    let earlier = start_cost(DaemonBuild::Earlier).await;
    let current = start_cost(DaemonBuild::Current).await;
    println!("earlier {earlier:?}, current {current:?}");
    assert!(2 * current.calls <= earlier.calls);
}

#[tokio::test(flavor = "multi_thread")]
async fn first_response_after_a_power_loss_comes_in_half_of_the_earlier_builds_time() {
    let earlier = start_cost(DaemonBuild::Earlier).await;
    let current = start_cost(DaemonBuild::Current).await;
    println!("earlier {earlier:?}, current {current:?}");
    assert!(2.0 * current.first_response_s <= earlier.first_response_s);
}
