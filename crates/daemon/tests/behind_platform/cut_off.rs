//! A daemon that reaches no endpoint, in touch with daemons that do.

use std::io::Read;
use std::io::Write;
use std::net;
use std::time::Duration;

use fakes::fleet;
use fakes::proxy;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::raw::RawEndpoint;
use platform_fakes::raw::RawResponse;
use platform_fakes::store::FakeObjectStore;
use serde_json::json;

use crate::support;
use crate::support::KEY;
use crate::support::RunningDaemon;

/// Time from the start of a cut after which requests are to be served; set by the users' rules.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of requests sent then.
const REQUESTS: usize = 30;
const ENDPOINTS: usize = 4;
/// Number of streams that one daemon of three breaks.
const BROKEN_STREAMS: usize = 8;
/// Number of endpoints that have ended while their entries are still listed.
const CLOSED_ENDPOINTS: usize = 20;
const LAST_EVENT: u64 = 4;

/// A deployment in which one daemon reaches the endpoints at addresses of its own.
pub struct CutDeployment {
    pub endpoints: Vec<FakeEndpoint>,
    /// Daemons that reach the endpoints.
    pub others: Vec<RunningDaemon>,
    pub daemon: RunningDaemon,
    /// The store of these, and that of the daemon.
    pub stores: [FakeObjectStore; 2],
}

impl CutDeployment {
    /// Starts it; the daemon finds the endpoints, which stream events, at the given addresses.
    pub async fn start(addresses: impl AsyncFn(&[FakeEndpoint]) -> Vec<net::SocketAddr>) -> Self {
        let scripts = [EndpointScript::Stream { last: LAST_EVENT }; ENDPOINTS];
        let (store, endpoints, first) = support::deployment(&scripts).await;
        let second = RunningDaemon::start(&store, "h2");
        second.wait_ready();
        let others = vec![first, second];
        RunningDaemon::wait_for_followers(&others.iter().collect::<Vec<_>>(), 1);
        // The daemon has a store of its own and no connection to the others' peer ports, so that it
        // doesn't learn the endpoints' real addresses.
        let own_store = FakeObjectStore::start().await;
        own_store.put(
            "config",
            "main",
            support::config(1, &support::default_routes()),
        );
        for (endpoint, address) in endpoints.iter().zip(addresses(&endpoints).await) {
            let mut entry = endpoint.entry("s", "ready");
            entry["address"] = address.to_string().into();
            own_store.put("servers", &endpoint.id, entry);
        }
        for (number, other) in others.iter().enumerate() {
            let host = format!("h{}", number + 1);
            let entry = json!({"host": host, "centre": "a", "cpu_millis": 1_000,
                "address": fleet::free_address().to_string(),
                "callers": other.clients.to_string()});
            own_store.put("sardinepaddle-daemons", &host, entry);
        }
        let bounds = "bounds: { grace_s: 6, retry_extra: 1000 }\n";
        let daemon = RunningDaemon::start_with_settings(&own_store, "h3", bounds);
        daemon.wait_ready();
        let entry = json!({"host": "h3", "centre": "a", "cpu_millis": 100,
            "address": fleet::free_address().to_string(), "callers": daemon.clients.to_string()});
        store.put("sardinepaddle-daemons", "h3", entry);
        Self {
            endpoints,
            others,
            daemon,
            stores: [store, own_store],
        }
    }

    /// Returns the share of requests of all kinds that the daemon answers at the first try.
    fn answered_share(&self) -> f64 {
        let lines = ["GET /safe/", "POST /once/", "POST /stream/"];
        let is_answered = |number: usize| {
            let line = format!("{}{number} HTTP/1.1", lines[number % lines.len()]);
            let response = self.daemon.call(&line, &format!("r{number:x}"));
            let is_whole = response.body.contains(&format!("id: {LAST_EVENT}\n"));
            response.status == 200 && response.is_complete && is_whole
        };
        let answered = (0..REQUESTS).filter(|number| is_answered(*number));
        answered.count() as f64 / REQUESTS as f64
    }
}

/// Asserts what the users' rules ask: two thirds as many first tries served as at other daemons,
/// which serve all.
fn assert_served(deployment: &CutDeployment, when: &str) {
    let answered = deployment.answered_share();
    assert!(answered >= 2.0 / 3.0, "{when}: {answered} answered");
}

/// Listens at addresses whose connections hang, as their queue is full.
struct HangingListener {
    _socket: socket2::Socket,
    _queued: Vec<socket2::Socket>,
    address: net::SocketAddr,
}

