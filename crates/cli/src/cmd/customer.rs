//! `sardinepaddle customer`

use std::collections;

use model::config;
use model::ids;

use crate::change;
use crate::connect;
use crate::error;
use crate::output;

/// Create, list and remove customers.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle customer create school-11 --weight 4\n  sardinepaddle customer list --json"
)]
pub(crate) struct CustomerArgs {
    #[command(subcommand)]
    command: CustomerCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum CustomerCommand {
    /// Create a customer.
    Create {
        /// Its name, as callers send it.
        name: String,
        /// Weight of its fair share.
        #[arg(long, default_value_t = config::CustomerEntry::default().weight)]
        weight: u32,
        /// Most requests in flight at one daemon.
        #[arg(long, default_value_t = config::CustomerEntry::default().max_in_flight)]
        max_in_flight: u32,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
    /// List the customers.
    List {
        #[command(flatten)]
        output: output::OutputArgs,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
    /// Remove a customer; its requests are refused from then on.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
}

type CustomerTable = collections::BTreeMap<ids::CustomerId, config::CustomerEntry>;

impl CustomerArgs {
    pub fn run(self) -> error::Result<()> {
        match self.command {
            CustomerCommand::Create {
                name,
                weight,
                max_in_flight,
                connect,
            } => {
                let entry = config::CustomerEntry {
                    weight,
                    max_in_flight,
                };
                let access = connect.open()?;
                let what = format!("customer create {name}");
                connect::block_on(change::run(&access, &what, |config| {
                    change::insert(&mut config.customers, ids::CustomerId::new(&name), entry)
                }))
            }
            CustomerCommand::List { output, connect } => {
                let access = connect.open()?;
                let current = connect::block_on(async { Ok(access.writer.read().await?) })?;
                output.print(&current.object.config.customers, lines)
            }
            CustomerCommand::Remove { name, connect } => {
                let access = connect.open()?;
                let what = format!("customer remove {name}");
                connect::block_on(change::run(&access, &what, |config| {
                    change::remove(&mut config.customers, &ids::CustomerId::new(&name))
                }))
            }
        }
    }
}

fn lines(customers: &CustomerTable) -> String {
    let rows = customers.iter().map(|(name, entry)| {
        [
            name.to_string(),
            entry.weight.to_string(),
            entry.max_in_flight.to_string(),
        ]
    });
    output::table(["customer", "weight", "max in flight"], rows)
}
