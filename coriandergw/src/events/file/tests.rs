use std::io::Write;
use std::sync::Arc;

use crate::clock::SystemClock;
use crate::events::EventNumber;
use crate::events::Recorder;
use crate::events::Subject;
use crate::events::file::newer_file;
use crate::events::file::read_events;

fn recorder(folder: &std::path::Path) -> Recorder {
    let name = "e1".try_into().expect("a valid name");
    Recorder::with_folder(name, Arc::new(SystemClock::default()), folder).expect("a folder")
}

/// Waits until the writer has written `count` events.
fn wait_for_events(folder: &std::path::Path, count: usize) {
    while read_events(folder).len() < count {
        std::thread::yield_now();
    }
}

#[test]
fn events_survive_a_restart_and_numbers_go_on() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = recorder(folder.path());
    first.record(EventNumber::InstanceStarted, Subject::default(), "one");
    first.record(EventNumber::InstanceReady, Subject::default(), "two");
    wait_for_events(folder.path(), 2);
    drop(first);
    let second = recorder(folder.path());
    second.record(EventNumber::InstanceStarted, Subject::default(), "three");
    let sequences: Vec<u64> = second.select(|_| true).iter().map(|e| e.sequence).collect();
    assert_eq!(sequences, [0, 1, 2]);
}

#[test]
fn a_torn_line_is_passed_over() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = recorder(folder.path());
    first.record(EventNumber::InstanceStarted, Subject::default(), "one");
    wait_for_events(folder.path(), 1);
    let mut f = std::fs::OpenOptions::new().append(true).open(newer_file(folder.path()));
    f.as_mut().expect("the file").write_all(b"{\"number\":1").expect("written");
    drop(f);
    drop(first);
    recorder(folder.path()).record(EventNumber::InstanceStarted, Subject::default(), "two");
    wait_for_events(folder.path(), 2);
    assert_eq!(read_events(folder.path())[1].message, "two");
}
