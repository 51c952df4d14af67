//! Computes the next time at which a member must act without receiving any input.

use crate::clock::Timestamp;
use crate::log_groups::core::Core;
use crate::log_groups::core::leader::LeaderState;
use crate::log_groups::core::replica::Role;

impl Core {
    /// Returns the next time at which this member must act without any input.
    ///
    /// Until then [`Core::tick`] and [`Core::take_messages`] have no effect, unless a message, a
    /// proposal or a completed sync arrives first.
    pub fn next_deadline(&self, now: Timestamp) -> Timestamp {
        let Role::Leader(state) = &self.role else {
            return self.election_due;
        };
        let contact = self.quorum_contact(now).unwrap_or_default();
        let lease_end = contact.max(state.since) + self.timing.lease;
        let due = state.heartbeat_due.min(lease_end);
        self.resend_due(state, now).map_or(due, |resend| due.min(resend))
    }

    /// Returns when unanswered entries or chunks are next resent.
    fn resend_due(&self, state: &LeaderState, now: Timestamp) -> Option<Timestamp> {
        let last_index = self.last_index();
        let lagging = state.progress.values().filter(|progress| progress.next <= last_index);
        lagging.filter_map(|progress| progress.resend_due(now)).min()
    }
}
