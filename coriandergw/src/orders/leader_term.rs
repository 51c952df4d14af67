//! The term of a leader, and when it may send orders in it.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::FencingNumber;

/// The longest time that an order can stay in flight after it was written.
///
/// Connections are reset at the deadline of an order, so nothing is retransmitted after that.
pub const IN_FLIGHT_MAX: Duration = Duration::from_millis(500);

/// The term of one leader, measured by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The fencing number of its orders.
    pub fencing: FencingNumber,
    /// When the term began.
    pub began: Timestamp,
    /// The longest time that the lease of the previous leader can have lasted after `began`.
    pub old_lease_max: Duration,
    /// When the lease of this leader ends unless it is renewed.
    pub lease_until: Timestamp,
}

/// Provides the term of this instance while it leads.
pub trait LeaderTermSource: Send + Sync {
    /// Returns the current term of this instance, if it leads.
    fn leader_term(&self) -> Option<LeaderTerm>;
}

impl LeaderTerm {
    /// Returns the time limit of an order sent at `now`, or `None` if no order may be sent.
    ///
    /// An engine that checks fencing numbers rejects late orders itself. For any other engine, no
    /// order of the previous leader may still be in flight. The last such order was written before
    /// the lease of that leader ended, so waiting for `IN_FLIGHT_MAX` once, here, is enough.
    pub fn time_for_order(&self, checks_fencing: bool, now: Timestamp) -> Option<Duration> {
        if now >= self.lease_until {
            return None;
        }
        let remaining = self.lease_until.since(now);
        let previous_orders_ended = now >= self.began + self.old_lease_max + IN_FLIGHT_MAX;
        (checks_fencing || previous_orders_ended).then_some(remaining)
    }
}
