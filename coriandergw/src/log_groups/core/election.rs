//! Elections: pre-vote, vote, and the vote promise that protects a leader's lease.

use std::collections::BTreeSet;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Body;
use crate::log_groups::core::Core;
use crate::log_groups::core::Message;
use crate::log_groups::core::replica::Role;

/// The members that have granted a vote or pre-vote to this candidate.
#[derive(Debug, Clone, Default)]
pub(super) struct VoteTally {
    granted: BTreeSet<InstanceName>,
}

impl VoteTally {
    /// Returns how many members granted their vote.
    pub(super) fn count(&self) -> usize {
        self.granted.len()
    }
}

impl Core {
    fn may_campaign(&self) -> bool {
        !self.log_lost && self.members().voters.contains(&self.name)
    }

    /// Returns whether a log with this last entry is at least as up to date as this member's log.
    ///
    /// Such a log holds every entry that this member may have acknowledged.
    pub(super) fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether a leader may still rely on this member's vote promise.
    fn has_promised(&self, now: Timestamp) -> bool {
        match self.role {
            Role::Leader(_) => now < self.lease_until(now),
            _ => now < self.heard_at + self.timing.promise,
        }
    }

    pub(super) fn start_pre_vote(&mut self, now: Timestamp) {
        if !self.may_campaign() {
            self.leader = None;
            return self.delay_election(self.timing.election_ms, now);
        }
        self.leader = None;
        self.role = Role::PreCandidate(VoteTally::default());
        self.delay_election(self.timing.retry_ms, now);
        let body =
            Body::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let message = Message { term: self.term + 1, sent_at: now, counts: true, body };
        for voter in self.other_voters() {
            self.send_now(&voter, message.clone());
        }
        let name = self.name.clone();
        self.on_pre_vote_granted(&name, self.term + 1, now);
    }

    fn start_vote(&mut self, now: Timestamp) {
        self.set_hard_state(self.term + 1, Some(self.name.clone()));
        self.role = Role::Candidate(VoteTally::default());
        self.delay_election(self.timing.retry_ms, now);
        let body =
            Body::Vote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        let message = Message { term: self.term, sent_at: now, counts: true, body };
        for voter in self.other_voters() {
            self.queue_after_sync(&voter, message.clone());
        }
        let name = self.name.clone();
        self.on_vote_granted(&name, now);
    }

    fn other_voters(&self) -> Vec<InstanceName> {
        self.members().voters.iter().filter(|voter| **voter != self.name).cloned().collect()
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: &InstanceName,
        term: u64,
        log_is_up_to_date: bool,
        now: Timestamp,
    ) {
        let granted =
            term > self.term && log_is_up_to_date && !self.log_lost && !self.has_promised(now);
        let term = if granted { term } else { self.term };
        let body = Body::PreVoteAnswer { granted };
        let message = Message { term, sent_at: now, counts: true, body };
        self.queue_after_sync(from, message);
    }

    pub(super) fn on_vote(
        &mut self,
        from: &InstanceName,
        term: u64,
        log_is_up_to_date: bool,
        now: Timestamp,
    ) {
        if self.has_promised(now) {
            return;
        }
        if term > self.term {
            self.become_follower(term, None, now);
        }
        let is_free = self.voted_for.as_ref().is_none_or(|voted_for| voted_for == from);
        let granted = term == self.term && log_is_up_to_date && !self.log_lost && is_free;
        if granted && self.voted_for.is_none() {
            self.set_hard_state(term, Some(from.clone()));
            self.delay_election(self.timing.election_ms, now);
        }
        self.answer_after_sync(from, now, Body::VoteAnswer { granted });
    }

    pub(super) fn on_pre_vote_granted(&mut self, from: &InstanceName, term: u64, now: Timestamp) {
        if term != self.term + 1 {
            return;
        }
        let Role::PreCandidate(tally) = &mut self.role else {
            return;
        };
        tally.granted.insert(from.clone());
        let granted = tally.granted.clone();
        if self.is_quorum(&granted) {
            self.start_vote(now);
        }
    }

    pub(super) fn on_vote_granted(&mut self, from: &InstanceName, now: Timestamp) {
        let Role::Candidate(tally) = &mut self.role else {
            return;
        };
        tally.granted.insert(from.clone());
        let granted = tally.granted.clone();
        if self.is_quorum(&granted) {
            self.become_leader(now);
        }
    }

    fn is_quorum(&self, granted: &BTreeSet<InstanceName>) -> bool {
        let members = self.members();
        members.voters.intersection(granted).count() >= members.quorum()
    }
}
