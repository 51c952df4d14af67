//! Tests of the roster state of a core instance and of the view merged from several core instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::clock::Timestamp;
use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::endpoint_limits::StatedLimit;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Relay;
use crate::roster::Role;
use crate::roster::departure::Departure;
use crate::roster::generated as raw;
use crate::roster::state::Audience;
use crate::roster::state::ConfigState;
use crate::roster::state::ENTRY_POLL_WAIT;
use crate::roster::state::ENTRY_SILENCE_LIMIT;
use crate::roster::state::POLL_WAIT;
use crate::roster::state::PRESENCE_SILENCE_LIMIT;
use crate::roster::state::ReportedPresence;
use crate::roster::state::RosterState;
use crate::roster::state::SilentPeer;
use crate::roster::view::CONFIRMATION_LIMIT;
use crate::roster::view::PollAnswer;
use crate::roster::view::QUORUM_SILENCE_MARGIN;
use crate::roster::view::RosterView;
use crate::test_support::presence;
use crate::test_support::stated_limit;

const ENDPOINT_SILENCE: Duration = Duration::from_millis(4_000);

fn time_at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn core_address(last: u8) -> SocketAddr {
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
        version: "v1".into(),
    }
}

fn journal_presence(name: &str) -> Presence {
    Presence { role: Role::Journal, ..presence(name) }
}

fn response(start: u64, endpoints: Vec<EndpointRecord>) -> PollAnswer {
    PollAnswer { core_start: start, endpoints, ..PollAnswer::default() }
}

fn usable(view: &RosterView) -> Vec<String> {
    let usable = view.usable_endpoints(|_| true);
    usable.get("models").into_iter().flatten().map(|record| record.id.to_string()).collect()
}

#[test]
fn a_late_announcement_of_an_endpoint_changes_nothing() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    assert!(roster.announce(record("a", 5, 3, EndpointState::Draining), time_at(0)));
    assert!(!roster.announce(record("a", 5, 2, EndpointState::Ready), time_at(10)));
    assert!(!roster.announce(record("a", 4, 9, EndpointState::Ready), time_at(20)));
    let changes = roster.changes_after(0, Audience::AddressSource);
    assert_eq!(changes.endpoints, [record("a", 5, 3, EndpointState::Draining)]);
}

#[test]
fn a_departure_is_final_for_its_incarnation_only() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    roster.announce(record("a", 5, 3, EndpointState::Ready), time_at(0));
    let id = EndpointName::try_from("a").expect("a name");
    assert!(roster.depart(&id, Some(5), None, time_at(1)).is_ok());
    roster.announce(record("a", 5, 9, EndpointState::Ready), time_at(2));
    assert_eq!(
        roster.changes_after(0, Audience::AddressSource).endpoints[0].state,
        EndpointState::Gone
    );
    roster.announce(record("a", 6, 1, EndpointState::Ready), time_at(3));
    assert_eq!(
        roster.changes_after(0, Audience::AddressSource).endpoints[0].state,
        EndpointState::Ready
    );
    // The departure of the previous incarnation arrives late.
    assert!(roster.depart(&id, Some(5), None, time_at(4)).is_ok());
    assert_eq!(
        roster.changes_after(0, Audience::AddressSource).endpoints[0].state,
        EndpointState::Ready
    );
}

#[test]
fn a_silent_endpoint_and_a_silent_instance_are_reported_once() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    roster.announce(record("a", 5, 3, EndpointState::Ready), time_at(0));
    roster.note_presence(presence("10.0.0.9:1/0"), time_at(0));
    let mut silent = Vec::new();
    for millis in (0..6_000).step_by(100) {
        silent.extend(roster.expire_silent(time_at(millis)));
    }
    let id = EndpointName::try_from("a").expect("a name");
    assert_eq!(
        silent,
        [SilentPeer::Instance(presence("10.0.0.9:1/0").name), SilentPeer::Endpoint(id)]
    );
    assert!(
        roster.note_presence(presence("10.0.0.9:1/0"), time_at(6_000)),
        "an instance that was silent counts as new"
    );
}

#[test]
fn a_stalled_instance_does_not_consider_all_others_silent() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    roster.announce(record("a", 5, 3, EndpointState::Ready), time_at(0));
    roster.note_presence(journal_presence("10.0.0.9:1/0"), time_at(0));
    assert!(roster.expire_silent(time_at(7_000)).is_empty());
    let later = time_at(7_000) + PRESENCE_SILENCE_LIMIT + Duration::from_millis(100);
    let mut now = time_at(7_000);
    let mut silent = Vec::new();
    while now < later {
        now = now + Duration::from_millis(100);
        silent.extend(roster.expire_silent(now));
    }
    assert_eq!(silent, [SilentPeer::Instance(presence("10.0.0.9:1/0").name)]);
}

