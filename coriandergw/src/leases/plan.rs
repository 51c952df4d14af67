//! Computes which partitions move to which instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::control::PartitionTable;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;

/// The input of [`make_plan`].
#[derive(Debug)]
pub(super) struct PlanInput<'a> {
    /// The current assignments.
    pub(super) table: &'a PartitionTable,
    /// The indexes of the instances that partitions are assigned to.
    pub(super) targets: &'a BTreeSet<u32>,
    /// The indexes of the instances that are leaving and still have a lease.
    pub(super) leaving: &'a BTreeSet<u32>,
    /// The partitions that can be assigned at once, because no instance holds them.
    pub(super) free: &'a BTreeSet<PartitionId>,
}

/// Partitions, grouped by the index of an instance.
pub(super) type ByInstance = BTreeMap<u32, Vec<PartitionId>>;

/// The next moves and releases.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Plan {
    /// The free partitions to assign, by new home.
    pub(super) assign: ByInstance,
    /// The partitions to release, by current home. They are assigned once they are free.
    pub(super) release: ByInstance,
}

/// Computes a plan that distributes the partitions evenly with the fewest moves.
pub(super) fn make_plan(input: &PlanInput<'_>) -> Plan {
    let mut plan = Plan::default();
    if input.targets.is_empty() {
        return plan;
    }
    let held = kept_partitions(input);
    let quotas = quotas(input.targets, &held);
    let mut deficits = deficits(&quotas, &held);
    for partition in input.free {
        if let Some(target) = take_from_largest_deficit(&mut deficits) {
            plan.assign.entry(target).or_default().push(*partition);
        }
    }
    for index in input.leaving {
        if let Some(partitions) = held.get(index) {
            plan.release.insert(*index, partitions.clone());
        }
    }
    release_surplus(&mut plan, &quotas, &held, deficits.values().sum());
    plan
}

/// Returns the partitions that are not free, by current home.
fn kept_partitions(input: &PlanInput<'_>) -> ByInstance {
    let mut held = ByInstance::new();
    for (partition, assignment) in input.table.iter() {
        if !input.free.contains(&partition) {
            held.entry(assignment.holder).or_default().push(partition);
        }
    }
    held
}

fn held_count(held: &ByInstance, index: u32) -> usize {
    held.get(&index).map_or(0, Vec::len)
}

/// Returns how many partitions each target should have. The targets that already have the most get
/// one of the remainder each, which saves moves.
fn quotas(targets: &BTreeSet<u32>, held: &ByInstance) -> BTreeMap<u32, usize> {
    let share = usize::from(PARTITION_COUNT) / targets.len();
    let remainder = usize::from(PARTITION_COUNT) % targets.len();
    let mut ordered: Vec<u32> = targets.iter().copied().collect();
    ordered.sort_by_key(|index| std::cmp::Reverse(held_count(held, *index)));
    let quota = |(rank, index)| (index, share + usize::from(rank < remainder));
    ordered.into_iter().enumerate().map(quota).collect()
}

/// Returns how many partitions each target lacks to reach its quota. Targets that have reached it
/// are omitted.
fn deficits(quotas: &BTreeMap<u32, usize>, held: &ByInstance) -> BTreeMap<u32, usize> {
    let missing = |(index, quota): (&u32, &usize)| {
        let missing = quota.saturating_sub(held_count(held, *index));
        (missing > 0).then_some((*index, missing))
    };
    quotas.iter().filter_map(missing).collect()
}

fn take_from_largest_deficit(deficits: &mut BTreeMap<u32, usize>) -> Option<u32> {
    let (index, deficit) = deficits.iter_mut().max_by_key(|(_, deficit)| **deficit)?;
    let index = *index;
    *deficit -= 1;
    if *deficit == 0 {
        deficits.remove(&index);
    }
    Some(index)
}

/// Releases the partitions that targets have above their quota, up to `total_deficit`, the number
/// of partitions that other targets still lack.
fn release_surplus(
    plan: &mut Plan,
    quotas: &BTreeMap<u32, usize>,
    held: &ByInstance,
    mut total_deficit: usize,
) {
    // The partitions that leaving instances release cover a part of the deficit.
    total_deficit = total_deficit.saturating_sub(plan.release.values().map(Vec::len).sum());
    for (index, quota) in quotas {
        let Some(partitions) = held.get(index) else {
            continue;
        };
        let surplus = partitions.len().saturating_sub(*quota).min(total_deficit);
        if surplus > 0 {
            total_deficit -= surplus;
            let kept = partitions.len() - surplus;
            plan.release.insert(*index, partitions[kept..].to_vec());
        }
    }
}
