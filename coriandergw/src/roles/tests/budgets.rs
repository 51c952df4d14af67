//! Tests of programs' token budgets, from reservation to settlement.

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::last_chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::world::World;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;

/// Starts an engine that answers each request with two events of three tokens each.
async fn engine() -> Endpoint {
    Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let mut bytes = stream_head(&attempt);
        bytes.extend(chunk(&event(1)));
        bytes.extend(chunk(&event(2)));
        bytes.extend(last_chunk());
        vec![Step::Send(bytes)]
    })
    .await
}

fn turn_request(attempt: &str, program: &str, budget: u64) -> String {
    let more = format!("program: {program}\r\nbudget: {budget}\r\noutput-max: 10\r\n");
    post("/stream/x", attempt, &more, "prompt")
}

#[tokio::test]
async fn a_turn_runs_only_if_the_remaining_budget_covers_its_maximum_output() {
    let world = World::start().await;
    let engine = engine().await;
    world.announce("a", "engines", &engine).await;
    // Each turn uses 6 of 10 tokens reserved: 0 + 10, 6 + 10 and 12 + 10 fit into 22, 18 + 10 not.
    for attempt in ["t1", "t2", "t3"] {
        let reply = world.ask(&turn_request(attempt, "p1", 22)).await;
        assert_eq!(status(&reply), "200", "{reply}");
    }
    let reply = world.ask(&turn_request("t4", "p1", 22)).await;
    assert_eq!(status(&reply), "402", "{reply}");
    assert!(reply.contains("\"not_run\":true"), "{reply}");
    assert_eq!(engine.seen().len(), 3);
    let other = world.ask(&turn_request("t5", "p2", 22)).await;
    assert_eq!(status(&other), "200", "{other}");
}

#[tokio::test]
async fn a_turn_that_no_engine_accepts_releases_its_reservation() {
    let world = World::start().await;
    let refused = world.ask(&turn_request("t1", "p1", 10)).await;
    assert_eq!(status(&refused), "503", "{refused}");
    let engine = engine().await;
    world.announce("a", "engines", &engine).await;
    let reply = world.ask(&turn_request("t2", "p1", 10)).await;
    assert_eq!(status(&reply), "200", "{reply}");
}
