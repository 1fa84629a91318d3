//! The project's daemon as a process of its own, started with the command of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A host and its daemon. The process is killed when this is dropped.
pub struct Daemon {
    pub host: String,
    zone: String,
    /// Share of a core.
    pub cpu_share: f64,
    /// `drain_ms`, `config_apply_ms` and `contact_ms` of the deployment.
    pub bounds_ms: (u32, u32, u32),
    settings: PathBuf,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
    process: Option<Child>,
}

impl Daemon {
    /// Chooses the addresses of a host, without starting its daemon.
    pub fn prepare(folder: &Path, host: &str, zone: &str) -> Self {
        Self {
            host: host.to_owned(),
            zone: zone.to_owned(),
            cpu_share: 0.25,
            bounds_ms: (2_000, 2_000, 3_000),
            settings: folder.join(format!("{host}.yaml")),
            clients: http::free_address(),
            readiness: http::free_address(),
            peers: http::free_address(),
            metrics: http::free_address(),
            process: None,
        }
    }

    /// Writes its settings file, as platform/settings.yaml.tmpl renders it.
    pub fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr], grace_s: u32) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (drain_ms, config_ms, contact_ms) = self.bounds_ms;
        let text = format!(
            "host: \"{}\"\ndata_centre: \"{}\"\nlisten:\n  callers: \"{}\"\n  readiness: \"{}\"\n  \
             peers: \"{}\"\n  metrics: \"{}\"\nstore: \"{store}\"\nseeds: [{}]\ncpu_share: {}\n\
             memory_mb: 260\nbounds:\n  grace_s: {grace_s}\n  retry_ratio: 0.2\n  retry_window_s: 10\n  \
             retry_extra: 106\n  cold_factor: 1.5\n  cold_extra: 5\n  config_ms: {config_ms}\n  \
             endpoints_ms: {drain_ms}\n  emptied_ms: 5000\n\n  heartbeat_ms: 1200\n\n\n  contact_ms: {contact_ms}\n\n",
            self.host,
            self.zone,
            self.clients,
            self.readiness,
            self.peers,
            self.metrics,
            seeds.join(","),
            self.cpu_share,
        );
        // The platform replaces the file as a whole.
        let new = self.settings.with_extension("new");
        fs::write(&new, text).expect("the folder can be written");
        fs::rename(&new, &self.settings).expect("the folder can be written");
    }

    /// Starts the daemon.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::File::create(self.settings.with_extension("log"))?;
        let process = Command::new("target/release/sardinepaddled")
            .args(["--behind-platform", "--settings"])
            .arg(&self.settings)
            .env("SARDINEPADDLE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            let pid = i32::try_from(process.id()).expect("process ids are small");
            // SAFETY: a plain system call on a process that this one has started and not reaped.
            unsafe { kill(pid, signal) };
        }
    }

    /// Whether it answers readiness checks with 200.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        http::call(self.readiness, "GET /-/readyz HTTP/1.1", &[], limit).status == 200
    }

    /// Waits until it is ready; returns `false` if it isn't in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// Returns the log of its present process.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
