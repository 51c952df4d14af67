//! Decides when a partition can move to another home without interrupting a request.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::ids::PartitionId;
use crate::leases::HandoverGate;
use crate::programs::Programs;

/// Counts the requests in progress, by partition.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    counts: Mutex<BTreeMap<PartitionId, usize>>,
}

/// Keeps a partition from being released while a request to it is in progress.
#[derive(Debug)]
pub struct InFlightRequestGuard<'a> {
    in_flight: &'a InFlightRequests,
    partition: PartitionId,
}

impl Drop for InFlightRequestGuard<'_> {
    fn drop(&mut self) {
        let mut counts = self.in_flight.counts.lock().expect("not poisoned");
        if let Some(count) = counts.get_mut(&self.partition) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.partition);
            }
        }
    }
}

impl Programs {
    /// Keeps a partition from being released until the guard is dropped, if it is still held here.
    ///
    /// Call this before looking up the partition's home, so that a release between the two finds
    /// the partition busy.
    pub fn begin_request(&self, partition: PartitionId) -> InFlightRequestGuard<'_> {
        *self.in_flight.counts.lock().expect("not poisoned").entry(partition).or_default() += 1;
        InFlightRequestGuard { in_flight: &self.in_flight, partition }
    }

    fn has_live_calls(&self, partition: PartitionId) -> bool {
        let home = self.homes.lock().expect("not poisoned").get(&partition).cloned();
        home.is_some_and(|home| {
            let trees = home.trees.lock().expect("not poisoned");
            trees.live.values().any(|tree| !tree.live.lock().expect("not poisoned").is_empty())
        })
    }
}

impl HandoverGate for Programs {
    fn is_busy(&self, partition: PartitionId) -> bool {
        self.in_flight.counts.lock().expect("not poisoned").contains_key(&partition)
            || self.has_live_calls(partition)
    }
}
