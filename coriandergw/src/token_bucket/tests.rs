//! Tests of the token bucket.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::token_bucket::TokenBucket;

const AT: fn(u64) -> Timestamp = Timestamp::from_millis;

#[test]
fn tokens_refill_at_the_rate_up_to_the_maximum() {
    let mut bucket = TokenBucket::new(2.0, 0.5, AT(0));
    let taken: Vec<bool> = [0, 0, 0, 1_000, 2_000, 2_001].map(|ms| bucket.take(AT(ms))).to_vec();
    assert_eq!(taken, [true, true, false, false, true, false]);
    assert!(bucket.take(AT(60_000)) && bucket.take(AT(60_000)) && !bucket.take(AT(60_000)));
}

#[test]
fn an_empty_bucket_states_when_the_next_token_is_there() {
    let mut bucket = TokenBucket::new(1.0, 4.0, AT(0)).with_tokens(0.0);
    assert_eq!(bucket.next_token_in(AT(0)), Duration::from_millis(250));
    assert_eq!(bucket.next_token_in(AT(100)), Duration::from_millis(150));
    assert!(!bucket.take(AT(249)));
    assert!(bucket.take(AT(250)));
    assert_eq!(bucket.next_token_in(AT(250)), Duration::from_millis(250));
}

#[test]
fn a_new_rate_holds_from_its_change_on() {
    let mut bucket = TokenBucket::new(10.0, 1.0, AT(0)).with_tokens(0.0);
    bucket.set_rate(2.0, 10.0, AT(4_000));
    assert!(bucket.take(AT(4_000)) && bucket.take(AT(4_000)) && !bucket.take(AT(4_000)));
    assert!(bucket.take(AT(4_100)));
}
