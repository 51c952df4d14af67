//! Tests of the counts of crashes.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::clock::Timestamp;
use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::crashes::table::BLOCK_RETENTION;
use crate::crashes::table::CRASH_RETENTION;
use crate::crashes::table::CRASHES_MAX;
use crate::crashes::table::CrashTable;
use crate::crashes::table::REPORTS_LATENCY;
use crate::crashes::table::REQUESTS_MAX;
use crate::crashes::table::SHARED_BLAME_BLOCK;
use crate::crashes::table::Standing;
use crate::ids::EndpointName;

const START: Timestamp = Timestamp(1_000_000);

fn request(number: usize) -> RequestDigest {
    RequestDigest::of(&Method::GET, "host", &format!("/{number}"), &Bytes::new())
}

/// Returns one of several requests of a class, which differ after the beginning of their bodies.
fn request_of_class(class: usize, number: usize) -> RequestDigest {
    let body = Bytes::from(format!("{}{number}", "x".repeat(1_000)));
    RequestDigest::of(&Method::POST, "host", &format!("/{class}"), &body)
}

fn incarnation(endpoint: usize) -> Incarnation {
    let endpoint = EndpointName::try_from(format!("e{endpoint}")).expect("a name");
    Incarnation { endpoint, started_ms: 1 }
}

fn crash(endpoint: usize, suspects: &[usize]) -> Crash {
    let suspects = suspects.iter().map(|number| request(*number)).collect();
    Crash { incarnation: incarnation(endpoint), suspects, cleared: BTreeSet::new() }
}

fn table(crashes: &[(usize, &[usize])]) -> CrashTable {
    let mut table = CrashTable::default();
    for (endpoint, suspects) in crashes {
        table.merge(crash(*endpoint, suspects), START);
    }
    table
}

fn is_blocked(table: &CrashTable, number: usize, now: Timestamp) -> bool {
    matches!(table.standing(&request(number), now), Standing::Blocked { .. })
}

// Guards against counting one crash several times, since each instance reports what it lost.
#[test]
fn a_crash_that_several_instances_report_counts_once() {
    let table = table(&[(1, &[7]), (1, &[7, 8]), (1, &[7]), (2, &[7])]);
    assert_eq!(table.count(&request(7)), 2);
    assert_eq!(table.standing(&request(7), START), Standing::Suspected);
    assert_eq!(table.standing(&request(8), START), Standing::Free);
}

#[test]
fn a_request_is_blocked_after_three_crashes() {
    let table = table(&[(1, &[7, 8]), (2, &[7, 9]), (3, &[7])]);
    assert!(is_blocked(&table, 7, START));
    assert!(is_blocked(&table, 7, START + Duration::from_secs(60)));
    assert!(!is_blocked(&table, 8, START));
}

// Guards against refusing, for good, a request that ran beside the crashing one three times.
#[test]
fn suspects_of_the_same_three_crashes_are_tried_once_more() {
    let mut table = table(&[(1, &[7, 8]), (2, &[7, 8]), (3, &[7, 8])]);
    let later = START + SHARED_BLAME_BLOCK;
    for number in [7, 8] {
        assert!(is_blocked(&table, number, START));
        assert_eq!(table.standing(&request(number), later), Standing::Suspected);
    }
    table.merge(crash(4, &[7]), later);
    assert!(is_blocked(&table, 7, later + Duration::from_secs(60)));
    table.clear(&request(8));
    assert_eq!(table.standing(&request(8), later), Standing::Free);
}

// Guards against blocking, for good, a request whose third crash other instances have not reported yet.
#[test]
fn a_request_is_not_to_blame_alone_until_the_reports_of_other_instances_have_arrived() {
    let mut table = table(&[(1, &[7, 8]), (2, &[7, 8]), (3, &[8])]);
    let wait = |table: &CrashTable, now| match table.standing(&request(8), now) {
        Standing::Blocked { retry_after, .. } => retry_after,
        _ => Duration::ZERO,
    };
    assert_eq!(wait(&table, START), REPORTS_LATENCY);
    assert_eq!(wait(&table, START + REPORTS_LATENCY), BLOCK_RETENTION);
    table.merge(crash(3, &[7]), START);
    assert_eq!(wait(&table, START), SHARED_BLAME_BLOCK);
}

