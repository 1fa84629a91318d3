//! Settings that the platform renders from the template, with fields for which it has no value.

use std::io::Write;

use fakes::fleet;
use fakes::process;
use platform_fakes::store::FakeObjectStore;
use serde_json::Value;
use serde_json::json;

use crate::support;
use crate::support::PROGRAM;
use crate::support::RunningDaemon;

const TEMPLATE: &str = include_str!("../../../../platform/settings.yaml.tmpl");

/// Fields without which a daemon can't run, and the settings that need them.
const NEEDED: [(&str, &str); 8] = [
    ("node_name", "host"),
    ("zone", "data_centre"),
    ("listen.frontend", "callers"),
    ("listen.readiness", "readiness"),
    ("listen.control", "peers"),
    ("ip", "metrics"),
    ("internal_ports.0", "metrics"),
    ("platform.address", "store"),
];

/// Returns the values that the platform has for a daemon.
fn fields(store: &FakeObjectStore) -> Value {
    let [callers, readiness, peers, metrics] = [(); 4].map(|()| fleet::free_address());
    json!({
        "node_name": "h1", "zone": "a", "ip": metrics.ip().to_string(),
        "internal_ports": [metrics.port()], "seeds": [], "heartbeat_ms": 1_200,
        "listen": {"frontend": callers, "readiness": readiness, "control": peers},
        "platform": {"address": store.address()},
        "limits": {"cpu_share": 0.25, "memory_mb": 260},
        "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10,
            "budget_extra_retries": 106, "cold_overage": 1.5, "cold_slack": 5,
            "config_apply_ms": 2_000, "drain_ms": 2_000, "evacuate_ms": 5_000,
            "contact_ms": 3_000},
    })
}

/// Returns a field by its path; `None` if there is no value.
fn field<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    let pointer = format!("/{}", path.replace('.', "/"));
    fields.pointer(&pointer).filter(|value| !value.is_null())
}

/// Returns the paths of all fields that the template uses.
fn used_fields() -> Vec<&'static str> {
    let tags = TEMPLATE.split("{{").skip(1);
    let tags = tags.filter_map(|rest| rest.split_once("}}"));
    let tags = tags.filter(|(tag, _)| !tag.starts_with(['#', '/']));
    let mut paths: Vec<&str> = tags.map(|(tag, _)| tag.trim_end_matches("|json")).collect();
    paths.sort_unstable();
    paths.dedup();
    paths
}

/// Renders the template as the platform does.
fn render(fields: &Value) -> String {
    let mut text = String::new();
    let mut rest = TEMPLATE;
    while let Some((before, tagged)) = rest.split_once("{{") {
        text.push_str(before);
        let (tag, after) = tagged.split_once("}}").unwrap();
        rest = after;
        if let Some(path) = tag.strip_prefix('#') {
            let end = format!("{{{{/{path}}}}}");
            if field(fields, path).is_none() {
                rest = rest.split_once(&end).unwrap().1;
            }
        } else if !tag.starts_with('/') {
            let value = field(fields, tag.trim_end_matches("|json"));
            match value {
                Some(Value::String(value)) if !tag.ends_with("|json") => text.push_str(value),
                Some(value) => text.push_str(&value.to_string()),
                None => {}
            }
        }
    }
    text + rest
}

fn remove(fields: &mut Value, path: &str) {
    let pointer = format!("/{}", path.replace('.', "/"));
    *fields.pointer_mut(&pointer).unwrap() = Value::Null;
}

/// Starts a daemon with a settings file, and returns it with its log.
fn start(settings: &tempfile::NamedTempFile) -> (process::TestProcess, tempfile::NamedTempFile) {
    let log = tempfile::NamedTempFile::new().unwrap();
    let settings = settings.path().display().to_string();
    let args = ["--behind-platform", "--settings", &settings];
    let daemon = process::TestProcess::start(PROGRAM, args, log.path()).unwrap();
    (daemon, log)
}

// Guards against a daemon that ends as the platform has no value for a field that has a default.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_starts_without_any_field_that_has_a_default() {
    let store = FakeObjectStore::start().await;
    store.put(
        "config",
        "main",
        support::config(1, &support::default_routes()),
    );
    for path in used_fields() {
        if NEEDED.iter().any(|(needed, _)| *needed == path) {
            continue;
        }
        let mut fields = fields(&store);
        remove(&mut fields, path);
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(render(&fields).as_bytes()).unwrap();
        let (mut daemon, _log) = start(&file);
        let readiness = fields["listen"]["readiness"].as_str().unwrap();
        let readiness = readiness.parse().unwrap();
        RunningDaemon::wait_for(&format!("readiness without {path}"), || {
            assert!(!daemon.has_ended(), "ended without {path}");
            support::send_request(readiness, "GET /-/readyz HTTP/1.1", &[]).status == 200
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_field_without_a_default_is_named() {
    let store = FakeObjectStore::start().await;
    for (path, name) in NEEDED {
        assert!(used_fields().contains(&path), "{path}");
        let mut fields = fields(&store);
        remove(&mut fields, path);
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(render(&fields).as_bytes()).unwrap();
        let (mut daemon, log) = start(&file);
        RunningDaemon::wait_for(&format!("the end without {path}"), || daemon.has_ended());
        let text = std::fs::read_to_string(log.path()).unwrap();
        assert!(text.contains(name), "{path}: {text}");
    }
}