impl HangingListener {
    fn start() -> Self {
        let new_socket = || {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
            let socket = socket.unwrap();
            socket.set_nonblocking(true).unwrap();
            socket
        };
        let socket = new_socket();
        let any_address: net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any_address.into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap();
        let queued = (0..4).map(|_| {
            let client = new_socket();
            // The connection is established later, or never.
            let _ = client.connect(&address);
            client
        });
        Self {
            _queued: queued.collect(),
            address: address.as_socket().unwrap(),
            _socket: socket,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_whose_connections_to_all_endpoints_are_refused_serves_its_clients() {
    let deployment = CutDeployment::start(closed_addresses).await;
    assert_served(&deployment, "in the cut");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_whose_connections_to_all_endpoints_hang_serves_its_clients() {
    let listeners: Vec<_> = (0..ENDPOINTS).map(|_| HangingListener::start()).collect();
    let deployment = CutDeployment::start(async |_: &[FakeEndpoint]| {
        listeners.iter().map(|listener| listener.address).collect()
    });
    let deployment = deployment.await;
    let warm_up = std::time::Instant::now();
    while warm_up.elapsed() < CONTACT_TIME {
        deployment.daemon.call("GET /safe/ HTTP/1.1", "w");
    }
    assert_served(&deployment, "in the cut");
}

/// Returns addresses at which no endpoint listens.
pub async fn closed_addresses(_: &[FakeEndpoint]) -> Vec<net::SocketAddr> {
    (0..ENDPOINTS).map(|_| fleet::free_address()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_reaches_one_endpoint_of_many_is_not_cut_off() {
    let store = FakeObjectStore::start().await;
    let config = support::config(1, &support::default_routes());
    store.put("config", "main", config);
    let endpoint = FakeEndpoint::start("m", EndpointScript::Respond).await;
    store.put("servers", &endpoint.id, endpoint.entry("s", "ready"));
    for number in 0..CLOSED_ENDPOINTS {
        let mut entry = endpoint.entry("s", "ready");
        entry["address"] = fleet::free_address().to_string().into();
        store.put("servers", &format!("closed-{number}"), entry);
    }
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    for number in 0..REQUESTS {
        daemon.call("GET /safe/ HTTP/1.1", &format!("r{number}"));
    }
    let log = daemon.log();
    assert!(!log.contains("no endpoint reachable"), "cut off");
    assert_eq!(daemon.call("GET /safe/ HTTP/1.1", "last").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_reaches_its_endpoint_like_that_of_a_client() {
    let deployment = CutDeployment::start(closed_addresses).await;
    let response = deployment.daemon.call("POST /once/a?b=c HTTP/1.1", "r1");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.head.contains("x-runner-signature"));
    let received = deployment.endpoints.iter().flat_map(FakeEndpoint::requests);
    let [received] = received.collect::<Vec<_>>().try_into().unwrap();
    assert_eq!(received.request_line, "POST /once/a?b=c");
    assert_eq!(received.headers["x-attempt-id"], "r1");
    assert_eq!(received.headers["x-tenant"], "customer-1");
    let remaining_ms: u64 = received.headers["x-deadline-ms"].parse().unwrap();
    assert!(remaining_ms < 8_000, "{remaining_ms}");
    for name in ["authorization", "x-sardinepaddle-runs"] {
        assert!(!received.headers.contains_key(name), "{name}");
    }
    // Keys and routes are checked before the request is forwarded.
    let bad_key = ["X-Attempt-Id: r2", "Authorization: Bearer other"];
    let clients = deployment.daemon.clients;
    let response = support::send_request(clients, "GET /safe/ HTTP/1.1", &bad_key);
    assert_eq!(response.status, 401, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_stream_goes_on_when_the_daemon_that_it_was_forwarded_to_ends() {
    let mut deployment = CutDeployment::start(closed_addresses).await;
    let script = EndpointScript::Pause {
        after: 2,
        pause_ms: 1_000,
        last: LAST_EVENT,
    };
    for endpoint in &deployment.endpoints {
        endpoint.set_script(script);
    }
    let (daemon, others) = (&deployment.daemon, &mut deployment.others);
    let response = std::thread::scope(|scope| {
        let response = scope.spawn(|| daemon.call("POST /stream/ HTTP/1.1", "r1"));
        let is_forwarded = |other: &RunningDaemon| other.log().contains("first event");
        RunningDaemon::wait_for("the first event", || others.iter().any(is_forwarded));
        let position = others.iter().position(is_forwarded).unwrap();
        others[position].process.kill();
        response.join().unwrap()
    });
    assert_eq!((response.status, response.is_complete), (200, true));
    let events: String = (1..=LAST_EVENT)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    assert_eq!(response.body, events);
}

/// Responds to each connection with the head of a failure and a part of its body.
fn respond_with_broken_failures(listener: net::TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4_096];
            // The request is short enough for one read.
            let _ = stream.read(&mut request);
            let failure = "HTTP/1.1 500 Failed\r\nContent-Length: 100\r\n\r\nfail";
            stream.write_all(failure.as_bytes()).unwrap();
        }
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_failure_that_breaks_off_is_not_said_to_be_not_run() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let callers = listener.local_addr().unwrap();
    respond_with_broken_failures(listener);
    let store = FakeObjectStore::start().await;
    store.put(
        "config",
        "main",
        support::config(1, &support::default_routes()),
    );
    for id in ["e0", "e1"] {
        let endpoint = FakeEndpoint::start(id, EndpointScript::Respond).await;
        let mut entry = endpoint.entry("s", "ready");
        entry["address"] = fleet::free_address().to_string().into();
        store.put("servers", id, entry);
    }
    let entry = json!({"host": "h2", "centre": "a", "cpu_millis": 1_000,
        "address": fleet::free_address().to_string(), "callers": callers.to_string()});
    store.put("sardinepaddle-daemons", "h2", entry);
    let daemon = RunningDaemon::start(&store, "h3");
    daemon.wait_ready();
    for number in 0..10 {
        let response = daemon.call("POST /once/ HTTP/1.1", &format!("s{number}"));
        assert_eq!(response.status, 502, "{response:?}");
    }
}

// Guards against forwarding a stream again to the daemon that has just broken it.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_stream_that_a_daemon_breaks_goes_on_through_another_one() {
    let deployment = CutDeployment::start(closed_addresses).await;
    let events = "id: 1\ndata: piece 1\n\n";
    let breaking = RawEndpoint::start("h4", RawResponse::BrokenStream { events }).await;
    let entry = json!({"host": "h4", "centre": "a", "cpu_millis": 10,
        "address": fleet::free_address().to_string(),
        "callers": breaking.entry("s")["address"]});
    let [_, own_store] = &deployment.stores;
    own_store.put("sardinepaddle-daemons", "h4", entry);
    let all: String = (1..=LAST_EVENT)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect();
    let mut broken = 0;
    while broken < BROKEN_STREAMS {
        let id = format!("r{broken}-{}", breaking.request_count());
        let before = breaking.request_count();
        let response = deployment.daemon.call("POST /stream/ HTTP/1.1", &id);
        assert_eq!(
            (response.is_complete, response.body.as_str()),
            (true, &*all)
        );
        broken += breaking.request_count() - before;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_leaves_ends_its_forwarded_request_at_the_endpoint() {
    let deployment = CutDeployment::start(closed_addresses).await;
    for endpoint in &deployment.endpoints {
        endpoint.set_script(EndpointScript::Stall);
    }
    let mut stream = net::TcpStream::connect(deployment.daemon.clients).unwrap();
    let head = format!(
        "POST /once/ HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\
         Authorization: Bearer {KEY}\r\nX-Attempt-Id: r1\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let endpoints = deployment.endpoints.iter();
    RunningDaemon::wait_for("the request", || {
        let mut endpoints = endpoints.clone();
        endpoints.any(|endpoint| !endpoint.requests().is_empty())
    });
    drop(stream);
    let left_at = std::time::Instant::now();
    RunningDaemon::wait_for("its end", || {
        let mut endpoints = endpoints.clone();
        endpoints.any(|endpoint| endpoint.abandoned_count() > 0)
    });
    // Set by the users' rules.
    assert!(left_at.elapsed() < Duration::from_millis(500));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_refused_at_once_when_all_daemons_are_cut_off() {
    let mut deployment = CutDeployment::start(closed_addresses).await;
    for other in &mut deployment.others {
        other.process.kill();
    }
    deployment.daemon.call("GET /safe/ HTTP/1.1", "r1");
    let started_at = std::time::Instant::now();
    let response = deployment.daemon.call("POST /once/ HTTP/1.1", "r2");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(
        response.body.contains("endpoints_unreachable"),
        "{response:?}"
    );
    assert!(response.head.contains("retry-after"), "{response:?}");
    assert!(started_at.elapsed() < Duration::from_millis(500));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_serves_its_clients_while_it_is_cut_off_from_all_endpoints_and_afterwards() {
    let links = std::cell::RefCell::new(Vec::new());
    let addresses: Vec<_> = (0..ENDPOINTS).map(|_| fleet::free_address()).collect();
    let connect = async |endpoints: &[FakeEndpoint]| {
        for (endpoint, address) in endpoints.iter().zip(&addresses) {
            let target = endpoint.entry("s", "ready")["address"].clone();
            let target = target.as_str().unwrap().parse().unwrap();
            let link = proxy::FaultProxy::start(*address, target).await;
            links.borrow_mut().push(link.unwrap());
        }
        addresses.clone()
    };
    let deployment = CutDeployment::start(connect).await;
    assert_served(&deployment, "before the cut");
    // Open connections break, and new ones are refused.
    for link in links.take() {
        link.control().set(proxy::LinkFault::Cut);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_served(&deployment, "in the cut");
    RunningDaemon::wait_for("the log of the others", || {
        let mut others = deployment.others.iter();
        others.any(|other| other.log().contains("request forwarded by another daemon"))
    });
    connect(&deployment.endpoints).await;
    RunningDaemon::wait_for("the end of the cut", || {
        deployment
            .daemon
            .log()
            .contains("endpoints reachable again")
    });
    let forwarded = || {
        let log = deployment.daemon.log();
        log.matches("request forwarded to another daemon").count()
    };
    let before = forwarded();
    assert_served(&deployment, "after the cut");
    assert_eq!(forwarded(), before);
}
