//! Case 12: a worker starts again under its id with other software, and its first heartbeat is late.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::stream_client;
use crate::stream_client::Stream;
use crate::system::Shape;
use crate::system::System;
use crate::system::document;

/// The streams that run at the same time.
const STREAMS: usize = 8;

/// The deadline of a stream.
const DEADLINE: Duration = Duration::from_secs(5);

/// How many streams may hold events of two versions.
const MIXED_MAX: usize = 2;

/// How long a worker that starts again is away.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// How late the first heartbeat of the new incarnation arrives, in milliseconds.
const LATE_BEAT_MS: u64 = 1_000;

/// The events of a stream, and the pause between two of them in milliseconds.
const EVENTS: u64 = 20;
const EVENT_MS: u64 = 100;

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    system.order_until_done("POST", "/Config.Replace", &document(1), limit)?;
    let mut options = system.worker_options("e-1", "engines", 20);
    (options.events, options.event_ms) = (EVENTS, EVENT_MS);
    let mut old = system.start_worker(options.clone())?;
    let fronts = system.fronts();
    std::thread::sleep(Duration::from_secs(6));
    // One whole stream shows that the worker is in use.
    let first = stream_client::read(fronts[0], DEADLINE, record);
    if !first.is_whole {
        return Err("streams are not served".to_owned());
    }
    // The other workers have the new version; the last old one runs all streams that began there.
    let start = |number: usize| {
        let (front, record) = (fronts[number % fronts.len()], record.clone());
        std::thread::spawn(move || stream_client::read(front, DEADLINE, &record))
    };
    let clients: Vec<_> = (0..STREAMS).map(start).collect();
    std::thread::sleep(Duration::from_millis(700));
    let mut newer_options = system.worker_options("e-2", "engines", 20);
    (newer_options.events, newer_options.event_ms) = (EVENTS, EVENT_MS);
    newer_options.version = "v2".to_owned();
    let _newer = system.start_worker(newer_options)?;
    std::thread::sleep(Duration::from_millis(300));
    let mut again = None;
    if has_trouble {
        old.kill();
        record.note("worker e-1 was killed");
        std::thread::sleep(RESTART_PAUSE);
        options.version = "v2".to_owned();
        options.first_beat_ms = LATE_BEAT_MS;
        again = Some(system.start_worker(options)?);
        record.note(&format!("its first heartbeat arrives {LATE_BEAT_MS} ms late"));
    }
    let ended = clients.into_iter().map(|client| client.join().unwrap_or_default());
    let streams: Vec<Stream> = ended.collect();
    drop(again);
    let versions_of = |stream: &Stream| -> BTreeSet<String> {
        stream.events.iter().map(|event| event.data.clone()).collect()
    };
    let mixed = streams.iter().filter(|stream| versions_of(stream).len() > 1).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    let begun = streams.iter().filter(|stream| !stream.events.is_empty()).count();
    record.note(&format!(
        "{STREAMS} streams: {begun} began, {whole} ended whole, {mixed} hold events of two versions"
    ));
    Ok(mixed <= MIXED_MAX)
}
