//! A fleet of processes on loopback: daemons, stand-ins, and a faulty link before each of them.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::sync::atomic;
use std::time::Duration;

use model::config;
use model::ids;
use model::peer;
use model::store as store_model;
use objects::client;
use objects::wire;
use settings::daemon;
use tokio::time;

use crate::caller;
use crate::engine;
use crate::hosts;
use crate::plain;
use crate::process;
use crate::proxy;
use crate::store;

/// First port used; below the range from which the system draws ports itself.
const FIRST_PORT: u16 = 20_000;
/// Longest wait for a process to answer.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time between two tries.
const TRY_PERIOD: Duration = Duration::from_millis(25);
/// Name of the model that engines serve.
pub const MODEL: &str = "lunch-1";
/// Service of the engines.
pub const MODEL_SERVICE: &str = "lunch-llm";
/// Service of the plain endpoints.
pub const PLAIN_SERVICE: &str = "order-app";
/// Customer of most calls.
pub const CUSTOMER: &str = "school-1";

static NEXT_PORT: atomic::AtomicU16 = atomic::AtomicU16::new(FIRST_PORT);

/// An address on loopback that no other test uses.
pub fn free_address() -> net::SocketAddr {
    let id = std::process::id();
    let high = u8::try_from(1 + (id / 250) % 250).unwrap_or(1);
    let low = u8::try_from(1 + id % 250).unwrap_or(1);
    let port = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
    net::SocketAddr::from(([127, high, low, 1], port))
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Data centre of each daemon.
    pub daemons: Vec<String>,
    /// Data centre of each engine.
    pub engines: Vec<String>,
    /// How the engines behave.
    pub engine_model: engine::EngineModel,
    /// Data centre of each plain endpoint.
    pub plains: Vec<String>,
    /// Limits of the daemons towards callers.
    pub limits: daemon::LimitSettings,
    /// Networks that the daemons' ports for peers and operators take.
    pub networks: daemon::NetworkSettings,
    /// Least level that the daemons log.
    pub log_level: String,
}

impl FleetPlan {
    /// Three data centres with a daemon, `engines` engines and a plain endpoint in each.
    pub fn three_centres(engines: usize) -> Self {
        let centres = ["amman-abdali", "amman-sweifieh", "amman-marka"].map(str::to_owned);
        let engine_centres = centres
            .iter()
            .flat_map(|centre| std::iter::repeat_n(centre.clone(), engines));
        Self {
            daemons: centres.to_vec(),
            engines: engine_centres.collect(),
            engine_model: engine::EngineModel {
                time_scale: 4.0,
                ..engine::EngineModel::default()
            },
            plains: centres[..1].to_vec(),
            limits: daemon::LimitSettings::default(),
            networks: daemon::NetworkSettings::default(),
            log_level: "debug".to_owned(),
        }
    }
}

/// A daemon under test.
#[derive(Debug)]
pub struct DaemonUnit {
    /// The process; `None` after a kill.
    pub process: Option<process::TestProcess>,
    /// Its settings.
    pub settings: daemon::DaemonSettings,
    /// Link from it to the object API.
    pub store_link: proxy::FaultProxy,
    /// Link from its peers to it.
    pub peer_link: proxy::FaultProxy,
    path: path::PathBuf,
}

/// An endpoint under test.
#[derive(Debug)]
pub struct EndpointUnit {
    /// Its name in the configuration.
    pub id: ids::EndpointId,
    /// The process; `None` after a kill.
    pub process: Option<process::TestProcess>,
    /// Its own address, which only the test uses.
    pub address: net::SocketAddr,
    /// Link from the daemons to it.
    pub link: proxy::FaultProxy,
    args: Vec<String>,
}

