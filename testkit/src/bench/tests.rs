use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::bench::control::Roles;
use crate::bench::control::sum_of;
use crate::bench::fit;
use crate::bench::latency::Latency;
use crate::bench::resources;
use crate::bench::shapes::Shape;
use crate::bench::shapes::Step;
use crate::bench::shapes::Targets;

fn steps(shape: Shape, seed: u64) -> Vec<Step> {
    let targets = Targets { model: "m".to_owned(), tool: "t".to_owned() };
    shape.steps(10, &targets, &mut ChaCha8Rng::seed_from_u64(seed))
}

fn calls(steps: &[Step]) -> usize {
    let calls = steps.iter().map(|step| match step {
        Step::Calls(calls) => calls.len(),
        _ => 0,
    });
    calls.sum()
}

#[test]
fn a_line_through_exact_points_has_no_residual() {
    let line = fit::line(&[(0.0, 5.0), (10.0, 25.0), (30.0, 65.0)]).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 5.0).abs() < 1e-9);
    assert!(line.worst_residual < 1e-9);
    assert_eq!(fit::line(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

#[test]
fn quantiles_count_every_duration() {
    let mut latency = Latency::default();
    (1..=100).for_each(|ms| latency.record(std::time::Duration::from_millis(ms)));
    let summary = latency.summary();
    assert_eq!(summary.count, 100);
    assert!((49.9..50.1).contains(&summary.p50_ms) && (98.9..99.2).contains(&summary.p99_ms));
}

#[test]
fn shapes_repeat_under_a_seed_and_hold_their_calls() {
    for shape in [Shape::Chain, Shape::FanOut, Shape::Pauses, Shape::Agents, Shape::Loops] {
        assert_eq!(calls(&steps(shape, 1)), 10, "{shape:?}");
    }
    assert_eq!(steps(Shape::Mixed, 5), steps(Shape::Mixed, 5));
    assert_ne!(steps(Shape::Chain, 1), steps(Shape::Chain, 2));
    assert!(steps(Shape::Agents, 1).contains(&Step::Descend));
}

#[test]
fn usage_is_read_from_the_files_of_the_operating_system() {
    assert_eq!(resources::resident_kib("Name:\tx\nVmRSS:\t  2048 kB\n"), 2_048);
    let stat = "7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0";
    assert_eq!(resources::cpu_seconds(stat), 3.0);
    assert!(resources::usage(std::process::id()).resident_kib > 0);
}

#[test]
fn control_traffic_is_summed_over_kinds_in_one_direction() {
    let text = "x_total{direction=\"sent\",kind=\"a\"} 5\nx_total{direction=\"received\",kind=\"a\"} 7\nx_total{direction=\"sent\",kind=\"b\"} 1\n";
    assert_eq!(sum_of(text, "x_total"), 6.0);
}

#[test]
fn an_instance_has_the_role_that_costs_most() {
    let instance = |name: &str, data_centre: &str| serde_json::json!({"name": name, "data_centre": data_centre});
    let status = serde_json::json!({
        "leader": "e1",
        "instances": [
            instance("e1", "a"), instance("e2", "b"), instance("e3", "a"), instance("e4", "c"),
        ],
    });
    let roles = Roles::of(&status, 2);
    let found: Vec<&str> = ["e1", "e2", "e3", "e4"].map(|name| roles.role(name)).to_vec();
    assert_eq!(found, ["leader", "store", "entry", "relay"]);
}
