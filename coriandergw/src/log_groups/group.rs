//! One group of an instance: its core, its state machine and those who wait for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::GroupId;
use crate::log_groups::Leadership;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::log_groups::core::Apply;
use crate::log_groups::core::Core;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Payload;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::driver::answer;
use crate::log_groups::propose::Outcome;
use crate::log_groups::voters::VoterChange;

/// The bytes of applied entries after which a snapshot is taken, unless the last one is larger.
const SNAPSHOT_EVERY_BYTES: usize = 16 << 20;

/// The share of the entries since the last snapshot that stays in memory after the next one.
const TRAILING_SHARE: u64 = 8;

/// A proposer that waits for its command.
struct Waiting {
    term: u64,
    reply: oneshot::Sender<Outcome>,
}

/// One group as its driver holds it.
pub struct Group {
    pub(super) core: Core,
    id: GroupId,
    machine: Box<dyn StateMachine>,
    waiting: BTreeMap<u64, Waiting>,
    applied: u64,
    /// The bytes of the entries applied since the last snapshot.
    applied_bytes: usize,
    snapshot_every: u64,
    leadership: watch::Sender<Leadership>,
    lease_until: Arc<AtomicU64>,
    members: watch::Sender<Members>,
}

impl Group {
    /// Creates a group.
    pub fn new(
        id: GroupId,
        core: Core,
        machine: Box<dyn StateMachine>,
        snapshot_every: u64,
    ) -> Self {
        Self {
            core,
            id,
            machine,
            waiting: BTreeMap::new(),
            applied: 0,
            applied_bytes: 0,
            snapshot_every,
            leadership: watch::Sender::default(),
            lease_until: Arc::default(),
            members: watch::Sender::default(),
        }
    }

    /// Returns where the group's leadership can be watched.
    pub fn leadership(&self) -> watch::Receiver<Leadership> {
        self.leadership.subscribe()
    }

    /// Returns where the group's members can be watched.
    pub fn members(&self) -> watch::Receiver<Members> {
        self.members.subscribe()
    }

    /// Starts a change of the voters.
    ///
    /// # Errors
    /// Fails, with nothing changed, if this member does not lead or a change is under way.
    pub fn change_voters(
        &mut self,
        change: VoterChange,
        now: Timestamp,
    ) -> Result<(), ProposeFault> {
        let appended = match change {
            VoterChange::Add(new) => self.core.add_voter(new, now),
            VoterChange::Remove(old) => self.core.remove_voter(&old, now),
            VoterChange::Replace { old, new } => self.core.replace_voter(old, new, now),
        };
        appended.map(|_| ())
    }

    /// Returns where the end of the own lease is kept, in microseconds of the monotonic clock.
    pub fn lease_until(&self) -> Arc<AtomicU64> {
        self.lease_until.clone()
    }

    /// Proposes a command; `reply` gets its fate.
    pub fn propose(&mut self, command: Bytes, reply: oneshot::Sender<Outcome>, now: Timestamp) {
        match self.core.propose(command, now) {
            Ok(index) => {
                self.waiting.insert(index, Waiting { term: self.core.term(), reply });
            }
            Err(_) => answer(reply, Outcome::NotLeader(self.core.leader().cloned())),
        }
    }

    /// Applies what is committed.
    ///
    /// # Errors
    /// Fails if the state machine refuses a snapshot.
    pub fn apply(&mut self, cx: &Context) -> Result<(), RestoreError> {
        for step in self.core.take_apply() {
            match step {
                Apply::Entry(entry) => self.apply_entry(cx, entry),
                Apply::Restore(snapshot) => {
                    self.machine.restore(&snapshot.data)?;
                    self.applied = snapshot.index;
                    let message = format!("snapshot at {} of group {}", snapshot.index, self.id);
                    cx.events.record(
                        EventNumber::LogSnapshotInstalled,
                        Subject::default(),
                        message,
                    );
                }
            }
        }
        self.take_snapshot_if_due(cx);
        Ok(())
    }

    fn apply_entry(&mut self, cx: &Context, entry: Entry) {
        self.applied_bytes += entry.size();
        let Entry { index, term, payload } = entry;
        self.applied = index;
        let answered = match payload {
            Payload::Empty => Bytes::new(),
            Payload::Command(command) => self.machine.apply(index, &command),
            Payload::Members(members) => {
                let names: Vec<&str> = members.voters.iter().map(|name| name.as_str()).collect();
                let message = format!("group {} has the voters {}", self.id, names.join(", "));
                let subject = Subject { epoch: Some(term), ..Subject::default() };
                cx.events.record(EventNumber::LogVotersChanged, subject, message);
                Bytes::new()
            }
        };
        if let Some(waiting) = self.waiting.remove(&index) {
            let outcome = match waiting.term == term {
                true => Outcome::Applied(answered),
                false => Outcome::Unknown("another leader took over".to_owned()),
            };
            answer(waiting.reply, outcome);
        }
    }

    fn take_snapshot_if_due(&mut self, cx: &Context) {
        let last = self.core.snapshot();
        let entries = self.applied - last.index;
        let is_large = self.applied_bytes >= SNAPSHOT_EVERY_BYTES.max(last.data.len());
        if entries < self.snapshot_every && !is_large {
            return;
        }
        let data = self.machine.snapshot();
        self.core.compact(self.applied, data, entries / TRAILING_SHARE);
        self.applied_bytes = 0;
        let message = format!("snapshot at {} of group {}", self.applied, self.id);
        cx.events.record(EventNumber::LogSnapshotTaken, Subject::default(), message);
    }

    /// Tells who leads, after everything committed has been applied.
    pub fn publish(&mut self, cx: &Context, now: Timestamp) {
        if !self.core.is_leader() {
            self.forget_waiting("the leader changed");
        }
        self.lease_until.store(self.core.lease_until(now).0, Ordering::Release);
        self.members.send_if_modified(|members| {
            let changed = members != self.core.members();
            if changed {
                *members = self.core.members().clone();
            }
            changed
        });
        let next = Leadership {
            term: self.core.term(),
            leader: self.core.leader().cloned(),
            is_leader: self.core.is_ready_leader(),
        };
        let last = self.leadership.borrow().clone();
        if next == last {
            return;
        }
        if next.is_leader != last.is_leader {
            let number = match next.is_leader {
                true => EventNumber::LogLeaderElected,
                false => EventNumber::LogLeaderLost,
            };
            let subject = Subject { epoch: Some(next.term), ..Subject::default() };
            cx.events.record(number, subject, format!("group {}", self.id));
        }
        self.leadership.send_replace(next);
    }

    /// Stops to take part: nobody is answered any more as if this instance led.
    pub fn retire(&mut self) {
        self.forget_waiting("the log stopped on the leader");
        self.lease_until.store(0, Ordering::Release);
        let term = self.core.term();
        self.leadership.send_replace(Leadership { term, ..Leadership::default() });
    }

    fn forget_waiting(&mut self, reason: &str) {
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            answer(waiting.reply, Outcome::Unknown(reason.to_owned()));
        }
    }
}
