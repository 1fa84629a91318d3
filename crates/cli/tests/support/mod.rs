//! The platform's stand-ins, a daemon, and the program under test.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::net;
use std::path;
use std::process;
use std::time::Duration;

use fakes::fleet;
use fakes::hosts;
use fakes::store;
use model::config;
use model::ids;
use model::peer;
use model::store as store_model;
use objects::client;
use objects::wire;
use settings::daemon;

/// A configuration with one of everything.
pub const FLEET: &str = "
data_centres:
  kgn-a: { region: jm-south }
customers:
  depot-1: {}
services:
  stockdesk-lm:
    kind: { type: model, model: stock-1 }
endpoints:
  lm-01: { service: stockdesk-lm, data_centre: kgn-a, address: '127.0.0.1:1' }
";

/// Stand-ins of the platform.
pub struct TestPlatform {
    pub store: store::FakeStore,
    pub hosts: hosts::FakeHosts,
    pub client: client::PlatformClient,
    pub folder: tempfile::TempDir,
}

/// What the program came to.
#[derive(Debug)]
pub struct ProgramEnd {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl TestPlatform {
    pub async fn start(listed: Vec<peer::HostEntry>) -> Self {
        Self::start_at(fleet::free_address(), fleet::free_address(), listed).await
    }

    pub async fn start_at(
        object_api: net::SocketAddr,
        host_list: net::SocketAddr,
        listed: Vec<peer::HostEntry>,
    ) -> Self {
        let listing = wire::HostListing {
            hosts: listed,
            leaving_endpoints: Vec::new(),
        };
        let store = store::FakeStore::start(object_api).await.unwrap();
        let hosts = hosts::FakeHosts::start(host_list, listing, Duration::ZERO)
            .await
            .unwrap();
        Self {
            client: client::PlatformClient::new(object_api, host_list),
            store,
            hosts,
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Runs the program against the stand-ins.
    pub async fn run(&self, args: &[&str]) -> ProgramEnd {
        self.run_as("tester", args).await
    }

    pub async fn run_as(&self, who: &str, args: &[&str]) -> ProgramEnd {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_sardinepaddle"));
        command
            .args(args)
            .env("SARDINEPADDLE_OBJECT_API", self.store.address().to_string())
            .env("SARDINEPADDLE_HOST_LIST", self.hosts.address().to_string())
            .env("SARDINEPADDLE_WHO", who);
        tokio::task::spawn_blocking(move || end_of(&mut command))
            .await
            .unwrap()
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Applies [`FLEET`].
    pub async fn fill(&self) {
        let file = self.file("fleet.yaml", FLEET);
        let end = self.run(&["apply", &file]).await;
        assert_eq!(end.code, 0, "{end:?}");
    }

    pub async fn object(&self) -> (u64, config::ConfigObject) {
        let call = store_model::StoreCall::Read {
            name: config::CONFIG_OBJECT.to_owned(),
        };
        match self.client.call(call).await {
            store_model::StoreReply::Found { version, value } => {
                (version.0, serde_json::from_str(&value).unwrap())
            }
            other => panic!("{other:?}"),
        }
    }

    pub async fn faults(&self, faults: &store::StoreFaults) {
        let uri = format!("http://{}/fake/faults", self.store.address());
        let body = serde_json::to_vec(faults).unwrap();
        let request = http::Request::post(uri)
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(bytes::Bytes::from(body)))
            .unwrap();
        let client =
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build_http::<http_body_util::Full<bytes::Bytes>>();
        let reply = client.request(request).await.unwrap();
        assert_eq!(reply.status(), http::StatusCode::OK);
    }
}

/// Runs a command to its end.
pub fn end_of(command: &mut process::Command) -> ProgramEnd {
    let output = command.stdin(process::Stdio::null()).output().unwrap();
    ProgramEnd {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Runs the program without a platform.
pub fn run(args: &[&str]) -> ProgramEnd {
    end_of(
        process::Command::new(env!("CARGO_BIN_EXE_sardinepaddle"))
            .args(args)
            .env_remove("SARDINEPADDLE_OBJECT_API"),
    )
}

/// A file of the repository.
pub fn repository(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(name)
}

/// Settings of a daemon in this process.
pub fn daemon_settings(
    object_api: net::SocketAddr,
    host_list: net::SocketAddr,
) -> daemon::DaemonSettings {
    daemon::DaemonSettings {
        host: ids::HostId::new("k1"),
        data_centre: ids::CentreId::new("kgn-a"),
        listen: daemon::ListenSettings {
            callers: fleet::free_address(),
            peers: fleet::free_address(),
            advertised_peers: None,
            admin: fleet::free_address(),
        },
        platform: daemon::PlatformSettings {
            object_api,
            host_list,
        },
        limits: daemon::LimitSettings::default(),
        networks: daemon::NetworkSettings::default(),
        log: daemon::LogSettings {
            level: "off".to_owned(),
        },
        seed: Some(1),
    }
}

/// An entry of the host list.
pub fn host_entry(settings: &daemon::DaemonSettings) -> peer::HostEntry {
    peer::HostEntry {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.listen.peers,
        admin_address: settings.listen.admin,
        leaving: false,
    }
}
