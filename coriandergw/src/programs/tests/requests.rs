//! Requests that are refused must leave no records.

use std::sync::mpsc;

use serde_json::Value;
use serde_json::json;

use crate::dispatch::CallKind;
use crate::programs::CallRequest;
use crate::programs::ChildRequest;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::WAIT_LIMIT;
use crate::programs::tests::world::call;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

/// Returns the number of records in the journal, which it reads after fencing it at epoch 99.
async fn count_records(cluster: &TestCluster) -> usize {
    let home = cluster.home(99);
    let now = home.programs.cx.clock.now();
    let mut records = 0;
    for (partition, epoch) in home.programs.partitions.all_held(now) {
        let journal = home.programs.journals.open(partition, epoch);
        journal.fence().await.unwrap();
        let trees = journal.read().await.unwrap();
        records += trees.values().map(|tree| tree.next_sequence as usize).sum::<usize>();
    }
    records
}

#[tokio::test]
async fn bad_calls_are_refused_and_leave_no_record() {
    let long_numbers = json!({"call_id": "x", "input": vec![1e15; 250_000]});
    let cases: [(Value, ResultCode); 7] = [
        (json!({"call_id": "a", "input": "other"}), ResultCode::CallIdReused),
        (json!({"call_id": "x", "after": ["y"]}), ResultCode::UnknownPredecessor),
        (json!({"call_id": "x", "after": ["x"]}), ResultCode::DependencyCycle),
        (json!({"call_id": "x", "input": {"max_tokens": 1_000_000}}), ResultCode::BudgetExhausted),
        (json!({"call_id": "x", "input": {"messages": 7}}), ResultCode::MalformedRequest),
        (json!({"call_id": "x", "input": "x".repeat(20_000)}), ResultCode::BudgetExhausted),
        (long_numbers, ResultCode::BodyTooLarge),
    ];
    for (mut req, code) in cases {
        let cluster = TestCluster::default();
        let home = cluster.home(1);
        let program = home.create(10_000, 5).await;
        home.call(&program, model("a")).await.unwrap();
        let is_list = req["input"].is_array();
        req["kind"] = json!(if is_list { "tool" } else { "model" });
        req["target"] = json!("t");
        let parsed: CallRequest = serde_json::from_value(req.clone()).unwrap();
        let refusal = home.call(&program, parsed).await.unwrap_err();
        assert_eq!((refusal.code, refusal.not_run), (code, true), "{req}");
        assert_eq!(home.history(&program).await, ["a"]);
        assert_eq!(count_records(&cluster).await, 3, "{req}: a refused call left a record");
    }
}

#[tokio::test]
async fn bad_programs_are_refused() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let cases = [
        (json!({"entry": "none"}), ResultCode::UnknownEntry),
        (json!({"entry": "e", "budget": {"tokens": 0}}), ResultCode::ZeroBudget),
        (json!({"entry": "e", "budget": {"calls": 0}}), ResultCode::ZeroBudget),
    ];
    for (req, code) in cases {
        let refusal = home.programs.create(serde_json::from_value(req).unwrap()).await.unwrap_err();
        assert_eq!((refusal.code, refusal.not_run), (code, true));
    }
    home.partitions.fresh.store(false, std::sync::atomic::Ordering::SeqCst);
    let req = serde_json::from_value(json!({"entry": "e"})).unwrap();
    let refusal = home.programs.create(req).await.unwrap_err();
    assert_eq!(refusal.code, ResultCode::StaleConfiguration);
    assert_eq!(count_records(&cluster).await, 0);
}

#[tokio::test]
async fn a_secret_gives_access_only_to_its_own_program() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let parent = home.create(10_000, 5).await;
    let other = home.create(10_000, 5).await;
    let req = ChildRequest::default();
    let child = home.programs.create_child(&parent.program, &parent.secret, req).await.unwrap();
    assert_eq!(child.program.partition(), parent.program.partition());
    let all = [&parent, &other, &child];
    for program in all {
        for key in all {
            let read = home.programs.history(&program.program, &key.secret).await;
            let same = program.program == key.program;
            let code = read.err().map(|refusal| refusal.code);
            assert_eq!(code, (!same).then_some(ResultCode::WrongSecret));
        }
    }
    let unknown = "p-unknown".try_into().unwrap();
    let refusal = home.programs.history(&unknown, "").await.unwrap_err();
    assert!(refusal.not_run);
}

#[tokio::test]
async fn an_inherited_history_precedes_the_childs_own() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let parent = home.create(10_000, 5).await;
    home.call(&parent, model("a")).await.unwrap();
    let req: ChildRequest =
        serde_json::from_str(r#"{"budget":{"tokens":4000,"calls":2},"inherit_history":true}"#)
            .unwrap();
    let child = home.programs.create_child(&parent.program, &parent.secret, req).await.unwrap();
    home.call(&child, model("b")).await.unwrap();
    let home = cluster.home(2);
    assert_eq!(home.history(&child).await, ["a", "b"]);
    assert_eq!(home.history(&parent).await, ["a"]);
    let runs = cluster.runs.lock().unwrap().clone();
    assert_eq!(runs[1].prompt, ["a".to_owned(), format!("{}:a", parent.program)]);
}

#[test]
fn sweeps_and_calls_do_not_deadlock() {
    let cluster = TestCluster::default();
    let (runtime, home) = cluster.process(1);
    let sweeping = home.clone();
    runtime.spawn(async move {
        loop {
            sweeping.programs.sweep_programs().await;
            tokio::task::yield_now().await;
        }
    });
    let (tx, rx) = mpsc::channel();
    runtime.spawn(async move {
        for _ in 0..10 {
            let program = home.create(1_000_000, 1_000).await;
            for n in 0..200 {
                let req = call(&format!("c{n}"), CallKind::Tool, true);
                home.call(&program, req).await.unwrap();
            }
        }
        tx.send(()).unwrap();
    });
    // Waits outside the runtime, as a deadlock blocks all threads of it.
    let ended = rx.recv_timeout(WAIT_LIMIT);
    runtime.shutdown_background();
    assert_eq!(ended, Ok(()), "the calls did not end; sweeps and calls may have deadlocked");
}
