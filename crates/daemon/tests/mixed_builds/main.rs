//! Daemons of this build and of an earlier one in one deployment, as while hosts are replaced one
//! after the other. The earlier build is made from the repository's history.

mod earlier_build;
mod power_loss;
#[path = "../behind_platform/support.rs"]
#[allow(dead_code, reason = "each test program uses a different part")]
mod support;

use std::collections;
use std::sync::atomic;
use std::thread;
use std::time::Duration;

use earlier_build::DaemonBuild;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;
use support::KEY;
use support::ReceivedResponse;
use support::RunningDaemon;
use support::StopGuard;

/// Most attempts of a request on the routes of the tests.
const MAX_ATTEMPTS: usize = 2;
/// Interval between two requests of the load.
const LOAD_PERIOD: Duration = Duration::from_millis(15);

/// Starts a store with the default routes and endpoints.
async fn platform(scripts: &[EndpointScript]) -> (FakeObjectStore, Vec<FakeEndpoint>) {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    let endpoints = support::start_endpoints(&store, scripts).await;
    (store, endpoints)
}

/// Starts a placer on a large host and a follower of the other build on a small one.
fn placer_and_follower(
    store: &FakeObjectStore,
    placer_build: DaemonBuild,
) -> (RunningDaemon, RunningDaemon) {
    let start = |host, cpu_share, build: DaemonBuild| {
        let address = store.address();
        let daemon = RunningDaemon::spawn_with(address, host, cpu_share, build.program());
        daemon.wait_ready();
        daemon
    };
    let placer = start("large", 1.0, placer_build);
    let follower = start("small", 0.25, placer_build.other());
    let selected = r#""placer":"large""#;
    RunningDaemon::wait_for("the placer", || {
        let log = follower.log();
        let last = log.lines().rfind(|line| line.contains("placer selected"));
        last.is_some_and(|line| line.contains(selected))
    });
    (placer, follower)
}

/// Checks that a daemon has had its requests placed by its placer since it selected it.
fn check_placed_remotely(follower: &RunningDaemon) {
    let log = follower.log();
    for event in ["placing locally", "connection to the placer lost"] {
        assert!(!log.contains(event), "{event}: {log}");
    }
}

/// Returns how often the endpoints received each request, by its id.
fn arrivals(endpoints: &[FakeEndpoint]) -> collections::BTreeMap<String, usize> {
    let mut arrivals = collections::BTreeMap::new();
    for received in endpoints.iter().flat_map(FakeEndpoint::requests) {
        let id = received.headers["x-attempt-id"].clone();
        *arrivals.entry(id).or_default() += 1;
    }
    arrivals
}

fn retry_after_s(response: &ReceivedResponse) -> Option<f64> {
    let line = response
        .head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.and_then(|value| value.trim().parse().ok())
}

