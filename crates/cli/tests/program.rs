//! The program as a user meets it.

use std::process;

fn run(args: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_sardinepaddle"))
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn version_is_told() {
    let output = run(&["--version"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(
        text.trim(),
        concat!("sardinepaddle ", env!("CARGO_PKG_VERSION"))
    );
}

#[test]
fn unknown_subcommand_is_misuse() {
    let output = run(&["no-such-command"]);
    assert_eq!(output.status.code(), Some(2));
}
