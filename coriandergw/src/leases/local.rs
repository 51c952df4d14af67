//! Partition ownership of an instance that runs without peers and holds all partitions.

use std::net::SocketAddr;

use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::leases::Home;
use crate::leases::Partitions;

/// The epoch of all partitions on an instance without peers, where none ever moves.
const ONLY_EPOCH: Epoch = Epoch(1);

/// Implements [`Partitions`] for an instance without peers.
#[derive(Debug)]
pub struct LocalPartitions {
    instance: InstanceName,
    address: SocketAddr,
}

impl LocalPartitions {
    /// Makes `instance` the home of all partitions. Callers reach it at `address`.
    pub fn new(instance: InstanceName, address: SocketAddr) -> Self {
        Self { instance, address }
    }
}

impl Partitions for LocalPartitions {
    fn home(&self, _partition: PartitionId) -> Option<Home> {
        let (instance, address) = (self.instance.clone(), self.address);
        Some(Home { instance, address, epoch: ONLY_EPOCH })
    }

    fn held(&self, _partition: PartitionId, _now: Timestamp) -> Option<Epoch> {
        Some(ONLY_EPOCH)
    }

    fn all_held(&self, _now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        (0..PARTITION_COUNT).map(|number| (PartitionId(number), ONLY_EPOCH)).collect()
    }

    fn is_fresh(&self, _now: Timestamp) -> bool {
        true
    }
}