fn call_at_once(daemon: &RunningDaemon, line: &str, count: usize) -> Vec<ReceivedResponse> {
    let call = |number| move || daemon.call(line, &format!("at-once-{number}"));
    thread::scope(|scope| {
        let calls: Vec<_> = (0..count).map(|number| scope.spawn(call(number))).collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

async fn check_service(placer_build: DaemonBuild) {
    let (store, endpoints) = platform(&[EndpointScript::Respond; 2]).await;
    let (_placer, follower) = placer_and_follower(&store, placer_build);
    for number in 0..10 {
        for (line, name) in [("GET /safe/", "safe"), ("POST /once/", "once")] {
            let response = follower.call(&format!("{line} HTTP/1.1"), &format!("{name}-{number}"));
            assert_eq!((response.status, response.body.as_str()), (200, "answer"));
        }
        // With what follows a placement request: parts of the prompt, digest and customer.
        let key = format!("Authorization: Bearer {KEY}");
        let id = format!("X-Attempt-Id: prompt-{number}");
        let headers = [
            &id,
            &key,
            "X-Token-Usage: 400,80",
            "X-Prefix-Hash: 5c1e07a2:40,0b:300",
        ];
        let response = support::send_request(follower.clients, "GET /safe/ HTTP/1.1", &headers);
        assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    }
    let arrivals = arrivals(&endpoints);
    assert_eq!(arrivals.len(), 30);
    assert!(arrivals.values().all(|count| *count == 1), "{arrivals:?}");
    check_placed_remotely(&follower);
}

async fn check_retries(placer_build: DaemonBuild) {
    let (store, endpoints) = platform(&[EndpointScript::Close; 3]).await;
    let (_placer, follower) = placer_and_follower(&store, placer_build);
    for number in 0..6 {
        let response = follower.call("GET /safe/ HTTP/1.1", &format!("safe-{number}"));
        assert!([502, 503].contains(&response.status), "{response:?}");
        let response = follower.call("POST /once/ HTTP/1.1", &format!("once-{number}"));
        assert!([502, 503].contains(&response.status), "{response:?}");
    }
    let arrivals = arrivals(&endpoints);
    assert!(!arrivals.is_empty());
    for (id, count) in arrivals {
        let most = if id.starts_with("once") {
            1
        } else {
            MAX_ATTEMPTS
        };
        assert!(count <= most, "{id}: {count}");
    }
    check_placed_remotely(&follower);
}

async fn check_refusals(placer_build: DaemonBuild) {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 1_400,
        last: 2,
    };
    let (store, endpoints) = platform(&[script]).await;
    let mut entry = endpoints[0].entry("s", "ready");
    entry["slots"] = 1.into();
    store.put("servers", "e0", entry);
    let (_placer, follower) = placer_and_follower(&store, placer_build);
    thread::sleep(Duration::from_secs(1));
    // More than one slot serves in time: the placer declines some of them.
    let responses = call_at_once(&follower, "POST /stream/ HTTP/1.1", 12);
    let declined = responses.iter().filter(|response| response.status == 503);
    let declined: Vec<_> = declined.collect();
    assert!(responses.iter().any(|response| response.status == 200));
    assert!(!declined.is_empty(), "{responses:?}");
    assert!(follower.log().contains("request declined"));
    for response in declined {
        let delay = retry_after_s(response);
        assert!(delay.is_some_and(|delay| delay > 0.0), "{response:?}");
    }
    let arrivals = arrivals(&endpoints);
    assert!(arrivals.values().all(|count| *count == 1), "{arrivals:?}");
    // Without an endpoint the placer declines all at once.
    store.put("servers", "e0", endpoints[0].entry("s", "draining"));
    RunningDaemon::wait_for("the refusal", || {
        let response = follower.call("GET /safe/ HTTP/1.1", "gone");
        response.status == 503 && retry_after_s(&response).is_some_and(|delay| delay > 0.0)
    });
    check_placed_remotely(&follower);
}

#[tokio::test(flavor = "multi_thread")]
async fn earlier_build_places_the_requests_of_this_one() {
    check_service(DaemonBuild::Earlier).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn this_build_places_the_requests_of_the_earlier_one() {
    check_service(DaemonBuild::Current).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_are_bounded_with_the_earlier_build_as_the_placer() {
    check_retries(DaemonBuild::Earlier).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_are_bounded_with_this_build_as_the_placer_of_the_earlier_one() {
    check_retries(DaemonBuild::Current).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_the_earlier_build_name_a_retry_delay_to_clients_of_this_one() {
    check_refusals(DaemonBuild::Earlier).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_this_build_name_a_retry_delay_to_clients_of_the_earlier_one() {
    check_refusals(DaemonBuild::Current).await;
}

/// A request of the load, by its id, and its response.
type LoadRecord = (String, ReceivedResponse);

/// Sends requests to those of the hosts that are ready, until `stopped` is set.
fn send_load(
    hosts: &[(std::net::SocketAddr, std::net::SocketAddr)],
    stopped: &atomic::AtomicBool,
) -> Vec<LoadRecord> {
    let key = format!("Authorization: Bearer {KEY}");
    let mut records = Vec::new();
    for number in 0.. {
        if stopped.load(atomic::Ordering::Relaxed) {
            break;
        }
        thread::sleep(LOAD_PERIOD);
        let (clients, readiness) = hosts[number % hosts.len()];
        if support::send_request(readiness, "GET /-/readyz HTTP/1.1", &[]).status != 200 {
            continue;
        }
        let (line, name) = match number % 2 {
            0 => ("GET /safe/ HTTP/1.1", "safe"),
            _ => ("POST /once/ HTTP/1.1", "once"),
        };
        let id = format!("{name}-{number}");
        let headers = [&format!("X-Attempt-Id: {id}"), &key, "X-Deadline-Ms: 8000"];
        records.push((id, support::send_request(clients, line, &headers)));
    }
    records
}

/// Replaces the build of each host in turn, each once the one before is ready.
fn roll(daemons: &mut [RunningDaemon], build: DaemonBuild) {
    for daemon in daemons {
        daemon.process.terminate();
        RunningDaemon::wait_for("the end of a daemon", || daemon.process.has_ended());
        daemon.start_again(build.program());
        daemon.wait_ready();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_are_replaced_by_this_build_and_back_under_load() {
    let (store, endpoints) = platform(&[EndpointScript::Respond; 3]).await;
    let mut daemons: Vec<_> = [("h1", 1.0), ("h2", 0.5), ("h3", 0.5)]
        .map(|(host, cpu_share)| {
            let program = DaemonBuild::Earlier.program();
            RunningDaemon::spawn_with(store.address(), host, cpu_share, program)
        })
        .into();
    for daemon in &daemons {
        daemon.wait_ready();
    }
    let hosts: Vec<_> = daemons
        .iter()
        .map(|daemon| (daemon.clients, daemon.readiness))
        .collect();
    let stopped = atomic::AtomicBool::new(false);
    let records = thread::scope(|scope| {
        let guard = StopGuard(&stopped);
        let load = scope.spawn(|| send_load(&hosts, &stopped));
        roll(&mut daemons, DaemonBuild::Current);
        roll(&mut daemons, DaemonBuild::Earlier);
        drop(guard);
        load.join().unwrap()
    });
    let arrivals = arrivals(&endpoints);
    assert!(records.len() > 200, "{}", records.len());
    for (id, response) in &records {
        let count = arrivals.get(id).copied().unwrap_or_default();
        assert_eq!(response.status, 200, "{id}: {response:?}");
        let most = if id.starts_with("once") {
            1
        } else {
            MAX_ATTEMPTS
        };
        assert!((1..=most).contains(&count), "{id}: {count}");
    }
}
