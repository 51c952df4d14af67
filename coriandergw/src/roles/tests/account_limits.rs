//! Tests of the rate limits of client accounts with real processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::account_limits::LimitTolerance;
use crate::dialer::TcpDialer;
use crate::ids::EndpointName;
use crate::roles::core::CoreProcess;
use crate::roles::entry::EntryProcess;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::world::Machine;
use crate::roles::tests::world::Site;
use crate::roles::tests::world::World;
use crate::roles::tests::world::adapters;
use crate::roles::tests::world::ask_at;
use crate::roles::tests::world::get;
use crate::roles::tests::world::record;
use crate::roles::tests::world::status;
use crate::roster::Role;
use crate::test_support::WAIT_LIMIT;
use crate::test_support::wait_for;

/// The limit of the account, in requests a second.
const LIMIT: f64 = 20.0;

/// The most requests of the account in a window of 5 s, and the tokens of a full bucket.
const WINDOW_MAX: usize = 130;
const BUCKET: usize = 15;

async fn echo() -> Endpoint {
    Endpoint::start(|_, seen| {
        let attempt = seen.header("attempt").unwrap_or_default();
        vec![Step::Send(answer(&attempt, "served"))]
    })
    .await
}

/// Starts all roles with a configuration in which the account has [`LIMIT`].
async fn world() -> World {
    let world = World::start().await;
    world.core.versions.put(2, format!("2 {LIMIT}").into()).await.expect("committed");
    let is_known = || world.entry.roster.with_view(|view| view.config().0 == 2);
    wait_for("the configuration", is_known).await;
    world
}

/// Sends requests of the account at the same time, each a program of its own.
async fn ask_all(callers: SocketAddr, prefix: &str, count: usize) -> Vec<String> {
    let asking = (0..count).map(|number| async move {
        let more = format!("key: k-limited\r\nprogram: {prefix}{number}\r\n");
        ask_at(callers, &get("/safe/x", &format!("{prefix}{number}"), &more)).await
    });
    join_all(asking).await
}

fn count(answers: &[String], wanted: &str) -> usize {
    answers.iter().filter(|answer| status(answer) == wanted).count()
}

// Guards against instances that each grant an account its whole limit.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_together_keep_the_limit_of_an_account() {
    let mut world = world().await;
    let other = world.add_entry().await;
    let endpoint = echo().await;
    world.announce("a", "plain", &endpoint).await;
    wait_for("the endpoint", || other.forwarder.has_endpoints("plain")).await;
    let callers = other.roster.presence().caller_address.expect("an address");
    let (end, mut answers) = (Instant::now() + LimitTolerance::default().window, Vec::new());
    for round in 0.. {
        if Instant::now() >= end {
            break;
        }
        answers.extend(ask_all(world.callers, &format!("a{round}-"), 4).await);
        answers.extend(ask_all(callers, &format!("b{round}-"), 4).await);
    }
    let got = endpoint.seen().len();
    assert!(got <= WINDOW_MAX, "{got} requests in a window");
    assert!(got as f64 >= LIMIT * 4.0, "only {got} requests in a window");
    assert_eq!(count(&answers, "200"), got);
    let refused: Vec<&String> = answers.iter().filter(|answer| status(answer) == "429").collect();
    assert_eq!(refused.len() + got, answers.len());
    for refusal in refused {
        assert!(refusal.contains("\"not_run\":true"), "{refusal}");
        assert!(refusal.contains("CG-2007"), "{refusal}");
        assert!(refusal.contains("retry-after: "), "{refusal}");
        assert!(!refusal.contains("k-limited"), "{refusal}");
    }
    // An account without a limit is not held back, and no key reaches the metrics.
    let free = world.ask(&get("/safe/x", "free", "key: k-free\r\n")).await;
    assert_eq!(status(&free), "200", "{free}");
    let metrics = world.entry.cx.metrics.render();
    assert!(metrics.contains("account=\"limited\",outcome=\"granted\""), "{metrics}");
    assert!(!metrics.contains("k-limited"), "{metrics}");
}

