use super::*;

fn group(size: usize) -> Vec<EndpointName> {
    (0..size).map(|n| format!("e{n}").try_into().unwrap()).collect()
}

fn fail(book: &mut HealthTracker, name: &EndpointName, outcome: Outcome, times: u32, at_ms: u64) {
    let group = group(9);
    for _ in 0..times {
        book.record(name, outcome, &group, Timestamp::from_millis(at_ms));
    }
}

#[test]
fn weight_falls_by_degrees_and_a_hang_weighs_more_than_an_error() {
    let (names, now) = (group(9), Timestamp::from_millis(1));
    let mut book = HealthTracker::default();
    fail(&mut book, &names[0], Outcome::Error, 1, 1);
    fail(&mut book, &names[1], Outcome::Hung, 1, 1);
    let weights: Vec<f64> = names.iter().map(|name| book.weight(name, now)).collect();
    assert!(weights[1] < weights[0] && weights[0] < weights[2]);
    assert!(!book.is_ejected(&names[1], now));
    fail(&mut book, &names[1], Outcome::Hung, 1, 1);
    assert!(book.is_ejected(&names[1], now));
}

#[test]
fn an_endpoint_that_fails_its_trial_is_out_for_longer() {
    let names = group(9);
    let mut book = HealthTracker::default();
    fail(&mut book, &names[0], Outcome::Hung, 2, 0);
    assert!(!book.is_ejected(&names[0], Timestamp::from_millis(1_001)));
    fail(&mut book, &names[0], Outcome::Error, 1, 1_001);
    assert!(book.is_ejected(&names[0], Timestamp::from_millis(2_900)));
    assert!(!book.is_ejected(&names[0], Timestamp::from_millis(3_100)));
    for _ in 0..10 {
        book.record(&names[0], Outcome::Answered, &names, Timestamp::from_millis(3_100));
    }
    assert_eq!(book.weight(&names[0], Timestamp::from_millis(3_100)), 1.0);
}

#[test]
fn never_more_than_the_stated_share_is_out() {
    let (names, now) = (group(9), Timestamp::from_millis(1));
    let mut book = HealthTracker::default();
    for name in &names {
        fail(&mut book, name, Outcome::Hung, 5, 1);
    }
    let out = names.iter().filter(|name| book.is_ejected(name, now)).count();
    assert_eq!(out, 3);
    assert!(
        names.iter().filter(|name| !book.is_ejected(name, now)).all(|n| book.weight(n, now) > 0.0)
    );
}
