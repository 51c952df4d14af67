//! Leases of partitions to home instances.

use std::net::SocketAddr;

use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PartitionId;

pub mod local;

/// The home of a partition as this instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    /// The home instance.
    pub instance: InstanceName,
    /// Where the home answers callers.
    pub address: SocketAddr,
    /// The epoch of its tenure.
    pub epoch: Epoch,
}

/// Tells which instance is the home of a partition.
pub trait Partitions: Send + Sync {
    /// Returns the home of the partition, where there is one.
    fn home(&self, partition: PartitionId) -> Option<Home>;

    /// Returns the epoch if this instance may act as the partition's home at `now`.
    fn held(&self, partition: PartitionId, now: Timestamp) -> Option<Epoch>;

    /// Returns the partitions that this instance holds at `now`, with their epochs.
    fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)>;

    /// Returns whether this instance has confirmed its configuration within the freshness limit.
    fn is_fresh(&self, now: Timestamp) -> bool;
}
