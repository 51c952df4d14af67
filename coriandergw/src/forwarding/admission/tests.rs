//! Decisions at single loads, and a simulation of a burst that compares them with trying all engines.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::forwarding::admission::Admission;
use crate::forwarding::admission::Engine;
use crate::forwarding::admission::ShedReason;
use crate::forwarding::admission::Turn;
use crate::forwarding::admission::admit;
use crate::forwarding::loads::Load;
use crate::ids::EndpointName;

mod burst;

const NOW: Timestamp = Timestamp(60_000_000);

/// Not among the seeds of turns that may use all of the room.
const RESTRICTED_SEED: u64 = 99;

const SLOTS: u32 = 8;
const QUEUE: u32 = 24;

fn first_turn() -> Turn {
    Turn {
        is_first: true,
        priority: 0,
        time_left: Duration::from_secs(10),
        target: Duration::from_millis(500),
        refused_sends: 0,
        waited: Duration::ZERO,
        seed: RESTRICTED_SEED,
    }
}

fn later_turn() -> Turn {
    Turn { is_first: false, ..first_turn() }
}

fn name(number: usize) -> EndpointName {
    EndpointName::try_from(format!("e{number}")).expect("a name")
}

/// Returns an engine that reported `turns` turns `age` ago.
fn engine(number: usize, turns: u32, age: Duration) -> Engine {
    let (running, waiting) = (turns.min(SLOTS), turns.saturating_sub(SLOTS));
    let report = ReportedLoad { running, waiting, slots: SLOTS, pace: Some(100) };
    let load = Load {
        reported: Some((report, NOW.before(age))),
        completion_interval: Some(Duration::from_millis(50)),
        ..Load::default()
    };
    Engine { id: name(number), load, slots: SLOTS }
}

/// Returns an engine that refused a turn as full `age` ago, with a number of doublings of its hold.
fn full(number: usize, competition: u32, age: Duration) -> Engine {
    let mut engine = engine(number, SLOTS + QUEUE, age);
    engine.load.competition_at_refusal = f64::from(competition);
    engine.load.full_at = NOW.before(age);
    engine.load.capacity = Some(SLOTS + QUEUE);
    engine
}

fn unknown(number: usize) -> Engine {
    Engine { id: name(number), load: Load::default(), slots: SLOTS }
}

fn engines(count: usize, turns: u32) -> Vec<Engine> {
    (0..count).map(|number| engine(number, turns, Duration::ZERO)).collect()
}

fn refusal(admission: &Admission) -> Option<ShedReason> {
    match admission {
        Admission::Refuse { reason, .. } => Some(*reason),
        _ => None,
    }
}

fn retry_after(admission: &Admission) -> Option<Duration> {
    match admission {
        Admission::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    }
}

#[test]
fn with_free_engines_all_are_worth_a_send_of_any_turn() {
    let all: Vec<EndpointName> = (0..4).map(name).collect();
    assert_eq!(admit(&first_turn(), &engines(4, 3), NOW), Admission::Send(all.clone()));
    assert_eq!(admit(&later_turn(), &engines(4, 3), NOW), Admission::Send(all));
}

// Guards against sends to one full engine after the other, within 5 ms of each refusal.
#[test]
fn a_full_engine_is_not_tried_before_it_has_probably_completed_a_turn() {
    let at_age = |competition, age_ms| {
        let engines = [full(0, competition, Duration::from_millis(age_ms)), unknown(1)];
        match admit(&later_turn(), &engines, NOW) {
            Admission::Send(worth) => worth.contains(&name(0)),
            other => panic!("{other:?}"),
        }
    };
    assert!(!at_age(1, 0));
    assert!(!at_age(1, 45));
    assert!(at_age(1, 60));
    assert!(!at_age(3, 150), "others took the room twice");
    assert!(at_age(3, 210));
    assert!(at_age(8, 2_100), "the hold is bounded");
}

// Guards against programs that are cut off in the middle while new ones begin.
#[test]
fn with_nearly_full_engines_later_turns_use_room_that_first_turns_may_not() {
    let engines = engines(4, 27);
    let shed = admit(&first_turn(), &engines, NOW);
    assert_eq!(refusal(&shed), Some(ShedReason::NoRoom));
    assert!(
        matches!(admit(&later_turn(), &engines, NOW), Admission::Send(worth) if worth.len() == 4)
    );
}

