//! The state of one member of a group and what its driver sees of it.

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

/// What a member is doing.
#[derive(Debug, Clone)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate(VoteTally),
    /// Asks for votes.
    Candidate(VoteTally),
    /// Leads.
    Leader(LeaderState),
}

/// One member of one group.
#[derive(Debug)]
pub struct Core {
    pub(super) name: InstanceName,
    pub(super) log: Log,
    pub(super) term: u64,
    pub(super) voted_for: Option<InstanceName>,
    pub(super) lost: bool,
    pub(super) timing: Timing,
    pub(super) role: Role,
    pub(super) leader: Option<InstanceName>,
    pub(super) heard_at: Timestamp,
    pub(super) election_due: Timestamp,
    pub(super) commit: u64,
    /// The highest index that the leader said is committed and at which the logs agree.
    pub(super) commit_known: u64,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) limits: MessageLimits,
    handed_out: u64,
    durable_index: u64,
    durable_term: u64,
    batch_index: u64,
    batch_term: u64,
    rng: ChaCha8Rng,
    messages: Vec<(InstanceName, Message)>,
    batch: Batch,
    restore: Option<Snapshot>,
}

impl Core {
    /// Starts a member from what its records hold.
    pub fn new(name: InstanceName, recovered: Recovered, seed: u64, now: Timestamp) -> Self {
        let Recovered { term, voted_for, log_lost: lost, log } = recovered;
        let snapshot = log.snapshot();
        let start = snapshot.index;
        let restore = (start > 0).then(|| snapshot.clone());
        let mut core = Self {
            name,
            term,
            voted_for,
            lost,
            timing: Timing::LEASED,
            role: Role::Follower,
            leader: None,
            // A vote promise made before a restart is not recorded, so it is assumed.
            heard_at: now,
            election_due: now,
            commit: start,
            commit_known: start,
            incoming: None,
            limits: MessageLimits::default(),
            handed_out: start,
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

    /// Lets the member vote and campaign soon after its start and after a leader fell silent.
    ///
    /// Only for groups whose leaders do not rely on a lease: a promise that the member made before
    /// it restarted may still run.
    pub fn without_lease(mut self, now: Timestamp) -> Self {
        self.heard_at = Timestamp::default();
        self.timing = Timing::UNLEASED;
        self.delay_election(self.timing.first_election_ms, now);
        self
    }

    /// Sets the sizes of messages.
    pub fn with_limits(mut self, limits: MessageLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the leader of the current term, where known.
    pub fn leader(&self) -> Option<&InstanceName> {
        self.leader.as_ref()
    }

    /// Returns whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this member leads and knows everything that earlier leaders committed.
    pub fn is_ready_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leading) if self.commit >= leading.first_index)
    }

    /// Returns the last committed index known here.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the members in force.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Returns whether this member lost its log and therefore does not vote.
    pub fn has_lost_log(&self) -> bool {
        self.lost
    }