#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    let state = |version| ConfigState { config_version: version, ..ConfigState::default() };
    assert!(roster.apply_config_state(state(4), time_at(0)));
    assert!(
        !roster.apply_config_state(state(3), time_at(0)),
        "an older configuration is neither published nor stored"
    );
    assert_eq!(roster.config_state().config_version, 4);
    let mut view = RosterView::new(POLL_WAIT);
    let answer = |version| PollAnswer {
        core_start: 1,
        config_version: version,
        config: Some("text".into()),
        ..PollAnswer::default()
    };
    view.merge(core_address(1), answer(4), time_at(0));
    view.merge(core_address(2), answer(3), time_at(1));
    assert_eq!(view.config().0, 4);
}

#[test]
fn the_latest_announcement_wins_whichever_core_instance_reports_it_first() {
    let mut view = RosterView::new(POLL_WAIT);
    view.merge(
        core_address(1),
        response(1, vec![record("a", 5, 9, EndpointState::Draining)]),
        time_at(0),
    );
    view.merge(
        core_address(2),
        response(1, vec![record("a", 5, 8, EndpointState::Ready)]),
        time_at(1),
    );
    assert!(usable(&view).is_empty());
    view.merge(
        core_address(2),
        response(1, vec![record("a", 6, 1, EndpointState::Ready)]),
        time_at(2),
    );
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn a_core_instance_that_an_endpoint_left_cannot_report_it_silent() {
    let mut view = RosterView::new(POLL_WAIT);
    view.merge(
        core_address(1),
        response(1, vec![record("a", 5, 3, EndpointState::Ready)]),
        time_at(0),
    );
    view.merge(
        core_address(2),
        response(1, vec![record("a", 5, 4, EndpointState::Ready)]),
        time_at(10),
    );
    view.merge(
        core_address(1),
        response(1, vec![record("a", 5, 4, EndpointState::Silent)]),
        time_at(20),
    );
    assert_eq!(usable(&view), ["a"]);
    view.merge(
        core_address(2),
        response(1, vec![record("a", 5, 4, EndpointState::Silent)]),
        time_at(30),
    );
    assert!(usable(&view).is_empty());
}

#[test]
fn of_two_endpoints_at_one_address_the_later_incarnation_is_used() {
    let mut view = RosterView::new(POLL_WAIT);
    let records =
        vec![record("a", 5, 3, EndpointState::Ready), record("b", 7, 1, EndpointState::Ready)];
    view.merge(core_address(1), response(1, records), time_at(0));
    assert_eq!(usable(&view), ["b"]);
}

#[test]
fn endpoints_of_a_lost_core_instance_are_dropped_unless_another_one_reports_them() {
    let mut view = RosterView::new(POLL_WAIT);
    let records = vec![
        record("a", 5, 3, EndpointState::Ready),
        EndpointRecord { address: core_address(77), ..record("b", 5, 3, EndpointState::Ready) },
    ];
    view.merge(core_address(1), response(1, records), time_at(0));
    // The core instance restarted, and its new process has received no announcements.
    view.merge(core_address(1), response(2, Vec::new()), time_at(100));
    view.merge(
        core_address(2),
        response(1, vec![record("a", 5, 4, EndpointState::Ready)]),
        time_at(200),
    );
    let end = time_at(200) + CONFIRMATION_LIMIT;
    view.merge(core_address(2), response(1, Vec::new()), end);
    let dropped: Vec<String> = view.expire(end).iter().map(ToString::to_string).collect();
    assert_eq!(dropped, ["b"]);
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn a_partitioned_core_instance_does_not_revert_what_another_one_reported() {
    let mut view = RosterView::new(POLL_WAIT);
    let retiring = |nodes: &[&str]| PollAnswer {
        core_start: 1,
        retiring: nodes.iter().map(|node| (*node).into()).collect(),
        ..PollAnswer::default()
    };
    assert!(view.merge(core_address(1), retiring(&["m"]), time_at(0)));
    assert!(!view.merge(core_address(2), retiring(&[]), time_at(1)));
    assert_eq!(view.retiring().len(), 1);
}

#[test]
fn an_instance_without_any_core_instance_keeps_its_last_known_state() {
    let mut view = RosterView::new(POLL_WAIT);
    view.merge(
        core_address(1),
        response(1, vec![record("a", 5, 3, EndpointState::Ready)]),
        time_at(0),
    );
    assert!(view.expire(time_at(60_000)).is_empty());
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn an_instance_is_live_while_any_reachable_core_instance_hears_it() {
    let mut view = RosterView::new(POLL_WAIT);
    let report = |heard| PollAnswer {
        core_start: 1,
        instances: vec![ReportedPresence { presence: presence("10.0.0.9:1/0"), heard }],
        ..PollAnswer::default()
    };
    view.merge(core_address(1), report(false), time_at(0));
    view.merge(core_address(2), report(true), time_at(0));
    assert_eq!(view.living(Role::Entry, time_at(10)).len(), 1);
    view.merge(core_address(2), report(false), time_at(20));
    assert!(view.living(Role::Entry, time_at(30)).is_empty());
}

/// Checks for silence every 50 ms, as a core instance does; returns the time in milliseconds at
/// which `name` was reported silent.
fn time_of_silence(roster: &mut RosterState, name: &str, from: u64, to: u64) -> Option<u64> {
    let silent = SilentPeer::Instance(presence(name).name);
    (from..to).step_by(50).find(|millis| roster.expire_silent(time_at(*millis)).contains(&silent))
}

#[test]
fn a_frozen_instance_that_sent_heartbeats_is_silent_after_a_few_missed_ones() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    let (pulsing, polling) = ("10.0.0.8:1/0", "10.0.0.9:1/0");
    roster.note_presence(presence(pulsing), time_at(0));
    roster.note_presence(journal_presence(polling), time_at(0));
    for millis in (0..=1_000).step_by(50) {
        roster.note_pulse(&presence(pulsing).name, time_at(millis));
        roster.note_alive(&presence(polling).name, time_at(millis));
        assert!(roster.expire_silent(time_at(millis)).is_empty());
    }
    assert_eq!(time_of_silence(&mut roster, pulsing, 1_050, 3_000), Some(1_250));
    assert_eq!(time_of_silence(&mut roster, polling, 1_300, 3_000), Some(1_650));
    assert!(
        roster.note_pulse(&presence(pulsing).name, time_at(3_000)),
        "the heartbeat ends the silence"
    );
    assert!(
        roster
            .changes_after(0, Audience::AddressSource)
            .instances
            .iter()
            .any(|reported| reported.heard)
    );
}

#[test]
fn a_stalled_core_instance_reads_pending_heartbeats_before_reporting_silence() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    let name = "10.0.0.8:1/0";
    roster.note_presence(presence(name), time_at(0));
    roster.note_pulse(&presence(name).name, time_at(0));
    assert!(roster.expire_silent(time_at(400)).is_empty());
    assert_eq!(time_of_silence(&mut roster, name, 450, 3_000), Some(650));
}

#[test]
fn reachable_watchers_decide_whether_an_instance_is_live() {
    let watched = |heard| PollAnswer {
        core_start: 1,
        instances: vec![ReportedPresence {
            presence: Presence {
                watchers: [1, 2].map(|last| name_of(core_address(last))).to_vec(),
                ..presence("10.0.0.9:1/0")
            },
            heard,
        }],
        ..PollAnswer::default()
    };
    let is_live = |view: &RosterView, millis| !view.living(Role::Entry, time_at(millis)).is_empty();
    let mut view = RosterView::new(POLL_WAIT);
    for last in 1..=3 {
        view.merge(core_address(last), watched(true), time_at(0));
    }
    view.merge(core_address(1), watched(false), time_at(300));
    assert!(is_live(&view, 310), "the other watcher answered recently and hears the instance");
    // The other watcher failed together with the instance; the third core instance relies on polls.
    view.merge(core_address(3), watched(true), time_at(500));
    assert!(!is_live(&view, 500));
    view.merge(core_address(1), watched(true), time_at(600));
    assert!(is_live(&view, 610));
    // Without any reachable watcher, the report of another core instance is used.
    view.merge(core_address(3), watched(true), time_at(1_500));
    assert!(is_live(&view, 1_500));
}

fn name_of(address: SocketAddr) -> InstanceName {
    InstanceName::try_from(format!("{address}/0")).expect("a name")
}

/// The response of a core instance that reports a control group with these voters, and entry
/// instances that it hears or that are silent. Each number is the last byte of an IP address.
fn group_response(voters: &[u8], heard: &[u8], silent: &[u8]) -> PollAnswer {
    let voters = voters.iter().map(|last| name_of(core_address(*last))).collect();
    let group = GroupStatus { term: 1, leads: true, voters, ..GroupStatus::default() };
    let leader = Presence { role: Role::Core, group, ..presence("10.0.0.1:7000/0") };
    let entry = |last: &u8| Presence {
        caller_address: Some(SocketAddr::from(([10, 0, 0, *last], 80))),
        ..presence(&format!("10.0.0.{last}:1/0"))
    };
    let entries = |lasts: &[u8], heard| {
        let report = |last| ReportedPresence { presence: entry(last), heard };
        lasts.iter().map(report).collect::<Vec<_>>()
    };
    let mut instances = vec![ReportedPresence { presence: leader, heard: true }];
    instances.extend(entries(heard, true));
    instances.extend(entries(silent, false));
    PollAnswer { core_start: 1, instances, ..PollAnswer::default() }
}

#[test]
fn a_partitioned_core_instance_publishes_no_addresses() {
    let mut view = RosterView::new(POLL_WAIT);
    for last in 1..=3 {
        view.merge(core_address(last), group_response(&[1, 2, 3], &[1, 2, 3, 4], &[]), time_at(0));
    }
    assert_eq!(view.caller_addresses(time_at(10)).map(|all| all.len()), Some(4));
    assert!(view.reaches_quorum(time_at(10)));
    // The core instance hears only the entry instance on its own machine, and no other core
    // instance.
    view.merge(core_address(1), group_response(&[1, 2, 3], &[1], &[2, 3, 4]), time_at(2_500));
    assert!(!view.reaches_quorum(time_at(2_500)));
    assert_eq!(view.caller_addresses(time_at(2_500)), None);
}

#[test]
fn a_split_control_group_still_publishes_the_entry_instances_that_both_halves_hear() {
    let mut view = RosterView::new(POLL_WAIT);
    for last in 1..=4 {
        view.merge(
            core_address(last),
            group_response(&[1, 2, 3, 4], &[1, 2, 3, 4], &[]),
            time_at(0),
        );
    }
    for last in 1..=2 {
        view.merge(
            core_address(last),
            group_response(&[1, 2, 3, 4], &[1, 2, 3, 4], &[]),
            time_at(2_500),
        );
    }
    assert!(!view.reaches_quorum(time_at(2_500)));
    assert_eq!(view.caller_addresses(time_at(2_500)).map(|all| all.len()), Some(4));
}

#[test]
fn after_the_loss_of_most_entry_instances_the_others_are_published() {
    let mut view = RosterView::new(POLL_WAIT);
    for last in 1..=3 {
        view.merge(core_address(last), group_response(&[1, 2, 3], &[4], &[1, 2, 3]), time_at(0));
    }
    assert_eq!(view.caller_addresses(time_at(10)).map(|all| all.len()), Some(1));
}

#[test]
fn presences_of_entry_instances_are_sent_only_to_processes_that_answer_look_ups() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    let journal = Presence { role: Role::Journal, ..presence("10.0.0.2:1/0") };
    roster.note_presence(journal, time_at(0));
    let before = roster.last_changes();
    for last in 10..60 {
        roster.note_presence(presence(&format!("10.0.0.{last}:1/0")), time_at(0));
    }
    let after = roster.last_changes();
    assert_eq!(before.relevant_to(Audience::Other), after.relevant_to(Audience::Other));
    assert!(after.relevant_to(Audience::AddressSource) > 1);
    assert_eq!(roster.changes_after(0, Audience::Other).instances.len(), 1);
    assert_eq!(roster.changes_after(0, Audience::AddressSource).instances.len(), 51);
    assert_eq!(roster.entry_instances(), 50);
    assert_eq!(Audience::from(Role::Entry), Audience::Other);
    assert_eq!(Audience::from(Role::Directory), Audience::AddressSource);
}

