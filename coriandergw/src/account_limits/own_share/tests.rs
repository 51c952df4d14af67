//! Tests of the own shares of all instances together.

use super::*;

// Guards against own shares that all instances use at the same time: none of them hears of the
// others, and the keeper may grant the rest of what is tolerated.
#[test]
fn the_own_shares_of_all_instances_fit_into_half_of_the_tolerated_excess() {
    let tolerance = LimitTolerance::default();
    let account: Arc<str> = "a".into();
    for (per_second, burst) in [(0.2, 0.0), (5.0, 10.0), (100.0, 100.0), (2_000.0, 500.0)] {
        let limit = AccountLimit { per_second, burst };
        for instances in [1, 12, 80, 360] {
            let mut shares: Vec<OwnShares> = (0..instances).map(|_| OwnShares::default()).collect();
            let (mut most, mut sum, mut last) = (0, 0, 0);
            for window in 0..100 {
                let now = Timestamp::from_millis(window * 5_000 + 7);
                let mut used = 0;
                for (at, shares) in shares.iter_mut().enumerate() {
                    let own = format!("instance-{at}");
                    while shares.take(&own, &account, limit, &tolerance, instances, now) {
                        used += 1;
                    }
                }
                // Any five seconds overlap two windows of the clock of an instance.
                most = most.max(last + used);
                (last, sum) = (used, sum + used);
            }
            let bound = tolerance.half_excess(limit);
            assert!(f64::from(most) <= bound, "{most} of {bound}, {per_second}/s, {instances}");
            assert!(sum > 0, "{per_second}/s, {instances}");
        }
    }
}
