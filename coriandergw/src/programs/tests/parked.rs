//! Parked programs are read back from the journal with their whole state.

use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use crate::dispatch::CallKind;
use crate::programs::ChildRequest;
use crate::programs::tests::fakes::Step;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::TestHome;
use crate::programs::tests::world::WAIT_LIMIT;
use crate::programs::tests::world::call;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

/// Returns a cluster whose homes park every idle tree.
fn parking_cluster() -> TestCluster {
    TestCluster { memory_bytes: 0, ..TestCluster::default() }
}

fn gauge(home: &TestHome, state: &str) -> i64 {
    home.programs.cx.metrics.states.with_label_values(&[state]).get()
}

fn trees_read_back(home: &TestHome) -> u64 {
    home.programs.cx.metrics.trees_read_back.get()
}

/// Parks all idle trees and then, by a second sweep, updates the gauges.
async fn park(home: &TestHome) {
    home.programs.sweep_programs().await;
    home.programs.sweep_programs().await;
}

/// Parks until `count` programs are parked.
///
/// One attempt may not suffice, as the task that answered a call may still hold its tree.
async fn park_until(home: &TestHome, count: i64) {
    let parked = async {
        park(home).await;
        while gauge(home, "programs_parked") != count {
            tokio::time::sleep(Duration::from_millis(1)).await;
            park(home).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, parked).await.expect("the programs are parked");
}

#[tokio::test]
async fn a_parked_program_continues_with_its_whole_state() {
    let cluster = parking_cluster();
    let home = cluster.home(1);
    let program = home.create(10_000, 5).await;
    let first = home.call(&program, model("a")).await.unwrap();
    home.call(&program, call("b", CallKind::Service, false)).await.unwrap();
    park_until(&home, 1).await;
    assert_eq!((gauge(&home, "programs"), gauge(&home, "programs_parked")), (1, 1));
    assert_eq!(home.call(&program, model("a")).await.unwrap(), first);
    assert_eq!(cluster.runs_of(&program.program, "a"), 1, "a resent call is not run again");
    park_until(&home, 1).await;
    home.call(&program, model("c")).await.unwrap();
    let prompts: Vec<usize> =
        cluster.runs.lock().unwrap().iter().map(|run| run.prompt.len()).collect();
    assert_eq!(prompts.last(), Some(&3), "the prompt contains the earlier turns: {prompts:?}");
    park_until(&home, 1).await;
    assert_eq!(home.history(&program).await, ["a", "b", "c"]);
    assert_eq!(trees_read_back(&home), 3);
    let wrong = home.programs.history(&program.program, "another secret").await;
    assert_eq!(wrong.unwrap_err().code, ResultCode::WrongSecret);
}

#[tokio::test]
async fn a_parked_tree_keeps_its_budgets() {
    let cluster = parking_cluster();
    let home = cluster.home(1);
    let program = home.create(1_000, 4).await;
    home.call(&program, model("a")).await.unwrap();
    park_until(&home, 1).await;
    let req = json!({"budget": {"tokens": 500, "calls": 2}, "inherit_history": true});
    let child: ChildRequest = serde_json::from_value(req).unwrap();
    let create = |req| home.programs.create_child(&program.program, &program.secret, req);
    let created = create(child.clone()).await.unwrap();
    home.call(&created, model("x")).await.unwrap();
    park_until(&home, 2).await;
    // Of 4 calls the parent has used 1 and delegated 2, so another 2 cannot be delegated.
    let refusal = create(child).await.unwrap_err();
    assert_eq!(refusal.code, ResultCode::BudgetExhausted);
    home.programs.end(&program.program, &program.secret).await.unwrap();
    park_until(&home, 2).await;
    let refusal = home.call(&created, model("y")).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::ProgramEnded, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_share_a_parked_program_that_is_read_back() {
    let cluster = parking_cluster();
    let home = cluster.home(1);
    let program = home.create(1_000_000, 100).await;
    for round in 0..8 {
        park_until(&home, 1).await;
        let before = trees_read_back(&home);
        let mut calls = JoinSet::new();
        for index in 0..8 {
            let (home, program) = (home.clone(), program.clone());
            let req = call(&format!("c{round}-{index}"), CallKind::Tool, true);
            calls.spawn(async move { home.call(&program, req).await });
        }
        for answer in calls.join_all().await {
            answer.unwrap();
        }
        assert!(trees_read_back(&home) > before);
    }
    assert_eq!(home.history(&program).await.len(), 64);
}

#[tokio::test]
async fn a_program_with_a_running_call_is_not_parked() {
    for step in Step::ALL {
        let cluster = parking_cluster();
        let home = cluster.home(1);
        let program = home.create(10_000, 5).await;
        home.gate.close_at(step);
        let asked = tokio::spawn({
            let (home, program) = (home.clone(), program.clone());
            async move { home.call(&program, call("a", CallKind::Service, false)).await }
        });
        home.gate.reached.notified().await;
        park(&home).await;
        assert_eq!(gauge(&home, "programs_parked"), 0, "{step:?}");
        home.gate.open();
        asked.await.unwrap().unwrap();
        assert_eq!(home.history(&program).await, ["a"]);
    }
}

#[tokio::test]
async fn a_former_home_does_not_read_a_parked_program_back() {
    let cluster = parking_cluster();
    let former = cluster.home(1);
    let program = former.create(10_000, 5).await;
    former.call(&program, model("a")).await.unwrap();
    park_until(&former, 1).await;
    let next = cluster.home(2);
    next.call(&program, model("b")).await.unwrap();
    let refusal = former.call(&program, model("c")).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::NoHome, false));
    assert_eq!(cluster.runs_of(&program.program, "c"), 0);
    assert_eq!(next.history(&program).await, ["a", "b"]);
}
