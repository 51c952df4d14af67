//! Random programs, and the check that faults or the budget account for how their calls end.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::caller::Caller;
use crate::caller::Outcome;
use crate::caller::Program;
use crate::testbed::ENTRY;
use crate::testbed::MODEL;
use crate::testbed::RIVAL_ENTRY;
use crate::testbed::SERVICE;
use crate::testbed::TOOL;
use crate::testbed::call;

/// The result of a call whose outcome is unknown.
const OUTCOME_UNKNOWN: &str = "CG-3001";

/// The result of a call beyond the budget.
const BUDGET_EXHAUSTED: &str = "CG-1010";

/// A program as the seed decides it.
#[derive(Debug)]
pub struct Shape {
    entry: &'static str,
    targets: Vec<(&'static str, &'static str)>,
    /// How many of its calls the budget covers.
    allowed: usize,
}

impl Shape {
    /// Draws a program of two to four calls; the budget of one in five leaves the last one out.
    pub fn new(rng: &mut ChaCha8Rng) -> Self {
        let entry = if rng.random_bool(0.5) { ENTRY } else { RIVAL_ENTRY };
        let calls = rng.random_range(2..=4);
        let target = |_| match rng.random_range(0..4) {
            0 => ("model", MODEL),
            1 => ("tool", TOOL),
            _ => ("service", SERVICE),
        };
        let targets: Vec<_> = (0..calls).map(target).collect();
        let allowed = if rng.random_bool(0.2) { calls - 1 } else { calls };
        Self { entry, targets, allowed }
    }
}

/// Runs calls that depend on each other, up to the first that is not done.
///
/// # Panics
/// Panics if a call ends in a way that neither a fault nor the budget accounts for.
pub async fn run_program(caller: &Caller, shape: &Shape) -> Program {
    let program = caller.create(shape.entry, json!({"calls": shape.allowed})).await;
    for (n, (kind, target)) in shape.targets.iter().enumerate() {
        let before: Vec<String> = n.checked_sub(1).map(|n| format!("t{n}")).into_iter().collect();
        let after: Vec<&str> = before.iter().map(String::as_str).collect();
        let request = call(&format!("t{n}"), kind, target, &after);
        let outcome = caller.call(&program, request).await;
        check_outcome(&outcome, kind, n >= shape.allowed);
        if !matches!(outcome, Outcome::Done(_)) {
            break;
        }
    }
    program
}

fn check_outcome(outcome: &Outcome, kind: &str, is_over: bool) {
    let is_expected = match outcome {
        Outcome::Done(_) => !is_over,
        Outcome::Refused { code, not_run: false } if code == OUTCOME_UNKNOWN => kind == "service",
        Outcome::Refused { code, .. } if code == BUDGET_EXHAUSTED => is_over,
        _ => false,
    };
    assert!(is_expected, "a {kind} call ended with {outcome:?}");
}