#[test]
fn a_repeated_announcement_is_not_published() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    roster.announce(record("a", 5, 1, EndpointState::Ready), time_at(0));
    let (last, cursor) = (roster.last_changes(), roster.last_change());
    for sequence in 2..=6 {
        roster.announce(record("a", 5, sequence, EndpointState::Ready), time_at(sequence * 1_000));
    }
    assert_eq!(roster.last_changes(), last);
    assert_eq!(roster.last_change(), cursor);
}

// An announcement that was delayed arrives at another core instance, which soon takes the endpoint
// for silent, since it goes on announcing itself at its own.
#[test]
fn a_late_announcement_elsewhere_does_not_make_an_endpoint_silent() {
    let mut view = RosterView::new(POLL_WAIT);
    let at = |core, sequence, state| {
        (core_address(core), response(1, vec![record("a", 5, sequence, state)]))
    };
    let mut merge = |(core, response), millis| view.merge(core, response, time_at(millis));
    assert!(merge(at(1, 1, EndpointState::Ready), 0));
    assert!(!merge(at(2, 7, EndpointState::Ready), 9_000));
    assert!(!merge(at(2, 7, EndpointState::Silent), 13_000));
    // Its own core instance does not hear it any more either.
    assert!(merge(at(1, 9, EndpointState::Silent), 20_000));
    assert!(merge(at(2, 10, EndpointState::Ready), 21_000));
    assert_eq!(usable(&view), ["a"]);
}

