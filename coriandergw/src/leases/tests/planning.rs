//! Plans distribute the partitions evenly with the fewest moves.

use std::collections::BTreeSet;

use proptest::prelude::*;

use crate::control::PartitionAssignment;
use crate::control::PartitionTable;
use crate::ids::Epoch;
use crate::ids::PartitionId;
use crate::leases::plan::Plan;
use crate::leases::plan::PlanInput;
use crate::leases::plan::make_plan;

fn apply(table: &mut PartitionTable, plan: &Plan) {
    for (holder, partitions) in &plan.assign {
        for partition in partitions {
            table.set(*partition, PartitionAssignment { holder: *holder, epoch: Epoch(1) });
        }
    }
}

/// Computes and applies 4 plans; the partitions that one plan releases are free in the next. Checks
/// that the last plan releases none. Returns the number of moves.
fn apply_plans(
    table: &mut PartitionTable,
    targets: &BTreeSet<u32>,
    leaving: &BTreeSet<u32>,
) -> usize {
    let is_free = |holder: u32| !targets.contains(&holder) && !leaving.contains(&holder);
    let rows = table.iter().filter(|(_, row)| is_free(row.holder));
    let mut free: BTreeSet<PartitionId> = rows.map(|(partition, _)| partition).collect();
    let mut moved = 0;
    for _ in 0..4 {
        let plan = make_plan(&PlanInput { table, targets, leaving, free: &free });
        moved += plan.assign.values().map(Vec::len).sum::<usize>();
        apply(table, &plan);
        free = plan.release.values().flatten().copied().collect();
    }
    assert!(free.is_empty(), "partitions are still to be released after 4 plans");
    moved
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn plans_are_even_and_minimal(first in 1_u32..20, gone in 0_u32..10, joined in 0_u32..10) {
        let mut table = PartitionTable::default();
        let targets: BTreeSet<u32> = (1..=first).collect();
        prop_assert_eq!(apply_plans(&mut table, &targets, &BTreeSet::new()), 4096);
        let leaving: BTreeSet<u32> = (1..=gone.min(first)).collect();
        let later: BTreeSet<u32> =
            (1..=first + joined).filter(|index| !leaving.contains(index)).collect();
        if later.is_empty() {
            return Ok(());
        }
        let before = table.counts();
        let moved = apply_plans(&mut table, &later, &leaving);
        let after = table.counts();
        let share = 4096 / later.len();
        let is_even = after.iter().all(|(index, count)| {
            later.contains(index) && (*count == share || *count == share + 1)
        });
        prop_assert!(is_even);
        let gained = after.iter().map(|(index, count)| {
            count.saturating_sub(before.get(index).copied().unwrap_or(0))
        });
        prop_assert_eq!(moved, gained.sum::<usize>());
    }
}
