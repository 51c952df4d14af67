//! Tests with instances that do not reach endpoints that other instances reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::ids::EndpointName;
use crate::relays::RelayError;
use crate::relays::client;
use crate::roles::entry::EntryProcess;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Seen;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::endpoint::chunk;
use crate::roles::tests::endpoint::event;
use crate::roles::tests::endpoint::last_chunk;
use crate::roles::tests::endpoint::stream_head;
use crate::roles::tests::links::LinkState;
use crate::roles::tests::links::Links;
use crate::roles::tests::world::World;
use crate::roles::tests::world::ask_at;
use crate::roles::tests::world::event_ids;
use crate::roles::tests::world::get;
use crate::roles::tests::world::post;
use crate::roles::tests::world::record;
use crate::roles::tests::world::status;
use crate::roster::EndpointRecord;
use crate::roster::Relay;
use crate::test_support::wait_for;

/// The number of endpoints of each service.
const ENDPOINTS: usize = 10;

/// The crashes after which a request is stopped, and the repetitions that are tolerated after that.
const CRASHES_MAX: usize = 3 + 3;

/// The time after a cut within which requests may still fail, `contact_ms` of the deployments.
const CONTACT: Duration = Duration::from_secs(3);

/// The grace of the users' deployments.
const GRACE: Duration = Duration::from_secs(8);

/// How long callers of these tests wait for an answer.
const DEADLINE: &str = "deadline: 1200\r\n";

/// The time within which a request that cannot be served is refused: well before its deadline.
const AT_ONCE: Duration = Duration::from_millis(600);

/// The answer of an endpoint that works: three events to a stream, a short body to others. It resets
/// the connection of a request whose attempt begins with `lost`.
fn work(seen: &Seen) -> Vec<Step> {
    let attempt = seen.header("attempt").unwrap_or_default();
    if attempt.starts_with("lost") {
        return vec![Step::Reset];
    }
    if attempt.starts_with("crash") {
        return vec![Step::Crash];
    }
    if attempt.starts_with("open-ended") {
        let end = if attempt.ends_with("reset") { Step::Reset } else { Step::Close };
        let head = format!("HTTP/1.1 200 OK\r\nattempt: {attempt}\r\nsigned: yes\r\n\r\nhalf");
        return vec![Step::Send(head.into_bytes()), Step::Wait(Duration::from_millis(50)), end];
    }
    if attempt.starts_with("very-slow") {
        let pause = Step::Wait(Duration::from_secs(4));
        return vec![pause, Step::Send(answer(&attempt, "done"))];
    }
    if attempt.starts_with("slow") {
        let pause = Step::Wait(Duration::from_millis(100));
        return vec![pause, Step::Send(answer(&attempt, "done"))];
    }
    if !seen.path().starts_with("/stream/") && !seen.path().starts_with("/single/") {
        return vec![Step::Send(answer(&attempt, "done"))];
    }
    let last_event = seen.header("last-event").and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut steps = vec![Step::Send(stream_head(&attempt))];
    if last_event < 1 {
        steps.push(Step::Send(chunk(&event(1))));
    }
    if attempt.starts_with("paused") {
        steps.push(Step::Wait(Duration::from_millis(300)));
    }
    steps.extend((2..=3).map(|id| Step::Send(chunk(&event(id)))));
    steps.push(Step::Send(last_chunk()));
    steps
}

/// An entry instance whose links can be cut, others with links of their own, and endpoints.
struct Fleet {
    world: World,
    links: Arc<Links>,
    others: Vec<(EntryProcess, Arc<Links>)>,
    endpoints: Vec<Endpoint>,
}

