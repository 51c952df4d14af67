//! Changes of a group's voters, one at a time.

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Core;
use crate::log_groups::core::Members;
use crate::log_groups::core::Payload;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::core::Replacement;
use crate::log_groups::core::replica::Role;

fn refused(reason: &str) -> ProposeFault {
    ProposeFault::MembersRefused { reason: reason.to_owned() }
}

impl Core {
    /// Starts to replace the voter `old` by `new`; the two are equal to readmit a voter that lost
    /// its log.
    ///
    /// The new instance is a learner first. It becomes a voter once it has synced everything up to
    /// the entry of this change, and only then is the old one removed. Each step has an entry of
    /// its own.
    ///
    /// # Errors
    /// Fails, with nothing appended, if this member does not lead or has not yet committed an entry
    /// of its term, if another change is in progress, if `old` is not a voter or `new` already is
    /// one, or if the leader is to readmit itself.
    pub fn replace_voter(
        &mut self,
        old: InstanceName,
        new: InstanceName,
        now: Timestamp,
    ) -> Result<u64, ProposeFault> {
        let members = self.changeable_members()?;
        if !members.voters.contains(&old) {
            return Err(refused("the old instance is not a voter"));
        }
        if old != new && members.voters.contains(&new) {
            return Err(refused("the new instance is already a voter"));
        }
        if old == new && (old == self.name || members.voters.len() == 1) {
            return Err(refused("the leader cannot readmit itself"));
        }
        let next = members.start_replacement(Replacement { old, new });
        Ok(self.append(Payload::Members(next), now))
    }

    /// Starts to add the voter `new`, which is a learner until it has caught up.
    ///
    /// # Errors
    /// Fails, with nothing appended, if this member does not lead or has not yet committed an entry
    /// of its term, if another change is in progress, or if `new` is already a voter.
    pub fn add_voter(&mut self, new: InstanceName, now: Timestamp) -> Result<u64, ProposeFault> {
        let members = self.changeable_members()?;
        if members.voters.contains(&new) {
            return Err(refused("the new instance is already a voter"));
        }
        let next = members.start_replacement(Replacement { old: new.clone(), new });
        Ok(self.append(Payload::Members(next), now))
    }

    /// Removes the member `old`; also cancels a replacement by an instance that never catches up.
    ///
    /// # Errors
    /// Fails, with nothing appended, if this member does not lead or has not yet committed an entry
    /// of its term, if an earlier change is not yet committed, if `old` is not a member, or if no
    /// voter would remain.
    pub fn remove_voter(
        &mut self,
        old: &InstanceName,
        now: Timestamp,
    ) -> Result<u64, ProposeFault> {
        if !self.is_leader() {
            return Err(ProposeFault::NotLeader);
        }
        let (members_index, members) = self.log.members();
        if !self.is_ready_leader() || members_index > self.commit {
            return Err(refused("another change is in progress"));
        }
        let next = members.without(old).ok_or_else(|| refused("no voter would remain"))?;
        if next == *members {
            return Err(refused("the instance is not a member"));
        }
        Ok(self.append(Payload::Members(next), now))
    }

    /// Returns the membership if it may be changed now.
    fn changeable_members(&self) -> Result<Members, ProposeFault> {
        if !self.is_leader() {
            return Err(ProposeFault::NotLeader);
        }
        let (members_index, members) = self.log.members();
        if !self.is_ready_leader() || members_index > self.commit || members.replacement.is_some() {
            return Err(refused("another change is in progress"));
        }
        Ok(members.clone())
    }

    /// Appends the next step of a replacement once the new instance has caught up.
    ///
    /// A leader that is no longer a voter steps down when its removal is committed.
    pub(super) fn advance_replacement(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let (members_index, members) = self.log.members();
        if members_index > self.commit {
            return;
        }
        if let Some(Replacement { new, .. }) = &members.replacement {
            let has_caught_up = state
                .progress
                .get(new)
                .is_some_and(|progress| progress.counts && progress.matched >= members_index);
            let is_ready = self.is_ready_leader();
            if let Some(next) = members.next_step().filter(|_| has_caught_up && is_ready) {
                self.append(Payload::Members(next), now);
            }
            return;
        }
        if !members.voters.contains(&self.name) {
            self.become_follower(self.term, None, now);
        }
    }
}
