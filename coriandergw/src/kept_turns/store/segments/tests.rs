//! Tests of the segment files.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::kept_turns::TurnRecord;
use crate::kept_turns::store::index::Position;
use crate::kept_turns::store::segments::Loaded;
use crate::kept_turns::store::segments::Segments;
use crate::kept_turns::store::segments::encode;
use crate::kept_turns::store::segments::read_record;
use crate::kept_turns::store::tests::turn;
use crate::log_groups::test_cluster::FaultyDisk;
use crate::storage::Disk;

/// Large enough for one segment in each test.
const SEGMENT_BYTES: u64 = 1 << 20;

fn open(disk: &Arc<FaultyDisk>) -> (Segments, Vec<(TurnRecord, Position)>, Loaded) {
    let mut records = Vec::new();
    let opened = Segments::open(disk.clone(), SEGMENT_BYTES, |record, position| {
        records.push((record, position));
    });
    let (segments, loaded) = opened.expect("the disk is readable");
    (segments, records, loaded)
}

fn names_of(records: &[(TurnRecord, Position)]) -> Vec<&str> {
    records.iter().map(|(record, _)| &*record.key.turn).collect()
}

fn append(segments: &mut Segments, turns: &[&str], now_ms: u64) -> Option<Vec<Position>> {
    let payloads: Vec<Vec<u8>> = turns.iter().map(|name| encode(&turn(name, None))).collect();
    segments.append(&payloads, now_ms).ok()
}

// Guards against an unfinished write that hides the records before it, or counts as damage.
#[test]
fn a_torn_tail_is_cut_off_at_the_start() {
    let disk = Arc::new(FaultyDisk::default());
    let (mut segments, ..) = open(&disk);
    append(&mut segments, &["1", "2"], 0).expect("written");
    let file = disk.names().expect("names").remove(0);
    let whole = disk.read(&file).expect("read").expect("exists");
    let frame = whole.len() / 2;
    for cut in frame..whole.len() {
        disk.replace(&file, &whole[..cut]).expect("replaced");
        let (_, records, loaded) = open(&disk);
        assert_eq!(names_of(&records), ["1"], "cut at {cut}");
        assert_eq!((loaded.damaged, loaded.truncated_bytes as usize), (0, cut - frame));
        assert_eq!(disk.read(&file).expect("read").expect("exists").len(), frame);
    }
}

// Guards against one damaged record that takes the others of its file with it, or goes unnoticed.
#[test]
fn a_damaged_record_is_skipped_and_counted() {
    let disk = Arc::new(FaultyDisk::default());
    let (mut segments, ..) = open(&disk);
    let positions = append(&mut segments, &["1", "2", "3"], 0).expect("written");
    let file = disk.names().expect("names").remove(0);
    let whole = disk.read(&file).expect("read").expect("exists");
    for at in positions[1].offset..positions[2].offset {
        let mut damaged = whole.clone();
        damaged[at as usize] ^= 0x10;
        disk.replace(&file, &damaged).expect("replaced");
        assert!(read_record(&*disk, positions[1]).is_err());
        let (_, records, loaded) = open(&disk);
        assert_eq!(names_of(&records), ["1", "3"], "damaged at {at}");
        assert_eq!(loaded.damaged, 1);
    }
}

// Guards against a disk that is never written again after it was full, and against records of the failed
// write.
#[test]
fn a_full_disk_refuses_and_takes_a_new_segment_later() {
    let disk = Arc::new(FaultyDisk::default());
    let (mut segments, ..) = open(&disk);
    append(&mut segments, &["1"], 0).expect("written");
    disk.free_bytes.store(20, Ordering::SeqCst);
    assert_eq!(append(&mut segments, &["2"], 1_000), None);
    assert!(segments.is_refused(1_000) && !segments.is_refused(3_000));
    disk.set_full(false);
    let position = append(&mut segments, &["3"], 3_000).expect("written")[0];
    assert_eq!(read_record(&*disk, position).expect("read"), turn("3", None));
    let (_, records, loaded) = open(&disk);
    assert_eq!(names_of(&records), ["1", "3"]);
    assert_eq!(loaded.damaged, 0);
}

// Guards against a later sync that is taken to make the records of a failed one durable.
#[test]
fn a_failed_sync_closes_its_segment() {
    let disk = Arc::new(FaultyDisk::default());
    let (mut segments, ..) = open(&disk);
    append(&mut segments, &["1"], 0).expect("written");
    disk.fails_syncs.store(true, Ordering::SeqCst);
    assert_eq!(append(&mut segments, &["2"], 0), None);
    disk.fails_syncs.store(false, Ordering::SeqCst);
    append(&mut segments, &["3"], 0).expect("written");
    disk.lose_power();
    let (_, records, loaded) = open(&disk);
    assert_eq!(names_of(&records), ["1", "3"]);
    assert_eq!(loaded.damaged, 0);
}
