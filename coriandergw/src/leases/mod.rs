//! Leases of partitions to home instances and the distribution of the control state.
//!
//! The control leader keeps one lease an instance. An instance acts as the home of the partitions
//! that the partition table gives it while its lease holds. It renews with the leader, directly or
//! through the relay of its data centre, and gets the changes of the control state with the answer.

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

/// How long an instance may act on its lease, counted from the time that it sent the renewal.
pub const LEASE: Duration = Duration::from_secs(3);

/// How much longer the leader counts a lease, for clocks that run at different speeds.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(300);

/// The time between two renewals of an instance.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long an instance waits for the answer to a control message.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The most bytes of deltas or of a full state in one answer.
const PART_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The home of a partition as this instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    /// The home instance.
    pub instance: InstanceName,
    /// Where the home answers callers.
    pub address: SocketAddr,
    /// The epoch of its assignment.
    pub epoch: Epoch,
}

/// Tells apart the states between which the held partitions may differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldVersion {
    /// The applied revision.
    pub revision: Revision,
    /// Whether the lease holds.
    pub has_lease: bool,
    /// How often incarnation, copy or released partitions changed in another way.
    pub changes: u64,
}

/// Tells whether a partition can move to another home.
pub trait HandoverGate: Send + Sync {
    /// Returns whether calls of the partition's programs are running here.
    fn is_busy(&self, partition: PartitionId) -> bool;
}

/// Tells which instance is the home of a partition.
pub trait Partitions: Send + Sync {
    /// Returns the home of the partition, where there is one.
    fn home(&self, partition: PartitionId) -> Option<Home>;

    /// Returns the epoch if this instance may act as the partition's home at `now`.
    fn held(&self, partition: PartitionId, now: Timestamp) -> Option<Epoch>;

    /// Returns the partitions that this instance holds at `now`, with their epochs.
    fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)>;

    /// Returns a value that differs wherever [`Partitions::all_held`] may differ; nothing where
    /// that is not known.
    fn held_version(&self, _now: Timestamp) -> Option<HeldVersion> {
        None
    }

    /// Returns whether this instance has confirmed its configuration within the freshness limit.
    fn is_fresh(&self, now: Timestamp) -> bool;
}

#[cfg(test)]
mod tests;
