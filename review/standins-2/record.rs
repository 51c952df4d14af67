//! What was sent, answered and run, in memory and in `record.txt`.

use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// One attempt of a client.
#[derive(Debug, Clone, Default)]
pub struct Attempt {
    /// The workers that began to work on it, in order.
    pub runs: Vec<String>,
    /// The status that the client got; `None` without a whole answer.
    pub status: Option<u16>,
}

struct State {
    attempts: HashMap<String, Attempt>,
    file: BufWriter<File>,
}

/// The record of one play.
pub struct Record {
    started: Instant,
    state: Mutex<State>,
}

impl Record {
    /// Creates the record and the file `record.txt` in `folder`.
    ///
    /// # Errors
    /// Fails if the file cannot be created.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(folder.join("record.txt"))?);
        let state = Mutex::new(State { attempts: HashMap::new(), file });
        Ok(Self { started: Instant::now(), state })
    }

    /// Writes a line with the time since the start, in seconds.
    pub fn note(&self, line: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        let _ = writeln!(state.file, "{:9.3} {line}", self.started.elapsed().as_secs_f64());
        let _ = state.file.flush();
    }

    fn change<F>(&self, attempt: &str, line: &str, action: F)
    where
        F: FnOnce(&mut Attempt),
    {
        let mut state = self.state.lock().expect("not poisoned");
        action(state.attempts.entry(attempt.to_owned()).or_default());
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = writeln!(state.file, "{seconds:9.3} {attempt} {line}");
    }

    /// Notes that a client sends an attempt.
    pub fn sent(&self, attempt: &str, what: &str) {
        self.change(attempt, &format!("sent {what}"), |_| {});
    }

    /// Notes that a worker begins to work on an attempt.
    pub fn run(&self, attempt: &str, worker: &str) {
        self.change(attempt, &format!("run by {worker}"), |one| one.runs.push(worker.to_owned()));
    }

    /// Notes what the client got.
    pub fn answered(&self, attempt: &str, status: Option<u16>) {
        let line = status.map_or("no answer".to_owned(), |status| format!("answered {status}"));
        self.change(attempt, &line, |one| one.status = status);
    }

    /// Notes something else about an attempt.
    pub fn about(&self, attempt: &str, line: &str) {
        self.change(attempt, line, |_| {});
    }

    /// Returns all attempts so far.
    pub fn attempts(&self) -> HashMap<String, Attempt> {
        let mut state = self.state.lock().expect("not poisoned");
        let _ = state.file.flush();
        state.attempts.clone()
    }
}
