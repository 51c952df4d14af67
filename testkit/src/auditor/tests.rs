use serde_json::Value;
use serde_json::json;

use crate::auditor::TrialRecords;
use crate::auditor::Violation;
use crate::auditor::audit;
use crate::caller::Attempt;
use crate::caller::HistoryRead;
use crate::caller::Outcome;
use crate::caller::ProgramRecord;
use crate::fakes::engine_core::EngineCall;
use crate::fakes::engine_core::EngineRecord;
use crate::fakes::service::RunRecord;

const PROGRAM: &str = "p-1";

fn output(call: &str) -> Value {
    json!({"program": PROGRAM, "call_id": call})
}

fn ran(call: &str, started_at: u64) -> RunRecord {
    RunRecord {
        program: PROGRAM.to_owned(),
        call: call.to_owned(),
        input: Value::Null,
        output: output(call),
        started_at,
        finished_at: Some(started_at + 1),
    }
}

fn attempt(call: &str, after: &[&str], sent_at: u64, outcome: Outcome) -> Attempt {
    let request = json!({"call_id": call, "after": after, "kind": "service"});
    let program = PROGRAM.to_owned();
    Attempt { program, request, sent_at, answered_at: sent_at + 5, outcome }
}

fn done(call: &str) -> Outcome {
    Outcome::Done(json!({"program": PROGRAM, "call_id": call, "output": output(call)}))
}

fn not_run() -> Outcome {
    Outcome::Refused { code: "CG-2001".to_owned(), not_run: true }
}

fn model_run(text: &str, prompt_answer: &str) -> EngineRecord {
    let message = |role: &str, text: &str| coriandergw::dispatch::Message {
        role: role.into(),
        content: text.into(),
    };
    EngineRecord {
        call: EngineCall {
            program: PROGRAM.to_owned(),
            call: "m".to_owned(),
            model: "model-a".to_owned(),
            messages: vec![message("user", "q"), message("assistant", prompt_answer)],
            max_tokens: 1,
            priority: 0,
            pin: std::time::Duration::ZERO,
        },
        usage: coriandergw::dispatch::Usage { prompt_tokens: 40, ..Default::default() },
        recomputed_tokens: 0,
        text: text.to_owned(),
        finished: true,
        cancelled: false,
        started_at: 30,
        finished_at: Some(31),
    }
}

/// Two calls in order, a history with both, and an ended program that holds nothing.
fn clean() -> TrialRecords {
    let mut evidence = TrialRecords::default();
    let id = PROGRAM.to_owned();
    let budget = Some(2);
    let record =
        ProgramRecord { id: id.clone(), parent: None, tokens: budget, calls: budget, ended: true };
    evidence.log.programs.push(record);
    evidence.services = vec![ran("a", 11), ran("b", 21)];
    evidence.log.attempts =
        vec![attempt("a", &[], 10, done("a")), attempt("b", &["a"], 20, done("b"))];
    let turns = ["a", "b"].map(|call| json!({"call_id": call, "output": output(call)})).to_vec();
    evidence.log.histories.push(HistoryRead { program: id, sent_at: 40, turns });
    evidence
}

/// Returns the names of the violations that are found after `plant`.
fn found<F>(plant: F) -> Vec<String>
where
    F: FnOnce(&mut TrialRecords),
{
    let mut evidence = clean();
    plant(&mut evidence);
    let name = |violation: &Violation| {
        format!("{violation:?}").split([' ', '{']).next().unwrap_or("").to_owned()
    };
    let mut names: Vec<String> = audit(&evidence).iter().map(name).collect();
    names.dedup();
    names
}

#[test]
fn finds_nothing_in_a_clean_trial() {
    assert_eq!(found(|_| {}), [""; 0]);
}

#[test]
fn finds_a_call_before_its_predecessor() {
    assert_eq!(found(|e| e.services[1].started_at = 11), ["OutOfOrder"]);
    assert_eq!(found(|e| e.services[0].finished_at = None), ["OutOfOrder", "WrongAnswer"]);
}

#[test]
fn finds_a_repeated_effect_unless_it_may_be_repeated() {
    assert_eq!(found(|e| e.services.push(ran("a", 50))), ["Repeated"]);
    let idempotent = |e: &mut TrialRecords| {
        e.services.push(ran("a", 50));
        e.log.attempts[0].request["idempotent"] = json!(true);
    };
    assert_eq!(found(idempotent), [""; 0]);
}

#[test]
fn finds_mixed_and_short_histories() {
    let mixed = |e: &mut TrialRecords| {
        e.log.histories[0].turns[0]["output"]["program"] = json!("p-2");
    };
    assert_eq!(found(mixed), ["Mixed"]);
    let short = |e: &mut TrialRecords| {
        e.log.histories[0].turns.pop();
    };
    assert_eq!(found(short), ["Short"]);
}

#[test]
fn finds_a_prompt_with_an_answer_of_another_program() {
    let own = |e: &mut TrialRecords| {
        e.log.programs[0] =
            ProgramRecord { tokens: None, calls: None, ..e.log.programs[0].clone() };
        e.engines.push(model_run("p-1/m w1 ", "p-1/l w1"));
    };
    assert_eq!(found(own), [""; 0]);
    let foreign = |e: &mut TrialRecords| {
        own(e);
        e.engines[0] = model_run("p-1/m w1 ", "p-2/l w1");
    };
    assert_eq!(found(foreign), ["Mixed"]);
}

#[test]
fn finds_wrong_and_cut_answers() {
    let crossed = |e: &mut TrialRecords| e.log.attempts[0].outcome = done("b");
    assert_eq!(found(crossed), ["WrongAnswer"]);
    let cut = |e: &mut TrialRecords| {
        let body = json!({"program": PROGRAM, "call_id": "a", "output": "half"});
        e.log.attempts[0].outcome = Outcome::Done(body);
    };
    assert_eq!(found(cut), ["WrongAnswer"]);
}

#[test]
fn finds_used_up_budgets() {
    let calls = |e: &mut TrialRecords| e.services.push(ran("c", 50));
    assert_eq!(found(calls), ["OverBudget"]);
    let tokens = |e: &mut TrialRecords| {
        e.log.programs[0].calls = None;
        e.engines.push(model_run("p-1/m ", "p-1/l"));
    };
    assert_eq!(found(tokens), ["OverBudget"]);
    let of_the_tree = |e: &mut TrialRecords| {
        let parent = Some(PROGRAM.to_owned());
        let child = ProgramRecord { id: "p-9".to_owned(), parent, ..e.log.programs[0].clone() };
        e.log.programs.push(child);
        e.services.push(RunRecord { program: "p-9".to_owned(), ..ran("c", 50) });
    };
    assert_eq!(found(of_the_tree), ["OverBudget"]);
}

#[test]
fn finds_memory_held_for_an_ended_program() {
    let held = |e: &mut TrialRecords| {
        e.held.insert(PROGRAM.to_owned(), 7);
    };
    assert_eq!(found(held), ["Held"]);
}

#[test]
fn finds_an_untrue_not_run_and_allows_a_later_attempt() {
    let untrue = |e: &mut TrialRecords| e.log.attempts[0].outcome = not_run();
    assert_eq!(found(untrue), ["UntrueNotRun"]);
    let sent_again = |e: &mut TrialRecords| {
        let refused = Attempt { answered_at: 2, ..attempt("a", &[], 1, not_run()) };
        e.log.attempts.insert(0, refused);
    };
    assert_eq!(found(sent_again), [""; 0]);
}
