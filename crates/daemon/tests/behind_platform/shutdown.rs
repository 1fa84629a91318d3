//! Requests that a daemon gets while it shuts down.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;

use crate::cut_off;
use crate::support;
use crate::support::KEY;
use crate::support::RunningDaemon;

/// Time from SIGTERM to the end of the arrivals; longer than the grace period.
const ARRIVAL_TIME: Duration = Duration::from_millis(6_500);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which endpoints work on requests, ms: less than the grace period leaves after the time in
/// which each request is accepted.
const RUN_TIMES_MS: [u64; 3] = [50, 900, 2_000];
/// Time for which an endpoint works on the order that keeps the daemon running, ms.
const LONG_RUN_MS: u64 = 5_000;
const ROUTES: [&str; 4] = ["safe", "once", "stream", "live"];
/// Time after the last byte of a request within which its connection may end without a response; set
/// by the users' rules.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// Number of endpoints, and of requests that each runs at the same time if there is room for all.
const ENDPOINTS: usize = 3;
const ENOUGH_SLOTS: u64 = 400;
const KEPT_CONNECTIONS: u64 = 24;

/// A request and what its client got.
#[derive(Debug)]
struct ClientRecord {
    id: String,
    /// Time of its last byte since SIGTERM.
    sent_after: Duration,
    /// Time from its last byte to the end of the response.
    took: Duration,
    response: support::ReceivedResponse,
}

/// A response and when it was asked for and ended.
struct SentTimes {
    sent_at: Instant,
    ended_at: Instant,
    response: support::ReceivedResponse,
}

impl SentTimes {
    fn record(self, id: String, terminated_at: Instant) -> ClientRecord {
        ClientRecord {
            id,
            sent_after: self.sent_at.saturating_duration_since(terminated_at),
            took: self.ended_at - self.sent_at,
            response: self.response,
        }
    }
}

/// The connection of a client that sends one request after another.
struct KeptConnection {
    stream: net::TcpStream,
    text: String,
}

impl KeptConnection {
    fn open(clients: net::SocketAddr) -> Self {
        let stream = net::TcpStream::connect(clients).unwrap();
        stream
            .set_read_timeout(Some(support::WAIT_TIMEOUT))
            .unwrap();
        Self {
            stream,
            text: String::new(),
        }
    }

    /// Sends an order; the response is empty if the connection ends first.
    fn send(&mut self, path: &str, id: &str) -> SentTimes {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
             X-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        let sent_at = Instant::now();
        // A connection that has ended has no response.
        let _ = self.stream.write_all(head.as_bytes());
        self.text.clear();
        let mut block = [0; 4_096];
        let mut response = support::ReceivedResponse::default();
        while !response.is_complete {
            let Ok(count @ 1..) = self.stream.read(&mut block) else {
                break;
            };
            self.text
                .push_str(&String::from_utf8_lossy(&block[..count]));
            response = support::parse_response(&self.text);
        }
        SentTimes {
            sent_at,
            ended_at: Instant::now(),
            response,
        }
    }
}

/// Starts a daemon with timed endpoints that run so many requests at the same time.
async fn start(slots: u64) -> (FakeObjectStore, Vec<FakeEndpoint>, RunningDaemon) {
    let store = FakeObjectStore::start().await;
    let mut routes = support::default_routes();
    routes.push(support::route("live", "stream", false));
    store.put("config", "main", support::config(1, &routes));
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let endpoint = FakeEndpoint::start(&format!("e{number}"), EndpointScript::Timed).await;
        let mut entry = endpoint.entry("s", "ready");
        entry["slots"] = slots.into();
        store.put("servers", &endpoint.id, entry);
        endpoints.push(endpoint);
    }
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    RunningDaemon::wait_for("a response", || {
        daemon.call("GET /safe/0 HTTP/1.1", "probe").status == 200
    });
    (store, endpoints, daemon)
}

