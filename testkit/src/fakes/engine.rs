//! A fake model engine that speaks HTTP in scaled real time.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::response::Sse;
use axum::response::sse;
use axum::routing::get;
use axum::routing::post;
use coriandergw::clock::Timestamp;
use coriandergw::dispatch::CallKind;
use coriandergw::dispatch::Message;
use coriandergw::endpoints::Announcement;
use coriandergw::endpoints::LoadReport;
use futures_util::Stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::fakes::engine_core::CoreOptions;
use crate::fakes::engine_core::Emitted;
use crate::fakes::engine_core::EngineCall;
use crate::fakes::engine_core::EngineCore;
use crate::fakes::engine_core::EngineRecord;
use crate::fakes::engine_core::Order;
use crate::fakes::engine_core::Totals;
use crate::fakes::engine_core::Wanted;
use crate::fakes::server::Server;
use crate::http;

/// How a fake engine is set up.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The models served from the start, in version 1.
    pub models: Vec<String>,
    /// How the engine behaves in its own time.
    pub core: CoreOptions,
    /// The real seconds that one second of the engine's time takes.
    pub time_scale: f64,
    /// Where weights come from; without one they arrive at once.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine-1".to_owned(),
            data_centre: "dc-a".to_owned(),
            models: vec!["model-a".to_owned()],
            core: CoreOptions::default(),
            time_scale: 1.0,
            weight_store: None,
        }
    }
}

/// A fault that a test switches on and off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineFault {
    /// Every call is answered with 500.
    pub fail: bool,
    /// Calls are taken and never answered.
    pub hang: bool,
    /// Streams break after this many tokens.
    pub cut_after_tokens: Option<u64>,
    /// Orders are applied but their answers are lost.
    pub lose_order_answers: bool,
    /// Orders are answered with 503 and not applied.
    pub refuse_orders: bool,
}

struct Shared {
    options: EngineOptions,
    started: Instant,
    core: Mutex<EngineCore>,
    fault: Mutex<EngineFault>,
    refused_orders: AtomicU64,
    state_reads: AtomicU64,
    work: Notify,
}

impl Shared {
    fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().expect("not poisoned")
    }

    fn fault(&self) -> EngineFault {
        *self.fault.lock().expect("not poisoned")
    }

    fn now(&self) -> Timestamp {
        let seconds = self.started.elapsed().as_secs_f64() / self.options.time_scale;
        Timestamp((seconds * 1e6) as u64)
    }

    fn real(&self, at: Timestamp) -> Instant {
        self.started + Duration::from_micros(at.0).mul_f64(self.options.time_scale)
    }
}

/// A running fake engine; dropping it stops it at once.
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
    driver: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on a port of the system's choice.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(options: EngineOptions) -> std::io::Result<Self> {
        let core = EngineCore::new(options.core.clone(), &options.models);
        let shared = Arc::new(Shared {
            options,
            started: Instant::now(),
            core: Mutex::new(core),
            fault: Mutex::default(),
            refused_orders: AtomicU64::new(0),
            state_reads: AtomicU64::new(0),
            work: Notify::new(),
        });
        let routes = Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/orders", post(take_order))
            .route("/state", get(state))
            .route("/cache_events", get(cache_events))
            .with_state(shared.clone());
        let server = Server::start(routes).await?;
        let driver = tokio::spawn(drive(shared.clone()));
        Ok(Self { shared, server, driver })
    }

    /// Returns where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what the engine announces of itself.
    pub fn announcement(&self) -> Announcement {
        announcement(&self.shared, self.address())
    }

    /// Returns a function that gives the announcement as of now, for an announcer.
    pub fn announcements(&self) -> impl Fn() -> Announcement + Send + Sync + 'static {
        let shared = self.shared.clone();
        let address = self.address();
        move || announcement(&shared, address)
    }

    /// Switches faults.
    pub fn set_fault(&self, fault: EngineFault) {
        *self.shared.fault.lock().expect("not poisoned") = fault;
    }

    /// Returns what became of all calls.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.shared.core().records().to_vec()
    }

    /// Returns the orders that were applied.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.core().orders.clone()
    }

    /// Returns how many orders were refused by [`EngineFault::refuse_orders`].
    pub fn refused_orders(&self) -> u64 {
        self.shared.refused_orders.load(Ordering::SeqCst)
    }

    /// Returns how often the state was read.
    pub fn state_reads(&self) -> u64 {
        self.shared.state_reads.load(Ordering::SeqCst)
    }

    /// Returns the tokens held for each program.
    pub fn held(&self) -> std::collections::BTreeMap<String, u64> {
        self.shared.core().held()
    }

    /// Returns the sums over all calls.
    pub fn totals(&self) -> Totals {
        self.shared.core().totals()
    }

    /// Returns the load as the engine reports it now.
    pub fn load_report(&self) -> LoadReport {
        self.shared.core().load_report(self.shared.now())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn announcement(shared: &Shared, address: SocketAddr) -> Announcement {
    let core = shared.core();
    let served = core.models.values().filter(|model| !model.loading);
    let mut targets: Vec<_> =
        served.filter_map(|model| model.model.as_str().try_into().ok()).collect();
    targets.dedup();
    let options = &shared.options;
    Announcement {
        name: options.name.as_str().try_into().expect("a valid name"),
        kind: CallKind::Model,
        address,
        targets,
        data_centre: options.data_centre.as_str().try_into().expect("a valid name"),
        capacity: options.core.batch.max_batch as u32,
        leaving: false,
        load: core.load_report(shared.now()),
        checks_fencing: options.core.checks_fencing,
        outcome_lookup: false,
    }
}

async fn drive(shared: Arc<Shared>) {
    loop {
        let next = shared.core().advance(shared.now());
        match next {
            Some(at) => tokio::time::sleep_until(shared.real(at)).await,
            None => shared.work.notified().await,
        }
    }
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    user: String,
    #[serde(default)]
    priority: u64,
    #[serde(default)]
    pin_ms: u64,
}

async fn complete(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(req): Json<CompletionRequest>,
) -> Response {
    let fault = shared.fault();
    if fault.fail {
        return (StatusCode::INTERNAL_SERVER_ERROR, "the engine fails").into_response();
    }
    if fault.hang {
        std::future::pending::<()>().await;
    }
    if !shared.core().serves(&req.model) {
        return (StatusCode::NOT_FOUND, "the model is not loaded").into_response();
    }
    let call_id = headers.get("call-id").and_then(|value| value.to_str().ok()).unwrap_or("");
    let call = EngineCall {
        program: req.user,
        call: call_id.to_owned(),
        model: req.model,
        messages: req.messages,
        max_tokens: req.max_tokens.unwrap_or(u64::MAX),
        priority: req.priority,
        pin: Duration::from_millis(req.pin_ms),
    };
    let (id, emitted) = shared.core().submit(call, shared.now());
    shared.work.notify_one();
    let guard = CancelOnDrop { shared, id };
    Sse::new(stream(emitted, guard, fault.cut_after_tokens)).into_response()
}

/// Cancels the call when the response is dropped; a finished call is not affected.
struct CancelOnDrop {
    shared: Arc<Shared>,
    id: u64,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.shared.core().cancel(self.id, self.shared.now());
    }
}

