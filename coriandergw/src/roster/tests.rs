//! The roster state of a core instance and the view that is merged from several.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::state::ConfigState;
use crate::roster::state::PRESENCE_SILENCE_LIMIT;
use crate::roster::state::ReportedPresence;
use crate::roster::state::RosterState;
use crate::roster::state::SilentPeer;
use crate::roster::view::CONFIRMATION_LIMIT;
use crate::roster::view::PollAnswer;
use crate::roster::view::RosterView;

const SILENCE: Duration = Duration::from_millis(4_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn core(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn record(id: &str, started_ms: u64, sequence: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: EndpointName::try_from(id).expect("a name"),
        service: "models".into(),
        address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
        data_centre: "dc".into(),
        slots: 4,
        state,
        started_ms,
        sequence,
        cold_ms: 0,
    }
}

fn presence(name: &str) -> Presence {
    Presence {
        name: InstanceName::try_from(name).expect("a name"),
        role: Role::Entry,
        data_centre: DataCentre::try_from("dc").expect("a name"),
        node: "machine".into(),
        caller_address: None,
        ready: true,
        leaving: false,
        started_ms: 1,
        group: GroupStatus::default(),
        is_founder: false,
        watchers: Vec::new(),
    }
}

fn told(start: u64, endpoints: Vec<EndpointRecord>) -> PollAnswer {
    PollAnswer { core_start: start, endpoints, ..PollAnswer::default() }
}

fn usable(view: &RosterView) -> Vec<String> {
    view.usable_endpoints("models").iter().map(|record| record.id.to_string()).collect()
}

#[test]
fn a_late_word_of_an_endpoint_changes_nothing() {
    let mut board = RosterState::new(SILENCE, at(0));
    assert!(board.announce(record("a", 5, 3, EndpointState::Draining), at(0)));
    assert!(!board.announce(record("a", 5, 2, EndpointState::Ready), at(10)));
    assert!(!board.announce(record("a", 4, 9, EndpointState::Ready), at(20)));
    let changes = board.changes_after(0);
    assert_eq!(changes.endpoints, [record("a", 5, 3, EndpointState::Draining)]);
}

#[test]
fn a_departure_is_final_for_its_incarnation_only() {
    let mut board = RosterState::new(SILENCE, at(0));
    board.announce(record("a", 5, 3, EndpointState::Ready), at(0));
    let id = EndpointName::try_from("a").expect("a name");
    assert!(board.depart(&id, Some(5), at(1)));
    board.announce(record("a", 5, 9, EndpointState::Ready), at(2));
    assert_eq!(board.changes_after(0).endpoints[0].state, EndpointState::Gone);
    board.announce(record("a", 6, 1, EndpointState::Ready), at(3));
    assert_eq!(board.changes_after(0).endpoints[0].state, EndpointState::Ready);
    // The departure of the incarnation before arrives late.
    board.depart(&id, Some(5), at(4));
    assert_eq!(board.changes_after(0).endpoints[0].state, EndpointState::Ready);
}

#[test]
fn a_silent_endpoint_and_a_silent_instance_are_told_once() {
    let mut board = RosterState::new(SILENCE, at(0));
    board.announce(record("a", 5, 3, EndpointState::Ready), at(0));
    board.note_presence(presence("10.0.0.9:1/0"), at(0));
    let mut silent = Vec::new();
    for millis in (0..6_000).step_by(100) {
        silent.extend(board.expire_silent(at(millis)));
    }
    let id = EndpointName::try_from("a").expect("a name");
    assert_eq!(
        silent,
        [SilentPeer::Instance(presence("10.0.0.9:1/0").name), SilentPeer::Endpoint(id)]
    );
    assert!(board.note_presence(presence("10.0.0.9:1/0"), at(6_000)), "it is news again");
}

#[test]
fn an_instance_that_stood_still_does_not_find_all_others_silent() {
    let mut board = RosterState::new(SILENCE, at(0));
    board.announce(record("a", 5, 3, EndpointState::Ready), at(0));
    board.note_presence(presence("10.0.0.9:1/0"), at(0));
    assert!(board.expire_silent(at(7_000)).is_empty());
    let later = at(7_000) + PRESENCE_SILENCE_LIMIT + Duration::from_millis(100);
    let mut now = at(7_000);
    let mut silent = Vec::new();
    while now < later {
        now = now + Duration::from_millis(100);
        silent.extend(board.expire_silent(now));
    }
    assert_eq!(silent, [SilentPeer::Instance(presence("10.0.0.9:1/0").name)]);
}

#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let mut board = RosterState::new(SILENCE, at(0));
    let fixed = |version| ConfigState { config_version: version, ..ConfigState::default() };
    assert!(board.apply_config_state(fixed(4)));
    assert!(
        !board.apply_config_state(fixed(3)),
        "what is older is neither told nor kept on the disk"
    );
    assert_eq!(board.config_state().config_version, 4);
    let mut view = RosterView::default();
    let answer = |version| PollAnswer {
        core_start: 1,
        config_version: version,
        config: Some("text".into()),
        ..PollAnswer::default()
    };
    view.merge(core(1), answer(4), at(0));
    view.merge(core(2), answer(3), at(1));
    assert_eq!(view.config().0, 4);
}

