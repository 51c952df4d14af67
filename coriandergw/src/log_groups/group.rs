//! One group on an instance: its core, its state machine and its pending proposals.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::Leadership;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::log_groups::core::Apply;
use crate::log_groups::core::Core;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Payload;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::core::Recovered;
use crate::log_groups::driver::answer;
use crate::log_groups::propose::Outcome;
use crate::log_groups::voters::VoterChange;

/// The size of applied entries after which a snapshot is taken, in bytes; the size of the last
/// snapshot applies if that is larger.
const SNAPSHOT_EVERY_BYTES: usize = 16 << 20;

/// The divisor of the entries since the last snapshot that gives the number of them kept in memory
/// after the next one.
const TRAILING_DIVISOR: u64 = 8;

/// How long a member may know no leader before it reports that; longer than an election.
const LEADER_MISSING_AFTER: Duration = Duration::from_secs(1);

/// The interval between two reports of a leader that stays unknown.
const LEADER_MISSING_INTERVAL: Duration = Duration::from_secs(5);

/// A proposal that has been appended but not yet applied.
struct PendingProposal {
    term: u64,
    reply: oneshot::Sender<Outcome>,
}

/// Creates the core of a member from its durable state.
pub fn new_core(cx: &Context, recovered: Recovered, has_leases: bool) -> Core {
    let now = cx.clock.now();
    let core = Core::new(cx.instance.clone(), recovered, rand::random(), now);
    if has_leases { core } else { core.without_lease(now) }
}

/// A group as owned by the driver.
pub struct Group {
    pub(super) core: Core,
    id: GroupId,
    machine: Box<dyn StateMachine>,
    pending: BTreeMap<u64, PendingProposal>,
    applied: u64,
    /// The bytes of the entries applied since the last snapshot.
    applied_bytes: usize,
    snapshot_every: u64,
    leadership: watch::Sender<Leadership>,
    lease_until: Arc<AtomicU64>,
    members: watch::Sender<Members>,
    leader_search: LeaderSearch,
}

/// Since when a member has known no leader, and when to report that next.
#[derive(Debug, Clone, Copy, Default)]
struct LeaderSearch {
    since: Option<Timestamp>,
    report_due: Timestamp,
    is_reported: bool,
}

