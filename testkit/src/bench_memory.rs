//! Measures how long lost releases of engine memory last and what the sweep costs.

use std::time::Duration;

use futures_util::StreamExt;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use crate::caller::Caller;
use crate::caller::Program;
use crate::cluster::ClusterOptions;
use crate::fakes::engine::Engine;
use crate::fakes::engine::EngineFault;
use crate::http;
use crate::testbed::ENTRY;
use crate::testbed::MODEL;
use crate::testbed::Testbed;
use crate::testbed::call;
use crate::wait;

/// The instances, three of which are store instances.
const INSTANCES: usize = 4;

/// The programs that are created at the same time.
const MAX_CONCURRENT_CREATIONS: usize = 8;

/// The programs whose releases are lost in each round.
const LOST_PER_ROUND: usize = 12;

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The programs that were live all the time.
    pub live_programs: usize,
    /// The seconds from the kill of a home until nothing was held for its programs, each round.
    pub seconds_until_free: Vec<f64>,
    /// The seconds over which the cost was taken, with no call running.
    pub cost_seconds: f64,
    /// Questions to homes, a second and instance.
    pub messages_per_second: f64,
    /// Payload bytes of these questions and their answers, a second and instance.
    pub bytes_per_second: f64,
    /// Reads of an engine's state, a second, over all engines.
    pub state_reads_per_second: f64,
}

/// Counters over all instances and engines.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    messages: f64,
    bytes: f64,
    state_reads: u64,
}

/// Runs the rounds, then takes the cost over `window`.
pub async fn run(live: usize, rounds: usize, window: Duration) -> Report {
    let options = ClusterOptions { instances: INSTANCES, ..ClusterOptions::default() };
    let mut testbed = Testbed::start(options).await;
    programs_at(&testbed, "e1", live).await;
    let mut seconds_until_free = Vec::new();
    for round in 0..rounds {
        let home = format!("e{}", round % INSTANCES + 1);
        seconds_until_free.push(lose_releases(&mut testbed, &home).await);
    }
    let (before, started) = (counters(&testbed).await, Instant::now());
    tokio::time::sleep(window).await;
    let (after, seconds) = (counters(&testbed).await, started.elapsed().as_secs_f64());
    let per_instance = seconds * INSTANCES as f64;
    Report {
        live_programs: live,
        seconds_until_free,
        cost_seconds: seconds,
        messages_per_second: (after.messages - before.messages) / per_instance,
        bytes_per_second: (after.bytes - before.bytes) / per_instance,
        state_reads_per_second: (after.state_reads - before.state_reads) as f64 / seconds,
    }
}

/// Ends programs while engines refuse orders, kills their home and waits until all is released.
async fn lose_releases(testbed: &mut Testbed, home: &str) -> f64 {
    let programs = programs_at(testbed, home, LOST_PER_ROUND).await;
    let refuse = EngineFault { refuse_orders: true, ..EngineFault::default() };
    testbed.engines.iter().for_each(|engine| engine.set_fault(refuse));
    for program in &programs {
        testbed.caller.end(program).await;
    }
    testbed.cluster.kill(home).await;
    let killed_at = Instant::now();
    testbed.engines.iter().for_each(|engine| engine.set_fault(EngineFault::default()));
    wait::until("nothing is held for programs that are gone", || {
        let holds = |program: &Program| {
            testbed.engines.iter().any(|engine| engine.held().contains_key(&program.id))
        };
        !programs.iter().any(holds)
    })
    .await;
    let seconds = killed_at.elapsed().as_secs_f64();
    testbed.cluster.start_instance(home).await;
    testbed.cluster.ready(home).await;
    seconds
}

/// Creates programs at one instance, whose memory engines then hold.
async fn programs_at(testbed: &Testbed, instance: &str, count: usize) -> Vec<Program> {
    let caller = Caller::new(vec![testbed.cluster.address(instance)]);
    let create = async || {
        let program = caller.create(ENTRY, json!({})).await;
        caller.call(&program, call("a", "model", MODEL, &[])).await;
        program
    };
    let created = futures_util::stream::iter(0..count).map(|_| create());
    created.buffer_unordered(MAX_CONCURRENT_CREATIONS).collect().await
}

async fn counters(testbed: &Testbed) -> Counters {
    let state_reads = testbed.engines.iter().map(Engine::state_reads).sum();
    let mut counters = Counters { state_reads, ..Counters::default() };
    for name in testbed.cluster.running() {
        let url = format!("http://{}/metrics", testbed.cluster.direct_address(&name));
        let answer = http::get(&url).await.expect("an instance shows its metrics");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        counters.messages += sum_of(&text, "cgw_control_messages_total", "direction=\"sent\"");
        counters.bytes += sum_of(&text, "cgw_control_bytes_total", "");
    }
    counters
}

/// Sums a metric over the messages about programs.
fn sum_of(text: &str, metric: &str, label: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(metric) && line.contains(label));
    let lines = lines.filter(|line| line.contains("kind=\"programs\""));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
