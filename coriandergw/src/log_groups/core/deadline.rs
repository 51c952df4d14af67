//! Tells when a member has something to do if no message comes before.

use crate::clock::Timestamp;
use crate::log_groups::core::Core;
use crate::log_groups::core::leader::LeaderState;
use crate::log_groups::core::replica::Role;

impl Core {
    /// Returns when time alone next makes this member act.
    ///
    /// Until then neither [`Core::tick`] nor [`Core::take_messages`] does anything, unless a
    /// message, a proposal or a completed sync comes before.
    pub fn next_deadline(&self, now: Timestamp) -> Timestamp {
        let Role::Leader(leading) = &self.role else {
            return self.election_due;
        };
        let contact = self.quorum_contact(now).unwrap_or_default();
        let lease_end = contact.max(leading.since) + self.timing.lease;
        let due = leading.heartbeat_due.min(lease_end);
        self.resend_due(leading, now).map_or(due, |resend| due.min(resend))
    }

    /// Returns when entries or chunks without an answer are sent again.
    fn resend_due(&self, leading: &LeaderState, now: Timestamp) -> Option<Timestamp> {
        let last_index = self.last_index();
        let lacking = leading.progress.values().filter(|progress| progress.next <= last_index);
        lacking.filter_map(|progress| progress.resend_due(now)).min()
    }
}
