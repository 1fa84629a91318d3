//! Builds the daemon of an earlier commit from the repository's history.

use std::fs;
use std::path;
use std::process;
use std::sync;

use super::support;

/// The build that hosts run before they are replaced.
const COMMIT: &str = "eaa158e72eafc460e853739c3c71def2a3cbe67d";
/// Its program. The name differs from this build's, which lies in the same folder.
const PROGRAM: &str = "sardinepaddled-eaa158e";
/// Version of its crates. Cargo tells crates of two builds in one target folder apart by it.
const VERSION: &str = "0.0.1";

/// A build of the daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DaemonBuild {
    /// The build of the earlier commit.
    Earlier,
    /// The build under test.
    Current,
}

impl DaemonBuild {
    /// Returns the name of its program, which is built first if it has to be.
    pub fn program(self) -> &'static str {
        static BUILT: sync::OnceLock<()> = sync::OnceLock::new();
        match self {
            Self::Earlier => {
                BUILT.get_or_init(build);
                PROGRAM
            }
            Self::Current => support::PROGRAM,
        }
    }

    /// Returns the other build.
    pub fn other(self) -> Self {
        match self {
            Self::Earlier => Self::Current,
            Self::Current => Self::Earlier,
        }
    }
}

fn run(command: &mut process::Command) {
    let output = command.output().unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{command:?}: {errors}");
}

/// Replaces the first text in a file that must have it.
fn replace(path: &path::Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).unwrap();
    assert!(text.contains(from), "{} lacks {from:?}", path.display());
    fs::write(path, text.replacen(from, to, 1)).unwrap();
}

/// Unpacks the earlier commit below the target folder, unless it is there.
fn unpack(target: &path::Path) -> path::PathBuf {
    let sources = target.join(PROGRAM);
    if sources.is_dir() {
        return sources;
    }
    let partial = target.join(format!("{PROGRAM}.partial"));
    // A folder of a run that was interrupted.
    let _ = fs::remove_dir_all(&partial);
    fs::create_dir_all(&partial).unwrap();
    let archive = target.join(format!("{PROGRAM}.tar"));
    let repository = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let mut git = process::Command::new("git");
    run(git
        .args(["-C", repository, "archive", "--output"])
        .args([&archive])
        .arg(COMMIT));
    let mut tar = process::Command::new("tar");
    // With the present as the time of change, so that cargo builds anew what it built of others.
    run(tar.arg("-xmf").arg(&archive).arg("-C").arg(&partial));
    replace(
        &partial.join("crates/daemon/Cargo.toml"),
        "name = \"sardinepaddled\"",
        &format!("name = \"{PROGRAM}\""),
    );
    replace(
        &partial.join("Cargo.toml"),
        "version = \"0.1.0\"",
        &format!("version = \"{VERSION}\""),
    );
    fs::rename(&partial, &sources).unwrap();
    sources
}

/// Builds the program into the folder of this build's programs.
fn build() {
    let own = std::env::current_exe().unwrap();
    let profile = own.ancestors().nth(2).unwrap();
    let target = profile.parent().unwrap();
    let sources = unpack(target);
    let mut cargo = process::Command::new(env!("CARGO"));
    cargo.current_dir(&sources).env("CARGO_TARGET_DIR", target);
    // The versions of the crates in the lock file change; those of the dependencies don't.
    cargo.args(["build", "--offline", "--bin", PROGRAM]);
    if profile.ends_with("release") {
        cargo.arg("--release");
    }
    run(&mut cargo);
}