impl Fleet {
    async fn start(others: usize) -> Self {
        let links = Links::open();
        let mut world = World::start_with(links.clone()).await;
        let mut fleet_others = Vec::new();
        for _ in 0..others {
            let links = Links::open();
            fleet_others.push((world.add_entry_with(links.clone()).await, links));
        }
        let mut endpoints = Vec::new();
        for service in ["plain", "engines"] {
            for number in 0..ENDPOINTS {
                let endpoint = Endpoint::start(|_, seen| work(seen)).await;
                world.announce(&format!("{service}-{number}"), service, &endpoint).await;
                endpoints.push(endpoint);
            }
        }
        let knows = |entry: &EntryProcess| {
            entry.forwarder.has_endpoints("plain") && entry.forwarder.has_endpoints("engines")
        };
        wait_for("the endpoints at the others", || fleet_others.iter().all(|(one, _)| knows(one)))
            .await;
        // The core instance must know all entry instances and these each other.
        tokio::time::sleep(Duration::from_secs(1)).await;
        Self { world, links, others: fleet_others, endpoints }
    }

    fn callers(&self) -> SocketAddr {
        self.world.callers
    }

    /// Sends requests one after the other for a time; their answers do not matter.
    async fn send_for(&self, time: Duration) {
        let end = tokio::time::Instant::now() + time;
        let mut senders = JoinSet::new();
        for sender in 0..4 {
            let callers = self.callers();
            senders.spawn(async move {
                let mut number = 0;
                while tokio::time::Instant::now() < end {
                    number += 1;
                    let request = get("/safe/x", &format!("before-{sender}-{number}"), DEADLINE);
                    let asked = ask_at(callers, &request);
                    let _ = tokio::time::timeout(Duration::from_millis(1200), asked).await;
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            });
        }
        senders.join_all().await;
    }

    /// Holds up all links of all instances for a second.
    async fn silence_for_a_second(&self) {
        let all = || self.others.iter().map(|(_, links)| links).chain([&self.links]);
        all().for_each(|links| links.set(LinkState::Silent));
        tokio::time::sleep(Duration::from_secs(1)).await;
        all().for_each(|links| links.set(LinkState::Open));
    }

    /// Sends requests and streams at the same time; each must be served before its deadline.
    async fn assert_served(&self) {
        let mut asked = JoinSet::new();
        for number in 0..24 {
            let (callers, is_stream) = (self.callers(), number % 3 == 0);
            let path = if is_stream { "/stream/x" } else { "/safe/x" };
            asked.spawn(async move {
                let request = get(path, &format!("after-{number}"), DEADLINE);
                (is_stream, ask_at(callers, &request).await)
            });
        }
        for (is_stream, answer) in asked.join_all().await {
            assert_eq!(status(&answer), "200", "{answer}");
            if is_stream {
                assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
            }
        }
    }
}

// Guards against callers who wait for endpoints that only their instance does not reach.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_whose_links_are_silent_are_served() {
    let fleet = Fleet::start(2).await;
    fleet.send_for(Duration::from_millis(500)).await;
    fleet.links.set(LinkState::Silent);
    fleet.send_for(CONTACT).await;
    fleet.assert_served().await;
}

// Guards against the same while new connections are refused and open ones live on.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_whose_links_refuse_are_served() {
    let fleet = Fleet::start(2).await;
    fleet.links.set(LinkState::Refused);
    fleet.send_for(CONTACT).await;
    fleet.assert_served().await;
}

// Guards against first callers who pay for what an instance without traffic has not noticed.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_callers_of_an_idle_instance_without_links_are_served() {
    let fleet = Fleet::start(2).await;
    fleet.links.set(LinkState::Silent);
    tokio::time::sleep(CONTACT).await;
    fleet.assert_served().await;
}

// Guards against instances that relay through others that are cut off as well.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_most_instances_have_no_links() {
    let fleet = Fleet::start(4).await;
    fleet.links.set(LinkState::Silent);
    for (_, links) in &fleet.others[..3] {
        links.set(LinkState::Silent);
    }
    fleet.send_for(CONTACT).await;
    fleet.assert_served().await;
}

// Guards against requests that hang until their deadline though no instance reaches an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_no_instance_has_links() {
    let fleet = Fleet::start(1).await;
    fleet.links.set(LinkState::Silent);
    fleet.others[0].1.set(LinkState::Silent);
    fleet.send_for(CONTACT).await;
    for number in 0..4 {
        let request = get("/safe/x", &format!("none-{number}"), DEADLINE);
        let asked = ask_at(fleet.callers(), &request);
        let answer = tokio::time::timeout(AT_ONCE, asked).await.expect("refused before its time");
        assert_eq!(status(&answer), "503", "{answer}");
        assert!(answer.contains("\"not_run\":true"), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
    }
    fleet.links.set(LinkState::Open);
    tokio::time::sleep(CONTACT).await;
    fleet.assert_served().await;
}

