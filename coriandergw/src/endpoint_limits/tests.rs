//! Tests of limits as they are read and sent.

use crate::clock::Timestamp;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::endpoint_limits::generated as raw;
use crate::endpoint_limits::limiter::Verdict;
use crate::test_support::stated_limit;

#[test]
fn a_limit_is_neither_negative_nor_infinite() {
    for value in [-0.1, f64::NAN, f64::INFINITY] {
        assert!(RateLimit::try_from(value).is_err(), "{value}");
    }
    assert_eq!(RateLimit::try_from(2.5).expect("a limit").permits_per_second(), 2.5);
}

// Guards against an endpoint that named no room at all and can never name a higher limit, since it
// gets no request that it could answer.
#[test]
fn an_endpoint_with_a_limit_of_zero_still_gets_a_request_now_and_then() {
    assert!(RateLimit::try_from(0.0).expect("a limit").permits_per_second() > 0.0);
}

#[test]
fn a_limit_is_sent_with_its_age_since_clocks_differ() {
    let sent = stated_limit("a", 5, 2.5, 1_000).encode(Timestamp::from_millis(1_300));
    let received = StatedLimit::decode(sent, Timestamp::from_millis(90_000)).expect("valid");
    assert_eq!(received, stated_limit("a", 5, 2.5, 89_700));
    assert!(StatedLimit::decode("no message".into(), Timestamp::from_millis(0)).is_err());
}

#[test]
fn verdicts_survive_the_wire_and_waits_are_rounded_up() {
    let millis = std::time::Duration::from_millis;
    let sent = |verdict| Verdict::from(raw::PermitAnswer::from(verdict));
    assert_eq!(sent(Verdict::Granted(0)), Verdict::Granted(0));
    assert_eq!(sent(Verdict::Granted(3)), Verdict::Granted(3));
    assert_eq!(sent(Verdict::Denied(millis(70))), Verdict::Denied(millis(71)));
}