impl Group {
    /// Creates a group with nothing applied yet.
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
            pending: BTreeMap::new(),
            applied: 0,
            applied_bytes: 0,
            snapshot_every,
            leadership: watch::Sender::default(),
            lease_until: Arc::default(),
            members: watch::Sender::default(),
            leader_search: LeaderSearch::default(),
        }
    }

    /// Returns a watch on the group's leadership.
    pub fn leadership(&self) -> watch::Receiver<Leadership> {
        self.leadership.subscribe()
    }

    /// Returns a watch on the group's members.
    pub fn members(&self) -> watch::Receiver<Members> {
        self.members.subscribe()
    }

    /// Starts a change of the group's voters.
    ///
    /// # Errors
    /// Fails, with nothing changed, if this member does not lead, another change is in progress, or
    /// the change is not valid for the current membership.
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

    /// Returns the end of this member's lease, in microseconds of the monotonic clock.
    ///
    /// [`Group::publish`] keeps the shared value up to date.
    pub fn lease_until(&self) -> Arc<AtomicU64> {
        self.lease_until.clone()
    }

    /// Proposes a command; `reply` receives the outcome.
    pub fn propose(&mut self, command: Bytes, reply: oneshot::Sender<Outcome>, now: Timestamp) {
        match self.core.propose(command, now) {
            Ok(index) => {
                self.pending.insert(index, PendingProposal { term: self.core.term(), reply });
            }
            Err(_) => answer(reply, Outcome::NotLeader(self.core.leader().cloned())),
        }
    }

    /// Applies the committed entries, and takes a snapshot if one is due.
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
        if let Some(pending) = self.pending.remove(&index) {
            let outcome = match pending.term == term {
                true => Outcome::Applied(answered),
                false => Outcome::Unknown("another leader took over".to_owned()),
            };
            answer(pending.reply, outcome);
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
        self.core.compact(self.applied, data, entries / TRAILING_DIVISOR);
        self.applied_bytes = 0;
        let message = format!("snapshot at {} of group {}", self.applied, self.id);
        cx.events.record(EventNumber::LogSnapshotTaken, Subject::default(), message);
    }

    /// Publishes the leadership, the lease and the members; called after the committed entries have
    /// been applied.
    pub fn publish(&mut self, cx: &Context, now: Timestamp) {
        if !self.core.is_leader() {
            self.fail_pending_proposals("the leader changed");
        }
        self.lease_until.store(self.core.lease_until(now).0, Ordering::Release);
        self.members.send_if_modified(|members| {
            let changed = members != self.core.members();
            if changed {
                *members = self.core.members().clone();
            }
            changed
        });
        self.report_leader(cx, now);
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

    /// Reports a leader that has been unknown for [`LEADER_MISSING_AFTER`], and its return.
    fn report_leader(&mut self, cx: &Context, now: Timestamp) {
        let leader = self.core.leader();
        let is_known = cx.metrics.states.with_label_values(&[&format!("log_{}_leader", self.id)]);
        is_known.set(leader.is_some().into());
        let subject = Subject { epoch: Some(self.core.term()), ..Subject::default() };
        if let Some(leader) = leader {
            let search = std::mem::take(&mut self.leader_search);
            if let Some(since) = search.since.filter(|_| search.is_reported) {
                let waited_ms = now.since(since).as_millis();
                let message = format!("group {} leader={leader} waited_ms={waited_ms}", self.id);
                cx.events.record(EventNumber::LogLeaderFound, subject, message);
            }
            return;
        }
        // An instance that is no member hears from no leader.
        if !self.core.is_member() {
            return;
        }
        let search = &mut self.leader_search;
        let since = *search.since.get_or_insert_with(|| {
            search.report_due = now + LEADER_MISSING_AFTER;
            now
        });
        if now < search.report_due {
            return;
        }
        search.report_due = now + LEADER_MISSING_INTERVAL;
        search.is_reported = true;
        let waited_ms = now.since(since).as_millis();
        let message = format!("group {} waited_ms={waited_ms} {}", self.id, self.core.describe());
        cx.events.record(EventNumber::LogLeaderMissing, subject, message);
    }

    /// Takes this member out of its group until it resumes: fails pending proposals, withdraws the
    /// lease and steps down.
    pub fn suspend(&mut self, reason: &str) {
        self.fail_pending_proposals(reason);
        self.lease_until.store(0, Ordering::Release);
        let term = self.core.term();
        self.leadership.send_replace(Leadership { term, ..Leadership::default() });
    }

    /// Takes part in the group again with a core that was created from what is durable.
    ///
    /// The state machine keeps what it has applied: committed entries never change.
    pub fn resume(&mut self, core: Core) {
        self.core = core.resume_after(self.applied);
    }

    /// Records which member leads while this one is suspended, so that proposals are sent there.
    pub fn note_leader(&mut self, leader: &InstanceName, term: u64) {
        self.leadership.send_if_modified(|known| {
            let is_new = term >= known.term && known.leader.as_ref() != Some(leader);
            if is_new {
                *known = Leadership { term, leader: Some(leader.clone()), is_leader: false };
            }
            is_new
        });
    }

    /// Returns the leader as last published.
    pub fn known_leader(&self) -> Option<InstanceName> {
        self.leadership.borrow().leader.clone()
    }

    fn fail_pending_proposals(&mut self, reason: &str) {
        for pending in std::mem::take(&mut self.pending).into_values() {
            answer(pending.reply, Outcome::Unknown(reason.to_owned()));
        }
    }
}
