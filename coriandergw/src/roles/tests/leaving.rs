//! Tests with endpoints that state in an answer that they are leaving while the roster lists them as
//! ready.

use crate::ids::EndpointName;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::world::World;
use crate::roles::tests::world::get;
use crate::roles::tests::world::record;
use crate::roles::tests::world::status;
use crate::roster::EndpointRecord;
use crate::test_support::wait_for;

/// Starts an endpoint that answers with the given status line and states that it is leaving.
async fn leaving(status_line: &'static str) -> Endpoint {
    Endpoint::start(move |_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {status_line}\r\nattempt: {attempt}\r\nsigned: yes\r\nleaving: 1\r\n\
             content-length: 2\r\n\r\nok"
        );
        vec![Step::Send(head.into_bytes())]
    })
    .await
}

async fn echo() -> Endpoint {
    Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(answer(&attempt, "stays"))]
    })
    .await
}

#[tokio::test]
async fn an_endpoint_that_states_that_it_leaves_gets_no_further_request() {
    let world = World::start().await;
    let going = leaving("200 OK").await;
    world.announce("a", "plain", &going).await;
    assert_eq!(status(&world.ask(&get("/safe/x", "t0", "")).await), "200");
    let staying = echo().await;
    world.announce("b", "plain", &staying).await;
    for attempt in ["t1", "t2", "t3"] {
        let reply = world.ask(&get("/safe/x", attempt, "")).await;
        assert!(reply.ends_with("stays"), "{reply}");
    }
    // Neither another announcement as ready nor another configuration brings it back.
    let id = EndpointName::try_from("a").expect("a name");
    let renewed = EndpointRecord { sequence: 2, ..record(&id, "plain", going.address) };
    world.core.roster_server.announce(EndpointRecord { slots: 5, ..renewed });
    world.core.versions.put(2, "2".into()).await.expect("committed");
    let has_changes = || {
        world.entry.roster.with_view(|view| {
            view.config().0 == 2 && view.endpoint(&id).is_some_and(|known| known.slots == 5)
        })
    };
    wait_for("both changes", has_changes).await;
    // Nor the loss of the core.
    world.core.stop().await;
    for attempt in ["t4", "t5", "t6"] {
        let reply = world.ask(&get("/safe/x", attempt, "")).await;
        assert!(reply.ends_with("stays"), "{reply}");
    }
    assert_eq!(going.seen().len(), 1);
}

#[tokio::test]
async fn a_later_incarnation_of_an_endpoint_that_left_is_used() {
    let world = World::start().await;
    let going = leaving("200 OK").await;
    world.announce("a", "plain", &going).await;
    assert_eq!(status(&world.ask(&get("/safe/x", "t0", "")).await), "200");
    assert_eq!(status(&world.ask(&get("/safe/x", "t1", "")).await), "503");
    let id = EndpointName::try_from("a").expect("a name");
    let reborn = echo().await;
    let later = EndpointRecord { started_ms: 2, ..record(&id, "plain", reborn.address) };
    world.core.roster_server.announce(later);
    wait_for("the incarnation", || world.entry.forwarder.has_endpoints("plain")).await;
    let reply = world.ask(&get("/safe/x", "t2", "")).await;
    assert!(reply.ends_with("stays"), "{reply}");
}

#[tokio::test]
async fn a_failure_that_states_leaving_counts_too() {
    let world = World::start().await;
    let going = leaving("500 Internal Server Error").await;
    world.announce("a", "plain", &going).await;
    assert_eq!(status(&world.ask(&get("/safe/x", "t0", "")).await), "500");
    assert_eq!(status(&world.ask(&get("/safe/x", "t1", "")).await), "503");
    assert_eq!(going.seen().len(), 1);
}
