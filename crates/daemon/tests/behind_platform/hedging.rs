//! Second attempts beside slow ones.

use std::io::Write;
use std::net;
use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::KEY;
use crate::support::RunningDaemon;
use crate::support::WAIT_TIMEOUT;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;

/// Time after its client has left for which a request may still run; set by the users' rules.
const MAX_ORPHAN_TIME: Duration = Duration::from_millis(500);
/// Time after which another endpoint is tried without hedges, at the least.
const MIN_TIMEOUT: Duration = Duration::from_millis(900);
/// Requests that endpoints serve before one of them becomes slow.
const SERVED_BEFORE: usize = 30;
const REPEATABLE: [&str; 2] = ["GET /safe/", "POST /stream/"];

/// Starts a daemon with a limit for hedges and two endpoints, the first of which gets all requests
/// that come alone. Both have served some requests when the scripts take effect.
async fn deployment(
    max_extra_share: &str,
    scripts: [EndpointScript; 2],
) -> (FakeObjectStore, Vec<FakeEndpoint>, RunningDaemon) {
    let store = FakeObjectStore::start().await;
    let routes = support::default_routes();
    store.put("config", "main", support::config(1, &routes));
    let endpoints = support::start_endpoints(&store, &[EndpointScript::Respond; 2]).await;
    let hedging = format!("hedging: {{ max_extra_share: {max_extra_share} }}\n");
    let daemon = RunningDaemon::start_with_settings(&store, "h1", &hedging);
    daemon.wait_ready();
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "probe").status == 200
    });
    for number in 0..SERVED_BEFORE {
        let response = daemon.call("GET /safe/ HTTP/1.1", &format!("before{number}"));
        assert_eq!(response.status, 200);
    }
    for (endpoint, script) in endpoints.iter().zip(scripts) {
        endpoint.set_script(script);
    }
    (store, endpoints, daemon)
}

fn request_counts(endpoints: &[FakeEndpoint], id: &str) -> Vec<usize> {
    let count = |endpoint: &FakeEndpoint| {
        let requests = endpoint.requests().into_iter();
        let own = requests.filter(|request| request.headers["x-attempt-id"] == id);
        own.count()
    };
    endpoints.iter().map(count).collect()
}

fn wait_abandoned(endpoint: &FakeEndpoint, count: usize, since: Instant) {
    RunningDaemon::wait_for("the end of the run", || endpoint.abandoned_count() >= count);
    assert!(since.elapsed() < MAX_ORPHAN_TIME, "{:?}", since.elapsed());
}

fn call_with_deadline(
    daemon: &RunningDaemon,
    line: &str,
    id: &str,
    deadline_ms: u64,
) -> support::ReceivedResponse {
    let key = format!("Authorization: Bearer {KEY}");
    let (id, deadline) = (
        format!("X-Attempt-Id: {id}"),
        format!("X-Deadline-Ms: {deadline_ms}"),
    );
    let line = format!("{line} HTTP/1.1");
    support::send_request(daemon.clients, &line, &[&key, &id, &deadline])
}

