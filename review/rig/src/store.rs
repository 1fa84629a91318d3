//! A stand-in of the platform's store: objects, lists, watches, and reads that may be old.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::record::Record;

#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    /// JSON; `None` if the object was removed.
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    changes: Vec<Change>,
    /// How old lists are that a call allows to be old.
    stale_lag: Duration,
    /// Number of times that the waiting watches were cut off.
    cuts: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

type Objects = BTreeMap<String, (u64, String)>;

impl State {
    /// Returns the objects of a kind and the revision as they were at a time.
    fn at(&self, kind: &str, at: Instant) -> (Objects, u64) {
        let mut objects = Objects::new();
        let mut revision = 1;
        for change in self.changes.iter().take_while(|change| change.at <= at) {
            revision = change.revision;
            if change.kind == kind {
                match &change.spec {
                    Some(spec) => {
                        objects.insert(change.name.clone(), (change.revision, spec.clone()));
                    }
                    None => {
                        objects.remove(&change.name);
                    }
                }
            }
        }
        (objects, revision)
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"finalizers\":[],\
         \"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let store = Self {
            address: listener.local_addr().expect("store"),
            state: Arc::default(),
            record: record.clone(),
        };
        store.state.0.lock().expect("store").revision = 1;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates, replaces or removes an object. Returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: Option<&str>) -> Instant {
        let mut state = self.state.0.lock().expect("store");
        let at = Instant::now();
        let (objects, _) = state.at(kind, at);
        if objects.get(name).map(|(_, spec)| spec.as_str()) == spec {
            return at;
        }
        state.revision += 1;
        let change = Change {
            at,
            revision: state.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.map(str::to_owned),
        };
        state.changes.push(change);
        self.state.1.notify_all();
        at
    }

    /// Sets how old lists are that a call allows to be old.
    pub fn set_stale_lag(&self, lag: Duration) {
        self.state.0.lock().expect("store").stale_lag = lag;
    }

    /// Cuts off the watches that wait now. Returns their number.
    pub fn cut_watches(&self) {
        self.state.0.lock().expect("store").cuts += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let peer = stream.peer_addr();
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let Some((status, reply)) = self.handle(&head, &body) else {
                self.record
                    .line(format!("store: waiting watch cut off: {}", head.target()));
                return;
            };
            if !head.target().contains("watch=") {
                self.record.line(format!(
                    "store: {} {} from {peer:?}: {status}, {} bytes",
                    head.method(),
                    head.target(),
                    reply.len()
                ));
            }
            let json = [("Content-Type", "application/json")];
            if connection.respond(status, &json, reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and body of the response, or `None` if the watch was cut off.
    fn handle(&self, head: &Head, body: &[u8]) -> Option<(u16, String)> {
        let target = head.target();
        let path = target.split('?').next().unwrap_or_default();
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        match (head.method(), name) {
            ("GET", None) => match parameter(target, "watch") {
                Some(after) => self.watch(kind, after.parse().unwrap_or(0), target),
                None => Some(self.list(kind, parameter(target, "allow_stale") == Some("1"))),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().expect("store");
                let (objects, _) = state.at(kind, Instant::now());
                Some(match objects.get(name) {
                    Some((revision, spec)) => (200, object(name, *revision, spec)),
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", Some(name)) => {
                self.put(kind, name, None);
                Some((200, "{}".to_owned()))
            }
            (method, name) => Some(self.write(method, kind, name, body)),
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<&str>, body: &[u8]) -> (u16, String) {
        // The bodies of the daemons are `{"metadata":{"name":NAME,..},"spec":SPEC}`.
        let text = String::from_utf8_lossy(body);
        let Some((metadata, rest)) = text.split_once("\"spec\":") else {
            return (400, "{}".to_owned());
        };
        let spec = rest.trim_end().strip_suffix('}').unwrap_or(rest);
        let own = metadata.split("\"name\":\"").nth(1);
        let own = own.and_then(|own| own.split('"').next());
        let Some(name) = name.or(own) else {
            return (400, "{}".to_owned());
        };
        let known = {
            let state = self.state.0.lock().expect("store");
            state.at(kind, Instant::now()).0.get(name).cloned()
        };
        if let (true, Some((revision, spec))) = (method == "POST", known) {
            return (409, object(name, revision, &spec));
        }
        self.put(kind, name, Some(spec));
        let state = self.state.0.lock().expect("store");
        (200, object(name, state.revision, spec))
    }

    fn list(&self, kind: &str, allow_stale: bool) -> (u16, String) {
        let state = self.state.0.lock().expect("store");
        let now = Instant::now();
        let at = match allow_stale {
            true => now.checked_sub(state.stale_lag).unwrap_or(now),
            false => now,
        };
        let (objects, revision) = state.at(kind, at);
        let entries = objects.iter();
        let entries = entries.map(|(name, (revision, spec))| object(name, *revision, spec));
        let entries = entries.collect::<Vec<_>>().join(",");
        let body = format!("{{\"entries\":[{entries}],\"has_more\":false,\"store_revision\":{revision}}}");
        if kind == "servers" {
            let names: Vec<&String> = objects.keys().collect();
            let age = (now - at).as_millis();
            self.record
                .line(format!("store: list of servers, {age} ms old: {names:?}"));
        }
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, target: &str) -> Option<(u16, String)> {
        let wait = parameter(target, "wait_ms").and_then(|wait| wait.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut state = self.state.0.lock().expect("store");
        let cuts = state.cuts;
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|change| change.revision > after && change.kind == kind);
            let events: Vec<String> = changes
                .map(|change| {
                    let spec = change.spec.as_deref().unwrap_or("null");
                    let tombstone = change.spec.is_none();
                    let object = object(&change.name, change.revision, spec);
                    format!("{{\"tombstone\":{tombstone},\"object\":{object}}}")
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let events = events.join(",");
                let revision = state.revision;
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return Some((200, body));
            }
            if state.cuts != cuts {
                return None;
            }
            state = self.state.1.wait_timeout(state, until - now).expect("store").0;
        }
    }
}