#[test]
fn an_endpoint_stays_confirmed_while_its_core_instance_answers_again_after_a_cut() {
    let mut view = RosterView::new(POLL_WAIT);
    let listed = || vec![record("a", 5, 1, EndpointState::Ready)];
    view.merge(core_address(1), response(1, listed()), time_at(0));
    let later = |millis| time_at(CONFIRMATION_LIMIT.as_millis() as u64 + millis);
    for millis in (0..4_000).step_by(250) {
        view.merge(core_address(2), response(2, Vec::new()), time_at(millis));
        view.expire(time_at(millis));
    }
    // The cut ends; the core instance has nothing new to tell.
    view.merge(core_address(1), response(1, Vec::new()), time_at(4_000));
    view.expire(time_at(4_000));
    for millis in (0..5_000).step_by(250) {
        view.merge(core_address(1), response(1, Vec::new()), later(millis));
        view.expire(later(millis));
    }
    assert_eq!(usable(&view), ["a"]);
    // A restart forgets the endpoint, and so the confirmation ends.
    for millis in (5_000..11_000).step_by(250) {
        view.merge(core_address(1), response(9, Vec::new()), later(millis));
        view.expire(later(millis));
    }
    assert!(usable(&view).is_empty());
}

#[test]
fn the_report_of_a_directory_instance_is_no_evidence_of_silence() {
    let mut view = RosterView::new(POLL_WAIT);
    for last in 1..=3 {
        view.merge(core_address(last), group_response(&[1, 2, 3], &[1, 2], &[]), time_at(0));
    }
    let directory = PollAnswer { is_directory: true, ..group_response(&[1, 2, 3], &[], &[1, 2]) };
    view.merge(core_address(9), directory.clone(), time_at(100));
    assert_eq!(view.living(Role::Entry, time_at(110)).len(), 2);
    // With all core instances unreachable, their last reports count, not the directory's.
    view.merge(core_address(9), directory, time_at(9_000));
    assert_eq!(view.living(Role::Entry, time_at(9_010)).len(), 2);
    assert!(view.core_names().contains(&name_of(core_address(1))));
}

