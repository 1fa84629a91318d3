//! Stand-ins as processes of their own.

use std::process;

use clap::Parser;
use sardinepaddle_fakes::args;

fn main() -> process::ExitCode {
    match args::FakeArgs::parse().run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
