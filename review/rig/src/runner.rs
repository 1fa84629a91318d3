//! A stand-in of a runner.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

/// A request that a runner has begun to work on, with its body unread.
pub struct Work<'a> {
    pub head: &'a Head,
    pub connection: &'a mut Connection,
    pub runner: &'a Runner,
}

impl Work<'_> {
    pub fn attempt(&self) -> String {
        self.head.get("x-attempt-id").unwrap_or_default().to_owned()
    }

    /// Returns the headers with which a runner vouches for its answer.
    pub fn marks(&self) -> Vec<(String, String)> {
        vec![
            ("X-Attempt-Id".to_owned(), self.attempt()),
            (
                "X-Runner-Signature".to_owned(),
                format!("sig-{}-{}", self.runner.id, self.attempt()),
            ),
        ]
    }

    /// Sends a complete answer.
    pub fn answer(&mut self, status: u16, body: &[u8]) -> std::io::Result<()> {
        let marks = self.marks();
        let marks: Vec<(&str, &str)> = marks.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
        self.connection.respond(status, &marks, body)
    }
}

/// Carries out a request; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&mut Work<'_>) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    born: u64,
    record: Record,
    handler: Handler,
    exited: Arc<AtomicBool>,
    /// Copies of the open connections, by the caller's address.
    open: Arc<Mutex<BTreeMap<SocketAddr, TcpStream>>>,
}

impl Runner {
    pub fn start(record: &Record, id: &str, service: &str, zone: &str, handler: Handler) -> Self {
        Self::start_on(
            TcpListener::bind("127.0.0.1:0").expect("runner"),
            record,
            id,
            service,
            zone,
            handler,
        )
    }

    pub fn start_on(
        listener: TcpListener,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        handler: Handler,
    ) -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("runner"),
            zone: zone.to_owned(),
            service: service.to_owned(),
            born: since_epoch.map_or(0, |since| since.as_millis() as u64),
            record: record.clone(),
            handler,
            exited: Arc::default(),
            open: Arc::default(),
        };
        let accepting = runner.clone();
        listener.set_nonblocking(true).expect("runner");
        thread::spawn(move || {
            while !accepting.exited.load(Ordering::Relaxed) {
                let Ok((stream, caller)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    accepting.open.lock().expect("open").insert(caller, copy);
                }
                let runner = accepting.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    runner.serve(&mut connection);
                    // The connection closes once its copy is gone too.
                    runner.open.lock().expect("open").remove(&caller);
                });
            }
        });
        runner
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        self.record.line(format!("runner {}: {text}", self.id));
    }

    /// Ends the runner: it accepts nothing more, and its connections end.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::Relaxed);
        for stream in self.open.lock().expect("open").values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(format!("runner {} exits", self.id));
    }

    /// Returns the runner's entry in the store.
    pub fn entry(&self, phase: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"phase\":\"{phase}\",\"cold_left_ms\":0,\"sequence\":0,\"born\":{},\"stage\":\"both\",\
             \"models\":[]}}",
            self.service, self.address, self.zone, self.born
        )
    }

    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, Some(&self.entry("ready")));
        self.record
            .line(format!("runner {} at {} registered", self.id, self.address));
    }

    fn serve(&self, connection: &mut Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let expected = head.get("x-expect-instance");
            if head.target().starts_with("/-/") || head.target() == "/healthz" {
                let _ = connection.read_body(&head);
                if connection
                    .respond(200, &[("X-Instance-Id", &self.id)], b"{}")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let attempt = head.get("x-attempt-id").unwrap_or_default().to_owned();
            if expected.is_some_and(|expected| expected != self.id) {
                self.record
                    .line(format!("runner {}: {attempt} refused with 421", self.id));
                let _ = connection.read_body(&head);
                let marks = [("X-Attempt-Id", attempt.as_str()), ("X-Not-Executed", "1")];
                if connection.respond(421, &marks, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record.line(format!(
                "runner {}: {attempt} arrives: {}, X-Deadline-Ms {}",
                self.id,
                head.first_line,
                head.get("x-deadline-ms").unwrap_or("none")
            ));
            let mut work = Work {
                head: &head,
                connection,
                runner: self,
            };
            if !(self.handler)(&mut work) {
                return;
            }
        }
    }
}
