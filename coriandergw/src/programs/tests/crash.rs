//! A home crashes at each step of a call, another takes over, and the caller resends the call.

use crate::dispatch::CallKind;
use crate::programs::CallAnswer;
use crate::programs::CreatedProgram;
use crate::programs::tests::fakes::Step;
use crate::programs::tests::world::WAIT_LIMIT;
use crate::programs::tests::world::World;
use crate::programs::tests::world::call;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

/// The answer to a call that is resent after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Done,
    Unknown,
    /// The step does not occur in such a call.
    NotReached,
}

fn expected(kind: CallKind, idempotent: bool, step: Step, can_look_up: bool) -> Told {
    let repeatable = idempotent || kind == CallKind::Model;
    match step {
        Step::BeforeCreated | Step::AfterCreated => Told::NotReached,
        Step::BeforeIntent | Step::AfterIntent if repeatable => Told::NotReached,
        Step::BeforeAccepted | Step::AfterAccepted | Step::BeforeIntent | Step::AfterDone => {
            Told::Done
        }
        Step::AfterIntent | Step::Arrived | Step::Ran | Step::BeforeDone if repeatable => {
            Told::Done
        }
        Step::Ran | Step::BeforeDone if can_look_up => Told::Done,
        Step::AfterIntent | Step::Arrived | Step::Ran | Step::BeforeDone => Told::Unknown,
    }
}

/// Crashes the first home at `step` and returns how its successor answers the resent call.
fn crash_at(world: &World, kind: CallKind, idempotent: bool, step: Step) -> Told {
    let (first, home) = world.process(1);
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
        return Told::NotReached;
    }
    let (second, home) = world.process(2);
    let told = second.block_on(home.call(&program, req.clone()));
    assert_eq!(told, second.block_on(home.call(&program, req)), "{step:?}: the answer changed");
    second.block_on(home.call(&program, model("after"))).unwrap();
    check_history(&second.block_on(home.history(&program)), told.is_ok(), step);
    second.shutdown_background();
    told_of(&program, told)
}

fn told_of(program: &CreatedProgram, answer: CallAnswer) -> Told {
    match answer {
        Ok(body) => {
            let body: serde_json::Value = serde_json::from_str(&body).unwrap();
            assert_eq!(body["output"], format!("{}:a", program.program));
            Told::Done
        }
        Err(refusal) => {
            assert_eq!(refusal.code, ResultCode::OutcomeUnknown, "{refusal}");
            assert!(!refusal.not_run);
            Told::Unknown
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
                let world = World { can_look_up, ..World::default() };
                let told = crash_at(&world, kind, idempotent, step);
                assert_eq!(told, expected(kind, idempotent, step, can_look_up), "{kind} {step:?}");
                let runs = world.runs.lock().unwrap();
                let count = runs.iter().filter(|run| run.call == "a").count();
                let allowed = if idempotent { 2 } else { 1 };
                assert!(count <= allowed, "{kind} {step:?}: ran {count} times");
                let used: u64 = runs.iter().map(|run| run.tokens).sum();
                assert!(used <= 10_000, "{kind} {step:?}: used {used} tokens");
            }
        }
    }
}
