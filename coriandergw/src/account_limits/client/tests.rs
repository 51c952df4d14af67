//! Tests of the number of entry instances that share what a limit tolerates.

use super::*;

// Guards against a partition in which the instances of each side share the whole tolerated excess
// among themselves, and against an instance that starts within one.
#[test]
fn the_highest_number_of_entry_instances_is_used_for_a_while_and_none_before_the_first() {
    let at = Timestamp::from_millis;
    let mut count = InstanceCount::default();
    assert_eq!(count.highest(), None);
    count.note(80, at(1_000));
    count.note(40, at(2_000));
    assert_eq!(count.highest(), Some(80));
    count.note(40, at(601_000));
    assert_eq!(count.highest(), Some(80));
    count.note(40, at(1_202_000));
    assert_eq!(count.highest(), Some(40));
}
