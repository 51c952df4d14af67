use std::collections::BTreeSet;
use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use super::*;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::clock::Timestamp;
use crate::context::Context;
use crate::endpoints::Announcement;
use crate::endpoints::directory::Directory;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
use crate::log_groups::core::LEASE;
use crate::test_support;

fn version(number: &str) -> ModelVersion {
    ModelVersion { model: "m".try_into().unwrap(), version: number.to_owned() }
}

fn reported(versions: &[(&str, bool)]) -> EngineState {
    let model = |(number, loading): &(&str, bool)| LoadedModel {
        version: version(number),
        loading: *loading,
    };
    EngineState { models: versions.iter().map(model).collect(), ..EngineState::default() }
}

#[test]
fn the_old_version_is_kept_until_the_new_one_serves() {
    let desired = DesiredState { models: BTreeSet::from([version("2")]), role: Role::Both };
    let kinds = |versions: &[(&str, bool)]| -> Vec<&str> {
        plan(&desired, &reported(versions)).iter().map(Order::kind).collect()
    };
    assert_eq!(kinds(&[("1", false)]), ["load_model"]);
    assert_eq!(kinds(&[("1", false), ("2", true)]), [""; 0]);
    assert_eq!(kinds(&[("1", false), ("2", false)]), ["unload_model"]);
    assert_eq!(kinds(&[("2", false)]), [""; 0]);
}

fn term() -> LeaderTerm {
    LeaderTerm {
        fencing: FencingNumber(3),
        began: Timestamp::from_millis(10_000),
        old_lease_max: Duration::from_millis(2_000),
        lease_until: Timestamp::from_millis(20_000),
    }
}

#[test]
fn orders_to_engines_without_fencing_wait_for_the_former_leader() {
    let time = |checks, at| term().time_for_order(checks, Timestamp::from_millis(at));
    assert_eq!(time(false, 12_499), None);
    assert_eq!(time(false, 12_500), Some(Duration::from_millis(7_500)));
    assert_eq!(time(false, 19_999), Some(Duration::from_millis(1)));
    assert_eq!(time(false, 20_000), None);
    assert_eq!(time(true, 10_000), Some(Duration::from_secs(10)));
    assert_eq!(time(true, 20_000), None);
}

#[test]
fn no_order_of_a_former_leader_is_in_flight_when_the_next_one_gives_orders() {
    let former = term();
    // The next term begins when the lease of the previous leader ends.
    let next = LeaderTerm {
        fencing: FencingNumber(4),
        began: former.lease_until,
        old_lease_max: Duration::ZERO,
        lease_until: former.lease_until + LEASE,
    };
    let first = (0..).map(|ms| next.began + Duration::from_millis(ms));
    let first = first.take(5_000).find(|at| {
        let renewed = LeaderTerm { lease_until: *at + LEASE, ..next };
        renewed.time_for_order(false, *at).is_some()
    });
    let first = first.expect("the lease of the log leaves time for orders");
    for ms in 12_500..20_000 {
        let sent_at = Timestamp::from_millis(ms);
        let time = former.time_for_order(false, sent_at).expect("it leads");
        assert!(sent_at + time + leader_term::IN_FLIGHT_MAX <= first);
    }
}

#[tokio::test]
async fn a_suspended_leader_writes_no_order_when_it_resumes() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = engine("e", listener.local_addr().unwrap());
    let read = std::thread::spawn(move || {
        let mut buf = Vec::new();
        // The connection ends with a reset, which the reader sees as an error.
        let _ = listener.accept().unwrap().0.read_to_end(&mut buf);
        buf
    });
    let order = Order::SetRole { role: Role::Prefill };
    let deadline = tokio::time::Instant::now() + Duration::from_millis(20);
    let mut sending = Box::pin(OrderSender.send(&engine, FencingNumber(3), &order, deadline));
    tokio::select! {
        biased;
        sent = &mut sending => panic!("sending ended at the first poll: {sent:?}"),
        () = std::future::ready(()) => {}
    }
    // Simulates a process that is suspended while it connects.
    std::thread::sleep(Duration::from_millis(60));
    let sent = sending.await;
    assert!(matches!(sent, Err(SendOrderError::NoAnswer { .. })), "{sent:?}");
    assert_eq!(String::from_utf8_lossy(&read.join().unwrap()), "");
}

/// Allocates copies to each model in proportion to its mean load.
fn copies_by_mean(demands: &[ModelDemand], memory_budget: u64) -> Vec<u32> {
    let total: f64 = demands.iter().map(|demand| demand.mean_concurrency).sum();
    copies::allocate(demands, memory_budget, |demand| {
        let copies = memory_budget as f64 * demand.mean_concurrency / total;
        copies * f64::from(demand.capacity)
    })
}

/// Returns the share of calls that find no free copy, over 200 seeded demands of 8 models.
fn unserved_share(budget: u64, choose: fn(&[ModelDemand], u64) -> Vec<u32>) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let (mut unserved, mut calls) = (0.0, 0.0);
    for _ in 0..200 {
        let load = |rng: &mut ChaCha8Rng, rank: usize| {
            let burst = rng.random_range(1.0..6.0);
            (60.0 / (rank + 1) as f64, burst)
        };
        let loads: Vec<(f64, f64)> = (0..8).map(|rank| load(&mut rng, rank)).collect();
        let demand = |(rank, (mean, burst)): (usize, &(f64, f64))| ModelDemand {
            model: format!("m{rank}").try_into().unwrap(),
            mean_concurrency: *mean,
            peak_concurrency: mean * burst,
            capacity: 8,
            memory: 1,
        };
        let demands: Vec<ModelDemand> = loads.iter().enumerate().map(demand).collect();
        let copies = choose(&demands, budget);
        for (demand, copies) in demands.iter().zip(copies) {
            // The burst differs from the observed peak.
            let burst = demand.peak_concurrency * rng.random_range(0.7..1.3);
            calls += burst;
            unserved += (burst - f64::from(copies * demand.capacity)).max(0.0);
        }
    }
    unserved / calls
}

