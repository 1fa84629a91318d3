//! `sardinepaddle data-centre`

use std::collections;

use model::config;
use model::ids;

use crate::change;
use crate::connect;
use crate::error;
use crate::output;

/// Create, list, take out, bring back and remove data centres.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle data-centre take-out amman-marka\n  sardinepaddle data-centre bring-back amman-marka\n  sardinepaddle data-centre list --json"
)]
pub(crate) struct CentreArgs {
    #[command(subcommand)]
    command: CentreCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum CentreCommand {
    /// Create a data centre.
    Create {
        /// Its name.
        name: String,
        /// Region that it lies in.
        #[arg(long)]
        region: String,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
    /// List the data centres.
    List {
        #[command(flatten)]
        output: output::OutputArgs,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
    /// Take a data centre out: no new work, running work finishes.
    TakeOut(CentreChange),
    /// Bring a data centre back; its endpoints count as cold.
    BringBack(CentreChange),
    /// Remove a data centre without endpoints.
    Remove(CentreChange),
}

#[derive(Clone, Debug, clap::Args)]
struct CentreChange {
    /// Its name.
    name: String,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

type CentreTable = collections::BTreeMap<ids::CentreId, config::CentreEntry>;

impl CentreArgs {
    pub fn run(self) -> error::Result<()> {
        match self.command {
            CentreCommand::Create {
                name,
                region,
                connect,
            } => {
                let change = CentreChange { name, connect };
                change.run("create", |table, id| {
                    let state = config::ServiceState::InService;
                    let entry = config::CentreEntry { region, state };
                    change::insert(table, id, entry)
                })
            }
            CentreCommand::List { output, connect } => {
                let access = connect.open()?;
                let current = connect::block_on(async { Ok(access.writer.read().await?) })?;
                output.print(&current.object.config.data_centres, lines)
            }
            CentreCommand::TakeOut(change) => change.run("take-out", |table, id| {
                change::find(table, &id)?.state = config::ServiceState::TakenOut;
                Ok(())
            }),
            CentreCommand::BringBack(change) => change.run("bring-back", |table, id| {
                change::find(table, &id)?.state = config::ServiceState::InService;
                Ok(())
            }),
            CentreCommand::Remove(change) => {
                change.run("remove", |table, id| change::remove(table, &id))
            }
        }
    }
}

impl CentreChange {
    fn run(
        self,
        verb: &str,
        edit: impl FnOnce(&mut CentreTable, ids::CentreId) -> error::Result<()>,
    ) -> error::Result<()> {
        let access = self.connect.open()?;
        let id = ids::CentreId::new(&self.name);
        let what = format!("data-centre {verb} {id}");
        connect::block_on(change::run(&access, &what, |config| {
            edit(&mut config.data_centres, id)
        }))
    }
}

fn lines(centres: &CentreTable) -> String {
    let rows = centres.iter().map(|(name, entry)| {
        [
            name.to_string(),
            entry.region.clone(),
            output::word(&entry.state),
        ]
    });
    output::table(["data centre", "region", "state"], rows)
}
