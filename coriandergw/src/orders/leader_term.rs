//! When a leader may send orders.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::FencingNumber;

/// The longest time that an order can be under way after it was written.
///
/// Connections are reset when the time for an order is up, so nothing is sent again after that.
pub const IN_FLIGHT_MAX: Duration = Duration::from_millis(500);

/// One leader's time in office, as it knows it by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The number that its orders carry.
    pub fencing: FencingNumber,
    /// When it took office.
    pub began: Timestamp,
    /// How long the lease of the leader before it can have lasted after `began`.
    pub old_lease_max: Duration,
    /// When its own lease ends unless it is renewed.
    pub lease_until: Timestamp,
}

/// Tells whether this instance leads.
pub trait LeaderTermSource: Send + Sync {
    /// Returns the current term of this instance, if it leads.
    fn leader_term(&self) -> Option<LeaderTerm>;
}

impl LeaderTerm {
    /// Returns how long an order that is sent at `now` may take, or `None` if none may be sent.
    ///
    /// An engine that checks numbers refuses late orders itself. For one that does not, nothing of
    /// the leader before may be under way any more. Its last order was written before its lease
    /// ended, so waiting for the longest flight once, here, is enough.
    pub fn time_for_order(&self, engine_checks: bool, now: Timestamp) -> Option<Duration> {
        if now >= self.lease_until {
            return None;
        }
        let remaining = self.lease_until.since(now);
        let is_alone = now >= self.began + self.old_lease_max + IN_FLIGHT_MAX;
        (engine_checks || is_alone).then_some(remaining)
    }
}