/// A fleet of processes. All end when it is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    /// Daemons.
    pub daemons: Vec<DaemonUnit>,
    /// Engines.
    pub engines: Vec<EndpointUnit>,
    /// Plain endpoints.
    pub plains: Vec<EndpointUnit>,
    /// Address of the object API, past all faulty links.
    pub store_address: net::SocketAddr,
    /// Address of the host list.
    pub hosts_address: net::SocketAddr,
    store: process::TestProcess,
    hosts: process::TestProcess,
    folder: tempfile::TempDir,
}

const FAKES: &str = "sardinepaddle-fakes";
const DAEMON: &str = "sardinepaddled";

impl ProcessFleet {
    /// Starts a fleet and waits until every daemon is ready.
    pub async fn start(plan: &FleetPlan) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let store_address = free_address();
        let hosts_address = free_address();
        let listen = store_address.to_string();
        let store = process::TestProcess::start(
            FAKES,
            ["store", "--listen", &listen],
            &log(&folder, "store"),
        )?;
        let mut daemons = Vec::new();
        for (index, centre) in plan.daemons.iter().enumerate() {
            daemons.push(
                prepare_daemon(&folder, plan, index, centre, store_address, hosts_address).await?,
            );
        }
        let hosts = start_hosts(&folder, &daemons, hosts_address)?;
        let mut engines = Vec::new();
        let model_path = folder.path().join("engine.yaml");
        fs::write(&model_path, yaml(&plan.engine_model)?)?;
        for index in 0..plan.engines.len() {
            let model = model_path.display().to_string();
            let extra = ["--model".to_owned(), model];
            engines.push(start_endpoint(&folder, "engine", index, &extra).await?);
        }
        let mut plains = Vec::new();
        for index in 0..plan.plains.len() {
            let journal = journal(&folder, index).display().to_string();
            let extra = ["--journal".to_owned(), journal];
            plains.push(start_endpoint(&folder, "plain", index, &extra).await?);
        }
        let mut fleet = Self {
            daemons,
            engines,
            plains,
            store_address,
            hosts_address,
            store,
            hosts,
            folder,
        };
        fleet.wait_listening().await?;
        let config = fleet.first_config(plan);
        fleet
            .write_config(store_model::ObjectVersion::ABSENT, config)
            .await?;
        for index in 0..fleet.daemons.len() {
            fleet.start_daemon(index)?;
        }
        for index in 0..fleet.daemons.len() {
            fleet.wait_ready(index).await?;
        }
        Ok(fleet)
    }

    async fn wait_listening(&self) -> io::Result<()> {
        let endpoints = self
            .engines
            .iter()
            .chain(&self.plains)
            .map(|unit| unit.address);
        for address in endpoints.chain([self.store_address, self.hosts_address]) {
            let tries = async {
                while tokio::net::TcpStream::connect(address).await.is_err() {
                    time::sleep(TRY_PERIOD).await;
                }
            };
            time::timeout(START_LIMIT, tries)
                .await
                .map_err(|_| late("a stand-in"))?;
        }
        Ok(())
    }

    fn first_config(&self, plan: &FleetPlan) -> config::FleetConfig {
        let mut fleet = config::FleetConfig::default();
        for centre in plan.daemons.iter().chain(&plan.engines).chain(&plan.plains) {
            let entry = config::CentreEntry {
                region: "jordan".to_owned(),
                ..Default::default()
            };
            fleet.data_centres.insert(ids::CentreId::new(centre), entry);
        }
        fleet.customers.insert(
            ids::CustomerId::new(CUSTOMER),
            config::CustomerEntry::default(),
        );
        let model = config::ServiceKind::Model {
            model: MODEL.to_owned(),
            bytes_per_token: 4,
        };
        let orders = config::ServiceKind::Plain {
            path_prefix: "/orders".to_owned(),
        };
        fleet
            .services
            .insert(ids::ServiceId::new(MODEL_SERVICE), service(model));
        fleet
            .services
            .insert(ids::ServiceId::new(PLAIN_SERVICE), service(orders));
        let engines = self.engines.iter().zip(&plan.engines);
        for (unit, centre) in engines {
            let mut entry = endpoint(MODEL_SERVICE, centre, unit.link.address());
            entry.slots = plan.engine_model.slots;
            entry.memory_tokens = plan.engine_model.memory_tokens;
            entry.cold_slots = plan.engine_model.cold_slots;
            fleet.endpoints.insert(unit.id.clone(), entry);
        }
        for (unit, centre) in self.plains.iter().zip(&plan.plains) {
            let mut entry = endpoint(PLAIN_SERVICE, centre, unit.link.address());
            entry.slots = 64;
            fleet.endpoints.insert(unit.id.clone(), entry);
        }
        fleet
    }

    /// A client of the object API past all faulty links, as an operator has one.
    pub fn platform(&self) -> client::PlatformClient {
        client::PlatformClient::new(self.store_address, self.hosts_address)
    }

    async fn write_config(
        &self,
        expected: store_model::ObjectVersion,
        fleet: config::FleetConfig,
    ) -> io::Result<config::ConfigVersion> {
        let object = config::ConfigObject {
            config: fleet,
            audit: Vec::new(),
        };
        let value = serde_json::to_string(&object).map_err(io::Error::other)?;
        let name = config::CONFIG_OBJECT.to_owned();
        let call = store_model::StoreCall::Write {
            name,
            expected,
            value,
        };
        match self.platform().call(call).await {
            store_model::StoreReply::Written { version } => Ok(config::ConfigVersion(version.0)),
            reply => Err(io::Error::other(format!(
                "configuration not written: {reply:?}"
            ))),
        }
    }

    /// Changes the configuration by a conditional update, as an operator does.
    pub async fn change_config(
        &self,
        change: impl FnOnce(&mut config::FleetConfig),
    ) -> io::Result<config::ConfigVersion> {
        let name = config::CONFIG_OBJECT.to_owned();
        let reply = self
            .platform()
            .call(store_model::StoreCall::Read { name })
            .await;
        let store_model::StoreReply::Found { version, value } = reply else {
            return Err(io::Error::other(format!(
                "configuration not read: {reply:?}"
            )));
        };
        let object =
            serde_json::from_str::<config::ConfigObject>(&value).map_err(io::Error::other)?;
        let mut fleet = object.config;
        change(&mut fleet);
        self.write_config(version, fleet).await
    }

    /// Starts, or starts again, the process of a daemon.
    pub fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        let log = log(&self.folder, &format!("daemon-{index}"));
        let unit = &mut self.daemons[index];
        let path = unit.path.display().to_string();
        unit.process = Some(process::TestProcess::start(
            DAEMON,
            ["--settings", &path],
            &log,
        )?);
        Ok(())
    }

    /// Starts an engine again.
    pub fn start_engine(&mut self, index: usize) -> io::Result<()> {
        let log = log(&self.folder, &format!("engine-{index}"));
        let unit = &mut self.engines[index];
        unit.process = Some(process::TestProcess::start(FAKES, &unit.args, &log)?);
        Ok(())
    }

    /// Starts a plain endpoint again.
    pub fn start_plain(&mut self, index: usize) -> io::Result<()> {
        let log = log(&self.folder, &format!("plain-{index}"));
        let unit = &mut self.plains[index];
        unit.process = Some(process::TestProcess::start(FAKES, &unit.args, &log)?);
        Ok(())
    }

    /// Waits until a daemon is ready.
    pub async fn wait_ready(&self, index: usize) -> io::Result<()> {
        let admin = self.daemons[index].settings.listen.admin;
        let tries = async {
            while !caller::is_ok(admin, "/readyz").await {
                time::sleep(TRY_PERIOD).await;
            }
        };
        time::timeout(START_LIMIT, tries)
            .await
            .map_err(|_| late("a daemon"))
    }

    /// Address for callers of a daemon.
    pub fn callers(&self, index: usize) -> net::SocketAddr {
        self.daemons[index].settings.listen.callers
    }

    /// A daemon's status; `None` if it does not answer.
    pub async fn status(&self, index: usize) -> Option<serde_json::Value> {
        caller::get_json(self.daemons[index].settings.listen.admin, "/status").await
    }

    /// What an engine saw.
    pub async fn engine_witness(&self, index: usize) -> Option<engine::EngineWitness> {
        caller::get_json(self.engines[index].address, "/fake/witness").await
    }

    /// How often each operation ran, over all plain endpoints, dead ones included.
    pub fn plain_runs(&self) -> collections::BTreeMap<String, u64> {
        let mut runs = collections::BTreeMap::new();
        for index in 0..self.plains.len() {
            let counts = plain::read_journal(&journal(&self.folder, index));
            // A witness that cannot be read must not pass for one that saw nothing.
            let counts = counts.unwrap_or_else(|error| panic!("no journal: {error}"));
            for (operation, count) in counts {
                *runs.entry(operation).or_default() += count;
            }
        }
        runs
    }

    /// Sets the faults of the object API.
    pub async fn set_store_faults(&self, faults: &store::StoreFaults) -> bool {
        caller::send_json(
            self.store_address,
            http::Method::POST,
            "/fake/faults",
            faults,
        )
        .await
    }

    /// Sets whether the host list tags its listings.
    pub async fn set_hosts_tagged(&self, tagged: bool) -> bool {
        let put = http::Method::PUT;
        caller::send_json(self.hosts_address, put, "/fake/tagged", &tagged).await
    }

    /// Lists so many hosts besides the daemons; nobody answers at their addresses.
    pub async fn list_strangers(&self, count: usize) -> bool {
        let own = self.daemons.iter().map(host_entry);
        let strangers = (0..count).map(|index| peer::HostEntry {
            host: ids::HostId::new(&format!("stranger-{index:03}")),
            data_centre: self.daemons[0].settings.data_centre.clone(),
            peer_address: free_address(),
            admin_address: free_address(),
            leaving: false,
        });
        let listing = wire::HostListing {
            hosts: own.chain(strangers).collect(),
            leaving_endpoints: Vec::new(),
        };
        let put = http::Method::PUT;
        caller::send_json(self.hosts_address, put, "/fake/listing", &listing).await
    }

    /// What the host list answered.
    pub async fn hosts_witness(&self) -> hosts::HostsWitness {
        caller::get_json(self.hosts_address, "/fake/witness")
            .await
            .unwrap_or_default()
    }

    /// Calls that the object API counted.
    pub async fn store_witness(&self) -> store::StoreWitness {
        caller::get_json(self.store_address, "/fake/witness")
            .await
            .unwrap_or_default()
    }

    /// Process of the object API.
    pub fn store_process(&mut self) -> &mut process::TestProcess {
        &mut self.store
    }

    /// Process of the host list.
    pub fn hosts_process(&mut self) -> &mut process::TestProcess {
        &mut self.hosts
    }

    /// The log of a process, for failure messages.
    pub fn log_text(&self, name: &str) -> String {
        fs::read_to_string(log(&self.folder, name)).unwrap_or_default()
    }

    /// Last lines of the daemons' logs, for the reader of a failure.
    pub fn daemon_logs(&self) -> String {
        const LINES: usize = 60;
        let mut text = String::new();
        for index in 0..self.daemons.len() {
            let log = self.log_text(&format!("daemon-{index}"));
            let lines = log.lines().collect::<Vec<_>>();
            let last = &lines[lines.len().saturating_sub(LINES)..];
            text += &format!("--- daemon-{index}\n{}\n", last.join("\n"));
        }
        text
    }
}

