//! Sums up what became of the programs.

use std::time::Duration;

use coriandergw::catalogue::Class;
use serde::Serialize;

/// What became of one program; times are the engines' own.
#[derive(Debug, Clone, PartialEq)]
pub struct Finished {
    /// Its class.
    pub class: Class,
    /// The time from its start to its end without its caller's pauses.
    pub latency: Duration,
    /// The refusals; a refused program does not count in the latencies.
    pub refused: u64,
    /// Prompt tokens that were computed for this program before and computed again.
    pub recomputed_tokens: u64,
}

/// One row of the result.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    policy: &'static str,
    class: String,
    programs: usize,
    mean_ms: f64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    wasted_prefix_tokens: u64,
    refused: u64,
    seed_mean_ms: Vec<f64>,
}

/// Returns one row for all programs and one a class, over the runs of all seeds.
pub fn summarise(policy: &'static str, runs: &[Vec<Finished>]) -> Vec<Row> {
    let mut rows = vec![row(policy, "all", runs, |_| true)];
    for class in Class::ALL {
        rows.push(row(policy, &class.to_string(), runs, |one| one.class == *class));
    }
    rows
}

fn row<F>(policy: &'static str, class: &str, runs: &[Vec<Finished>], selects: F) -> Row
where
    F: Fn(&Finished) -> bool,
{
    let selected: Vec<&Finished> = runs.iter().flatten().filter(|one| selects(one)).collect();
    let mut latencies = latencies(selected.iter().copied());
    latencies.sort_by(f64::total_cmp);
    let of_seed =
        |run: &Vec<Finished>| mean(&self::latencies(run.iter().filter(|one| selects(one))));
    Row {
        policy,
        class: class.to_owned(),
        programs: selected.len(),
        mean_ms: mean(&latencies),
        p50_ms: quantile(&latencies, 0.5),
        p95_ms: quantile(&latencies, 0.95),
        p99_ms: quantile(&latencies, 0.99),
        wasted_prefix_tokens: selected.iter().map(|one| one.recomputed_tokens).sum(),
        refused: selected.iter().map(|one| one.refused).sum(),
        seed_mean_ms: runs.iter().map(of_seed).collect(),
    }
}

fn latencies<'a, I>(finished: I) -> Vec<f64>
where
    I: Iterator<Item = &'a Finished>,
{
    let done = finished.filter(|one| one.refused == 0);
    done.map(|one| (one.latency.as_secs_f64() * 1e3).round()).collect()
}

fn mean(values: &[f64]) -> f64 {
    (values.iter().sum::<f64>() / values.len().max(1) as f64).round()
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
