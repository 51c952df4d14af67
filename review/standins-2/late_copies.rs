//! Workers that are full for a moment and send second copies of some answers, late.

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
use crate::worker::Faults;
use crate::worker::LateCopies;
use crate::worker::Options;
use crate::worker::Work;
use crate::worker::Worker;

/// The sheet of `ccdt-costing`.
const SHEET: Sheet =
    Sheet { tolerated: 1, front_memory_mb: 110, store_memory_mb: 120, store_disk_mb: 260 };

/// The workers; every second one sends late copies.
const WORKERS: u8 = 4;

/// The clients, each with one request at a time: a few more than the workers have places.
const CLIENTS: usize = 42;

/// One answer in so many is copied: 3 in 100.
const COPIED_ONE_IN: u64 = 33;

/// When copies are sent, in seconds after the start of traffic; five seconds each time.
const TROUBLES: [(f64, f64); 4] = [(5.0, 10.0), (15.0, 20.0), (25.0, 30.0), (35.0, 40.0)];

/// How long clients send, in seconds.
const TRAFFIC_S: f64 = 43.0;

/// Plays the case; `has_trouble` says whether copies are sent.
///
/// # Errors
/// Fails if the case cannot run.
pub fn play(base: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
    let cluster = Cluster::start(base, [3, 3, 4], SHEET)?;
    cluster.configure(clients::CONFIGURATION, Duration::from_secs(15))?;
    cluster.wait_ready(Duration::from_secs(15))?;
    let sound = Arc::new(LateCopies::default());
    let faulty = Arc::new(LateCopies::new(COPIED_ONE_IN));
    for number in 0..WORKERS {
        let copies = if number % 2 == 0 { faulty.clone() } else { sound.clone() };
        let options = Options {
            id: format!("i-{number}"),
            service: "app".to_owned(),
            ip: cluster.stand_in_ip(number),
            slots: 6,
            queue: 2,
            work: Work::Plain(Duration::from_millis(20), Duration::from_millis(120)),
        };
        Worker::start(
            options,
            cluster.controls(),
            record.clone(),
            Faults { copies, ..Faults::default() },
        )?;
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let senders = clients::start(&cluster, CLIENTS, record, &stop);
    let started = Instant::now();
    for (from, to) in TROUBLES {
        worker::wait_until(started, from);
        faulty.is_on.store(has_trouble, Ordering::Relaxed);
        record.note(&format!("late copies: {has_trouble}"));
        worker::wait_until(started, to);
        faulty.is_on.store(false, Ordering::Relaxed);
        record.note("late copies: off");
    }
    worker::wait_until(started, TRAFFIC_S);
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    record.note(&format!("late copies: {}", faulty.sent.load(Ordering::Relaxed)));
    Ok(clients::judge(record))
}