// Guards against a request that is refused everywhere because one instance, whose own links refuse
// connections, took endpoints for crashed.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_links_refuse_accuses_no_request() {
    let fleet = Fleet::start(2).await;
    let (callers, other) = (fleet.callers(), fleet.others[0].0.roster.presence());
    let other = other.caller_address.expect("an address");
    // Opens connections to endpoints, which live on.
    fleet.send_for(Duration::from_millis(500)).await;
    fleet.links.set(LinkState::Refused);
    for number in 0..4 {
        ask_at(callers, &post("/safe/x", &format!("lost-{number}"), DEADLINE, "same")).await;
    }
    let seen = fleet.endpoints.iter().flat_map(Endpoint::seen);
    let lost = seen.filter(|one| one.header("attempt").is_some_and(|id| id.starts_with("lost")));
    assert!(lost.count() > 0, "no request was lost, so the test shows nothing");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = ask_at(other, &post("/safe/x", "sound", DEADLINE, "same")).await;
    assert_eq!(status(&answer), "200", "{answer}");
    let crashes = fleet.world.entry.roster.with_view(|view| view.crashes().crashes().count());
    assert_eq!(crashes, 0, "endpoints were reported as crashed");
}

// Guards against a request that crashes one endpoint after the other through relays, since its
// instance cannot see for itself that they have ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_stopped_at_an_instance_without_links() {
    let fleet = Fleet::start(2).await;
    fleet.links.set(LinkState::Silent);
    fleet.send_for(CONTACT).await;
    for number in 0..ENDPOINTS {
        let attempt = format!("crash-{number}");
        ask_at(fleet.callers(), &post("/safe/x", &attempt, DEADLINE, "crash")).await;
    }
    let crashed = fleet.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count();
    assert!(crashed <= CRASHES_MAX, "{crashed} endpoints crashed, allowed {CRASHES_MAX}");
}

// Guards against an answer without a length that its endpoint reset and that looks complete, since a
// relay passes on how a connection ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_answer_that_is_reset_is_not_complete() {
    let fleet = Fleet::start(2).await;
    fleet.links.set(LinkState::Silent);
    fleet.send_for(CONTACT).await;
    let whole = ask_at(fleet.callers(), &get("/safe/x", "open-ended-close", DEADLINE)).await;
    assert_eq!(status(&whole), "200", "{whole}");
    assert!(whole.contains("half"), "{whole}");
    let reset = ask_at(fleet.callers(), &get("/safe/x", "open-ended-reset", DEADLINE)).await;
    assert_ne!(status(&reset), "200", "{reset}");
}

// Guards against requests that are lost since the instance that relays them was stopped in order.
#[tokio::test(flavor = "multi_thread")]
async fn requests_leave_a_relay_that_is_stopping() {
    let mut fleet = Fleet::start(2).await;
    fleet.links.set(LinkState::Silent);
    fleet.send_for(CONTACT).await;
    let callers = fleet.callers();
    let (relay, _links) = fleet.others.remove(0);
    let stopping = tokio::spawn(async move {
        relay.stop(GRACE).await;
        // Ends its tasks, as the end of its process does.
        drop(relay);
    });
    let mut number = 0;
    let mut is_stopped = false;
    while !is_stopped || number % 50 != 0 {
        is_stopped = stopping.is_finished();
        number += 1;
        let request = get("/once/x", &format!("slow-{number}"), "deadline: 3000\r\n");
        let answer = ask_at(callers, &request).await;
        assert_eq!(status(&answer), "200", "{answer}");
    }
}

