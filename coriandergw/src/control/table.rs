//! The partition table: which instance is the home of which partition, under which epoch.

use std::collections::BTreeMap;

use crate::ids::Epoch;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;

/// The assignment of a partition's home.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartitionAssignment {
    /// The index of the home instance; zero for none.
    pub holder: u32,
    /// The epoch; zero before the first home.
    pub epoch: Epoch,
}

/// The assignments of all partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionTable {
    assignments: Vec<PartitionAssignment>,
}

impl Default for PartitionTable {
    fn default() -> Self {
        Self { assignments: vec![PartitionAssignment::default(); usize::from(PARTITION_COUNT)] }
    }
}

impl PartitionTable {
    /// Returns the assignment of a partition.
    pub fn assignment(&self, partition: PartitionId) -> PartitionAssignment {
        self.assignments.get(usize::from(partition.0)).copied().unwrap_or_default()
    }

    /// Replaces an assignment and returns the earlier one. A partition out of range is left out.
    pub fn set(
        &mut self,
        partition: PartitionId,
        tenure: PartitionAssignment,
    ) -> PartitionAssignment {
        match self.assignments.get_mut(usize::from(partition.0)) {
            Some(known) => std::mem::replace(known, tenure),
            None => PartitionAssignment::default(),
        }
    }

    /// Returns all assignments in the order of their partitions.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, PartitionAssignment)> {
        self.assignments
            .iter()
            .enumerate()
            .map(|(index, tenure)| (PartitionId(index as u16), *tenure))
    }

    /// Returns how many partitions each holder has.
    pub fn counts(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for tenure in self.assignments.iter().filter(|tenure| tenure.holder != 0) {
            *counts.entry(tenure.holder).or_default() += 1;
        }
        counts
    }

    /// Returns the partitions of one holder.
    pub fn held_by(&self, holder: u32) -> impl Iterator<Item = (PartitionId, Epoch)> {
        let held = self.iter().filter(move |(_, tenure)| tenure.holder == holder);
        held.map(|(partition, tenure)| (partition, tenure.epoch))
    }
}
