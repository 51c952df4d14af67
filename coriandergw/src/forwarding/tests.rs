//! Choosing an endpoint, and cutting streams into events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::choice::connection_share;
use crate::forwarding::choice::order_by_load;
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
    };
    EndpointCandidate { record, load }
}

fn idle(count: usize) -> Vec<EndpointCandidate> {
    (0..count).map(|number| candidate(number, Load::default())).collect()
}

fn first_engine(mut candidates: Vec<EndpointCandidate>, key: &str) -> String {
    order_engines(&mut candidates, key, None, NOW);
    candidates[0].record.id.to_string()
}

#[test]
fn programs_spread_over_engines_and_each_stays_at_its_own() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for program in 0..1_200 {
        *counts.entry(first_engine(idle(12), &format!("program-{program}"))).or_default() += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (50..=150).contains(count)), "{counts:?}");
}

#[test]
fn few_programs_move_when_an_engine_leaves() {
    let key = |program: usize| format!("program-{program}");
    let before: Vec<String> = (0..600).map(|p| first_engine(idle(12), &key(p))).collect();
    let after: Vec<String> = (0..600).map(|p| first_engine(idle(11), &key(p))).collect();
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    let of_the_last = before.iter().filter(|engine| *engine == "e11").count();
    assert_eq!(moved, of_the_last);
}

// Pattern: many programs of one burst belong to one engine.
#[test]
fn a_program_whose_engine_is_far_busier_than_the_others_goes_elsewhere() {
    let home = first_engine(idle(4), "p");
    let mut candidates = idle(4);
    for candidate in &mut candidates {
        candidate.load.in_flight = if candidate.record.id.as_str() == home { 40 } else { 2 };
    }
    assert_ne!(first_engine(candidates.clone(), "p"), home);
    for candidate in &mut candidates {
        candidate.load.in_flight = 40;
    }
    assert_eq!(first_engine(candidates, "p"), home, "all are as busy");
}

// Pattern: a worker fails or freezes while its announcements go on.
#[test]
fn an_endpoint_that_failed_lately_is_tried_last() {
    let home = first_engine(idle(4), "p");
    let mut candidates = idle(4);
    for candidate in &mut candidates {
        if candidate.record.id.as_str() == home {
            candidate.load.backoff_until = NOW + Duration::from_millis(100);
        }
    }
    assert_ne!(first_engine(candidates.clone(), "p"), home);
    order_by_load(&mut candidates, None, 1, NOW);
    assert_eq!(candidates[3].record.id.as_str(), home);
}

// Pattern: a burst of short calls, seen by several instances with the same reports.
#[test]
fn equal_endpoints_share_calls_and_loaded_ones_get_fewer() {
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
fn a_report_counts_less_the_older_it_is() {
    let reported = ReportedLoad { running: 6, waiting: 4, slots: 6 };
    let with_age = |age_ms: u64| {
        let at = Timestamp(NOW.0 - age_ms * 1_000);
        candidate(0, Load { reported: Some((reported, at)), ..Load::default() }).estimated(NOW)
    };
    assert_eq!(with_age(0), 10.0);
    assert_eq!(with_age(200), 5.0);
    assert_eq!(with_age(5_000), 0.0);
}

#[test]
fn events_are_passed_on_whole_and_once() {
    let mut cutter = EventSplitter::after(Some(1));
    let first = cutter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("small");
    assert_eq!((first.count, &first.bytes[..]), (0, &b""[..]));
    let second = cutter.push(b"ta: b\r\n\r").expect("small");
    assert_eq!((second.count, &second.bytes[..]), (0, &b""[..]));
    let third = cutter.push(b"\nid: 3\r\ndata: c\r\n\r\nid: 4").expect("small");
    assert_eq!(third.count, 2);
    assert_eq!(cutter.last_id(), Some(3));
    assert!(cutter.has_rest());
    cutter.drop_rest();
    assert!(!cutter.has_rest());
}

// Pattern: a burst of programs; the journal sees all turns and this instance a few.
#[test]
fn the_engine_that_the_journal_chose_comes_first_unless_it_failed_lately() {
    let home = EndpointName::try_from("e2").expect("a name");
    let first = |mut candidates: Vec<EndpointCandidate>| {
        order_engines(&mut candidates, "p", Some(&home), NOW);
        candidates[0].record.id.clone()
    };
    let mut candidates = idle(4);
    candidates[2].load.in_flight = 40;
    assert_eq!(first(candidates.clone()), home);
    candidates[2].load.backoff_until = NOW + Duration::from_millis(1);
    assert_ne!(first(candidates), home);
}

// Pattern: an endpoint that becomes slow collects requests of all instances until it resets connections.
#[test]
fn the_connections_of_an_endpoint_are_shared_between_the_instances() {
    assert_eq!(connection_share(110, 9), 12);
    assert_eq!(connection_share(110, 0), 110);
    assert_eq!(connection_share(4, 69), 1, "each instance may reach it at all");
}
