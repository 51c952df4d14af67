//! Tests that engines hold no memory for programs that are gone, whoever dies meanwhile.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use serde_json::json;
use testkit::caller::Caller;
use testkit::caller::Outcome;
use testkit::caller::Program;
use testkit::cluster::ClusterOptions;
use testkit::fakes::engine::EngineFault;
use testkit::testbed::ENTRY;
use testkit::testbed::MODEL;
use testkit::testbed::Testbed;
use testkit::testbed::call;
use testkit::wait;
use tokio::time::Instant;

/// The instance that is killed; the engines renew their announcements there at first.
const HOME: &str = "e1";

/// The rounds of the sweep after which memory that is still held stays held.
const ROUNDS: u64 = 2;

/// Creates programs at one instance, which becomes their home, and lets engines hold their memory.
async fn programs_at(testbed: &Testbed, instance: &str, count: usize) -> Vec<Program> {
    let caller = Caller::new(vec![testbed.cluster.address(instance)]);
    let programs = join_all((0..count).map(|_| caller.create(ENTRY, json!({})))).await;
    let first = programs.iter().map(|program| caller.call(program, call("a", "model", MODEL, &[])));
    let outcomes = join_all(first).await;
    assert!(outcomes.iter().all(|outcome| matches!(outcome, Outcome::Done(_))), "{outcomes:?}");
    programs
}

fn set_fault(testbed: &Testbed, fault: EngineFault) {
    testbed.engines.iter().for_each(|engine| engine.set_fault(fault));
}

fn held(testbed: &Testbed) -> BTreeSet<String> {
    testbed.engines.iter().flat_map(|engine| engine.held().into_keys()).collect()
}

fn holds_any(testbed: &Testbed, programs: &[Program]) -> bool {
    let held = held(testbed);
    programs.iter().any(|program| held.contains(&program.id))
}

fn holds_all(testbed: &Testbed, programs: &[Program]) -> bool {
    let held = held(testbed);
    programs.iter().all(|program| held.contains(&program.id))
}

/// Waits until each engine was asked several times more for what it holds.
async fn sweeps_pass(testbed: &Testbed) {
    let before: Vec<u64> = testbed.engines.iter().map(|engine| engine.state_reads()).collect();
    wait::until("the engines are swept", || {
        let reads = testbed.engines.iter().map(|engine| engine.state_reads());
        reads.zip(&before).all(|(now, before)| now >= before + ROUNDS)
    })
    .await;
}

/// Ends programs while engines refuse all orders, and waits until a release was tried.
async fn end_without_release(testbed: &Testbed, programs: &[Program]) {
    set_fault(testbed, EngineFault { refuse_orders: true, ..EngineFault::default() });
    let caller = Caller::new(vec![testbed.cluster.address(HOME)]);
    join_all(programs.iter().map(|program| caller.end(program))).await;
    wait::until("a release was tried", || {
        testbed.engines.iter().any(|engine| engine.refused_orders() > 0)
    })
    .await;
    assert!(holds_all(testbed, programs), "nothing was released");
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_released_when_the_home_dies_between_the_end_and_the_release() {
    let mut testbed =
        Testbed::start(ClusterOptions { instances: 4, ..ClusterOptions::default() }).await;
    let gone = programs_at(&testbed, HOME, 12).await;
    let live = programs_at(&testbed, HOME, 2).await;
    let elsewhere = programs_at(&testbed, "e2", 2).await;
    end_without_release(&testbed, &gone).await;
    testbed.cluster.kill(HOME).await;
    set_fault(&testbed, EngineFault::default());
    let killed_at = Instant::now();
    wait::until("nothing is held for programs that are gone", || !holds_any(&testbed, &gone)).await;
    println!("free {:?} after the home was killed", killed_at.elapsed());
    sweeps_pass(&testbed).await;
    assert!(holds_all(&testbed, &live), "the memory of live programs stays");
    assert!(holds_all(&testbed, &elsewhere), "the memory of live programs stays");
    for program in live.iter().chain(&elsewhere) {
        let outcome = testbed.caller.call(program, call("b", "model", MODEL, &["a"])).await;
        assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_of_live_programs_stays_through_every_change_of_their_home() {
    let mut testbed =
        Testbed::start(ClusterOptions { instances: 4, ..ClusterOptions::default() }).await;
    let live = programs_at(&testbed, HOME, 6).await;
    for instance in ["e1", "e4"] {
        testbed.cluster.kill(instance).await;
        sweeps_pass(&testbed).await;
        assert!(holds_all(&testbed, &live), "{instance} is dead");
        testbed.cluster.start_instance(instance).await;
        testbed.cluster.ready(instance).await;
        sweeps_pass(&testbed).await;
        assert!(holds_all(&testbed, &live), "{instance} is back");
    }
    join_all(live.iter().map(|program| testbed.caller.end(program))).await;
    wait::until("nothing is held for programs that are gone", || !holds_any(&testbed, &live)).await;
}
