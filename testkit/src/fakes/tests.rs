use std::time::Duration;

use coriandergw::clock::Timestamp;
use coriandergw::dispatch::Message;
use serde_json::Value;
use serde_json::json;

use crate::fakes::announcer::Announcer;
use crate::fakes::batch::Batch;
use crate::fakes::batch::BatchLimits;
use crate::fakes::batch::Sequence;
use crate::fakes::engine::Engine;
use crate::fakes::engine::EngineFault;
use crate::fakes::engine::EngineOptions;
use crate::fakes::engine_core::CoreOptions;
use crate::fakes::engine_core::EngineCall;
use crate::fakes::engine_core::EngineCore;
use crate::fakes::prefix_cache::PrefixCache;
use crate::fakes::service::Behaviour;
use crate::fakes::service::Service;
use crate::fakes::service::ServiceOptions;
use crate::fakes::weight_store::WeightStore;
use crate::http;
use crate::http::Answer;
use crate::http::HttpError;

const NOW: Timestamp = Timestamp(0);

fn message(text: &str) -> Message {
    Message { role: "user".into(), content: text.into() }
}

fn sequence(id: u64, priority: u64, decode_left: u64) -> Sequence {
    Sequence { id, priority, prefill_left: 0, decode_left }
}

fn call(program: &str, text: &str) -> EngineCall {
    EngineCall {
        program: program.to_owned(),
        call: "c".to_owned(),
        model: "model-a".to_owned(),
        messages: vec![message(text)],
        max_tokens: 2,
        priority: 0,
        pin: Duration::ZERO,
    }
}

fn run_until_idle(core: &mut EngineCore) -> Timestamp {
    let mut now = Timestamp::from_millis(1);
    while let Some(next) = core.advance(now) {
        now = next;
    }
    now
}

async fn engine(core: CoreOptions) -> Engine {
    let options = EngineOptions { core, time_scale: 0.01, ..EngineOptions::default() };
    Engine::start(options).await.expect("a port is free")
}

async fn complete(engine: &Engine, body: Value) -> Result<Answer, HttpError> {
    http::post(&format!("http://{}/v1/chat/completions", engine.address()), &body).await
}

async fn order(engine: &Engine, body: Value) -> u16 {
    let url = format!("http://{}/orders", engine.address());
    http::post(&url, &body).await.expect("an answer").status
}

async fn run(service: &Service, id: &str) -> Result<Answer, HttpError> {
    let body = json!({"call_id": id, "program": "p-1", "target": "service-a", "input": 1});
    http::post(&format!("http://{}/call", service.address()), &body).await
}

/// Waits until `ready` holds; a test fails if it never does.
async fn wait_until<F>(ready: F)
where
    F: Fn() -> bool,
{
    let waiting = async {
        while !ready() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), waiting).await.expect("the condition holds");
}

#[test]
fn batch_admits_by_priority_up_to_its_width() {
    let mut batch = Batch::new(BatchLimits { max_batch: 2, ..BatchLimits::default() });
    for (id, priority) in [(1, 5), (2, 0), (3, 5)] {
        batch.push(sequence(id, priority, 1));
    }
    assert_eq!([batch.admit(), batch.admit(), batch.admit()], [Some(2), Some(1), None]);
    assert_eq!(batch.step().expect("work").finished, [2, 1]);
    assert_eq!(batch.admit(), Some(3));
}

#[test]
fn prefill_takes_time_by_its_length() {
    let limits = BatchLimits {
        prefill_chunk: 100,
        prefill_tokens_per_second: 1_000.0,
        decode_step: Duration::from_millis(10),
        ..BatchLimits::default()
    };
    let mut batch = Batch::new(limits);
    batch.push(sequence(1, 0, 1));
    batch.admit();
    batch.set_prefill(1, 150);
    let first = batch.step().expect("work");
    assert_eq!((first.duration, first.generated.len()), (Duration::from_millis(110), 0));
    let second = batch.step().expect("work");
    assert_eq!((second.duration, second.finished), (Duration::from_millis(60), vec![1]));
}

