//! A store machine freezes while it is to be emptied; then another one loses its disk.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::cluster::Cluster;
use crate::cluster::Sheet;
use crate::http;
use crate::record::Record;
use crate::worker::Faults;
use crate::worker::Options;
use crate::worker::Work;
use crate::worker::Worker;

/// The sheet of `ccdt-costing`.
const SHEET: Sheet =
    Sheet { tolerated: 1, front_memory_mb: 110, store_memory_mb: 120, store_disk_mb: 260 };

/// How long before the order to empty it the machine freezes.
const FREEZE_BEFORE_ORDER: Duration = Duration::from_millis(430);

/// The store machines, and how often one of them is to be emptied: three are left then.
const STORES: usize = 6;
const ORDERS: usize = 3;

/// The pause before the next order: `catch_up_s` of the sheet and some time more.
const NEXT_ORDER: Duration = Duration::from_secs(7);

/// How long the machine stands still: 3.2 s on the sheet.
const FREEZE: Duration = Duration::from_millis(3_200);

/// How often the operator asks whether the machine is emptied.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// The time within which the machine is to be emptied: `for_s` of `retire` on the sheet.
const RETIRE_LIMIT: Duration = Duration::from_secs(8);

/// How long the machine whose disk is lost is down: `for_s` of `after_ack_wipe` on the sheet.
const WIPE_DOWN: Duration = Duration::from_secs(2);

/// The time after which requests must be served again: `recover_s` of the sheet.
const RECOVER: Duration = Duration::from_secs(12);

