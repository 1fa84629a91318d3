//! Starts daemons as real processes with fakes of the users' platform.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync::atomic;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fakes::fleet;
use fakes::process;
use model::millis;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;
use serde_json::Value;
use serde_json::json;

pub const KEY: &str = "key-1";
const LOG_FILE: &str = "daemon.log";
/// The daemon of this build.
pub const PROGRAM: &str = "sardinepaddled";
/// Longest wait for a condition that normally holds within milliseconds.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn route(name: &str, kind: &str, resumable: bool) -> Value {
    json!({"name": name, "host": "x.example", "path_prefix": format!("/{name}/"), "type": kind,
        "timeout_ms": 10_000, "slo_ms": 300, "gap_slo_ms": 250, "priority": 1, "service": "s",
        "max_attempts": 2, "public": false, "sticky": true, "resumable": resumable})
}

pub fn config(version: u64, routes: &[Value]) -> Value {
    json!({"version": version, "routes": routes,
        "services": [{"name": "s", "health_path": "/healthz", "max_conns": 100,
            "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "customer-1", "api_keys": [KEY]}]})
}

pub fn default_routes() -> Vec<Value> {
    vec![
        route("safe", "safe", false),
        route("once", "unsafe", false),
        route("stream", "stream", true),
    ]
}

pub struct RunningDaemon {
    pub process: process::TestProcess,
    pub clients: net::SocketAddr,
    pub readiness: net::SocketAddr,
    pub metrics: net::SocketAddr,
    files: tempfile::TempDir,
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("daemon log:\n{}", self.log());
        }
    }
}

impl RunningDaemon {
    /// Starts the daemon of a host and waits until it accepts connections.
    pub fn start(store: &FakeObjectStore, host: &str) -> Self {
        Self::start_with_store(store.address(), host)
    }

    /// Starts the daemon of a host that reaches the store at an address.
    pub fn start_with_store(store: net::SocketAddr, host: &str) -> Self {
        Self::start_at(store, host, "")
    }

    /// Starts the daemon of a host with lines added to its settings.
    pub fn start_with_settings(store: &FakeObjectStore, host: &str, lines: &str) -> Self {
        Self::start_at(store.address(), host, lines)
    }

    fn start_at(store: net::SocketAddr, host: &str, lines: &str) -> Self {
        let daemon = Self::spawn_with_settings(store, host, lines, PROGRAM);
        let clients = daemon.clients;
        Self::wait_for("the client listener", || {
            net::TcpStream::connect(clients).is_ok()
        });
        daemon
    }

    /// Starts the daemon of a host with a share of a core, without waiting for it.
    pub fn start_at_once(store: &FakeObjectStore, host: &str, cpu_share: f64) -> Self {
        Self::spawn_with(store.address(), host, cpu_share, PROGRAM)
    }

    /// Starts the daemon of a host with a share of a core and a program, without waiting for it.
    pub fn spawn_with(store: net::SocketAddr, host: &str, cpu_share: f64, program: &str) -> Self {
        Self::spawn_with_settings(store, host, &format!("cpu_share: {cpu_share}\n"), program)
    }

    fn spawn_with_settings(store: net::SocketAddr, host: &str, lines: &str, program: &str) -> Self {
        let bounds = match lines.contains("bounds:") {
            true => "",
            false => "bounds: { grace_s: 6 }\n",
        };
        let files = tempfile::tempdir().unwrap();
        let path = files.path().join("settings.yaml");
        let [clients, readiness, peers, metrics] = [(); 4].map(|()| fleet::free_address());
        let text = format!(
            "host: {host}\ndata_centre: a\nlisten: {{ callers: '{clients}', readiness: '{readiness}', \
             peers: '{peers}', metrics: '{metrics}' }}\nstore: '{}'\n{bounds}{lines}",
            store
        );
        std::fs::write(&path, text).unwrap();
        Self {
            process: Self::spawn(&files, program),
            clients,
            readiness,
            metrics,
            files,
        }
    }

    /// Kills the daemon and starts it again with the same addresses.
    pub fn restart(&mut self) {
        self.process.kill();
        self.start_again(PROGRAM);
    }

    /// Starts a program on the host of a daemon that has ended, with the same addresses.
    pub fn start_again(&mut self, program: &str) {
        self.process = Self::spawn(&self.files, program);
    }

    fn spawn(files: &tempfile::TempDir, program: &str) -> process::TestProcess {
        let settings = files.path().join("settings.yaml").display().to_string();
        let args = ["--behind-platform", "--settings", &settings];
        let log = files.path().join(LOG_FILE);
        process::TestProcess::start(program, args, &log).unwrap()
    }

    /// Waits until a condition holds; panics after `WAIT_TIMEOUT`.
    pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn wait_ready(&self) {
        Self::wait_for("readiness", || {
            send_request(self.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 200
        });
    }

    /// Waits until at least `count` of the daemons follow another one.
    pub fn wait_for_followers(daemons: &[&Self], count: usize) {
        let followers = |daemon: &&Self| daemon.log().matches("daemon connected").count();
        Self::wait_for("the followers", || {
            daemons.iter().map(followers).sum::<usize>() >= count
        });
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.files.path().join(LOG_FILE)).unwrap_or_default()
    }

    pub fn call(&self, line: &str, id: &str) -> ReceivedResponse {
        let key = format!("Authorization: Bearer {KEY}");
        let id = format!("X-Attempt-Id: {id}");
        send_request(self.clients, line, &[&key, &id, "X-Deadline-Ms: 8000"])
    }
}

#[derive(Clone, Debug, Default)]
pub struct ReceivedResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete according to its framing.
    pub is_complete: bool,
}

pub fn send_request(address: net::SocketAddr, line: &str, headers: &[&str]) -> ReceivedResponse {
    send_request_with(address, line, headers, "")
}

/// Sends a request with a body.
pub fn send_request_with(
    address: net::SocketAddr,
    line: &str,
    headers: &[&str],
    body: &str,
) -> ReceivedResponse {
    let Ok(mut stream) = net::TcpStream::connect(address) else {
        return ReceivedResponse::default();
    };
    let mut text = format!("{line}\r\nHost: x.example\r\nConnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    // If the connection breaks, the bytes received before are kept.
    let _ = stream.read_to_end(&mut bytes);
    parse_response(&String::from_utf8_lossy(&bytes))
}

pub fn parse_response(text: &str) -> ReceivedResponse {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return ReceivedResponse::default();
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let head = head.to_ascii_lowercase();
    let mut response = ReceivedResponse {
        status: status.unwrap_or_default(),
        head,
        ..ReceivedResponse::default()
    };
    if response.head.contains("transfer-encoding: chunked") {
        let mut rest = rest;
        while let Some((size, tail)) = rest.split_once("\r\n") {
            let Ok(size) = usize::from_str_radix(size, 16) else {
                break;
            };
            response.is_complete = size == 0;
            let Some(chunk) = tail.get(..size) else {
                break;
            };
            response.body.push_str(chunk);
            rest = tail.get(size + 2..).unwrap_or_default();
        }
    } else {
        response.body = rest.to_owned();
        response.is_complete = response
            .head
            .contains(&format!("content-length: {}", rest.len()));
    }
    response
}

pub async fn start_endpoints(
    store: &FakeObjectStore,
    scripts: &[EndpointScript],
) -> Vec<FakeEndpoint> {
    let mut started = Vec::new();
    for (index, script) in scripts.iter().enumerate() {
        let endpoint = FakeEndpoint::start(&format!("e{index}"), *script).await;
        store.put("servers", &endpoint.id, endpoint.entry("s", "ready"));
        started.push(endpoint);
    }
    started
}

/// Starts a store with the default routes, endpoints with the given scripts, and a daemon, and waits
/// until the daemon is ready.
pub async fn deployment(
    scripts: &[EndpointScript],
) -> (FakeObjectStore, Vec<FakeEndpoint>, RunningDaemon) {
    deployment_with(scripts, "").await
}

/// The same with lines added to the daemon's settings.
pub async fn deployment_with(
    scripts: &[EndpointScript],
    lines: &str,
) -> (FakeObjectStore, Vec<FakeEndpoint>, RunningDaemon) {
    let store = FakeObjectStore::start().await;
    store.put("config", "main", config(1, &default_routes()));
    let endpoints = start_endpoints(&store, scripts).await;
    let daemon = RunningDaemon::start_with_settings(&store, "h1", lines);
    daemon.wait_ready();
    RunningDaemon::wait_for("endpoints", || {
        daemon.call("GET /nowhere/ HTTP/1.1", "probe").status == 404
            && send_request(daemon.metrics, "GET /metrics HTTP/1.1", &[]).status == 200
    });
    (store, endpoints, daemon)
}

/// Interval at which endpoints that are back register again.
const REGISTER_INTERVAL: Duration = Duration::from_millis(50);

/// Sets a flag when it is dropped, also by a panic, so that threads of a scope end.
pub struct StopGuard<'a>(pub &'a atomic::AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }
}

/// Registers endpoints again after their ends, until `stopped` is set.
pub fn keep_registered(
    store: &FakeObjectStore,
    endpoints: &[FakeEndpoint],
    stopped: &atomic::AtomicBool,
) {
    let mut registered = vec![0; endpoints.len()];
    while !stopped.load(atomic::Ordering::Relaxed) {
        for (endpoint, registered) in endpoints.iter().zip(&mut registered) {
            let ends = endpoint.end_count();
            if ends > *registered && !endpoint.is_down() {
                *registered = ends;
                let mut entry = endpoint.entry("s", "ready");
                entry["born"] = millis::since_epoch().into();
                store.put("servers", &endpoint.id, entry);
            }
        }
        thread::sleep(REGISTER_INTERVAL);
    }
}
