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
    let (name, now) = ("a".try_into().unwrap(), Timestamp::from_millis(2));
    directory.remove_sponsored(&instance("i2"), &name, now);
    assert_eq!(candidate_names(&directory, "m", 2), ["a"]);
    directory.replace_sponsored(&instance("i3"), Vec::new(), Timestamp::from_millis(2));
    assert!(candidate_names(&directory, "m", 3).is_empty());
}

#[test]
fn an_endpoint_that_moves_to_another_sponsor_stays_listed_when_it_stops_renewing_here() {
    let directory = Directory::default();
    directory.renew_sponsor(&instance("i2"), LEASE, Timestamp::from_millis(1));
    directory.announce(engine("a", "m"), Timestamp::from_millis(1));
    // The sponsor sends the announcement once, while the last renewal here is fresh.
    directory.upsert_sponsored(&instance("i2"), engine("a", "m"), Timestamp::from_millis(100));
    assert!(directory.expire(Timestamp::from_millis(1_600)).is_empty());
    assert_eq!(candidate_names(&directory, "m", 1_600), ["a"]);
    assert_eq!(directory.local().len(), 0);
    let gone = LocalChange::Gone("a".try_into().unwrap());
    assert!(directory.take_changes().contains(&gone), "the others are told that it left here");
}

#[test]
fn an_endpoint_that_renews_here_once_stays_listed_by_its_sponsor() {
    let directory = Directory::default();
    directory.renew_sponsor(&instance("i2"), LEASE, Timestamp::from_millis(1));
    directory.upsert_sponsored(&instance("i2"), engine("a", "m"), Timestamp::from_millis(1));
    directory.announce(engine("a", "m"), Timestamp::from_millis(100));
    directory.expire(Timestamp::from_millis(1_700));
    assert_eq!(candidate_names(&directory, "m", 1_700), ["a"]);
    let (name, now) = ("a".try_into().unwrap(), Timestamp::from_millis(1_701));
    directory.remove_sponsored(&instance("i2"), &name, now);
    assert!(candidate_names(&directory, "m", 1_701).is_empty());
}

#[test]
fn a_sponsor_that_withdraws_an_endpoint_while_it_renews_here_is_not_used_later() {
    for withdraw_all in [false, true] {
        let directory = Directory::default();
        directory.renew_sponsor(&instance("i2"), LEASE, Timestamp::from_millis(1));
        directory.announce(engine("a", "m"), Timestamp::from_millis(1));
        directory.upsert_sponsored(&instance("i2"), engine("a", "m"), Timestamp::from_millis(100));
        let (sponsor, now) = (instance("i2"), Timestamp::from_millis(200));
        match withdraw_all {
            true => directory.replace_sponsored(&sponsor, Vec::new(), now),
            false => directory.remove_sponsored(&sponsor, &"a".try_into().unwrap(), now),
        }
        assert_eq!(directory.expire(Timestamp::from_millis(1_600)).len(), 1);
        assert!(candidate_names(&directory, "m", 1_600).is_empty());
    }
}
