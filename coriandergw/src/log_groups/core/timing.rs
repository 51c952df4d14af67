//! Time constants for elections and leases.

use std::time::Duration;

/// How long a voter refuses to vote for another member after hearing from a leader, measured by
/// the voter's own clock.
pub const VOTE_PROMISE: Duration = Duration::from_millis(500);

/// The largest tolerated difference between the rates of two instances' monotonic clocks, in
/// percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 5;

/// How long a leader may act after sending the last heartbeat that a quorum answered.
///
/// Each voter's promise starts no earlier than the heartbeat was sent, so it outlasts the lease as
/// long as the clock rates differ by at most [`CLOCK_DRIFT_PERCENT`].
pub const LEASE: Duration = Duration::from_millis(
    VOTE_PROMISE.as_millis() as u64 * (100 - CLOCK_DRIFT_PERCENT as u64) / 100,
);

/// The interval between two heartbeats of a leader whose group relies on leases.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a voter of a group without leases refuses to vote after hearing from a leader.
const UNLEASED_PROMISE: Duration = Duration::from_millis(200);

/// How long a leader of a group without leases continues without answers from a quorum.
pub const UNLEASED_LEASE: Duration = Duration::from_millis(400);

/// How long after it sent the last heartbeat that a quorum answered a leader of a group without
/// leases is the only one.
///
/// The promises of the voters outlast it as long as the clock rates differ by at most
/// [`CLOCK_DRIFT_PERCENT`] and no voter has restarted, since promises are not stored.
pub const UNLEASED_SOLE_LEADER: Duration = Duration::from_millis(
    UNLEASED_PROMISE.as_millis() as u64 * (100 - CLOCK_DRIFT_PERCENT as u64) / 100,
);

/// The bounds of a random wait, in milliseconds: inclusive lower, exclusive upper.
pub(super) type WaitRange = (u64, u64);

/// Election and lease timing of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Timing {
    /// How long a voter refuses to vote for another member after hearing from a leader.
    pub promise: Duration,
    /// How long a leader continues without answers from a quorum.
    pub lease: Duration,
    /// The interval between two heartbeats.
    pub heartbeat: Duration,
    /// How long a follower waits without hearing from the leader before it starts an election.
    pub election_ms: WaitRange,
    /// The election timeout that applies after a restart, before any leader is known.
    pub first_election_ms: WaitRange,
    /// The delay before an election without a winner is retried.
    pub retry_ms: WaitRange,
}

impl Timing {
    /// Timing for groups whose leaders rely on a lease, within one region or across several.
    pub const LEASED: Self = Self {
        promise: VOTE_PROMISE,
        lease: LEASE,
        heartbeat: HEARTBEAT_INTERVAL,
        election_ms: (550, 950),
        // A promise made before the restart may still be in force.
        first_election_ms: (550, 950),
        retry_ms: (150, 400),
    };

    /// Timing for groups within one region in which nothing relies on a lease.
    ///
    /// A follower starts an election after four missed heartbeats, and wins it only if a quorum
    /// has missed them too.
    pub const UNLEASED: Self = Self {
        promise: UNLEASED_PROMISE,
        lease: UNLEASED_LEASE,
        heartbeat: Duration::from_millis(50),
        election_ms: (220, 500),
        // A live leader sends a heartbeat within the lower bound.
        first_election_ms: (80, 200),
        retry_ms: (60, 260),
    };
}

/// A member that has not answered for this long is sent heartbeats only.
pub(super) const INACTIVE_AFTER: Duration = VOTE_PROMISE;

/// How long a leader waits for the answer to entries or a chunk before resending them.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);
