//! A planned stop of a daemon while consumers read their answers slowly.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_rig::consumer::Request;
use review_rig::daemon::{self, Daemon};
use review_rig::record::Record;
use review_rig::runner::{Handler, Runner};
use review_rig::store::Store;

const BODY_BYTES: usize = 4_000_000;
/// Bytes a second that the consumers read: the answer takes them five seconds.
const PACE: usize = 800_000;
const REQUESTS: usize = 10;

fn main() {
    daemon::guard();
    let record = Record::create();
    let store = Store::start(&record);
    store.put("config", "main", Some(&review_rig::call_config("unsafe", 10_000)));
    let handler: Handler = Arc::new(|work| {
        let _ = work.connection.read_body(work.head);
        work.answer(200, &vec![b'y'; BODY_BYTES]).is_ok()
    });
    let runner = Runner::start(&record, "i-1", "order-app", "zone-a", handler);
    runner.register(&store);
    let mut daemon = Daemon::new(&record, "edge-zone-a-1", "zone-a", "127.0.0.2", store.address);
    daemon.start();
    daemon.wait_ready();
    thread::sleep(Duration::from_secs(3));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, to) = (record.clone(), daemon.frontend);
            thread::spawn(move || {
                let id = format!("r{number}");
                let request = Request {
                    method: "POST",
                    host: "x.example",
                    path: "/call/1",
                    id: &id,
                    deadline_ms: 10_000,
                    headers: &[],
                    body: b"buy",
                    pace: Some(PACE),
                };
                request.send(&record, to, Duration::from_secs(12))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if review_rig::trouble() {
        daemon.signal(daemon::SIGTERM);
    }
    let answers: Vec<_> = requests
        .into_iter()
        .filter_map(|request| request.join().ok())
        .collect();
    let cut = answers.iter().filter(|answer| !answer.is_complete).count();
    record.say(format!(
        "{REQUESTS} requests that ran and were answered in full by the runner, {cut} answers cut"
    ));
    record.say(format!("the daemon has ended: {}", daemon.has_ended()));
    if std::env::var("LOGS").is_ok() {
        println!("=== {}\n{}", daemon.host, daemon.log());
    }
    drop(daemon);
    daemon::exit(if cut > 0 { 1 } else { 0 });
}
