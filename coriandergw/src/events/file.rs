//! Keeps the events of an instance with a data folder across restarts.
//!
//! Events are JSON, one a line, in two files that take turns, so that the space is bounded. They
//! are not synced: the time line is for people, no promise rests on it.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use crate::events::Event;

/// The size in bytes at which a new file is begun.
const FILE_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// The events that may wait for the writer; more are dropped from the file.
const WAITING_MAX: usize = 4_096;

/// Reads the events kept in a folder, oldest first. Lines that are not events are passed over.
pub fn read_events(folder: &Path) -> Vec<Event> {
    let mut events = Vec::new();
    for file in [older_file(folder), newer_file(folder)] {
        let Ok(f) = File::open(file) else {
            continue;
        };
        let lines = BufReader::new(f).lines().map_while(Result::ok);
        events.extend(lines.filter_map(|line| serde_json::from_str::<Event>(&line).ok()));
    }
    events
}

/// Starts a thread that appends events to the files of a folder.
///
/// # Errors
/// Fails if the file cannot be opened.
pub fn start_writer(folder: &Path) -> std::io::Result<SyncSender<Event>> {
    let writer = EventWriter::open(folder)?;
    let (tx, rx) = sync_channel(WAITING_MAX);
    std::thread::Builder::new().name("events".to_owned()).spawn(move || writer.run(rx))?;
    Ok(tx)
}

fn newer_file(folder: &Path) -> PathBuf {
    folder.join("events.jsonl")
}

fn older_file(folder: &Path) -> PathBuf {
    folder.join("events.1.jsonl")
}

struct EventWriter {
    folder: PathBuf,
    file: BufWriter<File>,
    bytes: u64,
}

impl EventWriter {
    fn open(folder: &Path) -> std::io::Result<Self> {
        let mut file = OpenOptions::new().create(true).append(true).open(newer_file(folder))?;
        let bytes = file.metadata()?.len();
        if bytes > 0 {
            // Ends a line that a crash may have torn.
            file.write_all(b"\n")?;
        }
        Ok(Self { folder: folder.to_owned(), file: BufWriter::new(file), bytes })
    }

    fn run(mut self, rx: Receiver<Event>) {
        while let Ok(event) = rx.recv() {
            let batch = std::iter::once(event).chain(rx.try_iter());
            for event in batch {
                self.write(&event);
            }
            // A full disk costs the time line its newest events and nothing else.
            let _ = self.file.flush();
        }
    }

    fn write(&mut self, event: &Event) {
        let Ok(mut line) = serde_json::to_vec(event) else {
            return;
        };
        line.push(b'\n');
        if self.file.write_all(&line).is_ok() {
            self.bytes += line.len() as u64;
        }
        if self.bytes >= FILE_MAX_BYTES {
            self.begin_file();
        }
    }

    fn begin_file(&mut self) {
        let _ = self.file.flush();
        let renamed = std::fs::rename(newer_file(&self.folder), older_file(&self.folder));
        if renamed.is_ok()
            && let Ok(next) = Self::open(&self.folder)
        {
            *self = next;
        }
    }
}

#[cfg(test)]
mod tests;
