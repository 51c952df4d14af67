//! Tests of departures: what they cover, and which ones are kept.

use super::*;
use crate::test_support::incarnation;

fn departure(state: EndpointState, started_ms: u64, sequence: u64) -> Departure {
    Departure { endpoint: incarnation(started_ms).key(), started_ms, state, sequence }
}

// Guards against a late announcement that takes a departure back, and against a departure that keeps
// a later incarnation out of use.
#[test]
fn a_departure_holds_for_its_incarnation_and_a_drain_until_a_later_announcement() {
    let cases = [
        (EndpointState::Gone, 1, 9, EndpointState::Gone),
        (EndpointState::Gone, 2, 9, EndpointState::Gone),
        (EndpointState::Gone, 3, 1, EndpointState::Ready),
        (EndpointState::Draining, 2, 5, EndpointState::Draining),
        (EndpointState::Draining, 2, 6, EndpointState::Ready),
        (EndpointState::Draining, 3, 1, EndpointState::Ready),
    ];
    for (state, started_ms, sequence, expected) in cases {
        let mut record = EndpointRecord { sequence, ..incarnation(started_ms) };
        departure(state, 2, 5).apply_to(&mut record);
        assert_eq!(record.state, expected, "{state:?} started_ms={started_ms} sequence={sequence}");
    }
}

#[test]
fn a_departure_for_good_replaces_a_drain_and_not_the_other_way_round() {
    let gone = departure(EndpointState::Gone, 2, 5);
    assert!(gone.supersedes(&departure(EndpointState::Draining, 2, 7)));
    assert!(!departure(EndpointState::Draining, 2, 7).supersedes(&gone));
    assert!(departure(EndpointState::Draining, 3, 1).supersedes(&gone));
    assert!(!gone.supersedes(&gone));
}

// Guards against memory that fills with the departures of ever new names, and against members of the
// control group that drop different ones.
#[test]
fn the_oldest_departures_are_dropped_also_after_a_copy_in_order() {
    let numbered = |number: usize| Departure {
        endpoint: EndpointKey {
            id: EndpointName::try_from(format!("e{number}")).expect("a name"),
            service: "models".into(),
        },
        ..departure(EndpointState::Gone, 1, 1)
    };
    let mut first = Departures::default();
    (0..DEPARTURES_MAX + 10).for_each(|number| {
        first.note(numbered(number));
    });
    // A departure that is renewed is the latest one.
    first.note(Departure { started_ms: 2, ..numbered(11) });
    let mut second = Departures::default();
    first.iter().cloned().for_each(|one| {
        second.note(one);
    });
    for departures in [&mut first, &mut second] {
        departures.note(numbered(DEPARTURES_MAX + 10));
    }
    assert!(first.iter().eq(second.iter()));
    assert_eq!(first.iter().count(), DEPARTURES_MAX);
    assert_eq!(first.iter().next(), Some(&numbered(12)));
}
