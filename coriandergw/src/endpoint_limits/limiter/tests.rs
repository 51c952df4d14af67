//! Tests of the limiter under load, without a network.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Timestamp;
use crate::endpoint_limits::limiter::Limiter;
use crate::endpoint_limits::limiter::RETRY_AFTER_MAX;
use crate::endpoint_limits::limiter::Verdict;
use crate::test_support::stated_limit;

/// The requests of a window of four seconds that a limit allows: one and a half times what it
/// grants, and five.
fn allowed(per_second: f64) -> usize {
    (per_second * 4.0 * 1.5) as usize + 5
}

/// Returns the most of the given times, in milliseconds, that lie within four seconds.
fn most_in_a_window(times: &[u64]) -> usize {
    let count = |from: u64| times.iter().filter(|at| (from..from + 4_000).contains(*at)).count();
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

fn models() -> Arc<str> {
    "models".into()
}

// The load: requests of all entry instances for an endpoint in need, first few, then a burst that
// moves there, then a limit that is halved.
#[test]
fn a_burst_of_all_instances_at_an_endpoint_in_need_keeps_its_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(25);
    for per_second in [0.5, 3.1, 20.0, 200.0] {
        let mut limiter = Limiter::default();
        let (mut before, mut after) = (Vec::new(), Vec::new());
        for at in 0..24_000 {
            let chance = if at < 8_000 { per_second / 2_000.0 } else { 0.9 };
            if !rng.random_bool(chance) {
                continue;
            }
            let (limit, granted) = match at < 16_000 {
                true => (stated_limit("a", 1, per_second, 1), &mut before),
                false => (stated_limit("a", 1, per_second / 2.0, 16_000), &mut after),
            };
            let now = Timestamp::from_millis(at);
            if limiter.decide(&models(), &[limit], false, now) == Verdict::Granted(0) {
                granted.push(at);
            }
        }
        assert!(most_in_a_window(&before) <= allowed(per_second), "{per_second}/s");
        assert!(most_in_a_window(&after) <= allowed(per_second / 2.0), "{per_second}/s, halved");
        // The limit is used: at least nine tenths of it in the eight seconds after the change.
        assert!(after.len() as f64 >= per_second / 2.0 * 8.0 * 0.9 - 1.0, "{per_second}/s");
    }
}

// Guards against twice the limit while some instances already ask another core instance.
#[test]
fn a_hand_over_between_core_instances_keeps_the_limit() {
    for per_second in [0.5, 3.1, 20.0] {
        let limit = stated_limit("a", 1, per_second, 0);
        let mut limiters = [Limiter::default(), Limiter::default()];
        let mut granted = Vec::new();
        for at in 0..12_000 {
            let asked = match at {
                0..5_000 => 0,
                // Half of the instances have noticed the change.
                5_000..6_000 => (at % 2) as usize,
                _ => 1,
            };
            let now = Timestamp::from_millis(at);
            let verdict =
                limiters[asked].decide(&models(), std::slice::from_ref(&limit), false, now);
            if verdict == Verdict::Granted(0) {
                granted.push(at);
            }
        }
        assert!(most_in_a_window(&granted) <= allowed(per_second), "{per_second}/s");
    }
}

#[test]
fn a_request_goes_to_the_first_candidate_with_room() {
    let mut limiter = Limiter::default();
    let candidates = [stated_limit("a", 1, 2.0, 0), stated_limit("b", 1, 2.0, 0)];
    let decide = |limiter: &mut Limiter, at| {
        limiter.decide(&models(), &candidates, false, Timestamp::from_millis(at))
    };
    assert!(matches!(decide(&mut limiter, 0), Verdict::Denied(_)), "the buckets start empty");
    assert_eq!(decide(&mut limiter, 1_000), Verdict::Granted(0));
    assert_eq!(decide(&mut limiter, 1_000), Verdict::Granted(1));
    assert!(matches!(decide(&mut limiter, 1_000), Verdict::Denied(_)));
}

// Guards against callers that are all told to come back for the same permit.
#[test]
fn callers_that_are_refused_are_told_to_come_back_one_after_the_other() {
    let mut limiter = Limiter::default();
    let limit = [stated_limit("a", 1, 4.0, 0)];
    let now = Timestamp::from_millis(0);
    let mut delays = Vec::new();
    for _ in 0..40 {
        match limiter.decide(&models(), &limit, false, now) {
            Verdict::Denied(delay) => delays.push(delay),
            granted => panic!("{granted:?} from an empty bucket"),
        }
    }
    let millis = Duration::from_millis;
    assert_eq!(delays[..3], [millis(250), millis(500), millis(750)]);
    assert!(delays.is_sorted());
    assert_eq!(delays.last(), Some(&RETRY_AFTER_MAX));
    // Later refusals do not extend what earlier ones were told.
    let later = limiter.decide(&models(), &limit, false, Timestamp::from_millis(200));
    assert!(matches!(later, Verdict::Denied(delay) if delay <= RETRY_AFTER_MAX));
}

#[test]
fn the_newest_statement_of_the_latest_incarnation_counts() {
    let mut limiter = Limiter::default();
    let at = Timestamp::from_millis;
    let newer = [stated_limit("a", 1, 10.0, 900)];
    assert!(matches!(limiter.decide(&models(), &newer, false, at(1_000)), Verdict::Denied(_)));
    // An instance that has an older statement is granted what the newer one allows.
    let older = [stated_limit("a", 1, 0.5, 100)];
    assert_eq!(limiter.decide(&models(), &older, false, at(1_100)), Verdict::Granted(0));
    // A later incarnation starts anew, and the earlier one gets nothing any more.
    let later = [stated_limit("a", 2, 10.0, 1_200)];
    assert!(matches!(limiter.decide(&models(), &later, false, at(1_200)), Verdict::Denied(_)));
    assert!(matches!(limiter.decide(&models(), &newer, false, at(1_400)), Verdict::Denied(_)));
    assert_eq!(limiter.decide(&models(), &later, false, at(1_400)), Verdict::Granted(0));
}

// Guards against a time to come back that grows with requests that went elsewhere.
#[test]
fn a_request_with_an_alternative_takes_no_place_among_those_that_come_back() {
    let mut limiter = Limiter::default();
    let limit = [stated_limit("a", 1, 4.0, 0)];
    let now = Timestamp::from_millis(0);
    let millis = Duration::from_millis;
    for _ in 0..20 {
        let elsewhere = limiter.decide(&models(), &limit, true, now);
        assert_eq!(elsewhere, Verdict::Denied(millis(250)));
    }
    assert_eq!(limiter.decide(&models(), &limit, false, now), Verdict::Denied(millis(250)));
    assert_eq!(limiter.decide(&models(), &limit, false, now), Verdict::Denied(millis(500)));
}
