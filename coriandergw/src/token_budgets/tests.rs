//! Tests of the state machine that holds the token budgets.

use std::collections::BTreeMap;

use prost::Message as _;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::log_groups::StateMachine;
use crate::token_budgets::generated as raw;
use crate::token_budgets::machine::BudgetMachine;

fn reserve(machine: &mut BudgetMachine, turn: &str, budget: u64, tokens: u64) -> bool {
    let (program, turn) = ("p".to_owned(), turn.to_owned());
    let reserve = raw::Reserve { program, turn, budget, tokens, ..raw::Reserve::default() };
    let command = raw::Command { reserves: vec![reserve], ..raw::Command::default() };
    let answer = machine.apply(1, &command.encode_to_vec());
    raw::Answer::decode(answer).expect("an answer").verdicts[0].granted
}

fn settle(machine: &mut BudgetMachine, turn: &str, tokens: u64, wall_ms: u64) {
    let (program, turn) = ("p".to_owned(), turn.to_owned());
    let settle = raw::Settle { program, turn, tokens, ..raw::Settle::default() };
    let command = raw::Command { settles: vec![settle], wall_ms, ..raw::Command::default() };
    machine.apply(1, &command.encode_to_vec());
}

#[test]
fn what_is_reserved_and_not_settled_counts_as_spent() {
    let mut machine = BudgetMachine::default();
    assert!(reserve(&mut machine, "a", 20, 10));
    assert!(reserve(&mut machine, "b", 20, 10));
    assert!(!reserve(&mut machine, "c", 20, 10));
    settle(&mut machine, "a", 4, 0);
    assert!(!reserve(&mut machine, "c", 20, 10));
    assert!(reserve(&mut machine, "c", 20, 6));
}

#[test]
fn a_repeated_reservation_or_settlement_counts_once() {
    let mut machine = BudgetMachine::default();
    assert!(reserve(&mut machine, "a", 20, 10));
    assert!(reserve(&mut machine, "a", 20, 10));
    settle(&mut machine, "a", 5, 0);
    settle(&mut machine, "a", 5, 0);
    assert!(reserve(&mut machine, "b", 20, 15));
}

#[test]
fn a_reservation_that_arrives_after_its_withdrawal_is_not_granted() {
    let mut machine = BudgetMachine::default();
    settle(&mut machine, "a", 0, 0);
    assert!(!reserve(&mut machine, "a", 20, 10));
    assert!(reserve(&mut machine, "b", 20, 20));
}

#[test]
fn a_snapshot_holds_reservations_and_settled_turns() {
    let mut machine = BudgetMachine::default();
    assert!(reserve(&mut machine, "a", 20, 10));
    settle(&mut machine, "b", 5, 0);
    let mut restored = BudgetMachine::default();
    restored.restore(&machine.snapshot()).expect("valid");
    assert_eq!(restored.snapshot(), machine.snapshot());
    assert!(!reserve(&mut restored, "c", 20, 6));
    assert!(!reserve(&mut restored, "b", 20, 1));
    assert!(restored.restore(b"\xff\xff\xff").is_err());
}

#[test]
fn a_program_is_forgotten_only_long_after_its_last_turn() {
    let mut machine = BudgetMachine::default();
    settle(&mut machine, "a", 20, 1_000);
    // Empty commands advance the time and trigger the removal of unused programs.
    let advance = |machine: &mut BudgetMachine, wall_ms: u64| {
        for _ in 0..600 {
            let command = raw::Command { wall_ms, ..raw::Command::default() };
            machine.apply(1, &command.encode_to_vec());
        }
    };
    advance(&mut machine, 200_000);
    assert!(!reserve(&mut machine, "b", 20, 1));
    advance(&mut machine, 600_000);
    assert!(reserve(&mut machine, "c", 20, 20));
}