#[test]
fn the_latest_word_counts_whichever_core_instance_tells_it_first() {
    let mut view = RosterView::default();
    view.merge(core(1), told(1, vec![record("a", 5, 9, EndpointState::Draining)]), at(0));
    view.merge(core(2), told(1, vec![record("a", 5, 8, EndpointState::Ready)]), at(1));
    assert!(usable(&view).is_empty());
    view.merge(core(2), told(1, vec![record("a", 6, 1, EndpointState::Ready)]), at(2));
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn a_core_instance_that_an_endpoint_left_cannot_call_it_silent() {
    let mut view = RosterView::default();
    view.merge(core(1), told(1, vec![record("a", 5, 3, EndpointState::Ready)]), at(0));
    view.merge(core(2), told(1, vec![record("a", 5, 4, EndpointState::Ready)]), at(10));
    view.merge(core(1), told(1, vec![record("a", 5, 4, EndpointState::Silent)]), at(20));
    assert_eq!(usable(&view), ["a"]);
    view.merge(core(2), told(1, vec![record("a", 5, 4, EndpointState::Silent)]), at(30));
    assert!(usable(&view).is_empty());
}

#[test]
fn of_two_endpoints_at_one_address_the_later_incarnation_counts() {
    let mut view = RosterView::default();
    let both =
        vec![record("a", 5, 3, EndpointState::Ready), record("b", 7, 1, EndpointState::Ready)];
    view.merge(core(1), told(1, both), at(0));
    assert_eq!(usable(&view), ["b"]);
}

#[test]
fn endpoints_of_a_lost_core_instance_are_dropped_unless_another_one_tells_of_them() {
    let mut view = RosterView::default();
    let both = vec![
        record("a", 5, 3, EndpointState::Ready),
        EndpointRecord { address: core(77), ..record("b", 5, 3, EndpointState::Ready) },
    ];
    view.merge(core(1), told(1, both), at(0));
    // The process of the core instance is another one, which has not heard them.
    view.merge(core(1), told(2, Vec::new()), at(100));
    view.merge(core(2), told(1, vec![record("a", 5, 4, EndpointState::Ready)]), at(200));
    let end = at(200) + CONFIRMATION_LIMIT;
    view.merge(core(2), told(1, Vec::new()), end);
    let dropped: Vec<String> = view.expire(end).iter().map(ToString::to_string).collect();
    assert_eq!(dropped, ["b"]);
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn a_core_instance_that_is_cut_off_does_not_take_back_what_another_one_told() {
    let mut view = RosterView::default();
    let retiring = |nodes: &[&str]| PollAnswer {
        core_start: 1,
        retiring: nodes.iter().map(|node| (*node).into()).collect(),
        ..PollAnswer::default()
    };
    assert!(view.merge(core(1), retiring(&["m"]), at(0)));
    assert!(!view.merge(core(2), retiring(&[]), at(1)));
    assert_eq!(view.retiring().len(), 1);
}

#[test]
fn an_instance_without_any_core_instance_keeps_what_it_knew() {
    let mut view = RosterView::default();
    view.merge(core(1), told(1, vec![record("a", 5, 3, EndpointState::Ready)]), at(0));
    assert!(view.expire(at(60_000)).is_empty());
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn an_instance_lives_while_any_reachable_core_instance_hears_it() {
    let mut view = RosterView::default();
    let heard = |heard| PollAnswer {
        core_start: 1,
        instances: vec![ReportedPresence { presence: presence("10.0.0.9:1/0"), heard }],
        ..PollAnswer::default()
    };
    view.merge(core(1), heard(false), at(0));
    view.merge(core(2), heard(true), at(0));
    assert_eq!(view.living(Role::Entry, at(10)).len(), 1);
    view.merge(core(2), heard(false), at(20));
    assert!(view.living(Role::Entry, at(30)).is_empty());
}

/// Looks for silence each 50 ms, as a core instance does; returns when `name` fell silent.
fn silent_at(board: &mut RosterState, name: &str, from: u64, to: u64) -> Option<u64> {
    let silent = SilentPeer::Instance(presence(name).name);
    (from..to).step_by(50).find(|millis| board.expire_silent(at(*millis)).contains(&silent))
}

#[test]
fn a_frozen_instance_that_sent_signs_of_life_falls_silent_after_a_few_of_them() {
    let mut board = RosterState::new(SILENCE, at(0));
    let (pulsing, polling) = ("10.0.0.8:1/0", "10.0.0.9:1/0");
    board.note_presence(presence(pulsing), at(0));
    board.note_presence(presence(polling), at(0));
    for millis in (0..=1_000).step_by(50) {
        board.note_pulse(&presence(pulsing).name, at(millis));
        board.note_alive(&presence(polling).name, at(millis));
        assert!(board.expire_silent(at(millis)).is_empty());
    }
    assert_eq!(silent_at(&mut board, pulsing, 1_050, 3_000), Some(1_250));
    assert_eq!(silent_at(&mut board, polling, 1_300, 3_000), Some(1_650));
    assert!(board.note_pulse(&presence(pulsing).name, at(3_000)), "it is heard again");
    assert!(board.changes_after(0).instances.iter().any(|heard| heard.heard));
}

#[test]
fn a_core_instance_that_stood_still_reads_signs_of_life_before_it_judges() {
    let mut board = RosterState::new(SILENCE, at(0));
    let name = "10.0.0.8:1/0";
    board.note_presence(presence(name), at(0));
    board.note_pulse(&presence(name).name, at(0));
    assert!(board.expire_silent(at(400)).is_empty());
    assert_eq!(silent_at(&mut board, name, 450, 3_000), Some(650));
}

#[test]
fn watchers_that_are_heard_decide_whether_an_instance_lives() {
    let watched = |heard| PollAnswer {
        core_start: 1,
        instances: vec![ReportedPresence {
            presence: Presence {
                watchers: [1, 2].map(|last| name_of(core(last))).to_vec(),
                ..presence("10.0.0.9:1/0")
            },
            heard,
        }],
        ..PollAnswer::default()
    };
    let lives = |view: &RosterView, millis| !view.living(Role::Entry, at(millis)).is_empty();
    let mut view = RosterView::default();
    for last in 1..=3 {
        view.merge(core(last), watched(true), at(0));
    }
    view.merge(core(1), watched(false), at(300));
    assert!(lives(&view, 310), "the other watcher was heard lately and hears it");
    // The other watcher was lost together with the instance; the third one goes by polls.
    view.merge(core(3), watched(true), at(500));
    assert!(!lives(&view, 500));
    view.merge(core(1), watched(true), at(600));
    assert!(lives(&view, 610));
    // Without any watcher, what another core instance says counts.
    view.merge(core(3), watched(true), at(1_500));
    assert!(lives(&view, 1_500));
}

fn name_of(address: SocketAddr) -> InstanceName {
    InstanceName::try_from(format!("{address}/0")).expect("a name")
}

/// What a core instance tells of the control group and of entry instances at these addresses.
fn told_of(voters: &[u8], heard: &[u8], silent: &[u8]) -> PollAnswer {
    let voters = voters.iter().map(|last| name_of(core(*last))).collect();
    let group = GroupStatus { term: 1, leads: true, voters, ..GroupStatus::default() };
    let leader = Presence { role: Role::Core, group, ..presence("10.0.0.1:7000/0") };
    let entry = |last: &u8| Presence {
        caller_address: Some(SocketAddr::from(([10, 0, 0, *last], 80))),
        ..presence(&format!("10.0.0.{last}:1/0"))
    };
    let entries = |lasts: &[u8], heard| {
        let one = |last| ReportedPresence { presence: entry(last), heard };
        lasts.iter().map(one).collect::<Vec<_>>()
    };
    let mut instances = vec![ReportedPresence { presence: leader, heard: true }];
    instances.extend(entries(heard, true));
    instances.extend(entries(silent, false));
    PollAnswer { core_start: 1, instances, ..PollAnswer::default() }
}

#[test]
fn a_core_instance_that_is_cut_off_names_no_addresses() {
    let mut view = RosterView::default();
    for last in 1..=3 {
        view.merge(core(last), told_of(&[1, 2, 3], &[1, 2, 3, 4], &[]), at(0));
    }
    assert_eq!(view.caller_addresses(at(10)).map(|all| all.len()), Some(4));
    assert!(view.reaches_quorum(at(10)));
    // Only the process on the same machine is heard, and of the core instances only the own one.
    view.merge(core(1), told_of(&[1, 2, 3], &[1], &[2, 3, 4]), at(2_500));
    assert!(!view.reaches_quorum(at(2_500)));
    assert_eq!(view.caller_addresses(at(2_500)), None);
}

#[test]
fn a_split_core_still_names_the_entry_instances_that_all_its_halves_hear() {
    let mut view = RosterView::default();
    for last in 1..=4 {
        view.merge(core(last), told_of(&[1, 2, 3, 4], &[1, 2, 3, 4], &[]), at(0));
    }
    for last in 1..=2 {
        view.merge(core(last), told_of(&[1, 2, 3, 4], &[1, 2, 3, 4], &[]), at(2_500));
    }
    assert!(!view.reaches_quorum(at(2_500)));
    assert_eq!(view.caller_addresses(at(2_500)).map(|all| all.len()), Some(4));
}

#[test]
fn after_the_loss_of_most_entry_instances_the_others_are_named() {
    let mut view = RosterView::default();
    for last in 1..=3 {
        view.merge(core(last), told_of(&[1, 2, 3], &[4], &[1, 2, 3]), at(0));
    }
    assert_eq!(view.caller_addresses(at(10)).map(|all| all.len()), Some(1));
}
