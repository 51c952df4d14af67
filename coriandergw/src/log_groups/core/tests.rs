//! Runs the core under random schedules of faults.
//!
//! `CGW_SCHEDULES` sets the number of schedules, of which each test runs a quarter; `CGW_SEED` sets
//! the seed from which they are generated.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::log_groups::core::simulation::Action;
use crate::log_groups::core::simulation::NAMES;
use crate::log_groups::core::simulation::Simulation;

/// The default number of schedules.
const SCHEDULES: u32 = 10_000;

/// The divisor of the number of schedules that gives the number run by each test; the tests run in
/// parallel.
const SHARDS: u32 = 4;

/// The default seed.
const SEED: u64 = 4;

fn from_environment<T>(variable: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    std::env::var(variable).ok()?.parse().ok()
}

fn member() -> impl Strategy<Value = usize> {
    0..NAMES.len()
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        10 => (1u8..40).prop_map(|slots| Action::AdvanceTime { slots }),
        6 => Just(Action::Propose),
        2 => (member(), member()).prop_map(|(from, to)| Action::Cut { from, to }),
        1 => member().prop_map(|member| Action::Isolate { member }),
        2 => Just(Action::Heal),
        1 => (0u8..30, 0u8..30, 0u8..6).prop_map(|(loss, duplicates, delay_slots)| {
            Action::Network { loss, duplicates, delay_slots }
        }),
        2 => member().prop_map(|member| Action::Crash { member }),
        3 => member().prop_map(|member| Action::Restart { member }),
        2 => (member(), 0u8..4).prop_map(|(member, trailing)| Action::Compact { member, trailing }),
        1 => (member(), member()).prop_map(|(old, new)| Action::Replace { old, new }),
    ]
}

fn advance_time() -> impl Strategy<Value = Action> {
    (1u8..30).prop_map(|slots| Action::AdvanceTime { slots })
}

fn voters() -> impl Strategy<Value = Vec<usize>> {
    Just(vec![0, 1, 2]).prop_shuffle()
}

/// Commits a command without one voter, then lets that voter form a quorum with one of the others,
/// which was stopped, with `loses_log` also lost its log, and was restarted.
///
/// Guards against the loss of a command when two successive quorums have a single voter in common.
fn changing_quorums(loses_log: bool) -> impl Strategy<Value = Vec<Action>> {
    let pauses = (1u8..4, advance_time(), advance_time());
    (voters(), pauses, any::<bool>()).prop_map(move |(voters, (soon, settle, after), other)| {
        let [first, second, third] = [voters[0], voters[1], voters[2]];
        let stopped = if other { first } else { second };
        let stop = match loses_log {
            true => Action::LoseLog { member: stopped },
            false => Action::Crash { member: stopped },
        };
        vec![
            Action::Isolate { member: third },
            settle.clone(),
            Action::Propose,
            Action::AdvanceTime { slots: soon },
            stop,
            Action::Heal,
            Action::Isolate { member: first + second - stopped },
            Action::Restart { member: stopped },
            after,
            settle,
            Action::Propose,
            Action::AdvanceTime { slots: 10 },
            Action::Heal,
        ]
    })
}

fn steps() -> impl Strategy<Value = Vec<Action>> {
    prop_oneof![
        12 => action().prop_map(|action| vec![action]),
        1 => changing_quorums(false),
    ]
}

fn steps_with_lost_logs() -> impl Strategy<Value = Vec<Action>> {
    let lose_log = member().prop_map(|member| vec![Action::LoseLog { member }]);
    prop_oneof![
        30 => steps(),
        1 => lose_log,
        3 => changing_quorums(true),
    ]
}

fn run_schedule(mut simulation: Simulation, actions: &[Action]) -> Result<usize, TestCaseError> {
    let run = || {
        actions.iter().for_each(|action| simulation.run(action));
        simulation.settle();
        simulation.acknowledged()
    };
    catch_unwind(AssertUnwindSafe(run)).map_err(|cause| {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(|text| text.to_string()));
        TestCaseError::fail(text.unwrap_or_default())
    })
}

fn run_shard<S>(shard: u32, start: fn(u64) -> Simulation, steps: S)
where
    S: Strategy<Value = Vec<Action>>,
{
    let cases = from_environment("CGW_SCHEDULES").unwrap_or(SCHEDULES) / SHARDS;
    let base = from_environment("CGW_SEED").unwrap_or(SEED);
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&base.to_le_bytes());
    seed[8] = shard as u8;
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedule = (any::<u64>(), prop::collection::vec(steps, 10..30));
    let acknowledged = std::cell::Cell::new(0);
    let result = runner.run(&schedule, |(seed, actions)| {
        acknowledged.set(acknowledged.get() + run_schedule(start(seed), &actions.concat())?);
        Ok(())
    });
    result.unwrap_or_else(|cause| panic!("CGW_SEED={base}, shard {shard}: {cause}"));
    let acknowledged = acknowledged.get();
    assert!(acknowledged > cases as usize, "only {acknowledged} commands were acknowledged");
}

#[test]
fn schedules_keep_the_invariants_1() {
    run_shard(0, Simulation::new, steps());
}

#[test]
fn schedules_keep_the_invariants_2() {
    run_shard(1, Simulation::new, steps());
}

#[test]
fn schedules_keep_the_invariants_3() {
    run_shard(2, Simulation::new, steps());
}

#[test]
fn schedules_without_leases_keep_the_invariants() {
    run_shard(4, Simulation::without_leases, steps());
}

