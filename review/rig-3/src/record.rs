//! The record of a run: what was sent, answered and run, with times.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of a run, written to a file as they come.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path)?)),
        })
    }

    pub fn add(&self, line: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{seconds:8.3} s  {line}");
    }
}