// Guards against a permit that is kept by a request which no endpoint got: a caller that repeats
// such a request would be refused for its limit.
#[tokio::test(flavor = "multi_thread")]
async fn permits_of_requests_that_were_not_sent_are_returned() {
    let world = world().await;
    let is_filled = || {
        let entry = &world.entry;
        entry.cx.clock.now().since(crate::clock::Timestamp::default()) > Duration::from_secs(2)
    };
    wait_for("a full bucket", is_filled).await;
    // No endpoint is known, so every request is refused after its permit was granted.
    for round in 0..6 {
        let first = ask_all(world.callers, &format!("{round}-first-"), 1).await;
        assert_eq!(count(&first, "429"), 0, "{first:?}");
        let answers = ask_all(world.callers, &format!("{round}-"), BUCKET / 2).await;
        assert_eq!(count(&answers, "503"), answers.len(), "round {round}: {answers:?}");
    }
}

// Guards against requests that hang, or are sent without a limit, while no keeper can be reached.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_keeper_requests_of_limited_accounts_are_refused_as_not_run() {
    let world = world().await;
    let endpoint = echo().await;
    world.announce("a", "plain", &endpoint).await;
    world.core.stop().await;
    let answers = ask_all(world.callers, "t", 30).await;
    let served = count(&answers, "200");
    // The only entry instance may use its own share.
    assert!(served <= BUCKET, "{served} were served");
    assert_eq!(endpoint.seen().len(), served);
    assert_eq!(count(&answers, "503") + served, answers.len(), "{answers:?}");
    for refusal in answers.iter().filter(|answer| status(answer) == "503") {
        assert!(refusal.contains("CG-2015"), "{refusal}");
        assert!(refusal.contains("\"not_run\":true"), "{refusal}");
        assert!(refusal.contains("retry-after: "), "{refusal}");
    }
    let free = world.ask(&get("/safe/x", "free", "key: k-free\r\n")).await;
    assert_eq!(status(&free), "200", "{free}");
}

// Guards against requests of limited accounts that are refused for good when the core instance is
// lost that granted their permits.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_leader_grants_permits_when_the_limit_keeper_is_lost() {
    let mut site = Site::new(3, 1).await;
    let machines: Vec<Machine> = (0..4).map(|at| site.machine(at < 3)).collect();
    let mut cores = Vec::new();
    for machine in &machines[..3] {
        cores.push(CoreProcess::start(&machine.settings).await.expect("starts"));
    }
    let callers = machines[3].settings.caller_address.expect("an address");
    let entry =
        EntryProcess::start(&machines[3].settings, callers, adapters(Arc::new(TcpDialer))).await;
    let entry = entry.expect("starts");
    while cores[0].versions.put(2, format!("2 {LIMIT}").into()).await.is_err() {}
    let endpoint = echo().await;
    let id = EndpointName::try_from("a").expect("a name");
    cores[0].roster_server.announce(record(&id, "plain", endpoint.address));
    wait_for("the endpoint", || entry.forwarder.has_endpoints("plain")).await;
    // Counts what keepers granted; the own share is counted apart.
    let granted = || {
        let counters = &entry.cx.metrics.account_permits;
        counters.with_label_values(&["limited", "granted"]).get()
    };
    let mut asked = 0;
    for round in 0..2 {
        let before = granted();
        let started = Instant::now();
        while granted() == before {
            assert!(started.elapsed() < WAIT_LIMIT, "no permit in round {round}");
            ask_all(callers, &format!("t{asked}-"), 1).await;
            asked += 1;
        }
        let leader = entry.roster.with_view(|view| view.leader(Role::Core)).expect("a leader");
        if let Some(at) = cores.iter().position(|core| core.cx.instance == leader.name) {
            cores.remove(at).stop().await;
        }
    }
    let served = endpoint.seen().len() as f64;
    assert!(served <= granted() as f64 + BUCKET as f64, "{served} were served");
}