#[test]
fn copies_by_peak_leave_fewer_calls_without_a_copy_than_copies_by_mean() {
    for budget in [32, 64, 96] {
        let by_peak = unserved_share(budget, copies_by_peak);
        let by_mean = unserved_share(budget, copies_by_mean);
        println!("budget {budget}: by peak {by_peak:.3}, by mean {by_mean:.3}");
        assert!(by_peak < by_mean, "budget {budget}: {by_peak:.3} {by_mean:.3}");
    }
}

/// Always leads and desires version 2 of the model.
struct Leader(Arc<SystemClock>);

impl LeaderTermSource for Leader {
    fn leader_term(&self) -> Option<LeaderTerm> {
        let lease_until = self.0.now() + Duration::from_secs(5);
        let began = Timestamp(0);
        Some(LeaderTerm { began, old_lease_max: Duration::ZERO, lease_until, ..term() })
    }
}

impl DesiredStateSource for Leader {
    fn desired_state(&self, _engine: &Announcement) -> Option<DesiredState> {
        Some(DesiredState { models: BTreeSet::from([version("2")]), role: Role::Both })
    }
}

fn engine(name: &str, address: std::net::SocketAddr) -> Announcement {
    let raw = json!({
        "name": name, "kind": "model", "address": address, "targets": ["m"],
        "data_centre": "dc-a",
    });
    serde_json::from_value(raw).unwrap()
}

fn context(clock: &Arc<SystemClock>) -> Context {
    let name = InstanceName::try_from("i1").unwrap();
    test_support::context(name, "dc-a", clock.clone())
}

/// Counts the open requests and their maximum.
#[derive(Default)]
struct OpenRequests {
    now: AtomicUsize,
    most: AtomicUsize,
}

/// One open request; dropping it counts as the end, also when the client disconnects.
struct RequestGuard(Arc<OpenRequests>);

impl RequestGuard {
    fn new(open: Arc<OpenRequests>) -> Self {
        let now = open.now.fetch_add(1, Ordering::SeqCst) + 1;
        open.most.fetch_max(now, Ordering::SeqCst);
        Self(open)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::SeqCst);
    }
}

#[tokio::test]
async fn engines_are_read_concurrently_up_to_the_limit() {
    let open = Arc::<OpenRequests>::default();
    let observed = open.clone();
    let state = get(move || {
        let guard = RequestGuard::new(open.clone());
        async move {
            // Answers only once the limit of concurrent requests is reached.
            while guard.0.most.load(Ordering::SeqCst) < driver::MAX_CONCURRENT_ENGINES {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            Json(json!({"models": [{"model": "m", "version": "2"}]}))
        }
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = Router::new().route("/state", state);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let clock = Arc::new(SystemClock::default());
    let directory = Arc::new(Directory::default());
    for number in 0..driver::MAX_CONCURRENT_ENGINES * 3 {
        directory.announce(engine(&format!("e{number}"), address), clock.now());
    }
    let leader = Arc::new(Leader(clock.clone()));
    let settings = OrderSettings::default();
    let driver = OrderDriver::start(context(&clock), directory, leader.clone(), leader, settings);
    let wait = async {
        while observed.most.load(Ordering::SeqCst) < driver::MAX_CONCURRENT_ENGINES {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait)
        .await
        .expect("engines are read concurrently");
    driver.abort();
    assert_eq!(observed.most.load(Ordering::SeqCst), driver::MAX_CONCURRENT_ENGINES);
}

#[tokio::test]
async fn orders_are_repeated_until_they_are_confirmed() {
    let seen = Arc::<Mutex<Vec<Value>>>::default();
    let record = seen.clone();
    let order = post(async move |Json(order): Json<Value>| {
        let mut seen = record.lock().unwrap();
        seen.push(order);
        if seen.len() == 1 { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK }
    });
    let state = get(async || Json(json!({"fencing": 3, "models": [], "role": "both"})));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = engine("e", listener.local_addr().unwrap());
    let routes = Router::new().route("/orders", order).route("/state", state);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let clock = Arc::new(SystemClock::default());
    let cx = context(&clock);
    let directory = Arc::new(Directory::default());
    let leader = Arc::new(Leader(clock.clone()));
    let (settings, desired) = (OrderSettings::default(), leader.clone());
    directory.announce(engine.clone(), clock.now());
    let driver = OrderDriver::start(cx, directory.clone(), leader, desired, settings);
    let wait = async {
        while seen.lock().unwrap().len() < 2 {
            directory.announce(engine.clone(), clock.now());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait).await.expect("the order is repeated");
    driver.abort();
    let load = json!({"fencing": 3, "order": "load_model", "model": "m", "version": "2"});
    assert_eq!(seen.lock().unwrap()[..2], [load.clone(), load]);
}
