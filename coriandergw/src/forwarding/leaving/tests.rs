//! Tests of what is kept of endpoints that stated that they are leaving.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::leaving::LeavingEndpoints;
use crate::roster::state::GONE_RETENTION;
use crate::test_support::incarnation;

#[test]
fn a_statement_holds_for_its_incarnation_and_those_before() {
    let leaving = LeavingEndpoints::default();
    let now = Timestamp::from_millis(1_000);
    assert!(leaving.note(&incarnation(5), now));
    assert!(!leaving.note(&incarnation(5), now), "already known");
    assert!(!leaving.note(&incarnation(4), now), "a late answer of the previous incarnation");
    assert!(leaving.is_leaving(&incarnation(4)));
    assert!(leaving.is_leaving(&incarnation(5)));
    assert!(!leaving.is_leaving(&incarnation(6)));
    assert!(leaving.note(&incarnation(6), now));
    assert!(leaving.is_leaving(&incarnation(6)));
}

#[test]
fn a_statement_is_kept_as_long_as_the_endpoint_is_listed() {
    let leaving = LeavingEndpoints::default();
    let now = Timestamp::from_millis(1_000);
    leaving.note(&incarnation(5), now);
    let later = now + GONE_RETENTION + Duration::from_secs(1);
    leaving.expire(|_| true, later);
    assert!(leaving.is_leaving(&incarnation(5)));
    leaving.expire(|_| false, now);
    assert!(leaving.is_leaving(&incarnation(5)), "the roster may list it again");
    leaving.expire(|_| false, later);
    assert!(!leaving.is_leaving(&incarnation(5)));
}
