//! Tests of the limiter under load, without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const LIMIT: AccountLimit = AccountLimit { per_second: 60.0, burst: 60.0 };

/// How often a turn is tried before its program ends.
const ATTEMPTS_MAX: u32 = 3;

/// When the account begins to send 7.5 times its typical load, and for how long, in milliseconds.
const BURST_AT: u64 = 20_000;
const BURST_MS: u64 = 6_500;

/// A request on its way to the keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    at_ms: u64,
    program: u64,
    /// The requests of the program that remain, with this one.
    left: u32,
    attempt: u32,
    instance: usize,
}

/// The requests of an account that comes to its limit, and what became of them.
#[derive(Debug, Default)]
struct Outcome {
    granted_at: Vec<u64>,
    denied_at: Vec<u64>,
    completed: u64,
    failed: u64,
    wasted: u64,
    completed_requests: u64,
    retry_after_ms: Vec<u64>,
}

impl Outcome {
    fn granted_between(&self, from: u64, to: u64) -> usize {
        self.granted_at.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

fn ask(program: u64, limit: AccountLimit, version: u64) -> Ask {
    let program = Some(format!("program-{program}").into());
    Ask { account: "a".into(), version, limit, program, continues: false }
}

/// Runs programs of 1 to 8 requests, at typical load and then at 7.5 times that. Each program keeps
/// to one of `instances`, whose messages take up to 10 ms.
fn run(instances: usize, limit: AccountLimit, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limiter = Limiter::new(LimitTolerance::default(), Timestamp::from_millis(0));
    let delays: Vec<u64> = (0..instances).map(|_| rng.random_range(0..=10)).collect();
    let (mut outcome, mut queue) = (Outcome::default(), BinaryHeap::new());
    let mut lengths = std::collections::HashMap::new();
    let typical = limit.per_second / 1.6 / 4.5;
    for at_ms in 0..BURST_AT + BURST_MS {
        let rate = if at_ms < BURST_AT { typical } else { typical * 7.5 };
        let count = (rate / 1_000.0).floor() as usize
            + usize::from(rng.random_bool((rate / 1_000.0).fract()));
        for _ in 0..count {
            let (program, left) = (lengths.len() as u64, rng.random_range(1..=8));
            lengths.insert(program, left);
            let instance = rng.random_range(0..instances);
            queue.push(Reverse(Sent { at_ms, program, left, attempt: 1, instance }));
        }
    }
    while let Some(Reverse(sent)) = queue.pop() {
        let at_ms = sent.at_ms + delays[sent.instance];
        let now = Timestamp::from_millis(at_ms);
        match limiter.decide(&ask(sent.program, limit, 1), rng.random(), now) {
            Verdict::Granted => {
                outcome.granted_at.push(at_ms);
                let at_ms = at_ms + rng.random_range(150..1_000);
                let length = u64::from(lengths[&sent.program]);
                match sent.left {
                    1 => {
                        outcome.completed += 1;
                        outcome.completed_requests += length;
                    }
                    left => {
                        let next = Sent { at_ms, left: left - 1, attempt: 1, ..sent };
                        queue.push(Reverse(next));
                    }
                }
            }
            Verdict::Denied(delay) => {
                outcome.denied_at.push(at_ms);
                outcome.retry_after_ms.push(at_ms + delay.as_millis() as u64);
                if sent.attempt == ATTEMPTS_MAX {
                    outcome.failed += 1;
                    outcome.wasted += u64::from(lengths[&sent.program] - sent.left);
                } else {
                    let at_ms = at_ms + delay.as_millis() as u64 + 1;
                    let again = Sent { at_ms, attempt: sent.attempt + 1, ..sent };
                    queue.push(Reverse(again));
                }
            }
        }
    }
    outcome
}

/// Checks what is served in the burst against what the limit allows.
fn check_burst(instances: usize) {
    for (limit, seed) in [
        (LIMIT, 1),
        (AccountLimit { per_second: 8.0, burst: 10.0 }, 2),
        (AccountLimit { per_second: 150.0, burst: 30.0 }, 3),
        (AccountLimit { per_second: 20.0, burst: 60.0 }, 4),
    ] {
        let outcome = run(instances, limit, seed);
        let served = outcome.granted_between(BURST_AT, BURST_AT + BURST_MS) as f64;
        let allowed = limit.per_second * BURST_MS as f64 / 1_000.0 + limit.burst;
        println!("{instances} instances, {limit:?}: {served} of {allowed}");
        assert!(served >= 0.97 * allowed, "{served} of {allowed}, {limit:?}");
        let denied = outcome.denied_at.iter().filter(|at| (5_000..BURST_AT).contains(*at)).count();
        assert_eq!(denied, 0, "typical load is below the limit, {limit:?}");
    }
}

// Guards against shares of the limit that are too small where the load is uneven.
#[test]
fn a_hot_account_at_12_instances_gets_what_its_limit_allows() {
    check_burst(12);
}

#[test]
fn a_hot_account_at_80_instances_gets_what_its_limit_allows() {
    check_burst(80);
}

#[test]
fn a_hot_account_whose_callers_keep_to_one_instance_gets_what_its_limit_allows() {
    check_burst(1);
}

// Guards against an account at its limit that begins more programs than it can end: all of them
// would be cut off in the middle, and what was served of them would be worth nothing.
#[test]
fn whole_programs_finish_when_an_account_asks_for_more_programs_than_fit() {
    for seed in 0..10 {
        let outcome = run(12, LIMIT, seed);
        let granted = outcome.granted_at.len() as f64;
        let completed = outcome.completed_requests as f64;
        println!(
            "seed {seed}: {completed} of {granted} in whole programs, wasted {}",
            outcome.wasted
        );
        assert!(outcome.failed > 0, "the account is over its limit");
        assert!(completed >= 0.95 * granted, "{completed} of {granted}, seed {seed}");
    }
}

// Guards against refused callers that come back at the same time and are refused again.
#[test]
fn refused_callers_of_a_hot_account_come_back_spread_over_time() {
    let outcome = run(12, LIMIT, 7);
    let returns = &outcome.retry_after_ms;
    let bins = returns.iter().fold(std::collections::HashMap::new(), |mut bins, at| {
        *bins.entry(at / 100).or_insert(0usize) += 1;
        bins
    });
    let highest = bins.values().max().copied().unwrap_or_default();
    assert!(returns.len() > 200 && highest * 10 < returns.len(), "{highest} of {}", returns.len());
}

/// Sends a request every millisecond and returns when permits were granted.
fn granted(
    limiter: &mut Limiter,
    limit: AccountLimit,
    version: u64,
    ms: std::ops::Range<u64>,
) -> Vec<u64> {
    let is_granted = |at: &u64| {
        let request = Ask { program: None, ..ask(0, limit, version) };
        limiter.decide(&request, 0.5, Timestamp::from_millis(*at)) == Verdict::Granted
    };
    ms.filter(is_granted).collect()
}

// Guards against a lowered limit that does not hold while instances still know the former one.
#[test]
fn a_limit_that_is_lowered_under_load_holds_at_once_and_is_not_raised_by_an_old_version() {
    let (high, low) = (LIMIT, AccountLimit { per_second: 10.0, burst: 5.0 });
    let mut limiter = Limiter::new(LimitTolerance::default(), Timestamp::from_millis(0));
    granted(&mut limiter, high, 1, 0..10_000);
    let first = granted(&mut limiter, low, 2, 10_000..10_001);
    let later = granted(&mut limiter, high, 1, 10_001..15_000).len();
    assert!(first.len() + later <= 50 + 5 + 13, "{later}");
    // A raised limit is used.
    let raised = granted(&mut limiter, high, 3, 15_000..20_000).len();
    assert!(raised >= 297, "{raised}");
}

// Guards against a new keeper that grants what its predecessor granted a moment before.
#[test]
fn two_keepers_in_succession_grant_no_more_than_one() {
    let tolerance = LimitTolerance::default();
    let mut former = Limiter::new(tolerance, Timestamp::from_millis(0));
    let mut all = granted(&mut former, LIMIT, 1, 20_000..22_500);
    let mut new = Limiter::new(tolerance, Timestamp::from_millis(22_500));
    all.extend(granted(&mut new, LIMIT, 1, 22_500..25_000));
    let one_bucket = 5.0 * 60.0 + 60.0 + tolerance.half_excess(LIMIT);
    assert!(all.len() as f64 <= one_bucket, "{}", all.len());
}

// Guards against the programs of a lost keeper, which its successor takes for new ones.
#[test]
fn programs_go_on_after_the_keeper_is_lost() {
    let mut limiter = Limiter::new(LimitTolerance::default(), Timestamp::from_millis(0));
    // The bucket is less than half full; there is a token for every request of a known program.
    let verdicts = (0..60)
        .map(|at| limiter.decide(&ask(at, LIMIT, 1), 0.5, Timestamp::from_millis(100 + at * 17)));
    let denied = verdicts.filter(|verdict| *verdict != Verdict::Granted).count();
    assert_eq!(denied, 0);
}

// Guards against a caller that is charged twice because its first request was refused later.
#[test]
fn a_returned_permit_can_be_granted_again() {
    let mut limiter = Limiter::new(LimitTolerance::default(), Timestamp::from_millis(0));
    granted(&mut limiter, LIMIT, 1, 0..10_000);
    let now = Timestamp::from_millis(10_000);
    let request = Ask { program: None, ..ask(0, LIMIT, 1) };
    while limiter.decide(&request, 0.5, now) == Verdict::Granted {}
    limiter.take_back("a", 1, now);
    assert_eq!(limiter.decide(&request, 0.5, now), Verdict::Granted);
    assert!(matches!(limiter.decide(&request, 0.5, now), Verdict::Denied(_)));
}

// Guards against a keeper whose memory grows with the names and programs that callers make up.
#[test]
fn accounts_and_programs_are_bounded_and_idle_programs_are_forgotten() {
    let limit = AccountLimit { per_second: 1e9, burst: 1e9 };
    let mut limiter = Limiter::new(LimitTolerance::default(), Timestamp::from_millis(0));
    let now = Timestamp::from_millis(10_000);
    for program in 0..400_000 {
        limiter.decide(&ask(program, limit, 1), 0.5, now);
    }
    assert!(limiter.programs.len() <= 2 * 170_000, "{}", limiter.programs.len());
    let now = now + Duration::from_secs(61);
    assert!(!limiter.programs.contains("a", "program-399999", now));
    assert_eq!(limiter.programs.len(), 0);
    for account in 0..5_000 {
        let request = Ask { account: format!("account-{account}").into(), ..ask(0, limit, 1) };
        limiter.decide(&request, 0.5, now);
    }
    assert_eq!(limiter.accounts.len(), ACCOUNTS_MAX);
    // A bucket that replaces a dropped one starts empty, as the dropped one may have been used.
    let low = AccountLimit { per_second: 1.0, burst: 50.0 };
    let request = Ask { account: "new".into(), ..ask(0, low, 1) };
    assert!(matches!(limiter.decide(&request, 0.5, now), Verdict::Denied(_)));
}