#[test]
fn the_number_of_entry_instances_comes_from_the_core_instance_that_hears_most() {
    let counted = |entry_instances, instances: &PollAnswer| PollAnswer {
        entry_instances,
        ..instances.clone()
    };
    let group = group_response(&[1, 2, 3], &[], &[]);
    let mut view = RosterView::new(POLL_WAIT);
    assert_eq!(view.entry_instances(time_at(0)), None);
    for (last, count) in [(1, 170), (2, 176), (3, 40)] {
        view.merge(core_address(last), counted(count, &group), time_at(0));
    }
    assert_eq!(view.entry_instances(time_at(10)), Some(176));
    // Only the partitioned core instance answers.
    view.merge(core_address(3), counted(40, &group), time_at(2_500));
    assert_eq!(view.entry_instances(time_at(2_500)), None);
}

// Many entry instances: a core instance that gets no heartbeats from one judges it by its rare polls.
#[test]
fn an_entry_instance_may_poll_rarely_where_it_sends_no_heartbeats() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    let name = "10.0.0.9:1/0";
    roster.note_presence(presence(name), time_at(0));
    let longest = (ENTRY_POLL_WAIT + QUORUM_SILENCE_MARGIN).as_millis() as u64;
    assert_eq!(time_of_silence(&mut roster, name, 50, longest), None);
    let limit = ENTRY_SILENCE_LIMIT.as_millis() as u64;
    assert_eq!(time_of_silence(&mut roster, name, longest, 3_000), Some(limit + 50));
}

#[test]
fn the_quorum_of_a_process_is_judged_by_its_own_poll_interval() {
    for wait in [POLL_WAIT, ENTRY_POLL_WAIT] {
        let mut view = RosterView::new(wait);
        for last in 1..=3 {
            view.merge(core_address(last), group_response(&[1, 2, 3], &[1], &[]), time_at(0));
        }
        let limit = (wait + QUORUM_SILENCE_MARGIN).as_millis() as u64;
        assert!(view.reaches_quorum(time_at(limit - 1)));
        assert!(!view.reaches_quorum(time_at(limit)));
    }
}

// Guards against a limit that only the instances that heard the endpoint keep.
#[test]
fn a_limit_is_published_when_it_changes_and_the_newest_one_counts() {
    let mut roster = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    let limits =
        |roster: &RosterState, cursor| roster.changes_after(cursor, Audience::Other).limits;
    roster.publish_limit(&stated_limit("a", 5, 3.0, 100), time_at(100));
    let first = roster.last_change();
    assert_eq!(limits(&roster, 0), [stated_limit("a", 5, 3.0, 100)]);
    roster.publish_limit(&stated_limit("a", 5, 3.0, 200), time_at(200));
    roster.publish_limit(&stated_limit("a", 5, 9.0, 150), time_at(201));
    roster.publish_limit(&stated_limit("a", 4, 9.0, 300), time_at(300));
    assert_eq!(limits(&roster, first), [], "repeated, older, and of an earlier incarnation");
    roster.publish_limit(&stated_limit("a", 5, 2.0, 400), time_at(400));
    assert_eq!(limits(&roster, first), [stated_limit("a", 5, 2.0, 400)]);
    // A process merges what several core instances publish.
    let mut view = RosterView::new(POLL_WAIT);
    let publishes =
        |limit| PollAnswer { core_start: 1, limits: vec![limit], ..PollAnswer::default() };
    assert!(view.merge(core_address(1), publishes(stated_limit("a", 5, 2.0, 400)), time_at(0)));
    assert!(!view.merge(core_address(2), publishes(stated_limit("a", 5, 3.0, 200)), time_at(1)));
    let known: Vec<StatedLimit> = view.limits().cloned().collect();
    assert_eq!(known, [stated_limit("a", 5, 2.0, 400)]);
}

