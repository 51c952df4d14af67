//! One test for each line of "What must always hold". `docs/PROMISES.md` lists them.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use testkit::auditor;
use testkit::caller::Caller;
use testkit::caller::Outcome;
use testkit::caller::Program;
use testkit::cluster::ClusterOptions;
use testkit::fakes::service::Behaviour;
use testkit::http;
use testkit::proxy::Direction;
use testkit::proxy::Faults;
use testkit::testbed::ENTRY;
use testkit::testbed::MODEL;
use testkit::testbed::RIVAL_ENTRY;
use testkit::testbed::SERVICE;
use testkit::testbed::TOOL;
use testkit::testbed::Testbed;
use testkit::testbed::call;
use testkit::testbed::entry;
use testkit::wait;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// After this long an endpoint that leaves gets no new call.
const LEAVING_BOUND: Duration = Duration::from_secs(4);

/// After this long an accepted change is in force everywhere.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(6);

async fn testbed() -> Testbed {
    Testbed::start(ClusterOptions::default()).await
}

fn is_done(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done(_))
}

/// Runs calls that wait for each other, all sent at once, the last ones first.
async fn run_diamond(testbed: &Testbed, program: &Program) -> Vec<Outcome> {
    let requests = [
        call("e", "service", SERVICE, &["c", "d"]),
        call("d", "service", SERVICE, &["b"]),
        call("c", "tool", TOOL, &["b"]),
        call("b", "model", MODEL, &["a"]),
        call("a", "service", SERVICE, &[]),
    ];
    join_all(requests.map(|request| call_once_accepted(testbed, program, request))).await
}

