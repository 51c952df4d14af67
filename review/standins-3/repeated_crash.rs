//! Case 12: a request that crashes each worker that runs it is sent on and on.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::record::Record;
use crate::system::Clients;
use crate::system::Shape;
use crate::system::System;
use crate::system::document;
use crate::system::lookup;
use crate::system::lookup_at;
use crate::worker::CRASHING_PATH;
use crate::worker::Worker;
use crate::worker::WorkerOptions;

/// The workers of the only service that has any.
const WORKERS: usize = 3;

/// How long a worker that crashed is away.
const AWAY: Duration = Duration::from_secs(3);

/// How often the request comes again, at one front address after the other.
const COMES_EVERY: Duration = Duration::from_secs(1);

/// How often it comes.
const ARRIVALS: usize = 40;

/// The clients of ordinary lookups, and the interval of each one's requests.
const CLIENTS: usize = 4;
const INTERVAL: Duration = Duration::from_millis(200);

/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// The crash after which the request may reach workers in [`RETRIES_MAX`] retries more.
const CRASHES_BEFORE: usize = 3;
const RETRIES_MAX: usize = 3;

/// How often the workers are looked at.
const LOOK: Duration = Duration::from_millis(10);

/// A worker, or what it was before it crashed and when that was.
struct Place {
    name: String,
    starts: usize,
    options: WorkerOptions,
    worker: Option<Worker>,
    crashed_at: Instant,
}

/// Workers that the platform starts again some seconds after they crashed.
pub struct Places {
    places: Vec<Place>,
    /// When a worker crashed, in seconds since the start of the case.
    pub crashes: Vec<f64>,
}

impl Places {
    /// Starts the workers of the service of lookups.
    pub fn start(system: &mut System, count: usize) -> Result<Self, String> {
        let mut places = Vec::new();
        for number in 1..=count {
            let name = format!("a-{number}");
            let options = system.worker_options(&name, "app", 20);
            let worker = Some(system.start_worker(options.clone())?);
            places.push(Place { name, starts: 0, options, worker, crashed_at: Instant::now() });
        }
        Ok(Self { places, crashes: Vec::new() })
    }

    /// Looks for workers that crashed, and starts those again that have been away long enough, for this
    /// time.
    pub fn watch(&mut self, system: &System, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.look(system)?;
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn look(&mut self, system: &System) -> Result<(), String> {
        for place in &mut self.places {
            if place.worker.as_mut().is_some_and(Worker::has_crashed) {
                self.crashes.push(system.record.seconds());
                let (count, id) = (self.crashes.len(), &place.options.id);
                system.record.detail(&format!("crash {count}: worker {id}"));
                (place.worker, place.crashed_at) = (None, Instant::now());
            }
            if place.worker.is_none() && place.crashed_at.elapsed() >= AWAY {
                // Each start of a worker is a new incarnation, mostly with a new id.
                place.starts += 1;
                place.options.id = format!("{}-{}", place.name, place.starts);
                place.worker = Some(system.start_worker(place.options.clone())?);
            }
        }
        Ok(())
    }
}

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    system.order_until_done("POST", "/Config.Replace", &document(1), limit)?;
    let mut places = Places::start(&mut system, WORKERS)?;
    std::thread::sleep(Duration::from_secs(5));
    let fronts = system.fronts();
    let from = record.seconds();
    let mut clients = Clients::start(CLIENTS, &fronts, INTERVAL, record, lookup);
    std::thread::sleep(Duration::from_secs(2));
    let path = if has_trouble { CRASHING_PATH } else { "/rates/other" };
    for sent in 0..ARRIVALS {
        let (call, record) = (lookup_at(fronts[sent % fronts.len()], path), record.clone());
        std::thread::spawn(move || {
            let answer = call.send();
            let status = answer.as_ref().map_or(0, Message::status);
            let text = answer.map(|answer| answer.text()).unwrap_or_default();
            record.detail(&format!("client {path} at {}: {status} {text}", call.to));
        });
        places.watch(&system, COMES_EVERY)?;
    }
    clients.stop();
    clients.served("ordinary lookups", from, record.seconds());
    let crashes = places.crashes;
    let counted_from = crashes.get(CRASHES_BEFORE - 1).map(|at| at + CONTACT.as_secs_f64());
    let late = crashes.iter().filter(|at| counted_from.is_some_and(|from| **at > from)).count();
    record.note(&format!(
        "the request came {ARRIVALS} times and crashed {} workers, {late} of them later than contact_ms \
         after the third crash",
        crashes.len()
    ));
    Ok(late <= RETRIES_MAX)
}
