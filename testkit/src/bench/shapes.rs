//! The shapes of the programs that a load consists of.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// The shortest and longest pause of a person or tool between two turns, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..400;

/// The branches of a fan-out.
const BRANCHES: usize = 4;

/// A kind of program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::FromStr)]
pub enum Shape {
    /// Model and tool calls in turn, each after the one before.
    Chain,
    /// One model call, several tool calls at once, one model call.
    FanOut,
    /// A chain with pauses.
    Pauses,
    /// A chain that hands half of its calls to a sub-agent.
    Agents,
    /// The same tool call again and again.
    Loops,
    /// Any of the others, by the seed.
    Mixed,
}

/// What a program does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Sends calls at once and waits for all of them.
    Calls(Vec<Value>),
    /// Waits.
    Pause(Duration),
    /// Goes on as a sub-agent.
    Descend,
}

/// The targets of the calls.
#[derive(Debug, Clone)]
pub struct Targets {
    /// The model.
    pub model: String,
    /// The tool.
    pub tool: String,
}

impl Shape {
    const PLAIN: [Shape; 5] =
        [Shape::Chain, Shape::FanOut, Shape::Pauses, Shape::Agents, Shape::Loops];

    /// Returns the steps of one program of about `turns` calls.
    pub fn steps(self, turns: usize, targets: &Targets, rng: &mut ChaCha8Rng) -> Vec<Step> {
        match self {
            Shape::Chain => chain(turns, targets, rng),
            Shape::FanOut => fan_out(turns, targets),
            Shape::Pauses => with_pauses(chain(turns, targets, rng), rng),
            Shape::Agents => with_agent(chain(turns, targets, rng)),
            Shape::Loops => (0..turns).map(|n| Step::Calls(vec![repeated(n, targets)])).collect(),
            Shape::Mixed => {
                let plain = Shape::PLAIN[rng.random_range(0..Shape::PLAIN.len())];
                plain.steps(turns, targets, rng)
            }
        }
    }
}

fn call(n: usize, kind: &str, target: &str, input: Value) -> Value {
    json!({
        "call_id": format!("c{n}"),
        "kind": kind,
        "idempotent": kind == "tool",
        "target": target,
        "input": input,
    })
}

fn model_call(n: usize, targets: &Targets, words: usize) -> Value {
    let prompt = "word ".repeat(words);
    call(n, "model", &targets.model, json!({"prompt": prompt, "max_tokens": 16}))
}

fn repeated(n: usize, targets: &Targets) -> Value {
    call(n, "tool", &targets.tool, json!({"same": true}))
}

fn chain(turns: usize, targets: &Targets, rng: &mut ChaCha8Rng) -> Vec<Step> {
    let steps = (0..turns).map(|n| match n % 2 {
        0 => model_call(n, targets, rng.random_range(5..200)),
        _ => call(n, "tool", &targets.tool, json!({"row": n})),
    });
    steps.map(|call| Step::Calls(vec![call])).collect()
}

fn fan_out(turns: usize, targets: &Targets) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut n = 0;
    while n < turns {
        steps.push(Step::Calls(vec![model_call(n, targets, 20)]));
        let branch = |b: usize| call(n + 1 + b, "tool", &targets.tool, json!({"branch": b}));
        steps.push(Step::Calls((0..BRANCHES).map(branch).collect()));
        n += 1 + BRANCHES;
    }
    steps
}

fn with_pauses(steps: Vec<Step>, rng: &mut ChaCha8Rng) -> Vec<Step> {
    let mut paused = Vec::new();
    for step in steps {
        paused.push(step);
        paused.push(Step::Pause(Duration::from_millis(rng.random_range(PAUSE_MS))));
    }
    paused
}

fn with_agent(mut steps: Vec<Step>) -> Vec<Step> {
    steps.insert(steps.len() / 2, Step::Descend);
    steps
}
