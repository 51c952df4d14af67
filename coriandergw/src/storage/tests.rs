//! Tests of the files in the data folder.

use std::sync::Arc;

use bytes::Bytes;
use proptest::prelude::*;

use crate::ids::CONTROL_GROUP;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Payload;
use crate::log_groups::core::Record;
use crate::log_groups::core::Snapshot;
use crate::log_groups::wire;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::file_disk::FileDisk;
use crate::storage::frames::push_frame;
use crate::storage::frames::split_frames;
use crate::storage::identity::IDENTITY_FILE;
use crate::storage::memory_disk::MemoryDisk;
use crate::storage::store::LOG_FILE;
use crate::storage::store::Opened;
use crate::storage::store::Store;
use crate::storage::store::StoreOptions;
use crate::test_support;

fn name(raw: &str) -> InstanceName {
    InstanceName::try_from(raw).expect("a valid name")
}

fn options(cluster: &str) -> StoreOptions {
    StoreOptions {
        cluster: cluster.to_owned(),
        instance: name("a"),
        groups: vec![CONTROL_GROUP, GroupId(1)],
        members: Members::of_voters([name("a")]),
    }
}

fn open(disk: &Arc<dyn Disk>) -> Opened {
    Store::open(disk.clone(), &options("test")).expect("the folder opens")
}

fn memory_disk() -> Arc<dyn Disk> {
    Arc::new(MemoryDisk::default())
}

fn entries(indices: std::ops::RangeInclusive<u64>) -> Record {
    let entry = |index| Entry { index, term: 1, payload: Payload::Command(Bytes::from("x")) };
    Record::Entries(indices.map(entry).collect())
}

fn snapshot(index: u64) -> Record {
    let members = Members::of_voters([name("a")]);
    Record::Snapshot(Snapshot { index, term: 1, members, data: Bytes::from("state") })
}

fn frames_of(payloads: &[Vec<u8>]) -> Vec<u8> {
    let mut buf = Vec::new();
    for payload in payloads {
        let offset = buf.len() as u64;
        push_frame(&mut buf, offset, payload);
    }
    buf
}

fn payloads() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..6)
}

proptest! {
    #![proptest_config(test_support::random_cases())]

    #[test]
    fn a_file_cut_anywhere_gives_the_frames_before_the_cut(payloads in payloads(), cut in 0..300usize) {
        let bytes = frames_of(&payloads);
        let cut = cut.min(bytes.len());
        let frames = split_frames(&bytes[..cut]).expect("a truncated file is not damaged");
        let expected = (0..=payloads.len()).rev().find(|n| frames_of(&payloads[..*n]).len() <= cut);
        let expected = expected.expect("zero frames take zero bytes");
        prop_assert_eq!(&frames.payloads, &payloads[..expected]);
        prop_assert_eq!(frames.intact_bytes, frames_of(&payloads[..expected]).len());
    }

    #[test]
    fn a_changed_byte_is_never_read_as_data(payloads in payloads(), at in 0..300usize, bit in 0..8u32) {
        let mut bytes = frames_of(&payloads);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let last = frames_of(&payloads[..payloads.len() - 1]).len();
        match split_frames(&bytes) {
            Ok(frames) => {
                prop_assert!(at >= last, "damage before the last frame was not detected");
                prop_assert_eq!(&frames.payloads, &payloads[..payloads.len() - 1]);
            }
            Err(damage) => prop_assert!(damage.offset <= at && at < last),
        }
    }

    #[test]
    fn arbitrary_files_open_or_are_set_aside(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        framed in any::<bool>(),
        file in prop::sample::select(vec![LOG_FILE, "group-0.snapshot"]),
    ) {
        let disk = memory_disk();
        drop(open(&disk));
        let bytes = if framed { frames_of(&[bytes]) } else { bytes };
        disk.replace(file, &bytes).expect("replaces");
        let opened = open(&disk);
        let lost = opened.groups.values().all(|group| group.log_lost);
        prop_assert_eq!(lost, opened.damage.is_some());
    }

    #[test]
    fn arbitrary_records_and_snapshots_are_errors_or_parse(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(records) = wire::decode_records(&bytes) {
            let again = wire::decode_records(&wire::encode_records(records.clone()));
            prop_assert_eq!(again, Ok(records));
        }
        if let Ok(snapshot) = wire::decode_snapshot(&bytes) {
            let again = wire::decode_snapshot(&wire::encode_snapshot(snapshot.clone()));
            prop_assert_eq!(again, Ok(snapshot));
        }
    }
}

