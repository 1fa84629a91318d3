//! `sardinepaddle service`

use std::collections;

use model::config;
use model::ids;
use settings::generate;

use crate::change;
use crate::connect;
use crate::error;
use crate::output;

/// Time that a request may take if nothing is said, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Bytes of prompt text counted as one token if nothing is said.
const DEFAULT_BYTES_PER_TOKEN: u32 = 4;

/// Create, list and remove services.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Examples:\n  sardinepaddle service create lunch-llm --model lunch-1\n  sardinepaddle service create order-app --path-prefix /orders --non-idempotent 'POST /orders'\n  sardinepaddle service list --json"
)]
pub(crate) struct ServiceArgs {
    #[command(subcommand)]
    command: ServiceCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum ServiceCommand {
    /// Create a service: a model or a plain service.
    Create(Box<ServiceCreate>),
    /// List the services.
    List {
        #[command(flatten)]
        output: output::OutputArgs,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
    /// Remove a service without endpoints.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        connect: connect::ConnectArgs,
    },
}

#[derive(Clone, Debug, clap::Args)]
struct ServiceCreate {
    /// Its name.
    name: String,
    #[command(flatten)]
    kind: KindArgs,
    /// Bytes of prompt text counted as one token (models).
    #[arg(long, default_value_t = DEFAULT_BYTES_PER_TOKEN, conflicts_with = "path_prefix")]
    bytes_per_token: u32,
    /// Time that a request may take, in milliseconds.
    #[arg(long, default_value_t = DEFAULT_TIMEOUT_MS)]
    timeout_ms: u64,
    /// Calls that may not run twice, as method and path prefix; may be given again.
    #[arg(long, value_name = "'METHOD /PATH'", value_parser = call_rule, conflicts_with = "model")]
    non_idempotent: Vec<config::CallPattern>,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

#[derive(Clone, Debug, clap::Args)]
#[group(required = true, multiple = false)]
struct KindArgs {
    /// Name by which callers ask for the model.
    #[arg(long)]
    model: Option<String>,
    /// Path prefix of the plain service's calls.
    #[arg(long)]
    path_prefix: Option<String>,
}

type ServiceTable = collections::BTreeMap<ids::ServiceId, config::ServiceEntry>;

impl ServiceArgs {
    pub fn run(self) -> error::Result<()> {
        match self.command {
            ServiceCommand::Create(create) => create.run(),
            ServiceCommand::List { output, connect } => {
                let access = connect.open()?;
                let current = connect::block_on(async { Ok(access.writer.read().await?) })?;
                output.print(&current.object.config.services, lines)
            }
            ServiceCommand::Remove { name, connect } => {
                let access = connect.open()?;
                let what = format!("service remove {name}");
                connect::block_on(change::run(&access, &what, |config| {
                    change::remove(&mut config.services, &ids::ServiceId::new(&name))
                }))
            }
        }
    }
}

impl ServiceCreate {
    fn run(self) -> error::Result<()> {
        let kind = match self.kind.path_prefix {
            Some(path_prefix) => config::ServiceKind::Plain { path_prefix },
            None => config::ServiceKind::Model {
                model: self.kind.model.unwrap_or_default(),
                bytes_per_token: self.bytes_per_token,
            },
        };
        let entry = config::ServiceEntry {
            kind,
            timeout_ms: self.timeout_ms,
            non_idempotent: self.non_idempotent,
        };
        let access = self.connect.open()?;
        let id = ids::ServiceId::new(&self.name);
        let what = format!("service create {id}");
        connect::block_on(change::run(&access, &what, |config| {
            change::insert(&mut config.services, id, entry)
        }))
    }
}

fn call_rule(text: &str) -> Result<config::CallPattern, String> {
    generate::parse_call_pattern(text).ok_or_else(|| "must be as in 'POST /orders'".to_owned())
}

fn lines(services: &ServiceTable) -> String {
    let rows = services.iter().map(|(name, entry)| {
        let (kind, by) = match &entry.kind {
            config::ServiceKind::Model { model, .. } => ("model", model),
            config::ServiceKind::Plain { path_prefix } => ("plain", path_prefix),
        };
        let rules = entry.non_idempotent.iter();
        let rules = rules.map(|rule| format!("{} {}", rule.method, rule.path));
        [
            name.to_string(),
            kind.to_owned(),
            by.clone(),
            entry.timeout_ms.to_string(),
            rules.collect::<Vec<_>>().join(", "),
        ]
    });
    let head = [
        "service",
        "kind",
        "model or path",
        "timeout ms",
        "non-idempotent",
    ];
    output::table(head, rows)
}
