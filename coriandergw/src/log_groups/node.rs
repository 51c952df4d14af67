//! The replicated log on an instance that stores it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::Leadership;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::log_groups::client::LogClient;
use crate::log_groups::core::Members;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::driver::Driver;
use crate::log_groups::driver::DriverParts;
use crate::log_groups::driver::Input;
use crate::log_groups::group::Group;
use crate::log_groups::group::new_core;
use crate::log_groups::propose::LocalProposer;
use crate::log_groups::pulse::PulseCodec;
use crate::log_groups::voters::VoterChange;
use crate::log_groups::wire;
use crate::log_groups::writer::LogWriter;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::store::Opened;
use crate::storage::store::Store;
use crate::storage::store::StoreOptions;
use crate::supervision;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;

/// The default number of entries applied between two snapshots of a group.
pub const SNAPSHOT_EVERY_ENTRIES: u64 = 10_000;

/// The capacity of the driver's input queue; further inputs are refused or dropped.
const INPUT_QUEUE: usize = 4_096;

/// The options of a log node.
pub struct LogOptions {
    /// The name of the cluster.
    pub cluster: String,
    /// The voters of a new log. An instance that is to replace a voter must not list itself.
    pub voters: Vec<InstanceName>,
    /// The data folder of the instance.
    pub disk: Arc<dyn Disk>,
    /// The groups and their state machines.
    pub groups: Vec<(GroupId, Box<dyn StateMachine>)>,
    /// The entries between two snapshots; [`SNAPSHOT_EVERY_ENTRIES`] except in tests.
    pub snapshot_every: u64,
    /// Whether anything relies on the leader's lease; without leases, elections are faster.
    pub has_leases: bool,
}

/// The reason why the log node could not start.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum LogStartError {
    /// The data folder cannot be used.
    #[display("{cause}")]
    Storage {
        /// The error of the storage.
        cause: StorageError,
    },
    /// A state machine refuses its stored snapshot.
    #[display("{cause}")]
    Restore {
        /// The error of the state machine.
        cause: RestoreError,
    },
}

impl From<StorageError> for LogStartError {
    fn from(cause: StorageError) -> Self {
        Self::Storage { cause }
    }
}

impl From<RestoreError> for LogStartError {
    fn from(cause: RestoreError) -> Self {
        Self::Restore { cause }
    }
}

/// The state of a group that is visible to other tasks.
struct GroupView {
    leadership: watch::Receiver<Leadership>,
    lease_until: Arc<AtomicU64>,
    members: watch::Receiver<Members>,
}