// Guards against instances that count crashes alone: what one reports must reach all that poll, and a
// repeated report must not wake them again.
#[test]
fn a_crash_is_published_once_and_again_when_more_is_known() {
    let now = Timestamp::from_millis(1_000);
    let digest = |path| RequestDigest::of(&Method::GET, "host", path, &Bytes::new());
    let endpoint = EndpointName::try_from("a").expect("a name");
    let incarnation = Incarnation { endpoint, started_ms: 1 };
    let crash = |path| Crash::with_suspect(incarnation.clone(), digest(path));
    let mut state = RosterState::new(Duration::from_secs(5), now);
    let mut view = RosterView::new(Duration::from_millis(200));
    let mut poll = |state: &RosterState, cursor| {
        let crashes = state.changes_after(cursor, Audience::Other).crashes;
        let count = crashes.len();
        let answer = PollAnswer { core_start: 1, crashes, ..PollAnswer::default() };
        view.merge(core_address(1), answer, now);
        (count, view.crashes().count(&digest("/x")), view.crashes().count(&digest("/y")))
    };
    assert!(state.publish_crash(crash("/x"), now));
    assert_eq!(poll(&state, 0), (1, 1, 0));
    let cursor = state.last_change();
    assert!(!state.publish_crash(crash("/x"), now));
    assert_eq!(poll(&state, cursor), (0, 1, 0));
    assert!(state.publish_crash(crash("/y"), now));
    assert_eq!(poll(&state, cursor), (1, 1, 1));
}

/// Returns the state of a core instance that hears ten entry instances in each of two data centres.
fn state_with_relays<F>(change: F) -> RosterState
where
    F: Fn(&mut Presence),
{
    let mut state = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    for (data_centre, subnet) in [("dc", 1), ("other", 2)] {
        for last in 1..=10 {
            let mut entry = presence(&format!("10.0.{subnet}.{last}:7/0"));
            entry.role = Role::Entry;
            entry.ready = true;
            entry.data_centre = DataCentre::try_from(data_centre).expect("a name");
            entry.relay_address = Some(([10, 0, subnet, last], 8).into());
            change(&mut entry);
            state.note_presence(entry, time_at(0));
        }
    }
    state
}

fn is_of_subnet(relay: &Relay, subnet: u8) -> bool {
    relay.name.as_str().starts_with(&format!("10.0.{subnet}."))
}

#[test]
fn an_instance_has_relays_in_its_own_data_centre_and_elsewhere() {
    let state = state_with_relays(|_| {});
    let asking = InstanceName::try_from("10.0.1.1:7/0").expect("a name");
    let relays = state.relays_for(&asking);
    assert_eq!(relays.len(), 6);
    assert_eq!(relays.iter().filter(|relay| is_of_subnet(relay, 1)).count(), 3);
    assert!(relays.iter().all(|relay| relay.name != asking));
}

// Guards against relays that have lost their links themselves, as a whole data centre may have.
#[test]
fn instances_that_lost_their_links_are_no_relays() {
    let state = state_with_relays(|entry| {
        entry.lost_endpoints = entry.data_centre.as_str() == "dc";
    });
    let asking = InstanceName::try_from("10.0.1.1:7/0").expect("a name");
    let relays = state.relays_for(&asking);
    assert_eq!(relays.len(), 6);
    assert!(relays.iter().all(|relay| is_of_subnet(relay, 2)), "{relays:?}");
}

// Guards against a few instances that carry the traffic of all that lost their links.
#[test]
fn the_relays_of_many_instances_are_spread() {
    let state = state_with_relays(|_| {});
    let mut uses: BTreeMap<InstanceName, usize> = BTreeMap::new();
    for number in 0..200 {
        let asking = InstanceName::try_from(format!("10.0.3.{number}:7/0")).expect("a name");
        for relay in state.relays_for(&asking) {
            *uses.entry(relay.name).or_default() += 1;
        }
    }
    // 200 instances with six relays each, over 20.
    assert_eq!(uses.len(), 20);
    assert!(uses.values().all(|count| (30..=100).contains(count)), "{uses:?}");
}

