//! Commands that work on files: `init`, `check`, `completions`.

mod support;

use std::fs;
use std::process;

/// The deployments whose answers and configuration are kept.
const EXAMPLES: [&str; 2] = ["zaatar", "blue-mahoe"];
/// Shells whose completions are kept.
const SHELLS: [&str; 3] = ["bash", "fish", "zsh"];

fn path_text(name: &str) -> String {
    support::repository(name).display().to_string()
}

fn read(name: &str) -> String {
    fs::read_to_string(support::repository(name)).unwrap()
}

fn temporary(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    fs::write(file.path(), text).unwrap();
    file
}

fn check(text: &str, args: &[&str]) -> support::ProgramEnd {
    let file = temporary(text);
    let path = file.path().display().to_string();
    let all = [&["check", path.as_str()], args].concat();
    support::run(&all)
}

#[test]
fn examples_are_generated_from_their_answers() {
    for name in EXAMPLES {
        let answers = path_text(&format!("examples/{name}.answers.yaml"));
        let end = support::run(&["init", "--answers", &answers]);
        assert_eq!(end.code, 0, "{end:?}");
        assert_eq!(end.stdout, read(&format!("examples/{name}.yaml")), "{name}");
    }
}

#[test]
fn examples_have_no_fault() {
    for name in EXAMPLES {
        for file in [
            format!("examples/{name}.yaml"),
            format!("examples/{name}.answers.yaml"),
        ] {
            let end = support::run(&["check", &path_text(&file)]);
            assert_eq!(end.code, 0, "{end:?}");
        }
    }
}

#[test]
fn examples_have_the_sizes_of_the_deployments() {
    let sizes = [
        ("zaatar", "lunch-llm", 20, "order-app"),
        ("blue-mahoe", "stockdesk-lm", 15, "stockdesk-app"),
    ];
    for (name, model, runners, plain) in sizes {
        let text = read(&format!("examples/{name}.yaml"));
        let fleet = settings::check::config(name, &text).unwrap();
        let count = |service: &str| {
            let endpoints = fleet.endpoints.values();
            endpoints
                .filter(|entry| entry.service.as_str() == service)
                .count()
        };
        assert_eq!((count(model), count(plain)), (runners, 3));
        assert_eq!(fleet.data_centres.len(), 3);
        assert_eq!(fleet.customers.len(), 10);
    }
}

#[test]
fn init_without_terminal_or_answers_is_misuse() {
    let end = support::run(&["init"]);
    assert_eq!(end.code, 2, "{end:?}");
    assert!(end.stderr.contains("--answers"), "{end:?}");
}

#[test]
fn init_refuses_faulty_answers() {
    let text = read("examples/zaatar.answers.yaml").replace("POST /orders", "POTS /orders");
    let file = temporary(&text);
    let end = support::run(&["init", "--answers", &file.path().display().to_string()]);
    assert_eq!(end.code, 1, "{end:?}");
    assert!(
        end.stderr.contains("must be a method and a path"),
        "{end:?}"
    );
}

#[test]
fn completions_are_up_to_date() {
    for shell in SHELLS {
        let end = support::run(&["completions", shell]);
        assert_eq!(end.code, 0, "{end:?}");
        let kept = read(&format!("completions/sardinepaddle.{shell}"));
        let renew = format!(
            "cargo run --bin sardinepaddle -- completions {shell} > completions/sardinepaddle.{shell}"
        );
        assert!(end.stdout == kept, "out of date; renew by: {renew}");
    }
}