/// The slots within which another voter must lead in 99 of 100 cases after the loss of a leader:
/// 1.2 s.
const FAILOVER_SLOTS: u8 = 60;

#[test]
fn another_voter_of_a_group_without_leases_leads_soon_after_the_leader_is_lost() {
    let is_late = |seed: &u64| {
        let mut simulation = Simulation::without_leases(*seed);
        simulation.run(&Action::AdvanceTime { slots: 100 });
        let lost = simulation.leader().expect("nothing failed");
        simulation.run(&Action::Crash { member: lost });
        simulation.run(&Action::AdvanceTime { slots: FAILOVER_SLOTS });
        simulation.leader().is_none_or(|next| next == lost)
    };
    let late: Vec<u64> = (0..400).filter(is_late).collect();
    assert!(late.len() <= 4, "no new leader in time with the seeds {late:?}");
}

#[test]
fn schedules_with_lost_logs_keep_the_invariants() {
    run_shard(3, Simulation::new, steps_with_lost_logs());
}

#[test]
fn a_voter_that_lost_its_log_makes_no_quorum() {
    let mut simulation = Simulation::new(SEED);
    simulation.run(&Action::AdvanceTime { slots: 100 });
    simulation.run(&Action::Propose);
    simulation.run(&Action::AdvanceTime { slots: 20 });
    let first = simulation.leader().expect("nothing failed");
    let lost = (first + 1) % 3;
    simulation.run(&Action::LoseLog { member: lost });
    simulation.run(&Action::Restart { member: lost });
    // A leader elected after the loss does not know what the voter once acknowledged.
    simulation.run(&Action::Crash { member: first });
    simulation.run(&Action::Restart { member: first });
    simulation.run(&Action::AdvanceTime { slots: 200 });
    let leader = simulation.leader().expect("two intact voters make a quorum");
    let stopped = 3 - leader - lost;
    simulation.run(&Action::Crash { member: stopped });
    let before = simulation.acknowledged();
    simulation.run(&Action::Propose);
    simulation.run(&Action::AdvanceTime { slots: 20 });
    assert_eq!(simulation.acknowledged(), before);
    simulation.run(&Action::Restart { member: stopped });
    simulation.run(&Action::AdvanceTime { slots: 200 });
    simulation.run(&Action::Propose);
    simulation.run(&Action::AdvanceTime { slots: 20 });
    assert!(simulation.acknowledged() > before, "two intact voters make a quorum");
}

#[test]
fn a_voter_without_its_log_catches_up_under_the_leader_that_knew_it() {
    let mut simulation = Simulation::new(SEED);
    simulation.run(&Action::AdvanceTime { slots: 100 });
    simulation.run(&Action::Propose);
    simulation.run(&Action::AdvanceTime { slots: 20 });
    let leader = simulation.leader().expect("nothing failed");
    let (emptied, stopped) = ((leader + 1) % 3, (leader + 2) % 3);
    simulation.forget_log(emptied);
    simulation.run(&Action::Restart { member: emptied });
    simulation.run(&Action::AdvanceTime { slots: 40 });
    simulation.run(&Action::Crash { member: stopped });
    let before = simulation.acknowledged();
    simulation.run(&Action::Propose);
    simulation.run(&Action::AdvanceTime { slots: 40 });
    assert_eq!(simulation.leader(), Some(leader));
    assert!(simulation.acknowledged() > before, "the emptied voter did not accept the entries");
}

#[test]
fn a_new_voter_counts_only_once_it_has_caught_up() {
    let mut simulation = Simulation::new(SEED);
    simulation.run(&Action::AdvanceTime { slots: 100 });
    simulation.run(&Action::Propose);
    let old = (simulation.leader().expect("nothing failed") + 1) % 3;
    let new = 3;
    simulation.run(&Action::Isolate { member: new });
    simulation.run(&Action::Replace { old, new });
    simulation.run(&Action::AdvanceTime { slots: 100 });
    assert!(simulation.is_voter(old) && !simulation.is_voter(new));
    simulation.run(&Action::Heal);
    simulation.run(&Action::AdvanceTime { slots: 200 });
    assert!(simulation.is_voter(new) && !simulation.is_voter(old));
}

// Guards against the loss of an acknowledged command when a disk is lost and all other members
// lose power at the same moment.
#[test]
fn an_acknowledged_command_survives_a_lost_log_and_the_loss_of_power_of_all_others() {
    for seed in 0..300 {
        let mut simulation = Simulation::without_leases(seed);
        simulation.run(&Action::AdvanceTime { slots: 100 });
        simulation.run(&Action::Propose);
        let slots = 1 + (seed % 9) as u8;
        simulation.run(&Action::AdvanceTime { slots });
        let lost = (seed % 3) as usize;
        simulation.run(&Action::LoseLog { member: lost });
        for member in (0..NAMES.len()).filter(|member| *member != lost) {
            simulation.run(&Action::Crash { member });
        }
        for member in 0..NAMES.len() {
            simulation.run(&Action::Restart { member });
        }
        // Each step checks that a leader holds what was acknowledged.
        simulation.run(&Action::AdvanceTime { slots: 200 });
        assert!(simulation.leader().is_some_and(|leader| leader != lost), "seed {seed}");
        let before = simulation.acknowledged();
        simulation.run(&Action::Propose);
        simulation.run(&Action::AdvanceTime { slots: 40 });
        assert!(simulation.acknowledged() > before, "seed {seed}");
    }
}
