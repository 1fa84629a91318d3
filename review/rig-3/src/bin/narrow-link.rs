//! The link of the placer narrows, and packets wait on it. Then a runner says that it leaves.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use review_rig_3::daemon::Daemon;
use review_rig_3::http;
use review_rig_3::link::{self, LinkWait};
use review_rig_3::record::Record;
use review_rig_3::runner::Runner;
use review_rig_3::store::Store;

const KEY: &str = "key-1";
/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time for which the link is narrow, and the growth of what packets wait on it: it gets 1.45 times what
/// it can carry.
const SQUEEZE: Duration = Duration::from_millis(5_400);
const GROWTH: f64 = 0.45;
/// Time after the start of the squeeze at which the runner leaves.
const LEAVING: Duration = Duration::from_millis(1_750);
/// Time from the start of the squeeze in which requests are sent, and the pause of a client between two.
const SENDING: Duration = Duration::from_millis(7_000);
const PAUSE: Duration = Duration::from_millis(100);
/// Time by which an arrival may look late for reasons of this machine.
const SLACK: Duration = Duration::from_millis(50);

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"checks\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/checks/\",\"type\":\"safe\",\"timeout_ms\":10000,\"slo_ms\":150,\
         \"priority\":2,\"service\":\"order-app\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"order-app\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"school\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn send(daemon: &Daemon, id: &str, record: &Record) -> u16 {
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("Host", "shop.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", "10000"),
        ("Authorization", authorization.as_str()),
    ];
    let limit = Duration::from_millis(11_000);
    let answer = http::call(daemon.clients, "GET /checks/1 HTTP/1.1", &headers, limit);
    record.add(&format!(
        "{}: request {id}: {} {}",
        daemon.host, answer.status, answer.error
    ));
    answer.status
}

fn run(folder: &Path, record: &Record, squeeze: bool) -> Option<bool> {
    let store = Store::default();
    store.write("config", "main", Some(&config(7)));
    let runners: Vec<Runner> = (0..2)
        .map(|number| Runner::start(&format!("i-{number}"), record))
        .collect();
    for runner in &runners {
        let entry = runner.entry("order-app", "zone-a", "ready");
        store.write("servers", &runner.id, Some(&entry));
    }
    let hosts = [
        ("edge-1", "zone-a"),
        ("edge-2", "zone-b"),
        ("edge-3", "zone-c"),
        ("edge-4", "zone-a"),
        ("edge-5", "zone-b"),
        ("edge-6", "zone-c"),
    ];
    let mut daemons = hosts.map(|(host, zone)| Daemon::prepare(folder, host, zone));
    // The strongest machine becomes the placer, and all its traffic passes its link.
    daemons[0].cpu_share = 0.5;
    let wait = LinkWait::default();
    let path = store.listen().address;
    let placer_path = link::open(path, &wait);
    let placer_peers = link::open(daemons[0].peers, &wait);
    store.lead_over(daemons[0].peers, placer_peers);
    let seeds = [placer_peers, daemons[1].peers, daemons[2].peers];
    for daemon in &mut daemons {
        daemon.bounds_ms = (3_000, 3_000, 4_000);
    }
    for (number, daemon) in daemons.iter_mut().enumerate() {
        let path = if number == 0 { placer_path } else { path };
        daemon.write_settings(path, &seeds, 8);
        daemon.start().ok()?;
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(10)) {
            record.add(&format!("{} isn't ready: {}", daemon.host, daemon.log()));
            return None;
        }
    }
    thread::sleep(Duration::from_secs(8));
    for daemon in &daemons[1..] {
        for number in 0..5 {
            let id = format!("before-{}-{number}", daemon.host);
            if send(daemon, &id, record) != 200 {
                return None;
            }
        }
    }
    let leaving = &runners[0];
    let began_at = Instant::now();
    let ended = AtomicBool::new(false);
    let mut acknowledged_at = None;
    thread::scope(|scope| {
        let ended = &ended;
        for client in 0..40 {
            let daemon = &daemons[1 + client % 5];
            scope.spawn(move || {
                let mut number = 0;
                thread::sleep(Duration::from_millis(client as u64 * 5));
                while !ended.load(Ordering::SeqCst) {
                    send(daemon, &format!("c{client}-{number}"), record);
                    number += 1;
                    thread::sleep(PAUSE);
                }
            });
        }
        if squeeze {
            record.add("the link of edge-1 narrows");
        }
        while began_at.elapsed() < SENDING {
            let time = began_at.elapsed();
            let now = time.mul_f64(GROWTH);
            wait.set(if squeeze && time < SQUEEZE {
                now
            } else {
                Duration::ZERO
            });
            if acknowledged_at.is_none() && time > LEAVING {
                let entry = leaving.entry("order-app", "zone-a", "draining");
                store.write("servers", &leaving.id, Some(&entry));
                acknowledged_at = Some(Instant::now());
                record.add(&format!("{} is draining: acknowledged", leaving.id));
            }
            thread::sleep(Duration::from_millis(20));
        }
        ended.store(true, Ordering::SeqCst);
    });
    let acknowledged_at = acknowledged_at?;
    let runs = leaving.runs.lock().ok()?;
    let late = runs
        .iter()
        .filter(|run| run.at > acknowledged_at + DRAIN + SLACK);
    let late = late.count();
    let last = runs
        .last()
        .map(|run| run.at.saturating_duration_since(acknowledged_at));
    record.add(&format!(
        "{} ran {late} requests later than {DRAIN:?} after the ack, the last one {last:?} after it",
        leaving.id
    ));
    Some(late == 0)
}

fn main() -> ExitCode {
    let case = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let trouble = env::var("TROUBLE").unwrap_or_default();
    // `loss` and `silence` leave out the other disruption, to tell them apart.
    let folder = env::temp_dir().join(format!("review-3-narrow-link-{}", std::process::id()));
    let Ok(record) = Record::create(&Path::new(&case).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let result = match fs::create_dir_all(&folder) {
        Ok(()) => run(&folder, &record, trouble != "0"),
        Err(_) => None,
    };
    let _ = fs::remove_dir_all(&folder);
    let (code, text) = match result {
        Some(true) => (0, "the rule held"),
        Some(false) => (1, "the rule was broken"),
        None => (2, "the case could not run"),
    };
    record.add(text);
    println!("{text}");
    ExitCode::from(code)
}
