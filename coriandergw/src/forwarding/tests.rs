//! Tests of the order of endpoints, the split of event streams and the limit of connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::choice::PREFERRED_ENDPOINTS;
use crate::forwarding::choice::connection_share;
use crate::forwarding::choice::limited_to_ask;
use crate::forwarding::choice::order_by_load;
use crate::forwarding::choice::order_by_preference;
use crate::forwarding::choice::order_engines;
use crate::forwarding::events::EventSplitter;
use crate::forwarding::loads::Load;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;

const NOW: Timestamp = Timestamp(60_000_000);

fn candidate(number: usize, load: Load) -> EndpointCandidate {
    let record = EndpointRecord {
        id: EndpointName::try_from(format!("e{number}")).expect("a name"),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, number as u8], 8_000)),
        data_centre: "dc".into(),
        slots: 6,
        state: EndpointState::Ready,
        started_ms: 1,
        sequence: 1,
        cold_ms: 0,
        version: "v1".into(),
    };
    EndpointCandidate { record, load, is_preferred: true }
}

fn idle(count: usize) -> Vec<EndpointCandidate> {
    (0..count).map(|number| candidate(number, Load::default())).collect()
}

fn first_engine(mut candidates: Vec<EndpointCandidate>, key: &str) -> String {
    order_engines(&mut candidates, key, None, NOW);
    candidates[0].record.id.to_string()
}

#[test]
fn programs_are_spread_evenly_over_engines() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for program in 0..1_200 {
        *counts.entry(first_engine(idle(12), &format!("program-{program}"))).or_default() += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (50..=150).contains(count)), "{counts:?}");
}

#[test]
fn only_the_programs_of_a_removed_engine_move() {
    let key = |program: usize| format!("program-{program}");
    let before: Vec<String> = (0..600).map(|p| first_engine(idle(12), &key(p))).collect();
    let after: Vec<String> = (0..600).map(|p| first_engine(idle(11), &key(p))).collect();
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    let on_removed_engine = before.iter().filter(|engine| *engine == "e11").count();
    assert_eq!(moved, on_removed_engine);
}

// Guards against an overloaded engine when many programs of one burst hash to it.
#[test]
fn a_program_avoids_its_preferred_engine_while_that_is_overloaded() {
    let preferred = first_engine(idle(4), "p");
    let mut candidates = idle(4);
    for candidate in &mut candidates {
        candidate.load.in_flight = if candidate.record.id.as_str() == preferred { 40 } else { 2 };
    }
    assert_ne!(first_engine(candidates.clone(), "p"), preferred);
    for candidate in &mut candidates {
        candidate.load.in_flight = 40;
    }
    assert_eq!(first_engine(candidates, "p"), preferred, "all engines are equally loaded");
}

// Guards against sending to an endpoint that fails or hangs while it is still announced.
#[test]
fn an_endpoint_in_backoff_is_tried_last() {
    let preferred = first_engine(idle(4), "p");
    let mut candidates = idle(4);
    for candidate in &mut candidates {
        if candidate.record.id.as_str() == preferred {
            candidate.load.backoff_until = NOW + Duration::from_millis(100);
        }
    }
    assert_ne!(first_engine(candidates.clone(), "p"), preferred);
    order_by_load(&mut candidates, None, 1, NOW);
    assert_eq!(candidates[3].record.id.as_str(), preferred);
}

// Guards against a herd effect: in a burst of short calls, several instances with the same load
// reports must not all choose the same endpoint.
#[test]
fn calls_are_spread_over_equal_endpoints_and_prefer_less_loaded_ones() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..700 {
        let mut candidates = idle(7);
        order_by_load(&mut candidates, None, seed, NOW);
        *counts.entry(candidates[0].record.id.to_string()).or_default() += 1;
    }
    assert!(counts.values().all(|count| (50..=150).contains(count)), "{counts:?}");
    let busy = Load { in_flight: 5, ..Load::default() };
    let mut candidates = vec![candidate(0, busy), candidate(1, Load::default())];
    order_by_load(&mut candidates, None, 1, NOW);
    assert_eq!(candidates[0].record.id.as_str(), "e1");
}

#[test]
fn the_weight_of_a_load_report_falls_with_its_age() {
    let reported = ReportedLoad { running: 6, waiting: 4, slots: 6, pace: None };
    let with_age = |age_ms: u64| {
        let at = Timestamp(NOW.0 - age_ms * 1_000);
        candidate(0, Load { reported: Some((reported, at)), ..Load::default() }).estimated(NOW)
    };
    assert_eq!(with_age(0), 10.0);
    assert_eq!(with_age(200), 5.0);
    assert_eq!(with_age(5_000), 0.0);
}

#[test]
fn events_are_passed_on_complete_and_only_once() {
    let mut splitter = EventSplitter::after(Some(1));
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("small");
    assert_eq!((first.count, &first.bytes[..]), (0, &b""[..]));
    let second = splitter.push(b"ta: b\r\n\r").expect("small");
    assert_eq!((second.count, &second.bytes[..]), (0, &b""[..]));
    let third = splitter.push(b"\nid: 3\r\ndata: c\r\n\r\nid: 4").expect("small");
    assert_eq!(third.count, 2);
    assert_eq!(splitter.last_id(), Some(3));
    assert!(splitter.has_partial_event());
    splitter.discard_partial_event();
    assert!(!splitter.has_partial_event());
}

