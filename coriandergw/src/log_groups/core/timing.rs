//! The time constants of elections and leases.

use std::time::Duration;

/// How long a voter that heard from a leader refuses to vote for another, by its own clock.
pub const VOTE_PROMISE: Duration = Duration::from_millis(500);

/// The largest difference between the rates of two instances' monotonic clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 5;

/// How long a leader may act after it sent the last heartbeat that a quorum answered.
///
/// Each voter's promise starts no earlier than that sending, so it outlasts the lease as long as
/// the clocks keep within [`CLOCK_DRIFT_PERCENT`].
pub const LEASE: Duration = Duration::from_millis(
    VOTE_PROMISE.as_millis() as u64 * (100 - CLOCK_DRIFT_PERCENT as u64) / 100,
);

/// The time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest and longest of a random wait, in milliseconds.
pub(super) type WaitRange = (u64, u64);

/// The times that rule the elections of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Timing {
    /// How long a voter that heard from a leader refuses to vote for another.
    pub promise: Duration,
    /// How long a leader goes on without the answers of a quorum.
    pub lease: Duration,
    /// The time between two heartbeats.
    pub heartbeat: Duration,
    /// The silence of a leader that starts an election.
    pub election_ms: WaitRange,
    /// The wait for the first leader after a start.
    pub first_election_ms: WaitRange,
    /// The delay before an undecided election is tried again.
    pub retry_ms: WaitRange,
}

impl Timing {
    /// For groups whose leaders act on a lease, in one region or several.
    pub const LEASED: Self = Self {
        promise: VOTE_PROMISE,
        lease: LEASE,
        heartbeat: HEARTBEAT_INTERVAL,
        election_ms: (550, 950),
        // A promise made before a restart may still run.
        first_election_ms: (550, 950),
        retry_ms: (150, 400),
    };

    /// For groups within one region in which nothing relies on a lease.
    ///
    /// A follower misses four heartbeats before it asks for an election, and only wins it if a
    /// quorum misses them too.
    pub const UNLEASED: Self = Self {
        promise: Duration::from_millis(200),
        lease: Duration::from_millis(400),
        heartbeat: Duration::from_millis(50),
        election_ms: (220, 500),
        // A leader that lives sends a heartbeat within the shortest.
        first_election_ms: (80, 200),
        retry_ms: (60, 260),
    };
}

/// A member that was not heard for this long gets heartbeats only.
pub(super) const ACTIVE_WITHIN: Duration = VOTE_PROMISE;

/// How long a leader waits for the answer to entries or a chunk before it sends them again.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);