fn late(what: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::TimedOut,
        format!("{what} did not start in time"),
    )
}

fn log(folder: &tempfile::TempDir, name: &str) -> path::PathBuf {
    folder.path().join(format!("{name}.log"))
}

fn journal(folder: &tempfile::TempDir, index: usize) -> path::PathBuf {
    folder.path().join(format!("plain-{index}.journal"))
}

fn yaml<T: serde::Serialize>(value: &T) -> io::Result<String> {
    serde_yaml_ng::to_string(value).map_err(io::Error::other)
}

/// A service with the time limit of the stand-ins, all of whose calls are idempotent by method.
pub fn service(kind: config::ServiceKind) -> config::ServiceEntry {
    config::ServiceEntry {
        kind,
        timeout_ms: 30_000,
        non_idempotent: Vec::new(),
    }
}

/// An endpoint of a service in a data centre.
pub fn endpoint(service: &str, centre: &str, address: net::SocketAddr) -> config::EndpointEntry {
    let service = ids::ServiceId::new(service);
    config::EndpointEntry::new(service, ids::CentreId::new(centre), address)
}

async fn prepare_daemon(
    folder: &tempfile::TempDir,
    plan: &FleetPlan,
    index: usize,
    centre: &str,
    store: net::SocketAddr,
    hosts: net::SocketAddr,
) -> io::Result<DaemonUnit> {
    let peers = free_address();
    let store_link = proxy::FaultProxy::start(free_address(), store).await?;
    let peer_link = proxy::FaultProxy::start(free_address(), peers).await?;
    let settings = daemon::DaemonSettings {
        host: ids::HostId::new(&format!("host-{index}")),
        data_centre: ids::CentreId::new(centre),
        listen: daemon::ListenSettings {
            callers: free_address(),
            peers,
            advertised_peers: Some(peer_link.address()),
            admin: free_address(),
        },
        platform: daemon::PlatformSettings {
            object_api: store_link.address(),
            host_list: hosts,
        },
        limits: plan.limits.clone(),
        networks: plan.networks.clone(),
        log: daemon::LogSettings {
            level: plan.log_level.clone(),
        },
        seed: Some(index as u64),
    };
    let path = folder.path().join(format!("daemon-{index}.yaml"));
    fs::write(&path, yaml(&settings)?)?;
    Ok(DaemonUnit {
        process: None,
        settings,
        store_link,
        peer_link,
        path,
    })
}