/// Reserves tokens for a turn with candidate engines; returns the engine that was chosen.
fn reserve_on(machine: &mut BudgetMachine, program: &str, turn: &str, engines: &[&str]) -> String {
    let engines = engines.iter().map(ToString::to_string).collect();
    let (program, turn) = (program.to_owned(), turn.to_owned());
    let reserve = raw::Reserve {
        program,
        turn,
        budget: 1_000,
        tokens: 1,
        engines,
        ..raw::Reserve::default()
    };
    let command = raw::Command { reserves: vec![reserve], ..raw::Command::default() };
    let answer = machine.apply(1, &command.encode_to_vec());
    raw::Answer::decode(answer).expect("an answer").verdicts[0].engine.clone()
}

fn settle_on(machine: &mut BudgetMachine, program: &str, turn: &str, engine: &str) {
    let (program, turn) = (program.to_owned(), turn.to_owned());
    let settle = raw::Settle {
        program,
        turn,
        tokens: 1,
        engine: engine.to_owned(),
        ..raw::Settle::default()
    };
    let command = raw::Command { settles: vec![settle], ..raw::Command::default() };
    machine.apply(1, &command.encode_to_vec());
}

#[test]
fn turns_go_to_the_engine_with_the_fewest_and_then_stay_with_their_program() {
    let mut machine = BudgetMachine::default();
    assert_eq!(reserve_on(&mut machine, "p1", "a", &["x", "y"]), "x");
    assert_eq!(reserve_on(&mut machine, "p1", "a", &["y"]), "x", "a repeated command counts once");
    assert_eq!(reserve_on(&mut machine, "p2", "a", &["x", "y"]), "y");
    settle_on(&mut machine, "p1", "a", "x");
    assert_eq!(reserve_on(&mut machine, "p3", "a", &["y", "x"]), "x");
    assert_eq!(reserve_on(&mut machine, "p1", "b", &["z"]), "x", "x has the prompt of p1 cached");
    // Engine `x` had gone, and engine `z` ran the turn instead.
    settle_on(&mut machine, "p1", "b", "z");
    assert_eq!(reserve_on(&mut machine, "p1", "c", &["x"]), "z");
}

#[test]
fn a_snapshot_holds_where_turns_run() {
    let mut machine = BudgetMachine::default();
    reserve_on(&mut machine, "p1", "a", &["x", "y"]);
    reserve_on(&mut machine, "p2", "a", &["x", "y"]);
    reserve_on(&mut machine, "p3", "a", &["x", "y"]);
    let mut restored = BudgetMachine::default();
    restored.restore(&machine.snapshot()).expect("valid");
    assert_eq!(restored.snapshot(), machine.snapshot());
    assert_eq!(reserve_on(&mut restored, "p4", "a", &["x", "y"]), "y");
    assert_eq!(reserve_on(&mut restored, "p2", "b", &["x"]), "y");
}

/// Reserves a turn with one engine of each of two versions; returns the engine and the version.
fn reserve_at_versions(machine: &mut BudgetMachine, turn: &str, resumes: &str) -> (String, String) {
    let reserve = raw::Reserve {
        program: "p".to_owned(),
        turn: turn.to_owned(),
        budget: 1_000,
        tokens: 1,
        engines: vec!["a".to_owned(), "b".to_owned()],
        versions: vec!["v1".to_owned(), "v2".to_owned()],
        resumes: resumes.to_owned(),
        limited: Vec::new(),
    };
    let command = raw::Command { reserves: vec![reserve], ..raw::Command::default() };
    let answer = machine.apply(1, &command.encode_to_vec());
    let mut answer = raw::Answer::decode(answer).expect("an answer");
    let verdict = answer.verdicts.remove(0);
    assert!(verdict.granted);
    (verdict.engine, verdict.version)
}

fn bind(machine: &mut BudgetMachine, turn: &str, version: &str) {
    let (program, turn) = ("p".to_owned(), turn.to_owned());
    let bind = raw::Bind { program, turn, version: version.to_owned() };
    let command = raw::Command { binds: vec![bind], ..raw::Command::default() };
    machine.apply(1, &command.encode_to_vec());
}

fn pair(engine: &str, version: &str) -> (String, String) {
    (engine.to_owned(), version.to_owned())
}