    /// Returns the last snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_due => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Takes in a message from another member.
    pub fn step(&mut self, from: &InstanceName, message: Message, now: Timestamp) {
        if !message.is_plausible() {
            return;
        }
        let Message { term, sent_at, counts, body } = message;
        match body {
            Body::PreVote { last_index, last_term } => {
                let log_is_current = self.is_current(last_index, last_term);
                return self.on_pre_vote(from, term, log_is_current, now);
            }
            Body::Vote { last_index, last_term } => {
                let log_is_current = self.is_current(last_index, last_term);
                return self.on_vote(from, term, log_is_current, now);
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
            return self.answer_older_term(from, sent_at, &body);
        }
        match body {
            Body::Append { prev_index, prev_term, commit, entries } => {
                self.follow(from, now);
                self.on_append(from, sent_at, (prev_index, prev_term), commit, entries);
            }
            Body::Heartbeat { commit, is_voter } => {
                self.follow(from, now);
                self.on_heartbeat(from, sent_at, commit, is_voter);
            }
            Body::Chunk { .. } => {
                self.follow(from, now);
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

    /// Tells a leader or candidate of an older term that its time is over.
    fn answer_older_term(&mut self, from: &InstanceName, sent_at: Timestamp, body: &Body) {
        if matches!(body, Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. }) {
            self.answer_after_sync(from, sent_at, Body::HeartbeatAnswer);
        }
    }

    /// Returns the messages that may be sent at once.
    pub fn take_messages(&mut self, now: Timestamp) -> Vec<(InstanceName, Message)> {
        self.replicate(now);
        std::mem::take(&mut self.messages)
    }

    /// Returns the next records to sync; taken again only after [`Core::synced`].
    pub fn take_batch(&mut self) -> Batch {
        self.batch_index = self.log.last_index();
        self.batch_term = self.term;
        std::mem::take(&mut self.batch)
    }

    /// Notes that the records of the last batch are synced.
    pub fn synced(&mut self, now: Timestamp) {
        self.durable_index = self.durable_index.max(self.batch_index);
        self.durable_term = self.batch_term;
        if self.is_leader() {
            self.advance_leader_commit(now);
        } else {
            self.advance_follower_commit();
        }
    }

    /// Returns what the state machine is to do next, in order.
    pub fn take_apply(&mut self) -> Vec<Apply> {
        let mut out = Vec::new();
        if let Some(snapshot) = self.restore.take() {
            self.handed_out = snapshot.index;
            out.push(Apply::Restore(snapshot));
        }
        while self.handed_out < self.commit {
            let Some(entry) = self.log.get(self.handed_out + 1) else {
                break;
            };
            out.push(Apply::Entry(entry.clone()));
            self.handed_out += 1;
        }
        out
    }

    /// Replaces the entries up to `index` by the state machine's state after that index.
    ///
    /// Keeps `trailing` entries in memory for members that are slightly behind.
    pub fn compact(&mut self, index: u64, data: Bytes, trailing: u64) {
        let index = index.min(self.handed_out);
        if self.log.compact(index, data, trailing) {
            self.batch.records.push(Record::Snapshot(self.log.snapshot().clone()));
        }
    }

    /// Returns records that stand for everything known here.
    pub fn live_records(&self) -> Vec<Record> {
        let mut records = vec![
            Record::HardState { term: self.term, voted_for: self.voted_for.clone() },
            Record::Snapshot(self.log.snapshot().clone()),
            Record::Entries(self.log.entries_after_snapshot()),
        ];
        if !self.lost {
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
    fn follow(&mut self, from: &InstanceName, now: Timestamp) {
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
        self.lost = false;
        self.batch.records.push(Record::VoteRegained);
    }

    /// Appends entries that follow the log, and queues them for the next sync.
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
        self.limit_durable(index.saturating_sub(1));
    }

    pub(super) fn install(&mut self, snapshot: Snapshot) {
        self.log.install(snapshot.clone());
        self.limit_durable(self.log.last_index());
        self.commit = self.commit.max(snapshot.index);
        self.commit_known = self.commit_known.max(snapshot.index);
        self.handed_out = snapshot.index;
        self.batch.records.push(Record::Snapshot(snapshot.clone()));
        self.restore = Some(snapshot);
    }

    fn limit_durable(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index);
        self.batch_index = self.batch_index.min(index);
    }

    /// Queues a message that does not depend on anything unsynced.
    pub(super) fn send_now(&mut self, to: &InstanceName, message: Message) {
        self.messages.push((to.clone(), message));
    }

    /// Queues an answer for after the next sync.
    pub(super) fn answer_after_sync(&mut self, to: &InstanceName, sent_at: Timestamp, body: Body) {
        let message = Message { term: self.term, sent_at, counts: !self.lost, body };
        self.batch.messages.push((to.clone(), message));
    }

    /// Queues an answer that depends on the term only.
    pub(super) fn answer_term(&mut self, to: &InstanceName, sent_at: Timestamp, body: Body) {
        if self.durable_term < self.term {
            return self.answer_after_sync(to, sent_at, body);
        }
        let message = Message { term: self.term, sent_at, counts: !self.lost, body };
        self.send_now(to, message);
    }

    pub(super) fn queue_after_sync(&mut self, to: &InstanceName, message: Message) {
        self.batch.messages.push((to.clone(), message));
    }
}
