//! What a leader knows of each other member.

use crate::clock::Timestamp;
use crate::log_groups::core::Snapshot;
use crate::log_groups::core::timing::ACTIVE_WITHIN;
use crate::log_groups::core::timing::RESEND_AFTER;

/// A snapshot on its way to a member.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    pub snapshot: Snapshot,
    /// The bytes that the member confirmed.
    pub received: u64,
}

/// A leader's view of one member.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The last index at which the member's synced log is known to agree.
    pub matched: u64,
    /// The next index to send.
    pub next: u64,
    /// Whether the member's answers count towards a quorum.
    pub counts: bool,
    /// When the latest answered request had been sent.
    pub answered: Timestamp,
    /// When the last answer arrived.
    pub heard_at: Timestamp,
    /// When the entries or the chunk were sent that have no answer yet.
    pub in_flight: Option<Timestamp>,
    /// The snapshot being sent.
    pub transfer: Option<Transfer>,
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

    /// Returns whether entries are worth sending: the member answers and nothing is in flight.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        let is_over = |sent_at: Timestamp| now.since(sent_at) >= RESEND_AFTER;
        self.is_active(now) && self.in_flight.is_none_or(is_over)
    }

    /// Returns when what is in flight may be sent again, if the member answers.
    pub(super) fn resend_due(&self, now: Timestamp) -> Option<Timestamp> {
        let sent_at = self.in_flight.filter(|_| self.is_active(now));
        sent_at.map(|sent_at| sent_at + RESEND_AFTER)
    }

    fn is_active(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < ACTIVE_WITHIN
    }

    pub(super) fn note_answer(&mut self, sent_at: Timestamp, counts: bool, now: Timestamp) {
        self.answered = self.answered.max(sent_at);
        self.heard_at = now;
        if self.counts && !counts {
            // The member lost its log; the refusal of its last entry tells what it still holds.
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

    /// Goes back to where the member's log may agree.
    pub(super) fn refuse(&mut self, next: u64) {
        // A member that lost its log holds less than it once confirmed. A refusal that is late asks
        // for entries that the member has already, which it confirms again.
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
