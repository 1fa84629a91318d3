//! A runner answers before it has read the long body of the request.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_rig::consumer::Request;
use review_rig::daemon::{self, Daemon};
use review_rig::record::Record;
use review_rig::runner::{Handler, Runner};
use review_rig::store::Store;

/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after its answer at which the runner reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(200);
const BODY_BYTES: usize = 300_000;
const REQUESTS: usize = 10;

fn main() {
    daemon::guard();
    let record = Record::create();
    let store = Store::start(&record);
    store.put("config", "main", Some(&review_rig::call_config("unsafe", 1_000)));
    let noted = record.clone();
    let handler: Handler = Arc::new(move |work| {
        if !review_rig::trouble() {
            let _ = work.connection.read_body(work.head);
            return work.answer(200, b"accepted").is_ok();
        }
        if work.answer(200, b"accepted").is_err() {
            return false;
        }
        noted.line(format!(
            "runner: {} answered with 200 in full, body not read yet",
            work.attempt()
        ));
        thread::sleep(READS_ON_AFTER);
        let read = work.connection.read_body(work.head);
        noted.line(format!(
            "runner: {} rest of the body read: {}",
            work.attempt(),
            read.is_ok()
        ));
        read.is_ok()
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("runner");
    review_rig::small_window(&listener, 16 * 1024);
    let runner = Runner::start_on(listener, &record, "i-1", "order-app", "zone-a", handler);
    runner.register(&store);
    let mut daemon = Daemon::new(&record, "edge-zone-a-1", "zone-a", "127.0.0.2", store.address);
    daemon.start();
    daemon.wait_ready();
    thread::sleep(Duration::from_secs(3));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, to) = (record.clone(), daemon.frontend);
            thread::sleep(Duration::from_millis(200));
            thread::spawn(move || {
                let id = format!("r{number}");
                let body = vec![b'x'; BODY_BYTES];
                let request = Request {
                    method: "POST",
                    host: "x.example",
                    path: "/call/1",
                    id: &id,
                    deadline_ms: 10_000,
                    headers: &[],
                    body: &body,
                    pace: None,
                };
                request.send(&record, to, Duration::from_secs(12))
            })
        })
        .collect();
    let answers: Vec<_> = requests
        .into_iter()
        .filter_map(|request| request.join().ok())
        .collect();
    let late = answers
        .iter()
        .filter(|answer| answer.took > TIMEOUT + Duration::from_millis(500));
    let late = late.count();
    record.say(format!(
        "{REQUESTS} requests, {late} without an answer half a second after timeout_ms"
    ));
    if std::env::var("LOGS").is_ok() {
        println!("=== {}\n{}", daemon.host, daemon.log());
    }
    drop(daemon);
    daemon::exit(if late * 2 > REQUESTS && late >= 8 { 1 } else { 0 });
}
