//! Tests of the equal shares.

use crate::clock::Timestamp;
use crate::endpoint_limits::own_share::OwnShares;
use crate::test_support::stated_limit;

/// Counts the requests that `instances` instances, each of which always has one to send, send by
/// their own shares in the given time.
fn sent(instances: usize, per_second: f64, millis: u64) -> usize {
    let limit = stated_limit("a", 1, per_second, 0);
    let mut shares: Vec<OwnShares> =
        (0..instances).map(|_| OwnShares::new(Timestamp::from_millis(0))).collect();
    let mut sent = 0;
    for now in (0..millis).step_by(10).map(Timestamp::from_millis) {
        for (number, shares) in shares.iter_mut().enumerate() {
            sent += usize::from(shares.take(&format!("i{number}"), &limit, instances, now));
        }
    }
    sent
}

// Guards against a limit that is exceeded because many instances lose the responsible core
// instance at the same moment and each sends a request at once.
#[test]
fn the_equal_shares_of_few_and_many_instances_add_up_to_the_limit() {
    for instances in [1, 9, 176, 360] {
        for per_second in [3.0, 10.0, 50.0] {
            let allowed = (per_second * 4.0 * 1.5) as usize + 5;
            let got = sent(instances, per_second, 4_000);
            assert!(got <= allowed, "{got} of {allowed}: {instances} instances, {per_second}/s");
            assert!(got >= allowed / 3, "{got}: {instances} instances, {per_second}/s");
        }
    }
}
