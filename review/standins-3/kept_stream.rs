//! Case 11: streams on a route that keeps turns are lost with the process that passed them on.

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::stream_client;
use crate::stream_client::Plan;
use crate::stream_client::Stream;
use crate::system::Shape;
use crate::system::System;
use crate::system::document_that_keeps;

/// The streams that are taken up, and the new ones that begin meanwhile; the rule asks for 12.
const STREAMS: usize = 16;

/// The deadline of a stream.
const DEADLINE: Duration = Duration::from_secs(5);

/// The events of a stream, and the pause between two of them in milliseconds.
const EVENTS: u64 = 20;
const EVENT_MS: u64 = 100;

/// When the process is killed after the streams began. Without that, each client closes its connection
/// after so many events.
const KILLED_AFTER: Duration = Duration::from_millis(800);
const CLOSES_AFTER: usize = 7;

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    system.order_until_done("POST", "/Config.Replace", &document_that_keeps(1), limit)?;
    let mut workers = Vec::new();
    for id in ["e-1", "e-2"] {
        let mut options = system.worker_options(id, "engines", 20);
        (options.events, options.event_ms) = (EVENTS, EVENT_MS);
        workers.push(system.start_worker(options)?);
    }
    std::thread::sleep(Duration::from_secs(5));
    let (first, then) = (system.entry[0].front(), system.entry[1].front());
    let plan = Plan { first, then, deadline: DEADLINE, closes_after: None };
    if !stream_client::read(&Plan { first: then, ..plan.clone() }, record).is_whole {
        return Err("streams are not served".to_owned());
    }
    let start = |plan: &Plan| {
        let (plan, record) = (plan.clone(), record.clone());
        std::thread::spawn(move || stream_client::read(&plan, &record))
    };
    let join = |threads: Vec<std::thread::JoinHandle<Stream>>| -> Vec<Stream> {
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect()
    };
    let closes_after = (!has_trouble).then_some(CLOSES_AFTER);
    let broken: Vec<_> =
        (0..STREAMS).map(|_| start(&Plan { closes_after, ..plan.clone() })).collect();
    std::thread::sleep(KILLED_AFTER);
    if has_trouble {
        system.entry[0].kill();
        record.note(&format!("{} was killed", system.entry[0].name));
    }
    std::thread::sleep(Duration::from_millis(200));
    let new: Vec<_> = (0..STREAMS).map(|_| start(&Plan { first: then, ..plan.clone() })).collect();
    let (broken, new) = (join(broken), join(new));
    drop(workers);
    let taken_up: Vec<&Stream> = broken.iter().filter(|stream| stream.taken_up > 0).collect();
    let goes_on = taken_up.iter().filter(|one| one.events.len() > one.first_events).count();
    let whole = taken_up.iter().filter(|one| one.is_whole).count();
    let begun = new.iter().filter(|stream| !stream.events.is_empty()).count();
    record.note(&format!(
        "{} streams are taken up: {goes_on} go on, {whole} to the end; of {STREAMS} new ones {begun} begin",
        taken_up.len()
    ));
    if taken_up.len() < 12 {
        return Err("fewer than 12 streams were taken up".to_owned());
    }
    let share = |count: usize, of: usize| count as f64 / of as f64;
    Ok(share(goes_on, taken_up.len()) >= share(begun, STREAMS) / 2.0)
}