#[test]
fn with_three_quarters_of_the_room_used_only_urgent_first_turns_are_sent() {
    let slow = Turn { target: Duration::from_secs(2), ..first_turn() };
    let engines = engines(4, 23);
    assert!(matches!(admit(&slow, &engines, NOW), Admission::Send(_)));
    let less_urgent = Turn { priority: 2, ..slow };
    assert_eq!(refusal(&admit(&less_urgent, &engines, NOW)), Some(ShedReason::NoRoom));
}

// Guards against kinds of turns that are never served under steady pressure of others.
#[test]
fn under_steady_pressure_more_than_a_quarter_of_each_kind_may_use_all_of_the_room() {
    let engines = engines(4, 29);
    for priority in 0..=9 {
        let is_sent = |seed: &u64| {
            let turn = Turn { priority, seed: *seed, ..first_turn() };
            matches!(admit(&turn, &engines, NOW), Admission::Send(_))
        };
        let sent = (0..1_000).filter(is_sent).count();
        assert!((250..=400).contains(&sent), "priority {priority}: {sent} of 1000");
    }
}

// Guards against first turns that are refused because of two busy engines while many others are free.
#[test]
fn two_full_engines_of_twelve_say_nothing_about_the_others() {
    let mut engines = vec![full(0, 1, Duration::ZERO), full(1, 1, Duration::ZERO)];
    engines.extend((2..12).map(unknown));
    assert!(
        matches!(admit(&first_turn(), &engines, NOW), Admission::Send(worth) if worth.len() == 10)
    );
    engines[2] = full(2, 1, Duration::ZERO);
    assert_eq!(refusal(&admit(&first_turn(), &engines, NOW)), Some(ShedReason::NoRoom));
    assert!(
        matches!(admit(&later_turn(), &engines, NOW), Admission::Send(worth) if worth.len() == 9)
    );
}

// Guards against work on turns whose callers have gone before the end.
#[test]
fn behind_long_queues_a_turn_that_cannot_end_in_time_is_refused_at_once() {
    // 20 turns wait, of which one starts every 50 ms, and a turn runs for 100 ms at least.
    let engines = engines(3, 28);
    let with_time = |millis| Turn { time_left: Duration::from_millis(millis), ..later_turn() };
    assert_eq!(refusal(&admit(&with_time(1_100), &engines, NOW)), Some(ShedReason::TooLate));
    assert!(matches!(admit(&with_time(1_400), &engines, NOW), Admission::Send(_)));
}

#[test]
fn a_turn_tries_a_few_full_engines_only() {
    let engines: Vec<Engine> = (0..12).map(unknown).collect();
    let after =
        |turn: Turn, refused_sends| refusal(&admit(&Turn { refused_sends, ..turn }, &engines, NOW));
    assert_eq!(after(first_turn(), 1), None);
    assert_eq!(after(first_turn(), 2), Some(ShedReason::RefusedByEngines));
    assert_eq!(after(later_turn(), 2), None);
    assert_eq!(after(later_turn(), 3), Some(ShedReason::RefusedByEngines));
}

#[test]
fn before_full_engines_a_later_turn_waits_for_room_up_to_its_target() {
    let engines: Vec<Engine> = (0..3).map(|number| full(number, 1, Duration::ZERO)).collect();
    assert_eq!(admit(&later_turn(), &engines, NOW), Admission::Wait(Duration::from_millis(50)));
    let has_waited = Turn { waited: Duration::from_millis(480), ..later_turn() };
    assert_eq!(refusal(&admit(&has_waited, &engines, NOW)), Some(ShedReason::NoRoom));
}

// Guards against the burst that returns as a whole: in a trial the load of rejected callers came back
// with every retry.
#[test]
fn refused_callers_are_told_times_that_spread_over_a_second() {
    let engines: Vec<Engine> = (0..3).map(|number| full(number, 1, Duration::ZERO)).collect();
    let mut per_quarter = [0; 5];
    for seed in 0..1_200 {
        let turn = Turn { seed: seed * 7_919 + 30, ..first_turn() };
        if let Some(time) = retry_after(&admit(&turn, &engines, NOW)) {
            let since_least = time.checked_sub(Duration::from_millis(600)).expect("not before");
            per_quarter[since_least.as_millis() as usize / 250] += 1;
        }
    }
    let told: i32 = per_quarter.iter().sum();
    assert!(told > 800, "{told}");
    assert!(per_quarter.iter().all(|count| *count * 3 < told), "{per_quarter:?}");
}
