//! The daemon as a real process behind stand-ins of the users' platform.

use std::io::Read;
use std::io::Write;
use std::net;
use std::time::Duration;
use std::time::Instant;

use fakes::fleet;
use fakes::process;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::StandInEndpoint;
use platform_fakes::store::StandInStore;
use platform_fakes::store::StoreMode;
use serde_json::Value;
use serde_json::json;

const KEY: &str = "key-1";
const LOG_FILE: &str = "daemon.log";
/// Longest time that a test waits for something that comes in milliseconds.
const PATIENCE: Duration = Duration::from_secs(20);

fn route(name: &str, kind: &str, resumable: bool) -> Value {
    json!({"name": name, "host": "x.example", "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": 10_000, "slo_ms": 300, "gap_slo_ms": 250, "priority": 1, "service": "s",
        "max_attempts": 2, "public": false, "sticky": true, "resumable": resumable})
}

fn config(version: u64, routes: &[Value]) -> Value {
    json!({"version": version, "routes": routes,
        "services": [{"name": "s", "health_path": "/healthz", "max_conns": 100,
            "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "customer-1", "api_keys": [KEY]}]})
}

fn usual_routes() -> Vec<Value> {
    vec![
        route("safe", "safe", false),
        route("once", "unsafe", false),
        route("stream", "stream", true),
    ]
}

struct RunningDaemon {
    process: process::TestProcess,
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
    metrics: net::SocketAddr,
    files: tempfile::TempDir,
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("log of the daemon:\n{}", self.log());
        }
    }
}

impl RunningDaemon {
    fn start(store: &StandInStore) -> Self {
        let files = tempfile::tempdir().unwrap();
        let path = files.path().join("settings.yaml");
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| fleet::free_address());
        let text = format!(
            "host: h1\ndata_centre: a\nlisten: {{ callers: '{callers}', readiness: '{readiness}', \
             peers: '{peers}', metrics: '{metrics}' }}\nstore: '{}'\nbounds: {{ grace_s: 6 }}\n",
            store.address()
        );
        std::fs::write(&path, text).unwrap();
        let settings = path.display().to_string();
        let args = ["--behind-platform", "--settings", &settings];
        let log = files.path().join(LOG_FILE);
        let daemon = Self {
            process: process::TestProcess::start("sardinepaddled", args, &log).unwrap(),
            callers,
            readiness,
            metrics,
            files,
        };
        Self::wait_for("its port", || net::TcpStream::connect(callers).is_ok());
        daemon
    }

    /// Waits until a check holds.
    fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < until, "waited in vain for: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn wait_ready(&self) {
        Self::wait_for("readiness", || {
            exchange(self.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 200
        });
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.files.path().join(LOG_FILE)).unwrap_or_default()
    }

    fn call(&self, line: &str, id: &str) -> SeenAnswer {
        let key = format!("Authorization: Bearer {KEY}");
        let id = format!("X-Attempt-Id: {id}");
        exchange(self.callers, line, &[&key, &id, "X-Deadline-Ms: 8000"])
    }
}

#[derive(Clone, Debug, Default)]
struct SeenAnswer {
    status: u16,
    head: String,
    body: String,
    /// Whether the body ended as its framing says.
    whole: bool,
}

