//! Programs end at their limits and release the engine memory that they use.

use std::sync::atomic::Ordering;

use serde_json::json;
use tokio::sync::mpsc;

use crate::dispatch::CallKind;
use crate::programs::ChildRequest;
use crate::programs::limits::REPETITION_LIMIT;
use crate::programs::limits::TREE_RECORDS_MAX;
use crate::programs::tests::fakes::Step;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::call;
use crate::programs::tests::world::eventually;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

#[tokio::test]
async fn programs_end_at_their_idle_and_wall_limits() {
    let cases = [
        (json!({"idle_ms": 60_000}), ResultCode::ProgramEnded),
        (json!({"wall_ms": 60_000}), ResultCode::WallTimeLimit),
    ];
    // With a memory limit of 0 each sweep parks the programs.
    let cases = cases.into_iter().flat_map(|(limits, code)| {
        [0, usize::MAX].map(|memory_bytes| (limits.clone(), memory_bytes, code))
    });
    for (limits, memory_bytes, code) in cases {
        let cluster = TestCluster { memory_bytes, ..TestCluster::with_limits(limits) };
        let home = cluster.home(1);
        let program = home.create(10_000, 5).await;
        home.call(&program, model("a")).await.unwrap();
        home.programs.sweep_programs().await;
        home.call(&program, model("b")).await.unwrap();
        cluster.clock.ahead_ms.store(60_000, Ordering::Relaxed);
        home.programs.sweep_programs().await;
        let refusal = home.call(&program, model("c")).await.unwrap_err();
        assert_eq!((refusal.code, refusal.not_run), (code, true));
        assert_eq!(home.history(&program).await, ["a", "b"]);
        assert!(home.dispatcher.ended.lock().unwrap().contains_key(&program.program));
    }
}

#[tokio::test]
async fn an_ended_program_is_forgotten_after_its_retention() {
    for memory_bytes in [0, usize::MAX] {
        let cluster = TestCluster { memory_bytes, ..TestCluster::default() };
        let home = cluster.home(1);
        let program = home.create(10_000, 5).await;
        home.programs.end(&program.program, &program.secret).await.unwrap();
        home.programs.sweep_programs().await;
        home.history(&program).await;
        home.programs.sweep_programs().await;
        cluster.clock.ahead_ms.store(60 * 60 * 1_000, Ordering::Relaxed);
        home.programs.sweep_programs().await;
        for home in [home, cluster.home(2)] {
            let read = home.programs.history(&program.program, &program.secret).await;
            assert_eq!(read.unwrap_err().code, ResultCode::UnknownProgram);
        }
    }
}

#[tokio::test]
async fn a_call_of_a_forgotten_program_is_not_reported_not_run() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    let sent = call("x", CallKind::Service, false);
    home.call(&program, sent.clone()).await.unwrap();
    home.programs.end(&program.program, &program.secret).await.unwrap();
    cluster.clock.ahead_ms.store(60 * 60 * 1_000, Ordering::Relaxed);
    home.programs.sweep_programs().await;
    let refusal = home.call(&program, sent).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::UnknownProgram, false));
    assert_eq!(cluster.runs_of(&program.program, "x"), 1);
}

#[tokio::test]
async fn turns_and_repetition_are_limited() {
    let cluster = TestCluster::with_limits(json!({"turns": 2}));
    let home = cluster.home(1);
    let program = home.create(10_000, 50).await;
    home.call(&program, model("a")).await.unwrap();
    home.call(&program, model("b")).await.unwrap();
    let refusal = home.call(&program, model("c")).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::TurnLimit, true));
}

#[test]
fn only_equal_turns_with_equal_answers_count_as_repetition() {
    use crate::dispatch::Usage;
    use crate::programs::limits::check_turns;
    use crate::programs::record::Completion;
    use crate::programs::state::Program;
    use crate::programs::turn::Turn;

    let limits = crate::catalogue::Limits::default();
    let asked = call("again", CallKind::Tool, true);
    let answered = |output: &str| {
        let (output, usage) = (output.into(), Usage::default());
        let completion = Completion { output, usage, endpoint: None, prompt_turns: 0 };
        std::sync::Arc::new(Turn::new(asked.clone().into(), completion.into()))
    };
    let mut program = Program::for_test();
    program.history = vec![answered("1"); REPETITION_LIMIT - 1];
    assert!(check_turns(&program, &limits, &asked).is_ok());
    program.history.push(answered("2"));
    assert!(check_turns(&program, &limits, &asked).is_ok());
    program.history = vec![answered("1"); REPETITION_LIMIT];
    let refusal = check_turns(&program, &limits, &asked).unwrap_err();
    assert_eq!(refusal.code, ResultCode::RepetitionLimit);
    assert!(check_turns(&program, &limits, &call("else", CallKind::Tool, true)).is_ok());
}

