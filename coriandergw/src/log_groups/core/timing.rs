//! The time constants of elections and leases.

use std::time::Duration;

/// How long a voter that heard from a leader refuses to vote for another, by its own clock.
pub const PROMISE: Duration = Duration::from_millis(500);

/// The largest difference between the rates of two instances' monotonic clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 5;

/// How long a leader may act after it sent the last heartbeat that a quorum answered.
///
/// Each voter's promise starts no earlier than that sending, so it outlasts the lease as long as
/// the clocks keep within [`CLOCK_DRIFT_PERCENT`].
pub const LEASE: Duration =
    Duration::from_millis(PROMISE.as_millis() as u64 * (100 - CLOCK_DRIFT_PERCENT as u64) / 100);

/// The time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest and longest silence of a leader that starts an election, in milliseconds.
pub(super) const ELECTION_TIMEOUT_MS: (u64, u64) = (550, 950);

/// The shortest and longest wait of a group without leases for its first leader after a start; a
/// leader that lives sends a heartbeat within the shortest.
pub(super) const FIRST_ELECTION_MS: (u64, u64) = (130, 350);

/// The shortest and longest delay before an undecided election is tried again, in milliseconds.
pub(super) const ELECTION_RETRY_MS: (u64, u64) = (150, 400);

/// How long a leader waits for the answer to entries or a chunk before it sends them again.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(250);
