//! Tests of the certainty that a turn does not exist.

use std::time::Duration;

use crate::clock::WallTime;
use crate::kept_turns::certainty::HolderAnswer;
use crate::kept_turns::certainty::LookUpScope;

const NOW_MS: u64 = 1_000_000;
const ABSENT: HolderAnswer = HolderAnswer::Absent { complete_since_ms: 0 };

fn scope(holders: usize) -> LookUpScope {
    let retention = Duration::from_secs(60);
    LookUpScope { holders, replicas: 3, retention, wall: WallTime(NOW_MS) }
}

// Guards against a 404 while all replicas of a turn may be on instances that have not answered.
#[test]
fn as_many_instances_without_an_answer_as_there_are_replicas_leave_it_uncertain() {
    for holders in 3..12 {
        let definite = vec![ABSENT; holders - 3];
        assert!(!scope(holders).is_certainly_absent(&definite), "{holders} holders");
        let definite = vec![ABSENT; holders - 2];
        assert!(scope(holders).is_certainly_absent(&definite), "{holders} holders");
    }
}

// Guards against a 404 of an instance that has heard of no holder, or of fewer than write a turn.
#[test]
fn no_answer_is_never_enough() {
    for holders in 0..4 {
        assert!(!scope(holders).is_certainly_absent(&[]), "{holders} holders");
        assert!(!scope(holders).is_certainly_absent(&[HolderAnswer::Unknown; 8]));
    }
}

// Guards against a disk that was replaced and denies what the old one held.
#[test]
fn an_instance_counts_once_it_has_been_complete_for_the_retention() {
    let answers = |age_s: u64| {
        [ABSENT, ABSENT, HolderAnswer::Absent { complete_since_ms: NOW_MS - age_s * 1_000 }]
    };
    for (age_s, is_certain) in [(0, false), (59, false), (61, false), (62, true), (900, true)] {
        assert_eq!(scope(5).is_certainly_absent(&answers(age_s)), is_certain, "{age_s} s");
    }
}

// Guards against a 404 for a turn that an instance has and cannot read.
#[test]
fn a_turn_that_cannot_be_read_exists() {
    let answers = [ABSENT, ABSENT, ABSENT, ABSENT, HolderAnswer::Unreadable];
    assert!(!scope(5).is_certainly_absent(&answers));
}
