//! Stand-ins and daemons in this process, for the demo and for load.

use std::io;
use std::net;
use std::time::Duration;

use fakes::caller;
use fakes::engine;
use fakes::fleet;
use fakes::hosts;
use fakes::plain;
use fakes::store;
use model::config;
use model::ids;
use model::peer;
use model::store as store_model;
use objects::client;
use objects::wire;
use settings::daemon as daemon_settings;
use tokio::time;

use crate::error;

/// Longest wait for the daemons to take roles.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at the daemons.
const READY_PERIOD: Duration = Duration::from_millis(50);
/// Tries of a change of the configuration that meets another one.
const CHANGE_TRIES: u32 = 5;
/// Path prefix of the plain service.
const PLAIN_PREFIX: &str = "/orders";

/// What a fleet of stand-ins is made of.
#[derive(Clone, Debug)]
pub(crate) struct FleetShape {
    /// Data centres, all of one region.
    pub centres: Vec<String>,
    pub region: String,
    /// Daemons in each data centre.
    pub daemons_per_centre: usize,
    /// Engines in each data centre.
    pub engines_per_centre: usize,
    pub engine: engine::EngineModel,
    /// Model that the engines serve.
    pub model: String,
    pub model_service: String,
    pub plain_service: String,
    pub customers: Vec<ShapeCustomer>,
    pub placement: config::PlacementPolicy,
    pub seed: u64,
}

/// A customer of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct ShapeCustomer {
    pub name: String,
    pub weight: u32,
}

/// Everything that was started.
pub(crate) struct StandInFleet {
    platform: client::PlatformClient,
    _store: store::FakeStore,
    _hosts: hosts::FakeHosts,
    pub engines: Vec<Option<engine::FakeEngine>>,
    pub plain: plain::FakePlain,
    pub daemons: Vec<StandInDaemon>,
}

/// A daemon in this process.
pub(crate) struct StandInDaemon {
    handle: daemon::run::DaemonHandle,
    pub callers: net::SocketAddr,
    pub admin: net::SocketAddr,
}

impl StandInFleet {
    /// Starts a fleet and waits until every endpoint has a keeper.
    pub async fn start(shape: &FleetShape) -> error::Result<Self> {
        let fleet = start_parts(shape).await?;
        wait_ready(&fleet).await?;
        Ok(fleet)
    }

    /// The platform that the fleet runs on.
    pub fn platform(&self) -> &client::PlatformClient {
        &self.platform
    }

    /// Ends the daemons in good order.
    pub async fn stop(self) {
        for daemon in &self.daemons {
            daemon.handle.stopper().stop().await;
        }
        for daemon in self.daemons {
            daemon.handle.wait().await;
        }
    }
}

async fn start_parts(shape: &FleetShape) -> error::Result<StandInFleet> {
    let failed = |what| move |source| error::CliError::Start { what, source };
    let store = store::FakeStore::start(fleet::free_address())
        .await
        .map_err(failed("the object API"))?;
    let plain = plain::FakePlain::start(fleet::free_address(), None)
        .await
        .map_err(failed("a plain service"))?;
    let mut engines = Vec::new();
    for _ in 0..shape.centres.len() * shape.engines_per_centre {
        let engine = engine::FakeEngine::start(fleet::free_address(), shape.engine.clone()).await;
        engines.push(engine.map_err(failed("an engine"))?);
    }
    let hosts_address = fleet::free_address();
    let settings = all_settings(shape, store.address(), hosts_address);
    let listing = wire::HostListing {
        hosts: settings.iter().map(host_entry).collect(),
        leaving_endpoints: Vec::new(),
    };
    let hosts = hosts::FakeHosts::start(hosts_address, listing, Duration::ZERO);
    let hosts = hosts.await.map_err(failed("the host list"))?;
    let platform = client::PlatformClient::new(store.address(), hosts_address);
    let first = first_config(shape, &engines, &plain);
    write_config(&platform, store_model::ObjectVersion::ABSENT, first).await?;
    let mut daemons = Vec::new();
    for settings in settings {
        daemons.push(start_daemon(settings).await?);
    }
    Ok(StandInFleet {
        platform,
        _store: store,
        _hosts: hosts,
        engines: engines.into_iter().map(Some).collect(),
        plain,
        daemons,
    })
}

async fn start_daemon(settings: daemon_settings::DaemonSettings) -> error::Result<StandInDaemon> {
    let callers = settings.listen.callers;
    let admin = settings.listen.admin;
    Ok(StandInDaemon {
        handle: daemon::run::start(settings).await?,
        callers,
        admin,
    })
}

