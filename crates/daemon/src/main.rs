//! Entry point of the daemon.

use std::process;

use clap::Parser;
use sardinepaddle_daemon::args;
use sardinepaddle_daemon::run;

fn main() -> process::ExitCode {
    let args = args::DaemonArgs::parse();
    let result = match args.behind_platform {
        true => gateway::run::run(&args.settings).map_err(miette::Report::new),
        false => run::run(&args).map_err(miette::Report::new),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            process::ExitCode::FAILURE
        }
    }
}
