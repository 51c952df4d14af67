//! Tests of the voter set planner and of the selection of first voters.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::log_groups::core::Members;
use crate::log_groups::core::Replacement;
use crate::log_groups::voters::VoterChange;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::voter_set::VOTER_LOST_AFTER;
use crate::voter_set::VoterSetPlanner;
use crate::voter_set::VoterSetStatus;
use crate::voter_set::founding::FOUNDING_WAIT;
use crate::voter_set::founding::first_voters;

fn name(text: &str) -> InstanceName {
    InstanceName::try_from(text).expect("valid name")
}

/// Returns a live instance with address `10.0.0.{last}` in data centre `dc`.
fn live_instance(last: u8, incarnation: &str, dc: &str) -> Presence {
    Presence {
        name: name(&format!("10.0.0.{last}:7000/{incarnation}")),
        role: Role::Journal,
        data_centre: DataCentre::try_from(dc).expect("valid name"),
        node: format!("machine-{last}").into(),
        caller_address: None,
        ready: true,
        leaving: false,
        started_ms: 1,
        group: GroupStatus::default(),
        is_founder: true,
        watchers: Vec::new(),
        relay_address: None,
        lost_endpoints: false,
        holds_turns: false,
    }
}

fn members(lasts: &[u8]) -> Members {
    Members::of_voters(lasts.iter().map(|last| name(&format!("10.0.0.{last}:7000/0"))))
}

struct Case {
    members: Members,
    living: Vec<Presence>,
    retiring: Vec<Arc<str>>,
}

impl Case {
    /// Returns the change that is planned once the absent members have been missing for
    /// [`VOTER_LOST_AFTER`].
    fn change(&self) -> Option<VoterChange> {
        let mut planner = VoterSetPlanner::default();
        let start = Timestamp::from_millis(1_000);
        let status = VoterSetStatus {
            members: &self.members,
            living: &self.living,
            retiring: &self.retiring,
            wanted: 3,
        };
        planner.next_change(&status, start);
        planner.next_change(&status, start + VOTER_LOST_AFTER)
    }
}

fn case(voters: &[u8], living: Vec<Presence>) -> Case {
    Case { members: members(voters), living, retiring: Vec::new() }
}

fn three_voters_and(more: Vec<Presence>) -> Vec<Presence> {
    let mut all =
        vec![live_instance(1, "0", "a"), live_instance(2, "0", "b"), live_instance(3, "0", "c")];
    all.extend(more);
    all
}

#[test]
fn a_complete_group_is_not_changed() {
    let spare = live_instance(4, "0", "a");
    assert_eq!(case(&[1, 2, 3], three_voters_and(vec![spare])).change(), None);
}

#[test]
fn a_voter_is_replaced_only_after_it_has_been_missing_for_long_enough() {
    let all =
        vec![live_instance(1, "0", "a"), live_instance(2, "0", "b"), live_instance(4, "0", "c")];
    let lost = case(&[1, 2, 3], all);
    let change =
        VoterChange::Replace { old: name("10.0.0.3:7000/0"), new: name("10.0.0.4:7000/0") };
    assert_eq!(lost.change(), Some(change));
    let mut planner = VoterSetPlanner::default();
    let status = VoterSetStatus {
        members: &lost.members,
        living: &lost.living,
        retiring: &lost.retiring,
        wanted: 3,
    };
    let start = Timestamp::from_millis(1_000);
    assert_eq!(planner.next_change(&status, start), None);
    let just_before = start + (VOTER_LOST_AFTER - Duration::from_millis(1));
    assert_eq!(planner.next_change(&status, just_before), None);
}

#[test]
fn an_instance_that_lost_its_disk_is_replaced_by_its_new_incarnation_at_once() {
    let all = vec![
        live_instance(1, "0", "a"),
        live_instance(2, "0", "b"),
        live_instance(3, "new", "c"),
        live_instance(4, "0", "c"),
    ];
    let wiped = case(&[1, 2, 3], all);
    let status = VoterSetStatus {
        members: &wiped.members,
        living: &wiped.living,
        retiring: &wiped.retiring,
        wanted: 3,
    };
    let change =
        VoterChange::Replace { old: name("10.0.0.3:7000/0"), new: name("10.0.0.3:7000/new") };
    let now = Timestamp::from_millis(1_000);
    assert_eq!(VoterSetPlanner::default().next_change(&status, now), Some(change));
}

#[test]
fn a_lost_voter_without_a_replacement_stays_a_voter() {
    let all = vec![live_instance(1, "0", "a"), live_instance(2, "0", "b")];
    assert_eq!(case(&[1, 2, 3], all).change(), None);
}

#[test]
fn a_small_group_grows_into_the_data_centre_with_the_fewest_voters() {
    let all = vec![
        live_instance(1, "0", "a"),
        live_instance(2, "0", "b"),
        live_instance(4, "0", "a"),
        live_instance(5, "0", "c"),
    ];
    let change = VoterChange::Add(name("10.0.0.5:7000/0"));
    assert_eq!(case(&[1, 2], all).change(), Some(change));
}

#[test]
fn a_retiring_voter_is_replaced_by_a_spare_that_does_not_retire() {
    let mut retiring = case(
        &[1, 2, 3],
        three_voters_and(vec![live_instance(4, "0", "a"), live_instance(5, "0", "b")]),
    );
    retiring.retiring = vec!["machine-2".into(), "machine-4".into()];
    let change =
        VoterChange::Replace { old: name("10.0.0.2:7000/0"), new: name("10.0.0.5:7000/0") };
    assert_eq!(retiring.change(), Some(change));
}

#[test]
fn a_retiring_voter_is_removed_only_if_enough_voters_remain() {
    let mut four = case(&[1, 2, 3, 4], three_voters_and(vec![live_instance(4, "0", "a")]));
    four.retiring = vec!["machine-2".into()];
    assert_eq!(four.change(), Some(VoterChange::Remove(name("10.0.0.2:7000/0"))));
    let mut three = case(&[1, 2, 3], three_voters_and(Vec::new()));
    three.retiring = vec!["machine-2".into()];
    assert_eq!(three.change(), None);
}

#[test]
fn a_replacement_is_cancelled_if_the_new_instance_is_lost_too() {
    let mut stuck = case(&[1, 2, 3], three_voters_and(Vec::new()));
    let (old, new) = (name("10.0.0.3:7000/0"), name("10.0.0.9:7000/0"));
    stuck.members.learners.insert(new.clone());
    stuck.members.replacement = Some(Replacement { old, new: new.clone() });
    assert_eq!(stuck.change(), Some(VoterChange::Remove(new)));
}

#[test]
fn first_voters_are_spread_over_data_centres() {
    let all = vec![
        live_instance(1, "0", "a"),
        live_instance(2, "0", "a"),
        live_instance(3, "0", "b"),
        live_instance(4, "0", "c"),
    ];
    let found = first_voters(&all, 3, Duration::ZERO).expect("enough");
    let expected = ["10.0.0.1:7000/0", "10.0.0.3:7000/0", "10.0.0.4:7000/0"].map(name);
    assert_eq!(found, expected);
}

#[test]
fn fewer_first_voters_are_taken_only_after_waiting() {
    let all = vec![live_instance(1, "0", "a"), live_instance(2, "0", "b")];
    assert_eq!(first_voters(&all, 3, Duration::ZERO), None);
    assert_eq!(first_voters(&all, 3, FOUNDING_WAIT).map(|found| found.len()), Some(2));
    assert_eq!(first_voters(&[], 3, FOUNDING_WAIT), None);
}