fn all_settings(
    shape: &FleetShape,
    store: net::SocketAddr,
    hosts: net::SocketAddr,
) -> Vec<daemon_settings::DaemonSettings> {
    let count = shape.centres.len() * shape.daemons_per_centre;
    (0..count)
        .map(|index| {
            let centre = &shape.centres[index % shape.centres.len()];
            daemon_settings::DaemonSettings {
                host: ids::HostId::new(&format!("{centre}-{index}")),
                data_centre: ids::CentreId::new(centre),
                listen: daemon_settings::ListenSettings {
                    callers: fleet::free_address(),
                    peers: fleet::free_address(),
                    advertised_peers: None,
                    admin: fleet::free_address(),
                },
                platform: daemon_settings::PlatformSettings {
                    object_api: store,
                    host_list: hosts,
                },
                networks: daemon_settings::NetworkSettings::default(),
                limits: daemon_settings::LimitSettings::default(),
                log: daemon_settings::LogSettings {
                    level: "off".to_owned(),
                },
                seed: Some(shape.seed + index as u64),
            }
        })
        .collect()
}

fn host_entry(settings: &daemon_settings::DaemonSettings) -> peer::HostEntry {
    peer::HostEntry {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.listen.peers,
        admin_address: settings.listen.admin,
        leaving: false,
    }
}

fn first_config(
    shape: &FleetShape,
    engines: &[engine::FakeEngine],
    plain: &plain::FakePlain,
) -> config::FleetConfig {
    let mut fleet = config::FleetConfig::default();
    fleet.policy.placement = shape.placement;
    for centre in &shape.centres {
        let entry = config::CentreEntry {
            region: shape.region.clone(),
            ..Default::default()
        };
        fleet.data_centres.insert(ids::CentreId::new(centre), entry);
    }
    for customer in &shape.customers {
        let entry = config::CustomerEntry {
            weight: customer.weight,
            ..Default::default()
        };
        let name = ids::CustomerId::new(&customer.name);
        fleet.customers.insert(name, entry);
    }
    let kind = config::ServiceKind::Model {
        model: shape.model.clone(),
        bytes_per_token: 4,
    };
    fleet.services.insert(
        ids::ServiceId::new(&shape.model_service),
        fleet::service(kind),
    );
    let kind = config::ServiceKind::Plain {
        path_prefix: PLAIN_PREFIX.to_owned(),
    };
    fleet.services.insert(
        ids::ServiceId::new(&shape.plain_service),
        fleet::service(kind),
    );
    for (index, engine) in engines.iter().enumerate() {
        let centre = &shape.centres[index % shape.centres.len()];
        let mut entry = fleet::endpoint(&shape.model_service, centre, engine.address());
        entry.slots = shape.engine.slots;
        entry.memory_tokens = shape.engine.memory_tokens;
        entry.cold_slots = shape.engine.cold_slots;
        fleet
            .endpoints
            .insert(ids::EndpointId::new(&format!("engine-{index}")), entry);
    }
    let name = format!("{}-0", shape.plain_service);
    let entry = fleet::endpoint(&shape.plain_service, &shape.centres[0], plain.address());
    fleet.endpoints.insert(ids::EndpointId::new(&name), entry);
    fleet
}

/// Changes the configuration by a conditional update.
pub(crate) async fn change_config(
    platform: &client::PlatformClient,
    change: impl Fn(&mut config::FleetConfig),
) -> error::Result<()> {
    let mut last = Ok(());
    for _ in 0..CHANGE_TRIES {
        let name = config::CONFIG_OBJECT.to_owned();
        let reply = platform.call(store_model::StoreCall::Read { name }).await;
        let store_model::StoreReply::Found { version, value } = reply else {
            return Err(not_written(&reply));
        };
        let mut fleet = serde_json::from_str::<config::ConfigObject>(&value)?.config;
        change(&mut fleet);
        last = write_config(platform, version, fleet).await;
        if last.is_ok() {
            return last;
        }
    }
    last
}

async fn write_config(
    platform: &client::PlatformClient,
    expected: store_model::ObjectVersion,
    fleet: config::FleetConfig,
) -> error::Result<()> {
    let object = config::ConfigObject {
        config: fleet,
        audit: Vec::new(),
    };
    let call = store_model::StoreCall::Write {
        name: config::CONFIG_OBJECT.to_owned(),
        expected,
        value: serde_json::to_string(&object)?,
    };
    match platform.call(call).await {
        store_model::StoreReply::Written { .. } => Ok(()),
        reply => Err(not_written(&reply)),
    }
}

fn not_written(reply: &store_model::StoreReply) -> error::CliError {
    error::CliError::Start {
        what: "the configuration",
        source: io::Error::other(format!("{reply:?}")),
    }
}

async fn wait_ready(fleet: &StandInFleet) -> error::Result<()> {
    let endpoints = fleet.engines.len() + 1;
    let tries = async {
        loop {
            let mut ready = true;
            let mut kept = 0;
            for daemon in &fleet.daemons {
                let status = caller::get_json::<serde_json::Value>(daemon.admin, "/status").await;
                let status = status.unwrap_or_default();
                ready &= status["ready"] == true;
                kept += status["kept"].as_array().map_or(0, Vec::len);
            }
            if ready && kept == endpoints {
                return;
            }
            time::sleep(READY_PERIOD).await;
        }
    };
    let late = error::CliError::Late {
        what: "the start of the daemons",
    };
    time::timeout(READY_LIMIT, tries).await.map_err(|_| late)
}
