//! The platform's store, as PROTOCOL.md tells it: objects by kind and name, one revision counter,
//! lists, watches, and writes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Revision and spec by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind and JSON of each event.
    events: Vec<(u64, String, String)>,
}

/// The store; its listeners can be opened and closed.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Addresses of daemons and those of the links that lead to them, which stand in their entries.
    links: Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>,
}

/// An address at which the store is served.
pub struct StoreListener {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether each connection has gone silent.
    silent: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    calls: Arc<AtomicU64>,
}

impl StoreListener {
    /// Makes its open connections go silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        for silent in self.silent.lock().expect("no holder panics").drain(..) {
            silent.store(true, Ordering::SeqCst);
        }
    }

    /// Returns the number of calls that came here.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    /// Stops serving at this address and closes its connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the accept.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().expect("no holder panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().map(|(_, value)| value)
}

/// Returns the text of a field of a JSON object.
pub fn raw_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    let mut string_start = 0;
    let mut key: Option<&str> = None;
    let mut value_start = None;
    for (at, byte) in bytes.iter().enumerate() {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => {
                    in_string = false;
                    if depth == 1 && value_start.is_none() {
                        key = Some(&text[string_start + 1..at]);
                    }
                }
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => {
                in_string = true;
                string_start = at;
            }
            b':' if depth == 1 && value_start.is_none() => value_start = Some(at + 1),
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' => {
                if depth == 1
                    && let Some(start) = value_start.take()
                    && key == Some(name)
                {
                    return Some(text[start..at].trim());
                }
                if *byte != b',' {
                    depth -= 1;
                }
            }
            _ => {}
        }
    }
    None
}

impl Store {
    /// Makes others reach a daemon's address over a link, as its entry then names that one.
    pub fn lead_over(&self, address: SocketAddr, link: SocketAddr) {
        let mut links = self.links.lock().expect("no holder panics");
        links.push((address, link));
    }

    fn with_links(&self, spec: &str) -> String {
        let links = self.links.lock().expect("no holder panics");
        let mut spec = spec.to_owned();
        for (address, link) in links.iter() {
            spec = spec.replace(&format!("\"{address}\""), &format!("\"{link}\""));
        }
        spec
    }

    /// Serves the store at a free address.
    pub fn listen(&self) -> StoreListener {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let served = StoreListener {
            address: listener.local_addr().expect("a bound address"),
            closed: Arc::default(),
            streams: Arc::default(),
            silent: Arc::default(),
            calls: Arc::default(),
        };
        let (store, closed) = (self.clone(), served.closed.clone());
        let streams = served.streams.clone();
        let (all_silent, calls) = (served.silent.clone(), served.calls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().expect("no holder panics").push(copy);
                }
                let silent = Arc::new(AtomicBool::new(false));
                let mut all_silent = all_silent.lock().expect("no holder panics");
                all_silent.push(silent.clone());
                drop(all_silent);
                let (store, calls) = (store.clone(), calls.clone());
                thread::spawn(move || store.serve(stream, &silent, &calls));
            }
        });
        served
    }

    /// Creates, replaces or removes an object, as its writers do. Returns the revision; the write is
    /// acknowledged when this returns.
    pub fn write(&self, kind: &str, name: &str, spec: Option<&str>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no holder panics");
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.map(|(_, known)| known.as_str()) == spec {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let event = match spec {
            Some(spec) => {
                state.objects.insert(key, (revision, spec.to_owned()));
                format!(
                    "{{\"tombstone\":false,\"object\":{}}}",
                    object(name, revision, spec)
                )
            }
            None => {
                let removed = state.objects.remove(&key);
                let spec = removed.map_or_else(|| "null".to_owned(), |(_, spec)| spec);
                format!(
                    "{{\"tombstone\":true,\"object\":{}}}",
                    object(name, revision, &spec)
                )
            }
        };
        state.events.push((revision, kind.to_owned(), event));
        changed.notify_all();
        revision
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().expect("no holder panics");
        let names = state.objects.keys().filter(|(other, _)| other == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, mut stream: TcpStream, silent: &AtomicBool, calls: &AtomicU64) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = http::Reader::new(copy);
        while let Ok(Some(request)) = reader.next() {
            calls.fetch_add(1, Ordering::SeqCst);
            let reply = self.answer(&request);
            if silent.load(Ordering::SeqCst) {
                continue;
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> String {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/-/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&request.body);
        let (status, body) = match (method, name) {
            ("GET", "") => match parameter(query, "watch").and_then(|after| after.parse().ok()) {
                Some(after) => self.watch(kind, after, parameter(query, "wait_ms")),
                None => self.list(kind, parameter(query, "after").unwrap_or_default()),
            },
            ("POST", "") => {
                let metadata = raw_field(&body, "metadata").unwrap_or_default();
                let name = raw_field(metadata, "name").unwrap_or_default();
                let name = name.trim_matches('"');
                if self.names(kind).iter().any(|other| other == name) {
                    (409, "{}".to_owned())
                } else {
                    let spec = self.with_links(raw_field(&body, "spec").unwrap_or("null"));
                    self.write(kind, name, Some(&spec));
                    (200, "{}".to_owned())
                }
            }
            ("PUT", name) => {
                let spec = self.with_links(raw_field(&body, "spec").unwrap_or("null"));
                self.write(kind, name, Some(&spec));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        http::response(status, &[("Content-Type", "application/json")], &body)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("no holder panics");
        let objects = state.objects.iter();
        let objects = objects.filter(|((other, name), _)| other == kind && name.as_str() > after);
        let entries = objects.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let entries = entries.collect::<Vec<_>>().join(",");
        let revision = state.revision;
        let body =
            format!("{{\"entries\":[{entries}],\"has_more\":false,\"store_revision\":{revision}}}");
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: Option<&str>) -> (u16, String) {
        let wait_ms = wait_ms.and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no holder panics");
        loop {
            let events = state.events.iter();
            let events = events.filter(|(revision, other, _)| *revision > after && other == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return (200, body);
            }
            let waited = changed.wait_timeout(state, left);
            state = waited.expect("no holder panics").0;
        }
    }
}
