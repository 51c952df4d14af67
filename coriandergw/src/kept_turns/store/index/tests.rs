//! Tests of the index.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::kept_turns::TurnKey;
use crate::kept_turns::store::index::ChainLookup;
use crate::kept_turns::store::index::Index;
use crate::kept_turns::store::index::Position;
use crate::kept_turns::store::index::SegmentUse;
use crate::kept_turns::store::index::TurnMeta;
use crate::test_support;

fn key(turn: &str) -> TurnKey {
    TurnKey { account: "a".into(), turn: turn.into() }
}

fn meta(previous: Option<&str>, root: &str, expires_ms: u64) -> TurnMeta {
    TurnMeta {
        previous: previous.map(Into::into),
        root: root.into(),
        expires_ms,
        is_partial: false,
    }
}

fn at(offset: u64) -> Position {
    Position { segment: 1, offset, length: 10 }
}

fn turns_of(lookup: ChainLookup) -> Vec<String> {
    let ChainLookup::Complete(chain) = lookup else { panic!("not complete: {lookup:?}") };
    chain.into_iter().map(|(key, _)| key.turn.to_string()).collect()
}

// Guards against a chain that loses its first turns while it is continued.
#[test]
fn a_turn_keeps_all_turns_before_it() {
    let mut index = Index::default();
    index.insert(key("1"), meta(None, "1", 100), at(0));
    index.insert(key("2"), meta(Some("1"), "1", 200), at(10));
    index.insert(key("3"), meta(Some("2"), "1", 150), at(20));
    index.insert(key("4"), meta(Some("2"), "1", 300), at(30));
    index.expire(299);
    assert_eq!(turns_of(index.chain(&key("4"))), ["1", "2", "4"]);
    assert_eq!(index.chain(&key("3")), ChainLookup::Absent);
    index.expire(300);
    assert!(index.is_empty());
    assert_eq!(index.segment_use(1), SegmentUse::default());
}

// Guards against a part of an answer that takes the place of the whole one.
#[test]
fn a_whole_turn_replaces_a_partial_one_and_never_the_other_way_round() {
    let partial = TurnMeta { is_partial: true, ..meta(None, "1", 500) };
    let mut index = Index::default();
    index.insert(key("1"), partial.clone(), at(0));
    index.insert(key("2"), meta(Some("1"), "1", 500), at(10));
    assert_eq!(index.chain(&key("2")), ChainLookup::Incomplete);
    index.insert(key("1"), meta(None, "1", 100), at(20));
    assert_eq!(turns_of(index.chain(&key("2"))), ["1", "2"]);
    index.insert(key("1"), partial, at(30));
    assert_eq!(index.position(&key("1")), Some(at(20)));
    assert_eq!(index.segment_use(1), SegmentUse { records: 2, bytes: 20 });
    index.expire(499);
    assert_eq!(index.len(), 2);
}

// Guards against a repaired turn that expires before those that continue from it.
#[test]
fn a_turn_that_was_damaged_and_written_again_lives_as_long_as_its_chain() {
    let mut index = Index::default();
    index.insert(key("1"), meta(None, "1", 100), at(0));
    index.insert(key("2"), meta(Some("1"), "1", 300), at(10));
    index.remove_damaged(&key("1"), at(0));
    assert_eq!(index.chain(&key("2")), ChainLookup::Incomplete);
    index.insert(key("1"), meta(None, "1", 100), at(20));
    index.expire(299);
    assert_eq!(turns_of(index.chain(&key("2"))), ["1", "2"]);
}

proptest! {
    #![proptest_config(test_support::random_cases())]

    // Guards against turns that expire before, or are held after, the last one that continues from them.
    #[test]
    fn turns_live_as_long_as_their_last_descendant(
        turns in prop::collection::vec((any::<prop::sample::Index>(), 1..100u64), 1..30),
        now in 0..110u64,
    ) {
        let mut index = Index::default();
        let mut until: BTreeMap<usize, u64> = BTreeMap::new();
        let mut parents: Vec<Option<usize>> = Vec::new();
        for (at_turn, (parent, expires)) in turns.iter().enumerate() {
            let parent = (at_turn > 0).then(|| parent.index(at_turn));
            let name = parent.map(|parent| parent.to_string());
            let meta = meta(name.as_deref(), "0", *expires);
            index.insert(key(&at_turn.to_string()), meta, at(10 * at_turn as u64));
            parents.push(parent);
            let mut next = Some(at_turn);
            while let Some(turn) = next {
                let known = until.entry(turn).or_default();
                *known = (*known).max(*expires);
                next = parents[turn];
            }
        }
        index.expire(now);
        for (turn, until) in until {
            let is_here = matches!(index.chain(&key(&turn.to_string())), ChainLookup::Complete(_));
            prop_assert_eq!(is_here, until > now);
        }
    }
}
