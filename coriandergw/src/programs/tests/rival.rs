//! Requests to a former home and to its successor while both run, and calls that are resent.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::dispatch::CallKind;
use crate::programs::home::Home;
use crate::programs::tests::fakes::Step;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::call;
use crate::programs::tests::world::eventually;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

#[tokio::test]
async fn an_answer_that_reaches_a_former_home_is_dropped() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(10_000, 5).await;
    former.gate.close_at(Step::Ran);
    let (caller, at) = (former.clone(), program.clone());
    let late = tokio::spawn(async move { caller.call(&at, model("a")).await });
    former.gate.reached.notified().await;

    let home = cluster.home(2);
    home.call(&program, model("a")).await.unwrap();
    home.call(&program, model("b")).await.unwrap();
    former.gate.open();

    let refusal = late.await.unwrap().unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoHome, false));
    assert_eq!(home.history(&program).await, ["a", "b"]);
    assert_eq!(cluster.home(3).history(&program).await, ["a", "b"]);
}

#[tokio::test]
async fn a_former_home_sends_nothing_that_must_not_repeat() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(10_000, 5).await;
    former.call(&program, model("a")).await.unwrap();
    let home = cluster.home(2);
    home.call(&program, model("b")).await.unwrap();

    let refusal = former.call(&program, call("x", CallKind::Tool, false)).await.unwrap_err();
    // The former home cannot know whether the new home ran the same call before.
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoHome, false));
    assert_eq!(cluster.runs_of(&program.program, "x"), 0);
    assert_eq!(home.history(&program).await, ["a", "b"]);
}

#[tokio::test]
async fn a_former_home_does_not_report_not_run_for_a_call_that_ran_elsewhere() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(10_000, 5).await;
    former.call(&program, model("a")).await.unwrap();
    let home = cluster.home(2);
    let req = call("x", CallKind::Tool, false);
    home.call(&program, req.clone()).await.unwrap();

    let refusal = former.call(&program, req).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoHome, false));
    assert_eq!(cluster.runs_of(&program.program, "x"), 1);
}

#[tokio::test]
async fn a_call_withdrawn_after_a_takeover_counts_once_and_is_never_reported_not_run() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(10_000, 1).await;
    former.gate.close_at(Step::Ran);
    let (caller, at) = (former.clone(), program.clone());
    let late = tokio::spawn(async move { caller.call(&at, call("x", CallKind::Tool, true)).await });
    former.gate.reached.notified().await;

    let home = cluster.home(2);
    home.dispatcher.is_known.store(false, Ordering::SeqCst);
    let other = home.call(&program, call("y", CallKind::Tool, true)).await.unwrap_err();
    assert_eq!((other.code, other.not_run), (ResultCode::BudgetExhausted, true));
    for _ in 0..2 {
        let refusal = home.call(&program, call("x", CallKind::Tool, true)).await.unwrap_err();
        assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoEndpoint, false));
    }
    let mut unfit = call("x", CallKind::Tool, true);
    unfit.after = vec!["none".try_into().unwrap()];
    let refusal = home.call(&program, unfit).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::UnknownPredecessor, false));

    home.dispatcher.is_known.store(true, Ordering::SeqCst);
    home.call(&program, call("x", CallKind::Tool, true)).await.unwrap();
    former.gate.open();
    let _ = late.await.unwrap();
    assert_eq!(home.history(&program).await, ["x"]);
}

#[tokio::test]
async fn a_call_waiting_for_its_intent_is_not_sent_after_a_takeover() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(10_000, 5).await;
    former.gate.close_at(Step::BeforeIntent);
    let (caller, at) = (former.clone(), program.clone());
    let req = call("x", CallKind::Tool, false);
    let sent = req.clone();
    let late = tokio::spawn(async move { caller.call(&at, sent).await });
    former.gate.reached.notified().await;

    let home = cluster.home(2);
    home.call(&program, req).await.unwrap();
    former.gate.open();
    assert!(!late.await.unwrap().unwrap_err().not_run, "the new home ran the call");
    assert_eq!(cluster.runs_of(&program.program, "x"), 1);
}

#[tokio::test]
async fn a_program_created_while_its_home_is_taken_again_is_not_acknowledged() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    home.create(10_000, 5).await;
    home.gate.close_at(Step::BeforeCreated);
    let caller = home.clone();
    let late = tokio::spawn(async move { caller.try_create().await });
    home.gate.reached.notified().await;

    // The lease lapses and returns under the same epoch.
    let known: Vec<_> = home.programs.homes.lock().unwrap().values().cloned().collect();
    known.iter().for_each(|known| home.programs.drop_home(known));
    let is_loaded = |home: &Arc<Home>| home.loaded.initialized();
    eventually("all partitions are taken over again", || {
        let homes = home.programs.homes.lock().unwrap();
        homes.len() == known.len() && homes.values().all(is_loaded)
    })
    .await;
    home.gate.open();
    match late.await.unwrap() {
        // A program whose creation was acknowledged must be usable.
        Ok(program) => assert!(home.history(&program).await.is_empty()),
        Err(refusal) => assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoHome, true)),
    }
}

#[tokio::test]
async fn the_end_of_a_program_names_the_engines_that_former_homes_may_have_used() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(10_000, 5).await;
    former.call(&program, model("a")).await.unwrap();
    let home = cluster.home(2);
    let own = home.create(10_000, 5).await;
    home.call(&own, model("a")).await.unwrap();
    for ended in [&program, &own] {
        home.programs.end(&ended.program, &ended.secret).await.unwrap();
    }
    let elsewhere = home.dispatcher.elsewhere.lock().unwrap().clone();
    assert_eq!(elsewhere, [(program.program, "t".try_into().unwrap())].into());
    assert!(former.dispatcher.elsewhere.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_home_without_a_lease_refuses() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    home.partitions.lose();
    let refusal = home.call(&program, model("a")).await.unwrap_err();
    // Without a lease it cannot know whether another home ran the same call before.
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoHome, false));
    assert!(refusal.retry_after.is_some());
    assert!(cluster.runs.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_resend_joins_the_running_call() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    home.gate.close_at(Step::Ran);
    let send = || {
        let (home, program) = (home.clone(), program.clone());
        tokio::spawn(async move { home.call(&program, model("a")).await })
    };
    let first = send();
    home.gate.reached.notified().await;
    let second = send();
    eventually("the first call runs", || home.programs.running() == 1).await;
    home.gate.open();
    assert_eq!(first.await.unwrap().unwrap(), second.await.unwrap().unwrap());
    assert_eq!(cluster.runs_of(&program.program, "a"), 1);
}

#[tokio::test]
async fn a_drain_waits_for_running_calls_and_refuses_new_programs() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    home.gate.close_at(Step::Ran);
    let (caller, at) = (home.clone(), program.clone());
    let running = tokio::spawn(async move { caller.call(&at, model("a")).await });
    home.gate.reached.notified().await;
    let drain = tokio::spawn({
        let programs = home.programs.clone();
        async move { programs.drain().await }
    });
    let req = || serde_json::from_str(r#"{"entry":"e"}"#).unwrap();
    let mut refused = None;
    while refused.is_none() {
        refused = home.programs.create(req()).await.err();
        tokio::task::yield_now().await;
    }
    assert_eq!(refused.map(|refusal| refusal.code), Some(ResultCode::Draining));
    assert!(!drain.is_finished());
    home.gate.open();
    running.await.unwrap().unwrap();
    drain.await.unwrap();
}
