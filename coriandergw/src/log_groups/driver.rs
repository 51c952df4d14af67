//! The task that owns all groups of an instance and executes the work that their cores return.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::RestoreError;
use crate::log_groups::core::Message;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::core::Record;
use crate::log_groups::group::Group;
use crate::log_groups::propose::Outcome;
use crate::log_groups::pulse::PulseCodec;
use crate::log_groups::voters::VoterChange;
use crate::log_groups::wire;
use crate::storage::StorageError;
use crate::storage::store::Store;
use crate::transport::Kind;
use crate::transport::Transport;

/// The minimum wait for a deadline, so that a deadline just missed does not cause a busy loop.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// The maximum wait for a deadline.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// The maximum number of inputs that are handled before the output of the groups is processed.
const INPUTS_PER_TURN: usize = 1_024;

/// The size of proposals after which the output of the groups is processed, in bytes.
const BYTES_PER_TURN: usize = 8 << 20;

/// An input from another task to the driver.
pub enum Input {
    /// Messages from a member on another instance.
    Messages {
        /// The instance that sent the messages.
        from: InstanceName,
        /// The messages, with the group of each.
        messages: Vec<(GroupId, Message)>,
    },
    /// A proposal of a command.
    Propose {
        /// The group that the request concerns.
        group: GroupId,
        /// The command to commit.
        command: Bytes,
        /// Receives the outcome.
        reply: oneshot::Sender<Outcome>,
    },
    /// A request to change the voters of a group.
    ChangeVoters {
        /// The group that the request concerns.
        group: GroupId,
        /// The change to start.
        change: VoterChange,
        /// Receives whether the change was started.
        reply: oneshot::Sender<Result<(), ProposeFault>>,
    },
    /// Stops the driver.
    Stop,
}

/// Owns the cores, the state machines and the write-ahead log file.
pub struct Driver {
    pub(super) cx: Context,
    pub(super) transport: Arc<dyn Transport>,
    pub(super) cluster: String,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) store: Arc<Mutex<Store>>,
    pub(super) inputs: mpsc::Receiver<Input>,
    sync: Option<JoinHandle<Result<(), StorageError>>>,
    /// Messages to be sent when the sync in progress completes.
    awaiting_sync: Outgoing,
    outgoing: Outgoing,
    pulses: Arc<Mutex<PulseCodec>>,
    /// Whether a stop was asked for.
    is_stopped: bool,
}

type Outgoing = BTreeMap<InstanceName, Vec<(GroupId, Message)>>;

impl Driver {
    /// Creates a driver for groups that were recovered from `store`.
    pub fn new(
        cx: Context,
        transport: Arc<dyn Transport>,
        cluster: String,
        groups: BTreeMap<GroupId, Group>,
        store: Store,
        inputs: mpsc::Receiver<Input>,
        pulses: Arc<Mutex<PulseCodec>>,
    ) -> Self {
        Self {
            cx,
            transport,
            cluster,
            groups,
            store: Arc::new(Mutex::new(store)),
            inputs,
            sync: None,
            awaiting_sync: Outgoing::new(),
            outgoing: Outgoing::new(),
            pulses,
            is_stopped: false,
        }
    }

    /// Runs until the driver is stopped, the storage fails or a state machine refuses a snapshot.
    pub async fn run(mut self) {
        loop {
            let wait = self.wait();
            let keeps_running = tokio::select! {
                input = self.inputs.recv() => self.handle_inputs(input),
                synced = sync_completion(&mut self.sync) => self.on_sync_completed(synced),
                () = tokio::time::sleep(wait) => true,
            };
            self.tick();
            if !keeps_running || !self.process_output() {
                break;
            }
        }
        if let Some(sync) = self.sync.take() {
            // The data folder is in use until the write in progress has ended.
            let _ = sync.await;
        }
        for group in self.groups.values_mut() {
            group.shut_down();
        }
        if !self.is_stopped {
            let detail = "this instance takes no further part in its log groups";
            self.report(EventNumber::LogStopped, detail.to_owned());
        }
    }

