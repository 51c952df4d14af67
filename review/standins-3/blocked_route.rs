//! Case 15: a service whose workers crash at the same moment gets no request any more once they are back.

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::system::CLIENT_DEADLINE;
use crate::system::Clients;
use crate::system::Shape;
use crate::system::System;
use crate::system::document;
use crate::system::lookup;

/// The workers of the service of lookups.
const WORKERS: usize = 6;

/// How long a lookup takes, in milliseconds.
const WORK_MS: u64 = 450;

/// The clients and the interval of each one's requests: 20 lookups a second.
const CLIENTS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(600);

/// How long the workers are away.
const AWAY: Duration = Duration::from_secs(3);

/// How long requests are sent before the crash.
const BEFORE: Duration = Duration::from_secs(8);

/// How long the machine of the final fault is away.
const DOWN: Duration = Duration::from_secs(1);

/// `recover_s` of the settings.
const RECOVER: Duration = Duration::from_secs(12);

/// How long requests are counted after `recover_s`.
const COUNTED: Duration = Duration::from_secs(30);

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 3, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    system.order_until_done("POST", "/Config.Replace", &document(1), limit)?;
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(system.worker(&format!("a-{number}"), "app", WORK_MS)?);
    }
    std::thread::sleep(Duration::from_secs(5));
    let fronts = system.fronts();
    let from = record.seconds();
    let mut clients = Clients::start(CLIENTS, &fronts, INTERVAL, record, lookup);
    std::thread::sleep(BEFORE);
    if has_trouble {
        workers.iter_mut().for_each(|worker| worker.kill());
        record.note(&format!("the {WORKERS} workers crash at the same moment"));
    }
    std::thread::sleep(AWAY);
    if has_trouble {
        let options: Vec<_> = workers.iter().map(|worker| worker.options.clone()).collect();
        workers.clear();
        for options in options {
            workers.push(system.start_worker(options)?);
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    system.order_until_done("POST", "/Config.Replace", &document(2), limit)?;
    record.note("version 2 of the configuration is acknowledged");
    let before = clients.served("before the final fault", from, record.seconds());
    let seeds = system.control();
    let lost = system.core.last_mut().ok_or("no machine serves control")?;
    lost.kill();
    lost.lose_disk().map_err(|cause| cause.to_string())?;
    record.note(&format!("final fault: {} loses its disk", lost.name));
    std::thread::sleep(DOWN);
    lost.start(&seeds, false).map_err(|cause| cause.to_string())?;
    record.note(&format!("{} is back with an empty disk", lost.name));
    let counted_from = record.seconds() + RECOVER.as_secs_f64();
    std::thread::sleep(RECOVER + COUNTED + CLIENT_DEADLINE);
    clients.stop();
    let to = counted_from + COUNTED.as_secs_f64();
    let after = clients.served("after recover_s", counted_from, to);
    if before.1 * 4 < before.0 {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    Ok(after.1 * 4 >= after.0)
}