#[tokio::test]
async fn ending_a_program_ends_its_sub_agents_and_a_takeover_releases_both_again() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let parent = home.create(10_000, 5).await;
    let req = ChildRequest::default();
    let child = home.programs.create_child(&parent.program, &parent.secret, req).await.unwrap();
    home.gate.close_at(Step::Ran);
    let (caller, at) = (home.clone(), child.clone());
    let running = tokio::spawn(async move { caller.call(&at, model("a")).await });
    home.gate.reached.notified().await;
    home.programs.end(&parent.program, &parent.secret).await.unwrap();
    let refusal = running.await.unwrap().unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::Cancelled, false));
    let is_released = |home: &crate::programs::tests::world::TestHome| {
        let ended = home.dispatcher.ended.lock().unwrap();
        ended.contains_key(&parent.program) && ended.contains_key(&child.program)
    };
    eventually("both are released", || is_released(&home)).await;
    let next = cluster.home(2);
    eventually("both are released again", || is_released(&next)).await;
}

#[tokio::test(start_paused = true)]
async fn a_streaming_caller_that_disconnects_cancels_only_model_calls() {
    for (kind, cancels) in [(CallKind::Model, true), (CallKind::Tool, false)] {
        let cluster = TestCluster::default();
        let home = cluster.home(1);
        let program = home.create(10_000, 5).await;
        home.gate.close_at(Step::Ran);
        let (sink, _texts) = mpsc::channel(4);
        let req = call("a", kind, false);
        let (caller, at, sent) = (home.clone(), program.clone(), req.clone());
        let streaming = tokio::spawn(async move {
            caller.programs.call(&at.program, &at.secret, sent, Some(sink)).await
        });
        home.gate.reached.notified().await;
        streaming.abort();
        assert!(streaming.await.is_err());
        if cancels {
            eventually("the call is cancelled", || home.programs.running() == 0).await;
        } else {
            tokio::time::sleep(std::time::Duration::from_secs(60)).await;
            assert_eq!(home.programs.running(), 1);
        }
        home.gate.open();
        home.call(&program, req).await.unwrap();
        let runs = if cancels { 2 } else { 1 };
        assert_eq!(cluster.runs_of(&program.program, "a"), runs);
        assert_eq!(home.history(&program).await, ["a"]);
    }
}

#[tokio::test]
async fn the_end_of_a_program_does_not_cancel_a_call_that_must_not_be_repeated() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    home.gate.close_at(Step::Ran);
    let (caller, at) = (home.clone(), program.clone());
    let req = call("a", CallKind::Service, false);
    let running = tokio::spawn(async move { caller.call(&at, req).await });
    home.gate.reached.notified().await;
    home.programs.end(&program.program, &program.secret).await.unwrap();
    tokio::task::yield_now().await;
    assert!(
        home.dispatcher.ended.lock().unwrap().is_empty(),
        "the program was released while its call ran"
    );
    home.gate.open();
    running.await.unwrap().unwrap();
    assert_eq!(home.history(&program).await, ["a"]);
    eventually("it is released", || !home.dispatcher.ended.lock().unwrap().is_empty()).await;
}

#[tokio::test]
async fn a_full_journal_accepts_no_more_calls() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    home.call(&program, model("a")).await.unwrap();
    let handle = home.programs.open(&program.program, &program.secret).await.unwrap();
    handle.tree.state.lock().unwrap().next_sequence = TREE_RECORDS_MAX;
    let refusal = home.call(&program, model("b")).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::TurnLimit, true));
    home.call(&program, model("a")).await.expect("the stored answer is still returned");
}
