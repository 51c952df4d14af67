//! Instance leases and the distribution of the control state.
//!
//! The control leader keeps one lease per instance. While its lease is valid, an instance is the
//! home of the partitions that the partition table assigns to it. It renews the lease with the
//! leader, either directly or through the relay of its data centre, and the answer carries the
//! changes of the control state that the instance has not applied yet.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::ids::Revision;

mod client;
#[allow(missing_docs, clippy::all)]
mod generated;
mod handler;
mod holder;
mod leader;
mod lease_table;
pub mod local;
mod messages;
mod plan;
mod relay;
mod revision_file;
mod start;
mod status;

pub use client::ControlClient;
pub use leader::Leadership;
pub use start::Registration;
pub use start::StartError;
pub use start::StoreRole;
pub use start::start;
pub use status::ClusterStatus;
pub use status::HistoryItem;
pub use status::InstanceStatus;
pub use status::StatusReport;

/// The duration of an instance's lease, counted from the time at which it sent the renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// How much longer the leader treats a lease as valid, to allow for clocks that run at different
/// rates.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(300);

/// The interval between the renewals of an instance when it has no reason to renew earlier.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a control message.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of the deltas in a grant and of one chunk of the full state.
const CHUNK_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The home of a partition according to this instance's copy of the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    /// The home instance.
    pub instance: InstanceName,
    /// The address at which the home accepts requests of callers.
    pub address: SocketAddr,
    /// The epoch in which the partition was assigned to this home.
    pub epoch: Epoch,
}

/// A version of the set of held partitions: equal versions imply equal sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldVersion {
    /// The applied revision of the control state.
    pub revision: Revision,
    /// Whether the lease is valid.
    pub has_lease: bool,
    /// The number of changes that the other fields do not show: a new incarnation, a replaced copy
    /// of the control state, or a change in the released partitions.
    pub changes: u64,
}

/// Delays the move of a partition to another home while its calls are running.
pub trait HandoverGate: Send + Sync {
    /// Returns whether calls of the partition's programs are running on this instance.
    fn is_busy(&self, partition: PartitionId) -> bool;
}

/// The partitions' homes, and the partitions that this instance holds itself.
pub trait Partitions: Send + Sync {
    /// Returns the home of the partition, or `None` if it has no home that is alive.
    fn home(&self, partition: PartitionId) -> Option<Home>;

    /// Returns the partition's epoch if this instance may act as its home at `now`.
    fn held(&self, partition: PartitionId, now: Timestamp) -> Option<Epoch>;

    /// Returns the partitions that this instance holds at `now`, with their epochs.
    fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)>;

    /// Returns a value that changes whenever the result of [`Partitions::all_held`] may change, or
    /// `None` if the implementation does not track this.
    fn held_version(&self, _now: Timestamp) -> Option<HeldVersion> {
        None
    }

    /// Returns whether this instance's configuration was confirmed as current within the freshness
    /// limit.
    fn is_fresh(&self, now: Timestamp) -> bool;
}

#[cfg(test)]
mod tests;