fn host_entry(unit: &DaemonUnit) -> peer::HostEntry {
    peer::HostEntry {
        host: unit.settings.host.clone(),
        data_centre: unit.settings.data_centre.clone(),
        peer_address: unit.peer_link.address(),
        admin_address: unit.settings.listen.admin,
        leaving: false,
    }
}

fn start_hosts(
    folder: &tempfile::TempDir,
    daemons: &[DaemonUnit],
    address: net::SocketAddr,
) -> io::Result<process::TestProcess> {
    let hosts = daemons.iter().map(host_entry);
    let listing = wire::HostListing {
        hosts: hosts.collect(),
        leaving_endpoints: Vec::new(),
    };
    let path = folder.path().join("hosts.yaml");
    fs::write(&path, yaml(&listing)?)?;
    let listen = address.to_string();
    let listing = path.display().to_string();
    process::TestProcess::start(
        FAKES,
        ["hosts", "--listen", &listen, "--listing", &listing],
        &log(folder, "hosts"),
    )
}

async fn start_endpoint(
    folder: &tempfile::TempDir,
    kind: &str,
    index: usize,
    extra: &[String],
) -> io::Result<EndpointUnit> {
    let address = free_address();
    let name = format!("{kind}-{index}");
    let mut args = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    args.extend_from_slice(extra);
    let process = process::TestProcess::start(FAKES, &args, &log(folder, &name))?;
    let link = proxy::FaultProxy::start(free_address(), address).await?;
    Ok(EndpointUnit {
        id: ids::EndpointId::new(&name),
        process: Some(process),
        address,
        link,
        args,
    })
}
