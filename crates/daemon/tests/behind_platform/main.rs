//! Runs the daemon as a real process with fakes of the users' platform.

mod broken_heads;
mod crashing_parts;
mod crashing_requests;
mod cut_off;
mod endpoint_notices;
mod hedging;
mod odd_entries;
mod outdated_lists;
mod placer_selection;
mod rate_limits;
mod raw_responses;
mod reservations;
mod retry_budget;
mod settings_template;
mod shutdown;
mod store_connections;
mod store_return;
mod support;
mod unsound_responses;

use std::io::Read;
use std::io::Write;
use std::net;
use std::time::Duration;

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;
use platform_fakes::store::StoreMode;
use serde_json::json;
use support::KEY;
use support::RunningDaemon;
use support::WAIT_TIMEOUT;
use support::config;
use support::default_routes;
use support::deployment;
use support::deployment_with;
use support::route;
use support::send_request;
use support::start_endpoints;

fn event_stream(last: u64) -> String {
    (1..=last)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn request_count(endpoints: &[FakeEndpoint]) -> usize {
    endpoints
        .iter()
        .map(|endpoint| endpoint.requests().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_forwarded_with_the_platform_headers() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    let response = daemon.call("GET /safe/a?b=c HTTP/1.1", "r1");
    assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    assert!(response.head.contains("x-runner-signature: sig-e0"));
    let received = endpoints[0].requests().remove(0);
    assert_eq!(received.request_line, "GET /safe/a?b=c");
    assert_eq!(received.headers["x-attempt-id"], "r1");
    assert_eq!(received.headers["x-tenant"], "customer-1");
    assert_eq!(received.headers["x-expect-instance"], "e0");
    assert!(!received.headers.contains_key("authorization"));
    let remaining_ms: u64 = received.headers["x-deadline-ms"].parse().unwrap();
    assert!(remaining_ms <= 8_000, "{remaining_ms}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_names_the_shared_parts_of_a_placed_prompt() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    let key = format!("Authorization: Bearer {KEY}");
    let parts = "X-Prefix-Hash: 5c1e07a2:40,0b:300,77:60";
    let headers = ["X-Attempt-Id: r1", &key, "X-Token-Usage: 400,80", parts];
    let response = send_request(daemon.clients, "GET /safe/ HTTP/1.1", &headers);
    assert_eq!(response.status, 200);
    RunningDaemon::wait_for("the log line", || {
        daemon.log().contains("\"parts\":\"5c1e07a2,0000000b\"")
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn log_tells_whether_two_requests_are_the_same() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    let lines = ["GET /safe/a", "GET /safe/a", "GET /safe/b", "POST /safe/a"];
    for (number, line) in lines.iter().enumerate() {
        let response = daemon.call(&format!("{line} HTTP/1.1"), &format!("r{number}"));
        assert_eq!(response.status, 200);
    }
    let digests = || -> Vec<String> {
        let log = daemon.log();
        let placed = log.lines().filter(|line| line.contains("request placed"));
        let digests = placed.filter_map(|line| line.split("\"digest\":\"").nth(1));
        digests.map(|rest| rest[..16].to_owned()).collect()
    };
    RunningDaemon::wait_for("the log lines", || digests().len() == lines.len());
    let digests = digests();
    assert_eq!(digests[0], digests[1]);
    assert_ne!(digests[0], digests[2]);
    assert_ne!(digests[0], digests[3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_its_endpoint_on_a_reused_connection_is_not_said_to_be_not_run() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
    endpoints[0].set_script(EndpointScript::Crash { down_ms: 3_000 });
    let response = daemon.call("GET /safe/ HTTP/1.1", "r2");
    assert_eq!(endpoints[0].requests().len(), 2);
    assert_eq!(response.status, 502, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_keys_are_refused() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    assert_eq!(daemon.call("GET /other/ HTTP/1.1", "r1").status, 404);
    let bad_key = ["X-Attempt-Id: r2", "Authorization: Bearer other"];
    assert_eq!(
        send_request(daemon.clients, "GET /safe/ HTTP/1.1", &bad_key).status,
        401
    );
    assert_eq!(request_count(&endpoints), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_is_sent_once() {
    let scripts = [EndpointScript::Close, EndpointScript::Close];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    let response = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(request_count(&endpoints), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_by_all_endpoints_is_reported_as_not_run() {
    let scripts = [EndpointScript::Refuse, EndpointScript::Refuse];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    let response = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after: "));
    assert!(request_count(&endpoints) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_on_another_endpoint() {
    let scripts = [EndpointScript::Close, EndpointScript::Close];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    endpoints[1].set_script(EndpointScript::Respond);
    for number in 0..4 {
        let response = daemon.call("GET /safe/ HTTP/1.1", &format!("r{number}"));
        assert_eq!((response.status, response.body.as_str()), (200, "answer"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_error_is_forwarded_unchanged() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Fail]).await;
    let response = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!((response.status, response.body.as_str()), (500, "failed"));
    assert!(response.head.contains("x-runner-signature: sig-e0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn response_to_another_request_is_not_delivered() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::WrongAttempt]).await;
    let response = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(response.status, 502, "{response:?}");
    assert!(!response.body.contains("other"));
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_resumes_on_another_endpoint_after_its_last_complete_event() {
    let scripts = [
        EndpointScript::Truncate { after: 3 },
        EndpointScript::Truncate { after: 3 },
    ];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    let request_task = tokio::task::spawn_blocking(move || {
        let response = daemon.call("POST /stream/ HTTP/1.1", "r1");
        (daemon, response)
    });
    RunningDaemon::wait_for("the first request", || request_count(&endpoints) == 1);
    for endpoint in endpoints
        .iter()
        .filter(|endpoint| endpoint.requests().is_empty())
    {
        endpoint.set_script(EndpointScript::Stream { last: 6 });
    }
    let (_daemon, response) = request_task.await.unwrap();
    assert_eq!(response.status, 200);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, event_stream(6));
    let resumed = endpoints.iter().flat_map(FakeEndpoint::requests);
    let resumed: Vec<_> = resumed
        .filter(|received| received.headers.contains_key("last-event-id"))
        .collect();
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].headers["last-event-id"], "3");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_without_another_endpoint_is_not_ended_as_complete() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Truncate { after: 3 }]).await;
    let response = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert_eq!(response.body, event_stream(3));
    assert!(!response.is_complete, "{response:?}");
}

// Guards against cutting a stream that stalls for 1.5 s when no other endpoint can continue it: the
// client then lost the rest of the response.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream_is_kept_if_no_other_endpoint_can_continue_it() {
    let script = EndpointScript::Pause {
        after: 2,
        pause_ms: 2_500,
        last: 4,
    };
    let (_store, _endpoints, daemon) = deployment(&[script]).await;
    let response = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert_eq!(response.body, event_stream(4));
    assert!(response.is_complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_and_unrelated_entries_do_not_hide_valid_ones() {
    let store = FakeObjectStore::start().await;
    store.put("servers", "broken", json!({"service": 7}));
    store.put("servers", "odd", json!("text"));
    store.put("evacuations", "elsewhere", json!({}));
    store.put("config", "main", config(1, &default_routes()));
    start_endpoints(&store, &[EndpointScript::Respond]).await;
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "r1").status == 200
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn new_configuration_takes_effect_and_an_invalid_or_older_one_does_not() {
    let (store, _endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    let mut routes = default_routes();
    routes.push(route("added", "safe", false));
    store.put("config", "main", config(4, &routes));
    RunningDaemon::wait_for("the new route", || {
        daemon.call("GET /added/ HTTP/1.1", "r1").status == 200
    });
    store.put("config", "main", json!({"version": "none"}));
    store.put("config", "main", config(3, &default_routes()));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(daemon.call("GET /added/ HTTP/1.1", "r2").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_is_listed_again_after_its_history_was_compacted() {
    let (store, _endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    store.set_mode(StoreMode::Busy);
    let mut routes = default_routes();
    routes.push(route("added", "safe", false));
    store.put("config", "main", config(4, &routes));
    store.compact();
    store.set_mode(StoreMode::Up);
    RunningDaemon::wait_for("the new route", || {
        daemon.call("GET /added/ HTTP/1.1", "r1").status == 200
    });
}

/// Settings with which entries may expire in the outages of these tests.
const SHORT_HEARTBEATS: &str = "bounds: { grace_s: 6, heartbeat_ms: 500 }\n";

#[tokio::test(flavor = "multi_thread")]
async fn removal_of_an_entry_that_expired_during_a_store_outage_is_deferred() {
    let (store, endpoints, daemon) =
        deployment_with(&[EndpointScript::Respond], SHORT_HEARTBEATS).await;
    store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "away").status, 200);
    store.remove("servers", "e0");
    store.set_mode(StoreMode::Up);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "lapsed").status, 200);
    // The entry does not come back, so the deferred removal is applied.
    RunningDaemon::wait_for("the refusal", || {
        daemon.call("GET /safe/ HTTP/1.1", "gone").status == 503
    });
    store.put("servers", "e0", endpoints[0].entry("s", "ready"));
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "back").status == 200
    });
}

// Guards against keeping an expired entry forever once a daemon that is shutting down has stopped
// watching the store.
#[tokio::test(flavor = "multi_thread")]
async fn deferred_removal_is_applied_also_during_shutdown() {
    let (store, _endpoints, daemon) =
        deployment_with(&[EndpointScript::Respond], SHORT_HEARTBEATS).await;
    store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    store.remove("servers", "e0");
    store.set_mode(StoreMode::Up);
    RunningDaemon::wait_for("the expiry", || daemon.log().contains("entry expired"));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "lapsed").status, 200);
    daemon.process.terminate();
    RunningDaemon::wait_for("the refusal", || {
        daemon.call("GET /safe/ HTTP/1.1", "gone").status == 503
    });
    let metrics = send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
    assert!(metrics.body.contains("reason=\"no_endpoint\""));
}

// Guards against removing endpoints at once after an outage that only the configuration's calls met.
#[tokio::test(flavor = "multi_thread")]
async fn removal_is_deferred_though_endpoints_were_not_watched_during_the_outage() {
    let (store, endpoints, daemon) =
        deployment_with(&[EndpointScript::Respond], SHORT_HEARTBEATS).await;
    std::thread::sleep(Duration::from_millis(700));
    // After a change the watch pauses, so its next call would fall into the outage.
    store.put("servers", "e1", endpoints[0].entry("s", "ready"));
    RunningDaemon::wait_for("the change", || {
        daemon.log().matches("endpoint listed").count() == 2
    });
    store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    store.remove("servers", "e0");
    store.remove("servers", "e1");
    store.set_mode(StoreMode::Up);
    RunningDaemon::wait_for("the removals", || {
        let log = daemon.log();
        log.matches("removal deferred").count() + log.matches("endpoint removed").count() >= 2
    });
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_endpoints_and_evacuated_data_centres_get_no_requests() {
    let (store, endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    store.put("servers", "e0", endpoints[0].entry("s", "draining"));
    RunningDaemon::wait_for("a refusal", || {
        daemon.call("GET /safe/ HTTP/1.1", "r1").status == 503
    });
    store.put("servers", "e0", endpoints[0].entry("s", "ready"));
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "r2").status == 200
    });
    store.put("evacuations", "a", json!({}));
    RunningDaemon::wait_for("a refusal", || {
        daemon.call("GET /safe/ HTTP/1.1", "r3").status == 503
    });
    store.remove("evacuations", "a");
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/ HTTP/1.1", "r4").status == 200
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_ends_readiness_at_once_and_interrupts_no_request() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 1_000,
        last: 3,
    };
    let (_store, endpoints, mut daemon) = deployment(&[script]).await;
    let clients = daemon.clients;
    let open_request = std::thread::spawn(move || {
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [key.as_str(), "X-Attempt-Id: r1", "X-Deadline-Ms: 8000"];
        send_request(clients, "POST /stream/ HTTP/1.1", &headers)
    });
    RunningDaemon::wait_for("the request", || request_count(&endpoints) == 1);
    daemon.process.terminate();
    RunningDaemon::wait_for("not ready", || {
        send_request(daemon.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 503
    });
    let response = open_request.join().unwrap();
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, event_stream(3));
    assert!(daemon.process.wait(WAIT_TIMEOUT).await.unwrap().success());
}

// Guards against exiting while requests still arrive: the process exited a moment after its last
// request had ended, and requests that arrived within that moment were lost.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_until_the_process_exits_are_answered() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 15,
        last: 2,
    };
    let (_store, endpoints, mut daemon) = deployment(&[script]).await;
    daemon.process.terminate();
    let mut responses = Vec::new();
    while !daemon.process.has_ended() {
        let response = daemon.call("POST /stream/ HTTP/1.1", &format!("r{}", responses.len()));
        responses.push(response);
        std::thread::sleep(Duration::from_millis(5));
    }
    let complete = responses
        .iter()
        .filter(|response| response.is_complete && response.status == 200);
    assert_eq!(complete.count(), request_count(&endpoints));
}

// Guards against closing connections that are accepted during the shutdown before their request is
// read.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_a_connection_opened_late_in_the_shutdown_gets_a_response() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 4_500,
        last: 2,
    };
    let (_store, endpoints, daemon) = deployment(&[script]).await;
    std::thread::scope(|scope| {
        let open_request = scope.spawn(|| daemon.call("POST /stream/ HTTP/1.1", "r1"));
        RunningDaemon::wait_for("the request", || request_count(&endpoints) == 1);
        endpoints[0].set_script(EndpointScript::Respond);
        daemon.process.terminate();
        std::thread::sleep(Duration::from_millis(3_300));
        let mut late = net::TcpStream::connect(daemon.clients).unwrap();
        std::thread::sleep(Duration::from_millis(200));
        let head = format!(
            "GET /safe/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
             X-Attempt-Id: r2\r\n\r\n"
        );
        late.write_all(head.as_bytes()).unwrap();
        let mut response = String::new();
        late.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 "), "{response}");
        assert!(response.contains("connection: close"), "{response}");
        assert!(open_request.join().unwrap().is_complete);
    });
}

// Guards against a refusal that tells nothing of the sending before it on a connection that broke.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_ran_before_its_repeat_was_refused_is_not_said_to_be_not_run() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
    endpoints[0].set_script(EndpointScript::CloseAfter {
        delay: Duration::from_millis(200),
    });
    let response = std::thread::scope(|scope| {
        let request = scope.spawn(|| daemon.call("GET /safe/ HTTP/1.1", "r2"));
        RunningDaemon::wait_for("the request", || request_count(&endpoints) == 2);
        endpoints[0].set_script(EndpointScript::Refuse);
        request.join().unwrap()
    });
    assert!(request_count(&endpoints) >= 3);
    assert_eq!(response.status, 502, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn client_disconnect_ends_its_request() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 60_000,
        last: 3,
    };
    let (_store, endpoints, daemon) = deployment(&[script]).await;
    let mut stream = net::TcpStream::connect(daemon.clients).unwrap();
    let head = format!(
        "POST /stream/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
         X-Attempt-Id: r1\r\nX-Deadline-Ms: 8000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    RunningDaemon::wait_for("the request", || request_count(&endpoints) == 1);
    drop(stream);
    RunningDaemon::wait_for("the disconnect in the metrics", || {
        let metrics = send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
        metrics.body.contains("reason=\"caller_gone\"")
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_a_configuration_is_not_ready_and_refuses_requests() {
    let store = FakeObjectStore::start().await;
    store.set_mode(StoreMode::Silent);
    let daemon = RunningDaemon::start(&store, "h1");
    RunningDaemon::wait_for("a response", || {
        send_request(daemon.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 503
    });
    let response = daemon.call("GET /safe/ HTTP/1.1", "r1");
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "));
}

// Guards against a retry delay of half a second during a longer store outage: clients that retry
// once were then refused a second time.
#[tokio::test(flavor = "multi_thread")]
async fn retry_delay_grows_during_a_store_outage() {
    let store = FakeObjectStore::start().await;
    store.set_mode(StoreMode::Busy);
    let daemon = RunningDaemon::start(&store, "h1");
    let retry_after = || {
        let response = daemon.call("GET /safe/ HTTP/1.1", "r1");
        assert_eq!(response.status, 503);
        let (_, rest) = response.head.split_once("retry-after: ").unwrap();
        let value = rest.split_whitespace().next().unwrap();
        value.parse::<f64>().unwrap()
    };
    RunningDaemon::wait_for("a longer delay", || retry_after() >= 2.0);
}

// Guards against reporting readiness when only the configuration has arrived: a request sent before
// the list of endpoints arrived was refused.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_is_ready_only_after_it_has_listed_endpoints_and_evacuations() {
    for kind in ["servers", "evacuations"] {
        let store = FakeObjectStore::start().await;
        store.put("config", "main", config(1, &default_routes()));
        start_endpoints(&store, &[EndpointScript::Respond]).await;
        store.withhold(Some(kind));
        let daemon = RunningDaemon::start(&store, "h1");
        std::thread::sleep(Duration::from_millis(500));
        let readiness = send_request(daemon.readiness, "GET /-/readyz HTTP/1.1", &[]);
        assert_eq!(readiness.status, 503, "without {kind}");
        store.withhold(None);
        daemon.wait_ready();
        assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn body_over_the_limit_is_refused() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Respond]).await;
    let key = format!("Authorization: Bearer {KEY}");
    let headers = [key.as_str(), "X-Attempt-Id: r1", "Content-Length: 70000"];
    let response = send_request(daemon.clients, "POST /once/ HTTP/1.1", &headers);
    assert_eq!(response.status, 413, "{response:?}");
    assert_eq!(request_count(&endpoints), 0);
}
