//! Tests of the store on a disk that fails on demand.

use std::sync::Arc;

use bytes::Bytes;

use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::store::CLOCK_MARGIN_MS;
use crate::kept_turns::store::COMPLETE_SINCE_FILE;
use crate::kept_turns::store::Found;
use crate::kept_turns::store::KeepOutcome;
use crate::kept_turns::store::RECORD_COST_BYTES;
use crate::kept_turns::store::StoreOptions;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::simulation::run_schedule;
use crate::log_groups::test_cluster::FaultyDisk;
use crate::storage::Disk;

/// The schedules of the simulation.
const SEEDS: std::ops::Range<u64> = 0..2_000;

/// A turn of the chain that begins with the turn `1`, which expires at 60,000.
pub(super) fn turn(name: &str, previous: Option<&str>) -> TurnRecord {
    TurnRecord {
        key: TurnKey { account: "a".into(), turn: name.into() },
        previous: previous.map(Into::into),
        root: previous.map_or(name, |_| "1").into(),
        input: Bytes::from(format!("input of {name}")),
        output: Bytes::from(format!("output of {name}\n")),
        expires_ms: 60_000,
        is_partial: false,
    }
}

fn options(is_first_start: bool) -> StoreOptions {
    StoreOptions { max_bytes: 1 << 20, segment_bytes: 200, is_first_start }
}

fn open(disk: &Arc<FaultyDisk>, is_first_start: bool, now_ms: u64) -> TurnStore {
    TurnStore::open(disk.clone(), options(is_first_start), now_ms).expect("the disk is readable")
}

fn keep(store: &TurnStore, records: &[TurnRecord]) -> KeepOutcome {
    store.write_batch(&[records.to_vec()], 0).outcomes[0]
}

fn find(store: &TurnStore, name: &str) -> Found {
    store.find(&turn(name, None).key, 1_000)
}

// Guards against an instance that answers "not here" for turns that its disk has lost.
#[test]
fn an_instance_is_complete_since_its_disk_was_empty() {
    let disk = Arc::new(FaultyDisk::default());
    assert_eq!(open(&disk, true, 5_000).complete_since_ms(), 0);
    assert_eq!(open(&disk, false, 6_000).complete_since_ms(), 0);
    let wiped = Arc::new(FaultyDisk::default());
    assert_eq!(open(&wiped, false, 7_000).complete_since_ms(), 7_000 + CLOCK_MARGIN_MS);
    assert_eq!(open(&wiped, true, 9_000).complete_since_ms(), 7_000 + CLOCK_MARGIN_MS);
    keep(&open(&wiped, true, 9_000), &[turn("1", None)]);
    wiped.remove(COMPLETE_SINCE_FILE).expect("removed");
    assert_eq!(open(&wiped, true, 9_000).complete_since_ms(), 9_000 + CLOCK_MARGIN_MS);
}

// Guards against a damaged record that is answered as if it had never been written.
#[test]
fn damage_raises_the_time_since_which_the_store_is_complete() {
    let disk = Arc::new(FaultyDisk::default());
    let store = open(&disk, true, 0);
    assert_eq!(keep(&store, &[turn("1", None), turn("2", Some("1"))]), KeepOutcome::Written);
    let file = disk.names().expect("names").remove(0);
    let mut bytes = disk.read(&file).expect("read").expect("exists");
    bytes[30] ^= 1;
    disk.replace(&file, &bytes).expect("replaced");
    let restarted = open(&disk, false, 500);
    assert_eq!(restarted.complete_since_ms(), 500 + CLOCK_MARGIN_MS);
    assert_eq!(find(&store, "2"), Found::Unreadable);
    assert_eq!(find(&store, "1"), Found::Absent);
    assert_eq!(store.complete_since_ms(), 1_000 + CLOCK_MARGIN_MS);
    assert_eq!(open(&disk, false, 600).complete_since_ms(), 1_000 + CLOCK_MARGIN_MS);
    assert_eq!(keep(&store, &[turn("3", Some("2"))]), KeepOutcome::PreviousMissing);
    assert_eq!(keep(&store, &[turn("1", None), turn("2", Some("1"))]), KeepOutcome::Written);
    assert_eq!(find(&store, "2"), Found::Chain(vec![turn("1", None), turn("2", Some("1"))]));
}