/// Sends a request on a connection of its own, its body after a pause if there is one.
fn send(clients: net::SocketAddr, path: &str, id: &str, pause: Option<Duration>) -> SentTimes {
    let mut times = SentTimes {
        sent_at: Instant::now(),
        ended_at: Instant::now(),
        response: support::ReceivedResponse::default(),
    };
    let Ok(mut stream) = net::TcpStream::connect(clients) else {
        return times;
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer {KEY}\r\n\
         X-Attempt-Id: {id}\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
    );
    // A connection that ends early has no response.
    let _ = stream.write_all(head.as_bytes());
    if let Some(pause) = pause {
        thread::sleep(pause);
    }
    times.sent_at = Instant::now();
    let _ = stream.write_all(b"body");
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    times.ended_at = Instant::now();
    times.response = support::parse_response(&String::from_utf8_lossy(&bytes));
    times
}

/// Sends SIGTERM to a daemon that runs an order, and requests of all kinds until it has ended.
fn shut_down(daemon: &RunningDaemon, body_pause: Option<Duration>) -> Vec<ClientRecord> {
    shut_down_behind(daemon, daemon.clients, &ROUTES, body_pause)
}

/// Does the same with requests on some routes that clients send to an address.
fn shut_down_behind(
    daemon: &RunningDaemon,
    clients: net::SocketAddr,
    routes: &[&str],
    body_pause: Option<Duration>,
) -> Vec<ClientRecord> {
    let records = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        let terminated_at = Instant::now() + Duration::from_millis(200);
        let spawn = |clients, path: String, id: String, pause: Option<Duration>| {
            let records = &records;
            scope.spawn(move || {
                let sent = send(clients, &path, &id, pause);
                records.lock().unwrap().push(sent.record(id, terminated_at));
            });
        };
        let path = format!("/once/{LONG_RUN_MS}");
        spawn(daemon.clients, path, "long".to_owned(), None);
        thread::sleep(terminated_at.saturating_duration_since(Instant::now()));
        daemon.process.terminate();
        let mut number = 0;
        while terminated_at.elapsed() < ARRIVAL_TIME {
            for route in routes {
                for run_ms in RUN_TIMES_MS {
                    let id = format!("{route}-{run_ms}-{number}");
                    spawn(clients, format!("/{route}/{run_ms}"), id, body_pause);
                }
            }
            number += 1;
            thread::sleep(ARRIVAL_INTERVAL);
        }
    });
    records.into_inner().unwrap()
}

fn has_run(endpoints: &[FakeEndpoint], id: &str) -> bool {
    let mut requests = endpoints.iter().flat_map(FakeEndpoint::requests);
    requests.any(|request| request.headers["x-attempt-id"] == id)
}

/// Returns what is wrong with the records: requests that ran and have no complete response, or that
/// were neither refused nor closed at once.
fn faults(records: &[ClientRecord], endpoints: &[FakeEndpoint]) -> Vec<String> {
    let is_right = |record: &&ClientRecord| {
        let response = &record.response;
        match (has_run(endpoints, &record.id), response.status) {
            // Its client may repeat it.
            (true, 502) => response.is_complete && record.id.starts_with("safe"),
            (true, status) => status == 200 && response.is_complete,
            (false, 503) => response.is_complete && response.head.contains("retry-after: "),
            (false, 0) => record.took < CROSSING_TIME,
            (false, _) => false,
        }
    };
    let wrong = records.iter().filter(|record| !is_right(record));
    wrong
        .map(|record| {
            let ran = has_run(endpoints, &record.id);
            let (sent_after, took) = (record.sent_after, record.took);
            let status = record.response.status;
            format!(
                "{} at {sent_after:?} for {took:?}: {status}, ran: {ran}",
                record.id
            )
        })
        .collect()
}

fn assert_no_faults(records: &[ClientRecord], endpoints: &[FakeEndpoint]) {
    let faults = faults(records, endpoints);
    assert!(
        faults.is_empty(),
        "{} of {}:\n{}",
        faults.len(),
        records.len(),
        faults.join("\n")
    );
    let is_late = |record: &&ClientRecord| record.sent_after > Duration::from_millis(3_200);
    let late: Vec<_> = records.iter().filter(is_late).collect();
    assert!(late.iter().any(|record| record.response.status == 503));
    assert!(late.iter().any(|record| record.response.status == 200));
}

// Guards against requests that are sent late in the grace period and cut at its end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_during_the_grace_period_are_finished_or_refused() {
    let (_store, endpoints, daemon) = start(ENOUGH_SLOTS).await;
    let records = shut_down(&daemon, None);
    assert_no_faults(&records, &endpoints);
}

