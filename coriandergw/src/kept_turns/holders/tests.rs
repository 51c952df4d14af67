//! Tests of the instances that may hold kept turns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::clock::WallTime;
use crate::ids::DataCentre;
use crate::kept_turns::holders::KnownHolders;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::state::ReportedPresence;
use crate::roster::view::PollAnswer;
use crate::roster::view::RosterView;
use crate::test_support::presence;

const NOW: Timestamp = Timestamp(1_000_000_000);
const CORE_START_MS: u64 = 500_000;
const RETENTION: Duration = Duration::from_secs(60);

fn core() -> Presence {
    let name = "10.0.0.9:7000/c";
    let of_name = presence(name);
    let group =
        GroupStatus { term: 1, leads: true, voters: vec![of_name.name.clone()], learners: vec![] };
    Presence { role: Role::Core, group, ..of_name }
}

fn journal(name: &str, node: &str) -> Presence {
    let data_centre = DataCentre::try_from("dc").expect("a name");
    Presence { role: Role::Journal, node: node.into(), data_centre, ..presence(name) }
}

/// Returns the holders where one core instance lists these processes, and whether it hears them.
fn holders(listed: Vec<(Presence, bool)>, retiring: &[&str], wall_ms: u64) -> KnownHolders {
    let mut view = RosterView::new(Duration::from_secs(1));
    let reported = |(presence, heard)| ReportedPresence { presence, heard };
    let answer = PollAnswer {
        core_start: CORE_START_MS,
        instances: listed.into_iter().map(reported).collect(),
        retiring: retiring.iter().map(|node| Arc::from(*node)).collect(),
        ..PollAnswer::default()
    };
    view.merge(SocketAddr::from(([10, 0, 0, 9], 7_000)), answer, NOW);
    KnownHolders::of_view(&view, RETENTION, NOW, WallTime(wall_ms))
}

// Guards against a 404 that leaves instances out of the count which are silent and hold the turn.
#[test]
fn silent_instances_count_until_their_disk_was_replaced() {
    let listed = |second: &str| {
        vec![
            (core(), true),
            (journal("10.0.0.1:7002/a", "m1"), true),
            (journal("10.0.0.2:7002/a", "m2"), false),
            (journal(second, "m2"), true),
        ]
    };
    let known = holders(listed("10.0.0.3:7002/a"), &[], 900_000);
    assert_eq!((known.living.len(), known.silent.len(), known.count()), (2, 1, 3));
    // The replaced disk is gone; the new one says itself since when it is complete.
    let known = holders(listed("10.0.0.2:7002/b"), &[], 900_000);
    assert_eq!((known.living.len(), known.silent.len()), (2, 0));
}

// Guards against a 404 right after the power came back, while some machines are still starting.
#[test]
fn a_list_is_complete_once_its_core_instance_has_run_for_the_retention() {
    let at = |wall_ms| holders(vec![(core(), true)], &[], wall_ms).is_complete;
    assert!(!at(CORE_START_MS + 59_999));
    assert!(at(CORE_START_MS + 60_000));
    let founder = Presence { is_founder: true, ..core() };
    assert!(holders(vec![(founder, true)], &[], CORE_START_MS).is_complete, "no turn is older");
    assert!(!holders(vec![], &[], 900_000).is_complete, "no leader is known");
}

// Guards against turns that are written to a disk which is about to be taken away.
#[test]
fn retiring_instances_are_not_written_to_and_leaving_ones_last() {
    let leaving = Presence { leaving: true, ..journal("10.0.0.1:7002/a", "m1") };
    let listed = vec![
        (core(), true),
        (leaving, true),
        (journal("10.0.0.2:7002/a", "m2"), true),
        (journal("10.0.0.3:7002/a", "m3"), true),
    ];
    let known = holders(listed, &["m2"], 900_000);
    assert_eq!(known.count(), 3);
    for chain in 0..20 {
        let names = known.writable("account", &chain.to_string());
        let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
        assert_eq!(names, ["10.0.0.3:7002/a", "10.0.0.1:7002/a"]);
    }
}
