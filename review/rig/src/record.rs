//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the first argument of the program names.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Returns the time since the start of the script, ms.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:>3}.{:03} {}", now / 1000, now % 1000, text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