#[test]
fn a_complete_answer_clears_a_request_of_all_crashes_wherever_it_arrives() {
    let mut first = table(&[(1, &[7, 8]), (2, &[7]), (3, &[7])]);
    let mut second = table(&[(1, &[7, 8]), (2, &[7]), (3, &[7])]);
    for report in first.clear(&request(7)) {
        second.merge(report, START);
    }
    for table in [&first, &second] {
        assert_eq!(table.standing(&request(7), START), Standing::Free);
        assert_eq!(table.count(&request(8)), 1);
    }
}

// Guards against a request that crashes endpoints and is a little different each time.
#[test]
fn requests_of_one_class_are_counted_together_until_one_is_answered() {
    let mut table = CrashTable::default();
    for number in 0..3 {
        let suspect = request_of_class(1, number);
        table.merge(Crash::with_suspect(incarnation(number), suspect), START);
    }
    let other = request_of_class(1, 9);
    assert!(matches!(table.standing(&other, START), Standing::Blocked { .. }));
    table.clear(&other);
    assert_eq!(table.standing(&request_of_class(1, 10), START), Standing::Free);
}

// Guards against blocking all requests that begin alike because one of them crashes endpoints.
#[test]
fn a_request_stays_blocked_while_others_of_its_class_are_answered() {
    let mut table = CrashTable::default();
    let crashing = request_of_class(1, 0);
    for number in 0..3 {
        table.merge(Crash::with_suspect(incarnation(number), crashing), START);
        table.clear(&request_of_class(1, 9));
    }
    assert!(matches!(table.standing(&crashing, START), Standing::Blocked { .. }));
    assert_eq!(table.standing(&request_of_class(1, 9), START), Standing::Free);
}

// Guards against a request that is cleared by mistake because reports arrive in another order.
#[test]
fn reports_that_arrive_in_another_order_give_the_same_standing() {
    let mut cleared = CrashTable::default();
    let mut source = table(&[(1, &[7])]);
    for report in source.clear(&request(7)) {
        cleared.merge(report, START);
    }
    cleared.merge(crash(1, &[7]), START);
    assert_eq!(cleared.count(&request(7)), 0);
}

// Guards against a flood of requests that crash endpoints: it must neither use more and more memory
// nor make the system forget a blocked request.
#[test]
fn a_flood_of_crashes_is_bounded_and_keeps_blocked_requests() {
    let mut table = table(&[(1, &[7]), (2, &[7]), (3, &[7])]);
    for number in 0..CRASHES_MAX * 2 {
        let now = START + Duration::from_millis(number as u64);
        table.merge(crash(1_000 + number, &[1_000 + number]), now);
    }
    assert_eq!(table.crashes().count(), CRASHES_MAX);
    assert!(is_blocked(&table, 7, START + Duration::from_secs(10)));
    let many: Vec<usize> = (0..REQUESTS_MAX * 2).collect();
    table.merge(crash(1, &many), START);
    assert!(table.crashes().all(|crash| crash.suspects.len() <= REQUESTS_MAX));
}

#[test]
fn crashes_expire_unless_they_block_a_request_that_still_comes() {
    let mut table = table(&[(1, &[7, 8]), (2, &[7]), (3, &[7]), (4, &[9])]);
    let later = START + CRASH_RETENTION;
    table.expire(later);
    assert_eq!(table.count(&request(9)), 0);
    assert!(is_blocked(&table, 7, later));
    assert_eq!(table.renew(&request(7), later).len(), 3);
    assert!(table.renew(&request(7), later).is_empty(), "reported again too soon");
    table.expire(START + BLOCK_RETENTION);
    assert!(is_blocked(&table, 7, START + BLOCK_RETENTION));
    table.expire(later + BLOCK_RETENTION);
    assert!(table.is_empty());
}

// Guards against an answered request that stays a suspect elsewhere, since a crash had many others
// that were answered too.
#[test]
fn all_suspects_of_a_crash_can_be_cleared() {
    let many: Vec<usize> = (0..REQUESTS_MAX).collect();
    let mut first = table(&[(1, &many)]);
    let mut second = table(&[(1, &many)]);
    for number in many {
        for report in first.clear(&request(number)) {
            second.merge(report, START);
        }
        assert_eq!(second.count(&request(number)), 0, "request {number}");
    }
}