    /// Returns how long to wait for an input before the next deadline of a group.
    fn wait(&self) -> Duration {
        let now = self.cx.clock.now();
        let deadlines = self.groups.values().map(|group| group.core.next_deadline(now));
        let wait = deadlines.min().map_or(LONGEST_WAIT, |deadline| deadline.since(now));
        wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    fn tick(&mut self) {
        let now = self.cx.clock.now();
        for group in self.groups.values_mut() {
            group.core.tick(now);
        }
    }

    /// Handles the inputs received so far; returns false if the driver must stop.
    fn handle_inputs(&mut self, first: Option<Input>) -> bool {
        let mut next = first;
        let mut bytes = 0;
        for _ in 0..INPUTS_PER_TURN {
            match next {
                None | Some(Input::Stop) => {
                    self.is_stopped = true;
                    return false;
                }
                Some(input) => bytes += self.handle_input(input),
            }
            if bytes > BYTES_PER_TURN {
                break;
            }
            match self.inputs.try_recv() {
                Ok(input) => next = Some(input),
                Err(_) => break,
            }
        }
        true
    }

    /// Handles one input; returns the size of the proposed command, in bytes.
    fn handle_input(&mut self, input: Input) -> usize {
        let now = self.cx.clock.now();
        match input {
            Input::Messages { from, messages } => {
                for (group, message) in messages {
                    if let Some(group) = self.groups.get_mut(&group) {
                        group.core.step(&from, message, now);
                    }
                }
                0
            }
            Input::Propose { group, command, reply } => {
                let bytes = command.len();
                match self.groups.get_mut(&group) {
                    Some(group) => group.propose(command, reply, now),
                    None => {
                        answer(reply, Outcome::NotProposed(format!("there is no group {group}")))
                    }
                }
                bytes
            }
            Input::ChangeVoters { group, change, reply } => {
                let group = self.groups.get_mut(&group);
                let result = group
                    .map_or(Err(ProposeFault::NotLeader), |group| group.change_voters(change, now));
                let _ = reply.send(result);
                0
            }
            Input::Stop => 0,
        }
    }

    /// Handles the end of a sync; returns false if it failed, after which the driver must stop.
    fn on_sync_completed(&mut self, result: Result<(), StorageError>) -> bool {
        self.sync = None;
        if let Err(cause) = result {
            self.report(EventNumber::LogStorageFailed, cause.to_string());
            return false;
        }
        let now = self.cx.clock.now();
        for group in self.groups.values_mut() {
            group.core.synced(now);
        }
        for (to, messages) in std::mem::take(&mut self.awaiting_sync) {
            self.outgoing.entry(to).or_default().extend(messages);
        }
        true
    }

    /// Executes the work that the cores return; returns false if a state machine refused a
    /// snapshot.
    fn process_output(&mut self) -> bool {
        let now = self.cx.clock.now();
        for (id, group) in &mut self.groups {
            queue(&mut self.outgoing, *id, group.core.take_messages(now));
        }
        if let Err(cause) = self.apply(now) {
            self.report(EventNumber::LogStorageFailed, cause.to_string());
            return false;
        }
        if self.sync.is_none() {
            self.start_sync();
        }
        for (to, mut messages) in std::mem::take(&mut self.outgoing) {
            let pulses = self.pulses.lock().expect("not poisoned").pack(&to, &mut messages);
            let payload = wire::encode_envelope(&self.cluster, messages, pulses);
            self.transport.send(&to, Kind::Log, payload);
        }
        true
    }

    fn apply(&mut self, now: Timestamp) -> Result<(), RestoreError> {
        for group in self.groups.values_mut() {
            group.apply(&self.cx)?;
            group.publish(&self.cx, now);
        }
        Ok(())
    }

    /// Takes the next batches of all cores and starts to write their records, if any.
    fn start_sync(&mut self) {
        let mut records: Vec<(GroupId, Record)> = Vec::new();
        let mut messages = Outgoing::new();
        for (id, group) in &mut self.groups {
            let batch = group.core.take_batch();
            records.extend(batch.records.into_iter().map(|record| (*id, record)));
            queue(&mut messages, *id, batch.messages);
        }
        if records.is_empty() {
            for (to, messages) in messages {
                self.outgoing.entry(to).or_default().extend(messages);
            }
            return;
        }
        self.awaiting_sync = messages;
        let needs_rewrite = self.store.lock().expect("not poisoned").needs_rewrite();
        if needs_rewrite {
            records = self.live_records();
        }
        let store = self.store.clone();
        self.sync = Some(tokio::task::spawn_blocking(move || {
            let mut store = store.lock().expect("not poisoned");
            if needs_rewrite { store.rewrite(records) } else { store.write(records) }
        }));
    }

    fn live_records(&self) -> Vec<(GroupId, Record)> {
        let live = |(id, group): (&GroupId, &Group)| {
            let records = group.core.live_records();
            records.into_iter().map(|record| (*id, record)).collect::<Vec<_>>()
        };
        self.groups.iter().flat_map(live).collect()
    }

    fn report(&self, number: EventNumber, message: String) {
        self.cx.events.record(number, Subject::default(), message);
    }
}

fn queue(outgoing: &mut Outgoing, group: GroupId, messages: Vec<(InstanceName, Message)>) {
    for (to, message) in messages {
        outgoing.entry(to).or_default().push((group, message));
    }
}

/// Sends the outcome to a proposer, which may no longer be waiting.
pub fn answer(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    let _ = reply.send(outcome);
}

/// Waits for the sync in progress; never completes if there is none.
async fn sync_completion(
    sync: &mut Option<JoinHandle<Result<(), StorageError>>>,
) -> Result<(), StorageError> {
    let Some(handle) = sync else {
        return std::future::pending().await;
    };
    let panicked = |cause: tokio::task::JoinError| StorageError::Failed {
        file: "the write-ahead log file".to_owned(),
        reason: cause.to_string(),
    };
    handle.await.unwrap_or_else(|cause| Err(panicked(cause)))
}
