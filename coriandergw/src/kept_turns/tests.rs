//! Tests of the placement of chains.

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::placement::order_holders;
use crate::kept_turns::wire;

fn holders() -> Vec<Holder> {
    let holder = |number: usize| Holder {
        name: InstanceName::try_from(format!("10.0.0.{number}:1/a")).expect("a name"),
        data_centre: DataCentre::try_from(format!("dc-{}", number % 3).as_str()).expect("a name"),
    };
    (0..8).map(holder).collect()
}

// Guards against copies of a chain that are lost together with one data centre.
#[test]
fn the_first_holders_are_in_different_data_centres() {
    for chain in 0..100 {
        let ordered = order_holders("a", &chain.to_string(), &holders());
        assert_eq!(ordered.len(), 8);
        let mut centres: Vec<&str> =
            ordered[..3].iter().map(|holder| holder.data_centre.as_str()).collect();
        centres.sort_unstable();
        assert_eq!(centres, ["dc-0", "dc-1", "dc-2"]);
    }
}

// Guards against copies that move when another instance than their holder is lost.
#[test]
fn the_loss_of_an_instance_moves_only_what_it_held() {
    for chain in 0..100 {
        let root = chain.to_string();
        let before = order_holders("a", &root, &holders());
        for lost in holders() {
            let left: Vec<Holder> = holders().into_iter().filter(|one| *one != lost).collect();
            let after = order_holders("a", &root, &left);
            let moved = after[..3].iter().filter(|one| !before[..3].contains(one)).count();
            assert_eq!(moved, usize::from(before[..3].contains(&lost)));
        }
    }
}

fn record(turn: &str, previous: Option<&str>, root: &str) -> TurnRecord {
    TurnRecord {
        key: TurnKey { account: "a".into(), turn: turn.into() },
        previous: previous.map(Into::into),
        root: root.into(),
        input: "in".into(),
        output: "out\n".into(),
        expires_ms: 7,
        is_partial: true,
    }
}

// Guards against a field that is lost between instances or on a disk.
#[test]
fn a_record_survives_its_encoding() {
    let chain = vec![record("1", None, "1"), record("2", Some("1"), "1")];
    let body = raw::request::Body::Keep(raw::Keep { records: wire::encode_records(&chain) });
    let decoded = wire::decode_request(wire::encode_request(body)).expect("a request");
    let raw::request::Body::Keep(keep) = decoded else { panic!("another kind of request") };
    assert_eq!(wire::parse_chain(keep.records), Ok(chain));
}

// Guards against chains of two accounts or of two roots that are read as one.
#[test]
fn records_that_do_not_form_a_chain_are_refused() {
    let mut foreign = record("2", Some("1"), "1");
    foreign.key.account = "b".into();
    for second in [record("2", Some("3"), "1"), record("2", Some("1"), "4"), foreign] {
        let records = wire::encode_records(&[record("1", None, "1"), second]);
        assert!(wire::parse_chain(records).is_err());
    }
    for single in [record("", None, ""), record("1", None, "2"), record("1", Some("1"), "2")] {
        assert!(wire::parse_chain(wire::encode_records(&[single])).is_err());
    }
    let long = record("1", None, "1");
    let mut raw = raw::Record::from(&long);
    raw.account = "a".repeat(wire::NAME_MAX_BYTES + 1);
    assert!(TurnRecord::try_from(raw).is_err());
}
