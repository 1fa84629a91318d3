//! Subcommands, one file each.

mod apply;
mod audit;
mod check;
mod completions;
mod customer;
mod data_centre;
mod demo;
mod diff;
mod endpoint;
mod init;
mod load;
mod service;
mod status;

use crate::error;

/// Operates sardinepaddle.
#[derive(Clone, Debug, clap::Parser)]
#[command(
    name = "sardinepaddle",
    version,
    after_help = "Exit codes:\n  \
        0  done\n  \
        1  failed; a change that failed so is not in force\n  \
        2  misuse\n  \
        3  lost race: another change came first, nothing of this one is in force\n  \
        4  unknown: the answer to a write was lost and could not be read back\n\n\
        Examples:\n  \
        sardinepaddle init --answers answers.yaml --output fleet.yaml\n  \
        sardinepaddle check fleet.yaml\n  \
        sardinepaddle apply fleet.yaml --object-api 10.0.0.1:9000 --host-list 10.0.0.1:9001\n  \
        sardinepaddle data-centre take-out amman-marka"
)]
pub struct CliArgs {
    #[command(subcommand)]
    command: CliCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum CliCommand {
    Apply(apply::ApplyArgs),
    Audit(audit::AuditArgs),
    Check(check::CheckArgs),
    Completions(completions::CompletionArgs),
    Customer(customer::CustomerArgs),
    DataCentre(data_centre::CentreArgs),
    Demo(demo::DemoArgs),
    Diff(diff::DiffArgs),
    Endpoint(endpoint::EndpointArgs),
    Init(init::InitArgs),
    Service(service::ServiceArgs),
    Status(status::StatusArgs),
    Load(load::LoadArgs),
}

impl CliArgs {
    /// Runs the subcommand.
    pub fn run(self) -> error::Result<()> {
        match self.command {
            CliCommand::Apply(args) => args.run(),
            CliCommand::Audit(args) => args.run(),
            CliCommand::Check(args) => args.run(),
            CliCommand::Completions(args) => args.run(),
            CliCommand::Customer(args) => args.run(),
            CliCommand::DataCentre(args) => args.run(),
            CliCommand::Demo(args) => args.run(),
            CliCommand::Diff(args) => args.run(),
            CliCommand::Endpoint(args) => args.run(),
            CliCommand::Init(args) => args.run(),
            CliCommand::Service(args) => args.run(),
            CliCommand::Status(args) => args.run(),
            CliCommand::Load(args) => args.run(),
        }
    }
}
