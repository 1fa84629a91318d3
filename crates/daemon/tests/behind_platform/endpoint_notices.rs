//! What endpoints state about requests that follow: that they are leaving, or want none for a time.

use std::time::Duration;
use std::time::Instant;

use crate::support;
use crate::support::RunningDaemon;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;

/// Time in which a daemon tells the others of a leaving endpoint.
const SPREAD_TIME: Duration = Duration::from_millis(500);

fn request_counts(endpoints: &[FakeEndpoint]) -> Vec<usize> {
    let counts = endpoints.iter().map(|endpoint| endpoint.requests().len());
    counts.collect()
}

fn retry_after(response: &support::ReceivedResponse) -> f64 {
    let (_, rest) = response.head.split_once("retry-after: ").unwrap();
    let value = rest.split_whitespace().next().unwrap();
    value.parse().unwrap()
}

/// Sends requests until the endpoint gets one.
fn reach(daemon: &RunningDaemon, endpoint: &FakeEndpoint, line: &str) {
    RunningDaemon::wait_for("a request at the endpoint", || {
        daemon.call(line, "reach");
        !endpoint.requests().is_empty()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_states_that_it_is_leaving_gets_no_more_requests() {
    for script in [EndpointScript::Respond, EndpointScript::Fail] {
        let scripts = [script, EndpointScript::Respond];
        let (_store, endpoints, daemon) = support::deployment(&scripts).await;
        endpoints[0].set_leaving(true);
        reach(&daemon, &endpoints[0], "GET /safe/ HTTP/1.1");
        let before = request_counts(&endpoints);
        for number in 0..20 {
            let response = daemon.call("GET /safe/ HTTP/1.1", &format!("r{number}"));
            assert_eq!(response.status, 200, "{script:?}");
        }
        let after = request_counts(&endpoints);
        assert_eq!(after, [before[0], before[1] + 20], "{script:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_endpoint_that_is_leaving_goes_on_and_is_not_resumed_there() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 600,
        last: 3,
    };
    let (_store, endpoints, daemon) = support::deployment(&[script]).await;
    endpoints[0].set_leaving(true);
    let response = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body.matches("data: ").count(), 3);
    let started_at = Instant::now();
    let response = daemon.call("POST /stream/ HTTP/1.1", "r2");
    assert_eq!(response.status, 503, "{response:?}");
    // It is known at once that no endpoint can serve it.
    assert!(started_at.elapsed() < Duration::from_secs(1));
    assert_eq!(request_counts(&endpoints), [1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_of_a_leaving_endpoint_resumes_elsewhere_only() {
    let scripts = [
        EndpointScript::Truncate { after: 2 },
        EndpointScript::Stream { last: 4 },
    ];
    let (_store, endpoints, daemon) = support::deployment(&scripts).await;
    endpoints[0].set_leaving(true);
    reach(&daemon, &endpoints[0], "POST /stream/ HTTP/1.1");
    let before = request_counts(&endpoints);
    let response = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(request_counts(&endpoints), [before[0], before[1] + 1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_daemons_learn_that_an_endpoint_is_leaving() {
    let scripts = [EndpointScript::Respond, EndpointScript::Respond];
    let (store, endpoints, first) = support::deployment(&scripts).await;
    let others = ["h2", "h3"].map(|host| RunningDaemon::start(&store, host));
    for daemon in &others {
        daemon.wait_ready();
    }
    RunningDaemon::wait_for_followers(&[&first, &others[0], &others[1]], 2);
    endpoints[0].set_leaving(true);
    reach(&first, &endpoints[0], "GET /safe/ HTTP/1.1");
    std::thread::sleep(SPREAD_TIME);
    let before = request_counts(&endpoints);
    for daemon in &others {
        for number in 0..10 {
            let response = daemon.call("GET /safe/ HTTP/1.1", &format!("r{number}"));
            assert_eq!(response.status, 200);
        }
    }
    assert_eq!(request_counts(&endpoints), [before[0], before[1] + 20]);
}

#[tokio::test(flavor = "multi_thread")]
async fn next_incarnation_of_an_endpoint_that_left_gets_requests() {
    let (store, endpoints, daemon) = support::deployment(&[EndpointScript::Respond]).await;
    endpoints[0].set_leaving(true);
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r2").status, 503);
    endpoints[0].set_leaving(false);
    // Another entry of the same incarnation opens it no more.
    let mut entry = endpoints[0].entry("s", "ready");
    entry["sequence"] = 2.into();
    store.put("servers", "e0", entry.clone());
    std::thread::sleep(SPREAD_TIME);
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r3").status, 503);
    entry["born"] = 1_700_000_000_000_u64.into();
    store.put("servers", "e0", entry);
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "r4").status == 200
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_wants_no_requests_for_a_time_gets_none() {
    let scripts = [
        EndpointScript::RefuseFor { seconds: "2.5" },
        EndpointScript::Respond,
    ];
    let (_store, endpoints, daemon) = support::deployment(&scripts).await;
    reach(&daemon, &endpoints[0], "GET /safe/ HTTP/1.1");
    let refused_at = Instant::now();
    let before = request_counts(&endpoints);
    let mut sent = 0;
    while refused_at.elapsed() < Duration::from_secs(2) {
        sent += 1;
        let response = daemon.call("POST /once/ HTTP/1.1", &format!("r{sent}"));
        assert_eq!(response.status, 200);
    }
    assert_eq!(request_counts(&endpoints), [before[0], before[1] + sent]);
    // Afterwards it gets requests again.
    endpoints[0].set_script(EndpointScript::Respond);
    RunningDaemon::wait_for("a request at the endpoint", || {
        daemon.call("GET /safe/ HTTP/1.1", "again");
        endpoints[0].requests().len() > before[0]
    });
    assert!(refused_at.elapsed() >= Duration::from_millis(2_450));
}

#[tokio::test(flavor = "multi_thread")]
async fn client_is_told_when_the_first_endpoint_wants_requests_again() {
    let scripts = [
        EndpointScript::RefuseFor { seconds: "30" },
        EndpointScript::RefuseFor { seconds: "3" },
    ];
    let (_store, endpoints, daemon) = support::deployment(&scripts).await;
    let response = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(request_counts(&endpoints), [1, 1]);
    let started_at = Instant::now();
    let response = daemon.call("POST /once/ HTTP/1.1", "r2");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(started_at.elapsed() < Duration::from_millis(500));
    let seconds = retry_after(&response);
    assert!((2.0..=3.0).contains(&seconds), "{seconds}");
    assert_eq!(request_counts(&endpoints), [1, 1]);
    endpoints[1].set_script(EndpointScript::Respond);
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let response = daemon.call("POST /once/ HTTP/1.1", "r3");
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn time_that_cannot_be_read_counts_as_none() {
    for seconds in ["soon", "-3", "NaN", "0"] {
        let script = EndpointScript::RefuseFor { seconds };
        let (_store, endpoints, daemon) = support::deployment(&[script]).await;
        daemon.call("POST /once/ HTTP/1.1", "r1");
        endpoints[0].set_script(EndpointScript::Respond);
        // Only the short wait after any refusal applies.
        std::thread::sleep(Duration::from_millis(100));
        let response = daemon.call("POST /once/ HTTP/1.1", "r2");
        assert_eq!(response.status, 200, "{seconds}");
    }
}
