//! A cluster of log nodes over an in-memory network, with disks that fail on demand.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::context::Context;
use crate::events::EventNumber;
use crate::ids::CONTROL_GROUP;
use crate::ids::InstanceName;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::log_groups::node::LogNode;
use crate::log_groups::node::LogOptions;
use crate::log_groups::node::LogStartError;
use crate::storage::Disk;
use crate::storage::memory_disk::MemoryDisk;
use crate::test_support;
use crate::test_support::wait_for;
use crate::transport::memory::MemoryNetwork;

pub fn name(raw: &str) -> InstanceName {
    InstanceName::try_from(raw).expect("a valid name")
}

/// The commands applied by one state machine, shared with the test.
pub type Applied = Arc<Mutex<Vec<Bytes>>>;

/// A state machine that stores each distinct command and answers with its position.
struct CommandList(Applied);

impl StateMachine for CommandList {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        let mut applied = self.0.lock().expect("not poisoned");
        let position = applied.iter().position(|known| known == command).unwrap_or_else(|| {
            applied.push(Bytes::copy_from_slice(command));
            applied.len() - 1
        });
        position.to_string().into()
    }

    fn snapshot(&self) -> Bytes {
        let applied = self.0.lock().expect("not poisoned");
        serde_json::to_vec(&*applied.iter().map(|c| c.to_vec()).collect::<Vec<_>>())
            .expect("serialises")
            .into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let commands: Vec<Vec<u8>> = serde_json::from_slice(snapshot)
            .map_err(|cause| RestoreError { reason: cause.to_string() })?;
        *self.0.lock().expect("not poisoned") = commands.into_iter().map(Bytes::from).collect();
        Ok(())
    }
}

/// An in-memory disk that refuses writes and loses power on demand.
///
/// Like a file system, it reads back appended bytes that are not durable yet. A failed sync marks
/// them as written, so that a later sync does not make them durable.
pub struct FaultyDisk {
    /// The content as it is read.
    pub files: MemoryDisk,
    /// The content that remains after a loss of power.
    durable: MemoryDisk,
    /// The appended ranges of each file that the next sync makes durable.
    dirty: Mutex<BTreeMap<String, Vec<Range<usize>>>>,
    pub fails_syncs: AtomicBool,
    /// The bytes that can still be appended to one file; an append beyond them is cut short.
    pub free_bytes: AtomicUsize,
}

impl Default for FaultyDisk {
    fn default() -> Self {
        Self {
            files: MemoryDisk::default(),
            durable: MemoryDisk::default(),
            dirty: Mutex::default(),
            fails_syncs: AtomicBool::new(false),
            free_bytes: AtomicUsize::new(usize::MAX),
        }
    }
}

impl FaultyDisk {
    /// Refuses all writes, or takes them again.
    pub fn set_full(&self, is_full: bool) {
        self.free_bytes.store(if is_full { 0 } else { usize::MAX }, Ordering::SeqCst);
    }

    /// Drops what is not durable.
    pub fn lose_power(&self) {
        self.files.replace_all(&self.durable);
        self.dirty.lock().expect("not poisoned").clear();
    }

    fn is_full(&self) -> bool {
        self.free_bytes.load(Ordering::SeqCst) == 0
    }

    fn check_space(&self) -> io::Result<()> {
        if self.is_full() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn length(&self, name: &str) -> io::Result<usize> {
        Ok(self.files.read(name)?.unwrap_or_default().len())
    }
}

impl Disk for FaultyDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.files.read(name)
    }

    fn read_range(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.files.read_range(name, offset, length)
    }

    fn names(&self) -> io::Result<Vec<String>> {
        self.files.names()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.dirty.lock().expect("not poisoned").remove(name);
        self.files.remove(name)?;
        self.durable.remove(name)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let start = self.length(name)?;
        let written = bytes.len().min(self.free_bytes.load(Ordering::SeqCst));
        self.files.append(name, &bytes[..written])?;
        let mut dirty = self.dirty.lock().expect("not poisoned");
        dirty.entry(name.to_owned()).or_default().push(start..start + written);
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let ranges = self.dirty.lock().expect("not poisoned").remove(name).unwrap_or_default();
        if self.fails_syncs.load(Ordering::SeqCst) {
            return Err(io::Error::other("injected"));
        }
        let content = self.files.read(name)?.unwrap_or_default();
        let mut durable = self.durable.read(name)?.unwrap_or_default();
        for range in ranges {
            durable.resize(durable.len().max(range.end), 0);
            durable[range.clone()].copy_from_slice(&content[range]);
        }
        self.durable.replace(name, &durable)
    }

    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()> {
        self.dirty.lock().expect("not poisoned").remove(name);
        self.files.truncate(name, bytes)?;
        self.durable.truncate(name, bytes)
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check_space()?;
        self.dirty.lock().expect("not poisoned").remove(name);
        self.files.replace(name, bytes)?;
        self.durable.replace(name, bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.check_space()?;
        self.files.rename(from, to)?;
        self.durable.rename(from, to)
    }

    fn sync_all(&self) -> io::Result<()> {
        let dirty: Vec<String> = self.dirty.lock().expect("not poisoned").keys().cloned().collect();
        dirty.iter().try_for_each(|name| self.sync(name))
    }
}

