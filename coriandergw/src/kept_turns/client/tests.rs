//! Tests of look-ups and writes, with journal instances that keep turns in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;
use tokio::time::Instant;

use crate::clock::SystemClock;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::Chain;
use crate::kept_turns::FindError;
use crate::kept_turns::KeptTurns;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::client::KeptTurnsClient;
use crate::kept_turns::generated as raw;
use crate::kept_turns::holders::HolderDirectory;
use crate::kept_turns::holders::KnownHolders;
use crate::kept_turns::holders::LivingHolder;
use crate::kept_turns::placement::Holder;
use crate::test_support;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::memory::MemoryNetwork;
use crate::transport::memory::MemoryTransport;

const RETENTION: Duration = Duration::from_secs(60);
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// A journal instance that keeps records in memory.
#[derive(Default)]
struct FakeHolder {
    records: Mutex<BTreeMap<String, raw::Record>>,
    finds: Mutex<usize>,
    refuses: Mutex<bool>,
    complete_since_ms: u64,
}

impl FakeHolder {
    fn find(&self, find: &raw::Find) -> raw::FindAnswer {
        *self.finds.lock().expect("not poisoned") += 1;
        let known = self.records.lock().expect("not poisoned");
        let mut records = Vec::new();
        let mut turn = find.turn.clone();
        while let Some(record) = known.get(&turn) {
            turn = record.previous.clone();
            records.insert(0, record.clone());
        }
        let complete_since_ms = self.complete_since_ms;
        raw::FindAnswer { records, complete_since_ms, unreadable: false }
    }

    fn keep(&self, keep: raw::Keep) -> raw::KeepAnswer {
        let mut known = self.records.lock().expect("not poisoned");
        let previous = keep.records[0].previous.clone();
        if !previous.is_empty() && !known.contains_key(&previous) {
            return raw::KeepAnswer { written: false, previous_missing: true };
        }
        known.extend(keep.records.into_iter().map(|record| (record.turn.clone(), record)));
        raw::KeepAnswer { written: true, previous_missing: false }
    }

    fn has(&self, turn: &str) -> bool {
        self.records.lock().expect("not poisoned").contains_key(turn)
    }
}

#[async_trait]
impl Handler for FakeHolder {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        if *self.refuses.lock().expect("not poisoned") {
            return Err("the disk is full".to_owned());
        }
        let request = raw::Request::decode(payload).expect("a request");
        let body = match request.body.expect("a body") {
            raw::request::Body::Find(find) => raw::answer::Body::Find(self.find(&find)),
            raw::request::Body::Keep(keep) => raw::answer::Body::Keep(self.keep(keep)),
            raw::request::Body::Offer(_) => panic!("an offer from an entry instance"),
        };
        Ok(raw::Answer { body: Some(body) }.encode_to_vec().into())
    }
}

struct FixedHolders(Mutex<KnownHolders>);

impl HolderDirectory for FixedHolders {
    fn holders(&self, _retention: Duration) -> KnownHolders {
        self.0.lock().expect("not poisoned").clone()
    }
}

/// Five journal instances in three data centres, and a client that keeps three replicas.
struct World {
    network: Arc<MemoryNetwork>,
    own: InstanceName,
    names: Vec<InstanceName>,
    holders: Vec<Arc<FakeHolder>>,
    known: Arc<FixedHolders>,
    client: KeptTurnsClient,
    _transports: Vec<Arc<MemoryTransport>>,
}

impl World {
    fn new() -> Self {
        Self::with(|_| FakeHolder::default())
    }

    fn with<F>(holder: F) -> Self
    where
        F: Fn(usize) -> FakeHolder,
    {
        let network = Arc::new(MemoryNetwork::default());
        let name = |text: &str| InstanceName::try_from(text).expect("a name");
        let names: Vec<InstanceName> =
            (0..5).map(|number| name(&format!("10.0.0.{number}:1/a"))).collect();
        let holders: Vec<Arc<FakeHolder>> = (0..5).map(|at| Arc::new(holder(at))).collect();
        let mut transports = Vec::new();
        for (name, holder) in names.iter().zip(&holders) {
            let transport = network.join(name.clone());
            transport.register(Kind::KeptTurns, holder.clone());
            transports.push(transport);
        }
        let living = names.iter().enumerate().map(|(at, name)| {
            let data_centre = DataCentre::try_from(format!("dc-{}", at % 3)).expect("a name");
            let holder = Holder { name: name.clone(), data_centre };
            LivingHolder { holder, is_retiring: false, is_leaving: false }
        });
        let known =
            KnownHolders { living: living.collect(), silent: Vec::new(), is_complete: true };
        let known = Arc::new(FixedHolders(Mutex::new(known)));
        let own = name("10.0.1.1:1/e");
        let cx = test_support::context(own.clone(), "dc-0", Arc::new(SystemClock::default()));
        let transport = network.join(own.clone());
        let client = KeptTurnsClient::new(cx, known.clone(), transport, 2);
        Self { network, own, names, holders, known, client, _transports: transports }
    }

