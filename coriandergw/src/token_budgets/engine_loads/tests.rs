//! Load pattern: a burst of programs through many entry instances before a few engines.

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

/// The candidates that every entry instance proposes for a program.
fn candidates(program: &str, count: usize) -> Vec<String> {
    let names = rendezvous::heaviest(program, &engines(), count);
    names.iter().map(ToString::to_string).collect()
}

/// Keeps 120 programs with a turn each under way; returns the most turns that an engine ever had.
fn busiest(proposed: usize) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut loads = EngineLoads::default();
    let mut under_way = Vec::new();
    let mut most = 0;
    for n in 0..4_000 {
        if under_way.len() == 120 {
            let ended: String = under_way.swap_remove(rng.random_range(0..120));
            loads.end(&key(&ended, "turn"));
        }
        let program = format!("p{n}");
        let engine = loads.choose(None, &candidates(&program, proposed)).unwrap();
        loads.begin(key(&program, "turn"), &engine, 0);
        under_way.push(program);
        let turns = engines().iter().map(|engine| loads.turns(engine.as_str())).max();
        most = most.max(turns.unwrap_or_default());
    }
    most
}

#[test]
fn a_burst_spreads_over_all_engines() {
    let (by_hash, by_load) = (busiest(1), busiest(3));
    // 10 on each would be even.
    assert!(by_load <= 14, "one engine had {by_load} turns");
    assert!(by_hash >= 20, "without a choice one engine had {by_hash} turns only");
}

#[test]
fn a_program_stays_at_its_engine_unless_that_is_far_busier() {
    let mut loads = EngineLoads::default();
    let proposed = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(loads.choose(Some("home"), &proposed).as_deref(), Some("home"));
    for n in 0..HOME_ADVANTAGE {
        loads.begin(key("others", &n.to_string()), "home", 0);
    }
    assert_eq!(loads.choose(Some("home"), &proposed).as_deref(), Some("home"));
    loads.begin(key("others", "one more"), "home", 0);
    assert_eq!(loads.choose(Some("home"), &proposed).as_deref(), Some("a"));
    assert_eq!(loads.choose(Some("home"), &[]).as_deref(), Some("home"));
    assert_eq!(loads.choose(None, &[]), None);
}

#[test]
fn turns_of_a_lost_entry_instance_do_not_count_for_ever() {
    let mut loads = EngineLoads::default();
    loads.begin(key("p", "lost"), "a", 1_000);
    loads.begin(key("p", "later"), "a", 4_000);
    loads.expire(1_000 + COUNTED_FOR_MS);
    assert_eq!(loads.turns("a"), 2);
    loads.expire(1_001 + COUNTED_FOR_MS);
    assert_eq!(loads.turns("a"), 1);
    loads.end(&key("p", "lost"));
    loads.end(&key("p", "later"));
    assert_eq!(loads.turns("a"), 0);
}
