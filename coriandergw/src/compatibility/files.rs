//! The files that a process keeps.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::compatibility::encodings::released;
use crate::compatibility::encodings::with_newer_fields;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Payload;
use crate::log_groups::core::Record;
use crate::log_groups::core::Replacement;
use crate::log_groups::core::Snapshot;
use crate::log_groups::wire;
use crate::roles::founders;
use crate::roster::state::ConfigState;
use crate::storage::Disk;
use crate::storage::identity::Identity;
use crate::storage::memory_disk::MemoryDisk;
use crate::storage::store::Opened;
use crate::storage::store::Store;
use crate::storage::store::StoreOptions;
use crate::versions::machine;

const GROUP: GroupId = GroupId(1);

/// The files of a log group's member.
const FILES: [&str; 4] = ["log.wal", "group-1.snapshot", "identity.json", "founders.json"];

fn name(text: &str) -> InstanceName {
    InstanceName::try_from(text).expect("a name")
}

fn voters() -> Vec<InstanceName> {
    ["10.0.0.1:7380/0", "10.0.0.2:7380/0", "10.0.0.3:7380/0"].map(name).to_vec()
}

fn options() -> StoreOptions {
    StoreOptions {
        cluster: "coriandergw".to_owned(),
        instance: name("10.0.0.1:7380/0"),
        groups: vec![GROUP],
        members: Members::of_voters(voters()),
    }
}

fn changed_members() -> Members {
    Members {
        learners: [name("10.0.0.4:7380/7")].into(),
        replacement: Some(Replacement {
            old: name("10.0.0.3:7380/0"),
            new: name("10.0.0.4:7380/7"),
        }),
        ..Members::of_voters(voters())
    }
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry { index, term: 4, payload }
}

fn records() -> Vec<Vec<Record>> {
    let command = |text: &'static str| Payload::Command(Bytes::from_static(text.as_bytes()));
    let first = vec![entry(1, Payload::Empty), entry(2, command("one"))];
    let second = vec![entry(3, Payload::Members(changed_members())), entry(4, command("two"))];
    let snapshot = Snapshot {
        index: 2,
        term: 4,
        members: Members::of_voters(voters()),
        data: Bytes::from_static(b"state"),
    };
    vec![
        vec![
            Record::HardState { term: 4, voted_for: Some(name("10.0.0.2:7380/0")) },
            Record::Entries(first),
        ],
        vec![Record::Snapshot(snapshot)],
        vec![Record::Entries(second), Record::VoteRegained],
        vec![Record::HardState { term: 5, voted_for: None }],
    ]
}

fn write_files(disk: Arc<dyn Disk>) {
    founders::write(&*disk, &voters()).expect("written");
    let mut store = Store::open(disk, &options()).expect("a new folder").store;
    for records in records() {
        let records = records.into_iter().map(|record| (GROUP, record));
        store.write(records.collect()).expect("written");
    }
}

fn read_files(disk: &dyn Disk) -> BTreeMap<String, Vec<u8>> {
    let read = |file: &str| disk.read(file).expect("readable").expect("written");
    FILES.iter().map(|file| (format!("file:{file}"), read(file))).collect()
}

fn config_state() -> ConfigState {
    ConfigState {
        config_version: 9,
        config: Bytes::from_static(b"{}"),
        first_journal_voters: voters(),
        retiring: vec!["store-1".into()],
    }
}

/// Opens the folder that the released build wrote.
fn open_released_folder() -> (Arc<MemoryDisk>, Opened) {
    let written = Arc::new(MemoryDisk::default());
    write_files(written.clone());
    let released = released(&read_files(&*written));
    let disk = Arc::new(MemoryDisk::default());
    for file in FILES {
        disk.replace(file, &released[&format!("file:{file}")]).expect("written");
    }
    let opened = Store::open(disk.clone(), &options()).expect("a folder of this instance");
    (disk, opened)
}

// Guards against an upgraded instance that sets its log aside, or misses entries, votes or members.
#[test]
fn a_data_folder_of_the_released_build_is_recovered_in_full() {
    let (disk, opened) = open_released_folder();
    assert_eq!((opened.damage, opened.truncated_bytes), (None, 0));
    let written = Arc::new(MemoryDisk::default());
    write_files(written.clone());
    let expected = Store::open(written, &options()).expect("a folder of this instance");
    assert_eq!(format!("{:?}", opened.groups), format!("{:?}", expected.groups));
    let recovered = &opened.groups[&GROUP];
    assert_eq!((recovered.term, &recovered.voted_for, recovered.log_lost), (5, &None, false));
    assert_eq!(founders::read(&*disk), Ok(Some(voters())));
}

// Guards against an instance that cannot go back to the released build after a failed upgrade.
#[test]
fn a_data_folder_is_written_as_the_released_build_writes_it() {
    let disk = Arc::new(MemoryDisk::default());
    write_files(disk.clone());
    let present = read_files(&*disk);
    let released = released(&present);
    for (file, bytes) in &present {
        assert_eq!(hex::encode(bytes), hex::encode(&released[file]), "{file}");
    }
}

// Guards against a log that counts as damaged because a newer build wrote fields into its records.
#[test]
fn fields_of_a_newer_build_in_files_are_ignored() {
    for records in records() {
        let records: Vec<(GroupId, Record)> =
            records.into_iter().map(|record| (GROUP, record)).collect();
        let newer = with_newer_fields(&wire::encode_records(records.clone()));
        assert_eq!(wire::decode_records(&newer), Ok(records));
    }
    let disk = MemoryDisk::default();
    let newer = br#"{"cluster":"c","instance":"a","lost_groups":[1],"format":{"newer":2}}"#;
    disk.replace("identity.json", newer).expect("written");
    let expected =
        Identity { cluster: "c".to_owned(), instance: name("a"), lost_groups: [1].into() };
    assert_eq!(Identity::read(&disk), Ok(Some(expected)));
}

// Guards against an upgraded core instance that does not know the configuration before it starts.
#[test]
fn the_last_configuration_of_the_released_build_is_read() {
    let state = config_state();
    let present = machine::encode_state(&state).to_vec();
    let name = "file:last-config.bin".to_owned();
    let released = released(&BTreeMap::from([(name.clone(), present.clone())]));
    assert_eq!(hex::encode(&released[&name]), hex::encode(&present));
    assert_eq!(machine::decode_state(Bytes::from(released[&name].clone())), Some(state.clone()));
    let newer = with_newer_fields(&released[&name]);
    assert_eq!(machine::decode_state(Bytes::from(newer)), Some(state));
}
