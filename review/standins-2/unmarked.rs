//! A worker fails part of its requests after they ran, with a 503 that is not marked as not executed.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::clients;
use crate::cluster::Cluster;
use crate::cluster::Sheet;
use crate::record::Record;
use crate::worker;
use crate::worker::Failures;
use crate::worker::Faults;
use crate::worker::Options;
use crate::worker::Work;
use crate::worker::Worker;

/// The sheet of `ccdt-costing`.
const SHEET: Sheet =
    Sheet { tolerated: 1, front_memory_mb: 110, store_memory_mb: 120, store_disk_mb: 260 };

/// The workers, of which one fails requests: a share of 0.14.
const WORKERS: u8 = 7;

/// The clients, each with one request at a time: half of what the workers have places for.
const CLIENTS: usize = 20;

/// When the worker fails two of five requests, in seconds after the start of traffic.
const TROUBLE: (f64, f64) = (4.0, 10.0);

/// How long clients send, in seconds.
const TRAFFIC_S: f64 = 13.0;

/// Plays the case; `has_trouble` says whether the worker fails requests.
///
/// # Errors
/// Fails if the case cannot run.
pub fn play(base: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
    let cluster = Cluster::start(base, [3, 3, 2], SHEET)?;
    cluster.configure(clients::CONFIGURATION, Duration::from_secs(15))?;
    cluster.wait_ready(Duration::from_secs(15))?;
    let failures = Arc::new(Failures::new(2));
    for number in 0..WORKERS {
        let faults = match number {
            0 => Faults { failures: failures.clone(), ..Faults::default() },
            _ => Faults::default(),
        };
        let options = Options {
            id: format!("i-{number}"),
            service: "app".to_owned(),
            ip: cluster.stand_in_ip(number),
            slots: 6,
            queue: 24,
            work: Work::Plain(Duration::from_millis(20), Duration::from_millis(120)),
        };
        Worker::start(options, cluster.controls(), record.clone(), faults)?;
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let senders = clients::start(&cluster, CLIENTS, record, &stop);
    let started = Instant::now();
    worker::wait_until(started, TROUBLE.0);
    failures.is_on.store(has_trouble, Ordering::Relaxed);
    record.note(&format!("i-0 fails requests: {has_trouble}"));
    worker::wait_until(started, TROUBLE.1);
    failures.is_on.store(false, Ordering::Relaxed);
    worker::wait_until(started, TRAFFIC_S);
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    Ok(clients::judge(record))
}
