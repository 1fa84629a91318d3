//! Connections to the store go silent. Later the two machines that watch the store for all lose power
//! at the same moment, and a runner says that it leaves.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use review_rig_3::daemon::{Daemon, SIGSTOP};
use review_rig_3::http;
use review_rig_3::record::Record;
use review_rig_3::runner::Runner;
use review_rig_3::store::Store;

const KEY: &str = "key-1";
/// `drain_ms` and `contact_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time after the loss in which requests are sent, and the pause between two.
const SENDING: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(10);
/// Time by which an arrival may look late for reasons of this machine.
const SLACK: Duration = Duration::from_millis(50);

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"checks\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/checks/\",\"type\":\"safe\",\"timeout_ms\":1000,\"slo_ms\":150,\
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
        ("X-Deadline-Ms", "1000"),
        ("Authorization", authorization.as_str()),
    ];
    let limit = Duration::from_millis(1_500);
    let answer = http::call(daemon.clients, "GET /checks/1 HTTP/1.1", &headers, limit);
    record.add(&format!(
        "{}: request {id}: {} {}",
        daemon.host, answer.status, answer.error
    ));
    answer.status
}

fn run(folder: &Path, record: &Record, silence: bool, loss: bool) -> Option<bool> {
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
    ];
    let mut daemons = hosts.map(|(host, zone)| Daemon::prepare(folder, host, zone));
    let seeds: Vec<_> = daemons.iter().take(3).map(|daemon| daemon.peers).collect();
    // Each machine has a path to the store of its own.
    let paths = [(); 4].map(|()| store.listen());
    for (daemon, path) in daemons.iter_mut().zip(&paths) {
        daemon.write_settings(path.address, &seeds, 8);
        daemon.start().ok()?;
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(10)) {
            return None;
        }
    }
    thread::sleep(Duration::from_secs(4));

    // The machines that make no calls follow the other two.
    let before = [0, 1, 2, 3].map(|number: usize| paths[number].calls());
    thread::sleep(Duration::from_secs(3));
    let calls = [0, 1, 2, 3].map(|number: usize| paths[number].calls() - before[number]);
    record.add(&format!("calls to the store in 3 s: {calls:?}"));
    let idle: Vec<usize> = (0..4).filter(|number| calls[*number] == 0).collect();
    if idle.len() != 2 {
        record.add("not exactly two machines make no calls");
        return None;
    }
    if silence {
        for number in &idle {
            paths[*number].silence();
            record.add(&format!(
                "the open connections of {} to the store go silent; new ones work",
                daemons[*number].host
            ));
        }
    }
    thread::sleep(CONTACT + Duration::from_secs(3));
    for rest in &idle {
        for number in 0..10 {
            if send(&daemons[*rest], &format!("before-{rest}-{number}"), record) != 200 {
                return None;
            }
        }
    }
    // Usual changes: a new version, and a runner that writes its entry.
    store.write("config", "main", Some(&config(9)));
    let leaving = &runners[0];
    let other = &runners[1];
    let entry = other.entry("order-app", "zone-a", "ready");
    let entry = entry.replace("\"cold_left_ms\":0", "\"cold_left_ms\":1");
    store.write("servers", &other.id, Some(&entry));
    thread::sleep(Duration::from_millis(400));
    if loss {
        for (number, daemon) in daemons.iter().enumerate() {
            if !idle.contains(&number) {
                daemon.signal(SIGSTOP);
                record.add(&format!(
                    "{} loses power and answers nothing more",
                    daemon.host
                ));
            }
        }
    }
    let entry = leaving.entry("order-app", "zone-a", "draining");
    store.write("servers", &leaving.id, Some(&entry));
    let acknowledged_at = Instant::now();
    record.add(&format!("{} is draining: acknowledged", leaving.id));
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let ended = &ended;
        for client in 0..4 {
            let daemon = &daemons[idle[client % 2]];
            scope.spawn(move || {
                let mut number = 0;
                while !ended.load(Ordering::SeqCst) {
                    send(daemon, &format!("c{client}-{number}"), record);
                    number += 1;
                    thread::sleep(PAUSE);
                }
            });
        }
        thread::sleep(SENDING);
        ended.store(true, Ordering::SeqCst);
    });
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
    let (silence, loss) = match trouble.as_str() {
        "0" => (false, false),
        "loss" => (false, true),
        "silence" => (true, false),
        _ => (true, true),
    };
    let folder = env::temp_dir().join(format!("review-3-lost-watchers-{}", std::process::id()));
    let Ok(record) = Record::create(&Path::new(&case).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let result = match fs::create_dir_all(&folder) {
        Ok(()) => run(&folder, &record, silence, loss),
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
