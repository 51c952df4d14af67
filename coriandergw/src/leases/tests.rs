use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use super::*;
use crate::catalogue::CatalogueView;
use crate::catalogue::CatalogueWriter;
use crate::catalogue::Change;
use crate::catalogue::ChangeAction;
use crate::catalogue::ChangeAnswer;
use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::clock::Clock;
use crate::clock::WallTime;
use crate::control::ControlMachine;
use crate::control::ControlState;
use crate::control::SharedControlState;
use crate::ids::CONTROL_GROUP;
use crate::ids::ChangeId;
use crate::ids::EntryName;
use crate::ids::GroupId;
use crate::ids::PARTITION_COUNT;
use crate::ids::Revision;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::StateMachine;
use crate::log_groups::local::LocalLog;
use crate::test_support;
use crate::transport::memory::MemoryNetwork;

mod cuts;
mod distribution;
mod holding;
mod moves;
mod planning;

/// The timeout of a condition, in the paused time of a test.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A clock that follows the paused time of the test runtime.
struct TestClock(tokio::time::Instant);

impl Clock for TestClock {
    fn now(&self) -> Timestamp {
        Timestamp(1 + self.0.elapsed().as_micros() as u64)
    }

    fn wall(&self) -> WallTime {
        WallTime(self.now().0 / 1_000)
    }
}

/// A log whose leader the test sets and whose answers can be lost.
struct TestLog {
    inner: LocalLog,
    leader: Mutex<Option<InstanceName>>,
    term: AtomicU64,
    lost_answers: AtomicU64,
}

#[async_trait]
impl ReplicatedLog for TestLog {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        if self.leader(group).is_none() {
            return Err(ProposeError::NotProposed { reason: "no leader".to_owned() });
        }
        let answer = self.inner.propose(group, command).await;
        let lost = self.lost_answers.load(Ordering::Relaxed);
        if lost > 0 {
            self.lost_answers.store(lost - 1, Ordering::Relaxed);
            return Err(ProposeError::Unknown { reason: "answer lost".to_owned() });
        }
        answer
    }

    fn leader(&self, _group: GroupId) -> Option<InstanceName> {
        self.leader.lock().unwrap().clone()
    }
}

/// The leadership of one store instance, as the test has set it in its log.
struct TestLeadership(InstanceName, Arc<TestLog>);

impl Leadership for TestLeadership {
    fn term(&self, _now: Timestamp) -> Option<u64> {
        let leads = self.1.leader(CONTROL_GROUP).as_ref() == Some(&self.0);
        leads.then(|| self.1.term.load(Ordering::Relaxed))
    }
}

/// Several instances in one process. Instances 0 to 2 are store instances.
struct Cluster {
    network: Arc<MemoryNetwork>,
    log: Arc<TestLog>,
    state: SharedControlState,
    clock: Arc<TestClock>,
    clients: BTreeMap<InstanceName, Arc<ControlClient>>,
}

fn name(number: usize) -> InstanceName {
    InstanceName::try_from(format!("i{number:02}")).unwrap()
}

impl Cluster {
    fn empty() -> Self {
        let state = Arc::new(RwLock::new(ControlState::default()));
        let machine: Box<dyn StateMachine> = Box::new(ControlMachine::new(state.clone()));
        let log = TestLog {
            inner: LocalLog::new(name(0), [(CONTROL_GROUP, machine)]),
            leader: Mutex::default(),
            term: AtomicU64::new(0),
            lost_answers: AtomicU64::new(0),
        };
        let clock = Arc::new(TestClock(tokio::time::Instant::now()));
        let network = Arc::default();
        Self { network, log: Arc::new(log), state, clock, clients: BTreeMap::new() }
    }

    /// Starts a cluster with instance 0 as the leader and waits until the partitions are balanced.
    async fn start(instances: usize) -> Self {
        let mut cluster = Self::empty();
        (0..instances).for_each(|number| cluster.join(number, None));
        cluster.set_leader(0);
        cluster.wait_until(Cluster::is_balanced).await;
        cluster
    }

    fn join(&mut self, number: usize, data: Option<&Path>) {
        let data_centre = format!("dc{}", number % 3);
        self.join_with(number, &data_centre, self.log.clone(), data);
    }

