//! The operators' command.

use std::process;

use clap::Parser;
use sardinepaddle_cli::cmd;

fn main() -> process::ExitCode {
    match cmd::CliArgs::parse().run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            code
        }
    }
}