    fn cut(&self, at: usize) {
        self.network.cut(&self.own, &self.names[at]);
    }

    async fn find(&self, turn: &str) -> Result<Chain, FindError> {
        self.client.find(&key(turn), RETENTION, Instant::now() + TIMEOUT).await
    }

    async fn keep(&self, turn: &str, chain: &Chain) -> Result<(), crate::kept_turns::KeepError> {
        self.client.keep(record(turn, chain), chain, Instant::now() + TIMEOUT).await
    }

    fn with_turn(&self, turn: &str) -> Vec<usize> {
        (0..5).filter(|at| self.holders[*at].has(turn)).collect()
    }

    fn refuse(&self, holders: &[usize], refuses: bool) {
        for at in holders {
            *self.holders[*at].refuses.lock().expect("not poisoned") = refuses;
        }
    }

    fn forget(&self, at: usize) {
        self.holders[at].records.lock().expect("not poisoned").clear();
    }
}

fn key(turn: &str) -> TurnKey {
    TurnKey { account: "a".into(), turn: turn.into() }
}

fn record(turn: &str, chain: &Chain) -> TurnRecord {
    let last = chain.records.last();
    TurnRecord {
        key: key(turn),
        previous: last.map(|record| record.key.turn.clone()),
        root: last.map_or(turn.into(), |record| record.root.clone()),
        input: format!("in {turn}").into(),
        output: format!("out {turn}\n").into(),
        expires_ms: 100,
        is_partial: false,
    }
}

// Guards against turns on too few disks, and against bytes that change on the way.
#[tokio::test(start_paused = true)]
async fn a_chain_comes_back_from_any_of_its_three_holders() {
    let world = World::new();
    let mut chain = Chain::default();
    for turn in ["t1", "t2", "t3"] {
        world.keep(turn, &chain).await.expect("kept");
        chain.records.push(record(turn, &chain));
    }
    let kept = world.with_turn("t1");
    assert_eq!((kept.len(), world.with_turn("t3")), (3, kept.clone()));
    for left in &kept {
        world.network.heal();
        kept.iter().filter(|at| *at != left).for_each(|at| world.cut(*at));
        assert_eq!(world.find("t3").await, Ok(chain.clone()));
    }
    let account = TurnKey { account: "b".into(), ..key("t3") };
    let foreign = world.client.find(&account, RETENTION, Instant::now() + TIMEOUT).await;
    assert!(foreign.is_err(), "{foreign:?}");
}

// Guards against traffic between data centres for a chain that is in the own one.
#[tokio::test(start_paused = true)]
async fn other_data_centres_are_asked_only_if_the_own_one_lacks_the_chain() {
    let world = World::new();
    world.keep("t1", &Chain::default()).await.expect("kept");
    let finds = || -> Vec<usize> {
        world.holders.iter().map(|one| *one.finds.lock().expect("not poisoned")).collect()
    };
    world.find("t1").await.expect("found");
    assert_eq!((finds()[1], finds()[2], finds()[4]), (0, 0, 0));
    world.refuse(&[0, 3], true);
    world.keep("t2", &Chain::default()).await.expect("kept");
    world.refuse(&[0, 3], false);
    world.find("t2").await.expect("found");
    assert_ne!(finds()[1] + finds()[4] > 0, finds()[2] > 0, "one of the other data centres");
}

// Guards against a 404 while the instances without an answer may have the turn, and against a 503
// while they cannot have it.
#[tokio::test(start_paused = true)]
async fn a_turn_is_unknown_only_if_all_but_two_instances_deny_it() {
    let world = World::new();
    world.cut(1);
    world.cut(2);
    assert_eq!(world.find("t1").await, Err(FindError::Unknown));
    world.cut(4);
    let started = Instant::now();
    assert!(matches!(world.find("t1").await, Err(FindError::Uncertain { .. })));
    assert_eq!(started.elapsed(), TIMEOUT);
    assert!(world.client.cx.events.select(|event| event.number == 520).len() == 1);
}