#[test]
fn cache_evicts_the_least_recently_used_and_keeps_pins() {
    let mut cache = PrefixCache::new(20);
    let prompt = [message("0123456789abcdef0123456789abcdef")];
    cache.store("a", &prompt, NOW);
    cache.store("b", &prompt, NOW);
    cache.pin("a", Timestamp(10));
    cache.store("c", &prompt, Timestamp(5));
    assert_eq!(cache.held().into_keys().collect::<Vec<_>>(), ["a", "c"]);
    cache.store("d", &prompt, Timestamp(10));
    assert_eq!(cache.held().into_keys().collect::<Vec<_>>(), ["c", "d"]);
    assert_eq!(cache.find("a", &prompt).recomputed_tokens, 8);
    assert_eq!(cache.find("c", &prompt).cached_tokens, 8);
}

#[test]
fn load_reports_lag() {
    let mut core = EngineCore::new(CoreOptions::default(), &["model-a".to_owned()]);
    let _rx = core.submit(call("p", "x"), Timestamp::from_millis(1));
    assert_eq!(core.load_report(Timestamp::from_millis(50)).waiting, 0);
    assert_eq!(core.load_report(Timestamp::from_millis(101)).waiting, 1);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let options = CoreOptions { event_loss: 0.5, seed: 7, ..CoreOptions::default() };
    let mut core = EngineCore::new(options, &["model-a".to_owned()]);
    let receivers: Vec<_> =
        (0..20).map(|n| core.submit(call(&format!("p{n}"), "x"), Timestamp(1))).collect();
    let end = run_until_idle(&mut core);
    assert!(core.cache_events(0, end).len() < 20, "the last events are not yet shown");
    let events = core.cache_events(0, end + Duration::from_millis(200));
    let jumps = events.windows(2).filter(|pair| pair[1].sequence > pair[0].sequence + 1);
    assert!(jumps.count() > 0 && events.len() < 40, "events are lost");
    drop(receivers);
}

#[tokio::test]
async fn engine_streams_and_finds_the_prefix() {
    let engine = engine(CoreOptions::default()).await;
    let first = json!([{"role": "user", "content": "a question of some length"}]);
    let body = json!({"model": "model-a", "user": "p-1", "messages": first, "max_tokens": 3});
    let answer = complete(&engine, body.clone()).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains("p-1/") && text.trim_end().ends_with("[DONE]"), "{text}");
    complete(&engine, body).await.expect("an answer");
    let records = engine.records();
    assert_eq!((records[0].usage.cached_tokens, records[1].usage.cached_tokens), (0, 7));
    assert_eq!(records[1].usage.completion_tokens, 3);
}

#[tokio::test]
async fn engine_cancels_on_disconnect() {
    let engine = engine(CoreOptions { answer_tokens: 1_000_000, ..CoreOptions::default() }).await;
    let messages = json!([{"role": "user", "content": "x"}]);
    let body = json!({"model": "model-a", "user": "p-1", "messages": messages});
    let hung_up = complete(&engine, body);
    tokio::select! {
        _ = hung_up => panic!("the answer is long"),
        () = wait_until(|| engine.records().iter().any(|r| r.usage.completion_tokens > 0)) => {}
    }
    wait_until(|| engine.records()[0].cancelled).await;
    assert!(!engine.records()[0].finished);
}

#[tokio::test]
async fn engine_checks_fencing_only_where_it_should() {
    for (checks_fencing, answered) in [(true, 409), (false, 200)] {
        let engine = engine(CoreOptions { checks_fencing, ..CoreOptions::default() }).await;
        let role = |fencing| json!({"fencing": fencing, "order": "set_role", "role": "prefill"});
        assert_eq!(order(&engine, role(7)).await, 200);
        assert_eq!(order(&engine, role(6)).await, answered);
    }
}