fn exchange(address: net::SocketAddr, line: &str, headers: &[&str]) -> SeenAnswer {
    let Ok(mut stream) = net::TcpStream::connect(address) else {
        return SeenAnswer::default();
    };
    let mut text = format!("{line}\r\nHost: x.example\r\nConnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    // A connection that breaks leaves what came before.
    let _ = stream.read_to_end(&mut bytes);
    read_answer(&String::from_utf8_lossy(&bytes))
}

fn read_answer(text: &str) -> SeenAnswer {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return SeenAnswer::default();
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let head = head.to_ascii_lowercase();
    let mut answer = SeenAnswer {
        status: status.unwrap_or_default(),
        head,
        ..SeenAnswer::default()
    };
    if answer.head.contains("transfer-encoding: chunked") {
        let mut rest = rest;
        while let Some((size, tail)) = rest.split_once("\r\n") {
            let Ok(size) = usize::from_str_radix(size, 16) else {
                break;
            };
            answer.whole = size == 0;
            let Some(chunk) = tail.get(..size) else {
                break;
            };
            answer.body.push_str(chunk);
            rest = tail.get(size + 2..).unwrap_or_default();
        }
    } else {
        answer.body = rest.to_owned();
        answer.whole = answer
            .head
            .contains(&format!("content-length: {}", rest.len()));
    }
    answer
}

fn whole_events(last: u64) -> String {
    (1..=last)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

async fn endpoints(store: &StandInStore, scripts: &[EndpointScript]) -> Vec<StandInEndpoint> {
    let mut started = Vec::new();
    for (index, script) in scripts.iter().enumerate() {
        let endpoint = StandInEndpoint::start(&format!("e{index}"), *script).await;
        store.put("servers", &endpoint.id, endpoint.entry("s", "ready"));
        started.push(endpoint);
    }
    started
}

/// A store with the usual routes, endpoints, and a daemon that is ready.
async fn deployment(
    scripts: &[EndpointScript],
) -> (StandInStore, Vec<StandInEndpoint>, RunningDaemon) {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &usual_routes()));
    let endpoints = endpoints(&store, scripts).await;
    let daemon = RunningDaemon::start(&store);
    daemon.wait_ready();
    RunningDaemon::wait_for("endpoints", || {
        daemon.call("GET /nowhere/ HTTP/1.1", "probe").status == 404
            && exchange(daemon.metrics, "GET /metrics HTTP/1.1", &[]).status == 200
    });
    (store, endpoints, daemon)
}

