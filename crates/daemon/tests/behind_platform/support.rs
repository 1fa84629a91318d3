//! Daemons as real processes behind stand-ins of the users' platform.

use std::io::Read;
use std::io::Write;
use std::net;
use std::time::Duration;
use std::time::Instant;

use fakes::fleet;
use fakes::process;
use platform_fakes::endpoint::EndpointScript;
use platform_fakes::endpoint::FakeEndpoint;
use platform_fakes::store::FakeObjectStore;
use serde_json::Value;
use serde_json::json;

pub const KEY: &str = "key-1";
const LOG_FILE: &str = "daemon.log";
/// Longest time that a test waits for something that comes in milliseconds.
pub const PATIENCE: Duration = Duration::from_secs(20);

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

pub fn usual_routes() -> Vec<Value> {
    vec![
        route("safe", "safe", false),
        route("once", "unsafe", false),
        route("stream", "stream", true),
    ]
}

pub struct RunningDaemon {
    pub process: process::TestProcess,
    pub callers: net::SocketAddr,
    pub readiness: net::SocketAddr,
    pub metrics: net::SocketAddr,
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
    /// Starts a daemon of a host.
    pub fn start(store: &FakeObjectStore, host: &str) -> Self {
        let files = tempfile::tempdir().unwrap();
        let path = files.path().join("settings.yaml");
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| fleet::free_address());
        let text = format!(
            "host: {host}\ndata_centre: a\nlisten: {{ callers: '{callers}', readiness: '{readiness}', \
             peers: '{peers}', metrics: '{metrics}' }}\nstore: '{}'\nbounds: {{ grace_s: 6 }}\n",
            store.address()
        );
        std::fs::write(&path, text).unwrap();
        let daemon = Self {
            process: Self::spawn(&files),
            callers,
            readiness,
            metrics,
            files,
        };
        Self::wait_for("its port", || net::TcpStream::connect(callers).is_ok());
        daemon
    }

    /// Starts it anew, with the same addresses.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = Self::spawn(&self.files);
    }

    fn spawn(files: &tempfile::TempDir) -> process::TestProcess {
        let settings = files.path().join("settings.yaml").display().to_string();
        let args = ["--behind-platform", "--settings", &settings];
        let log = files.path().join(LOG_FILE);
        process::TestProcess::start("sardinepaddled", args, &log).unwrap()
    }

    /// Waits until a check holds.
    pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < until, "waited in vain for: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn wait_ready(&self) {
        Self::wait_for("readiness", || {
            exchange(self.readiness, "GET /-/readyz HTTP/1.1", &[]).status == 200
        });
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.files.path().join(LOG_FILE)).unwrap_or_default()
    }

    pub fn call(&self, line: &str, id: &str) -> SeenAnswer {
        let key = format!("Authorization: Bearer {KEY}");
        let id = format!("X-Attempt-Id: {id}");
        exchange(self.callers, line, &[&key, &id, "X-Deadline-Ms: 8000"])
    }
}

#[derive(Clone, Debug, Default)]
pub struct SeenAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

pub fn exchange(address: net::SocketAddr, line: &str, headers: &[&str]) -> SeenAnswer {
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

pub async fn endpoints(store: &FakeObjectStore, scripts: &[EndpointScript]) -> Vec<FakeEndpoint> {
    let mut started = Vec::new();
    for (index, script) in scripts.iter().enumerate() {
        let endpoint = FakeEndpoint::start(&format!("e{index}"), *script).await;
        store.put("servers", &endpoint.id, endpoint.entry("s", "ready"));
        started.push(endpoint);
    }
    started
}

/// A store with the usual routes, endpoints, and a daemon that is ready.
pub async fn deployment(
    scripts: &[EndpointScript],
) -> (FakeObjectStore, Vec<FakeEndpoint>, RunningDaemon) {
    let store = FakeObjectStore::start().await;
    store.put("config", "main", config(1, &usual_routes()));
    let endpoints = endpoints(&store, scripts).await;
    let daemon = RunningDaemon::start(&store, "h1");
    daemon.wait_ready();
    RunningDaemon::wait_for("endpoints", || {
        daemon.call("GET /nowhere/ HTTP/1.1", "probe").status == 404
            && exchange(daemon.metrics, "GET /metrics HTTP/1.1", &[]).status == 200
    });
    (store, endpoints, daemon)
}
