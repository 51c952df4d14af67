//! Runs random programs while homes crash at random, then checks what ran against the answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::runtime::Handle;

use crate::dispatch::CallKind;
use crate::programs::CallAnswer;
use crate::programs::CallRequest;
use crate::programs::CreatedProgram;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::TestHome;
use crate::programs::tests::world::WAIT_LIMIT;
use crate::result_code::ResultCode;

const SEED: u64 = 5;
const PROGRAMS: usize = 200;
const TOKENS: u64 = 20_000;
const HOMES: u64 = 12;

/// The current home and the runtime that it runs on.
type CurrentHome = Arc<Mutex<(Handle, TestHome)>>;

fn random_calls(rng: &mut ChaCha8Rng) -> Vec<CallRequest> {
    let kinds = [("model", true), ("tool", true), ("tool", false), ("service", false)];
    let count = rng.random_range(2..7);
    (0..count)
        .map(|index| {
            let (kind, idempotent) = kinds[rng.random_range(0..kinds.len())];
            let after: Vec<String> = (0..index)
                .filter(|_| rng.random_ratio(1, 2))
                .map(|earlier| format!("c{earlier}"))
                .collect();
            serde_json::from_value(json!({
                "call_id": format!("c{index}"), "kind": kind, "idempotent": idempotent,
                "after": after, "target": "t", "input": format!("input {index}"),
            }))
            .unwrap()
        })
        .collect()
}

/// Repeats a request to the current home until the answer is other than `NoHome`.
async fn retry_until_answered<T, F, R>(
    current_home: &CurrentHome,
    ask: F,
) -> Result<T, crate::result_code::Refusal>
where
    T: Send + 'static,
    F: Fn(TestHome) -> R,
    R: Future<Output = Result<T, crate::result_code::Refusal>> + Send + 'static,
{
    loop {
        let (handle, home) = current_home.lock().unwrap().clone();
        let asked = handle.spawn(ask(home));
        match asked.await {
            Ok(Err(refusal)) if refusal.code == ResultCode::NoHome => {}
            Ok(answer) => return answer,
            Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
}

async fn run_program(
    current_home: CurrentHome,
    calls: Vec<CallRequest>,
) -> (CreatedProgram, Vec<(CallRequest, CallAnswer)>) {
    let created = retry_until_answered(&current_home, |home: TestHome| async move {
        Ok(home.create(TOKENS, 10).await)
    });
    let program = created.await.unwrap();
    let mut answers = Vec::new();
    // Sent in order, as a call must be accepted before another can depend on it.
    for req in calls {
        let ask = |home: TestHome| {
            let (program, req) = (program.clone(), req.clone());
            async move { home.call(&program, req).await }
        };
        let answer = retry_until_answered(&current_home, ask).await;
        answers.push((req, answer));
    }
    (program, answers)
}

fn audit(
    cluster: &TestCluster,
    program: &CreatedProgram,
    answers: &[(CallRequest, CallAnswer)],
    history: &[String],
) {
    let id = &program.program;
    let runs: Vec<_> = {
        let runs = cluster.runs.lock().unwrap();
        runs.iter().filter(|run| run.program == *id).cloned().collect()
    };
    let mut first_run = BTreeMap::new();
    for (position, run) in runs.iter().enumerate() {
        first_run.entry(run.call.as_str()).or_insert(position);
        let own = |text: &String| text.starts_with("input ") || text.starts_with(id.as_str());
        assert!(run.prompt.iter().all(own), "{id}: a prompt contains text of another program");
    }
    for (req, answer) in answers {
        let call = req.call_id.as_str();
        let count = runs.iter().filter(|run| run.call == call).count();
        let repeatable = req.idempotent || req.kind == CallKind::Model;
        assert!(repeatable || count <= 1, "{id} {call}: ran {count} times");
        match answer {
            Ok(_) => assert!(count >= 1, "{id} {call}: done without a run"),
            Err(refusal) => assert!(!refusal.not_run || count == 0, "{id} {call}: {refusal}"),
        }
        for earlier in &req.after {
            let ran = (first_run.get(earlier.as_str()), first_run.get(call));
            assert!(ran.1.is_none() || ran.0 < ran.1, "{id}: {call} before {earlier}");
        }
    }
    let done = answers.iter().filter(|(_, answer)| answer.is_ok());
    let done: BTreeSet<String> = done.map(|(req, _)| req.call_id.to_string()).collect();
    assert_eq!(history.iter().cloned().collect::<BTreeSet<_>>(), done, "{id}: {answers:?}");
    assert_eq!(history.len(), done.len(), "{id}: a turn is in the history twice");
    assert!(cluster.tokens_of(id) <= TOKENS, "{id}: used more than its budget");
}

#[test]
fn random_programs_keep_their_guarantees_while_homes_are_lost() {
    run_random_programs(usize::MAX);
}

#[test]
fn random_programs_keep_their_guarantees_while_homes_are_lost_and_trees_are_parked() {
    run_random_programs(0);
}

/// Parks idle trees continually, as far as the memory limit requires.
async fn park_forever(home: TestHome) {
    loop {
        home.programs.park_idle_trees();
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn run_random_programs(memory_bytes: usize) {
    let cluster = TestCluster { unknown_percent: 10, memory_bytes, ..TestCluster::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let (mut runtime, home) = cluster.process(1);
    runtime.spawn(park_forever(home.clone()));
    let current_home: CurrentHome = Arc::new(Mutex::new((runtime.handle().clone(), home)));
    let callers = tokio::runtime::Runtime::new().unwrap();
    let mut programs = tokio::task::JoinSet::new();
    for _ in 0..PROGRAMS {
        programs
            .spawn_on(run_program(current_home.clone(), random_calls(&mut rng)), callers.handle());
    }
    let mut losses = 0;
    for epoch in 2..=HOMES {
        // Each home is lost after 20 to 59 more calls have run, or after a time-out.
        let run_target = cluster.runs.lock().unwrap().len() + rng.random_range(20..60);
        callers.block_on(async {
            let target_reached = async {
                while cluster.runs.lock().unwrap().len() < run_target {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            };
            // The time-out is for callers that have finished already: the home is lost while idle.
            let _ = tokio::time::timeout(Duration::from_millis(300), target_reached).await;
        });
        let (next, home) = cluster.process(epoch);
        next.spawn(park_forever(home.clone()));
        *current_home.lock().unwrap() = (next.handle().clone(), home);
        std::mem::replace(&mut runtime, next).shutdown_background();
        losses += 1;
    }
    let results = callers.block_on(async {
        tokio::time::timeout(WAIT_LIMIT * 3, programs.join_all()).await.expect("callers finish")
    });
    assert_eq!((results.len(), losses), (PROGRAMS, HOMES as usize - 1));
    let home = current_home.lock().unwrap().1.clone();
    for (program, answers) in &results {
        let history = runtime.block_on(home.history(program));
        audit(&cluster, program, answers, &history);
    }
    let is_done = |(_, answer): &&(CallRequest, CallAnswer)| answer.is_ok();
    let has_read_back = home.programs.cx.metrics.trees_read_back.get() > 0;
    assert_eq!(has_read_back, memory_bytes == 0);
    let done = results.iter().flat_map(|(_, answers)| answers).filter(is_done).count();
    assert!(done > PROGRAMS, "only {done} calls are done");
    runtime.shutdown_background();
}