type StreamItem = Result<sse::Event, std::io::Error>;

fn stream(
    emitted: mpsc::UnboundedReceiver<Emitted>,
    guard: CancelOnDrop,
    cut_after: Option<u64>,
) -> impl Stream<Item = StreamItem> {
    let start = (emitted, guard, 0_u64);
    let events =
        futures_util::stream::unfold(start, move |(mut emitted, guard, sent)| async move {
            if cut_after.is_some_and(|limit| sent >= limit) {
                let cause = std::io::Error::other("the stream is cut");
                return Some((vec![Err(cause)], (emitted, guard, sent)));
            }
            let items = match emitted.recv().await? {
                Emitted::Token(text) => {
                    vec![Ok(json!({"choices": [{"delta": {"content": text}}]}))]
                }
                Emitted::Finished(usage) => vec![
                    Ok(json!({"choices": [], "usage": {
                        "prompt_tokens": usage.prompt_tokens,
                        "completion_tokens": usage.completion_tokens,
                        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
                    }})),
                    Ok(Value::String("[DONE]".to_owned())),
                ],
            };
            Some((items, (emitted, guard, sent + 1)))
        });
    let flat = futures_util::StreamExt::flat_map(events, futures_util::stream::iter);
    futures_util::StreamExt::map(flat, |item| item.map(|value| sse_event(&value)))
}

fn sse_event(value: &Value) -> sse::Event {
    let data = value.as_str().map(str::to_owned).unwrap_or_else(|| value.to_string());
    sse::Event::default().data(data)
}

async fn take_order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Response {
    if shared.fault().refuse_orders {
        shared.refused_orders.fetch_add(1, Ordering::SeqCst);
        return (StatusCode::SERVICE_UNAVAILABLE, "orders are refused").into_response();
    }
    let accepted = shared.core().apply(order.clone(), shared.now());
    if !accepted {
        let fencing = shared.core().fencing;
        return (StatusCode::CONFLICT, Json(json!({"fencing": fencing}))).into_response();
    }
    if let Wanted::LoadModel { model, version } = order.wanted {
        tokio::spawn(load(shared.clone(), model, version));
    }
    if shared.fault().lose_order_answers {
        std::future::pending::<()>().await;
    }
    Json(json!({})).into_response()
}

/// Fetches weights until they have arrived; the store may refuse for a while.
async fn load(shared: Arc<Shared>, model: String, version: String) {
    if let Some(store) = shared.options.weight_store {
        let url = format!("http://{store}/weights/{model}/{version}");
        while !http::get(&url).await.is_ok_and(|res| res.status == 200) {
            tokio::time::sleep(WEIGHT_RETRY).await;
        }
    }
    shared.core().loaded(&model, &version);
}

/// The pause between two attempts to fetch weights.
const WEIGHT_RETRY: Duration = Duration::from_millis(50);

async fn state(State(shared): State<Arc<Shared>>) -> Json<Value> {
    shared.state_reads.fetch_add(1, Ordering::SeqCst);
    let core = shared.core();
    let held: Vec<Value> = core
        .held()
        .into_iter()
        .map(|(program, tokens)| json!({"program": program, "tokens": tokens}))
        .collect();
    let models: Vec<_> = core.models.values().collect();
    Json(json!({"fencing": core.fencing, "models": models, "role": core.role, "held": held}))
}

#[derive(Debug, Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

async fn cache_events(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<Since>,
) -> Result<Json<Value>, Infallible> {
    let events = shared.core().cache_events(query.since, shared.now());
    let next = events.last().map_or(query.since, |event| event.sequence);
    Ok(Json(json!({"next": next, "events": events})))
}
