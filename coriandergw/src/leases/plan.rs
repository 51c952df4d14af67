//! Decides which partitions move to which instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::control::PartitionTable;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;

/// What a plan is made from.
#[derive(Debug)]
pub(super) struct PlanInput<'a> {
    /// The partition table.
    pub(super) table: &'a PartitionTable,
    /// The indexes of the instances that take partitions.
    pub(super) targets: &'a BTreeSet<u32>,
    /// The indexes of the instances that are leaving and still hold their lease.
    pub(super) leaving: &'a BTreeSet<u32>,
    /// The partitions that no instance may act for any more.
    pub(super) free: &'a BTreeSet<PartitionId>,
}

/// Partitions by the index of an instance.
pub(super) type ByInstance = BTreeMap<u32, Vec<PartitionId>>;

/// What is to be done next.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Plan {
    /// Free partitions and their new homes.
    pub(super) assign: ByInstance,
    /// Partitions that their homes are to release, so that they become free.
    pub(super) release: ByInstance,
}

/// Makes a plan that spreads the partitions evenly and moves no more than that needs.
pub(super) fn make_plan(input: &PlanInput<'_>) -> Plan {
    let mut plan = Plan::default();
    if input.targets.is_empty() {
        return plan;
    }
    let held = kept_partitions(input);
    let quotas = quotas(input.targets, &held);
    let mut room = room(&quotas, &held);
    for partition in input.free {
        if let Some(target) = take_roomiest(&mut room) {
            plan.assign.entry(target).or_default().push(*partition);
        }
    }
    for index in input.leaving {
        if let Some(partitions) = held.get(index) {
            plan.release.insert(*index, partitions.clone());
        }
    }
    release_surplus(&mut plan, &quotas, &held, room.values().sum());
    plan
}

/// Returns the partitions that are not free, by holder.
fn kept_partitions(input: &PlanInput<'_>) -> ByInstance {
    let mut held = ByInstance::new();
    for (partition, tenure) in input.table.iter() {
        if !input.free.contains(&partition) {
            held.entry(tenure.holder).or_default().push(partition);
        }
    }
    held
}

fn held_count(held: &ByInstance, index: u32) -> usize {
    held.get(&index).map_or(0, Vec::len)
}

/// Returns how many partitions each target should have. Those that have most get the remainder.
fn quotas(targets: &BTreeSet<u32>, held: &ByInstance) -> BTreeMap<u32, usize> {
    let share = usize::from(PARTITION_COUNT) / targets.len();
    let remainder = usize::from(PARTITION_COUNT) % targets.len();
    let mut ordered: Vec<u32> = targets.iter().copied().collect();
    ordered.sort_by_key(|index| std::cmp::Reverse(held_count(held, *index)));
    let quota = |(rank, index)| (index, share + usize::from(rank < remainder));
    ordered.into_iter().enumerate().map(quota).collect()
}

/// Returns how many more partitions each target should get.
fn room(quotas: &BTreeMap<u32, usize>, held: &ByInstance) -> BTreeMap<u32, usize> {
    let missing = |(index, quota): (&u32, &usize)| {
        let missing = quota.saturating_sub(held_count(held, *index));
        (missing > 0).then_some((*index, missing))
    };
    quotas.iter().filter_map(missing).collect()
}

fn take_roomiest(room: &mut BTreeMap<u32, usize>) -> Option<u32> {
    let (index, left) = room.iter_mut().max_by_key(|(_, left)| **left)?;
    let index = *index;
    *left -= 1;
    if *left == 0 {
        room.remove(&index);
    }
    Some(index)
}

/// Releases what targets have above their quota, as far as others have room for it.
fn release_surplus(
    plan: &mut Plan,
    quotas: &BTreeMap<u32, usize>,
    held: &ByInstance,
    mut room: usize,
) {
    // What leaving instances release takes the room first.
    room = room.saturating_sub(plan.release.values().map(Vec::len).sum());
    for (index, quota) in quotas {
        let Some(partitions) = held.get(index) else {
            continue;
        };
        let surplus = partitions.len().saturating_sub(*quota).min(room);
        if surplus > 0 {
            room -= surplus;
            let kept = partitions.len() - surplus;
            plan.release.insert(*index, partitions[kept..].to_vec());
        }
    }
}
