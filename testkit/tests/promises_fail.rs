//! One test for each line of "What fails". `docs/PROMISES.md` lists them.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use testkit::caller::Caller;
use testkit::caller::Outcome;
use testkit::cluster::ClusterOptions;
use testkit::fakes::service::Behaviour;
use testkit::operator::EntryChange;
use testkit::operator::accepted_revision;
use testkit::proxy::Faults;
use testkit::proxy::Proxy;
use testkit::testbed::ENTRY;
use testkit::testbed::MODEL;
use testkit::testbed::SERVICE;
use testkit::testbed::TOOL;
use testkit::testbed::Testbed;
use testkit::testbed::call;
use testkit::testbed::entry;
use testkit::wait;

/// The changes that pass a stopped process by.
const MISSED_CHANGES: u64 = 300;

async fn testbed() -> Testbed {
    Testbed::start(ClusterOptions::default()).await
}

/// Five instances, three of which vote.
async fn wide_scene() -> Testbed {
    Testbed::start(ClusterOptions { instances: 5, ..ClusterOptions::default() }).await
}

fn is_done(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done(_))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_dies_between_the_turns_of_a_program() {
    let mut testbed = wide_scene().await;
    let runs = join_all((0..8).map(|_| testbed.run_program(ENTRY, 3))).await;
    for (n, instance) in testbed.cluster.names().into_iter().enumerate() {
        testbed.cluster.kill(&instance).await;
        for (program, _) in &runs {
            let request = call(&format!("next-{n}"), "model", MODEL, &["t2"]);
            let outcome = testbed.caller.call(program, request).await;
            assert!(is_done(&outcome), "{instance} is dead: {outcome:?}");
            assert_eq!(testbed.caller.history(program).await.len(), 4 + n);
        }
        testbed.cluster.start_instance(&instance).await;
        testbed.cluster.ready(&instance).await;
    }
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tool_hangs() {
    let testbed = testbed().await;
    testbed.set_entry(ENTRY, entry("owner-a", json!({"tool_ms": 1_000}))).await;
    let program = testbed.caller.create(ENTRY, json!({})).await;
    testbed.tool.set_usual(Behaviour::Hang);
    testbed.service.plan(Behaviour::Hang);
    let tool = testbed.caller.call(&program, call("t", "tool", TOOL, &[])).await;
    assert!(matches!(tool, Outcome::Refused { .. }), "the caller is told: {tool:?}");
    let service = testbed.caller.call(&program, call("s", "service", SERVICE, &[])).await;
    let told = matches!(&service, Outcome::Refused { not_run: false, .. });
    assert!(told, "a call that was sent is not said to be not run: {service:?}");
    let after = testbed.caller.call(&program, call("m", "model", MODEL, &[])).await;
    assert!(is_done(&after), "the program goes on: {after:?}");
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_program_loops_without_end() {
    let testbed = testbed().await;
    testbed.set_entry(ENTRY, entry("owner-a", json!({"turns": 30}))).await;
    let program = testbed.caller.create(ENTRY, json!({})).await;
    let mut ended = None;
    for n in 0..40 {
        let mut request = call(&format!("c{n}"), "model", MODEL, &[]);
        request["input"] = json!({"prompt": format!("step {n}"), "max_tokens": 4});
        let outcome = testbed.caller.call(&program, request).await;
        if !is_done(&outcome) {
            ended = Some((n, outcome));
            break;
        }
    }
    let (turns, outcome) = ended.expect("the program is stopped");
    assert!(turns <= 30 && matches!(outcome, Outcome::Refused { not_run: true, .. }));
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_control_instance_is_cut_off_silently() {
    let testbed = wide_scene().await;
    for (turns, instance) in (201..).zip(["e1", "e2", "e3"]) {
        testbed.cluster.isolate(instance);
        let others: Vec<String> =
            testbed.cluster.names().into_iter().filter(|name| name != instance).collect();
        let cut_off = testbed.cluster.address(instance);
        let address = testbed.cluster.address(&others[0]);
        let revision = change_at(&testbed, address, turns).await;
        let behind = testbed.operator.read(cut_off, ENTRY).await;
        if let Ok(answer) = behind {
            assert_ne!(answer.json()["limits"]["turns"], turns, "{instance} is cut off");
        }
        let alone = testbed.operator.put(cut_off, &racing(&testbed, revision, 7)).await;
        let accepted = alone.ok().and_then(|answer| accepted_revision(&answer));
        assert_eq!(accepted, None, "{instance} accepts nothing alone");
        // Instances forward to each other at the addresses of callers, so those are cut as well.
        let fronts = || others.iter().map(|other| testbed.cluster.front(other));
        fronts().for_each(|front| front.set_both(Faults::blocked()));
        refuses_new_programs(&testbed, instance).await;
        fronts().for_each(Proxy::heal);
        testbed.cluster.rejoin(instance);
        wait::find("the instance catches up", || async {
            testbed.operator.revision(cut_off, ENTRY).await.filter(|found| *found >= revision)
        })
        .await;
    }
    testbed.audit().await;
}

/// Changes the entry through one instance, to a number of turns that no earlier change set, and
/// returns the revision.
async fn change_at(testbed: &Testbed, address: std::net::SocketAddr, turns: u64) -> u64 {
    let id = testbed.change_id();
    let body = entry("owner-a", json!({"turns": turns, "tool_ms": 1_000}));
    wait::find("the others accept a change", || async {
        testbed.operator.try_change(address, ENTRY, &body, &id).await
    })
    .await
}

/// Waits until an instance that is cut off takes no new program and says "not run".
async fn refuses_new_programs(testbed: &Testbed, instance: &str) {
    let url = format!("http://{}/v1/programs", testbed.cluster.address(instance));
    wait::find("an instance without a current configuration takes no program", || async {
        let answer = testkit::http::post(&url, &json!({"entry": ENTRY})).await.ok()?;
        (answer.status != 201 && answer.json()["not_run"] == true).then_some(())
    })
    .await;
}

fn racing(testbed: &Testbed, against: u64, turns: u64) -> EntryChange {
    let body = entry("owner-a", json!({"turns": turns}));
    EntryChange { entry: ENTRY.to_owned(), body, against, id: testbed.change_id() }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race_under_equal_numbers_and_resend() {
    let mut testbed = wide_scene().await;
    for round in 0..5 {
        let revision = testbed.set_entry(ENTRY, entry("owner-a", json!({"turns": 100}))).await;
        let changes: Vec<EntryChange> =
            (0..4).map(|n| racing(&testbed, revision, 10 + round * 10 + n)).collect();
        let addresses = testbed.running_addresses();
        let sent = changes.iter().zip(&addresses).map(|(c, to)| testbed.operator.put(*to, c));
        let answers = join_all(sent).await;
        let answers: Vec<_> = answers.into_iter().map(|a| a.expect("an answer")).collect();
        let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
        let won = statuses.iter().filter(|status| **status == 200).count();
        let told = statuses.iter().filter(|status| **status == 412).count();
        assert_eq!((won, told), (1, 3), "round {round}: {statuses:?}");
        // The answers are lost, a process dies, and all four are sent again elsewhere.
        let victim = format!("e{}", round % 3 + 1);
        testbed.cluster.restart(&victim).await;
        for (change, first) in changes.iter().zip(&answers) {
            let again = wait::find("a resent change is answered", || async {
                let to = testbed.cluster.address("e5");
                testbed.operator.put(to, change).await.ok().filter(|answer| answer.status < 500)
            })
            .await;
            assert_eq!((again.status, again.body), (first.status, first.body.clone()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_instance_is_lost_right_after_a_repair() {
    let mut testbed = wide_scene().await;
    let runs = join_all((0..4).map(|_| testbed.run_program(ENTRY, 4))).await;
    let revision = testbed.set_entry(ENTRY, entry("owner-a", json!({"turns": 99}))).await;
    testbed.cluster.kill("e1").await;
    testbed.cluster.remove_data("e1");
    testbed.cluster.start_instance("e1").await;
    testbed.cluster.ready("e1").await;
    testbed.cluster.kill("e2").await;
    testbed.cluster.remove_data("e2");
    for (program, _) in &runs {
        assert_eq!(testbed.caller.history(program).await.len(), 4);
        let outcome = testbed.caller.call(program, call("after", "model", MODEL, &["t3"])).await;
        assert!(is_done(&outcome), "{outcome:?}");
    }
    for address in testbed.running_addresses() {
        let found = testbed.operator.revision(address, ENTRY).await;
        assert!(found >= Some(revision), "{found:?}");
    }
    let next = testbed.accept_entry(ENTRY, entry("owner-a", json!({"turns": 98}))).await;
    assert!(next > revision);
    testbed.audit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_restarts_after_hundreds_of_changes() {
    let mut testbed = testbed().await;
    testbed.cluster.kill("e3").await;
    let mut revision = 0;
    for n in 0..MISSED_CHANGES {
        revision = testbed.accept_entry(ENTRY, entry("owner-a", json!({"turns": 100 + n}))).await;
    }
    testbed.cluster.start_instance("e3").await;
    testbed.cluster.ready("e3").await;
    let address = testbed.cluster.address("e3");
    let answer = testbed.operator.read(address, ENTRY).await.expect("an answer").json();
    assert_eq!(answer["revision"], revision);
    assert_eq!(answer["limits"]["turns"], 100 + MISSED_CHANGES - 1);
    // The restarted store instance counts: the other one may go.
    testbed.cluster.kill("e2").await;
    let next = testbed.accept_entry(ENTRY, entry("owner-a", json!({"turns": 7}))).await;
    assert!(next > revision);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_and_a_death_come_together() {
    let mut testbed =
        Testbed::start(ClusterOptions { instances: 6, stores: 5, ..ClusterOptions::default() })
            .await;
    let runs = join_all((0..4).map(|_| testbed.run_program(ENTRY, 3))).await;
    testbed.cluster.isolate("e1");
    testbed.cluster.kill("e2").await;
    let reachable = ["e3", "e4", "e5", "e6"].map(|name| testbed.cluster.address(name));
    let caller = Caller::new(reachable.to_vec()).attempt_timeout(Duration::from_secs(3));
    for (program, _) in &runs {
        let outcome = caller.call(program, call("on", "service", SERVICE, &["t2"])).await;
        assert!(is_done(&outcome), "{outcome:?}");
    }
    testbed.cluster.rejoin("e1");
    testbed.cluster.start_instance("e2").await;
    testbed.cluster.ready("e2").await;
    for (program, _) in &runs {
        assert_eq!(testbed.caller.history(program).await.len(), 4);
    }
    let mut evidence = testbed.evidence();
    evidence.add_log(caller.log());
    testkit::auditor::assert_clean(&evidence);
}
