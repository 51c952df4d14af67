use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::extract::State as Extract;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use super::*;
use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::clock::SystemClock;
use crate::endpoints::gossip::NoPeers;
use crate::test_support;

/// The behaviour of a test endpoint for one request; the last one of a script is repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Answer,
    Fail(u16),
    Hang,
    /// Closes the connection after the first line of the answer.
    Cut,
}

struct FakeEndpoint {
    script: Vec<Behaviour>,
    requests: AtomicUsize,
    seen: Mutex<Vec<Value>>,
}

async fn serve(Extract(fake): Extract<Arc<FakeEndpoint>>, uri: Uri, body: String) -> Response {
    fake.seen.lock().unwrap().push(serde_json::from_str(&body).unwrap_or(json!(uri.path())));
    if uri.path() == "/state" {
        return Json(json!({"fencing": 7})).into_response();
    }
    let number = fake.requests.fetch_add(1, Ordering::SeqCst);
    let cut = || Err(std::io::Error::other("cut"));
    match fake.script[number.min(fake.script.len() - 1)] {
        Behaviour::Answer if uri.path().starts_with("/calls/") => {
            Json(json!({"ran": true, "output": "kept"})).into_response()
        }
        Behaviour::Answer => {
            let text = json!({"choices": [{"delta": {"content": "hello"}}]});
            format!("data: {text}\n\ndata: [DONE]\n\n").into_response()
        }
        Behaviour::Fail(status) => StatusCode::from_u16(status).unwrap().into_response(),
        Behaviour::Hang => std::future::pending().await,
        Behaviour::Cut => {
            let chunks: [Result<&str, std::io::Error>; 2] = [Ok("data: {}\n"), cut()];
            axum::body::Body::from_stream(futures_util::stream::iter(chunks)).into_response()
        }
    }
}

#[derive(Default)]
struct Observer {
    refuses: bool,
    sent: Mutex<Vec<String>>,
}

#[async_trait]
impl DispatchObserver for Observer {
    async fn before_send(&self, endpoint: &EndpointName) -> Result<(), Refusal> {
        if self.refuses {
            return Err(Refusal::not_run(ResultCode::NoQuorum, "no quorum"));
        }
        self.sent.lock().unwrap().push(endpoint.to_string());
        Ok(())
    }
}

/// A dispatcher with test endpoints named e0, e1 and so on.
struct DispatcherFixture {
    dispatcher: Arc<ScheduledDispatcher>,
    fakes: Vec<Arc<FakeEndpoint>>,
    observer: Observer,
}

impl DispatcherFixture {
    async fn start(scripts: &[&[Behaviour]]) -> Self {
        let clock = Arc::new(SystemClock::default());
        let name = crate::ids::InstanceName::try_from("i1").unwrap();
        let cx = test_support::context(name, "dc-a", clock);
        let directory = Arc::new(Directory::default());
        let mut fakes = Vec::new();
        for (number, script) in scripts.iter().enumerate() {
            let fake = Arc::new(FakeEndpoint {
                script: script.to_vec(),
                requests: AtomicUsize::new(0),
                seen: Mutex::default(),
            });
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            announce(&cx, &directory, number, listener.local_addr().unwrap());
            let routes = Router::new().fallback(serve).with_state(fake.clone());
            tokio::spawn(async move { axum::serve(listener, routes).await });
            fakes.push(fake);
        }
        let settings = DispatchSettings { seed: 1, ..DispatchSettings::default() };
        let dispatcher = ScheduledDispatcher::start(cx, directory, Arc::new(NoPeers), settings);
        Self { dispatcher, fakes, observer: Observer::default() }
    }

    async fn run(&self, call: ReadyCall) -> DispatchOutcome {
        self.dispatcher.run(call, &self.observer, None).await
    }

    fn requests(&self) -> usize {
        self.fakes.iter().map(|fake| fake.requests.load(Ordering::SeqCst)).sum()
    }

    async fn wait_until<F>(&self, condition: F)
    where
        F: Fn(&Self) -> bool,
    {
        let wait = async {
            while !condition(self) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), wait).await.expect("the condition holds");
    }
}