    fn join_with(
        &mut self,
        number: usize,
        data_centre: &str,
        log: Arc<dyn ReplicatedLog>,
        data: Option<&Path>,
    ) {
        let name = name(number);
        let cx = test_support::context(name.clone(), data_centre, self.clock.clone());
        let address: SocketAddr = ([127, 0, 0, 1], 1_000 + number as u16).into();
        let registration = Registration {
            caller_address: address,
            peer_address: address,
            voters: (0..3).map(self::name).collect(),
            freshness_limit: Duration::from_secs(5),
            data: data.map(Path::to_owned),
        };
        let store = (number < 3).then(|| StoreRole {
            state: self.state.clone(),
            leadership: Arc::new(TestLeadership(name.clone(), self.log.clone())),
        });
        let transport = self.network.join(name.clone());
        let client = start(cx, transport, log, registration, store).unwrap();
        if let Some(earlier) = self.clients.insert(name, client) {
            earlier.stop();
        }
    }

    fn client(&self, number: usize) -> &Arc<ControlClient> {
        &self.clients[&name(number)]
    }

    fn set_leader(&self, number: usize) {
        self.log.term.fetch_add(1, Ordering::Relaxed);
        *self.log.leader.lock().unwrap() = Some(name(number));
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Cuts an instance off from all others, in both directions.
    fn cut_off(&self, number: usize) {
        for other in self.clients.keys().filter(|other| **other != name(number)) {
            self.network.cut(&name(number), other);
            self.network.cut(other, &name(number));
        }
    }

    async fn wait_until<F>(&self, condition: F)
    where
        F: Fn(&Cluster) -> bool,
    {
        let waits = async {
            while !condition(self) {
                self.assert_held_once();
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_LIMIT, waits).await;
        assert!(waited.is_ok(), "condition not met within the timeout: {}", self.describe());
    }

    /// Describes the cluster in the message of a failed test.
    fn describe(&self) -> String {
        let state = self.state.read().unwrap();
        let counts = state.published().table().counts();
        let lines = self.clients.iter().map(|(name, client)| {
            let registered = &state.published().instances()[name];
            let assigned = counts.get(&registered.index);
            let held = client.all_held(self.now()).len();
            let fresh = client.is_fresh(self.now());
            let (state, revision) = (registered.state, client.revision());
            format!(
                "\n{name} {state:?} assigned {assigned:?} held {held} fresh {fresh} at {revision}"
            )
        });
        format!("revision {}{}", state.published().revision(), lines.collect::<String>())
    }

    /// Checks that no partition is held by two instances at once.
    fn assert_held_once(&self) -> usize {
        let now = self.now();
        let mut homes = BTreeMap::new();
        for (name, client) in &self.clients {
            for (partition, _) in client.all_held(now) {
                let other = homes.insert(partition, name);
                assert_eq!(other, None, "{partition} is also held by {name}");
            }
        }
        homes.len()
    }

    fn held_by(&self, number: usize) -> usize {
        self.client(number).all_held(self.now()).len()
    }

    /// Returns whether every partition is held and all instances hold an even share.
    fn is_balanced(&self) -> bool {
        let share = usize::from(PARTITION_COUNT) / self.clients.len();
        let now = self.now();
        let has_even_share = |client: &Arc<ControlClient>| {
            let held = client.all_held(now).len();
            held == share || held == share + 1
        };
        self.clients.values().all(has_even_share)
            && self.assert_held_once() == usize::from(PARTITION_COUNT)
    }

    fn table(&self) -> crate::control::PartitionTable {
        self.state.read().unwrap().published().table().clone()
    }

    async fn put(&self, number: usize, id: &str, against: u64) -> ChangeAnswer {
        self.client(number).change(change(id, against)).await
    }
}

fn entry_name() -> EntryName {
    EntryName::try_from("e").unwrap()
}

fn change(id: &str, against: u64) -> Change {
    let raw = RawEntry { name: "e".to_owned(), owner: "o".to_owned(), ..RawEntry::default() };
    Change {
        id: ChangeId::try_from(id).unwrap(),
        entry: entry_name(),
        against: Revision(against),
        operator: "op".to_owned(),
        action: ChangeAction::Put(Entry::try_from(raw).unwrap()),
    }
}