// Guards against requests of other instances that are cut since the instance that relays them has
// answered all of its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_relay_finishes_the_request_that_it_carries() {
    let mut fleet = Fleet::start(1).await;
    fleet.links.set(LinkState::Silent);
    fleet.send_for(CONTACT).await;
    let callers = fleet.callers();
    let request = get("/once/x", "very-slow", "deadline: 6000\r\n");
    let asking = tokio::spawn(async move { ask_at(callers, &request).await });
    let is_sent = |seen: &Seen| seen.header("attempt").is_some_and(|one| one == "very-slow");
    let is_running = || fleet.endpoints.iter().any(|one| one.seen().iter().any(is_sent));
    wait_for("the request at an endpoint", is_running).await;
    let (relay, _links) = fleet.others.remove(0);
    relay.stop(GRACE).await;
    // Ends its tasks, as the end of its process does.
    drop(relay);
    let answer = asking.await.expect("an answer");
    assert_eq!(status(&answer), "200", "{answer}");
}

// Guards against a relay that connects to any address that it is told.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_connects_to_listed_endpoints_only() {
    let fleet = Fleet::start(1).await;
    let presence = fleet.others[0].0.roster.presence();
    let relay = Relay {
        name: presence.name.clone(),
        address: presence.relay_address.expect("it relays"),
        data_centre: presence.data_centre.clone(),
    };
    let id = EndpointName::try_from("plain-0").expect("a name");
    let listed = record(&id, "plain", fleet.endpoints[0].address);
    let opened = async |endpoint| client::open(&relay, &endpoint, &presence.name).await;
    assert!(opened(listed.clone()).await.is_ok());
    let elsewhere = EndpointRecord { address: fleet.endpoints[1].address, ..listed.clone() };
    assert_eq!(opened(elsewhere).await.err(), Some(RelayError::Unlisted));
    let earlier = EndpointRecord { started_ms: 0, ..listed };
    assert_eq!(opened(earlier).await.err(), Some(RelayError::Unlisted));
}

// Guards against a request that may run once and is given up because a sound endpoint, which no
// instance reaches for a second, answers late.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_must_not_be_repeated_waits_for_an_endpoint_that_is_silent_for_a_second() {
    let fleet = Fleet::start(2).await;
    fleet.send_for(Duration::from_millis(500)).await;
    let callers = fleet.callers();
    let request = get("/once/x", "slow-once", "deadline: 5000\r\n");
    let asked = tokio::spawn(async move { ask_at(callers, &request).await });
    wait_for("the request at an endpoint", || {
        let mut seen = fleet.endpoints.iter().flat_map(Endpoint::seen);
        seen.any(|one| one.header("attempt").as_deref() == Some("slow-once"))
    })
    .await;
    fleet.silence_for_a_second().await;
    let answer = asked.await.expect("asked");
    assert_eq!(status(&answer), "200", "{answer}");
}

// Guards against a request that may run at one endpoint only and is given up, since the endpoint lost
// its power and counts as one that may still run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_elsewhere_once_its_endpoint_answers_no_instance() {
    let fleet = Fleet::start(2).await;
    let callers = fleet.callers();
    let request = get("/single/x", "paused", "deadline: 10000\r\n");
    let asked = tokio::spawn(async move { ask_at(callers, &request).await });
    let running = || fleet.endpoints.iter().find(|one| !one.seen().is_empty());
    wait_for("the stream at an endpoint", || running().is_some()).await;
    let dark = running().expect("it runs").address;
    fleet.links.set_dark(dark);
    fleet.others.iter().for_each(|(_, links)| links.set_dark(dark));
    let answer = asked.await.expect("asked");
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

// Guards against a stream that is read in again elsewhere because its sound endpoint, which no
// instance reaches for a second, makes a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_after_its_endpoint_was_silent_for_a_second() {
    let fleet = Fleet::start(2).await;
    let callers = fleet.callers();
    let request = get("/stream/x", "paused", "deadline: 5000\r\n");
    let asked = tokio::spawn(async move { ask_at(callers, &request).await });
    let runs = || fleet.endpoints.iter().flat_map(Endpoint::seen).count();
    wait_for("the stream at an endpoint", || runs() > 0).await;
    fleet.silence_for_a_second().await;
    let answer = asked.await.expect("asked");
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert_eq!(runs(), 1);
}
