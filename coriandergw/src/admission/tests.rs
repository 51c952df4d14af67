use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::clock::Timestamp;
use crate::result_code::ResultCode;

const SECOND: Duration = Duration::from_secs(1);

fn observe(limit: &mut ConcurrencyLimit, ratio: f64, from_second: u64, times: u64) {
    for n in from_second..from_second + times {
        limit.observe(ratio, limit.get(), SECOND, Timestamp::from_millis(n * 1_500));
    }
}

#[test]
fn the_limit_falls_with_rising_latency_and_recovers_to_the_capacity() {
    let mut limit = ConcurrencyLimit::new(16);
    observe(&mut limit, 1.0, 1, 20);
    assert_eq!(limit.get(), 16);
    observe(&mut limit, 10.0, 30, 5);
    let lowered = limit.get();
    assert!(lowered < 10, "{lowered}");
    observe(&mut limit, 1.0, 50, 200);
    assert_eq!(limit.get(), 16);
}

#[test]
fn the_limit_is_lowered_only_once_for_concurrent_calls() {
    let mut limit = ConcurrencyLimit::new(16);
    limit.observe(1.0, 16, SECOND, Timestamp::from_millis(5_000));
    for _ in 0..16 {
        limit.observe(10.0, 16, SECOND, Timestamp::from_millis(9_000));
    }
    assert_eq!(limit.get(), 13);
    (0..100).for_each(|_| limit.lower(Timestamp::from_millis(9_500)));
    assert_eq!(limit.get(), 1);
}

#[test]
fn durations_that_vary_without_load_do_not_lower_the_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for duration in [Duration::from_millis(1), SECOND] {
        let mut limit = ConcurrencyLimit::new(64);
        let mut lowest = limit.get();
        let mut now = Timestamp::from_millis(1);
        for _ in 0..5_000 {
            let ratio = if rng.random_bool(0.1) { 5.0 } else { rng.random_range(0.7..1.3) };
            now = now + duration / 64;
            limit.observe(ratio, limit.get(), duration.mul_f64(ratio), now);
            lowest = lowest.min(limit.get());
        }
        assert!(lowest >= 60, "{lowest} at {duration:?}");
    }
}

#[test]
fn an_entry_is_limited_to_its_share() {
    assert_eq!(instance_share(10, 4), 2);
    assert_eq!(instance_share(2, 12), 1);
    let entry = "e".try_into().unwrap();
    let mut counts = EntryCallCounts::default();
    assert!(counts.acquire(&entry, 1));
    assert!(!counts.acquire(&entry, 1));
    counts.release(&entry);
    assert!(counts.acquire(&entry, 1));
}

#[test]
fn retries_are_limited_to_a_tenth_of_the_calls() {
    let mut budget = RetryBudget::default();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((98..=101).contains(&retries), "{retries}");
    assert!(backoff(0, 0.0) < backoff(0, 1.0) && backoff(0, 1.0) < backoff(3, 0.5));
    assert_eq!(backoff(40, 0.5), Duration::from_secs(2));
}

fn request(expected_wait: Duration) -> AdmissionRequest {
    AdmissionRequest { expected_wait, bound: SECOND * 2, under_way: true, deadline: None }
}

#[test]
fn a_call_that_would_wait_too_long_is_refused_as_not_run() {
    let now = Timestamp::from_millis(1_000);
    assert_eq!(admit(request(SECOND * 2), now), Ok(()));
    let refusal = admit(request(SECOND * 5), now).unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::Overloaded, true));
    assert_eq!(refusal.retry_after, Some(SECOND * 3));
    let new = AdmissionRequest { under_way: false, ..request(SECOND * 2) };
    assert!(admit(new, now).is_err());
    let deadline = Some(Timestamp::from_millis(1_500));
    assert!(admit(AdmissionRequest { deadline, ..request(SECOND) }, now).is_err());
    let missed = Some(Timestamp::from_millis(500));
    assert_eq!(admit(AdmissionRequest { deadline: missed, ..request(SECOND) }, now), Ok(()));
}

#[test]
fn the_expected_wait_follows_the_rate_of_starts() {
    let mut estimate = WaitEstimate::default();
    assert_eq!(estimate.wait(100, 1.0), Duration::ZERO);
    for n in 0..200 {
        estimate.started(true, Timestamp::from_millis(n * 100));
    }
    let wait = estimate.wait(10, 0.5);
    assert!((wait.as_secs_f64() - 2.0).abs() < 0.01, "{wait:?}");
}
