//! The task that owns all groups of an instance and executes the work that their cores return.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

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
use crate::log_groups::group::new_core;
use crate::log_groups::propose::Outcome;
use crate::log_groups::pulse::PulseCodec;
use crate::log_groups::voters::VoterChange;
use crate::log_groups::wire;
use crate::log_groups::writer::DiskOutcome;
use crate::log_groups::writer::Finished;
use crate::log_groups::writer::LogWriter;
use crate::log_groups::writer::Reopened;
use crate::storage::StorageError;
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

/// Owns the cores, the state machines and the writer of the log.
pub struct Driver {
    pub(super) cx: Context,
    pub(super) transport: Arc<dyn Transport>,
    pub(super) cluster: String,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) inputs: mpsc::Receiver<Input>,
    writer: LogWriter,
    has_leases: bool,
    is_writable: watch::Sender<bool>,
    /// Messages to be sent when the sync in progress completes.
    awaiting_sync: Outgoing,
    outgoing: Outgoing,
    pulses: Arc<Mutex<PulseCodec>>,
    /// Whether a stop was asked for.
    is_stopped: bool,
}

/// Messages by the instance that they go to.
type Outgoing = BTreeMap<InstanceName, Vec<(GroupId, Message)>>;

/// What a driver is created from.
pub struct DriverParts {
    /// The context of the instance.
    pub cx: Context,
    /// Sends messages to the other members.
    pub transport: Arc<dyn Transport>,
    /// The name of the cluster.
    pub cluster: String,
    /// The groups, recovered from the store of the writer.
    pub groups: BTreeMap<GroupId, Group>,
    /// Writes the records of all groups.
    pub writer: LogWriter,
    /// Whether anything relies on the leader's lease.
    pub has_leases: bool,
    /// Receives whether the disk takes writes.
    pub is_writable: watch::Sender<bool>,
    /// The inputs of other tasks.
    pub inputs: mpsc::Receiver<Input>,
    /// Packs heartbeats.
    pub pulses: Arc<Mutex<PulseCodec>>,
}

impl Driver {
    /// Creates a driver.
    pub fn new(parts: DriverParts) -> Self {
        let DriverParts {
            cx,
            transport,
            cluster,
            groups,
            writer,
            has_leases,
            is_writable,
            inputs,
            pulses,
        } = parts;
        Self {
            cx,
            transport,
            cluster,
            groups,
            inputs,
            writer,
            has_leases,
            is_writable,
            awaiting_sync: Outgoing::new(),
            outgoing: Outgoing::new(),
            pulses,
            is_stopped: false,
        }
    }

    /// Runs until the driver is stopped, the data folder cannot be used any more or a state machine
    /// refuses a snapshot; returns whether it was stopped.
    pub async fn run(mut self) -> bool {
        self.set_writable(true);
        loop {
            let wait = self.wait();
            let keeps_running = tokio::select! {
                input = self.inputs.recv() => self.handle_inputs(input),
                finished = self.writer.completed() => self.on_disk_finished(finished),
                () = tokio::time::sleep(wait) => true,
            };
            self.tick();
            if !keeps_running || !self.process_output() {
                break;
            }
        }
        for group in self.groups.values_mut() {
            group.suspend("the log stopped on the leader");
        }
        if !self.is_stopped {
            let detail = "this instance takes no further part in its log groups";
            self.report(EventNumber::LogStopped, detail.to_owned());
        }
        self.writer.close().await;
        self.is_stopped
    }

    /// Returns how long to wait for an input before the next deadline of a group.
    fn wait(&self) -> Duration {
        let now = self.cx.clock.now();
        let deadline = match self.writer.is_refused() {
            true => self.writer.next_deadline(),
            false => self.groups.values().map(|group| group.core.next_deadline(now)).min(),
        };
        let wait = deadline.map_or(LONGEST_WAIT, |deadline| deadline.since(now));
        wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    fn tick(&mut self) {
        let now = self.cx.clock.now();
        if self.writer.is_refused() {
            return self.writer.tick(now);
        }
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
        if self.writer.is_refused() {
            self.decline_input(input);
            return 0;
        }
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

    /// Handles an input while the disk refuses writes: this member neither votes nor accepts entries.
    fn decline_input(&mut self, input: Input) {
        match input {
            Input::Messages { from, messages } => {
                for (group, message) in
                    messages.iter().filter(|(_, message)| message.is_from_leader())
                {
                    if let Some(group) = self.groups.get_mut(group) {
                        group.note_leader(&from, message.term);
                    }
                }
            }
            Input::Propose { group, reply, .. } => {
                let leader = self.groups.get(&group).and_then(Group::known_leader);
                answer(reply, Outcome::NotLeader(leader));
            }
            Input::ChangeVoters { reply, .. } => {
                let _ = reply.send(Err(ProposeFault::NotLeader));
            }
            Input::Stop => {}
        }
    }

    /// Handles the end of an operation on the disk; returns false if the driver must stop.
    fn on_disk_finished(&mut self, finished: Finished) -> bool {
        let now = self.cx.clock.now();
        match self.writer.finish(finished, now) {
            DiskOutcome::Synced => self.on_synced(now),
            DiskOutcome::Refused(cause) => self.suspend(&cause),
            DiskOutcome::StillRefused => {}
            DiskOutcome::Regained(reopened) => self.resume(reopened),
            DiskOutcome::Unusable(cause) => {
                self.report(EventNumber::LogStorageFailed, cause.to_string());
                return false;
            }
        }
        true
    }

    fn on_synced(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            group.core.synced(now);
        }
        for (to, messages) in std::mem::take(&mut self.awaiting_sync) {
            self.outgoing.entry(to).or_default().extend(messages);
        }
    }

    /// Takes this instance out of all groups, and drops the messages that depend on the refused
    /// records.
    fn suspend(&mut self, cause: &StorageError) {
        self.report(EventNumber::LogStorageFailed, cause.to_string());
        self.set_writable(false);
        self.awaiting_sync.clear();
        self.outgoing.clear();
        for group in self.groups.values_mut() {
            group.suspend("the disk of the leader refused a write");
        }
    }

    fn resume(&mut self, reopened: Reopened) {
        let Reopened { groups, damage, refused_for } = reopened;
        if let Some(damage) = damage {
            self.report(EventNumber::LogSetAside, damage.to_string());
        }
        for (id, recovered) in groups {
            if let Some(group) = self.groups.get_mut(&id) {
                group.resume(new_core(&self.cx, recovered, self.has_leases));
            }
        }
        self.set_writable(true);
        let detail = format!("refused_ms={}", refused_for.as_millis());
        self.report(EventNumber::LogStorageRegained, detail);
    }

    fn set_writable(&self, is_writable: bool) {
        self.cx.metrics.states.with_label_values(&["log_writable"]).set(is_writable.into());
        self.is_writable.send_replace(is_writable);
    }

    /// Executes the work that the cores return; returns false if a state machine refused a
    /// snapshot.
    fn process_output(&mut self) -> bool {
        if self.writer.is_refused() {
            return true;
        }
        let now = self.cx.clock.now();
        for (id, group) in &mut self.groups {
            queue(&mut self.outgoing, *id, group.core.take_messages(now));
        }
        if let Err(cause) = self.apply(now) {
            self.report(EventNumber::LogStorageFailed, cause.to_string());
            return false;
        }
        if self.writer.is_ready() {
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
        let needs_rewrite = self.writer.needs_rewrite();
        if needs_rewrite {
            records = self.live_records();
        }
        self.writer.write(records, needs_rewrite);
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
