//! Processes under test. Each is ended, by its id, when dropped.

use std::ffi;
use std::fs;
use std::io;
use std::path;
use std::process;
use std::time::Duration;

use nix::sys::signal;
use nix::unistd;
use tokio::time;

/// Time between two looks at a process that is to end.
const END_PERIOD: Duration = Duration::from_millis(20);

/// A process under test.
#[derive(Debug)]
pub struct TestProcess {
    child: process::Child,
}

impl TestProcess {
    /// Starts a program of this workspace, with its output in `log`.
    pub fn start<I, S>(program: &str, args: I, log: &path::Path) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<ffi::OsStr>,
    {
        let output = fs::File::options().create(true).append(true).open(log)?;
        let child = process::Command::new(program_path(program)?)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self { child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its highest memory use so far, KB; zero once it has ended.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        // A process that has ended already is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it from running, as a long pause does.
    pub fn freeze(&self) {
        self.send(signal::Signal::SIGSTOP);
    }

    /// Lets it run again.
    pub fn thaw(&self) {
        self.send(signal::Signal::SIGCONT);
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.send(signal::Signal::SIGTERM);
    }

    fn send(&self, signal: signal::Signal) {
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        // A process that has ended already is fine.
        let _ = signal::kill(unistd::Pid::from_raw(id), signal);
    }

    /// Waits for its end; `None` if it has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<process::ExitStatus> {
        let until = time::Instant::now() + limit;
        while time::Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            time::sleep(END_PERIOD).await;
        }
        None
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of a program built with this one.
fn program_path(program: &str) -> io::Result<path::PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(program))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        let text = format!("{program} is not built; run cargo build --workspace");
        io::Error::new(io::ErrorKind::NotFound, text)
    })
}
