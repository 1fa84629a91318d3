//! The store moves to another address, the settings files of the daemons name the new one, and then
//! a key is taken away.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, thread};

use review_rig_3::daemon::{Daemon, SIGHUP};
use review_rig_3::http::{self, Answer};
use review_rig_3::record::Record;
use review_rig_3::runner::Runner;
use review_rig_3::store::Store;

const KEPT_KEY: &str = "key-that-stays";
const TAKEN_KEY: &str = "key-that-goes";
/// `contact_ms` and `config_apply_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time beyond the bounds.
const MARGIN: Duration = Duration::from_millis(3_000);
const REQUESTS: usize = 10;

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"orders\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/orders/\",\"type\":\"unsafe\",\"timeout_ms\":1000,\"slo_ms\":150,\
         \"priority\":2,\"service\":\"order-app\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"order-app\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"school\",\"api_keys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

fn send(daemon: &Daemon, key: &str, id: &str, record: &Record) -> Answer {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("Host", "shop.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", "1000"),
        ("Authorization", authorization.as_str()),
        ("Content-Length", "0"),
    ];
    let limit = Duration::from_millis(1_000);
    let answer = http::call(daemon.clients, "POST /orders/1 HTTP/1.1", &headers, limit);
    record.add(&format!(
        "{}: request {id} with {key}: {} {}",
        daemon.host, answer.status, answer.error
    ));
    answer
}

fn run(folder: &Path, record: &Record, trouble: bool) -> Option<bool> {
    let store = Store::default();
    let first = store.listen();
    store.write("config", "main", Some(&config(7, &[KEPT_KEY, TAKEN_KEY])));
    let runners: Vec<Runner> = (0..3)
        .map(|number| Runner::start(&format!("i-{number}"), record))
        .collect();
    for runner in &runners {
        let entry = runner.entry("order-app", "zone-a", "ready");
        store.write("servers", &runner.id, Some(&entry));
    }
    let hosts = ["edge-1", "edge-2"];
    let mut daemons = hosts.map(|host| Daemon::prepare(folder, host, "zone-a"));
    let seeds = [daemons[0].peers, daemons[1].peers];
    for daemon in &mut daemons {
        daemon.write_settings(first.address, &seeds, 8);
        daemon.start().ok()?;
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(10)) {
            return None;
        }
    }
    thread::sleep(Duration::from_secs(2));
    for daemon in &daemons {
        let (kept, taken) = (format!("{}-a", daemon.host), format!("{}-b", daemon.host));
        if send(daemon, KEPT_KEY, &kept, record).status != 200
            || send(daemon, TAKEN_KEY, &taken, record).status != 200
        {
            return None;
        }
    }

    let second = store.listen();
    if trouble {
        record.add(&format!("the store is served at {} too", second.address));
        for daemon in &daemons {
            daemon.write_settings(second.address, &seeds, 8);
        }
        daemons[0].signal(SIGHUP);
        record.add("both settings files name the new address; edge-1 gets SIGHUP");
        // Each daemon looks at its file once a second.
        thread::sleep(Duration::from_secs(3));
        first.close();
        record.add(&format!(
            "the store is no longer served at {}",
            first.address
        ));
    }
    thread::sleep(CONTACT + MARGIN);
    store.write("config", "main", Some(&config(9, &[KEPT_KEY])));
    record.add(&format!("version 9, without {TAKEN_KEY}, is acknowledged"));
    thread::sleep(CONFIG_APPLY + MARGIN);

    let mut held = true;
    for number in 0..REQUESTS {
        for daemon in &daemons {
            let id = format!("{}-{number}-taken", daemon.host);
            send(daemon, TAKEN_KEY, &id, record);
            if runners.iter().any(|runner| runner.has_run(&id)) {
                held = false;
                record.add(&format!("CONFIG: {id} ran with a key that was taken away"));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    for daemon in &daemons {
        for line in daemon.log().lines() {
            if line.contains("settings reloaded") || line.contains("store unreachable") {
                record.add(&format!("log of {}: {line}", daemon.host));
            }
        }
    }
    Some(held)
}

fn main() -> ExitCode {
    let case = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::temp_dir().join(format!("review-3-moved-store-{}", std::process::id()));
    let Ok(record) = Record::create(&Path::new(&case).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let result = match fs::create_dir_all(&folder) {
        Ok(()) => run(&folder, &record, trouble),
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