#[tokio::test]
async fn engine_holds_memory_until_it_is_released() {
    let engine = engine(CoreOptions::default()).await;
    let messages = json!([{"role": "user", "content": "x"}]);
    let body = json!({"model": "model-a", "user": "p-1", "messages": messages});
    complete(&engine, body).await.expect("an answer");
    let state = http::get(&format!("http://{}/state", engine.address())).await.expect("an answer");
    assert_eq!(state.json()["held"][0]["program"], "p-1");
    assert_eq!(
        order(&engine, json!({"fencing": 1, "order": "release", "program": "p-1"})).await,
        200
    );
    assert!(engine.held().is_empty());
}

#[tokio::test]
async fn engine_loads_from_a_store_that_refuses_at_first() {
    // The second order must arrive while the first transfer goes on.
    let store = WeightStore::start(1, Duration::from_millis(500)).await.expect("a port is free");
    let weight_store = Some(store.address());
    let options = EngineOptions { weight_store, ..EngineOptions::default() };
    let engine = Engine::start(options).await.expect("a port is free");
    for model in ["model-b", "model-c"] {
        let wanted = json!({"fencing": 1, "order": "load_model", "model": model, "version": "1"});
        assert_eq!(order(&engine, wanted).await, 200);
    }
    wait_until(|| engine.announcement().targets.len() == 3).await;
    assert!(store.fetches().iter().any(|fetch| !fetch.served), "the second one had to wait");
}

#[tokio::test]
async fn engine_cuts_streams_and_fails_on_request() {
    let engine = engine(CoreOptions::default()).await;
    let body = json!({"model": "model-a", "messages": [{"role": "user", "content": "x"}]});
    engine.set_fault(EngineFault { cut_after_tokens: Some(2), ..EngineFault::default() });
    complete(&engine, body.clone()).await.expect_err("the stream is cut");
    engine.set_fault(EngineFault { fail: true, ..EngineFault::default() });
    assert_eq!(complete(&engine, body).await.expect("an answer").status, 500);
}

#[tokio::test]
async fn service_records_what_ran_under_each_behaviour() {
    let service = Service::start(ServiceOptions::default()).await.expect("a port is free");
    for (behaviour, id, answered, runs) in [
        (Behaviour::Answer, "a", true, 1),
        (Behaviour::Late(Duration::from_millis(5)), "b", true, 1),
        (Behaviour::RunThenCut, "c", false, 1),
    ] {
        service.plan(behaviour);
        assert_eq!(run(&service, id).await.is_ok(), answered, "{behaviour:?}");
        assert_eq!(service.count("p-1", id), runs, "{behaviour:?}");
    }
    service.set_usual(Behaviour::Fail);
    assert_eq!(run(&service, "d").await.expect("an answer").status, 500);
    let url = |id| format!("http://{}/calls/p-1/{id}", service.address());
    assert_eq!(http::get(&url("c")).await.expect("an answer").json()["ran"], true);
    let not_run = http::get(&url("d")).await.expect("an answer");
    assert_eq!((not_run.status, not_run.json()["ran"].clone()), (404, json!(false)));
}

#[tokio::test]
async fn service_hangs_before_and_after_running() {
    let service = Service::start(ServiceOptions::default()).await.expect("a port is free");
    service.plan(Behaviour::RunThenHang);
    tokio::select! {
        _ = run(&service, "a") => panic!("the service hangs"),
        () = wait_until(|| service.count("p-1", "a") == 1) => {}
    }
    service.plan(Behaviour::Hang);
    let hung = tokio::time::timeout(Duration::from_millis(50), run(&service, "b")).await;
    assert!(hung.is_err() && service.count("p-1", "b") == 0);
}

#[tokio::test]
async fn announcer_moves_on_when_an_instance_does_not_answer() {
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let heard = Service::start(ServiceOptions::default()).await.expect("a port is free");
    let routes = axum::Router::new().route(
        "/v1/endpoints",
        axum::routing::post(|| async { axum::Json(json!({"renew_after_ms": 5})) }),
    );
    let instance = crate::fakes::server::Server::start(routes).await.expect("a port is free");
    let silent = silent.local_addr().expect("an address");
    let announcement = heard.announcement();
    let announcer =
        Announcer::start(move || announcement.clone(), vec![silent, instance.address()]);
    wait_until(|| announcer.accepted() > 2).await;
}