#[test]
fn the_relays_that_most_core_instances_name_come_first() {
    let relay = |last: u8| Relay {
        name: InstanceName::try_from(format!("10.0.1.{last}:7/0")).expect("a name"),
        address: ([10, 0, 1, last], 8).into(),
        data_centre: DataCentre::try_from("dc").expect("a name"),
    };
    let mut view = RosterView::new(POLL_WAIT);
    for (core, named) in [(1, vec![relay(1), relay(2)]), (2, vec![relay(2)])] {
        let answer = PollAnswer { relays: named, relays_as_of: 5, ..response(1, Vec::new()) };
        view.merge(core_address(core), answer, time_at(0));
    }
    assert_eq!(view.relays(time_at(10)), [relay(2), relay(1)]);
    // An answer with the number of the poll names none again.
    let unchanged = PollAnswer { relays_as_of: 5, ..response(1, Vec::new()) };
    view.merge(core_address(1), unchanged, time_at(20));
    assert_eq!(view.relays(time_at(30)).len(), 2);
}

fn departure(record: &EndpointRecord) -> Departure {
    Departure::of(record).expect("it departs")
}

// Guards against an endpoint that is used again at an announcement that was sent before its departure.
#[test]
fn a_late_announcement_of_a_departed_endpoint_does_not_list_it_as_ready() {
    let mut state = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    state.note_departure(departure(&record("a", 1, 5, EndpointState::Gone)), time_at(0));
    state.note_departure(departure(&record("b", 1, 5, EndpointState::Draining)), time_at(0));
    state.announce(record("a", 1, 9, EndpointState::Ready), time_at(1));
    state.announce(record("b", 1, 4, EndpointState::Ready), time_at(1));
    let state_of = |state: &RosterState, id| {
        state.endpoint_state(&record(id, 1, 1, EndpointState::Ready).key())
    };
    assert_eq!(state_of(&state, "a"), Some(EndpointState::Gone));
    assert_eq!(state_of(&state, "b"), Some(EndpointState::Draining));
    state.announce(record("a", 2, 1, EndpointState::Ready), time_at(2));
    assert_eq!(state_of(&state, "a"), Some(EndpointState::Ready), "it started again");
}

// Guards against an endpoint that stays in use where the departure arrives after the announcement.
#[test]
fn a_committed_departure_changes_the_listed_record_and_is_sent_to_all() {
    let mut state = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    state.announce(record("a", 1, 4, EndpointState::Ready), time_at(0));
    let cursor = state.last_change();
    let gone = departure(&record("a", 1, 5, EndpointState::Gone));
    assert!(!state.has_committed(&gone));
    assert!(state.note_departure(gone.clone(), time_at(1)));
    assert!(!state.note_departure(gone.clone(), time_at(2)), "it is known");
    assert!(state.has_committed(&gone));
    let changes = state.changes_after(cursor, Audience::Other);
    assert_eq!(changes.departures, [gone]);
    assert_eq!(changes.endpoints, [record("a", 1, 4, EndpointState::Gone)]);
}

// Guards against a drain that is acknowledged without a commit, since an earlier drain, which the
// endpoint took back, had been committed.
#[test]
fn a_drain_after_a_later_announcement_is_committed_again() {
    let mut state = RosterState::new(ENDPOINT_SILENCE, time_at(0));
    state.note_departure(departure(&record("a", 1, 5, EndpointState::Draining)), time_at(0));
    let again = departure(&record("a", 1, 6, EndpointState::Draining));
    assert!(state.has_committed(&again), "a repetition");
    state.announce(record("a", 1, 8, EndpointState::Ready), time_at(1));
    assert!(!state.has_committed(&departure(&record("a", 1, 9, EndpointState::Draining))));
}

// Guards against requests to a departed endpoint that a core instance lists as ready, since it has not
// caught up with the control group.
#[test]
fn a_departure_from_one_core_instance_holds_against_announcements_at_another() {
    let departed = record("a", 1, 5, EndpointState::Gone);
    let told =
        PollAnswer { core_start: 1, departures: vec![departure(&departed)], ..Default::default() };
    let listed = PollAnswer {
        core_start: 1,
        endpoints: vec![record("a", 1, 4, EndpointState::Ready)],
        ..Default::default()
    };
    for is_told_first in [true, false] {
        let mut view = RosterView::new(POLL_WAIT);
        let mut answers = vec![(core_address(1), told.clone()), (core_address(2), listed.clone())];
        if !is_told_first {
            answers.reverse();
        }
        for (core, answer) in answers {
            view.merge(core, answer, time_at(0));
        }
        assert!(view.usable_endpoints(|_| true).is_empty(), "told first: {is_told_first}");
    }
}

/// Returns the record of another writer: a service that no configuration names, and a later start.
fn foreign(id: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord { service: "node-metrics".into(), ..record(id, 9, 1, state) }
}

