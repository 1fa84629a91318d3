//! The daemon.

use std::process;

use clap::Parser;
use sardinepaddle_daemon::args;
use sardinepaddle_daemon::run;

fn main() -> process::ExitCode {
    let args = args::DaemonArgs::parse();
    match run::run(&args) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            process::ExitCode::FAILURE
        }
    }
}
