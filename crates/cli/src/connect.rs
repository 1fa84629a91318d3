//! Reaches the platform: addresses from flags, the environment or a settings file.

use std::net;
use std::path;

use objects::client;
use objects::writer;
use settings::check;
use settings::load;
use settings::operator;

use crate::error;

/// Where the platform is, and who operates it.
#[derive(Clone, Debug, clap::Args)]
#[command(next_help_heading = "Platform")]
pub(crate) struct ConnectArgs {
    /// Address of the object API.
    #[arg(long, env = "SARDINEPADDLE_OBJECT_API", value_name = "IP:PORT")]
    object_api: Option<net::SocketAddr>,
    /// Address of the host list.
    #[arg(long, env = "SARDINEPADDLE_HOST_LIST", value_name = "IP:PORT")]
    host_list: Option<net::SocketAddr>,
    /// Name written to the audit trail; the user's name if not given.
    #[arg(long, env = "SARDINEPADDLE_WHO", value_name = "NAME")]
    who: Option<String>,
    /// Settings file (YAML) with object_api, host_list and who. Flags go before it.
    #[arg(long, env = "SARDINEPADDLE_SETTINGS", value_name = "FILE")]
    settings: Option<path::PathBuf>,
}

/// The platform as a command uses it.
pub(crate) struct PlatformAccess {
    pub client: client::PlatformClient,
    pub writer: writer::ConfigWriter,
    who: Option<String>,
}

impl ConnectArgs {
    /// Resolves the addresses. Connects when first used.
    pub fn open(self) -> error::Result<PlatformAccess> {
        let settings = self.read_settings()?;
        let object_api = self.object_api.or(settings.object_api);
        let host_list = self.host_list.or(settings.host_list);
        let client = client::PlatformClient::new(
            object_api.ok_or_else(|| missing("--object-api"))?,
            host_list.ok_or_else(|| missing("--host-list"))?,
        );
        Ok(PlatformAccess {
            writer: writer::ConfigWriter::new(client.clone()),
            client,
            who: self.who.or(settings.who),
        })
    }

    fn read_settings(&self) -> error::Result<operator::OperatorSettings> {
        let Some(path) = &self.settings else {
            return Ok(operator::OperatorSettings::default());
        };
        let text = load::read_text(path)?;
        Ok(check::operator(&path.display().to_string(), &text)?)
    }
}

fn missing(flag: &str) -> error::CliError {
    let message = format!("give {flag}, set its environment variable, or name a --settings file");
    error::CliError::Misuse { message }
}

impl PlatformAccess {
    /// Name written to the audit trail.
    pub fn who(&self) -> error::Result<String> {
        let user = || std::env::var("USER").ok();
        let named = self.who.clone().or_else(user);
        let named = named.filter(|who| !who.trim().is_empty());
        named.ok_or_else(|| missing("--who"))
    }
}

/// Runs a command's work to its end.
pub(crate) fn block_on<T>(work: impl Future<Output = error::Result<T>>) -> error::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|source| error::CliError::Start {
        what: "the runtime",
        source,
    })?;
    runtime.block_on(work)
}
