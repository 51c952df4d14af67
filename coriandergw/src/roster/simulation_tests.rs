//! Schedules of faults over simulated sites.

use crate::roster::simulation::Simulation;
use crate::roster::simulation::Size;

/// The seeds of the schedules at a small site.
const SMALL_SEEDS: std::ops::Range<u64> = 0..200;

#[test]
fn views_of_a_small_site_hold_over_hundreds_of_schedules() {
    let size = Size { cores: 3, processes: 5, endpoints: 6 };
    for seed in SMALL_SEEDS {
        println!("seed {seed}");
        let mut simulation = Simulation::new(size, seed);
        simulation.run_with_faults(12_000);
        simulation.run_calm(16_000);
    }
}

#[test]
fn views_of_400_processes_hold_and_an_idle_process_costs_the_same_as_at_20() {
    let answers_at = |processes| {
        let size = Size { cores: 6, processes, endpoints: 90 };
        let mut simulation = Simulation::new(size, 7);
        simulation.run_calm(3_000);
        simulation.run_with_faults(4_000);
        simulation.run_calm(9_000);
        let before = simulation.answers(0);
        simulation.run_calm(2_000);
        simulation.answers(0) - before
    };
    let (few, many) = (answers_at(20), answers_at(400));
    assert!(many <= few * 2, "{many} answers in 2 s at 400 processes, {few} at 20");
}
