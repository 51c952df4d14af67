//! Tests with a request that crashes each endpoint that runs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::task::JoinSet;

use crate::clock::Timestamp;
use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::ids::EndpointName;
use crate::roles::entry::EntryProcess;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Seen;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::world::World;
use crate::roles::tests::world::ask_at;
use crate::roles::tests::world::post;
use crate::roles::tests::world::status;
use crate::test_support::wait_for;

/// The number of endpoints of a test; well above the crashes that are allowed.
const ENDPOINTS: usize = 12;

/// The crashes after which a request is stopped.
const CRASHES_UNTIL_BLOCKED: usize = 3;

/// The crashes after which a request is stopped, and the repetitions that are tolerated after that.
const CRASHES_MAX: usize = CRASHES_UNTIL_BLOCKED + 3;

/// How the body of the request that crashes endpoints begins; longer than what identifies its class.
const CRASHING: [u8; 600] = [b'c'; 600];

/// How long an endpoint works on any other request.
const WORK: Duration = Duration::from_millis(150);

/// Returns the steps of a complete answer.
fn done(seen: &Seen) -> Vec<Step> {
    let attempt = seen.header("attempt").unwrap_or_default();
    vec![Step::Wait(WORK), Step::Send(answer(&attempt, "done"))]
}

/// Three entry instances and endpoints that a request with a body that begins with [`CRASHING`] crashes.
struct Fleet {
    world: World,
    _others: [EntryProcess; 2],
    callers: Vec<SocketAddr>,
    endpoints: Vec<Endpoint>,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_with(|_, seen| match seen.body.starts_with(&CRASHING) {
            true => vec![Step::Crash],
            false => done(seen),
        })
        .await
    }

    async fn start_with<F>(script: F) -> Self
    where
        F: Fn(usize, &Seen) -> Vec<Step> + Clone + Send + Sync + 'static,
    {
        let mut world = World::start().await;
        let others = [world.add_entry().await, world.add_entry().await];
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = Endpoint::start(script.clone()).await;
            world.announce(&format!("e{number}"), "plain", &endpoint).await;
            endpoints.push(endpoint);
        }
        let knows = |entry: &EntryProcess| entry.forwarder.has_endpoints("plain");
        wait_for("the endpoints at the others", || others.iter().all(knows)).await;
        let mut callers = vec![world.callers];
        callers.extend(others.iter().filter_map(|entry| entry.roster.presence().caller_address));
        Self { world, _others: others, callers, endpoints }
    }

    fn crashed(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }

    /// Sends the request that crashes endpoints `times` times, to one instance after the other, each
    /// other time with a longer body; returns the last answer.
    async fn send_crashing(&self, times: usize) -> String {
        let mut last = String::new();
        for number in 0..times {
            let callers = self.callers[number % self.callers.len()];
            let body = "c".repeat(CRASHING.len() + number / 2);
            let request = post("/safe/x", &format!("crash-{number}"), "", &body);
            last = ask_at(callers, &request).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        last
    }
}

// Guards against a request that crashes one endpoint after the other, in one attempt or when it
// comes again at another instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_stopped_at_all_instances() {
    let fleet = Fleet::start().await;
    let last = fleet.send_crashing(ENDPOINTS).await;
    let crashed = fleet.crashed();
    assert!(crashed <= CRASHES_MAX, "{crashed} endpoints crashed, allowed {CRASHES_MAX}");
    assert_eq!(status(&last), "503");
    assert!(last.contains("\"not_run\":true"), "{last}");
    assert!(last.contains("retry-after: "), "{last}");
    // The same path with a body that begins differently is another request.
    let other = ask_at(fleet.callers[0], &post("/safe/x", "other", "", "other")).await;
    assert_eq!(status(&other), "200");
}

// Guards against refusing the requests that an endpoint happened to run when it crashed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_ran_beside_a_crashing_one_are_served() {
    let fleet = Fleet::start().await;
    let mut beside = JoinSet::new();
    for number in 0..24 {
        let callers = fleet.callers[number % fleet.callers.len()];
        beside.spawn(async move {
            let mut answers = Vec::new();
            for turn in 0..6 {
                let attempt = format!("beside-{number}-{turn}");
                let body = format!("beside {number} {turn}");
                answers.push(ask_at(callers, &post("/safe/x", &attempt, "", &body)).await);
            }
            answers
        });
    }
    fleet.send_crashing(ENDPOINTS).await;
    let crashed = fleet.crashed();
    for answers in beside.join_all().await {
        for answer in answers {
            assert_eq!(status(&answer), "200", "{crashed} endpoints crashed; {answer}");
        }
    }
}

// Guards against giving up a request that ran beside the same other one in three crashes although its
// deadline allows to try it once more.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_shares_the_blame_for_three_crashes_is_tried_once_more() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let fleet = Fleet::start_with(move |_, seen| {
        match arrivals.fetch_add(1, Ordering::Relaxed) < CRASHES_UNTIL_BLOCKED {
            true => vec![Step::Crash],
            false => done(seen),
        }
    })
    .await;
    // The other request is a suspect wherever the first one goes.
    let body = Bytes::from_static(&CRASHING);
    let other = RequestDigest::of(&Method::POST, "host", "/safe/x", &body);
    for number in 0..ENDPOINTS {
        let endpoint = EndpointName::try_from(format!("e{number}")).expect("a name");
        let crash = Crash::with_suspect(Incarnation { endpoint, started_ms: 1 }, other);
        fleet.world.entry.roster.with_crashes(|table| table.merge(crash, Timestamp::default()));
    }
    let answer = ask_at(fleet.callers[0], &post("/safe/x", "beside", "", "beside")).await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert_eq!(fleet.crashed(), CRASHES_UNTIL_BLOCKED);
}
