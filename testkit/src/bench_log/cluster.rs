//! Log nodes in one process: real folders, a memory network, and counters of what they do.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coriandergw::clock::SystemClock;
use coriandergw::context::Context;
use coriandergw::events::Recorder;
use coriandergw::ids::CONTROL_GROUP;
use coriandergw::ids::DataCentre;
use coriandergw::ids::GroupId;
use coriandergw::ids::InstanceName;
use coriandergw::log_groups::RestoreError;
use coriandergw::log_groups::StateMachine;
use coriandergw::log_groups::node::LogNode;
use coriandergw::log_groups::node::LogOptions;
use coriandergw::log_groups::node::SNAPSHOT_EVERY_ENTRIES;
use coriandergw::metrics::Metrics;
use coriandergw::storage::Disk;
use coriandergw::storage::file_disk::FileDisk;
use coriandergw::transport::Handler;
use coriandergw::transport::Kind;
use coriandergw::transport::Transport;
use coriandergw::transport::TransportError;
use coriandergw::transport::memory::MemoryNetwork;
use coriandergw::transport::memory::MemoryTransport;

/// The time between two looks at a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What all nodes of a cluster did.
#[derive(Debug, Default)]
pub struct Counters {
    /// Syncs of the write-ahead files.
    pub syncs: AtomicU64,
    /// Bytes appended to the write-ahead files.
    pub disk_bytes: AtomicU64,
    /// Messages between nodes.
    pub messages: AtomicU64,
    /// Payload bytes of the messages.
    pub network_bytes: AtomicU64,
}

/// The counters at one time: syncs, disk bytes, messages and network bytes.
#[derive(Debug, Clone, Copy)]
pub struct Counts(pub [u64; 4]);

impl Counters {
    /// Reads all counters.
    pub fn read(&self) -> Counts {
        let all = [&self.syncs, &self.disk_bytes, &self.messages, &self.network_bytes];
        Counts(all.map(|counter| counter.load(Ordering::Relaxed)))
    }

    /// Returns what was counted since `earlier`.
    pub fn since(&self, earlier: Counts) -> [f64; 4] {
        let now = self.read().0;
        std::array::from_fn(|at| (now[at] - earlier.0[at]) as f64)
    }
}

struct CountingDisk {
    disk: FileDisk,
    counters: Arc<Counters>,
}

impl Disk for CountingDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(name)
    }

    fn read_range(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.disk.read_range(name, offset, length)
    }

    fn names(&self) -> io::Result<Vec<String>> {
        self.disk.names()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.counters.disk_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.disk.append(name, bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.counters.syncs.fetch_add(1, Ordering::Relaxed);
        self.disk.sync(name)
    }

    fn truncate(&self, name: &str, bytes: u64) -> io::Result<()> {
        self.disk.truncate(name, bytes)
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.replace(name, bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn sync_all(&self) -> io::Result<()> {
        self.disk.sync_all()
    }
}

struct CountingTransport {
    transport: Arc<MemoryTransport>,
    counters: Arc<Counters>,
}

#[async_trait]
impl Transport for CountingTransport {
    fn send(&self, to: &InstanceName, kind: Kind, payload: Bytes) {
        self.counters.messages.fetch_add(1, Ordering::Relaxed);
        self.counters.network_bytes.fetch_add(payload.len() as u64, Ordering::Relaxed);
        self.transport.send(to, kind, payload);
    }

    async fn call(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError> {
        self.transport.call(to, kind, payload, timeout).await
    }

    fn register(&self, kind: Kind, handler: Arc<dyn Handler>) {
        self.transport.register(kind, handler);
    }

    fn learn(&self, peer: &InstanceName, address: SocketAddr) {
        self.transport.learn(peer, address);
    }
}

/// Counts the commands and keeps nothing else.
#[derive(Debug, Default)]
struct CountCommands(u64);

impl StateMachine for CountCommands {
    fn apply(&mut self, _index: u64, _command: &[u8]) -> Bytes {
        self.0 += 1;
        Bytes::new()
    }

    fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.0.to_le_bytes())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let bytes = snapshot.try_into();
        let bytes = bytes.map_err(|_| RestoreError { reason: "not eight bytes".to_owned() })?;
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

/// Returns the name of the node at a place.
pub fn node_name(at: usize) -> InstanceName {
    InstanceName::try_from(format!("node-{at}")).expect("a valid name")
}

/// Builds the context of an instance.
pub fn context(name: &InstanceName) -> Context {
    let clock = Arc::new(SystemClock::default());
    Context {
        instance: name.clone(),
        data_centre: DataCentre::try_from("bench").expect("a valid name"),
        clock: clock.clone(),
        events: Arc::new(Recorder::new(name.clone(), clock)),
        metrics: Arc::new(Metrics::new().expect("each metric is registered once")),
        memory: Arc::default(),
        supervisor: Arc::default(),
    }
}

/// The log nodes of one cluster.
pub struct Cluster {
    /// Connects the nodes.
    pub network: Arc<MemoryNetwork>,
    /// The nodes, by place.
    pub nodes: Vec<Arc<LogNode>>,
    /// What all nodes did.
    pub counters: Arc<Counters>,
}

impl Cluster {
    /// Starts nodes with their folders below `folder`.
    ///
    /// # Errors
    /// Fails if a folder cannot be used.
    pub fn start(folder: &Path, nodes: usize, groups: u32) -> io::Result<Self> {
        let mut cluster =
            Self { network: Arc::default(), nodes: Vec::new(), counters: Arc::default() };
        let voters: Vec<InstanceName> = (0..nodes).map(node_name).collect();
        for name in &voters {
            let counters = cluster.counters.clone();
            let disk = FileDisk::open(&folder.join(name.as_str()))?;
            let disk = Arc::new(CountingDisk { disk, counters: counters.clone() });
            let transport = cluster.network.join(name.clone());
            let transport = Arc::new(CountingTransport { transport, counters });
            let machine = |group| {
                let machine: Box<dyn StateMachine> = Box::new(CountCommands::default());
                (GroupId(group), machine)
            };
            let options = LogOptions {
                cluster: "bench".to_owned(),
                voters: voters.clone(),
                disk,
                groups: (0..groups).map(machine).collect(),
                snapshot_every: SNAPSHOT_EVERY_ENTRIES,
                has_leases: true,
            };
            let node = LogNode::start(context(name), transport, options);
            cluster.nodes.push(node.map_err(io::Error::other)?);
        }
        Ok(cluster)
    }

    /// Waits until a node other than `except` leads a group, and returns its place.
    pub async fn leader(&self, group: GroupId, except: Option<usize>) -> usize {
        loop {
            let leads = |node: &Arc<LogNode>| {
                node.leadership(group).is_some_and(|leadership| leadership.borrow().is_leader)
            };
            let mut places = (0..self.nodes.len()).filter(|at| Some(*at) != except);
            if let Some(place) = places.find(|at| leads(&self.nodes[*at])) {
                return place;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every group has a leader.
    pub async fn all_led(&self, groups: u32) {
        for group in 0..groups {
            self.leader(GroupId(group), None).await;
        }
    }

    /// Loses all messages between the node at `at` and the others, and returns the new leader.
    pub async fn cut_off(&self, at: usize) -> usize {
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            self.network.cut(&node_name(at), &node_name(other));
            self.network.cut(&node_name(other), &node_name(at));
        }
        self.leader(CONTROL_GROUP, Some(at)).await
    }

    /// Stops all nodes.
    pub async fn stop(&self) {
        for node in &self.nodes {
            node.stop().await;
        }
    }
}
