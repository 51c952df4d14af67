//! A home crashes at each step of a call, another takes over, and the caller resends the call.

use crate::dispatch::CallKind;
use crate::programs::CallAnswer;
use crate::programs::CreatedProgram;
use crate::programs::tests::fakes::Step;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::WAIT_LIMIT;
use crate::programs::tests::world::call;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

/// The answer to a call that is resent after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResendAnswer {
    Done,
    Unknown,
    /// The step does not occur in such a call.
    NotReached,
}

fn expected(kind: CallKind, idempotent: bool, step: Step, can_look_up: bool) -> ResendAnswer {
    let repeatable = idempotent || kind == CallKind::Model;
    match step {
        Step::BeforeCreated | Step::AfterCreated => ResendAnswer::NotReached,
        Step::BeforeIntent | Step::AfterIntent if repeatable => ResendAnswer::NotReached,
        Step::BeforeAccepted | Step::AfterAccepted | Step::BeforeIntent | Step::AfterDone => {
            ResendAnswer::Done
        }
        Step::AfterIntent | Step::Arrived | Step::Ran | Step::BeforeDone if repeatable => {
            ResendAnswer::Done
        }
        Step::Ran | Step::BeforeDone if can_look_up => ResendAnswer::Done,
        Step::AfterIntent | Step::Arrived | Step::Ran | Step::BeforeDone => ResendAnswer::Unknown,
    }
}

/// Crashes the first home at `step` and returns how its successor answers the resent call.
fn crash_at(cluster: &TestCluster, kind: CallKind, idempotent: bool, step: Step) -> ResendAnswer {
    let (first, home) = cluster.process(1);
    let program = first.block_on(home.create(10_000, 5));
    first.block_on(home.call(&program, model("before"))).unwrap();
    home.gate.close_at(step);
    let req = call("a", kind, idempotent);
    let (caller, sent, at) = (home.clone(), req.clone(), program.clone());
    let mut running = first.spawn(async move { caller.call(&at, sent).await });
    let reached = first.block_on(async {
        tokio::select! {
            _ = home.gate.reached.notified() => true,
            _ = &mut running => false,
            _ = tokio::time::sleep(WAIT_LIMIT) => panic!("{step:?} was not reached"),
        }
    });
    first.shutdown_timeout(WAIT_LIMIT);
    if !reached {
        return ResendAnswer::NotReached;
    }
    let (second, home) = cluster.process(2);
    let answer = second.block_on(home.call(&program, req.clone()));
    assert_eq!(answer, second.block_on(home.call(&program, req)), "{step:?}: the answer changed");
    second.block_on(home.call(&program, model("after"))).unwrap();
    check_history(&second.block_on(home.history(&program)), answer.is_ok(), step);
    second.shutdown_background();
    classify_answer(&program, answer)
}

fn classify_answer(program: &CreatedProgram, answer: CallAnswer) -> ResendAnswer {
    match answer {
        Ok(body) => {
            let body: serde_json::Value = serde_json::from_str(&body).unwrap();
            assert_eq!(body["output"], format!("{}:a", program.program));
            ResendAnswer::Done
        }
        Err(refusal) => {
            assert_eq!(refusal.code, ResultCode::OutcomeUnknown, "{refusal}");
            assert!(!refusal.not_run);
            ResendAnswer::Unknown
        }
    }
}

fn check_history(history: &[String], done: bool, step: Step) {
    let whole: &[&str] = if done { &["before", "a", "after"] } else { &["before", "after"] };
    assert_eq!(history, whole, "{step:?}");
}

#[test]
fn a_call_survives_the_loss_of_its_home_at_each_step() {
    let calls = [(CallKind::Model, true), (CallKind::Tool, true), (CallKind::Service, false)];
    for can_look_up in [false, true] {
        for (kind, idempotent) in calls {
            for step in Step::ALL {
                let cluster = TestCluster { can_look_up, ..TestCluster::default() };
                let answer = crash_at(&cluster, kind, idempotent, step);
                assert_eq!(
                    answer,
                    expected(kind, idempotent, step, can_look_up),
                    "{kind} {step:?}"
                );
                let runs = cluster.runs.lock().unwrap();
                let count = runs.iter().filter(|run| run.call == "a").count();
                let allowed = if idempotent { 2 } else { 1 };
                assert!(count <= allowed, "{kind} {step:?}: ran {count} times");
                let used: u64 = runs.iter().map(|run| run.tokens).sum();
                assert!(used <= 10_000, "{kind} {step:?}: used {used} tokens");
            }
        }
    }
}
