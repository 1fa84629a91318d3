//! `sardinepaddle endpoint`

use std::collections;
use std::net;

use model::config;
use model::ids;

use crate::change;
use crate::connect;
use crate::error;
use crate::output;

/// Create, list, take out, bring back and remove endpoints.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle endpoint create lunch-llm-21 --service lunch-llm --data-centre amman-marka --address 10.20.3.9:8000\n  sardinepaddle endpoint take-out lunch-llm-07\n  sardinepaddle endpoint list --json"
)]
pub(crate) struct EndpointArgs {
    #[command(subcommand)]
    command: EndpointCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum EndpointCommand {
    /// Create an endpoint.
    Create(Box<EndpointCreate>),
    /// List the endpoints.
    List {
        #[command(flatten)]
        output: output::OutputArgs,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
    /// Take an endpoint out: no new work, running work finishes.
    TakeOut(EndpointChange),
    /// Bring an endpoint back; it counts as cold.
    BringBack(EndpointChange),
    /// Remove an endpoint.
    Remove(EndpointChange),
}

#[derive(Clone, Debug, clap::Args)]
struct EndpointCreate {
    #[command(flatten)]
    change: EndpointChange,
    /// Service that it serves.
    #[arg(long)]
    service: String,
    /// Data centre that it stands in.
    #[arg(long)]
    data_centre: String,
    /// Address that it listens on.
    #[arg(long, value_name = "IP:PORT")]
    address: net::SocketAddr,
    /// Most requests that it runs at once when warm.
    #[arg(long)]
    slots: Option<u32>,
    /// Tokens that its memory holds (engines).
    #[arg(long)]
    memory_tokens: Option<u64>,
    /// Requests that it carries right after a cold start.
    #[arg(long)]
    cold_slots: Option<u32>,
    /// It refuses an order with an old fencing number.
    #[arg(long)]
    checks_orders: bool,
}

#[derive(Clone, Debug, clap::Args)]
struct EndpointChange {
    /// Its name.
    name: String,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

type EndpointTable = collections::BTreeMap<ids::EndpointId, config::EndpointEntry>;

impl EndpointArgs {
    pub fn run(self) -> error::Result<()> {
        match self.command {
            EndpointCommand::Create(create) => {
                let entry = create.entry();
                let change = create.change;
                change.run("create", |table, id| change::insert(table, id, entry))
            }
            EndpointCommand::List { output, connect } => {
                let access = connect.open()?;
                let current = connect::block_on(async { Ok(access.writer.read().await?) })?;
                output.print(&current.object.config.endpoints, lines)
            }
            EndpointCommand::TakeOut(change) => change.run("take-out", |table, id| {
                change::find(table, &id)?.state = config::ServiceState::TakenOut;
                Ok(())
            }),
            EndpointCommand::BringBack(change) => change.run("bring-back", |table, id| {
                change::find(table, &id)?.state = config::ServiceState::InService;
                Ok(())
            }),
            EndpointCommand::Remove(change) => {
                change.run("remove", |table, id| change::remove(table, &id))
            }
        }
    }
}

impl EndpointCreate {
    fn entry(&self) -> config::EndpointEntry {
        let mut entry = config::EndpointEntry::new(
            ids::ServiceId::new(&self.service),
            ids::CentreId::new(&self.data_centre),
            self.address,
        );
        entry.slots = self.slots.unwrap_or(entry.slots);
        entry.memory_tokens = self.memory_tokens.unwrap_or(entry.memory_tokens);
        entry.cold_slots = self.cold_slots.unwrap_or(entry.cold_slots);
        entry.checks_orders = self.checks_orders;
        entry
    }
}

impl EndpointChange {
    fn run(
        self,
        verb: &str,
        edit: impl FnOnce(&mut EndpointTable, ids::EndpointId) -> error::Result<()>,
    ) -> error::Result<()> {
        let access = self.connect.open()?;
        let id = ids::EndpointId::new(&self.name);
        let what = format!("endpoint {verb} {id}");
        connect::block_on(change::run(&access, &what, |config| {
            edit(&mut config.endpoints, id)
        }))
    }
}

fn lines(endpoints: &EndpointTable) -> String {
    let rows = endpoints.iter().map(|(name, entry)| {
        [
            name.to_string(),
            entry.service.to_string(),
            entry.data_centre.to_string(),
            entry.address.to_string(),
            entry.slots.to_string(),
            output::word(&entry.state),
        ]
    });
    let head = [
        "endpoint",
        "service",
        "data centre",
        "address",
        "slots",
        "state",
    ];
    output::table(head, rows)
}
