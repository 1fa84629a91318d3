//! Starts daemons with the command of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::Request;
use crate::record::Record;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// All processes that run, so that none outlives the script.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script with an exit code, and all processes that it started.
pub fn exit(code: i32) -> ! {
    for pid in CHILDREN
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .drain(..)
    {
        // Safety: a call to the system without memory.
        unsafe { kill(pid as i32, 9) };
    }
    std::process::exit(code)
}

/// Ends the script with exit code 2 if it takes too long or a thread panics.
pub fn guard() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        exit(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the script takes too long");
        exit(2);
    });
}

/// Whether the daemon with this readiness address says that it is ready.
pub fn is_ready_at(readiness: SocketAddr) -> bool {
    let request = Request {
        method: "GET",
        host: "readiness",
        path: "/-/readyz",
        id: "",
        deadline_ms: 1_000,
        headers: &[],
        body: b"",
        pace: None,
    };
    request.probe(readiness) == 200
}

pub struct Daemon {
    pub host: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// The bounds that the template fills in, as in the sheet of the small deployments.
const BOUNDS: &str = "bounds:\n  grace_s: 8\n  retry_ratio: 0.2\n  retry_window_s: 10\n  \
    retry_extra: 106\n  cold_factor: 1.5\n  cold_extra: 5\n  config_ms: 2000\n  \
    endpoints_ms: 2000\n  emptied_ms: 5000\n";

impl Daemon {
    /// Prepares the daemon of a host with an IP address of its own on the loopback interface.
    pub fn new(record: &Record, host: &str, zone: &str, ip: &str, store: SocketAddr) -> Self {
        let addresses: Vec<SocketAddr> = (0..4).map(|_| crate::free_address(ip)).collect();
        let folder = std::env::temp_dir().join(format!("review-{}-{host}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let text = format!(
            "host: \"{host}\"\ndata_centre: \"{zone}\"\nlisten:\n  callers: \"{}\"\n  \
             readiness: \"{}\"\n  peers: \"{}\"\n  metrics: \"{}\"\nstore: \"{store}\"\nseeds: []\n\
             cpu_share: 0.25\n{BOUNDS}",
            addresses[0], addresses[1], addresses[2], addresses[3]
        );
        fs::write(folder.join("local.yaml"), text).expect("a settings file");
        Self {
            host: host.to_owned(),
            frontend: addresses[0],
            readiness: addresses[1],
            folder,
            child: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/sardinepaddled")
            .arg("--behind-platform")
            .arg("--settings")
            .arg(self.folder.join("local.yaml"))
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/sardinepaddled starts");
        CHILDREN.lock().expect("children").push(child.id());
        self.record
            .line(format!("daemon {} started, pid {}", self.host, child.id()));
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .line(format!("daemon {} gets signal {signal}", self.host));
        // Safety: a call to the system without memory.
        unsafe { kill(self.pid() as i32, signal) };
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(format!("daemon {} killed", self.host));
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN
                .lock()
                .expect("children")
                .retain(|pid| *pid != child.id());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        is_ready_at(self.readiness)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(Instant::now() < until, "daemon {} is not ready", self.host);
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(format!("daemon {} is ready", self.host));
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
