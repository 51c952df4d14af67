//! The state of one member of a group, and the interface to its driver.

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Apply;
use crate::log_groups::core::Batch;
use crate::log_groups::core::Body;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;
use crate::log_groups::core::Message;
use crate::log_groups::core::MessageLimits;
use crate::log_groups::core::Record;
use crate::log_groups::core::Recovered;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::election::VoteTally;
use crate::log_groups::core::follower::IncomingSnapshot;
use crate::log_groups::core::leader::LeaderState;
use crate::log_groups::core::log::Log;
use crate::log_groups::core::timing::Timing;
use crate::log_groups::core::timing::WaitRange;

/// The role of a member in the current term.
#[derive(Debug, Clone)]
pub(super) enum Role {
    /// Follows a leader, or waits to hear from one.
    Follower,
    /// Runs a pre-vote to find out whether it could win an election.
    PreCandidate(VoteTally),
    /// Requests votes.
    Candidate(VoteTally),
    /// Leads the group.
    Leader(LeaderState),
}

/// The Raft state of one member of one group.
#[derive(Debug)]
pub struct Core {
    pub(super) name: InstanceName,
    pub(super) log: Log,
    pub(super) term: u64,
    pub(super) voted_for: Option<InstanceName>,
    pub(super) log_lost: bool,
    pub(super) timing: Timing,
    pub(super) role: Role,
    pub(super) leader: Option<InstanceName>,
    /// When this member last heard from a leader that it accepted, or when it started.
    pub(super) heard_at: Timestamp,
    pub(super) election_due: Timestamp,
    pub(super) commit: u64,
    /// The highest index that the leader reported as committed and up to which the logs match.
    pub(super) leader_commit: u64,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) limits: MessageLimits,
    /// The last index whose entry or snapshot [`Core::take_apply`] has returned.
    delivered_index: u64,
    /// The last index and the term that are known to be synced.
    durable_index: u64,
    durable_term: u64,
    /// The last index and the term that will be synced with the last batch taken.
    batch_index: u64,
    batch_term: u64,
    rng: ChaCha8Rng,
    messages: Vec<(InstanceName, Message)>,
    batch: Batch,
    restore: Option<Snapshot>,
}

impl Core {
    /// Creates a member from its recovered state.
    pub fn new(name: InstanceName, recovered: Recovered, seed: u64, now: Timestamp) -> Self {
        let Recovered { term, voted_for, log_lost, log } = recovered;
        let snapshot = log.snapshot();
        let start = snapshot.index;
        let restore = (start > 0).then(|| snapshot.clone());
        let mut core = Self {
            name,
            term,
            voted_for,
            log_lost,
            timing: Timing::LEASED,
            role: Role::Follower,
            leader: None,
            // Vote promises are not recorded, so one made before a restart is assumed to be in
            // force.
            heard_at: now,
            election_due: now,
            commit: start,
            leader_commit: start,
            incoming: None,
            limits: MessageLimits::default(),
            delivered_index: start,
            durable_index: log.last_index(),
            durable_term: term,
            batch_index: log.last_index(),
            batch_term: term,
            rng: ChaCha8Rng::seed_from_u64(seed),
            messages: Vec::new(),
            batch: Batch::default(),
            restore,
            log,
        };
        core.delay_election(core.timing.first_election_ms, now);
        core
    }

    /// Lets the member vote and campaign soon after it starts or loses contact with the leader.
    ///
    /// Only for groups whose leaders do not rely on a lease, because a promise that the member made
    /// before a restart may still be in force.
    pub fn without_lease(mut self, now: Timestamp) -> Self {
        self.heard_at = Timestamp::default();
        self.timing = Timing::UNLEASED;
        self.delay_election(self.timing.first_election_ms, now);
        self
    }

    /// Leaves out the entries up to `index` when the log is applied, because the state machine has
    /// applied them already.
    pub fn resume_after(mut self, index: u64) -> Self {
        if self.delivered_index <= index {
            self.restore = None;
            self.delivered_index = index;
        }
        self
    }

