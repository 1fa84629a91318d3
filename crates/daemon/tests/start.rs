//! Startup with invalid settings.

use std::process;

fn run(settings: &str) -> process::Output {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), settings).unwrap();
    process::Command::new(env!("CARGO_BIN_EXE_sardinepaddled"))
        .arg("--settings")
        .arg(file.path())
        .output()
        .unwrap()
}

#[test]
fn unknown_key_is_reported_by_name() {
    let output = run("host: a1\nhots: a2\n");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("hots"), "{text}");
}

#[test]
fn all_errors_are_reported_together_with_their_position() {
    let output = run("host: a1\nlog: { levle: info }\nlimits: { connections: none }\n");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in [
        "did you mean level?",
        ":2:8]",
        "must be a whole number",
        ":3:24]",
        "key listen is missing",
    ] {
        assert!(text.contains(part), "{part}\n{text}");
    }
}

#[test]
fn missing_file_is_reported_with_its_path() {
    let output = process::Command::new(env!("CARGO_BIN_EXE_sardinepaddled"))
        .args(["--settings", "/nonexistent/settings.yaml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("settings.yaml"), "{text}");
}
