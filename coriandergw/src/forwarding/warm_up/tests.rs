//! Load pattern: callers press on while all instances start again.

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
fn a_warm_instance_refuses_at_once() {
    let started = Instant::now();
    let warm_up = WarmUp::new(started, WARM_UP);
    assert_eq!(warm_up.limit(Duration::from_secs(5), started + WARM_UP), None);
    assert_eq!(warm_up.limit(Duration::ZERO, started), None);
}

#[test]
fn a_caller_that_is_refused_after_the_wait_still_has_most_of_its_time() {
    let started = Instant::now();
    let warm_up = WarmUp::new(started, Duration::from_secs(60));
    let time = Duration::from_millis(900);
    let waited = warm_up.limit(time, started).expect("it waits") - started;
    assert!(time - waited >= time * 6 / 10);
}
