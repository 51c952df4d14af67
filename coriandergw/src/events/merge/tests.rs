use crate::events::Event;
use crate::events::Subject;
use crate::events::merge::identity;
use crate::events::merge::merge_causally;

fn event(instance: &str, sequence: u64, wall_ms: u64, cause: Option<&str>) -> Event {
    Event {
        number: 100,
        instance: instance.try_into().expect("a valid name"),
        sequence,
        wall_ms,
        monotonic_us: 0,
        subject: Subject { cause: cause.map(str::to_owned), ..Subject::default() },
        message: String::new(),
    }
}

fn order(events: Vec<Event>) -> Vec<String> {
    merge_causally(events).iter().map(identity).collect()
}

#[test]
fn an_effect_follows_its_cause_in_spite_of_clocks() {
    let events = vec![event("b", 0, 100, Some("a#0")), event("a", 0, 300, None)];
    assert_eq!(order(events), ["a#0", "b#0"]);
}

#[test]
fn one_process_keeps_its_own_order() {
    let events = vec![event("a", 1, 50, None), event("a", 0, 70, None), event("b", 0, 60, None)];
    assert_eq!(order(events), ["b#0", "a#0", "a#1"]);
}

#[test]
fn a_missing_or_circular_cause_loses_no_event() {
    let events = vec![event("a", 0, 2, Some("b#0")), event("b", 0, 1, Some("a#0"))];
    assert_eq!(order(events), ["b#0", "a#0"]);
    assert_eq!(order(vec![event("a", 0, 2, Some("z#9"))]), ["a#0"]);
}