// Guards against a stream that goes on at another version because another engine ran its first turn.
#[test]
fn a_turn_that_resumes_a_stream_gets_an_engine_of_its_version() {
    let mut machine = BudgetMachine::default();
    assert_eq!(reserve_at_versions(&mut machine, "t1", ""), pair("a", "v1"));
    // The placed engine was full, and one of another version made the first event.
    bind(&mut machine, "t1", "v2");
    let mut restored = BudgetMachine::default();
    restored.restore(&machine.snapshot()).expect("valid");
    for machine in [&mut machine, &mut restored] {
        assert_eq!(reserve_at_versions(machine, "t2", "t1"), pair("b", "v2"));
        // The third attempt names the first one as well.
        assert_eq!(reserve_at_versions(machine, "t3", "t1"), pair("b", "v2"));
        assert_eq!(reserve_at_versions(machine, "t4", "unknown"), pair("", ""));
    }
}

// Guards against a late copy of a reservation that undoes the record of the first event's version.
#[test]
fn a_repeated_reservation_keeps_the_version_of_the_turn() {
    let mut machine = BudgetMachine::default();
    reserve_at_versions(&mut machine, "t1", "");
    bind(&mut machine, "t1", "v2");
    assert_eq!(reserve_at_versions(&mut machine, "t1", "").1, "v2");
    assert_eq!(reserve_at_versions(&mut machine, "t2", "t1").1, "v2");
}

/// The engines of the load with limits; two thirds of them name one.
const LIMITED: [&str; 8] = ["l0", "l1", "l2", "l3", "l4", "l5", "l6", "l7"];
const UNLIMITED: [&str; 4] = ["u0", "u1", "u2", "u3"];

/// Reserves a turn with all engines proposed and returns the engine that the journal assigns.
fn assign_among_limited(machine: &mut BudgetMachine, number: usize, turn: &str) -> String {
    let mut limited = LIMITED;
    // Each program prefers other engines.
    limited.rotate_left(number % LIMITED.len());
    let reserve = raw::Reserve {
        program: format!("p{number}"),
        turn: turn.to_owned(),
        budget: 1_000,
        tokens: 1,
        engines: limited.iter().chain(&UNLIMITED).map(ToString::to_string).collect(),
        limited: LIMITED.map(|_| true).into_iter().chain(UNLIMITED.map(|_| false)).collect(),
        ..raw::Reserve::default()
    };
    let command = raw::Command { reserves: vec![reserve], ..raw::Command::default() };
    let answer = machine.apply(1, &command.encode_to_vec());
    raw::Answer::decode(answer).expect("an answer").verdicts[0].engine.clone()
}

// Guards against programs that move back and forth between engines with and without a limit, since
// a limited engine always runs few turns: each move reads the whole prompt anew.
#[test]
fn a_program_that_had_no_room_at_a_limited_engine_does_not_move_back_to_one() {
    let mut machine = BudgetMachine::default();
    let mut engines: BTreeMap<String, String> = BTreeMap::new();
    let mut moves = 0;
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    let mut order: Vec<usize> = (0..100).collect();
    for round in 0..12 {
        // Each limited engine takes two turns a round.
        let mut permits: BTreeMap<&str, usize> = LIMITED.map(|engine| (engine, 2)).into();
        let mut running = Vec::new();
        order.shuffle(&mut rng);
        for number in order.iter().copied() {
            let (program, turn) = (format!("p{number}"), format!("t{round}"));
            let assigned = assign_among_limited(&mut machine, number, &turn);
            let engine = match permits.get_mut(assigned.as_str()) {
                Some(0) => UNLIMITED[number % UNLIMITED.len()].to_owned(),
                Some(left) => {
                    *left -= 1;
                    assigned
                }
                None => assigned,
            };
            let before = engines.insert(program.clone(), engine.clone());
            moves += usize::from(before.is_some_and(|before| before != engine));
            match UNLIMITED.contains(&engine.as_str()) {
                // The engines without a limit are busy and slow.
                true => running.push((program, turn, engine)),
                false => settle_on(&mut machine, &program, &turn, &engine),
            }
        }
        for (program, turn, engine) in running {
            settle_on(&mut machine, &program, &turn, &engine);
        }
    }
    // A program moves once, when it finds no room; a few move on to a less loaded engine.
    assert!(moves <= 100, "100 programs moved {moves} times in 12 turns");
}