// In a burst of programs the journal knows all turns but an instance only its own, so the journal's
// choice takes precedence over the load that the instance sees.
#[test]
fn the_engine_chosen_by_the_journal_comes_first_unless_it_is_in_backoff() {
    let preferred = EndpointName::try_from("e2").expect("a name");
    let first = |mut candidates: Vec<EndpointCandidate>| {
        order_engines(&mut candidates, "p", Some(&preferred), NOW);
        candidates[0].record.id.clone()
    };
    let mut candidates = idle(4);
    candidates[2].load.in_flight = 40;
    assert_eq!(first(candidates.clone()), preferred);
    candidates[2].load.backoff_until = NOW + Duration::from_millis(1);
    assert_ne!(first(candidates), preferred);
}

// Guards against too many connections to a slow endpoint: the requests of all instances accumulate
// there until it resets connections.
#[test]
fn the_connection_limit_of_an_endpoint_is_divided_between_the_instances() {
    assert_eq!(connection_share(110, 9), 12);
    assert_eq!(connection_share(110, 0), 110);
    assert_eq!(connection_share(4, 69), 1, "each instance may open at least one connection");
}

/// The number of many small instances, their data centres and the endpoints before which they stand.
const MANY_INSTANCES: (usize, usize, usize) = (176, 6, 28);

/// Returns the endpoints in the order of preference of one of many small instances.
fn preference_of(instance: usize) -> Vec<EndpointRecord> {
    let (_, data_centres, endpoints) = MANY_INSTANCES;
    let data_centre = |number: usize| format!("dc-{}", number % data_centres);
    let record = |number: usize| EndpointRecord {
        data_centre: data_centre(number).into(),
        ..candidate(number, Load::default()).record
    };
    let mut records: Vec<EndpointRecord> = (0..endpoints).map(record).collect();
    order_by_preference(&mut records, &format!("instance-{instance}"), &data_centre(instance));
    records
}

// Many small instances: each one sends few requests to each endpoint, so that no connection is used
// twice unless an instance keeps to a few endpoints.
#[test]
fn many_small_instances_keep_to_a_few_endpoints_each_and_load_all_alike() {
    let (instances, _, endpoints) = MANY_INSTANCES;
    let mut pairs = 0;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..instances {
        let mut used: BTreeMap<String, usize> = BTreeMap::new();
        for request in 0..60 {
            let position_and_record = preference_of(instance).into_iter().enumerate();
            let mut candidates: Vec<EndpointCandidate> = position_and_record
                .map(|(position, record)| EndpointCandidate {
                    record,
                    load: Load::default(),
                    is_preferred: position < PREFERRED_ENDPOINTS,
                })
                .collect();
            let seed = instance * 60 + request;
            order_by_load(&mut candidates, None, seed as u64, NOW);
            *used.entry(candidates[0].record.id.to_string()).or_default() += 1;
        }
        pairs += used.len();
        for (endpoint, count) in used {
            *counts.entry(endpoint).or_default() += count;
        }
    }
    assert_eq!(pairs, instances * PREFERRED_ENDPOINTS);
    let mean = instances * 60 / endpoints;
    let most = counts.values().max().copied().unwrap_or_default();
    assert_eq!(counts.len(), endpoints);
    assert!(most * 2 <= mean * 3, "{most} requests at one endpoint, {mean} in the mean");
}

// A burst at a few endpoints: an instance leaves its preferred ones once they are busier.
#[test]
fn other_endpoints_take_over_when_the_preferred_ones_are_busier() {
    let with_load = |in_flight| {
        let load = Load { in_flight, ..Load::default() };
        let mut candidates = vec![candidate(0, load), candidate(1, load)];
        candidates.push(EndpointCandidate { is_preferred: false, ..candidate(2, Load::default()) });
        order_by_load(&mut candidates, None, 1, NOW);
        candidates[0].record.id.to_string()
    };
    assert_ne!(with_load(1), "e2");
    assert_eq!(with_load(3), "e2");
}

#[test]
fn the_loss_of_an_endpoint_moves_only_the_requests_that_went_there() {
    let mut moved = 0;
    for instance in 0..MANY_INSTANCES.0 {
        let before = preference_of(instance);
        let lost = &before[0].id;
        let after: Vec<&EndpointRecord> = before.iter().filter(|one| one.id != *lost).collect();
        let kept = before[1..PREFERRED_ENDPOINTS].iter();
        let is_kept = |one: &EndpointRecord| after[..PREFERRED_ENDPOINTS].contains(&one);
        moved += kept.filter(|one| !is_kept(one)).count();
    }
    assert_eq!(moved, 0);
}

// Guards against turns that go from one full engine without a limit to the next while limited ones
// have room.
#[test]
fn a_turn_refused_by_a_full_engine_asks_for_room_at_all_limited_engines_before_the_next() {
    let asked =
        |is_engine, was_refused, unlimited| limited_to_ask(is_engine, was_refused, unlimited, 5);
    assert_eq!(asked(true, false, Some(3)), 1, "its own engine only");
    assert_eq!(asked(true, true, Some(3)), 3);
    assert_eq!(asked(true, false, Some(0)), 0, "its own engine names no limit");
    assert_eq!(asked(false, false, Some(3)), 3, "a call without a prompt moves freely");
    assert_eq!(asked(true, false, None), 5, "all are limited");
}
