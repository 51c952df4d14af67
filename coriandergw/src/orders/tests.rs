use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
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
use crate::endpoints::Announcement;
use crate::endpoints::directory::Directory;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
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
    let wanted = WantedState { models: BTreeSet::from([version("2")]), role: Role::Both };
    let kinds = |versions: &[(&str, bool)]| -> Vec<&str> {
        plan(&wanted, &reported(versions)).iter().map(Order::kind).collect()
    };
    assert_eq!(kinds(&[("1", false)]), ["load_model"]);
    assert_eq!(kinds(&[("1", false), ("2", true)]), [""; 0]);
    assert_eq!(kinds(&[("1", false), ("2", false)]), ["unload_model"]);
    assert_eq!(kinds(&[("2", false)]), [""; 0]);
}

fn tenure() -> Tenure {
    Tenure {
        fencing: FencingNumber(3),
        began: Timestamp::from_millis(10_000),
        old_lease_max: Duration::from_millis(2_000),
        lease_until: Timestamp::from_millis(20_000),
    }
}

#[test]
fn orders_to_engines_that_do_not_check_keep_clear_of_other_leaders() {
    let time = |checks, at| tenure().time_for_order(checks, Timestamp::from_millis(at));
    assert_eq!(time(false, 12_499), None);
    assert_eq!(time(false, 12_500), Some(Duration::from_millis(7_000)));
    assert_eq!(time(false, 19_500), None);
    assert_eq!(time(true, 10_000), Some(Duration::from_secs(10)));
    assert_eq!(time(true, 20_000), None);
}

#[test]
fn loads_are_paced() {
    let at = Timestamp::from_millis;
    let mut bucket = TokenBucket::new(2, 0.5, at(0));
    let taken: Vec<bool> = [0, 0, 0, 1_000, 2_000, 2_001].map(|ms| bucket.take(at(ms))).to_vec();
    assert_eq!(taken, [true, true, false, false, true, false]);
}

/// Gives each model copies in proportion to its mean load.
fn copies_by_mean(demands: &[Demand], memory_budget: u64) -> Vec<u32> {
    let total: f64 = demands.iter().map(|demand| demand.mean_concurrency).sum();
    copies::grow(demands, memory_budget, |demand| {
        let copies = memory_budget as f64 * demand.mean_concurrency / total;
        copies * f64::from(demand.capacity)
    })
}

/// Returns the mean share of calls that find no free copy, over seeded demands of 8 models.
fn crowded_share(budget: u64, choose: fn(&[Demand], u64) -> Vec<u32>) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let (mut crowded, mut calls) = (0.0, 0.0);
    for _ in 0..200 {
        let load = |rng: &mut ChaCha8Rng, rank: usize| {
            let burst = rng.random_range(1.0..6.0);
            (60.0 / (rank + 1) as f64, burst)
        };
        let loads: Vec<(f64, f64)> = (0..8).map(|rank| load(&mut rng, rank)).collect();
        let demand = |(rank, (mean, burst)): (usize, &(f64, f64))| Demand {
            model: format!("m{rank}").try_into().unwrap(),
            mean_concurrency: *mean,
            peak_concurrency: mean * burst,
            capacity: 8,
            memory: 1,
        };
        let demands: Vec<Demand> = loads.iter().enumerate().map(demand).collect();
        let copies = choose(&demands, budget);
        for (demand, copies) in demands.iter().zip(copies) {
            // A burst differs from the one that was observed before.
            let burst = demand.peak_concurrency * rng.random_range(0.7..1.3);
            calls += burst;
            crowded += (burst - f64::from(copies * demand.capacity)).max(0.0);
        }
    }
    crowded / calls
}

#[test]
fn copies_by_peak_leave_fewer_calls_without_a_copy_than_copies_by_mean() {
    for budget in [32, 64, 96] {
        let by_peak = crowded_share(budget, copies_by_peak);
        let by_mean = crowded_share(budget, copies_by_mean);
        println!("budget {budget}: by peak {by_peak:.3}, by mean {by_mean:.3}");
        assert!(by_peak < by_mean, "budget {budget}: {by_peak:.3} {by_mean:.3}");
    }
}

/// Leads for ever and wants version 2 of the model.
struct Leader(Arc<SystemClock>);

impl TenureSource for Leader {
    fn tenure(&self) -> Option<Tenure> {
        let lease_until = self.0.now() + Duration::from_secs(5);
        let began = Timestamp(0);
        Some(Tenure { began, old_lease_max: Duration::ZERO, lease_until, ..tenure() })
    }
}

impl Wishes for Leader {
    fn wanted(&self, _engine: &Announcement) -> Option<WantedState> {
        Some(WantedState { models: BTreeSet::from([version("2")]), role: Role::Both })
    }
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
    let engine: Announcement = serde_json::from_value(json!({
        "name": "e", "kind": "model", "address": listener.local_addr().unwrap(),
        "targets": ["m"], "data_centre": "dc-a",
    }))
    .unwrap();
    let routes = Router::new().route("/orders", order).route("/state", state);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let clock = Arc::new(SystemClock::default());
    let name = InstanceName::try_from("i1").unwrap();
    let cx = test_support::context(name, "dc-a", clock.clone());
    let directory = Arc::new(Directory::default());
    let leader = Arc::new(Leader(clock.clone()));
    let (settings, wishes) = (OrderSettings::default(), leader.clone());
    directory.announce(engine.clone(), clock.now());
    let driver = OrderDriver::start(cx, directory.clone(), leader, wishes, settings);
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
