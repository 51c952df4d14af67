//! Tests of what an entry instance knows of limits.

use crate::clock::Timestamp;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::known_limits::KnownLimits;
use crate::test_support::incarnation;
use crate::test_support::stated_limit;

fn limit(per_second: f64) -> Option<RateLimit> {
    RateLimit::try_from(per_second).ok()
}

#[test]
fn a_limit_holds_until_an_answer_of_the_incarnation_names_another_or_none() {
    let known = KnownLimits::default();
    let at = Timestamp::from_millis;
    let current = |started_ms| known.get(&incarnation(started_ms)).map(|stated| stated.limit);
    assert!(!known.note(&incarnation(5), None, at(0)));
    assert!(known.note(&incarnation(5), limit(3.0), at(1)));
    assert!(!known.note(&incarnation(5), limit(3.0), at(2)), "named again");
    assert_eq!(current(5), limit(3.0));
    assert!(known.note(&incarnation(5), limit(0.5), at(3)));
    assert_eq!(current(5), limit(0.5));
    assert!(known.note(&incarnation(5), None, at(4)));
    assert_eq!(current(5), None);
}

#[test]
fn a_limit_does_not_pass_to_another_incarnation() {
    let known = KnownLimits::default();
    let at = Timestamp::from_millis;
    known.note(&incarnation(5), limit(3.0), at(0));
    assert_eq!(known.get(&incarnation(6)), None);
    known.note(&incarnation(6), limit(4.0), at(1));
    assert!(!known.note(&incarnation(5), None, at(2)), "a late answer");
    assert!(known.get(&incarnation(6)).is_some());
    known.retain(|_| false);
    assert_eq!(known.get(&incarnation(6)), None);
}

// Guards against a burst that moves to an endpoint in need from instances without traffic to it.
#[test]
fn a_limit_that_another_instance_heard_holds_until_an_own_answer_says_otherwise() {
    let known = KnownLimits::default();
    let at = Timestamp::from_millis;
    known.learn(&stated_limit("a", 5, 3.0, 100));
    assert_eq!(known.get(&incarnation(5)).map(|one| one.limit), limit(3.0));
    assert!(known.note(&incarnation(5), None, at(200)));
    known.learn(&stated_limit("a", 5, 3.0, 150));
    assert_eq!(known.get(&incarnation(5)), None, "heard before the own answer");
    known.learn(&stated_limit("a", 5, 4.0, 300));
    assert_eq!(known.get(&incarnation(5)).map(|one| one.limit), limit(4.0));
    known.learn(&stated_limit("a", 4, 1.0, 400));
    assert!(known.get(&incarnation(5)).is_some(), "an earlier incarnation");
}

#[test]
fn an_endpoint_has_no_spare_room_for_a_while_after_a_refusal() {
    let known = KnownLimits::default();
    let at = Timestamp::from_millis;
    known.note(&incarnation(5), limit(3.0), at(0));
    assert!(!known.has_spare(&incarnation(5), at(1_999)), "it named the limit just before");
    assert!(known.has_spare(&incarnation(5), at(2_000)));
    known.note_full(&[stated_limit("a", 5, 3.0, 0)], at(3_000));
    assert!(!known.has_spare(&incarnation(5), at(4_999)));
    assert!(known.has_spare(&incarnation(5), at(5_000)));
    assert!(known.has_spare(&incarnation(6), at(0)), "another incarnation");
}