#[tokio::test(flavor = "multi_thread")]
async fn second_endpoint_responds_beside_a_slow_one_whose_run_ends() {
    for line in REPEATABLE {
        let second = match line {
            "POST /stream/" => EndpointScript::Stream { last: 3 },
            _ => EndpointScript::Respond,
        };
        let (_store, endpoints, daemon) = deployment("0.5", [EndpointScript::Stall, second]).await;
        let started_at = Instant::now();
        let response = daemon.call(&format!("{line} HTTP/1.1"), "r1");
        let ended_at = Instant::now();
        assert_eq!(response.status, 200, "{line}");
        assert!(response.is_complete, "{line}: {response:?}");
        assert!(response.head.contains("x-runner-signature: sig-e1"));
        assert!(ended_at - started_at < MIN_TIMEOUT, "{line}");
        wait_abandoned(&endpoints[0], 1, ended_at);
        assert_eq!(request_counts(&endpoints, "r1"), [1, 1], "{line}");
        let metrics = support::send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
        assert!(metrics.body.contains("hedges_total{outcome=\"won\""));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_fails_once_if_both_attempts_stay_silent() {
    let (_store, endpoints, daemon) = deployment("0.5", [EndpointScript::Stall; 2]).await;
    let response = call_with_deadline(&daemon, "GET /safe/", "r1", 1_500);
    let ended_at = Instant::now();
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(request_counts(&endpoints, "r1"), [1, 1]);
    for endpoint in &endpoints {
        wait_abandoned(endpoint, 1, ended_at);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_attempt_goes_on_if_the_second_one_fails() {
    for failure in [
        EndpointScript::Close,
        EndpointScript::Fail,
        EndpointScript::Refuse,
        EndpointScript::WrongAttempt,
    ] {
        let (_store, endpoints, daemon) = deployment("0.5", [EndpointScript::Stall, failure]).await;
        let started_at = Instant::now();
        let response = call_with_deadline(&daemon, "GET /safe/", "r1", 1_000);
        // The first one runs until the time is over.
        assert!(
            started_at.elapsed() >= Duration::from_secs(1),
            "{failure:?}"
        );
        assert!(response.status >= 500, "{failure:?}: {response:?}");
        assert_ne!(response.status, 503, "{failure:?}");
        assert_eq!(request_counts(&endpoints, "r1")[0], 1, "{failure:?}");
        wait_abandoned(&endpoints[0], 1, Instant::now());
        let log = daemon.log();
        assert!(log.contains("hedged attempt failed"), "{failure:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_run_once_is_never_doubled() {
    let scripts = [EndpointScript::Stall, EndpointScript::Respond];
    let (_store, endpoints, daemon) = deployment("0.5", scripts).await;
    for number in 0..5 {
        let id = format!("r{number}");
        call_with_deadline(&daemon, "POST /once/", &id, 700);
        let counts = request_counts(&endpoints, &id);
        assert_eq!(counts.iter().sum::<usize>(), 1, "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_hedged_at_a_limit_of_zero() {
    let scripts = [EndpointScript::Stall, EndpointScript::Respond];
    let (_store, endpoints, daemon) = deployment("0.0", scripts).await;
    for (number, line) in REPEATABLE.into_iter().enumerate() {
        let id = format!("r{number}");
        call_with_deadline(&daemon, line, &id, 2_500);
        let arrivals: Vec<Instant> = endpoints
            .iter()
            .flat_map(FakeEndpoint::requests)
            .filter(|request| request.headers["x-attempt-id"] == id)
            .map(|request| request.at)
            .collect();
        // Only the timeout brings about another attempt.
        let [first, second] = arrivals[..] else {
            panic!("{line}: {arrivals:?}");
        };
        assert!(second - first >= MIN_TIMEOUT, "{line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn both_runs_end_when_the_client_leaves() {
    for line in REPEATABLE {
        let (_store, endpoints, daemon) = deployment("0.5", [EndpointScript::Stall; 2]).await;
        let mut stream = net::TcpStream::connect(daemon.clients).unwrap();
        let head = format!(
            "{line} HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
             X-Attempt-Id: r1\r\nX-Deadline-Ms: 8000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        RunningDaemon::wait_for("both attempts", || {
            request_counts(&endpoints, "r1") == [1, 1]
        });
        drop(stream);
        let left_at = Instant::now();
        for endpoint in &endpoints {
            wait_abandoned(endpoint, 1, left_at);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_answered_if_the_daemon_is_asked_to_exit_between_the_attempts() {
    let scripts = [EndpointScript::Stall, EndpointScript::Respond];
    let (_store, endpoints, mut daemon) = deployment("0.5", scripts).await;
    let clients = daemon.clients;
    let open_request = std::thread::spawn(move || {
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [key.as_str(), "X-Attempt-Id: r1", "X-Deadline-Ms: 5000"];
        support::send_request(clients, "GET /safe/ HTTP/1.1", &headers)
    });
    RunningDaemon::wait_for("the first attempt", || {
        request_counts(&endpoints, "r1")[0] == 1
    });
    daemon.process.terminate();
    let response = open_request.join().unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(request_counts(&endpoints, "r1"), [1, 1]);
    assert!(daemon.process.wait(WAIT_TIMEOUT).await.unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_answered_if_its_placer_ends_between_the_attempts() {
    let scripts = [EndpointScript::Stall, EndpointScript::Respond];
    let (store, endpoints, mut first) = deployment("0.5", scripts).await;
    let hedging = "hedging: { max_extra_share: 0.5 }\n";
    let second = RunningDaemon::start_with_settings(&store, "h2", hedging);
    second.wait_ready();
    RunningDaemon::wait_for_followers(&[&first, &second], 1);
    for endpoint in &endpoints {
        endpoint.set_script(EndpointScript::Respond);
    }
    for number in 0..SERVED_BEFORE {
        second.call("GET /safe/ HTTP/1.1", &format!("second{number}"));
    }
    endpoints[0].set_script(EndpointScript::Stall);
    let clients = second.clients;
    let open_request = std::thread::spawn(move || {
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [key.as_str(), "X-Attempt-Id: r1", "X-Deadline-Ms: 5000"];
        support::send_request(clients, "GET /safe/ HTTP/1.1", &headers)
    });
    RunningDaemon::wait_for("the first attempt", || {
        request_counts(&endpoints, "r1")[0] == 1
    });
    first.process.kill();
    let response = open_request.join().unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(
        request_counts(&endpoints, "r1").iter().sum::<usize>() <= 2,
        "at most the attempts that the route allows"
    );
}
