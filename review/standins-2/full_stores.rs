//! Clients outside the operators' control send turns with large bodies until the stores are full.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::cluster::Cluster;
use crate::cluster::Sheet;
use crate::record::Record;
use crate::turns;
use crate::turns::ORDINARY_BYTES;
use crate::turns::Turn;

/// The sheet of `rendelo-hu-grown`.
const SHEET: Sheet =
    Sheet { tolerated: 2, front_memory_mb: 88, store_memory_mb: 120, store_disk_mb: 260 };

/// The turns of the crowd, as the size of their bodies in bytes and their number. All are below the
/// `max_body_bytes` of 4,194,304.
const CROWD: [(usize, usize); 4] =
    [(4_000_000, 50), (400_000, 120), (40_000, 200), (ORDINARY_BYTES, 200)];

/// The pause between two sizes.
const PAUSE: Duration = Duration::from_millis(700);

/// How many turns of the crowd are sent at once.
const AT_ONCE: usize = 6;

/// How long ordinary turns are counted before and after the crowd.
const COUNTED: Duration = Duration::from_secs(10);

/// Plays the case; `has_trouble` says whether the bodies of the crowd are large.
///
/// # Errors
/// Fails if the case cannot run.
pub fn play(base: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
    let cluster = Cluster::start(base, [5, 5, 2], SHEET)?;
    turns::prepare(&cluster, record)?;
    let (crowd, ordinary) = (cluster.entry[0].front(), cluster.entry[1].front());
    let before = count(ordinary, record, "before");
    if before.0 * 2 < before.1 {
        return Ok(Outcome::CouldNotRun("turns are not served before the crowd".to_owned()));
    }
    for (group, (bytes, turns)) in CROWD.into_iter().enumerate() {
        let bytes = if has_trouble { bytes } else { ORDINARY_BYTES };
        send_crowd(crowd, record, group, bytes, turns);
        thread::sleep(PAUSE);
    }
    record.note("the crowd has gone");
    let after = count(ordinary, record, "after");
    match after.0 == 0 {
        true => Ok(Outcome::Broken),
        false => Ok(Outcome::Held),
    }
}

/// Sends `turns` turns with bodies of `bytes` bytes, several at once, and waits for their answers.
fn send_crowd(front: SocketAddr, record: &Arc<Record>, group: usize, bytes: usize, turns: usize) {
    let next = Arc::new(AtomicUsize::new(0));
    let send = |record: Arc<Record>, next: Arc<AtomicUsize>| {
        move || loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= turns {
                return;
            }
            let attempt = format!("crowd-{group}-{number}");
            turns::send(front, &record, &Turn { attempt: &attempt, previous: None, bytes });
        }
    };
    let senders: Vec<_> =
        (0..AT_ONCE).map(|_| thread::spawn(send(record.clone(), next.clone()))).collect();
    for sender in senders {
        let _ = sender.join();
    }
}

/// Sends ordinary turns one after the other; returns how many were answered whole, and sent.
fn count(front: SocketAddr, record: &Record, phase: &str) -> (usize, usize) {
    let started = Instant::now();
    let (mut served, mut sent) = (0, 0);
    while started.elapsed() < COUNTED {
        let attempt = format!("{phase}-{sent}");
        let turn = Turn { attempt: &attempt, previous: None, bytes: ORDINARY_BYTES };
        if turns::send(front, record, &turn) == Some(200) {
            served += 1;
        }
        sent += 1;
        thread::sleep(Duration::from_millis(100));
    }
    record.note(&format!("{phase}: {served} of {sent} ordinary turns answered whole"));
    (served, sent)
}