fn announce(cx: &Context, directory: &Arc<Directory>, number: usize, address: SocketAddr) {
    let announcement: Announcement = serde_json::from_value(json!({
        "name": format!("e{number}"), "kind": "model", "address": address, "targets": ["m"],
        "data_centre": "dc-a", "capacity": 1, "outcome_lookup": true,
    }))
    .unwrap();
    let (cx, directory) = (cx.clone(), directory.clone());
    directory.announce(announcement.clone(), cx.clock.now());
    tokio::spawn(async move {
        loop {
            directory.announce(announcement.clone(), cx.clock.now());
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
}

fn call(id: &str, idempotent: bool) -> ReadyCall {
    let mut raw = RawEntry { name: "n".into(), owner: "o".into(), ..RawEntry::default() };
    raw.limits.queue_ms = 300;
    let program = ProgramId::try_from("p").unwrap();
    ReadyCall {
        root: program.clone(),
        program,
        entry: Arc::new(Entry::try_from(raw).unwrap()),
        call: id.try_into().unwrap(),
        kind: CallKind::Model,
        idempotent,
        target: "m".try_into().unwrap(),
        history: Vec::new(),
        history_tokens: 0,
        input: json!("hi"),
        max_tokens: 8,
        deadline: None,
        attained_tokens: 0,
        under_way: true,
    }
}

fn refusal_code(outcome: DispatchOutcome) -> ResultCode {
    match outcome {
        DispatchOutcome::NotRun(refusal) => {
            assert!(refusal.not_run);
            refusal.code
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[tokio::test]
async fn an_idempotent_call_is_repeated_at_another_endpoint() {
    for first in [Behaviour::Cut, Behaviour::Fail(500)] {
        let fixture = DispatcherFixture::start(&[&[first], &[first], &[Behaviour::Answer]]).await;
        let outcome = fixture.run(call("c", true)).await;
        assert!(matches!(outcome, DispatchOutcome::Done { .. }), "{outcome:?}");
        let sent = fixture.observer.sent.lock().unwrap().clone();
        assert_eq!(sent.last().map(String::as_str), Some("e2"));
        assert_eq!(sent.len(), fixture.requests());
    }
}

#[tokio::test]
async fn a_call_that_must_not_repeat_is_sent_once() {
    let fixture = DispatcherFixture::start(&[&[Behaviour::Cut], &[Behaviour::Cut]]).await;
    let outcome = fixture.run(call("c", false)).await;
    assert!(matches!(outcome, DispatchOutcome::Unknown(_)), "{outcome:?}");
    assert_eq!(fixture.requests(), 1);
}

#[tokio::test]
async fn a_call_that_was_not_sent_goes_elsewhere_even_if_it_must_not_repeat() {
    let fixture = DispatcherFixture::start(&[&[Behaviour::Answer]]).await;
    let inner = &fixture.dispatcher.inner;
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    announce(&inner.cx, &inner.directory, 1, unused);
    for number in 0..8 {
        let outcome = fixture.run(call(&format!("c{number}"), false)).await;
        assert!(matches!(outcome, DispatchOutcome::Done { .. }), "{outcome:?}");
    }
    assert_eq!(fixture.requests(), 8);
    assert!(fixture.observer.sent.lock().unwrap().iter().any(|endpoint| endpoint == "e1"));
}

#[tokio::test]
async fn nothing_is_sent_unless_the_intent_is_recorded() {
    let mut fixture = DispatcherFixture::start(&[&[Behaviour::Answer]]).await;
    fixture.observer.refuses = true;
    assert_eq!(refusal_code(fixture.run(call("c", false)).await), ResultCode::NoQuorum);
    assert_eq!(fixture.requests(), 0);
    let without_endpoint = ReadyCall { target: "other".try_into().unwrap(), ..call("c", true) };
    assert_eq!(refusal_code(fixture.run(without_endpoint).await), ResultCode::NoEndpoint);
}

#[tokio::test]
async fn a_call_without_a_slot_is_refused_and_a_dropped_call_releases_its_slot() {
    let fixture = DispatcherFixture::start(&[&[Behaviour::Hang, Behaviour::Answer]]).await;
    let dispatcher = fixture.dispatcher.clone();
    let hanging =
        tokio::spawn(
            async move { dispatcher.run(call("c1", true), &Observer::default(), None).await },
        );
    fixture.wait_until(|fixture| fixture.requests() == 1).await;
    assert_eq!(refusal_code(fixture.run(call("c2", true)).await), ResultCode::QueueTimeout);
    hanging.abort();
    let outcome = fixture.run(call("c3", true)).await;
    assert!(matches!(outcome, DispatchOutcome::Done { .. }), "{outcome:?}");
}

#[tokio::test]
async fn memory_is_released_until_it_is_confirmed() {
    let script = [Behaviour::Answer, Behaviour::Fail(500), Behaviour::Fail(409), Behaviour::Answer];
    let fixture = DispatcherFixture::start(&[&script]).await;
    fixture.run(call("c", true)).await;
    fixture.dispatcher.program_ended(&"p".try_into().unwrap());
    let confirmed = json!({"fencing": 7, "order": "release", "program": "p"});
    fixture.wait_until(|fixture| fixture.fakes[0].seen.lock().unwrap().contains(&confirmed)).await;
}

#[tokio::test]
async fn memory_is_released_where_another_instance_may_have_sent_a_call() {
    let fixture = DispatcherFixture::start(&[&[Behaviour::Answer], &[Behaviour::Answer]]).await;
    let program = "p".try_into().unwrap();
    fixture.dispatcher.sent_elsewhere(&program, &call("c", true).target);
    fixture.dispatcher.program_ended(&program);
    let release = json!({"fencing": 0, "order": "release", "program": "p"});
    fixture
        .wait_until(|fixture| {
            fixture.fakes.iter().all(|fake| fake.seen.lock().unwrap().contains(&release))
        })
        .await;
}

#[tokio::test]
async fn a_lost_outcome_is_asked_for() {
    let fixture = DispatcherFixture::start(&[&[Behaviour::Fail(500)], &[Behaviour::Answer]]).await;
    let look_up = async |endpoint: &str| {
        let endpoint = EndpointName::try_from(endpoint).unwrap();
        fixture.dispatcher.look_up(&endpoint, &call("c", false)).await
    };
    assert_eq!(look_up("e1").await, Some(OutcomeLookup::Ran { output: json!("kept") }));
    assert_eq!(look_up("e0").await, None);
    assert_eq!(look_up("unknown").await, None);
}
