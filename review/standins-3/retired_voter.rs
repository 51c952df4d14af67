//! Case 11: a storage machine that is being emptied is killed, and counts as emptied though it has a vote.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;
use crate::system;
use crate::system::Clients;
use crate::system::Shape;
use crate::system::System;
use crate::system::document;
use crate::system::turn;

/// `recover_s` of the settings.
const RECOVER: Duration = Duration::from_secs(12);

/// How long requests are counted after `recover_s`.
const COUNTED: Duration = Duration::from_secs(10);

/// The interval of each client's turns.
const INTERVAL: Duration = Duration::from_millis(125);

/// How long an operator waits for `succeeded`; well above `duration_s` of the order.
const RETIRE_LIMIT: Duration = Duration::from_secs(20);

/// The pause between two questions of the operator for the state of the order.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// The voters of the budgets: the first three of the four storage machines. The fourth one is a spare.
const VOTERS: usize = 3;

/// Returns the storage machine that leads the group of the budgets, by the logs: the one that was elected
/// last.
fn leader(system: &System) -> Option<usize> {
    let epoch = |line: &str| line.split(" epoch=").nth(1)?.split(' ').next()?.parse::<u64>().ok();
    let elections = system.journal.iter().enumerate().flat_map(|(index, node)| {
        let log = node.log();
        let elected = log.lines().filter(|line| line.contains("name=LogLeaderElected"));
        elected.filter_map(epoch).map(|epoch| (epoch, index)).collect::<Vec<_>>()
    });
    elections.max().map(|(_, index)| index)
}

/// Runs the case; returns whether the rule held.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let shape = Shape { core: 3, journal: 4, entry: 2, tolerated: 1 };
    let mut system = System::start(shape, record)?;
    let limit = Duration::from_secs(20);
    system.order_until_done("POST", "/Config.Replace", &document(1), limit)?;
    let _workers = [system.worker("e-1", "engines", 20)?, system.worker("e-2", "engines", 20)?];
    let fronts = system.fronts();
    let mut clients = Clients::start(4, &fronts, INTERVAL, record, |front| turn(front, "hello"));
    if !clients.wait_for_served(40, Duration::from_secs(20)) {
        return Err("turns are not served".to_owned());
    }
    let steady = record.seconds();
    std::thread::sleep(Duration::from_secs(4));
    let before = clients.served("before the order", steady, record.seconds());

    let retired = leader(&system).ok_or("no storage machine leads")?;
    let lost = (retired + 1) % VOTERS;
    let name = system.journal[retired].name.clone();
    record.note(&format!("{name} leads the budgets"));
    let path = format!("/Retire.Start/{name}");
    system.order_until_done("POST", &path, "{\"duration_s\":10}", limit)?;
    record.note(&format!("POST {path} was acknowledged"));
    if has_trouble {
        system.journal[retired].kill();
        system.journal[lost].kill();
        record.note(&format!("{name} and {} were killed", system.journal[lost].name));
    }
    let asked = Instant::now();
    let path = format!("/Retire.Get/{name}");
    loop {
        let answer = system.order_until_done("GET", &path, "", limit)?;
        if answer.text().contains("succeeded") {
            break;
        }
        if asked.elapsed() > RETIRE_LIMIT {
            record.note("the order did not succeed in time; there is nothing to show");
            return Ok(true);
        }
        std::thread::sleep(ASK_INTERVAL);
    }
    record.note(&format!("GET {path}: succeeded, after {:.1} s", asked.elapsed().as_secs_f64()));
    system.journal[retired].kill();
    system.journal[retired].lose_disk().map_err(|cause| cause.to_string())?;
    record.note(&format!("{name} is removed together with its disk"));

    // The final fault: one disk is lost, as `fault_tolerance` allows.
    let seeds = system.control();
    let lost = &mut system.journal[lost];
    lost.kill();
    lost.lose_disk().map_err(|cause| cause.to_string())?;
    record.note(&format!("final fault: {} loses its disk", lost.name));
    std::thread::sleep(Duration::from_secs(1));
    lost.start(&seeds, false).map_err(|cause| cause.to_string())?;
    record.note(&format!("{} is back with an empty disk", lost.name));
    let back = record.seconds();
    std::thread::sleep(RECOVER + COUNTED + system::CLIENT_DEADLINE);
    clients.stop();
    let from = back + RECOVER.as_secs_f64();
    let after = clients.served("after recover_s", from, from + COUNTED.as_secs_f64());
    if before.1 * 4 < before.0 {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    Ok(after.1 * 4 >= after.0)
}
