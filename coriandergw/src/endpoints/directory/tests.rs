use super::*;

const LEASE: Duration = FAR_SPONSOR_LEASE;

/// Builds the announcement of a model engine in `dc-a` that serves `target`.
pub fn engine(name: &str, target: &str) -> Announcement {
    serde_json::from_value(serde_json::json!({
        "name": name, "kind": "model", "address": "127.0.0.1:9", "targets": [target],
        "data_centre": "dc-a", "capacity": 4,
    }))
    .unwrap()
}

fn candidate_names(directory: &Directory, target: &str, at_ms: u64) -> Vec<String> {
    let target = TargetName::try_from(target).unwrap();
    let candidates = directory.candidates(CallKind::Model, &target, Timestamp::from_millis(at_ms));
    let mut names: Vec<_> =
        candidates.iter().map(|known| known.announcement.name.to_string()).collect();
    names.sort();
    names
}

fn instance(name: &str) -> InstanceName {
    name.try_into().unwrap()
}

#[test]
fn silent_and_leaving_endpoints_take_no_calls() {
    let directory = Directory::default();
    assert!(directory.announce(engine("a", "m"), Timestamp::from_millis(1)));
    assert!(!directory.announce(engine("a", "m"), Timestamp::from_millis(500)));
    directory.announce(engine("b", "m"), Timestamp::from_millis(1_400));
    assert_eq!(candidate_names(&directory, "m", 1_900), ["a", "b"]);
    assert_eq!(candidate_names(&directory, "m", 2_001), ["b"]);
    let leaving = Announcement { leaving: true, ..engine("b", "m") };
    assert!(directory.announce(leaving, Timestamp::from_millis(1_500)));
    assert!(candidate_names(&directory, "m", 2_001).is_empty());
}

#[test]
fn only_changes_are_passed_on() {
    let directory = Directory::default();
    directory.announce(engine("a", "m"), Timestamp::from_millis(1));
    let mut renewal = engine("a", "m");
    renewal.load.running = 3;
    directory.announce(renewal, Timestamp::from_millis(500));
    assert_eq!(directory.take_changes().len(), 1);
    directory.expire(Timestamp::from_millis(2_100));
    assert_eq!(directory.take_changes(), [LocalChange::Gone("a".try_into().unwrap())]);
}

#[test]
fn a_change_of_targets_moves_the_endpoint_between_groups() {
    let directory = Directory::default();
    directory.announce(engine("a", "m"), Timestamp::from_millis(1));
    directory.announce(engine("a", "n"), Timestamp::from_millis(2));
    assert!(candidate_names(&directory, "m", 3).is_empty());
    assert_eq!(candidate_names(&directory, "n", 3), ["a"]);
}

#[test]
fn endpoints_of_a_silent_sponsor_leave_the_candidates() {
    let directory = Directory::default();
    directory.renew_sponsor(&instance("i2"), LEASE, Timestamp::from_millis(1));
    directory.upsert_sponsored(&instance("i2"), engine("a", "m"), Timestamp::from_millis(1));
    // This sponsor has no lease, so its endpoint is not a candidate.
    directory.upsert_sponsored(&instance("unheard"), engine("b", "m"), Timestamp::from_millis(1));
    assert_eq!(candidate_names(&directory, "m", 3_600), ["a"]);
    assert!(candidate_names(&directory, "m", 4_000).is_empty());
}

#[test]
fn an_endpoint_that_moved_is_not_removed_by_its_former_sponsor() {
    let directory = Directory::default();
    for sponsor in ["i2", "i3"] {
        directory.renew_sponsor(&instance(sponsor), LEASE, Timestamp::from_millis(1));
        directory.upsert_sponsored(&instance(sponsor), engine("a", "m"), Timestamp::from_millis(1));
    }
    directory.remove_sponsored(&instance("i2"), &"a".try_into().unwrap());
    assert_eq!(candidate_names(&directory, "m", 2), ["a"]);
    directory.replace_sponsored(&instance("i3"), Vec::new(), Timestamp::from_millis(2));
    assert!(candidate_names(&directory, "m", 3).is_empty());
}
