//! A leader's replication state for each other member.

use crate::clock::Timestamp;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::timing::INACTIVE_AFTER;
use crate::log_groups::core::timing::RESEND_AFTER;

/// A snapshot that is being sent to a member.
#[derive(Debug, Clone)]
pub(super) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// The number of bytes that the member has acknowledged.
    pub received: u64,
}

/// The replication state of one member.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The last index up to which the member's synced log is known to match.
    pub matched: u64,
    /// The index of the next entry to send.
    pub next: u64,
    /// Whether the member's answers count towards a quorum.
    pub counts: bool,
    /// When the most recent answered request was sent.
    pub answered: Timestamp,
    /// When the last answer arrived.
    pub heard_at: Timestamp,
    /// When the unanswered entries or chunk were sent, if any.
    pub in_flight: Option<Timestamp>,
    /// The snapshot transfer in progress, if any.
    pub transfer: Option<SnapshotTransfer>,
}

impl Progress {
    pub(super) fn new(next: u64, now: Timestamp) -> Self {
        Self {
            matched: 0,
            next,
            counts: true,
            answered: Timestamp::default(),
            heard_at: now,
            in_flight: None,
            transfer: None,
        }
    }

    /// Returns whether entries should be sent: the member is active, and nothing is in flight or
    /// the resend time has passed.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        let has_timed_out = |sent_at: Timestamp| now.since(sent_at) >= RESEND_AFTER;
        self.is_active(now) && self.in_flight.is_none_or(has_timed_out)
    }

    /// Returns when the in-flight message may be resent, if the member is active.
    pub(super) fn resend_due(&self, now: Timestamp) -> Option<Timestamp> {
        let sent_at = self.in_flight.filter(|_| self.is_active(now));
        sent_at.map(|sent_at| sent_at + RESEND_AFTER)
    }

    fn is_active(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < INACTIVE_AFTER
    }

    pub(super) fn note_answer(&mut self, sent_at: Timestamp, counts: bool, now: Timestamp) {
        self.answered = self.answered.max(sent_at);
        self.heard_at = now;
        if self.counts && !counts {
            // The member lost its log. Sending its last entry again makes it report, by a refusal,
            // how much it still holds.
            self.matched = 0;
            self.next = self.next.saturating_sub(1).max(1);
        }
        self.counts = counts;
    }

    pub(super) fn confirm(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.matched + 1;
        self.in_flight = None;
        self.transfer = None;
    }

    /// Moves back to where the member's log may match.
    pub(super) fn rewind(&mut self, next: u64) {
        // A member that lost its log holds less than it once acknowledged. A delayed refusal
        // requests entries that the member already has, and the member acknowledges them again.
        self.matched = self.matched.min(next.saturating_sub(1));
        self.next = next.min(self.next);
        self.in_flight = None;
    }

    pub(super) fn confirm_chunk(&mut self, index: u64, received: u64) {
        let transfer = self.transfer.as_mut().filter(|transfer| transfer.snapshot.index == index);
        if let Some(transfer) = transfer {
            transfer.received = received.min(transfer.snapshot.data.len() as u64);
            self.in_flight = None;
        }
    }
}
