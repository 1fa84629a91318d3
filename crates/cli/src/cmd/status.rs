//! `sardinepaddle status`

use model::ids;
use model::millis;
use objects::daemons;
use serde::Serialize;

use crate::connect;
use crate::error;
use crate::output;

/// Show the configuration's version and age, and how each daemon is.
#[derive(Clone, Debug, clap::Args)]
#[command(
    after_help = "Exit codes: 0 all answered, 1 the object API, the host list or a daemon did not.\n\nExamples:\n  sardinepaddle status\n  sardinepaddle status --json | jq '.daemons[] | select(.status.ready | not)'"
)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    output: output::OutputArgs,
    #[command(flatten)]
    connect: connect::ConnectArgs,
}

#[derive(Serialize)]
struct FleetStatus {
    /// Nothing if the object API does not answer.
    config: Option<ConfigStatus>,
    /// Nothing if the host list does not answer.
    daemons: Option<Vec<HostStatus>>,
}

#[derive(Serialize)]
struct ConfigStatus {
    /// Zero if there is none yet.
    version: u64,
    age_ms: Option<u64>,
}

#[derive(Serialize)]
struct HostStatus {
    host: ids::HostId,
    data_centre: ids::CentreId,
    leaving: bool,
    /// Nothing if the daemon does not answer.
    status: Option<daemons::DaemonStatus>,
}

impl StatusArgs {
    pub fn run(self) -> error::Result<()> {
        let access = self.connect.open()?;
        let status = connect::block_on(async { Ok(read(&access).await) })?;
        self.output.print(&status, lines)?;
        let missing = status.missing();
        if missing.is_empty() {
            return Ok(());
        }
        let message = format!("no answer from {}", missing.join(", "));
        Err(error::CliError::Incomplete { message })
    }
}

impl FleetStatus {
    fn missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        if self.config.is_none() {
            missing.push("the object API".to_owned());
        }
        let Some(daemons) = &self.daemons else {
            missing.push("the host list".to_owned());
            return missing;
        };
        let silent = daemons.iter().filter(|daemon| daemon.status.is_none());
        missing.extend(silent.map(|daemon| daemon.host.to_string()));
        missing
    }
}

async fn read(access: &connect::PlatformAccess) -> FleetStatus {
    let current = access.writer.read().await.ok();
    let config = current.map(|current| ConfigStatus {
        version: current.version.0,
        age_ms: current
            .object
            .audit
            .last()
            .map(|entry| millis::since_epoch().saturating_sub(entry.at_ms)),
    });
    let listing = access.client.hosts().await.ok();
    let daemons = match listing {
        Some(listing) => Some(ask(listing.hosts).await),
        None => None,
    };
    FleetStatus { config, daemons }
}

async fn ask(hosts: Vec<model::peer::HostEntry>) -> Vec<HostStatus> {
    let client = daemons::DaemonClient::default();
    let asked = hosts.into_iter().map(async |host| HostStatus {
        status: client.status(host.admin_address).await.ok(),
        host: host.host,
        data_centre: host.data_centre,
        leaving: host.leaving,
    });
    futures_util::future::join_all(asked).await
}

fn lines(status: &FleetStatus) -> String {
    let head = match &status.config {
        None => "configuration: the object API does not answer".to_owned(),
        Some(config) => match config.age_ms {
            Some(age) => format!(
                "configuration: version {}, {} s old",
                config.version,
                age / 1_000
            ),
            None => format!("configuration: version {}", config.version),
        },
    };
    let Some(daemons) = &status.daemons else {
        return format!("{head}\ndaemons: the host list does not answer");
    };
    let columns = [
        "host",
        "data centre",
        "ready",
        "version",
        "in flight",
        "kept endpoints",
    ];
    format!(
        "{head}\n{}",
        output::table(columns, daemons.iter().map(row))
    )
}

fn row(host: &HostStatus) -> [String; 6] {
    let name = match host.leaving {
        true => format!("{} (leaving)", host.host),
        false => host.host.to_string(),
    };
    let centre = host.data_centre.to_string();
    let Some(status) = &host.status else {
        let none = String::new;
        return [name, centre, "no answer".to_owned(), none(), none(), none()];
    };
    let kept = status.coordinated.iter().map(|kept| {
        format!(
            "{} {}/{}",
            kept.endpoint, kept.used_slots, kept.concurrency_limit
        )
    });
    [
        name,
        centre,
        status.ready.to_string(),
        status.version.0.to_string(),
        status.in_flight.to_string(),
        kept.collect::<Vec<_>>().join(", "),
    ]
}