// Guards against the same for a request that was accepted before its body had arrived.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_bodies_arrive_slowly_during_the_grace_period_are_finished_or_refused() {
    let (_store, endpoints, daemon) = start(ENOUGH_SLOTS).await;
    let records = shut_down(&daemon, Some(Duration::from_millis(1_300)));
    assert_no_faults(&records, &endpoints);
}

// Guards against the same for a request that was accepted and sent after a wait for an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_endpoints_in_the_grace_period_are_finished_or_refused() {
    let (_store, endpoints, daemon) = start(2).await;
    let records = shut_down(&daemon, None);
    assert_no_faults(&records, &endpoints);
}

// Guards against an order that is passed on from a kept connection which then ends.
#[tokio::test(flavor = "multi_thread")]
async fn orders_on_kept_connections_are_finished_or_not_sent_in_the_grace_period() {
    let (_store, endpoints, daemon) = start(ENOUGH_SLOTS).await;
    let records = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        let terminated_at = Instant::now() + Duration::from_millis(200);
        for (number, run_ms) in (0..KEPT_CONNECTIONS).zip(RUN_TIMES_MS.iter().cycle()) {
            let (records, daemon) = (&records, &daemon);
            scope.spawn(move || {
                let mut connection = KeptConnection::open(daemon.clients);
                for order in 0.. {
                    let id = format!("order-{run_ms}-{number}-{order}");
                    let sent = connection.send(&format!("/once/{run_ms}"), &id);
                    let record = sent.record(id, terminated_at);
                    let is_last = !record.response.is_complete
                        || record.response.head.contains("connection: close");
                    records.lock().unwrap().push(record);
                    if is_last {
                        break;
                    }
                    thread::sleep(Duration::from_millis(number * 7));
                }
            });
        }
        thread::sleep(terminated_at.saturating_duration_since(Instant::now()));
        daemon.process.terminate();
    });
    let records = records.into_inner().unwrap();
    let faults = faults(&records, &endpoints);
    assert!(
        faults.is_empty(),
        "{} of {}: {faults:?}",
        faults.len(),
        records.len()
    );
}

// Guards against closing a new connection, in the shutdown, whose first request is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn first_request_of_a_connection_opened_before_the_close_gets_a_response() {
    let (_store, endpoints, daemon) = start(ENOUGH_SLOTS).await;
    let running = thread::spawn({
        let clients = daemon.clients;
        move || send(clients, &format!("/once/{LONG_RUN_MS}"), "long", None)
    });
    RunningDaemon::wait_for("the order", || has_run(&endpoints, "long"));
    daemon.process.terminate();
    thread::sleep(Duration::from_millis(2_300));
    let mut connections: Vec<_> = (0..KEPT_CONNECTIONS)
        .map(|_| KeptConnection::open(daemon.clients))
        .collect();
    thread::sleep(Duration::from_millis(500));
    for (number, connection) in connections.iter_mut().enumerate() {
        let response = connection.send("/once/0", &format!("r{number}")).response;
        assert!(matches!(response.status, 200 | 503), "{response:?}");
        assert!(response.head.contains("connection: close"), "{response:?}");
    }
    assert_eq!(running.join().unwrap().response.status, 200);
}

// Guards against a request that is forwarded to a daemon which exits before it has the response.
#[tokio::test(flavor = "multi_thread")]
async fn requests_forwarded_to_a_daemon_that_shuts_down_are_finished_or_refused() {
    let deployment = cut_off::CutDeployment::start(cut_off::closed_addresses).await;
    for endpoint in &deployment.endpoints {
        endpoint.set_script(EndpointScript::Timed);
    }
    let (daemon, ending) = (&deployment.daemon, &deployment.others[0]);
    let routes = ["safe", "once", "stream"];
    let records = shut_down_behind(ending, daemon.clients, &routes, None);
    let faults = faults(&records, &deployment.endpoints);
    assert!(
        faults.is_empty(),
        "{} of {}: {faults:?}",
        faults.len(),
        records.len()
    );
    assert!(ending.log().contains("request forwarded by another daemon"));
}