#[test]
fn a_frame_inside_an_unfinished_write_is_not_read_as_a_frame_of_the_file() {
    let inner = frames_of(&[b"inner".to_vec()]);
    let mut bytes = frames_of(&[b"whole".to_vec(), [inner.clone(), inner].concat()]);
    bytes.pop();
    let frames = split_frames(&bytes).expect("a truncated file is not damaged");
    assert_eq!(frames.payloads, [b"whole"]);
}

#[test]
fn a_folder_returns_the_records_written_and_rewritten() {
    let folder = tempfile::tempdir().expect("a folder");
    let open_folder = || {
        let disk: Arc<dyn Disk> = Arc::new(FileDisk::open(folder.path()).expect("opens"));
        open(&disk)
    };
    let mut store = open_folder().store;
    let hard_state = Record::HardState { term: 3, voted_for: Some(name("b")) };
    let batch = vec![(CONTROL_GROUP, hard_state), (CONTROL_GROUP, entries(1..=9))];
    store.write(batch).expect("writes");
    store.write(vec![(GroupId(1), entries(1..=2)), (CONTROL_GROUP, snapshot(6))]).expect("writes");
    store.write(vec![(CONTROL_GROUP, entries(8..=8))]).expect("writes");
    drop(store);
    let mut opened = open_folder();
    let control = &opened.groups[&CONTROL_GROUP];
    assert_eq!((control.term, control.voted_for.clone()), (3, Some(name("b"))));
    assert_eq!((control.snapshot_index(), control.last_index()), (6, 8));
    assert_eq!(opened.groups[&GroupId(1)].last_index(), 2);
    let live = vec![(CONTROL_GROUP, snapshot(6)), (CONTROL_GROUP, entries(7..=8))];
    opened.store.rewrite(live).expect("rewrites");
    let bytes = opened.store.log_bytes();
    drop(opened);
    let opened = open_folder();
    assert_eq!(opened.store.log_bytes(), bytes);
    assert_eq!(opened.groups[&CONTROL_GROUP].last_index(), 8);
    assert_eq!(opened.groups[&GroupId(1)].last_index(), 0);
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = FileDisk::open(folder.path()).expect("opens");
    assert!(FileDisk::open(folder.path()).is_err());
    drop(disk);
    assert!(FileDisk::open(folder.path()).is_ok());
}

#[test]
fn a_folder_of_another_cluster_is_refused_and_unchanged() {
    let disk = memory_disk();
    drop(open(&disk));
    let before = disk.read(IDENTITY_FILE).expect("reads");
    let refused = Store::open(disk.clone(), &options("other"));
    assert!(matches!(refused, Err(StorageError::Foreign { .. })));
    assert_eq!(disk.read(IDENTITY_FILE).expect("reads"), before);
}

#[test]
fn a_missing_log_or_snapshot_means_that_the_log_was_lost() {
    for file in [LOG_FILE, "group-0.snapshot"] {
        let disk = memory_disk();
        let batch = vec![(CONTROL_GROUP, entries(1..=9)), (CONTROL_GROUP, snapshot(6))];
        open(&disk).store.write(batch).expect("writes");
        disk.rename(file, "elsewhere").expect("renames");
        let opened = open(&disk);
        assert!(matches!(opened.damage, Some(StorageError::Corrupt { .. })), "{file}");
        drop(opened);
        assert!(open(&disk).groups[&CONTROL_GROUP].log_lost, "the loss of {file} was not recorded");
    }
}

#[test]
fn a_regained_vote_is_kept() {
    let disk = memory_disk();
    drop(open(&disk));
    disk.rename(LOG_FILE, "elsewhere").expect("renames");
    let mut store = open(&disk).store;
    store.write(vec![(GroupId(1), Record::VoteRegained)]).expect("writes");
    store.rewrite(Vec::new()).expect("rewrites");
    let groups = open(&disk).groups;
    assert!(!groups[&GroupId(1)].log_lost);
    assert!(groups[&CONTROL_GROUP].log_lost);
}