/// A member of the log's groups on this instance, which also commits commands to them.
pub struct LogNode {
    client: LogClient,
    inputs: mpsc::Sender<Input>,
    views: BTreeMap<GroupId, GroupView>,
    writable: watch::Receiver<bool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl LogNode {
    /// Opens the data folder, restores the state machines and starts the driver.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    /// Fails if the data folder cannot be used or a state machine refuses its snapshot.
    pub fn start(
        cx: Context,
        transport: Arc<dyn Transport>,
        options: LogOptions,
    ) -> Result<Arc<Self>, LogStartError> {
        let LogOptions { cluster, voters, disk, groups, snapshot_every, has_leases } = options;
        let store_options = StoreOptions {
            cluster: cluster.clone(),
            instance: cx.instance.clone(),
            groups: groups.iter().map(|(id, _)| *id).collect(),
            members: Members::of_voters(voters.iter().cloned()),
        };
        let opened = Store::open(disk, &store_options)?;
        record_open_events(&cx, &opened);
        let Opened { store, groups: mut recovered, .. } = opened;
        let mut started = BTreeMap::new();
        for (id, machine) in groups {
            let Some(recovered) = recovered.remove(&id) else {
                continue;
            };
            let core = new_core(&cx, recovered, has_leases);
            let mut group = Group::new(id, core, machine, snapshot_every);
            group.apply(&cx)?;
            started.insert(id, group);
        }
        let views = started.iter().map(|(id, group)| (*id, view(group))).collect();
        let (inputs, receiver) = mpsc::channel(INPUT_QUEUE);
        let local = LocalProposer { inputs: inputs.clone() };
        let pulses = Arc::new(Mutex::new(PulseCodec::default()));
        let handler = MessageHandler {
            cx: cx.clone(),
            cluster: cluster.clone(),
            inputs: inputs.clone(),
            pulses: pulses.clone(),
        };
        transport.register(Kind::Log, Arc::new(handler));
        transport.register(Kind::Propose, Arc::new(local.clone()));
        let client = LogClient::new(transport.clone(), voters);
        let client = client.with_local(cx.instance.clone(), local);
        let (is_writable, writable) = watch::channel(true);
        let driver = Driver::new(DriverParts {
            cx: cx.clone(),
            transport,
            cluster,
            groups: started,
            writer: LogWriter::new(store, store_options),
            has_leases,
            is_writable,
            inputs: receiver,
            pulses,
        });
        let running = supervision::until_stopped(cx, "run the log groups", driver.run());
        let task = Mutex::new(Some(tokio::spawn(running)));
        Ok(Arc::new(Self { client, inputs, views, writable, task }))
    }

    /// Returns a watch on the leadership of a group; `None` for an unknown group.
    pub fn leadership(&self, group: GroupId) -> Option<watch::Receiver<Leadership>> {
        self.views.get(&group).map(|view| view.leadership.clone())
    }

    /// Returns when the lease of this instance as the leader of a group ends.
    ///
    /// The time is in the past if this instance does not lead. A leader may act only until this
    /// time by its own clock.
    pub fn lease_until(&self, group: GroupId) -> Timestamp {
        let view = self.views.get(&group);
        view.map_or(Timestamp::default(), |view| {
            Timestamp(view.lease_until.load(Ordering::Acquire))
        })
    }

    /// Returns the groups that this instance is a member of.
    pub fn groups(&self) -> Vec<GroupId> {
        self.views.keys().copied().collect()
    }

    /// Returns a watch on the members of a group; `None` for an unknown group.
    pub fn members(&self, group: GroupId) -> Option<watch::Receiver<Members>> {
        self.views.get(&group).map(|view| view.members.clone())
    }

    /// Returns whether the disk takes writes; without them this instance takes no part in its groups.
    pub fn is_writable(&self) -> bool {
        *self.writable.borrow()
    }

    /// Sets the voters that proposals from this instance may be sent to.
    pub fn note_voters(&self, voters: Vec<InstanceName>) {
        self.client.set_voters(voters);
    }

    /// Starts a change of a group's voters; must be called on the group's leader.
    ///
    /// # Errors
    /// Fails, with nothing changed, if this instance does not lead, another change is in progress,
    /// or the change is not valid for the current membership.
    pub async fn change_voters(
        &self,
        group: GroupId,
        change: VoterChange,
    ) -> Result<(), ProposeFault> {
        let (reply, result) = oneshot::channel();
        let input = Input::ChangeVoters { group, change, reply };
        self.inputs.send(input).await.map_err(|_| ProposeFault::NotLeader)?;
        result.await.unwrap_or(Err(ProposeFault::NotLeader))
    }

    /// Stops the driver and waits until the data folder is no longer in use.
    pub async fn stop(&self) {
        let _ = self.inputs.send(Input::Stop).await;
        let task = self.task.lock().expect("not poisoned").take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }
}

#[async_trait]
impl ReplicatedLog for LogNode {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        if let Some(leader) = self.leader(group) {
            self.client.note_leader(group, Some(leader));
        }
        self.client.propose(group, command).await
    }

    fn leader(&self, group: GroupId) -> Option<InstanceName> {
        self.views.get(&group).and_then(|view| view.leadership.borrow().leader.clone())
    }
}

fn view(group: &Group) -> GroupView {
    GroupView {
        leadership: group.leadership(),
        lease_until: group.lease_until(),
        members: group.members(),
    }
}

fn record_open_events(cx: &Context, opened: &Opened) {
    if let Some(damage) = &opened.damage {
        cx.events.record(EventNumber::LogSetAside, Subject::default(), damage.to_string());
    }
    if opened.truncated_bytes > 0 {
        let message = format!("{} bytes", opened.truncated_bytes);
        cx.events.record(EventNumber::LogTailCut, Subject::default(), message);
    }
}

/// Passes messages from other members to the driver.
struct MessageHandler {
    cx: Context,
    cluster: String,
    inputs: mpsc::Sender<Input>,
    pulses: Arc<Mutex<PulseCodec>>,
}

#[async_trait]
impl Handler for MessageHandler {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let envelope = wire::decode_envelope(&self.cluster, payload).map_err(|cause| {
            let subject = Subject { peer: Some(from.to_string()), ..Subject::default() };
            self.cx.events.record(EventNumber::LogMessageRefused, subject, cause.to_string());
            cause.to_string()
        })?;
        let (others, pulses) = envelope;
        let mut messages = self.pulses.lock().expect("not poisoned").unpack(from, pulses);
        messages.extend(others);
        let input = Input::Messages { from: from.clone(), messages };
        // Messages are dropped if the queue is full; the sender sends them again.
        self.inputs.try_send(input).map_err(|cause| cause.to_string())?;
        Ok(Bytes::new())
    }
}