// Guards against records of another writer that take endpoints out of use, whichever of their claims
// collide and however they say that they leave.
#[test]
fn records_of_a_service_that_is_not_configured_change_no_endpoint() {
    let endpoint = record("a", 1, 4, EndpointState::Ready);
    let elsewhere = SocketAddr::from(([10, 1, 0, 9], 8_000));
    let states = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];
    for is_first in [true, false] {
        for state in states {
            let claims = [
                foreign("b", state),
                foreign("a", state),
                EndpointRecord { address: elsewhere, ..foreign("a", state) },
            ];
            for claim in claims {
                let mut announced = vec![claim.clone(), endpoint.clone()];
                if !is_first {
                    announced.reverse();
                }
                let mut state = RosterState::new(ENDPOINT_SILENCE, time_at(0));
                for record in announced {
                    state.announce(record, time_at(0));
                }
                Departure::of(&claim).map(|one| state.note_departure(one, time_at(1)));
                let changes = state.changes_after(0, Audience::Other);
                let mut view = RosterView::new(POLL_WAIT);
                let answer = PollAnswer {
                    core_start: 1,
                    endpoints: changes.endpoints,
                    departures: changes.departures,
                    ..Default::default()
                };
                view.merge(core_address(1), answer, time_at(1));
                let is_configured = |service: &str| service == "models";
                let usable = view.usable_endpoints(is_configured);
                assert_eq!(usable.get("models"), Some(&vec![endpoint.clone()]), "{claim:?}");
                assert_eq!(usable.len(), 1, "{claim:?}");
                assert_eq!(view.foreign_claims(is_configured), [claim]);
            }
        }
    }
}

// Guards against an endpoint that stays unused since it announced itself before the configuration that
// names its service, or whose service was taken out for a while.
#[test]
fn an_endpoint_is_used_as_soon_as_and_as_long_as_its_service_is_configured() {
    let mut view = RosterView::new(POLL_WAIT);
    let endpoint = record("a", 1, 4, EndpointState::Ready);
    let endpoints = vec![endpoint.clone(), foreign("b", EndpointState::Ready)];
    let answer = PollAnswer { core_start: 1, endpoints, ..Default::default() };
    view.merge(core_address(1), answer, time_at(0));
    for is_present in [false, true, false, true] {
        let usable = view.usable_endpoints(|service| is_present && service == "models");
        assert_eq!(usable.contains_key("models"), is_present);
    }
}

// Guards against two incarnations of one endpoint, or of one address, that are both used.
#[test]
fn of_the_records_of_configured_services_the_one_that_started_last_is_used() {
    let mut view = RosterView::new(POLL_WAIT);
    let earlier = record("a", 1, 4, EndpointState::Ready);
    let moved = EndpointRecord {
        service: "tools".into(),
        address: SocketAddr::from(([10, 1, 0, 9], 8_000)),
        ..record("a", 2, 1, EndpointState::Ready)
    };
    let endpoints = vec![earlier, moved.clone()];
    let answer = PollAnswer { core_start: 1, endpoints, ..Default::default() };
    view.merge(core_address(1), answer, time_at(0));
    let usable = view.usable_endpoints(|_| true);
    assert_eq!(usable.into_values().flatten().collect::<Vec<_>>(), [moved]);
}

// Guards against the departure of an endpoint that is recorded for a record of another writer under
// the same name only.
#[test]
fn a_departure_by_name_concerns_the_endpoint_and_not_only_a_foreign_record() {
    for started_ms in [None, Some(1)] {
        let mut state = RosterState::new(ENDPOINT_SILENCE, time_at(0));
        let endpoint = record("a", 1, 4, EndpointState::Ready);
        state.announce(foreign("a", EndpointState::Ready), time_at(0));
        let gone = state.depart(&endpoint.id, started_ms, [endpoint.clone()], time_at(1));
        let gone = gone.expect("it is known");
        assert!(gone.iter().any(|one| one.key() == endpoint.key()), "{started_ms:?}: {gone:?}");
        assert_eq!(state.endpoint_state(&endpoint.key()), Some(EndpointState::Gone));
    }
}

// Guards against a process that stops following a core instance since one record in its answer cannot be
// read.
#[test]
fn a_record_that_cannot_be_read_hides_no_other() {
    let sound = record("a", 1, 4, EndpointState::Ready);
    let odd = |change: &dyn Fn(&mut raw::Endpoint)| {
        let mut odd = raw::Endpoint::from(&record("b", 1, 1, EndpointState::Ready));
        change(&mut odd);
        odd
    };
    let answer = raw::PollAnswer {
        endpoints: vec![
            odd(&|one| one.address = "10.0.0.1:70000".to_owned()),
            raw::Endpoint::from(&sound),
            odd(&|one| one.state = 99),
            odd(&|one| one.id = "not a name".to_owned()),
        ],
        ..Default::default()
    };
    let answer = PollAnswer::try_from(answer).expect("an answer");
    assert_eq!(answer.endpoints, [sound]);
}
