//! Case 13: a request that was stopped for its crashes reaches workers again after all machines lost power.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::record::Record;
use crate::repeated_crash::Places;
use crate::system::Shape;
use crate::system::System;
use crate::system::document;
use crate::system::lookup;
use crate::system::lookup_at;
use crate::worker::CRASHING_PATH;

/// The workers of the service.
const WORKERS: usize = 12;

/// How long all machines are without power.
const DOWN: Duration = Duration::from_secs(1);

/// How long after their return the request comes again: well above `contact_ms`.
const RETURNS_AFTER: Duration = Duration::from_secs(7);

/// How long crashes are counted after that.
const COUNTED: Duration = Duration::from_secs(8);

/// The crash after which the request may reach workers in so many retries more.
const CRASHES_BEFORE: usize = 3;
const RETRIES_MAX: usize = 3;

/// The pause between two arrivals of the request until it is stopped.
const COMES_EVERY: Duration = Duration::from_millis(1_500);

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 4, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    system.order_until_done("POST", "/Config.Replace", &document(1), limit)?;
    // Workers of another service, so that not all workers of the deployment can be down.
    let _others = [system.worker("e-1", "engines", 20)?, system.worker("e-2", "engines", 20)?];
    let mut places = Places::start(&mut system, WORKERS)?;
    std::thread::sleep(Duration::from_secs(5));
    let fronts = system.fronts();
    let send = |number: usize| {
        let (call, record) =
            (lookup_at(fronts[number % fronts.len()], CRASHING_PATH), record.clone());
        std::thread::spawn(move || {
            let answer = call.send();
            let status = answer.as_ref().map_or(0, Message::status);
            let text = answer.map(|answer| answer.text()).unwrap_or_default();
            record.detail(&format!("client {CRASHING_PATH} at {}: {status} {text}", call.to));
            text.contains("CG-2011")
        })
    };
    let mut is_stopped = false;
    for number in 0..8 {
        let sending = send(number);
        places.watch(&system, COMES_EVERY)?;
        is_stopped = sending.join().unwrap_or(false);
        if is_stopped && places.crashes.len() >= CRASHES_BEFORE {
            break;
        }
    }
    if !is_stopped {
        return Err("the request was not stopped".to_owned());
    }
    record.note(&format!("the request is stopped after {} crashes", places.crashes.len()));
    places.watch(&system, Duration::from_secs(4))?;
    let seeds = system.control();
    if has_trouble {
        let System { core, journal, entry, .. } = &mut system;
        let mut all: Vec<_> = core.iter_mut().chain(journal).chain(entry).collect();
        all.iter_mut().for_each(|node| node.kill());
        record.note("all processes of the system are killed at the same moment");
        std::thread::sleep(DOWN);
        for node in all {
            node.start(&seeds, false).map_err(|cause| cause.to_string())?;
        }
        record.note("all are started again");
    }
    places.watch(&system, RETURNS_AFTER)?;
    let ready =
        fronts.iter().all(|front| lookup(*front).send().is_ok_and(|answer| answer.status() == 200));
    if !ready {
        return Err("ordinary lookups are not served".to_owned());
    }
    let before = places.crashes.len();
    let clients: Vec<_> = (0..fronts.len()).map(send).collect();
    let counted_from = Instant::now();
    places.watch(&system, COUNTED)?;
    clients.into_iter().for_each(|client| {
        let _ = client.join();
    });
    let late = places.crashes.len() - before;
    record.note(&format!(
        "{:.0} s after the request came again at {} fronts it has crashed {late} workers more",
        counted_from.elapsed().as_secs_f64(),
        fronts.len()
    ));
    Ok(late <= RETRIES_MAX)
}
