//! Tests of the answers to other instances.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use tokio_util::task::AbortOnDropHandle;

use crate::clock::SystemClock;
use crate::events::EventNumber;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::kept_turns::generated::answer;
use crate::kept_turns::generated::request;
use crate::kept_turns::store::KeepOutcome;
use crate::kept_turns::store::StoreOptions;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::server::KeptTurnsServer;
use crate::kept_turns::store::server::Retirement;
use crate::kept_turns::store::server::server;
use crate::kept_turns::store::tests::turn;
use crate::kept_turns::wire;
use crate::log_groups::test_cluster::FaultyDisk;
use crate::test_support;
use crate::test_support::wait_for;
use crate::transport::Handler;

#[derive(Default)]
struct Retiring(AtomicBool);

impl Retirement for Retiring {
    fn is_retiring(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

struct Fixture {
    server: Arc<KeptTurnsServer>,
    retiring: Arc<Retiring>,
    disk: Arc<FaultyDisk>,
    _writer: AbortOnDropHandle<()>,
}

fn name() -> InstanceName {
    InstanceName::try_from("10.0.0.1:1/a").expect("a name")
}

impl Fixture {
    fn start() -> Self {
        let cx = test_support::context(name(), "dc", Arc::new(SystemClock::default()));
        let disk = Arc::new(FaultyDisk::default());
        let options =
            StoreOptions { max_bytes: 1 << 20, segment_bytes: 1 << 16, is_first_start: true };
        let store = TurnStore::open(disk.clone(), options, 0).expect("the disk is readable");
        let retiring = Arc::new(Retiring::default());
        let (server, writer) = server(cx, Arc::new(store), retiring.clone());
        let writer = AbortOnDropHandle::new(tokio::spawn(writer.run()));
        Self { server, retiring, disk, _writer: writer }
    }

    async fn call(&self, body: request::Body) -> answer::Body {
        let answer = self.server.handle(&name(), wire::encode_request(body)).await;
        wire::decode_answer(answer.expect("an answer")).expect("a known answer")
    }

    /// Returns whether the records were written, and whether the turn before them is missing.
    async fn keep(&self, records: &[TurnRecord]) -> (bool, bool) {
        let records = wire::encode_records(records);
        match self.call(request::Body::Keep(raw::Keep { records })).await {
            answer::Body::Keep(answer) => (answer.written, answer.previous_missing),
            other => panic!("{other:?}"),
        }
    }

    async fn find(&self, key: &TurnKey) -> raw::FindAnswer {
        match self.call(request::Body::Find(raw::Find::from(key))).await {
            answer::Body::Find(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    async fn missing(&self, records: &[TurnRecord]) -> usize {
        let keys = records.iter().map(|record| raw::Key::from(&record.key)).collect();
        match self.call(request::Body::Offer(raw::Offer { keys })).await {
            answer::Body::Offer(answer) => answer.missing.len(),
            other => panic!("{other:?}"),
        }
    }
}

fn living(name: &str, previous: Option<&str>) -> TurnRecord {
    TurnRecord { expires_ms: u64::MAX, ..turn(name, previous) }
}

// Guards against answers that say something else than the store, and against an instance that takes turns
// although it is to be emptied.
#[tokio::test]
async fn requests_are_answered_from_the_store() {
    let fixture = Fixture::start();
    let chain = [living("1", None), living("2", Some("1"))];
    let absent = raw::FindAnswer::default();
    assert_eq!(fixture.find(&chain[1].key).await, absent);
    assert_eq!(fixture.keep(&chain[1..]).await, (false, true));
    assert_eq!(fixture.missing(&chain).await, 2);
    assert_eq!(fixture.keep(&chain[..1]).await, (true, false));
    assert_eq!(fixture.keep(&chain[1..]).await, (true, false));
    assert_eq!(fixture.missing(&chain).await, 0);
    let found = wire::parse_chain(fixture.find(&chain[1].key).await.records);
    assert_eq!(found.as_deref(), Ok(&chain[..]));
    let foreign = TurnKey { account: "b".into(), turn: "2".into() };
    assert_eq!(fixture.find(&foreign).await, absent);
    fixture.retiring.0.store(true, Ordering::SeqCst);
    assert_eq!(fixture.keep(&[living("3", Some("2"))]).await, (false, false));
    assert_eq!(fixture.missing(&[living("3", Some("2"))]).await, 0);
    assert_eq!(fixture.find(&chain[1].key).await.records.len(), 2);
    assert_eq!(fixture.server.accepted(), fixture.server.settled());
}

// Guards against one sync for each of many writes that arrive together.
#[tokio::test]
async fn writes_that_arrive_together_share_a_sync() {
    let fixture = Fixture::start();
    let records: Vec<TurnRecord> =
        (0..100).map(|number| living(&number.to_string(), None)).collect();
    let writes = records.iter().map(|record| fixture.keep(std::slice::from_ref(record)));
    let answers = join_all(writes).await;
    assert!(answers.iter().all(|answer| *answer == (true, false)));
    let syncs = fixture.server.store.counts().syncs;
    assert!(syncs < 10, "{syncs} syncs");
}

// Guards against a process that runs out of memory while many long chains wait for its disk.
#[tokio::test]
async fn writes_beyond_the_bound_of_the_queue_are_refused() {
    let fixture = Fixture::start();
    let records: Vec<TurnRecord> = (0..20)
        .map(|number| TurnRecord {
            input: vec![0; 1 << 20].into(),
            ..living(&number.to_string(), None)
        })
        .collect();
    let room = fixture.server.room.available_permits();
    let writes: Vec<_> =
        records.iter().map(|record| fixture.server.keep(vec![record.clone()])).collect();
    let outcomes = join_all(writes).await;
    assert!(outcomes.iter().skip(12).all(|outcome| *outcome == KeepOutcome::Refused));
    assert_eq!(fixture.server.room.available_permits(), room);
    assert_eq!(fixture.keep(&[living("x", None)]).await, (true, false));
}

// Guards against a store that takes nothing any more after its disk was full, or does not report it.
#[tokio::test]
async fn writes_are_refused_while_the_disk_is_full() {
    let fixture = Fixture::start();
    fixture.disk.set_full(true);
    assert_eq!(fixture.keep(&[living("1", None)]).await, (false, false));
    fixture.disk.set_full(false);
    while fixture.keep(&[living("1", None)]).await != (true, false) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let events = &fixture.server.cx.events;
    let count = |number: EventNumber| events.select(|event| event.number == number.number()).len();
    let is_reported =
        || count(EventNumber::TurnStoreFailed) == 1 && count(EventNumber::TurnStoreRegained) == 1;
    wait_for("both events", is_reported).await;
}
