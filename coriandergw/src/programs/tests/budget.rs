//! Programs must not exceed their budgets, whatever fails.

use proptest::prelude::*;
use serde_json::json;

use crate::clock::WallTime;
use crate::dispatch::Usage;
use crate::ids::CallId;
use crate::ids::Epoch;
use crate::ids::ProgramId;
use crate::programs::ChildRequest;
use crate::programs::budget::Amount;
use crate::programs::budget::Ledger;
use crate::programs::record::Completion;
use crate::programs::record::Creation;
use crate::programs::record::Failure;
use crate::programs::record::Record;
use crate::programs::record::RecordBody;
use crate::programs::state::Tree;
use crate::programs::tests::fakes::Step;
use crate::programs::tests::world::TestCluster;
use crate::programs::tests::world::eventually;
use crate::programs::tests::world::model;
use crate::result_code::ResultCode;

proptest! {
    #[test]
    fn spending_and_reservations_never_exceed_the_budget(
        total in 0u64..1_000,
        steps in prop::collection::vec((0u8..4, 0u64..400, 0u64..400), 0..60),
    ) {
        let mut ledger = Ledger::new(Amount { tokens: total, calls: 50 });
        let (mut reserved, mut delegated) = (Vec::new(), Vec::new());
        let mut outstanding = 0u64;
        for (step, amount, used) in steps {
            let asked = Amount { tokens: amount, calls: 1 };
            match step {
                0 if ledger.reserve(asked) => { reserved.push(asked); outstanding += amount; }
                1 if ledger.delegate(asked) => { delegated.push(asked); outstanding += amount; }
                2 => if let Some(held) = reserved.pop() {
                    let used = Amount { tokens: used.min(held.tokens), calls: 1 };
                    ledger.settle(held, used);
                    outstanding -= held.tokens - used.tokens;
                },
                3 => if let Some(delegation) = delegated.pop() {
                    let rest = Amount { tokens: used.min(delegation.tokens), calls: 0 };
                    ledger.reclaim(delegation, rest);
                    outstanding -= rest.tokens;
                },
                _ => {}
            }
            prop_assert!(outstanding <= total);
            prop_assert_eq!(ledger.remaining().tokens, total - outstanding);
        }
    }
}

#[tokio::test]
async fn calls_are_refused_once_the_budget_is_used_up() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(300, 100).await;
    let mut code = None;
    for turn in 0..100 {
        if let Err(refusal) = home.call(&program, model(&format!("c{turn}"))).await {
            assert!(refusal.not_run);
            code = Some(refusal.code);
            break;
        }
    }
    assert_eq!(code, Some(ResultCode::BudgetExhausted));
    assert!(cluster.runs.lock().unwrap().len() > 1);
    assert!(cluster.tokens_of(&program.program) <= 300);
}

#[tokio::test]
async fn an_attempt_by_a_lost_home_stays_charged() {
    let cluster = TestCluster::default();
    let former = cluster.home(1);
    let program = former.create(100, 5).await;
    former.gate.close_at(Step::Ran);
    let (caller, at) = (former.clone(), program.clone());
    let req: crate::programs::CallRequest = serde_json::from_value(json!({
        "call_id": "a", "kind": "model", "target": "t", "input": {"prompt": "a", "max_tokens": 60},
    }))
    .unwrap();
    let sent = req.clone();
    tokio::spawn(async move { caller.call(&at, sent).await });
    former.gate.reached.notified().await;
    let refusal = cluster.home(2).call(&program, req).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::BudgetExhausted, false));
    assert_eq!(cluster.runs_of(&program.program, "a"), 1);
}

#[tokio::test]
async fn concurrent_calls_wait_for_budget_that_others_have_reserved() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let program = home.create(400, 10).await;
    home.gate.close_at(Step::Arrived);
    let calls: Vec<_> = (0..4)
        .map(|index| {
            let (home, program) = (home.clone(), program.clone());
            let req = json!({
                "call_id": format!("c{index}"), "kind": "model", "target": "t",
                "input": {"prompt": "x", "max_tokens": 250},
            });
            let req = serde_json::from_value(req).unwrap();
            tokio::spawn(async move { home.call(&program, req).await })
        })
        .collect();
    home.gate.reached.notified().await;
    eventually("all calls are accepted", || home.programs.running() == 4).await;
    assert_eq!(cluster.runs.lock().unwrap().len(), 0);
    home.gate.open();
    let mut done = 0;
    for call in calls {
        done += usize::from(call.await.unwrap().is_ok());
    }
    assert!(done >= 1, "the first call had the budget");
    assert_eq!(cluster.runs.lock().unwrap().len(), done);
    assert!(cluster.tokens_of(&program.program) <= 400);
}