#[test]
fn check_shows_every_fault_with_its_place() {
    let text = "
data_centres:
  kgn-a: { regoin: jm-south }
customers:
  depot-1: { weight: 0 }
services:
  app:
    kind: { type: plain, path_prefix: /stock }
  other:
    kind: { type: plain, path_prefix: /stock/x }
  lm:
    kind: { type: model, model: lm }
    non_idempotent: [{ method: post, path: orders }]
endpoints:
  a: { service: ap, data_centre: kgn-a, address: '10.0.0.1:1', slots: 0 }
  b: { service: app, data_centre: kgn-z, address: '10.0.0.1:1', slots: 2, cold_slots: 4 }
  c: { service: app, data_centre: kgn-a, address: nowhere }
polcy: {}
";
    let end = check(text, &[]);
    assert_eq!(end.code, 1, "{end:?}");
    let wanted = [
        ("unknown key regoin", 3),
        ("did you mean region?", 3),
        ("key region is missing", 3),
        ("must be a whole number from 1 to 4294967295", 5),
        ("path prefix /stock/x overlaps /stock of service app", 10),
        ("calls of a model cannot be non-idempotent", 13),
        ("must be one of DELETE, GET, HEAD", 13),
        ("must be a path, as in /orders", 13),
        ("there is no service ap", 15),
        ("did you mean app?", 15),
        ("there is no data centre kgn-z", 16),
        ("address 10.0.0.1:1 is already used by a", 16),
        ("cold_slots (4) is more than slots (2)", 16),
        ("must be an IP address and a port", 17),
        ("unknown key polcy", 18),
        ("did you mean policy?", 18),
    ];
    for (message, line) in wanted {
        assert!(end.stderr.contains(message), "{message}\n{}", end.stderr);
        assert!(
            end.stderr.contains(&format!(":{line}:")),
            "line {line}\n{}",
            end.stderr
        );
    }
    assert!(end.stderr.contains("14 error(s)"), "{}", end.stderr);
}

#[test]
fn check_knows_settings_of_a_daemon() {
    let text = "
host: a1
data_centre: amman-marka
listen: { callers: '127.0.0.1:1', peers: '127.0.0.1:1', admin: 127.0.0.1 }
platform: { object_api: '127.0.0.1:2' }
limits: { body_bytes: 10, body_pool_bytes: 5 }
log: { level: inof }
";
    let end = check(text, &[]);
    assert_eq!(end.code, 1, "{end:?}");
    for message in [
        "address 127.0.0.1:1 is already used by callers",
        "must be an IP address and a port",
        "key host_list is missing",
        "body_bytes (10) is more than body_pool_bytes (5)",
        "did you mean info?",
    ] {
        assert!(end.stderr.contains(message), "{message}\n{}", end.stderr);
    }
    assert!(end.stderr.contains("5 error(s)"), "{}", end.stderr);
}

#[test]
fn check_refuses_what_is_no_yaml_or_no_file() {
    let end = check("a: [", &[]);
    assert_eq!(end.code, 1, "{end:?}");
    assert!(end.stderr.contains("not valid YAML"), "{end:?}");
    let end = check("a: 1\na: 2\n", &[]);
    assert_eq!(end.code, 1, "{end:?}");
    let end = check("", &["--as", "daemon"]);
    assert_eq!(end.code, 1, "{end:?}");
    let end = support::run(&["check", "/nonexistent/fleet.yaml"]);
    assert_eq!(end.code, 1, "{end:?}");
    let end = support::run(&["check"]);
    assert_eq!(end.code, 2, "{end:?}");
}

#[test]
fn help_of_every_command_shows_examples() {
    for command in [
        "apply",
        "audit",
        "check",
        "completions",
        "customer",
        "data-centre",
        "demo",
        "diff",
        "endpoint",
        "init",
        "service",
        "status",
    ] {
        let end = support::run(&[command, "--help"]);
        assert_eq!(end.code, 0, "{end:?}");
        assert!(end.stdout.contains("Examples:"), "{command}");
    }
    let end = support::run(&["--help"]);
    assert!(end.stdout.contains("Exit codes:"), "{end:?}");
}

#[test]
fn reader_that_stops_early_is_no_fault() {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_sardinepaddle"))
        .args(["completions", "bash"])
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{text}");
}