fn arrivals(endpoints: &[StandInEndpoint]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_passes_with_the_headers_of_the_system() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    let answer = daemon.call("GET /safe/a?b=c HTTP/1.1", "r1");
    assert_eq!((answer.status, answer.body.as_str()), (200, "answer"));
    assert!(answer.head.contains("x-runner-signature: sig-e0"));
    let seen = endpoints[0].seen().remove(0);
    assert_eq!(seen.line, "GET /safe/a?b=c");
    assert_eq!(seen.headers["x-attempt-id"], "r1");
    assert_eq!(seen.headers["x-tenant"], "customer-1");
    assert_eq!(seen.headers["x-expect-instance"], "e0");
    assert!(!seen.headers.contains_key("authorization"));
    let left: u64 = seen.headers["x-deadline-ms"].parse().unwrap();
    assert!(left <= 8_000, "{left}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_keys_are_turned_away() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    assert_eq!(daemon.call("GET /other/ HTTP/1.1", "r1").status, 404);
    let bad = ["X-Attempt-Id: r2", "Authorization: Bearer other"];
    assert_eq!(
        exchange(daemon.callers, "GET /safe/ HTTP/1.1", &bad).status,
        401
    );
    assert_eq!(arrivals(&endpoints), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_is_sent_once() {
    let scripts = [EndpointScript::Close, EndpointScript::Close];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    let answer = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(arrivals(&endpoints), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_all_endpoints_is_told_as_not_run() {
    let scripts = [EndpointScript::Refuse, EndpointScript::Refuse];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    let answer = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.head.contains("retry-after: "));
    assert!(arrivals(&endpoints) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_tried_at_another_endpoint() {
    let scripts = [EndpointScript::Close, EndpointScript::Close];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    endpoints[1].set_script(EndpointScript::Answer);
    for number in 0..4 {
        let answer = daemon.call("GET /safe/ HTTP/1.1", &format!("r{number}"));
        assert_eq!((answer.status, answer.body.as_str()), (200, "answer"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_an_endpoint_is_passed_on_as_it_is() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Fail]).await;
    let answer = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert!(answer.head.contains("x-runner-signature: sig-e0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_reaches_nobody() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Cross]).await;
    let answer = daemon.call("POST /once/ HTTP/1.1", "r1");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(!answer.body.contains("other"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_stream_goes_on_at_another_endpoint_after_its_last_whole_event() {
    let scripts = [
        EndpointScript::Tear { after: 3 },
        EndpointScript::Tear { after: 3 },
    ];
    let (_store, endpoints, daemon) = deployment(&scripts).await;
    let waiting = tokio::task::spawn_blocking(move || {
        let answer = daemon.call("POST /stream/ HTTP/1.1", "r1");
        (daemon, answer)
    });
    RunningDaemon::wait_for("the first arrival", || arrivals(&endpoints) == 1);
    for endpoint in endpoints
        .iter()
        .filter(|endpoint| endpoint.seen().is_empty())
    {
        endpoint.set_script(EndpointScript::Stream { last: 6 });
    }
    let (_daemon, answer) = waiting.await.unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body, whole_events(6));
    let resumed = endpoints.iter().flat_map(StandInEndpoint::seen);
    let resumed: Vec<_> = resumed
        .filter(|seen| seen.headers.contains_key("last-event-id"))
        .collect();
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].headers["last-event-id"], "3");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_stream_that_nobody_goes_on_with_does_not_look_complete() {
    let (_store, _endpoints, daemon) = deployment(&[EndpointScript::Tear { after: 3 }]).await;
    let answer = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert_eq!(answer.body, whole_events(3));
    assert!(!answer.whole, "{answer:?}");
}

// A stream that was silent for a second and a half was cut although no other endpoint could go
// on with it (hunt on bluemahoe-stockdesk, mix, seed 894710441795: LOST).
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_left_only_for_one_that_goes_on() {
    let script = EndpointScript::Pause {
        after: 2,
        pause_ms: 2_500,
        last: 4,
    };
    let (_store, _endpoints, daemon) = deployment(&[script]).await;
    let answer = daemon.call("POST /stream/ HTTP/1.1", "r1");
    assert_eq!(answer.body, whole_events(4));
    assert!(answer.whole);
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_and_foreign_entries_hide_no_others() {
    let store = StandInStore::start().await;
    store.put("servers", "broken", json!({"service": 7}));
    store.put("servers", "odd", json!("text"));
    store.put("evacuations", "elsewhere", json!({}));
    store.put("config", "main", config(1, &usual_routes()));
    endpoints(&store, &[EndpointScript::Answer]).await;
    let daemon = RunningDaemon::start(&store);
    daemon.wait_ready();
    RunningDaemon::wait_for("an answer", || {
        daemon.call("GET /safe/ HTTP/1.1", "r1").status == 200
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_comes_into_force_and_a_damaged_one_does_not() {
    let (store, _endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    let mut routes = usual_routes();
    routes.push(route("added", "safe", false));
    store.put("config", "main", config(4, &routes));
    RunningDaemon::wait_for("the new route", || {
        daemon.call("GET /added/ HTTP/1.1", "r1").status == 200
    });
    store.put("config", "main", json!({"version": "none"}));
    store.put("config", "main", config(3, &usual_routes()));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(daemon.call("GET /added/ HTTP/1.1", "r2").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn history_that_is_gone_is_listed_anew() {
    let (store, _endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    store.set_mode(StoreMode::Busy);
    let mut routes = usual_routes();
    routes.push(route("added", "safe", false));
    store.put("config", "main", config(4, &routes));
    store.compact();
    store.set_mode(StoreMode::Up);
    RunningDaemon::wait_for("the new route", || {
        daemon.call("GET /added/ HTTP/1.1", "r1").status == 200
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_lapsed_while_the_store_was_away_is_kept_for_its_return() {
    let (store, endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "away").status, 200);
    store.remove("servers", "e0");
    store.set_mode(StoreMode::Up);
    std::thread::sleep(Duration::from_millis(1_200));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "lapsed").status, 200);
    // It does not come back: it is gone.
    RunningDaemon::wait_for("its end", || {
        daemon.call("GET /safe/ HTTP/1.1", "gone").status == 503
    });
    store.put("servers", "e0", endpoints[0].entry("s", "ready"));
    RunningDaemon::wait_for("its return", || {
        daemon.call("GET /safe/ HTTP/1.1", "back").status == 200
    });
}

// A daemon that no longer followed the store kept what had lapsed for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_lapsed_entry_that_does_not_come_back_is_gone_also_while_the_daemon_ends() {
    let (store, _endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    store.set_mode(StoreMode::Busy);
    std::thread::sleep(Duration::from_millis(1_500));
    store.remove("servers", "e0");
    store.set_mode(StoreMode::Up);
    RunningDaemon::wait_for("the lapse", || daemon.log().contains("entry lapsed"));
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "lapsed").status, 200);
    daemon.process.terminate();
    RunningDaemon::wait_for("its end", || {
        daemon.call("GET /safe/ HTTP/1.1", "gone").status == 503
    });
    let metrics = exchange(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
    assert!(metrics.body.contains("reason=\"no_endpoint\""));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoints_and_emptied_data_centres_get_nothing() {
    let (store, endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    store.put("servers", "e0", endpoints[0].entry("s", "draining"));
    RunningDaemon::wait_for("a refusal", || {
        daemon.call("GET /safe/ HTTP/1.1", "r1").status == 503
    });
    store.put("servers", "e0", endpoints[0].entry("s", "ready"));
    RunningDaemon::wait_for("service", || {
        daemon.call("GET /safe/ HTTP/1.1", "r2").status == 200
    });
    store.put("evacuations", "a", json!({}));
    RunningDaemon::wait_for("a refusal", || {
        daemon.call("GET /safe/ HTTP/1.1", "r3").status == 503
    });
    store.remove("evacuations", "a");
    RunningDaemon::wait_for("service", || {
        daemon.call("GET /safe/ HTTP/1.1", "r4").status == 200
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_ends_readiness_at_once_and_cuts_no_request() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 1_000,
        last: 3,
    };
    let (_store, endpoints, mut daemon) = deployment(&[script]).await;
    let callers = daemon.callers;
    let open = std::thread::spawn(move || {
        let key = format!("Authorization: Bearer {KEY}");
        let headers = [key.as_str(), "X-Attempt-Id: r1", "X-Deadline-Ms: 8000"];
        exchange(callers, "POST /stream/ HTTP/1.1", &headers)
    });
    RunningDaemon::wait_for("its arrival", || arrivals(&endpoints) == 1);
    daemon.process.terminate();
    RunningDaemon::wait_for("not ready", || {
        exchange(daemon.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 503
    });
    let answer = open.join().unwrap();
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body, whole_events(3));
    assert!(daemon.process.wait(PATIENCE).await.unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_run() {
    let script = EndpointScript::Pause {
        after: 1,
        pause_ms: 60_000,
        last: 3,
    };
    let (_store, endpoints, daemon) = deployment(&[script]).await;
    let mut stream = net::TcpStream::connect(daemon.callers).unwrap();
    let head = format!(
        "POST /stream/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
         X-Attempt-Id: r1\r\nX-Deadline-Ms: 8000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    RunningDaemon::wait_for("its arrival", || arrivals(&endpoints) == 1);
    drop(stream);
    RunningDaemon::wait_for("its end in the metrics", || {
        let metrics = exchange(daemon.metrics, "GET /metrics HTTP/1.1", &[]);
        metrics.body.contains("reason=\"caller_gone\"")
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_the_daemon_is_not_ready_and_refuses() {
    let store = StandInStore::start().await;
    store.set_mode(StoreMode::Silent);
    let daemon = RunningDaemon::start(&store);
    RunningDaemon::wait_for("an answer", || {
        exchange(daemon.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 503
    });
    let answer = daemon.call("GET /safe/ HTTP/1.1", "r1");
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "));
}

// CI, 4 Dec: a request right after readiness was refused, as the list of endpoints came later than
// the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_is_ready_once_it_has_listed_where_requests_may_go() {
    for kind in ["servers", "evacuations"] {
        let store = StandInStore::start().await;
        store.put("config", "main", config(1, &usual_routes()));
        endpoints(&store, &[EndpointScript::Answer]).await;
        store.withhold(Some(kind));
        let daemon = RunningDaemon::start(&store);
        std::thread::sleep(Duration::from_millis(500));
        let readiness = exchange(daemon.readiness, "GET /-/readyz HTTP/1.1", &[]);
        assert_eq!(readiness.status, 503, "without {kind}");
        store.withhold(None);
        daemon.wait_ready();
        assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "r1").status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let (_store, endpoints, daemon) = deployment(&[EndpointScript::Answer]).await;
    let key = format!("Authorization: Bearer {KEY}");
    let headers = [key.as_str(), "X-Attempt-Id: r1", "Content-Length: 70000"];
    let answer = exchange(daemon.callers, "POST /once/ HTTP/1.1", &headers);
    assert_eq!(answer.status, 413, "{answer:?}");
    assert_eq!(arrivals(&endpoints), 0);
}