// Guards against a 404 by an instance with an empty disk, or of an entry instance that has just
// started.
#[tokio::test(start_paused = true)]
async fn new_disks_and_a_new_roster_leave_it_uncertain() {
    let new_disk = FakeHolder { complete_since_ms: u64::MAX, ..FakeHolder::default() };
    let new_disk = Mutex::new(Some(new_disk));
    let world = World::with(|at| match at {
        0 => new_disk.lock().expect("not poisoned").take().expect("one"),
        _ => FakeHolder::default(),
    });
    world.cut(1);
    world.cut(2);
    assert!(matches!(world.find("t1").await, Err(FindError::Uncertain { .. })));
    let world = World::new();
    world.known.0.lock().expect("not poisoned").is_complete = false;
    assert!(matches!(world.find("t1").await, Err(FindError::Uncertain { .. })));
}

// Guards against a look-up that fails since the only holder in reach restarts.
#[tokio::test(start_paused = true)]
async fn an_instance_that_does_not_answer_is_asked_again() {
    let world = World::new();
    world.keep("t1", &Chain::default()).await.expect("kept");
    let kept = world.with_turn("t1");
    kept.iter().for_each(|at| world.cut(*at));
    let healing = async {
        tokio::time::sleep(TIMEOUT / 4).await;
        world.network.heal();
    };
    let (found, ()) = tokio::join!(world.find("t1"), healing);
    assert!(found.is_ok(), "{found:?}");
}

// Guards against a look-up that fails since the holders are listed a moment later, for example after
// a loss of power.
#[tokio::test(start_paused = true)]
async fn instances_that_are_listed_during_a_look_up_are_asked_too() {
    let world = World::new();
    world.keep("t1", &Chain::default()).await.expect("kept");
    let listed = std::mem::take(&mut *world.known.0.lock().expect("not poisoned"));
    let listing = async {
        tokio::time::sleep(TIMEOUT / 4).await;
        *world.known.0.lock().expect("not poisoned") = listed;
    };
    let (found, ()) = tokio::join!(world.find("t1"), listing);
    assert!(found.is_ok(), "{found:?}");
}

// Guards against an answer whose end waits for a silent disk, or is broken off though others write.
#[tokio::test(start_paused = true)]
async fn a_write_goes_to_the_next_instances_if_the_first_fail_or_are_silent() {
    let world = World::new();
    world.keep("t1", &Chain::default()).await.expect("kept");
    let first = world.with_turn("t1");
    world.cut(first[0]);
    world.refuse(&first[1..2], true);
    (0..5).for_each(|at| world.forget(at));
    let started = Instant::now();
    world.keep("t1", &Chain::default()).await.expect("kept");
    assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    let others = world.with_turn("t1");
    assert!(others.len() == 3 && !others.contains(&first[0]) && !others.contains(&first[1]));
    world.refuse(&others[..1], true);
    let failed = world.keep("t2", &Chain::default()).await.expect_err("too few disks");
    assert_eq!((failed.written, failed.wanted), (2, 3));
    assert!(world.client.check_writable().is_err());
}

// Guards against a holder that has a turn without those before it.
#[tokio::test(start_paused = true)]
async fn a_holder_that_lacks_the_chain_gets_all_of_it() {
    let world = World::new();
    let mut chain = Chain::default();
    for turn in ["t1", "t2"] {
        let large = TurnRecord { input: vec![b'x'; 1 << 20].into(), ..record(turn, &chain) };
        let written = world.client.keep(large.clone(), &chain, Instant::now() + TIMEOUT).await;
        written.expect("kept");
        chain.records.push(large);
    }
    let empty = world.with_turn("t1")[0];
    world.forget(empty);
    world.keep("t3", &chain).await.expect("kept");
    (0..5).filter(|at| *at != empty).for_each(|at| world.cut(at));
    chain.records.push(record("t3", &chain));
    assert_eq!(world.find("t3").await, Ok(chain));
}

// Guards against a whole turn that is hidden by the partial record of an earlier attempt.
#[tokio::test(start_paused = true)]
async fn a_whole_record_is_preferred_to_a_partial_one() {
    let world = World::new();
    let partial = TurnRecord { is_partial: true, ..record("t1", &Chain::default()) };
    let deadline = Instant::now() + TIMEOUT;
    world.client.keep(partial, &Chain::default(), deadline).await.expect("kept");
    assert!(world.find("t1").await.expect("found").records[0].is_partial);
    let stale = world.with_turn("t1")[0];
    world.refuse(&[stale], true);
    world.keep("t1", &Chain::default()).await.expect("kept");
    world.refuse(&[stale], false);
    assert!(!world.find("t1").await.expect("found").records[0].is_partial);
}
