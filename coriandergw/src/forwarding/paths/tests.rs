use std::time::Duration;

use super::*;

/// The number of endpoints of these tests.
const KNOWN: usize = 10;

fn name(number: usize) -> EndpointName {
    EndpointName::try_from(format!("e{number}")).expect("a name")
}

fn names() -> Vec<EndpointName> {
    (0..KNOWN).map(name).collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns paths whose first three endpoints were found silent at 1 s.
fn cut_off() -> Paths {
    let mut paths = Paths::default();
    for number in 0..3 {
        paths.note_lost(&name(number), Fault::Silent, KNOWN, at(1_000));
    }
    assert!(paths.is_cut_off());
    paths
}

#[test]
fn a_lost_pair_is_relayed_and_other_endpoints_stay_direct() {
    let mut paths = Paths::default();
    let change = paths.note_lost(&name(0), Fault::Silent, KNOWN, at(0));
    assert_eq!(change, Change::PairLost);
    assert_eq!(paths.to(&name(0)), Path::Relayed);
    assert_eq!(paths.to(&name(1)), Path::Direct);
    assert_eq!(paths.held_up_since(&name(0)), Some(at(0)));
    assert!(!paths.has_lost_most(KNOWN));
    assert_eq!(paths.note_connected(&name(0), at(300)), Change::PairRegained);
    assert_eq!(paths.to(&name(0)), Path::Direct);
}

// Guards against callers who each find out about one more endpoint of an instance without links.
#[test]
fn an_instance_that_hears_no_endpoint_relays_to_all() {
    let mut paths = cut_off();
    assert_eq!(paths.to(&name(9)), Path::Relayed);
    assert!(paths.has_lost_most(KNOWN));
    assert_eq!(paths.held_up_since(&name(9)), Some(at(1_000)));
    assert_eq!(paths.note_connected(&name(9), at(2_000)), Change::LinksRegained);
    assert_eq!(paths.to(&name(9)), Path::Direct);
    // What was lost is still relayed, and tried soon.
    assert_eq!(paths.to(&name(0)), Path::Relayed);
    assert_eq!(paths.take_trials(&names(), at(2_050)).len(), 3);
}

// Guards against an instance that takes a rack of endpoints that ended for a fault of its own links.
#[test]
fn silent_endpoints_beside_others_that_are_heard_are_no_loss_of_all_links() {
    let mut paths = Paths::default();
    for number in 0..8 {
        paths.note_lost(&name(number), Fault::Silent, KNOWN, at(number as u64 * 10));
        paths.note_heard(&name(9), at(number as u64 * 10 + 5));
    }
    assert!(!paths.is_cut_off());
    assert_eq!(paths.to(&name(9)), Path::Direct);
}

#[test]
fn refused_pairs_do_not_hold_up_open_connections() {
    let mut paths = Paths::default();
    for number in 0..KNOWN {
        paths.note_lost(&name(number), Fault::Refused, KNOWN, at(0));
    }
    assert!(!paths.is_cut_off());
    assert!(paths.has_lost_most(KNOWN));
    assert_eq!(paths.held_up_since(&name(0)), None);
}

// Guards against a site with one endpoint whose callers wait in vain for three silent ones.
#[test]
fn an_instance_with_fewer_endpoints_is_cut_off_when_all_are_silent() {
    let mut paths = Paths::default();
    assert_eq!(paths.note_silent(&name(0), 2, at(0)), Change::None);
    assert_eq!(paths.note_silent(&name(1), 2, at(10)), Change::CutOff);
}

#[test]
fn an_instance_without_links_tries_one_endpoint_after_the_other_at_growing_pauses() {
    let mut paths = cut_off();
    let mut tried = Vec::new();
    let mut millis = 1_000;
    while tried.len() < KNOWN {
        let due = paths.next_trial_at().expect("a trial is due");
        assert!(due.since(at(millis)) <= CUT_OFF_TRIAL_PAUSE_MAX);
        millis = due.0 / 1_000;
        assert!(paths.take_trials(&names(), at(millis - 1)).is_empty());
        tried.extend(paths.take_trials(&names(), at(millis)));
    }
    tried.sort();
    assert_eq!(tried, names());
}

// Guards against a cut that comes and goes each second and costs a connection each time.
#[test]
fn a_pair_that_is_lost_again_and_again_is_tried_less_often() {
    let mut paths = Paths::default();
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        paths.note_lost(&name(0), Fault::Silent, KNOWN, at(now));
        let due = paths.next_trial_at().expect("a trial is due").0 / 1_000;
        pauses.push(Duration::from_millis(due - now));
        paths.note_connected(&name(0), at(due));
        now = due + 500;
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses.first(), Some(&TRIAL_PAUSE_INITIAL));
    assert_eq!(pauses.last(), Some(&TRIAL_PAUSE_MAX));
}

#[test]
fn a_pair_is_checked_once_in_an_interval() {
    let mut paths = Paths::default();
    assert!(paths.start_check(&name(0), at(0)));
    assert!(!paths.start_check(&name(0), at(999)));
    assert!(paths.start_check(&name(1), at(999)));
    assert!(paths.start_check(&name(0), at(1_000)));
}

#[test]
fn an_endpoint_that_answers_nobody_is_silent_until_it_is_heard() {
    let mut paths = Paths::default();
    paths.note_silent_to_all(&name(0), at(100));
    assert!(paths.is_silent_to_all(&name(0)));
    assert_eq!(paths.to(&name(0)), Path::Direct);
    paths.note_heard(&name(0), at(200));
    assert!(!paths.is_silent_to_all(&name(0)));
}
