//! The state machines, whose voters must all come to the same state.

use std::collections::BTreeMap;

use prost::Message as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use sha2::Digest as _;
use sha2::Sha256;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::compatibility::encodings::released;
use crate::compatibility::encodings::released_one;
use crate::compatibility::encodings::with_newer_fields;
use crate::log_groups::StateMachine;
use crate::roster::state::ConfigState;
use crate::token_budgets::generated as budgets;
use crate::token_budgets::machine::BudgetMachine;
use crate::versions::generated as versions;
use crate::versions::generated::command::Kind;
use crate::versions::machine::VersionsMachine;

/// The commands of the random sequence: several removals of unused programs.
const COMMANDS: usize = 3_000;

/// The sequence is compared after each so many commands, so that a failure says where it is.
const COMPARE_EVERY: usize = 500;

fn random_command(rng: &mut ChaCha8Rng, wall_ms: &mut u64) -> budgets::Command {
    *wall_ms += rng.random_range(0..400);
    let mut command = budgets::Command { wall_ms: *wall_ms, ..budgets::Command::default() };
    let program = format!("p{}", rng.random_range(0..30u32));
    let turn = format!("t{}", rng.random_range(0..120u32));
    let engine = format!("i-{}", rng.random_range(0..6u32));
    let version = format!("v{}", rng.random_range(1..3u32));
    match rng.random_range(0..10u32) {
        0..5 => {
            let engines = (0..3).map(|_| format!("i-{}", rng.random_range(0..6u32))).collect();
            let versions = (0..3).map(|_| format!("v{}", rng.random_range(1..3u32))).collect();
            let resumes = match rng.random_range(0..4u32) {
                0 => format!("t{}", rng.random_range(0..120u32)),
                _ => String::new(),
            };
            command.reserves.push(budgets::Reserve {
                program,
                turn,
                budget: 20_000,
                tokens: rng.random_range(1..400),
                engines,
                versions,
                resumes,
                limited: (0..3).map(|_| rng.random_bool(0.2)).collect(),
            });
        }
        5..9 => {
            let tokens = rng.random_range(0..400);
            command.settles.push(budgets::Settle { program, turn, tokens, engine, version });
        }
        _ => command.binds.push(budgets::Bind { program, turn, version }),
    }
    // Now and then nothing happens for longer than unused programs are kept.
    if rng.random_range(0..700u32) == 0 {
        *wall_ms += 301_000;
    }
    command
}

fn random_commands() -> Vec<budgets::Command> {
    let mut rng = ChaCha8Rng::seed_from_u64(34);
    let mut wall_ms = 1_700_000_000_000;
    (0..COMMANDS).map(|_| random_command(&mut rng, &mut wall_ms)).collect()
}

fn version_commands() -> Vec<versions::Command> {
    let put = |version, document: &'static str| {
        Kind::Put(versions::Put { version, document: document.into() })
    };
    let voters = |voters: &[&str]| {
        Kind::Found(versions::Found { voters: voters.iter().map(ToString::to_string).collect() })
    };
    let retire = |node: &str| Kind::Retire(versions::Retire { node: node.to_owned() });
    let kinds = vec![
        put(3, "three"),
        put(2, "two"),
        voters(&["10.0.0.5:7382/0", "10.0.0.6:7382/0"]),
        voters(&["10.0.0.7:7382/0"]),
        Kind::Read(versions::Read {}),
        retire("store-1"),
        retire("store-1"),
        put(3, "other"),
        put(9, "nine"),
    ];
    kinds
        .into_iter()
        .map(|kind| versions::Command { kind: Some(kind), ..versions::Command::default() })
        .collect()
}

fn versions_machine() -> VersionsMachine {
    VersionsMachine::new(watch::channel(ConfigState::default()).0, mpsc::unbounded_channel().0)
}

