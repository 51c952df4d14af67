//! The journal and the state machine of a journal group.

use std::sync::Arc;

use bytes::Bytes;

use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::PartitionId;
use crate::ids::ProgramId;
use crate::log_groups::StateMachine;
use crate::log_groups::local::LocalLog;
use crate::programs::JournalState;
use crate::programs::journal::Journal;
use crate::programs::journal::JournalError;
use crate::programs::journal::Journals;
use crate::programs::record::Record;
use crate::programs::record::RecordBody;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::model;
use crate::programs::tests::world::name;

fn journals() -> Journals {
    let machine: Box<dyn StateMachine> = Box::new(JournalState::default());
    Journals::new(Arc::new(LocalLog::new(name("log"), [(GroupId(1), machine)])), 1)
}

fn open(journals: &Journals, epoch: u64) -> Journal {
    journals.open(PartitionId(7), Epoch(epoch))
}

fn root() -> ProgramId {
    "p-1".try_into().unwrap()
}

#[tokio::test]
async fn only_the_fenced_epoch_may_write_and_read() {
    let journals = journals();
    let (first, second) = (open(&journals, 1), open(&journals, 2));
    let record = Bytes::from_static(b"r");
    assert!(first.append(&root(), 0, record.clone()).await.is_err(), "no epoch is fenced yet");
    first.fence().await.unwrap();
    first.append(&root(), 0, record.clone()).await.unwrap();
    second.fence().await.unwrap();
    let stale = JournalError::Stale { epoch: Epoch(2) };
    assert_eq!(first.append(&root(), 1, record.clone()).await, Err(stale.clone()));
    assert_eq!(first.fence().await, Err(stale.clone()));
    assert_eq!(first.forget(&root()).await, Err(stale.clone()));
    assert_eq!(first.read().await.unwrap_err(), stale);
    second.append(&root(), 1, record).await.unwrap();
}

#[tokio::test]
async fn a_repeated_record_is_kept_once_and_another_one_in_its_place_is_refused() {
    let journals = journals();
    let journal = open(&journals, 1);
    journal.fence().await.unwrap();
    let append = async |sequence: u64, record: &'static [u8]| {
        journal.append(&root(), sequence, Bytes::from_static(record)).await
    };
    append(0, b"a").await.unwrap();
    append(0, b"a").await.unwrap();
    append(1, b"b").await.unwrap();
    append(0, b"a").await.unwrap();
    assert!(append(1, b"other").await.is_err());
    assert!(append(3, b"gap").await.is_err());
    append(2, b"c").await.unwrap();
}

#[tokio::test]
async fn large_journals_are_read_in_pages() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(1_000_000, 10).await;
    for index in 0..6 {
        let mut req = model(&format!("c{index}"));
        req.kind = crate::dispatch::CallKind::Tool;
        req.input = serde_json::Value::String("x".repeat(700_000));
        home.call(&program, req).await.unwrap();
    }
    assert_eq!(cluster.home(2).history(&program).await.len(), 6);
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let command = |command| {
        let command = crate::programs::generated::Command { command: Some(command) };
        prost::Message::encode_to_vec(&command)
    };
    use crate::programs::generated::Append;
    use crate::programs::generated::Fence;
    use crate::programs::generated::command::Command;
    let mut state = JournalState::default();
    state.apply(1, &command(Command::Fence(Fence { partition: 7, epoch: 3 })));
    for sequence in 0..3 {
        let record = Bytes::from(vec![sequence as u8; 10]);
        let root = "p-1".to_owned();
        let append = Append { partition: 7, epoch: 3, root, sequence, record, forget: false };
        state.apply(2 + sequence, &command(Command::Append(append)));
    }
    let snapshot = state.snapshot();
    let mut restored = JournalState::default();
    restored.restore(&snapshot).unwrap();
    assert_eq!(restored.record_bytes(), 30);
    assert_eq!(restored.snapshot(), snapshot);
    assert!(restored.restore(&snapshot[..snapshot.len() - 1]).is_err());
    assert_eq!(restored.snapshot(), snapshot, "an invalid snapshot changes nothing");
}

#[test]
fn bytes_that_are_not_a_record_are_refused() {
    assert!(Record::decode(b"\xff").is_err());
    assert!(Record::decode(b"").is_err());
    let body = RecordBody::NotSent { call: "a".try_into().unwrap() };
    let record = Record { at: Default::default(), program: root(), body };
    assert_eq!(Record::decode(&record.encode()), Ok(record));
}
