use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::clock::Timestamp;
use crate::ids::EndpointName;

const DEMAND: CallDemand = CallDemand { prompt_tokens: 4_000, answer_tokens: 100 };

fn name(raw: &str) -> EndpointName {
    raw.try_into().unwrap()
}

fn key(program: &str) -> PrefixKey {
    PrefixKey::Program(program.try_into().unwrap())
}

/// Builds an idle candidate that has not cached the prefix.
fn candidate(endpoint: &str) -> Candidate {
    Candidate {
        endpoint: name(endpoint),
        has_room: true,
        load: 0,
        capacity: 4,
        wait: Duration::ZERO,
        cached_tokens: 0,
        rates: Rates::default(),
        transfer: Duration::ZERO,
        weight: 1.0,
    }
}

#[test]
fn a_call_waits_for_the_holder_of_its_prefix_while_that_is_cheaper() {
    let holder = |wait_ms| Candidate {
        has_room: wait_ms == 0,
        wait: Duration::from_millis(wait_ms),
        cached_tokens: 4_000,
        ..candidate("holder")
    };
    let place =
        |wait_ms| ExpectedFinish::default().place(DEMAND, &[candidate("idle"), holder(wait_ms)]);
    assert_eq!(place(0), PlacementDecision::Send(1));
    assert_eq!(place(500), PlacementDecision::WaitFor(1));
    assert_eq!(place(5_000), PlacementDecision::Send(0));
}

#[test]
fn unhealthy_and_slow_endpoints_are_avoided_and_those_of_weight_0_get_no_calls() {
    let unhealthy = Candidate { weight: 0.5, ..candidate("unhealthy") };
    let slow_rates = Rates { decode_seconds_per_token: 0.2, ..Rates::default() };
    let slow = Candidate { rates: slow_rates, ..candidate("slow") };
    let healthy = candidate("healthy");
    let busy = Candidate { load: 3, ..candidate("busy") };
    let pair = [busy, healthy.clone()];
    assert_eq!(ExpectedFinish::default().place(DEMAND, &pair), PlacementDecision::Send(1));
    assert_eq!(
        ExpectedFinish::default().place(DEMAND, &[unhealthy, slow, healthy]),
        PlacementDecision::Send(2)
    );
    let excluded = Candidate { weight: 0.0, ..candidate("excluded") };
    assert_eq!(ExpectedFinish::default().place(DEMAND, &[excluded]), PlacementDecision::NoRoom);
}

#[test]
fn rates_are_learned_from_answers() {
    let mut estimator = RateEstimator::default();
    let sample = RateSample {
        uncached_tokens: 1_000,
        answer_tokens: 101,
        first_token: Duration::from_millis(1_010),
        total: Duration::from_millis(6_010),
    };
    for _ in 0..100 {
        estimator.learn(&name("a"), sample);
    }
    let rates = estimator.rates(&name("a"));
    assert!((rates.prefill_seconds_per_token - 0.001).abs() < 0.000_1);
    assert!((rates.decode_seconds_per_token - 0.05).abs() < 0.001);
    assert!((estimator.rates(&name("unseen")).decode_seconds_per_token - 0.05).abs() < 0.001);
}

/// Returns a sample of a busy engine: prefill takes 50 µs per prompt token, and 1 in 10 calls waits
/// in the engine's queue.
fn busy_sample(rng: &mut ChaCha8Rng) -> RateSample {
    let is_first_call = rng.random_bool(0.15);
    let uncached_tokens = rng.random_range(60..400) + if is_first_call { 1_100 } else { 0 };
    let wait = if rng.random_bool(0.1) { 200_000 } else { rng.random_range(0..20_000) };
    let first_token = Duration::from_micros(8_000 + wait + 50 * uncached_tokens);
    let answer_tokens = rng.random_range(10..50);
    let total = first_token + Duration::from_millis(10) * (answer_tokens as u32 - 1);
    RateSample { uncached_tokens, answer_tokens, first_token, total }
}

#[test]
fn random_differences_of_similar_engines_do_not_move_a_call_from_its_prefix() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut estimator = RateEstimator::default();
    let names: Vec<EndpointName> = (0..12).map(|n| name(&format!("e{n}"))).collect();
    let demand = CallDemand { prompt_tokens: 1_050, answer_tokens: 30 };
    let mut moved = 0;
    for n in 0..2_000 {
        estimator.learn(&names[rng.random_range(0..12)], busy_sample(&mut rng));
        let at = |one: &EndpointName, load, cached_tokens| {
            let idle = candidate(&one.to_string());
            Candidate { load, capacity: 8, cached_tokens, rates: estimator.rates(one), ..idle }
        };
        let mut candidates: Vec<Candidate> = names.iter().map(|one| at(one, 0, 0)).collect();
        candidates[n % 12] = at(&names[n % 12], 1, 850);
        let stays =
            ExpectedFinish::default().place(demand, &candidates) == PlacementDecision::Send(n % 12);
        moved += usize::from(n > 100 && !stays);
    }
    assert_eq!(moved, 0);
}

fn evicted(sequence: u64, program: &str, tokens: u64) -> CacheEvent {
    let program = program.try_into().unwrap();
    CacheEvent { sequence, change: CacheChange::Evicted, program, tokens }
}

#[test]
fn an_eviction_lowers_the_cached_tokens_unless_the_prefix_was_used_since() {
    let at = Timestamp::from_millis;
    let mut index = PrefixIndex::default();
    index.record(key("old"), &name("a"), 1_000, at(1));
    index.apply(&name("a"), &[], 0, at(10));
    index.record(key("new"), &name("a"), 1_000, at(11));
    index.apply(&name("a"), &[evicted(0, "old", 600), evicted(1, "new", 600)], 2, at(20));
    assert_eq!(index.cached_tokens(&key("old"), &name("a")), 400);
    assert_eq!(index.cached_tokens(&key("new"), &name("a")), 1_000);
    assert_eq!(index.computed_tokens(&key("old")), 1_000);
}

#[test]
fn a_gap_lowers_only_the_older_prefixes_of_that_engine() {
    let at = Timestamp::from_millis;
    let mut index = PrefixIndex::default();
    index.record(key("p"), &name("a"), 1_000, at(1));
    index.record(key("p"), &name("b"), 1_000, at(1));
    assert_eq!(index.apply(&name("a"), &[evicted(5, "other", 1)], 5, at(10)), 0);
    index.record(key("q"), &name("a"), 1_000, at(16));
    assert_eq!(index.apply(&name("a"), &[evicted(6, "other", 1)], 6, at(15)), 0);
    assert_eq!(index.cached_tokens(&key("p"), &name("a")), 1_000);
    assert_eq!(index.apply(&name("a"), &[evicted(8, "other", 1)], 8, at(20)), 1);
    assert_eq!(index.cached_tokens(&key("p"), &name("a")), 500);
    assert_eq!(index.cached_tokens(&key("p"), &name("b")), 1_000);
    assert_eq!(index.cached_tokens(&key("q"), &name("a")), 1_000);
}

#[test]
fn removing_a_program_returns_the_engines_that_hold_its_prefix() {
    let mut index = PrefixIndex::default();
    index.record(key("p"), &name("a"), 10, Timestamp(1));
    index.record(key("p"), &name("b"), 10, Timestamp(2));
    assert_eq!(index.remove(&key("p")), [name("a"), name("b")]);
    assert_eq!(index.holders(&key("p")).count(), 0);
}
