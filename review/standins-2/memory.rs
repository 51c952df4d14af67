//! Clients outside the operators' control continue from large turns, many at once.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::cluster::Cluster;
use crate::cluster::Process;
use crate::cluster::Sheet;
use crate::record::Record;
use crate::turns;
use crate::turns::ORDINARY_BYTES;
use crate::turns::Turn;

/// The sheet of `rendelo-hu-grown`.
const SHEET: Sheet =
    Sheet { tolerated: 2, front_memory_mb: 88, store_memory_mb: 120, store_disk_mb: 260 };

/// The bytes of a megabyte of the sheet.
const MEGABYTE: u64 = 1_000_000;

/// The body of a large turn, in bytes: below the `max_body_bytes` of 4,194,304.
const LARGE_BYTES: usize = 3_400_000;

/// The clients that continue at once.
const CLIENTS: usize = 30;

/// Plays the case; `has_trouble` says whether the turns are large.
///
/// # Errors
/// Fails if the case cannot run.
pub fn play(base: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(base, [5, 5, 2], SHEET)?;
    turns::prepare(&cluster, record)?;
    let front = cluster.entry[0].front();
    note_memory(&cluster, record, "before");
    let bytes = if has_trouble { LARGE_BYTES } else { ORDINARY_BYTES };
    let mut previous = None;
    for number in 1..=2 {
        let attempt = format!("root-{number}");
        let turn = Turn { attempt: &attempt, previous: previous.as_deref(), bytes };
        let status = turns::send(front, record, &turn);
        if status != Some(200) {
            return Ok(Outcome::CouldNotRun(format!("{attempt} was answered {status:?}")));
        }
        previous = Some(attempt);
    }
    note_memory(&cluster, record, "after the first turns");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, previous) = (record.clone(), previous.clone());
            thread::spawn(move || {
                let attempt = format!("next-{number}");
                let previous = previous.as_deref();
                let turn = Turn { attempt: &attempt, previous, bytes: ORDINARY_BYTES };
                turns::send(front, &record, &turn)
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    note_memory(&cluster, record, "after the crowd");
    let turn = Turn { attempt: "ordinary", previous: None, bytes: ORDINARY_BYTES };
    let ordinary = turns::send(front, record, &turn);
    let limits = [SHEET.front_memory_mb, SHEET.store_memory_mb];
    let mut is_broken = false;
    for (process, limit) in cluster
        .entry
        .iter_mut()
        .map(|one| (one, limits[0]))
        .chain(cluster.journal.iter_mut().map(|one| (one, limits[1])))
    {
        let peak = process.peak_memory().unwrap_or_default();
        if !process.is_running() || peak > limit * MEGABYTE {
            record.note(&format!("{} had {peak} bytes of {limit} MB", process.node));
            is_broken = true;
        }
    }
    record.note(&format!("an ordinary turn afterwards: {ordinary:?}"));
    match is_broken {
        true => Ok(Outcome::Broken),
        false => Ok(Outcome::Held),
    }
}

fn note_memory(cluster: &Cluster, record: &Record, when: &str) {
    let all = cluster.entry.iter().chain(&cluster.journal);
    let describe = |one: &Process| {
        format!("{}={} MB", one.node, one.peak_memory().unwrap_or_default() / MEGABYTE)
    };
    let peaks: Vec<String> = all.map(describe).collect();
    record.note(&format!("peak memory {when}: {}", peaks.join(" ")));
}