    /// Sets the size limits of messages.
    pub fn with_limits(mut self, limits: MessageLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&InstanceName> {
        self.leader.as_ref()
    }

    /// Returns whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this member leads and has committed an entry of its own term, so that it
    /// knows everything that earlier leaders committed.
    pub fn is_ready_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(state) if self.commit >= state.first_index)
    }

    /// Returns the highest index that this member knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the membership in force.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Returns whether this member lost its log and therefore must not vote.
    pub fn has_lost_log(&self) -> bool {
        self.log_lost
    }

    /// Returns whether this instance is a member of the group, voting or not.
    pub fn is_member(&self) -> bool {
        let members = self.members();
        members.voters.contains(&self.name) || members.learners.contains(&self.name)
    }

    /// Describes what this member waits for, for logs.
    pub fn describe(&self) -> String {
        let members = self.members();
        let role = match &self.role {
            Role::Follower => "follower".to_owned(),
            Role::PreCandidate(tally) => format!("pre-candidate pre_votes={}", tally.count()),
            Role::Candidate(tally) => format!("candidate votes={}", tally.count()),
            Role::Leader(_) => "leader".to_owned(),
        };
        format!(
            "term={} role={role} quorum={} voters={} votes_itself={} log_lost={} commit={} last={} \
             synced={}",
            self.term,
            members.quorum(),
            members.voters.iter().map(InstanceName::as_str).collect::<Vec<_>>().join(","),
            members.voters.contains(&self.name),
            self.log_lost,
            self.commit,
            self.log.last_index(),
            self.durable_index,
        )
    }

    /// Returns the most recent snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// Performs the actions that are due at `now`: elections, heartbeats, and the end of a lease.
    pub fn tick(&mut self, now: Timestamp) {
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_due => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Handles a message from another member; implausible ones are ignored.
    pub fn step(&mut self, from: &InstanceName, message: Message, now: Timestamp) {
        if !message.is_plausible() {
            return;
        }
        let Message { term, sent_at, counts, body } = message;
        match body {
            Body::PreVote { last_index, last_term } => {
                let log_is_up_to_date = self.is_up_to_date(last_index, last_term);
                return self.on_pre_vote(from, term, log_is_up_to_date, now);
            }
            Body::Vote { last_index, last_term } => {
                let log_is_up_to_date = self.is_up_to_date(last_index, last_term);
                return self.on_vote(from, term, log_is_up_to_date, now);
            }
            Body::PreVoteAnswer { granted: true } => {
                return self.on_pre_vote_granted(from, term, now);
            }
            _ => {}
        }
        if term > self.term {
            self.become_follower(term, None, now);
        }
        if term < self.term {
            return self.answer_stale_term(from, sent_at, &body);
        }
        match body {
            Body::Append { prev_index, prev_term, commit, entries } => {
                self.accept_leader(from, now);
                self.on_append(from, sent_at, (prev_index, prev_term), commit, entries);
            }
            Body::Heartbeat { commit, is_voter } => {
                self.accept_leader(from, now);
                self.on_heartbeat(from, sent_at, commit, is_voter);
            }
            Body::Chunk { .. } => {
                self.accept_leader(from, now);
                self.on_chunk(from, sent_at, body);
            }
            Body::VoteAnswer { granted: true } => self.on_vote_granted(from, now),
            Body::AppendAnswer { .. }
            | Body::AppendRefused { .. }
            | Body::HeartbeatAnswer
            | Body::ChunkAnswer { .. } => self.on_answer(from, sent_at, counts, body, now),
            _ => {}
        }
    }

    /// Answers a leader of an older term with the current term, so that it steps down.
    fn answer_stale_term(&mut self, from: &InstanceName, sent_at: Timestamp, body: &Body) {
        if matches!(body, Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. }) {
            self.answer_after_sync(from, sent_at, Body::HeartbeatAnswer);
        }
    }

    /// Returns the messages that may be sent immediately.
    pub fn take_messages(&mut self, now: Timestamp) -> Vec<(InstanceName, Message)> {
        self.replicate(now);
        std::mem::take(&mut self.messages)
    }

    /// Returns the next records to sync; the next batch may be taken only after [`Core::synced`].
    pub fn take_batch(&mut self) -> Batch {
        self.batch_index = self.log.last_index();
        self.batch_term = self.term;
        std::mem::take(&mut self.batch)
    }

    /// Marks the records of the last batch as synced.
    pub fn synced(&mut self, now: Timestamp) {
        self.durable_index = self.durable_index.max(self.batch_index);
        self.durable_term = self.batch_term;
        if self.is_leader() {
            self.advance_leader_commit(now);
        } else {
            self.advance_follower_commit();
        }
    }

    /// Returns the next steps for the state machine, in order.
    pub fn take_apply(&mut self) -> Vec<Apply> {
        let mut out = Vec::new();
        if let Some(snapshot) = self.restore.take() {
            self.delivered_index = snapshot.index;
            out.push(Apply::Restore(snapshot));
        }
        while self.delivered_index < self.commit {
            let Some(entry) = self.log.get(self.delivered_index + 1) else {
                break;
            };
            out.push(Apply::Entry(entry.clone()));
            self.delivered_index += 1;
        }
        out
    }

    /// Replaces the entries up to `index` by a snapshot of the state machine after that index.
    ///
    /// Keeps `trailing` entries in memory for members that are slightly behind.
    pub fn compact(&mut self, index: u64, data: Bytes, trailing: u64) {
        let index = index.min(self.delivered_index);
        if self.log.compact(index, data, trailing) {
            self.batch.records.push(Record::Snapshot(self.log.snapshot().clone()));
        }
    }

    /// Returns records that together represent the complete durable state.
    pub fn live_records(&self) -> Vec<Record> {
        let mut records = vec![
            Record::HardState { term: self.term, voted_for: self.voted_for.clone() },
            Record::Snapshot(self.log.snapshot().clone()),
            Record::Entries(self.log.entries_after_snapshot()),
        ];
        if !self.log_lost {
            records.push(Record::VoteRegained);
        }
        records
    }

    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(super) fn delay_election(&mut self, (shortest, longest): WaitRange, now: Timestamp) {
        let millis = self.rng.random_range(shortest..longest);
        self.election_due = now + std::time::Duration::from_millis(millis);
    }

    pub(super) fn become_follower(
        &mut self,
        term: u64,
        leader: Option<InstanceName>,
        now: Timestamp,
    ) {
        if term > self.term {
            self.set_hard_state(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.delay_election(self.timing.election_ms, now);
    }

    /// Accepts `from` as the leader of the current term.
    fn accept_leader(&mut self, from: &InstanceName, now: Timestamp) {
        if !self.is_leader() {
            self.become_follower(self.term, Some(from.clone()), now);
            self.heard_at = now;
        }
    }

    pub(super) fn set_hard_state(&mut self, term: u64, voted_for: Option<InstanceName>) {
        self.term = term;
        self.voted_for = voted_for.clone();
        self.batch.records.push(Record::HardState { term, voted_for });
    }

    pub(super) fn regain_vote(&mut self) {
        self.log_lost = false;
        self.batch.records.push(Record::VoteRegained);
    }

    /// Appends entries whose indices follow the log, and queues them for the next sync.
    pub(super) fn push_entries(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.log.push(entry.clone());
        }
        match self.batch.records.last_mut() {
            Some(Record::Entries(queued))
                if queued.last().map(|entry| entry.index + 1)
                    == entries.first().map(|entry| entry.index) =>
            {
                queued.extend(entries);
            }
            _ => self.batch.records.push(Record::Entries(entries)),
        }
    }

    pub(super) fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.cap_durable_index(index.saturating_sub(1));
    }

    pub(super) fn install(&mut self, snapshot: Snapshot) {
        self.log.install(snapshot.clone());
        self.cap_durable_index(self.log.last_index());
        self.commit = self.commit.max(snapshot.index);
        self.leader_commit = self.leader_commit.max(snapshot.index);
        self.delivered_index = snapshot.index;
        self.batch.records.push(Record::Snapshot(snapshot.clone()));
        self.restore = Some(snapshot);
    }

    fn cap_durable_index(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index);
        self.batch_index = self.batch_index.min(index);
    }

    /// Queues a message that does not depend on any unsynced record.
    pub(super) fn send_now(&mut self, to: &InstanceName, message: Message) {
        self.messages.push((to.clone(), message));
    }

    /// Queues an answer to be sent after the next sync.
    pub(super) fn answer_after_sync(&mut self, to: &InstanceName, sent_at: Timestamp, body: Body) {
        let message = Message { term: self.term, sent_at, counts: !self.log_lost, body };
        self.batch.messages.push((to.clone(), message));
    }

    /// Queues an answer that depends only on the term.
    ///
    /// It is sent immediately if the term is synced, and after the next sync otherwise.
    pub(super) fn answer_term(&mut self, to: &InstanceName, sent_at: Timestamp, body: Body) {
        if self.durable_term < self.term {
            return self.answer_after_sync(to, sent_at, body);
        }
        let message = Message { term: self.term, sent_at, counts: !self.log_lost, body };
        self.send_now(to, message);
    }

    pub(super) fn queue_after_sync(&mut self, to: &InstanceName, message: Message) {
        self.batch.messages.push((to.clone(), message));
    }
}