#[tokio::test]
async fn a_sub_agent_draws_on_its_parent_and_returns_the_rest() {
    let cluster = TestCluster::default();
    let home = cluster.home(1);
    let parent = home.create(1_000, 10).await;
    let ask = |tokens: u64| -> ChildRequest {
        serde_json::from_value(json!({"budget": {"tokens": tokens, "calls": 4}})).unwrap()
    };
    let create = async |tokens: u64| {
        home.programs.create_child(&parent.program, &parent.secret, ask(tokens)).await
    };
    let child = create(900).await.unwrap();
    let refusal = create(200).await.unwrap_err();
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::BudgetExhausted, true));
    home.call(&child, model("a")).await.unwrap();
    home.programs.end(&child.program, &child.secret).await.unwrap();
    let used = cluster.tokens_of(&child.program);
    assert_eq!(create(1_001 - used).await.unwrap_err().code, ResultCode::BudgetExhausted);
    create(1_000 - used).await.unwrap();
    let refusal = home.call(&child, model("b")).await.unwrap_err();
    assert_eq!(refusal.code, ResultCode::ProgramEnded);
}

/// Returns what remains of 1,000 tokens and 10 calls after a call that reserved 100 tokens and then
/// went through `steps`.
fn left_after(steps: Vec<RecordBody>) -> Amount {
    let creation = Creation {
        entry: "e".try_into().unwrap(),
        owner: "o".try_into().unwrap(),
        secret_digest: [0; 32],
        budget: Amount { tokens: 1_000, calls: 10 },
        parent: None,
        inherit_history: false,
        deadline: None,
    };
    let accepted = RecordBody::Accepted { request: model("a").into(), reserved: Some(100) };
    let program = ProgramId::try_from("p-1").unwrap();
    let mut tree = Tree::default();
    for body in [RecordBody::Created(creation), accepted].into_iter().chain(steps) {
        let record = Record { at: WallTime(0), program: program.clone(), body };
        tree.apply(Epoch(1), record).unwrap();
    }
    tree.programs[&program].ledger.remaining()
}

#[test]
fn each_way_to_end_a_call_charges_what_it_may_have_used() {
    let call = || CallId::try_from("a").unwrap();
    let accepted = || RecordBody::Accepted { request: model("a").into(), reserved: Some(100) };
    let again = || RecordBody::Reserved { call: call(), tokens: 100 };
    let not_sent = || RecordBody::NotSent { call: call() };
    let withdrawn = |sent| RecordBody::Withdrawn { call: call(), sent };
    let done = || {
        let usage = Usage { prompt_tokens: 7, cached_tokens: 0, completion_tokens: 3 };
        let completion = Completion { output: "1".into(), usage, endpoint: None, prompt_turns: 0 };
        RecordBody::Done { call: call(), completion }
    };
    let failed = || {
        let failure = Failure { code: ResultCode::EndpointFailed, message: String::new() };
        RecordBody::Failed { call: call(), failure }
    };
    let cases = [
        (vec![], 900, 9),
        (vec![done()], 990, 9),
        (vec![again(), done()], 890, 9),
        (vec![not_sent(), again(), done()], 990, 9),
        (vec![failed()], 900, 9),
        (vec![withdrawn(false)], 1_000, 10),
        (vec![withdrawn(true)], 900, 9),
        (vec![again(), withdrawn(false)], 900, 9),
        (vec![again(), withdrawn(true)], 800, 9),
        (vec![withdrawn(true), accepted(), done()], 890, 9),
        (vec![withdrawn(true), accepted(), withdrawn(false)], 900, 9),
        (vec![again(), withdrawn(false), accepted(), failed()], 800, 9),
        (vec![withdrawn(false), accepted(), done()], 990, 9),
    ];
    for (steps, tokens, calls) in cases {
        let label = format!("{steps:?}");
        assert_eq!(left_after(steps), Amount { tokens, calls }, "{label}");
    }
}
