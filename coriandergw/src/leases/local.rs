//! The leases of an instance that is alone: it holds all partitions.

use std::net::SocketAddr;

use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::leases::Home;
use crate::leases::Partitions;

/// The only epoch of an instance without peers.
const ONLY_EPOCH: Epoch = Epoch(1);

/// Holds all partitions at all times.
#[derive(Debug)]
pub struct LocalPartitions {
    instance: InstanceName,
    address: SocketAddr,
}

impl LocalPartitions {
    /// Creates the leases of `instance`, which callers reach at `address`.
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
