//! The leader's work: replication, commit, heartbeats and the lease.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Body;
use crate::log_groups::core::Core;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Message;
use crate::log_groups::core::Payload;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::progress::Progress;
use crate::log_groups::core::progress::SnapshotTransfer;
use crate::log_groups::core::replica::Role;
use crate::log_groups::core::timing::Timing;

/// The state that a leader keeps during its term.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    /// The index of the first entry of the leader's term.
    pub first_index: u64,
    /// When the leader was elected.
    pub since: Timestamp,
    pub heartbeat_due: Timestamp,
    pub progress: BTreeMap<InstanceName, Progress>,
}

impl Core {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last_index() + 1;
        self.role = Role::Leader(LeaderState {
            first_index,
            since: now,
            heartbeat_due: now,
            progress: BTreeMap::new(),
        });
        self.leader = Some(self.name.clone());
        self.append(Payload::Empty, now);
        self.tick_leader(now);
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append(&mut self, payload: Payload, now: Timestamp) -> u64 {
        let index = self.log.last_index() + 1;
        self.push_entries(vec![Entry { index, term: self.term, payload }]);
        self.update_progress(index, now);
        index
    }

    /// Appends a command and returns its index.
    ///
    /// # Errors
    /// Fails, with nothing appended, if this member does not lead.
    pub fn propose(&mut self, command: Bytes, now: Timestamp) -> Result<u64, ProposeFault> {
        if !self.is_leader() {
            return Err(ProposeFault::NotLeader);
        }
        Ok(self.append(Payload::Command(command), now))
    }

    /// Starts tracking members that joined and drops those that left.
    fn update_progress(&mut self, next: u64, now: Timestamp) {
        let others = self.members().others(&self.name);
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state.progress.retain(|member, _| others.contains(member));
        for member in others {
            state.progress.entry(member).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Returns when the lease of this member ends; a time in the past if it does not lead.
    pub fn lease_until(&self, now: Timestamp) -> Timestamp {
        match self.quorum_contact(now) {
            Some(contact) if contact > Timestamp::default() => contact + self.timing.lease,
            _ => Timestamp::default(),
        }
    }

    /// Returns the latest time such that a quorum answered requests sent then or later.
    pub(super) fn quorum_contact(&self, now: Timestamp) -> Option<Timestamp> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let answered = |voter: &InstanceName| match state.progress.get(voter) {
            _ if *voter == self.name => now,
            Some(progress) if progress.counts => progress.answered,
            _ => Timestamp::default(),
        };
        Some(self.members().quorum_value(answered))
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let contact = self.quorum_contact(now).unwrap_or_default();
        let Timing { lease, heartbeat, .. } = self.timing;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if now >= contact.max(state.since) + lease {
            return self.become_follower(self.term, None, now);
        }
        if now < state.heartbeat_due {
            return;
        }
        // Due times are multiples of the interval, so that the heartbeats of all groups leave in
        // the same messages.
        let interval = heartbeat.as_micros() as u64;
        state.heartbeat_due = Timestamp((now.0 / interval + 1) * interval);
        self.send_heartbeats(now);
    }

    fn send_heartbeats(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let (members_index, members) = self.log.members();
        let members_committed = members_index <= self.commit;
        let mut out = Vec::new();
        for (member, progress) in &state.progress {
            let commit = self.commit.min(progress.matched);
            let is_voter = !members_committed || members.voters.contains(member);
            let body = Body::Heartbeat { commit, is_voter };
            out.push((member.clone(), self.request(body, now)));
        }
        out.into_iter().for_each(|(member, message)| self.send_now(&member, message));
    }

    fn request(&self, body: Body, now: Timestamp) -> Message {
        Message { term: self.term, sent_at: now, counts: true, body }
    }

    /// Sends each member the entries or the snapshot chunk that it needs next.
    pub(super) fn replicate(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let members: Vec<InstanceName> = state.progress.keys().cloned().collect();
        for member in members {
            if let Some(message) = self.next_message(&member, now) {
                self.send_now(&member, message);
            }
        }
    }

    fn next_message(&mut self, member: &InstanceName, now: Timestamp) -> Option<Message> {
        let last_index = self.log.last_index();
        let (commit, limits) = (self.commit, self.limits);
        let Role::Leader(state) = &mut self.role else {
            return None;
        };
        let progress = state.progress.get_mut(member)?;
        if progress.next > last_index || !progress.may_send(now) {
            return None;
        }
        progress.in_flight = Some(now);
        let prev_index = progress.next - 1;
        let body = match self.log.term_at(prev_index) {
            Some(prev_term) if progress.transfer.is_none() => {
                let entries = self.log.slice(progress.next, limits.append_bytes);
                Body::Append { prev_index, prev_term, commit, entries }
            }
            _ => next_chunk(progress, self.log.snapshot(), limits.chunk_bytes),
        };
        Some(self.request(body, now))
    }

    pub(super) fn on_answer(
        &mut self,
        from: &InstanceName,
        sent_at: Timestamp,
        counts: bool,
        body: Body,
        now: Timestamp,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(from) else {
            return;
        };
        progress.note_answer(sent_at, counts, now);
        match body {
            Body::AppendAnswer { matched } => progress.confirm(matched.min(last_index)),
            Body::AppendRefused { next } => progress.rewind(next.max(1)),
            Body::ChunkAnswer { index, received } => progress.confirm_chunk(index, received),
            _ => {}
        }
        self.advance_leader_commit(now);
    }

    /// Commits up to the last index that a quorum has synced, if its entry is of the current term.
    pub(super) fn advance_leader_commit(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let synced = |voter: &InstanceName| match state.progress.get(voter) {
            _ if *voter == self.name => self.durable_index(),
            Some(progress) if progress.counts => progress.matched,
            _ => 0,
        };
        let index = self.members().quorum_value(synced);
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.leader_commit = index;
        }
        self.advance_replacement(now);
    }
}

fn next_chunk(progress: &mut Progress, snapshot: &Snapshot, chunk_bytes: usize) -> Body {
    let new_transfer = || SnapshotTransfer { snapshot: snapshot.clone(), received: 0 };
    let transfer = progress.transfer.get_or_insert_with(new_transfer);
    let Snapshot { index, term, members, data } = &transfer.snapshot;
    let start = (transfer.received as usize).min(data.len());
    let end = (start + chunk_bytes).min(data.len());
    Body::Chunk {
        index: *index,
        index_term: *term,
        members: members.clone(),
        offset: start as u64,
        total: data.len() as u64,
        data: data.slice(start..end),
    }
}
