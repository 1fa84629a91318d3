//! A sound runner of a plain service.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
}

/// A runner. It answers at once, and refuses requests that expect another instance.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Runner {
    pub fn start(id: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            runs: Arc::default(),
            record: record.clone(),
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = served.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, phase: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"phase\":\"{phase}\",\"cold_left_ms\":0,\"sequence\":1,\
             \"born\":1765130000000}}",
            self.address
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = http::Reader::new(copy);
        while let Ok(Some(request)) = reader.next() {
            let reply = self.answer(&request);
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> String {
        let id = request.header("x-attempt-id");
        let expected = request.header("x-expect-instance");
        if request.target().1 == "/healthz" {
            return http::response(200, &[("X-Instance-Id", &self.id)], "");
        }
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Attempt-Id", id), ("X-Not-Executed", "1")];
            return http::response(421, &headers, "");
        }
        let run = Run {
            at: Instant::now(),
            id: id.to_owned(),
            tenant: request.header("x-tenant").to_owned(),
        };
        self.record.add(&format!(
            "runner {} runs {id} ({}), tenant {:?}",
            self.id, request.line, run.tenant
        ));
        self.runs.lock().expect("no holder panics").push(run);
        let signature = format!("{}.{id}", self.id);
        let headers = [("X-Attempt-Id", id), ("X-Runner-Signature", &signature)];
        http::response(200, &headers, "the answer")
    }

    /// Whether it ran a request.
    pub fn has_run(&self, id: &str) -> bool {
        let runs = self.runs.lock().expect("no holder panics");
        runs.iter().any(|run| run.id == id)
    }
}
