use proptest::prelude::*;

use super::*;

/// A budget of a size that a few holders exhaust, in bytes.
const TOTAL: u64 = 1 << 20;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn granted(budget: &mut Budget, kind: HolderKind, bytes: u64, now: Timestamp) -> HolderId {
    let id = budget.open(kind, now);
    assert_eq!(budget.reserve(id, bytes, now), Reservation::Granted);
    id
}

/// Guards against a flood of large bodies that leaves no room for ordinary requests.
#[test]
fn small_holders_fit_beside_large_ones_that_took_all_they_may() {
    let mut budget = Budget::new(TOTAL);
    let largest = budget.largest();
    granted(&mut budget, HolderKind::Body, largest, at(0));
    let id = budget.open(HolderKind::Body, at(0));
    let refused = budget.reserve(id, SMALL_MAX_BYTES + 1, at(0));
    assert!(matches!(refused, Reservation::Full { evicted: None, .. }));
    for _ in 0..TOTAL / SMALL_PART_DIVISOR / SMALL_MAX_BYTES {
        granted(&mut budget, HolderKind::Body, SMALL_MAX_BYTES, at(0));
    }
}

/// Guards against the eviction of a body that still arrives, or of one that an endpoint may be running.
#[test]
fn the_arriving_holder_without_progress_for_longest_is_evicted() {
    let mut budget = Budget::new(TOTAL);
    let third = budget.largest() / 3;
    let in_use = granted(&mut budget, HolderKind::Body, third, at(0));
    assert!(budget.complete(in_use));
    let first = granted(&mut budget, HolderKind::Body, third, at(1));
    let second = granted(&mut budget, HolderKind::Body, third, at(2));
    budget.note_progress(first, at(900));
    let id = budget.open(HolderKind::Body, at(900));
    let stalled_at = at(2) + STALLED_AFTER;
    let early = budget.reserve(id, third, at(900));
    assert_eq!(early, Reservation::Full { evicted: None, retry_at: Some(stalled_at) });
    let late = budget.reserve(id, third, stalled_at);
    assert!(matches!(late, Reservation::Full { evicted: Some(evicted), .. } if evicted == second));
    // No other one is evicted while the room of the first is about to be free.
    let again = budget.reserve(id, third, at(60_000));
    assert!(matches!(again, Reservation::Full { evicted: None, .. }));
    assert_eq!(budget.reserve(second, 1, stalled_at), Reservation::Evicted);
    assert!(!budget.complete(second));
    budget.close(second);
    assert_eq!(budget.reserve(id, third, stalled_at), Reservation::Granted);
}

/// Guards against many bodies that each get a step of the room and wait for each other.
#[test]
fn room_goes_to_the_first_large_holder_that_waits() {
    let mut budget = Budget::new(TOTAL);
    let step = budget.largest() / 4;
    let ids: Vec<HolderId> =
        (0..4).map(|_| granted(&mut budget, HolderKind::Body, step, at(0))).collect();
    let late = at(2_000);
    for id in &ids {
        budget.reserve(*id, step, late);
    }
    // The first one had another evicted; no one else had.
    assert_eq!(ids.iter().filter(|id| budget.is_evicted(**id)).count(), 1);
    budget.close(ids[1]);
    assert!(matches!(budget.reserve(ids[2], step, late), Reservation::Full { evicted: None, .. }));
    assert_eq!(budget.reserve(ids[0], step, late), Reservation::Granted);
}

/// Guards against callers that read nothing and keep bodies from being taken.
#[test]
fn large_answers_use_a_part_only() {
    let mut budget = Budget::new(TOTAL);
    granted(&mut budget, HolderKind::Answer, TOTAL / ANSWERS_DIVISOR, at(0));
    let id = budget.open(HolderKind::Answer, at(0));
    let refused = budget.reserve(id, SMALL_MAX_BYTES + 1, at(0));
    assert!(matches!(refused, Reservation::Full { .. }));
    granted(&mut budget, HolderKind::Body, TOTAL / 4, at(0));
}

#[derive(Debug, Clone)]
enum Step {
    Open(usize),
    Reserve(usize, u64),
    Progress(usize),
    Complete(usize),
    Shrink(usize, u64),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..12_usize;
    prop_oneof![
        (0..3_usize).prop_map(Step::Open),
        (index.clone(), 1..200_000_u64).prop_map(|(at, bytes)| Step::Reserve(at, bytes)),
        (index.clone(), 1..8_000_u64).prop_map(|(at, bytes)| Step::Reserve(at, bytes)),
        index.clone().prop_map(Step::Progress),
        index.clone().prop_map(Step::Complete),
        (index.clone(), 0..100_000_u64).prop_map(|(at, bytes)| Step::Shrink(at, bytes)),
        index.prop_map(Step::Close),
    ]
}

fn check(budget: &Budget) {
    let (mut small, mut large) = (0, 0);
    for holder in budget.holders.values() {
        match holder.is_large() {
            true => large += holder.bytes,
            false => small += holder.bytes,
        }
    }
    assert_eq!((budget.small, budget.large), (small, large), "the sums do not match the holders");
    let leaving = budget.holders.values().filter(|holder| holder.is_evicted);
    let leaving: u64 = leaving.map(|holder| holder.bytes).sum();
    assert_eq!(budget.leaving.0 + budget.leaving.1, leaving);
    let by_kind: u64 = HolderKind::ALL.into_iter().map(|kind| budget.held(kind)).sum();
    assert_eq!(by_kind, budget.held_in_total());
    assert!(budget.held_in_total() <= budget.total, "more is held than there is");
    assert!(budget.large <= budget.large_max(), "large holders took the small part");
}

proptest! {
    /// Guards against bytes that leak, sums below zero, and large holders in the small part.
    #[test]
    fn the_sums_match_the_holders_after_any_steps(
        steps in proptest::collection::vec((step(), 0..700_u64), 1..200),
    ) {
        let mut budget = Budget::new(TOTAL);
        let mut ids = Vec::new();
        let mut now = 0;
        for (step, millis) in steps {
            now += millis;
            let id = |at: usize| ids.get(at % ids.len().max(1)).copied();
            match step {
                Step::Open(kind) => ids.push(budget.open(HolderKind::ALL[kind], at(now))),
                Step::Reserve(index, bytes) => {
                    if let Some(id) = id(index) {
                        let before = budget.held_in_total();
                        let outcome = budget.reserve(id, bytes, at(now));
                        let reserved = if outcome == Reservation::Granted { bytes } else { 0 };
                        prop_assert_eq!(budget.held_in_total(), before + reserved);
                    }
                }
                Step::Progress(index) => {
                    id(index).inspect(|id| budget.note_progress(*id, at(now)));
                }
                Step::Complete(index) => {
                    id(index).map(|id| budget.complete(id));
                }
                Step::Shrink(index, bytes) => {
                    id(index).inspect(|id| budget.shrink(*id, bytes));
                }
                Step::Close(index) => {
                    id(index).inspect(|id| budget.close(*id));
                }
            }
            check(&budget);
        }
        for id in ids {
            budget.close(id);
        }
        prop_assert_eq!(budget.held_in_total(), 0);
        prop_assert!(budget.holders.is_empty());
    }
}