// Guards against voters of two builds whose budgets, engines or versions differ after the same
// commands.
#[test]
fn budgets_come_to_the_state_of_the_released_build() {
    let mut machine = BudgetMachine::default();
    let mut answers = Sha256::new();
    let mut present = BTreeMap::new();
    for (index, command) in random_commands().into_iter().enumerate() {
        let answer = machine.apply(index as u64 + 1, &command.encode_to_vec());
        answers.update((answer.len() as u64).to_be_bytes());
        answers.update(&answer);
        if (index + 1).is_multiple_of(COMPARE_EVERY) {
            let state = Sha256::digest(machine.snapshot());
            let digests = [answers.clone().finalize(), state].concat();
            present.insert(format!("token_budgets.after-{}", index + 1), digests);
        }
    }
    let released = released(&present);
    for (name, digests) in &present {
        assert_eq!(hex::encode(digests), hex::encode(&released[name]), "{name}");
    }
}

// Guards against voters of two builds that hold different configurations after the same commands.
#[test]
fn configurations_come_to_the_state_of_the_released_build() {
    let mut machine = versions_machine();
    let mut answers = Vec::new();
    for command in version_commands() {
        answers.extend(machine.apply(1, &command.encode_to_vec()));
    }
    let released_answers = released_one("versions.answers", &answers);
    assert_eq!(hex::encode(&answers), hex::encode(released_answers));
    let snapshot = machine.snapshot();
    let released_snapshot = released_one("versions.snapshot", &snapshot);
    assert_eq!(hex::encode(&snapshot), hex::encode(released_snapshot));
}

// Guards against a snapshot of the released build that a voter cannot take over, or not in full.
#[test]
fn snapshots_of_the_released_build_are_restored_in_full() {
    let mut machine = BudgetMachine::default();
    for command in random_commands().into_iter().take(20) {
        machine.apply(1, &command.encode_to_vec());
    }
    let snapshot = released_one("token_budgets.snapshot", &machine.snapshot());
    let mut restored = BudgetMachine::default();
    restored.restore(&snapshot).expect("a snapshot");
    assert_eq!(hex::encode(restored.snapshot()), hex::encode(&snapshot));

    let mut machine = versions_machine();
    for command in version_commands() {
        machine.apply(1, &command.encode_to_vec());
    }
    let snapshot = released_one("versions.snapshot", &machine.snapshot());
    let mut restored = versions_machine();
    restored.restore(&snapshot).expect("a snapshot");
    assert_eq!(hex::encode(restored.snapshot()), hex::encode(&snapshot));
}

// Guards against a newer build's field that makes a voter of this build skip the command.
#[test]
fn commands_with_fields_of_a_newer_build_are_applied() {
    let (mut plain, mut newer) = (BudgetMachine::default(), BudgetMachine::default());
    for command in random_commands().into_iter().take(100) {
        let command = command.encode_to_vec();
        let answer = plain.apply(1, &command);
        assert_eq!(newer.apply(1, &with_newer_fields(&command)), answer);
    }
    assert_eq!(newer.snapshot(), plain.snapshot());
    let (mut plain, mut newer) = (versions_machine(), versions_machine());
    for command in version_commands() {
        let command = command.encode_to_vec();
        let answer = plain.apply(1, &command);
        assert_eq!(newer.apply(1, &with_newer_fields(&command)), answer);
    }
    let snapshot = with_newer_fields(&plain.snapshot());
    newer.restore(&snapshot).expect("a snapshot");
    assert_eq!(newer.snapshot(), plain.snapshot());
}

// Guards against a command of a newer build that stops a voter or changes its configuration.
#[test]
fn a_command_of_an_unknown_kind_changes_nothing() {
    let mut machine = versions_machine();
    for command in version_commands() {
        machine.apply(1, &command.encode_to_vec());
    }
    let before = machine.snapshot();
    assert_eq!(machine.apply(1, &with_newer_fields(&[])), before);
    assert_eq!(machine.snapshot(), before);
}
