//! Subcommands, one file each.

mod demo;
mod load;

use crate::error;

/// Operates sardinepaddle.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "sardinepaddle", version)]
pub struct CliArgs {
    #[command(subcommand)]
    command: CliCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum CliCommand {
    Demo(demo::DemoArgs),
    Load(load::LoadArgs),
}

impl CliArgs {
    /// Runs the subcommand.
    pub fn run(self) -> error::Result<()> {
        match self.command {
            CliCommand::Demo(args) => args.run(),
            CliCommand::Load(args) => args.run(),
        }
    }
}
