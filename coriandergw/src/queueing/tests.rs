use std::time::Duration;

use super::*;
use crate::catalogue::Class;
use crate::clock::Timestamp;

/// Builds a call of a started program that arrived at 100 s.
fn call(ticket: u64, class: Class, owner: &str) -> QueuedCall {
    QueuedCall {
        ticket,
        class,
        owner: owner.try_into().unwrap(),
        under_way: true,
        attained_tokens: 0,
        deadline: None,
        arrived: Timestamp::from_millis(100_000),
        service: Duration::from_millis(100),
    }
}

fn order(calls: Vec<QueuedCall>) -> Vec<u64> {
    let mut queue = CallQueue::new(QueueSettings::default());
    calls.into_iter().for_each(|call| queue.push(call));
    std::iter::from_fn(|| queue.pick(|_| true)).map(|call| call.ticket).collect()
}

#[test]
fn least_attained_service_goes_first_and_programs_under_way_before_new_ones() {
    let served = QueuedCall { attained_tokens: 5_000, ..call(1, Class::Standard, "o") };
    let new = QueuedCall { under_way: false, ..call(2, Class::Standard, "o") };
    assert_eq!(order(vec![served, new, call(3, Class::Standard, "o")]), [3, 2, 1]);
}

#[test]
fn a_near_deadline_moves_a_call_ahead_and_a_missed_one_does_not() {
    let at = |seconds: u64| Some(Timestamp::from_millis(seconds * 1_000));
    let near =
        QueuedCall { deadline: at(95), attained_tokens: 9_000, ..call(1, Class::Standard, "o") };
    let soon =
        QueuedCall { deadline: at(101), attained_tokens: 9_000, ..call(2, Class::Standard, "o") };
    let early = QueuedCall { attained_tokens: 4_000, ..call(3, Class::Standard, "o") };
    assert_eq!(order(vec![near, soon, early]), [2, 3, 1]);
}

#[test]
fn a_call_is_served_before_calls_that_arrive_later_than_the_maximum_delay() {
    let old = QueuedCall { attained_tokens: u64::MAX, ..call(1, Class::Standard, "o") };
    let later =
        QueuedCall { arrived: Timestamp::from_millis(120_001), ..call(2, Class::Standard, "o") };
    assert_eq!(order(vec![later, old]), [1, 2]);
}

#[test]
fn classes_share_service_by_weight_without_starvation() {
    let calls = Class::ALL
        .iter()
        .zip(0..)
        .flat_map(|(class, n)| (0..100).map(move |ticket| call(n * 100 + ticket, *class, "o")));
    let first: Vec<u64> = order(calls.collect()).into_iter().take(84).collect();
    let count = |n: u64| first.iter().filter(|ticket| **ticket / 100 == n).count();
    assert!((63..=65).contains(&count(0)), "{}", count(0));
    assert!((15..=17).contains(&count(1)), "{}", count(1));
    assert!((3..=5).contains(&count(2)), "{}", count(2));
}

#[test]
fn an_owner_with_many_calls_does_not_delay_another_owner() {
    let mut calls: Vec<QueuedCall> = (0..100).map(|n| call(n, Class::Standard, "many")).collect();
    calls.extend((100..103).map(|n| call(n, Class::Standard, "few")));
    let first: Vec<u64> = order(calls).into_iter().take(7).collect();
    assert_eq!(first.iter().filter(|ticket| **ticket >= 100).count(), 3);
}

#[test]
fn a_removed_call_is_not_picked_and_a_rejected_one_stays() {
    let mut queue = CallQueue::default();
    (0..3).for_each(|n| queue.push(call(n, Class::Standard, "o")));
    assert_eq!(queue.remove(0).map(|call| call.ticket), Some(0));
    assert_eq!(queue.pick(|call| call.ticket != 1).map(|call| call.ticket), Some(2));
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.pick(|_| true).map(|call| call.ticket), Some(1));
    assert!(queue.pick(|_| true).is_none());
}

#[test]
fn engine_priorities_keep_classes_apart() {
    assert!(engine_priority(Class::Interactive, u64::MAX) < engine_priority(Class::Standard, 0));
    assert!(engine_priority(Class::Standard, 0) < engine_priority(Class::Standard, 50_000));
}
