use super::*;

fn group(size: usize) -> Vec<EndpointName> {
    (0..size).map(|n| format!("e{n}").try_into().unwrap()).collect()
}

fn fail(
    tracker: &mut HealthTracker,
    name: &EndpointName,
    outcome: Outcome,
    times: u32,
    at_ms: u64,
) {
    let group = group(9);
    for _ in 0..times {
        tracker.record(name, outcome, &group, Timestamp::from_millis(at_ms));
    }
}

#[test]
fn each_failure_lowers_the_weight_and_a_hang_lowers_it_more_than_an_error() {
    let (names, now) = (group(9), Timestamp::from_millis(1));
    let mut tracker = HealthTracker::default();
    fail(&mut tracker, &names[0], Outcome::Error, 1, 1);
    fail(&mut tracker, &names[1], Outcome::Hung, 1, 1);
    let weights: Vec<f64> = names.iter().map(|name| tracker.weight(name, now)).collect();
    assert!(weights[1] < weights[0] && weights[0] < weights[2]);
    assert!(!tracker.is_ejected(&names[1], now));
    fail(&mut tracker, &names[1], Outcome::Hung, 1, 1);
    assert!(tracker.is_ejected(&names[1], now));
}

#[test]
fn an_endpoint_that_fails_its_trial_is_ejected_for_longer() {
    let names = group(9);
    let mut tracker = HealthTracker::default();
    fail(&mut tracker, &names[0], Outcome::Hung, 2, 0);
    assert!(!tracker.is_ejected(&names[0], Timestamp::from_millis(1_001)));
    fail(&mut tracker, &names[0], Outcome::Error, 1, 1_001);
    assert!(tracker.is_ejected(&names[0], Timestamp::from_millis(2_900)));
    assert!(!tracker.is_ejected(&names[0], Timestamp::from_millis(3_100)));
    for _ in 0..10 {
        tracker.record(&names[0], Outcome::Answered, &names, Timestamp::from_millis(3_100));
    }
    assert_eq!(tracker.weight(&names[0], Timestamp::from_millis(3_100)), 1.0);
}

#[test]
fn at_most_the_maximum_share_is_ejected() {
    let (names, now) = (group(9), Timestamp::from_millis(1));
    let mut tracker = HealthTracker::default();
    for name in &names {
        fail(&mut tracker, name, Outcome::Hung, 5, 1);
    }
    let ejected = names.iter().filter(|name| tracker.is_ejected(name, now)).count();
    assert_eq!(ejected, 3);
    assert!(
        names
            .iter()
            .filter(|name| !tracker.is_ejected(name, now))
            .all(|n| tracker.weight(n, now) > 0.0)
    );
}
