//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to the file of a case and to the standard output.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file anew.
    ///
    /// # Errors
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line to the file only.
    pub fn detail(&self, line: &str) {
        let text = format!("{:8.3} {line}\n", self.seconds());
        let mut file = self.file.lock().expect("not poisoned");
        let _ = file.write_all(text.as_bytes());
    }

    /// Adds a line to the file and the standard output.
    pub fn note(&self, line: &str) {
        println!("{:8.3} {line}", self.seconds());
        self.detail(line);
    }
}