// Guards against a turn that is acknowledged without the turns before it.
#[test]
fn a_turn_needs_the_turns_before_it() {
    let store = open(&Arc::new(FaultyDisk::default()), true, 0);
    let chain = [turn("1", None), turn("2", Some("1"))];
    assert_eq!(keep(&store, &chain[1..]), KeepOutcome::PreviousMissing);
    let requests = [chain[1..].to_vec(), chain[..1].to_vec(), chain[1..].to_vec()];
    let outcomes = store.write_batch(&requests, 0).outcomes;
    let written = KeepOutcome::Written;
    assert_eq!(outcomes, [KeepOutcome::PreviousMissing, written, written]);
    let before = store.counts();
    assert_eq!(keep(&store, &chain), written);
    assert_eq!(store.counts(), before);
    assert_eq!(before.syncs, 1);
}

// Guards against an acknowledgement of a turn that continues from one whose write failed.
#[test]
fn a_failed_write_refuses_all_that_depends_on_it() {
    let disk = Arc::new(FaultyDisk::default());
    let store = open(&disk, true, 0);
    disk.set_full(true);
    let requests = [vec![turn("1", None)], vec![turn("2", Some("1"))]];
    let batch = store.write_batch(&requests, 0);
    assert_eq!(batch.outcomes, [KeepOutcome::Refused; 2]);
    assert!(batch.failure.is_some() && store.has_failed());
    disk.set_full(false);
    assert_eq!(keep(&store, &requests[0]), KeepOutcome::Refused);
    assert_eq!(store.write_batch(&requests, 1_000).outcomes, [KeepOutcome::Written; 2]);
}

// Guards against a disk that fills up, and against turns that are given up to make room.
#[test]
fn new_turns_are_refused_at_the_bound_until_old_ones_expire() {
    let max_bytes = 10 * (RECORD_COST_BYTES + 100);
    let options = StoreOptions { max_bytes, ..options(true) };
    let store = TurnStore::open(Arc::new(FaultyDisk::default()), options, 0).expect("opened");
    let written = |from: usize| {
        let names = (from..from + 20).map(|number| number.to_string());
        let outcomes: Vec<KeepOutcome> =
            names.map(|name| keep(&store, &[turn(&name, None)])).collect();
        outcomes.iter().take_while(|outcome| **outcome == KeepOutcome::Written).count()
    };
    let first = written(0);
    assert!((9..=11).contains(&first), "{first} turns were written");
    assert_eq!(written(100), 0);
    store.expire(60_000 + CLOCK_MARGIN_MS).expect("expired");
    assert_eq!(store.counts().turns, 0);
    assert_eq!(written(200), first);
}

// Guards against files that a few turns of long chains hold on the disk.
#[test]
fn the_remaining_turns_of_an_unused_file_are_moved() {
    let disk = Arc::new(FaultyDisk::default());
    let options = StoreOptions { max_bytes: 8_000, segment_bytes: 4_000, is_first_start: true };
    let store = TurnStore::open(disk.clone(), options, 0).expect("opened");
    let long = |name| TurnRecord { input: vec![0; 4_000].into(), ..turn(name, None) };
    let last = TurnRecord { expires_ms: 1_000_000, ..turn("1", None) };
    assert_eq!(keep(&store, std::slice::from_ref(&last)), KeepOutcome::Written);
    assert_eq!(keep(&store, &[long("2")]), KeepOutcome::Written);
    store.write_batch(&[vec![turn("3", None)]], 0);
    assert_eq!(keep(&store, &[long("4")]), KeepOutcome::Refused);
    store.expire(60_000 + CLOCK_MARGIN_MS).expect("expired");
    assert!(store.counts().bytes < 1_000, "{:?}", store.counts());
    assert_eq!(keep(&store, &[long("4")]), KeepOutcome::Written);
    assert_eq!(find(&store, "1"), Found::Chain(vec![last.clone()]));
    drop(store);
    let store = TurnStore::open(disk, options, 0).expect("opened");
    assert_eq!(find(&store, "1"), Found::Chain(vec![last]));
}

// Guards against an acknowledged turn that is lost, mixed up or certainly "not here" after kills, losses of
// power, wiped and damaged disks and cut links.
#[test]
fn acknowledged_turns_survive_thousands_of_schedules() {
    for seed in SEEDS {
        run_schedule(seed);
    }
}
