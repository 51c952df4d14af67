//! Tests of the faults that a seed draws.

use std::time::Duration;

use crate::soak::schedule::draw;

const LENGTH: Duration = Duration::from_secs(600);

#[test]
fn the_same_seed_draws_the_same_faults() {
    assert_eq!(draw(7, LENGTH, 5, 3), draw(7, LENGTH, 5, 3));
    assert_ne!(draw(7, LENGTH, 5, 3), draw(8, LENGTH, 5, 3));
}

#[test]
fn one_store_at_a_time_has_a_fault_and_faults_of_others_overlap() {
    let (stores, mut overlaps) = (3, 0);
    for seed in 0..20 {
        let steps = draw(seed, LENGTH, 6, stores);
        for (number, step) in steps.iter().enumerate() {
            for later in &steps[number + 1..] {
                let overlaps_step = later.at < step.at + step.lasts;
                assert!(
                    !overlaps_step || step.instance >= stores || later.instance >= stores,
                    "{step:?} and {later:?}"
                );
                overlaps += usize::from(overlaps_step);
            }
        }
    }
    assert!(overlaps > 0);
}
