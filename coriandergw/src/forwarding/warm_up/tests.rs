//! Guards against callers that run out of retries while all instances restart at the same time.

use super::*;

#[test]
fn a_request_waits_while_the_instance_warms_up() {
    let started = Instant::now();
    let warm_up = WarmUp::new(started, WARM_UP);
    let now = started + Duration::from_millis(100);
    let limit = warm_up.limit(Duration::from_millis(1_200), now);
    assert_eq!(limit, Some(now + Duration::from_millis(400)));
    assert_eq!(warm_up.limit(Duration::from_secs(60), now), Some(started + WARM_UP));
}

#[test]
fn a_request_does_not_wait_after_the_warm_up() {
    let started = Instant::now();
    let warm_up = WarmUp::new(started, WARM_UP);
    assert_eq!(warm_up.limit(Duration::from_secs(5), started + WARM_UP), None);
    assert_eq!(warm_up.limit(Duration::ZERO, started), None);
}

#[test]
fn a_caller_keeps_most_of_its_time_after_the_wait() {
    let started = Instant::now();
    let warm_up = WarmUp::new(started, Duration::from_secs(60));
    let time = Duration::from_millis(900);
    let waited = warm_up.limit(time, started).expect("the request waits") - started;
    assert!(time - waited >= time * 6 / 10);
}
