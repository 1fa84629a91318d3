//! Command line of the stand-ins.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::time::Duration;

use crate::control;
use crate::engine;
use crate::hosts;
use crate::plain;
use crate::proxy;
use crate::scenario::run;
use crate::scenario::spec;
use crate::store;

/// Threads of a stand-in.
const WORKER_THREADS: usize = 2;

/// Stand-ins for what sardinepaddle works with.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "sardinepaddle-fakes")]
pub struct FakeArgs {
    #[command(subcommand)]
    command: FakeCommand,
}

#[derive(Clone, Debug, clap::Subcommand)]
enum FakeCommand {
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long)]
        listen: net::SocketAddr,
        /// How it behaves (YAML); defaults where absent.
        #[arg(long)]
        model: Option<path::PathBuf>,
    },
    /// A plain service that counts what it ran.
    Plain {
        /// Address to listen on.
        #[arg(long)]
        listen: net::SocketAddr,
        /// File in which it notes what it ran, so that a restart does not forget it.
        #[arg(long)]
        journal: Option<path::PathBuf>,
    },
    /// The object API.
    Store {
        /// Address to listen on.
        #[arg(long)]
        listen: net::SocketAddr,
    },
    /// The host list.
    Hosts {
        /// Address to listen on.
        #[arg(long)]
        listen: net::SocketAddr,
        /// First listing (YAML).
        #[arg(long)]
        listing: path::PathBuf,
        /// Age of what it shows, in milliseconds.
        #[arg(long, default_value_t = 0)]
        lag_ms: u64,
    },
    /// Measures the cost of control of fleets of real daemons, and fits slopes.
    Control(control::ControlArgs),
    /// A link that can be made faulty by `POST /fault` on its control address.
    Proxy {
        /// Address to listen on.
        #[arg(long)]
        listen: net::SocketAddr,
        /// Where to connect to.
        #[arg(long)]
        to: net::SocketAddr,
        /// Address for control.
        #[arg(long)]
        control: net::SocketAddr,
    },
    /// Runs one scenario against processes of its own.
    Scenario {
        /// The scenario (YAML).
        file: path::PathBuf,
    },
}

impl FakeArgs {
    /// Runs the stand-in until the process is ended.
    pub fn run(self) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        runtime.block_on(serve(self.command))
    }
}

async fn serve(command: FakeCommand) -> io::Result<()> {
    match command {
        FakeCommand::Engine { listen, model } => {
            let model = match model {
                Some(path) => read_yaml(&path)?,
                None => engine::EngineModel::default(),
            };
            engine::FakeEngine::start(listen, model).await?.wait().await;
        }
        FakeCommand::Control(args) => control::run(&args).await?,
        FakeCommand::Plain { listen, journal } => {
            let plain = plain::FakePlain::start(listen, journal.as_deref()).await?;
            plain.wait().await;
        }
        FakeCommand::Store { listen } => store::FakeStore::start(listen).await?.wait().await,
        FakeCommand::Hosts {
            listen,
            listing,
            lag_ms,
        } => {
            let listing = read_yaml(&listing)?;
            let lag = Duration::from_millis(lag_ms);
            hosts::FakeHosts::start(listen, listing, lag)
                .await?
                .wait()
                .await;
        }
        FakeCommand::Proxy {
            listen,
            to,
            control,
        } => {
            let proxy = proxy::FaultProxy::start(listen, to).await?;
            proxy.serve_control(control).await?.wait().await;
        }
        FakeCommand::Scenario { file } => {
            let scenario = spec::read(&file).map_err(io::Error::other)?;
            run::run(&scenario).await.map_err(io::Error::other)?;
            println!("{} holds", file.display());
        }
    }
    Ok(())
}

fn read_yaml<T: serde::de::DeserializeOwned>(path: &path::Path) -> io::Result<T> {
    let text = fs::read_to_string(path)?;
    serde_yaml_ng::from_str(&text).map_err(io::Error::other)
}
