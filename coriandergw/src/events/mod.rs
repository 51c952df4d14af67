//! Numbered events: the log lines and the time line are made of them.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::SyncSender;

use log::kv::Value;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::events::limit::LineLimit;
use crate::ids::CallId;
use crate::ids::EntryName;
use crate::ids::InstanceName;
use crate::ids::ProgramId;

pub mod file;
mod limit;
pub mod log_output;
pub mod merge;
mod number;
mod query;
pub mod routes;
pub mod timeline_svg;

pub use number::EventNumber;
pub use number::Severity;
pub use query::EventQuery;

/// The events that an instance keeps in memory for the time line.
pub const KEPT_EVENTS: usize = 50_000;

/// What an event is about; every part is optional.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Subject {
    /// The program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<ProgramId>,
    /// The call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub call: Option<CallId>,
    /// The catalogue entry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryName>,
    /// The epoch of a lease or the term of a leader.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// Another instance or an endpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// The event that caused this one, as `instance#sequence`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}

/// One event as it is kept and shown.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// The event's number in the catalogue of events.
    pub number: u16,
    /// The instance that recorded it.
    pub instance: InstanceName,
    /// Counts the events of this process.
    pub sequence: u64,
    /// Wall time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Monotonic time of the process in microseconds.
    pub monotonic_us: u64,
    /// What the event is about.
    pub subject: Subject,
    /// Details, for people.
    pub message: String,
}

/// Records events of one instance: keeps them for the time line and hands them to the log.
pub struct Recorder {
    instance: InstanceName,
    clock: Arc<dyn Clock>,
    kept: Mutex<Kept>,
    kept_max: usize,
    /// Bounds the log lines, where they are bounded.
    limit: Option<Mutex<LineLimit>>,
    writer: Option<SyncSender<Event>>,
}

#[derive(Default)]
struct Kept {
    next_sequence: u64,
    events: VecDeque<Event>,
}

impl Recorder {
    /// Creates an empty recorder that keeps events in memory only.
    pub fn new(instance: InstanceName, clock: Arc<dyn Clock>) -> Self {
        Self {
            instance,
            clock,
            kept: Mutex::default(),
            kept_max: KEPT_EVENTS,
            limit: None,
            writer: None,
        }
    }

    /// Keeps fewer events in memory than [`KEPT_EVENTS`].
    pub fn keep_at_most(mut self, events: usize) -> Self {
        self.kept_max = events;
        self
    }

    /// Bounds the log lines of each event number.
    pub fn limit_lines(mut self) -> Self {
        self.limit = Some(Mutex::default());
        self
    }

    /// Creates a recorder that goes on from the events in a folder and adds to them.
    ///
    /// # Errors
    /// Fails if the folder cannot be written to.
    pub fn with_folder(
        instance: InstanceName,
        clock: Arc<dyn Clock>,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let events: VecDeque<Event> = file::read_events(folder).into();
        let next_sequence = events.back().map_or(0, |event| event.sequence + 1);
        let writer = Some(file::start_writer(folder)?);
        let kept = Mutex::new(Kept { next_sequence, events });
        Ok(Self { instance, clock, kept, kept_max: KEPT_EVENTS, limit: None, writer })
    }

    /// Records an event.
    pub fn record<M>(&self, number: EventNumber, subject: Subject, message: M)
    where
        M: Into<String>,
    {
        let mut kept = self.kept.lock().expect("not poisoned");
        let event = Event {
            number: number.number(),
            instance: self.instance.clone(),
            sequence: kept.next_sequence,
            wall_ms: self.clock.wall().0,
            monotonic_us: self.clock.now().0,
            subject,
            message: message.into(),
        };
        kept.next_sequence += 1;
        if kept.events.len() >= self.kept_max {
            kept.events.pop_front();
        }
        kept.events.push_back(event.clone());
        if let Some(writer) = &self.writer {
            // Dropped where the writer is behind; the log line is still written.
            let _ = writer.try_send(event.clone());
        }
        drop(kept);
        let Some(limit) = &self.limit else {
            return write_log_line(number, &event, 0);
        };
        let now = Timestamp(event.monotonic_us);
        let admitted = limit.lock().expect("not poisoned").admit(event.number, now);
        if let Some(left_out) = admitted {
            write_log_line(number, &event, left_out);
        }
    }

    /// Returns the kept events that `wanted` selects, oldest first.
    pub fn select<F>(&self, wanted: F) -> Vec<Event>
    where
        F: Fn(&Event) -> bool,
    {
        let kept = self.kept.lock().expect("not poisoned");
        kept.events.iter().filter(|event| wanted(event)).cloned().collect()
    }
}

fn write_log_line(number: EventNumber, event: &Event, left_out: u64) {
    let level = match number.severity() {
        Severity::Debug => log::Level::Debug,
        Severity::Info => log::Level::Info,
        Severity::Warning => log::Level::Warn,
        Severity::Error => log::Level::Error,
    };
    if !log::log_enabled!(level) {
        return;
    }
    let mut pairs = log_pairs(number, event);
    if left_out > 0 {
        pairs.push(("left_out", Value::from(left_out)));
    }
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target("coriandergw")
            .key_values(&pairs.as_slice())
            .args(format_args!("{}", event.message))
            .build(),
    );
}

/// Lists what a log line shows besides its message; parts that an event lacks are left out.
fn log_pairs<'a>(number: EventNumber, event: &'a Event) -> Vec<(&'static str, Value<'a>)> {
    let subject = &event.subject;
    let mut pairs = vec![
        ("event", Value::from(event.number)),
        ("name", Value::from(number.name())),
        ("instance", Value::from(event.instance.as_str())),
        ("sequence", Value::from(event.sequence)),
    ];
    pairs.extend(subject.program.as_ref().map(|id| ("program", Value::from(id.as_str()))));
    pairs.extend(subject.call.as_ref().map(|id| ("call", Value::from(id.as_str()))));
    pairs.extend(subject.entry.as_ref().map(|name| ("entry", Value::from(name.as_str()))));
    pairs.extend(subject.epoch.map(|epoch| ("epoch", Value::from(epoch))));
    pairs.extend(subject.peer.as_deref().map(|peer| ("peer", Value::from(peer))));
    pairs.extend(subject.cause.as_deref().map(|cause| ("cause", Value::from(cause))));
    pairs
}