/// How long turns are counted before and after the faults.
const COUNTED: Duration = Duration::from_secs(6);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"turn","host":"app.example",
"path_prefix":"/turn/","kind":"stream","timeout_ms":5000,"target_latency_ms":250,"priority":0,
"service":"models","max_attempts":1,"retention_enabled":false,"retention_s":60.0,"sticky":true,
"resumable":true,"target_gap_ms":400}],"services":[{"name":"models","health_path":"/healthz",
"max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"tokens_per_event":3}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// Plays the case; `has_trouble` says whether the machine freezes.
///
/// # Errors
/// Fails if the case cannot run.
pub fn play(base: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Outcome> {
    let mut cluster = Cluster::start(base, [3, STORES, 2], SHEET)?;
    cluster.configure(CONFIGURATION, Duration::from_secs(15))?;
    cluster.wait_ready(Duration::from_secs(15))?;
    for number in 0..2 {
        let options = Options {
            id: format!("i-{number}"),
            service: "models".to_owned(),
            ip: cluster.stand_in_ip(number),
            slots: 64,
            queue: 64,
            work: Work::Stream(4, Duration::from_millis(5)),
        };
        Worker::start(options, cluster.controls(), record.clone(), Faults::default())?;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = cluster.entry.iter().map(|entry| entry.front()).collect();
    let before = count_turns(&fronts, record, "before", COUNTED);
    if before.0 * 4 < before.1 {
        return Ok(Outcome::CouldNotRun("turns are not served before the faults".to_owned()));
    }
    for order in 1..=ORDERS {
        empty_one(&mut cluster, record, has_trouble)?;
        thread::sleep(NEXT_ORDER);
        let (served, _) =
            count_turns(&fronts, record, &format!("order-{order}"), Duration::from_secs(1));
        if served == 0 {
            break;
        }
    }
    thread::sleep(RECOVER);
    let (served, sent) = count_turns(&fronts, record, "after", COUNTED);
    match served * 4 < sent {
        true => Ok(Outcome::Broken),
        false => Ok(Outcome::Held),
    }
}

/// Has a voter of the journal emptied, removes it once it is said to be empty, and lets another voter
/// lose its disk.
fn empty_one(cluster: &mut Cluster, record: &Record, has_trouble: bool) -> io::Result<()> {
    let (leader, voters) = journal_group(cluster)?;
    record.note(&format!("journal: leader {leader}, voters {voters:?}"));
    let mut others = voters.into_iter().filter(|voter| *voter != leader);
    let (Some(emptied), Some(wiped)) = (others.next(), others.next()) else {
        return Err(io::Error::other("the journal has too few voters"));
    };
    if has_trouble {
        cluster.journal[emptied].signal("STOP");
        record.note(&format!("{} freezes", cluster.journal[emptied].node));
    }
    let frozen_at = Instant::now();
    thread::sleep(FREEZE_BEFORE_ORDER);
    if !empty(cluster, emptied, frozen_at, record)? {
        return Ok(());
    }
    // The machine is removed with its disk.
    cluster.journal[emptied].kill();
    cluster.journal[emptied].lose_disk()?;
    record.note(&format!("{} is removed", cluster.journal[emptied].node));
    cluster.journal[wiped].kill();
    cluster.journal[wiped].lose_disk()?;
    record.note(&format!("{} loses power and its disk", cluster.journal[wiped].node));
    thread::sleep(WIPE_DOWN);
    cluster.restart_journal(wiped)?;
    record.note(&format!("{} is back with an empty disk", cluster.journal[wiped].node));
    Ok(())
}

/// Orders that a machine is emptied and asks until it is; returns whether that was said in time. A
/// machine that is frozen wakes again at its time.
fn empty(
    cluster: &mut Cluster,
    emptied: usize,
    frozen_at: Instant,
    record: &Record,
) -> io::Result<bool> {
    let node = cluster.journal[emptied].node.clone();
    let controls = cluster.controls();
    let order = format!("POST /Retire.Start/{node}");
    let body = format!("{{\"duration_s\":{}}}", RETIRE_LIMIT.as_secs());
    let (started, mut is_awake) = (Instant::now(), false);
    let answer = http::call(controls[0], &order, &[], body.as_bytes(), Duration::from_secs(1))?;
    record.note(&format!("{order}: {} {}", answer.status(), text(&answer)));
    if answer.status() == 404 {
        // It is not heard any more; the operator tries another time.
        thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        cluster.journal[emptied].signal("CONT");
        return Ok(false);
    }
    while started.elapsed() < RETIRE_LIMIT {
        if !is_awake && frozen_at.elapsed() >= FREEZE {
            cluster.journal[emptied].signal("CONT");
            is_awake = true;
        }
        let ask = format!("GET /Retire.Get/{node}");
        if let Ok(answer) = http::call(controls[0], &ask, &[], &[], Duration::from_secs(1)) {
            record.note(&format!("{ask}: {} {}", answer.status(), text(&answer)));
            if text(&answer).contains("succeeded") {
                return Ok(true);
            }
        }
        thread::sleep(ASK_INTERVAL);
    }
    Ok(false)
}

fn text(answer: &http::Message) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Returns the leader of the journal and its voters, as the processes log them.
fn journal_group(cluster: &Cluster) -> io::Result<(usize, Vec<usize>)> {
    let outputs: Vec<String> = cluster.journal.iter().map(|one| one.output()).collect();
    // The term of the last election that an instance won, unless it has lost the lead since.
    let term_led = |output: &String| -> Option<u64> {
        let at = output.rfind("LogLeaderElected")?;
        let is_lost = output.rfind("LogLeaderLost").is_some_and(|lost| lost > at);
        let epoch = output[at..].lines().next()?.split("epoch=").nth(1)?;
        let epoch = epoch.split(' ').next()?.parse().ok()?;
        (!is_lost).then_some(epoch)
    };
    let leaders = outputs.iter().enumerate().filter_map(|(at, one)| Some((term_led(one)?, at)));
    let (_, leader) = leaders.max().ok_or_else(|| io::Error::other("no journal leads"))?;
    let changed = outputs[leader].lines().rev().find(|line| line.contains("has the voters"));
    let first = cluster.core.iter().map(|core| core.output()).collect::<String>();
    let line = changed.or_else(|| first.lines().rev().find(|line| line.contains("journal voters")));
    let line = line.ok_or_else(|| io::Error::other("no process names the voters"))?;
    let is_voter = |at: &usize| {
        let one = &cluster.journal[*at];
        one.is_started() && line.contains(&one.instance_prefix())
    };
    Ok((leader, (0..cluster.journal.len()).filter(is_voter).collect()))
}

/// Sends turns of new programs one after the other; returns how many were served and sent.
fn count_turns(
    fronts: &[SocketAddr],
    record: &Record,
    phase: &str,
    time: Duration,
) -> (usize, usize) {
    let started = Instant::now();
    let (mut served, mut sent) = (0, 0);
    while started.elapsed() < time {
        let attempt = format!("{phase}-{sent:06}");
        let headers = [
            ("Host", "app.example"),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", "5000"),
            ("X-Program-Id", attempt.as_str()),
            ("X-Session-Id", attempt.as_str()),
            ("X-Program-Deadline-Ms", "5000"),
            ("X-Token-Budget", "120"),
            ("X-Token-Usage", "100,12"),
            ("X-Model", "m"),
        ];
        record.sent(&attempt, "POST /turn/next");
        let front = fronts[sent % fronts.len()];
        let limit = Duration::from_secs(6);
        let answer = http::call(front, "POST /turn/next", &headers, b"input", limit).ok();
        record.answered(&attempt, answer.as_ref().map(http::Message::status));
        sent += 1;
        if answer.is_some_and(|answer| answer.status() == 200) {
            served += 1;
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.note(&format!("{phase}: {served} of {sent} turns served"));
    (served, sent)
}