/// Sends a call until the program knows its predecessors.
async fn call_once_accepted(testbed: &Testbed, program: &Program, request: Value) -> Outcome {
    wait::find("the predecessors are known", || async {
        let outcome = testbed.caller.call(program, request.clone()).await;
        let early = matches!(&outcome, Outcome::Refused { code, .. } if code == "CG-1007");
        (!early).then_some(outcome)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_one_program_run_in_their_dependent_order() {
    let testbed = testbed().await;
    testbed.service.set_usual(Behaviour::Late(Duration::from_millis(20)));
    let programs = join_all((0..6).map(|_| testbed.caller.create(ENTRY, json!({})))).await;
    let runs = join_all(programs.iter().map(|program| run_diamond(&testbed, program))).await;
    assert!(runs.iter().flatten().all(is_done), "{runs:?}");
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_history_is_never_lost_and_never_mixed() {
    let mut testbed = testbed().await;
    let entries = [ENTRY, RIVAL_ENTRY, ENTRY, RIVAL_ENTRY];
    let runs = join_all(entries.map(|entry| testbed.run_program(entry, 6))).await;
    for instance in testbed.cluster.names() {
        let address = testbed.cluster.address(&instance);
        testbed.caller.learn_addresses(address).await.expect("the instance answers");
        for (program, _) in &runs {
            assert_eq!(testbed.caller.history(program).await.len(), 6);
        }
    }
    let stranger = Program { secret: runs[1].0.secret.clone(), ..runs[0].0.clone() };
    let request = call("theft", "model", MODEL, &[]);
    let outcome = testbed.caller.call_once(&stranger, &request).await;
    assert!(matches!(outcome, Outcome::Refused { not_run: true, .. }), "{outcome:?}");
    testbed.cluster.restart("e1").await;
    for (program, _) in &runs {
        assert_eq!(testbed.caller.history(program).await.len(), 6);
    }
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_budget_holds() {
    let testbed = testbed().await;
    let program = testbed.caller.create(ENTRY, json!({"calls": 3, "tokens": 4_000})).await;
    let requests = (0..8).map(|n| call(&format!("c{n}"), "service", SERVICE, &[]));
    let outcomes = join_all(requests.map(|request| testbed.caller.call(&program, request))).await;
    assert_eq!(outcomes.iter().filter(|outcome| is_done(outcome)).count(), 3);
    let parent = testbed.caller.create(ENTRY, json!({"calls": 4, "tokens": 4_000})).await;
    let child = testbed.caller.create_child(&parent, json!({"calls": 3})).await;
    for program in [&parent, &child] {
        let requests = (0..5).map(|n| call(&format!("c{n}"), "tool", TOOL, &[]));
        join_all(requests.map(|request| testbed.caller.call(program, request))).await;
    }
    let small = testbed.caller.create(ENTRY, json!({"tokens": 200})).await;
    for n in 0..20 {
        testbed.caller.call(&small, call(&format!("m{n}"), "model", MODEL, &[])).await;
    }
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_engine_memory_stays_held_for_ended_programs() {
    let mut testbed = testbed().await;
    let runs = join_all((0..4).map(|_| testbed.run_program(ENTRY, 4))).await;
    assert!(runs.iter().flat_map(|(_, outcomes)| outcomes).all(is_done));
    let held: usize = testbed.engines.iter().map(|engine| engine.held().len()).sum();
    assert!(held > 0, "the engines hold prefixes while programs run");
    for (program, _) in &runs[..2] {
        testbed.caller.end(program).await;
    }
    testbed.audit().await;
    for (program, _) in &runs[2..] {
        testbed.caller.end(program).await;
    }
    testbed.cluster.restart("e1").await;
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_the_whole_answer_to_its_own_request() {
    let testbed = testbed().await;
    for instance in testbed.cluster.names() {
        let cut = Faults { cut_after_bytes: Some(700), jitter_ms: 10, ..Faults::default() };
        testbed.cluster.front(&instance).set_faults(Direction::ToCaller, cut);
    }
    let runs = join_all((0..4).map(|_| testbed.run_program(ENTRY, 6))).await;
    let other = runs.iter().flat_map(|(_, outcomes)| outcomes).find(|outcome| !is_done(outcome));
    assert_eq!(other, None);
    let log = testbed.caller.log();
    assert!(log.attempts.iter().any(|a| a.outcome == Outcome::Lost), "answers were cut");
    for instance in testbed.cluster.names() {
        testbed.cluster.front(&instance).heal();
    }
    let (program, outcomes) = &runs[0];
    let again = testbed.caller.call(program, call("t2", "service", SERVICE, &["t1"])).await;
    assert_eq!(again, outcomes[2], "a resent call gets the first answer");
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_says_not_run_is_true() {
    let testbed = testbed().await;
    let limits = json!({"calls_in_flight": 2, "queue_ms": 300});
    testbed.set_entry(ENTRY, entry("owner-a", limits)).await;
    testbed.service.set_usual(Behaviour::Late(Duration::from_millis(150)));
    let program = testbed.caller.create(ENTRY, json!({})).await;
    let requests = (0..24).map(|n| call(&format!("c{n}"), "service", SERVICE, &[]));
    let requests: Vec<Value> = requests.collect();
    let outcomes =
        join_all(requests.iter().map(|request| testbed.caller.call_once(&program, request))).await;
    let refused =
        outcomes.iter().filter(|o| matches!(o, Outcome::Refused { not_run: true, .. })).count();
    assert!(refused > 0, "a limit is reached");
    let nowhere = call("x", "service", "no-such-service", &[]);
    let outcome = testbed.caller.call_once(&program, &nowhere).await;
    assert!(matches!(outcome, Outcome::Refused { not_run: true, .. }), "{outcome:?}");
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_runs_at_most_once() {
    let mut testbed = testbed().await;
    testbed.set_entry(ENTRY, entry("owner-a", json!({"tool_ms": 1_500}))).await;
    let program = testbed.caller.create(ENTRY, json!({})).await;
    let faults = [Behaviour::RunThenCut, Behaviour::RunThenHang, Behaviour::Late(LATE)];
    for (n, behaviour) in faults.into_iter().enumerate() {
        testbed.service.plan(behaviour);
        let request = call(&format!("c{n}"), "service", SERVICE, &[]);
        let first = testbed.caller.call(&program, request.clone()).await;
        let again = testbed.caller.call(&program, request).await;
        assert_eq!(first, again, "{behaviour:?}");
    }
    // Each instance in turn dies while a call of the program is at the service.
    for instance in testbed.cluster.names() {
        let id = format!("during-{instance}");
        let before = testbed.service.ran().len();
        testbed.service.plan(Behaviour::Late(LATE));
        let request = call(&id, "service", SERVICE, &[]);
        let (caller, cluster, service) = (&testbed.caller, &mut testbed.cluster, &testbed.service);
        let restart = async {
            wait::until("the call is at the service", || service.ran().len() > before).await;
            cluster.restart(&instance).await;
        };
        tokio::join!(caller.call(&program, request.clone()), restart);
        caller.call(&program, request).await;
        assert_eq!(testbed.service.count(&program.id, &id), 1);
    }
    testbed.audit().await;
}

/// How late the service answers.
const LATE: Duration = Duration::from_millis(700);

/// The programs that call at the same time.
const CALLING_PROGRAMS: usize = 8;

/// Creates programs of a few model calls, one after the other, until told to stop.
async fn keep_calling(testbed: &Testbed, stop: &CancellationToken) {
    while !stop.is_cancelled() {
        let program = testbed.caller.create(ENTRY, json!({})).await;
        for n in 0..3 {
            let request = call(&format!("k{n}"), "model", MODEL, &[]);
            let outcome = testbed.caller.call(&program, request).await;
            assert!(is_done(&outcome), "{outcome:?}");
        }
        testbed.caller.end(&program).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work_after_a_few_seconds() {
    let testbed = testbed().await;
    let stop = CancellationToken::new();
    let started = |engine: usize| testbed.engines[engine].records().len();
    let leave = async {
        wait::until("both engines work", || started(0) > 2 && started(1) > 2).await;
        testbed.engine_announcers[0].set_leaving(true);
        let left = Instant::now();
        let other = started(1);
        wait::until("the bound passes under load", || {
            left.elapsed() > LEAVING_BOUND && started(1) > other + 2
        })
        .await;
        let after_bound = started(0);
        let other = started(1);
        wait::until("the other engine goes on", || started(1) > other + 20).await;
        assert_eq!(started(0), after_bound, "new work after {LEAVING_BOUND:?}");
        stop.cancel();
    };
    let calling = (0..CALLING_PROGRAMS).map(|_| keep_calling(&testbed, &stop));
    tokio::join!(leave, join_all(calling));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_no_request() {
    let mut testbed = testbed().await;
    let addresses = testbed.cluster.addresses();
    let programs = join_all((0..6).map(|_| testbed.caller.create(ENTRY, json!({})))).await;
    testbed.service.set_usual(Behaviour::Late(LATE));
    let callers: Vec<Arc<Caller>> =
        addresses.iter().map(|address| Arc::new(Caller::new(vec![*address]))).collect();
    let before = testbed.service.ran().len();
    let running: Vec<_> = programs
        .iter()
        .enumerate()
        .map(|(n, program)| {
            let caller = callers[n % callers.len()].clone();
            let program = program.clone();
            let request = call("slow", "service", SERVICE, &[]);
            tokio::spawn(async move { caller.call_once(&program, &request).await })
        })
        .collect();
    wait::until("all calls are at the service or answered", || {
        let ended = running.iter().filter(|call| call.is_finished()).count();
        testbed.service.ran().len() - before + ended >= programs.len()
    })
    .await;
    for instance in testbed.cluster.names() {
        testbed.cluster.terminate(&instance);
    }
    for call in join_all(running).await {
        let outcome = call.expect("the task ends");
        assert!(is_done(&outcome), "{outcome:?}");
    }
    for instance in testbed.cluster.names() {
        assert!(testbed.cluster.stopped(&instance).await.success());
    }
    let mut evidence = testbed.evidence();
    callers.iter().for_each(|caller| evidence.add_log(caller.log()));
    auditor::assert_clean(&evidence);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_configuration_is_in_force_everywhere_and_never_reverts() {
    let mut testbed = testbed().await;
    let accepted = Instant::now();
    let revision = testbed.set_entry(ENTRY, entry("owner-a", json!({"calls": 2}))).await;
    assert!(accepted.elapsed() < CONFIGURATION_BOUND);
    for instance in testbed.cluster.names() {
        let caller = Caller::new(vec![testbed.cluster.address(&instance)]);
        let program = caller.create(ENTRY, json!({})).await;
        for n in 0..2 {
            let outcome = caller.call(&program, call(&format!("c{n}"), "tool", TOOL, &[])).await;
            assert!(is_done(&outcome), "{outcome:?}");
        }
        let third = caller.call(&program, call("c2", "tool", TOOL, &[])).await;
        assert!(matches!(third, Outcome::Refused { not_run: true, .. }), "{instance}: {third:?}");
    }
    for instance in testbed.cluster.names() {
        let url = format!("http://{}/readyz", testbed.cluster.address(&instance));
        assert_eq!(http::get(&url).await.expect("an answer").status, 200);
        testbed.cluster.restart(&instance).await;
        let address = testbed.cluster.address(&instance);
        let found = testbed.operator.revision(address, ENTRY).await;
        assert!(found >= Some(revision), "{instance} is ready with {found:?}");
    }
}