/// One instance of a [`Cluster`].
pub struct Member {
    pub name: InstanceName,
    pub cx: Context,
    pub disk: Arc<FaultyDisk>,
    pub applied: Applied,
    pub node: Option<Arc<LogNode>>,
}

impl Member {
    pub fn node(&self) -> &Arc<LogNode> {
        self.node.as_ref().expect("the node runs")
    }

    pub fn is_leader(&self) -> bool {
        let leadership = self.node.as_ref().and_then(|node| node.leadership(CONTROL_GROUP));
        leadership.is_some_and(|leadership| leadership.borrow().is_leader)
    }

    pub fn applied_count(&self) -> usize {
        self.applied.lock().expect("not poisoned").len()
    }

    pub fn has_event(&self, number: EventNumber) -> bool {
        !self.cx.events.select(|event| event.number == number.number()).is_empty()
    }

    /// Makes the disk refuse writes until the member has noticed, and then takes them again.
    pub async fn refuse_one_write(&self) {
        let count = || {
            let failed = EventNumber::LogStorageFailed.number();
            self.cx.events.select(|event| event.number == failed).len()
        };
        let before = count();
        self.disk.set_full(true);
        wait_for("a refused write", || count() > before).await;
        self.disk.set_full(false);
    }

    pub async fn stop(&mut self) {
        if let Some(node) = self.node.take() {
            node.stop().await;
        }
    }
}

/// Instances with one log group over an in-memory network.
pub struct Cluster {
    pub network: Arc<MemoryNetwork>,
    pub clock: Arc<SystemClock>,
    pub members: Vec<Member>,
    pub snapshot_every: u64,
    proposed: AtomicUsize,
}

impl Cluster {
    /// Starts the voters `a`, `b` and `c`.
    pub async fn start(snapshot_every: u64) -> Self {
        let mut cluster = Self {
            network: Arc::default(),
            clock: Arc::default(),
            members: Vec::new(),
            snapshot_every,
            proposed: AtomicUsize::new(0),
        };
        for member in ["a", "b", "c"] {
            cluster.add(member);
        }
        for at in 0..3 {
            cluster.start_member(at).expect("the data folder is new");
        }
        cluster
    }

    /// Adds a member without starting it.
    pub fn add(&mut self, raw: &str) -> usize {
        let member = Member {
            name: name(raw),
            cx: self.context(raw),
            disk: Arc::default(),
            applied: Arc::default(),
            node: None,
        };
        self.members.push(member);
        self.members.len() - 1
    }

    pub fn context(&self, raw: &str) -> Context {
        test_support::context(name(raw), "dc", self.clock.clone())
    }

    /// Starts a member with an empty state machine and its existing disk.
    pub fn start_member(&mut self, at: usize) -> Result<(), LogStartError> {
        let voters = ["a", "b", "c"].map(name).to_vec();
        let transport = self.network.join(self.members[at].name.clone());
        let snapshot_every = self.snapshot_every;
        let member = &mut self.members[at];
        member.applied.lock().expect("not poisoned").clear();
        let machine = Box::new(CommandList(member.applied.clone()));
        let options = LogOptions {
            cluster: "test".to_owned(),
            voters,
            disk: member.disk.clone(),
            groups: vec![(CONTROL_GROUP, machine)],
            snapshot_every,
            has_leases: true,
        };
        member.node = Some(LogNode::start(member.cx.clone(), transport, options)?);
        Ok(())
    }

    /// Waits for a leader other than the member at `except` and returns its index.
    pub async fn leader(&self, except: Option<usize>) -> usize {
        let find = || {
            (0..self.members.len()).find(|at| Some(*at) != except && self.members[*at].is_leader())
        };
        wait_for("a leader", || find().is_some()).await;
        find().expect("found just now")
    }

    /// Proposes `count` commands through the member at `at`, and waits for each answer.
    pub async fn propose(&self, at: usize, count: usize) {
        for _ in 0..count {
            let number = self.proposed.fetch_add(1, Ordering::SeqCst);
            let command = Bytes::from(format!("command {number}"));
            let answer = self.members[at].node().propose(CONTROL_GROUP, command).await;
            answer.expect("the command is committed");
        }
    }

    /// Waits until the member at `at` has applied `count` commands.
    pub async fn applied(&self, at: usize, count: usize) {
        let member = &self.members[at];
        wait_for("commands to be applied", || member.applied_count() >= count).await;
        assert_eq!(member.applied_count(), count, "on {}", member.name);
    }

    /// Drops all messages between the member at `at` and the others.
    pub fn cut_off(&self, at: usize) {
        for other in self.members.iter().filter(|other| other.name != self.members[at].name) {
            self.network.cut(&self.members[at].name, &other.name);
            self.network.cut(&other.name, &self.members[at].name);
        }
    }

    pub fn now(&self) -> crate::clock::Timestamp {
        self.clock.now()
    }
}
