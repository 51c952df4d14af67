//! Tests of the assignment of turns to engines, with a load pattern in which many entry instances
//! send a burst of programs to a few engines.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::ids::InstanceName;
use crate::rendezvous;

const ENGINES: usize = 12;

fn key(program: &str, turn: &str) -> TurnKey {
    TurnKey { program: program.into(), turn: turn.into() }
}

fn engines() -> Vec<InstanceName> {
    (0..ENGINES).map(|n| InstanceName::try_from(format!("e{n}")).unwrap()).collect()
}

/// Returns the candidates that every entry instance proposes for a program.
fn candidates(program: &str, count: usize) -> Vec<String> {
    let names = rendezvous::heaviest(program, &engines(), count);
    names.iter().map(ToString::to_string).collect()
}

/// Keeps 120 programs running with one turn each. Returns the highest number of turns that ran on
/// one engine at a time.
fn max_turns_per_engine(candidate_count: usize) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut loads = EngineLoads::default();
    let mut running = Vec::new();
    let mut max_turns = 0;
    for n in 0..4_000 {
        if running.len() == 120 {
            let finished: String = running.swap_remove(rng.random_range(0..120));
            loads.end(&key(&finished, "turn"));
        }
        let program = format!("p{n}");
        let engine = loads.choose(None, &candidates(&program, candidate_count)).unwrap();
        loads.begin(key(&program, "turn"), &engine, 0);
        running.push(program);
        let turns = engines().iter().map(|engine| loads.turns(engine.as_str())).max();
        max_turns = max_turns.max(turns.unwrap_or_default());
    }
    max_turns
}

#[test]
fn a_burst_spreads_over_all_engines() {
    let (by_hash, by_load) = (max_turns_per_engine(1), max_turns_per_engine(3));
    // 120 turns on 12 engines are 10 on each if spread evenly.
    assert!(by_load <= 14, "one engine had {by_load} turns");
    assert!(by_hash >= 20, "with a single candidate, one engine had only {by_hash} turns");
}

#[test]
fn a_program_stays_at_its_engine_unless_that_is_far_busier() {
    let mut loads = EngineLoads::default();
    let candidates = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(loads.choose(Some("home"), &candidates).as_deref(), Some("home"));
    for n in 0..AFFINITY_TURNS {
        loads.begin(key("others", &n.to_string()), "home", 0);
    }
    assert_eq!(loads.choose(Some("home"), &candidates).as_deref(), Some("home"));
    loads.begin(key("others", "one more"), "home", 0);
    assert_eq!(loads.choose(Some("home"), &candidates).as_deref(), Some("a"));
    assert_eq!(loads.choose(Some("home"), &[]).as_deref(), Some("home"));
    assert_eq!(loads.choose(None, &[]), None);
}

#[test]
fn turns_of_a_lost_entry_instance_do_not_count_for_ever() {
    let mut loads = EngineLoads::default();
    loads.begin(key("p", "lost"), "a", 1_000);
    loads.begin(key("p", "later"), "a", 4_000);
    loads.expire(1_000 + RUNNING_TIMEOUT_MS);
    assert_eq!(loads.turns("a"), 2);
    loads.expire(1_001 + RUNNING_TIMEOUT_MS);
    assert_eq!(loads.turns("a"), 1);
    loads.end(&key("p", "lost"));
    loads.end(&key("p", "later"));
    assert_eq!(loads.turns("a"), 0);
}
