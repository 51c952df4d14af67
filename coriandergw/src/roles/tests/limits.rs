//! Tests with endpoints that name in their answers how many requests a second they take.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::world::World;
use crate::roles::tests::world::ask_at;
use crate::roles::tests::world::get;
use crate::roles::tests::world::status;
use crate::test_support::wait_for;

/// The limit that the endpoints of these tests name, in requests a second.
const LIMIT: usize = 2;

/// The time over which the requests that reach an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most requests that a limited endpoint may get within [`WINDOW`]: one and a half times what
/// its limit allows, and five.
const REQUESTS_MAX: usize = LIMIT * 4 * 3 / 2 + 5;

/// Starts an endpoint that names [`LIMIT`] in each answer.
async fn limited() -> Endpoint {
    Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\nlimit: {LIMIT}\r\n\
             content-length: 7\r\n\r\nlimited"
        );
        vec![Step::Send(head.into_bytes())]
    })
    .await
}

/// Sends requests one after the other to each of the entry instances until [`WINDOW`] has passed;
/// returns the answers.
async fn send_for_a_window(entries: &[SocketAddr]) -> Vec<String> {
    let end = Instant::now() + WINDOW;
    let mut answers = Vec::new();
    while Instant::now() < end {
        for entry in entries {
            let attempt = format!("t{}", answers.len());
            answers.push(ask_at(*entry, &get("/safe/x", &attempt, "")).await);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

// Guards against instances that each send an endpoint as much as it takes from all of them together.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_together_keep_the_limit_that_an_endpoint_names() {
    let mut world = World::start().await;
    let others = [world.add_entry().await, world.add_entry().await];
    let endpoint = limited().await;
    world.announce("a", "plain", &endpoint).await;
    let knows = |entry: &crate::roles::entry::EntryProcess| entry.forwarder.has_endpoints("plain");
    wait_for("the endpoint at the others", || others.iter().all(knows)).await;
    let mut entries = vec![world.callers];
    entries.extend(others.iter().filter_map(|entry| entry.roster.presence().caller_address));
    for entry in &entries {
        ask_at(*entry, &get("/safe/x", "first", "")).await;
    }
    let told = endpoint.seen().len();
    let answers = send_for_a_window(&entries).await;
    let got = endpoint.seen().len() - told;
    assert!(got <= REQUESTS_MAX, "{got} requests in {WINDOW:?}, allowed {REQUESTS_MAX}");
    assert!(got >= LIMIT * 2, "only {got} requests in {WINDOW:?} at a limit of {LIMIT} a second");
    // What does not fit is refused at once as not run, with a time to come back.
    let refused: Vec<&String> = answers.iter().filter(|one| status(one) == "503").collect();
    assert_eq!(refused.len() + got, answers.len());
    for refusal in refused {
        assert!(refusal.contains("\"not_run\":true"), "{refusal}");
        assert!(refusal.contains("retry-after: "), "{refusal}");
    }
}

// Guards against refusals while another endpoint of the service has room.
#[tokio::test(flavor = "multi_thread")]
async fn what_exceeds_the_limit_of_an_endpoint_goes_to_the_others() {
    let world = World::start().await;
    let endpoint = limited().await;
    world.announce("a", "plain", &endpoint).await;
    assert_eq!(status(&world.ask(&get("/safe/x", "first", "")).await), "200");
    let free = Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(answer(&attempt, "free"))]
    })
    .await;
    world.announce("b", "plain", &free).await;
    let answers = send_for_a_window(&[world.callers]).await;
    let got = endpoint.seen().len() - 1;
    assert!(got <= REQUESTS_MAX, "{got} requests in {WINDOW:?}, allowed {REQUESTS_MAX}");
    assert!(answers.iter().all(|one| status(one) == "200"));
    assert_eq!(free.seen().len() + got, answers.len());
}

// Guards against a burst that moves to an endpoint in need from an instance that it never answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_traffic_to_an_endpoint_learns_its_limit() {
    let mut world = World::start().await;
    let other = world.add_entry().await;
    let endpoint = limited().await;
    world.announce("a", "plain", &endpoint).await;
    // The first answer names the limit, the second request asks for a permit.
    for attempt in ["t1", "t2"] {
        world.ask(&get("/safe/x", attempt, "")).await;
    }
    let knows = || other.roster.with_view(|view| view.limits().count() == 1);
    wait_for("the limit at the other instance", knows).await;
    let callers = other.roster.presence().caller_address.expect("an address");
    let before = endpoint.seen().len();
    send_for_a_window(&[callers]).await;
    let got = endpoint.seen().len() - before;
    assert!(got <= REQUESTS_MAX, "{got} requests in {WINDOW:?}, allowed {REQUESTS_MAX}");
}
