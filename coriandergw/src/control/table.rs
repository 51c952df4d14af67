//! The partition table: the home of each partition and the epoch of its assignment.

use std::collections::BTreeMap;

use crate::ids::Epoch;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;

/// The assignment of a partition to a home instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartitionAssignment {
    /// The index of the home instance; 0 if there is none.
    pub holder: u32,
    /// The epoch of the assignment; 0 before the first one.
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
    /// Returns the assignment of a partition; the default one if the partition is out of range.
    pub fn assignment(&self, partition: PartitionId) -> PartitionAssignment {
        self.assignments.get(usize::from(partition.0)).copied().unwrap_or_default()
    }

    /// Replaces an assignment and returns the previous one. A partition that is out of range is
    /// ignored.
    pub fn set(
        &mut self,
        partition: PartitionId,
        assignment: PartitionAssignment,
    ) -> PartitionAssignment {
        match self.assignments.get_mut(usize::from(partition.0)) {
            Some(known) => std::mem::replace(known, assignment),
            None => PartitionAssignment::default(),
        }
    }

    /// Returns all assignments, ordered by partition.
    pub fn iter(&self) -> impl Iterator<Item = (PartitionId, PartitionAssignment)> {
        self.assignments
            .iter()
            .enumerate()
            .map(|(index, assignment)| (PartitionId(index as u16), *assignment))
    }

    /// Returns the number of partitions of each holder that has any.
    pub fn counts(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for assignment in self.assignments.iter().filter(|assignment| assignment.holder != 0) {
            *counts.entry(assignment.holder).or_default() += 1;
        }
        counts
    }

    /// Returns the partitions of one holder and their epochs.
    pub fn held_by(&self, holder: u32) -> impl Iterator<Item = (PartitionId, Epoch)> {
        let held = self.iter().filter(move |(_, assignment)| assignment.holder == holder);
        held.map(|(partition, assignment)| (partition, assignment.epoch))
    }
}
