//! Tests of what holders offer and send.

use std::collections::HashSet;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::store::repair::messages;
use crate::kept_turns::store::repair::missing_part;
use crate::kept_turns::store::repair::plan;
use crate::kept_turns::store::tests::turn;

fn holders(count: usize) -> Vec<Holder> {
    let holder = |number: usize| Holder {
        name: InstanceName::try_from(format!("10.0.0.{number}:1/a")).expect("a name"),
        data_centre: DataCentre::try_from(format!("dc-{}", number % 3).as_str()).expect("a name"),
    };
    (0..count).map(holder).collect()
}

// Guards against a chain that no holder feels responsible for, or that is copied to fewer instances than
// it has to be on.
#[test]
fn every_holder_offers_to_all_wanted_instances_but_itself() {
    let all = holders(8);
    let turns = [turn("1", None).key, turn("2", Some("1")).key];
    let chains = || [("a", "1", &turns[..])];
    let outside = InstanceName::try_from("10.0.0.99:1/a").expect("a name");
    let by_outside = plan(chains(), &all, 3, &outside).by_instance;
    assert_eq!(by_outside.len(), 3);
    assert!(by_outside.values().all(|offered| offered[..] == turns));
    for wanted in by_outside.keys() {
        let mut others = plan(chains(), &all, 3, wanted).by_instance;
        others.insert(wanted.clone(), turns.to_vec());
        assert_eq!(others, by_outside);
    }
    assert_eq!(plan(chains(), &all, 3, &outside).without_place, 0);
    assert_eq!(plan(chains(), &all[..2], 3, &outside).without_place, 2);
}

// Guards against turns that are sent again, or sent without those before them.
#[test]
fn a_chain_is_sent_from_its_first_missing_turn_on() {
    let chain = [turn("1", None), turn("2", Some("1")), turn("3", Some("2"))];
    let missing = |numbers: &[usize]| -> HashSet<TurnKey> {
        numbers.iter().map(|at| chain[*at].key.clone()).collect()
    };
    assert_eq!(missing_part(&chain, &missing(&[2])), &chain[2..]);
    assert_eq!(missing_part(&chain, &missing(&[1, 2])), &chain[1..]);
    assert!(missing_part(&chain, &missing(&[])).is_empty());
}

// Guards against a chain that is too long for one message and is never copied.
#[test]
fn a_long_chain_is_sent_in_several_messages_in_order() {
    let sizes = [600 << 10, 600 << 10, 2 << 20, 10, 20];
    let records: Vec<TurnRecord> = sizes
        .iter()
        .enumerate()
        .map(|(at, size)| TurnRecord {
            input: vec![0; *size].into(),
            ..turn(&at.to_string(), None)
        })
        .collect();
    let parts = messages(&records);
    let lengths: Vec<usize> = parts.iter().map(|part| part.len()).collect();
    assert_eq!(lengths, [1, 1, 1, 2]);
    assert_eq!(parts.concat(), records);
}
