//! The way of one request: route, reservation, attempts, answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::context::Context;
use crate::forwarding::HeaderCodec;
use crate::forwarding::RequestHeaders;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::choice;
use crate::forwarding::headers;
use crate::forwarding::loads::Loads;
use crate::forwarding::pool::Pool;
use crate::forwarding::pool::SharedPool;
use crate::forwarding::refusal;
use crate::forwarding::refusal::ResponseBody;
use crate::forwarding::relay;
use crate::forwarding::relay::StreamRelay;
use crate::forwarding::report::RequestReport;
use crate::forwarding::turn_guard::TurnGuard;
use crate::forwarding::warm_up::WARM_UP;
use crate::forwarding::warm_up::WarmUp;
use crate::ids::EndpointName;
use crate::rendezvous::hash_of;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::roster::EndpointRecord;
use crate::roster::poller::Roster;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::token_budgets::TurnKey;
use crate::token_budgets::client::BudgetClient;

/// When a caller should come back after a refusal that passes quickly.
pub(super) const TRANSIENT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The largest answer that is collected before it is passed on, in bytes.
const COLLECT_MAX_BYTES: u64 = 1 << 20;

/// Reads the configuration as the operator sent it.
pub trait ConfigReader: Send + Sync {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    /// Fails with what is wrong with it.
    fn read(&self, document: &[u8]) -> Result<RouteTable, String>;
}

pub(super) type Endpoints = HashMap<Arc<str>, Vec<EndpointRecord>>;

/// Forwards requests.
pub struct Forwarder {
    pub(super) cx: Context,
    pub(super) dialect: Arc<dyn HeaderCodec>,
    pub(super) pool: SharedPool,
    pub(super) loads: Arc<Loads>,
    pub(super) roster: Arc<Roster>,
    reader: Arc<dyn ConfigReader>,
    budgets: BudgetClient,
    table: ArcSwapOption<RouteTable>,
    pub(super) endpoints: ArcSwap<Endpoints>,
    /// The entry instances that take work, this one among them.
    entries: AtomicUsize,
    /// Counts how often the routes and endpoints were taken from the roster.
    refreshes: watch::Sender<u64>,
    warm_up: WarmUp,
    drains: AtomicBool,
}

/// What is fixed for a request once its route is known, and where it may have run.
pub(super) struct RequestPlan {
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) is_engine: bool,
    pub(super) tokens_per_event: u64,
    pub(super) deadline: Instant,
    /// What groups requests that do well at one endpoint.
    pub(super) key: Arc<str>,
    /// The connections that this instance may have to one endpoint of the service.
    pub(super) connections: u32,
    /// The engine that the journal placed the turn on.
    pub(super) home: Option<EndpointName>,
    /// Whether any endpoint may have run it.
    pub(super) may_have_run: bool,
    /// The living endpoints on which it may have run.
    pub(super) ran_on: Vec<EndpointName>,
    pub(super) report: RequestReport,
}

impl RequestPlan {
    /// Moves what a relay goes on with out of a plan that is at its end.
    pub(super) fn take(&mut self) -> Self {
        Self {
            route: self.route.clone(),
            service: self.service.clone(),
            key: self.key.clone(),
            home: self.home.take(),
            ran_on: std::mem::take(&mut self.ran_on),
            report: self.report.clone(),
            ..*self
        }
    }
}

impl Forwarder {
    /// Creates a forwarder that knows nothing yet.
    pub fn new(
        cx: Context,
        dialect: Arc<dyn HeaderCodec>,
        reader: Arc<dyn ConfigReader>,
        roster: Arc<Roster>,
        budgets: BudgetClient,
        warm_up: WarmUp,
    ) -> Arc<Self> {
        Arc::new(Self {
            cx,
            dialect,
            pool: SharedPool::new(Pool::default()),
            loads: Arc::default(),
            roster,
            reader,
            budgets,
            table: ArcSwapOption::empty(),
            endpoints: ArcSwap::default(),
            entries: AtomicUsize::new(1),
            refreshes: watch::Sender::default(),
            warm_up,
            drains: AtomicBool::new(false),
        })
    }

    /// Returns whether requests can be routed.
    pub fn is_ready(&self) -> bool {
        self.table.load().is_some()
    }

    /// Returns what callers may send, by the configuration in force.
    pub fn caller_limits(&self) -> crate::routes::CallerLimits {
        self.table.load().as_ref().map(|table| table.limits()).unwrap_or_default()
    }

    /// Lets each answer end its connection from now on.
    pub fn drain(&self) {
        self.drains.store(true, Ordering::Relaxed);
    }

    /// Follows the roster until the process ends.
    pub async fn follow_roster(self: Arc<Self>) {
        let mut changes = self.roster.changes();
        loop {
            self.refresh();
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Applies the configuration and the endpoints that the roster knows.
    fn refresh(&self) {
        let (version, document) = self.roster.with_view(|view| {
            let (version, document) = view.config();
            (version, document.clone())
        });
        let known = self.table.load().as_ref().map_or(0, |table| table.version());
        if version > known {
            self.take_config(version, &document);
        }
        let now = self.cx.clock.now();
        let entries = self.roster.with_view(|view| view.caller_addresses(now));
        // An instance that is cut off goes by what it knew.
        if let Some(entries) = entries {
            self.entries.store(entries.len().max(1), Ordering::Relaxed);
        }
        let endpoints: Endpoints = self.roster.with_view(|view| {
            let usable = |service: Arc<str>| (service.clone(), view.usable_endpoints(&service));
            view.services().into_iter().map(usable).collect()
        });
        let is_known = |endpoint: &EndpointName| {
            endpoints.values().flatten().any(|record| record.id == *endpoint)
        };
        self.pool.sweep(is_known, now);
        self.loads.retain(is_known);
        self.endpoints.store(Arc::new(endpoints));
        self.refreshes.send_modify(|count| *count += 1);
    }

    /// Waits until `is_known` holds after a refresh, as long as a request with this time left may
    /// wait for it; what is not known then is refused by the caller.
    async fn await_news<F>(&self, time_left: Duration, is_known: F)
    where
        F: Fn() -> bool,
    {
        if is_known() {
            return;
        }
        if let Some(limit) = self.warm_up.limit(time_left, Instant::now()) {
            let mut refreshes = self.refreshes.subscribe();
            let known = refreshes.wait_for(|_| is_known());
            let _ = tokio::time::timeout_at(limit, known).await;
        }
    }

    /// Waits for the first endpoint of a service at an instance that has just started.
    pub(super) async fn first_endpoint(&self, plan: &RequestPlan) {
        let time_left = plan.deadline.saturating_duration_since(Instant::now());
        self.await_news(time_left, || self.has_endpoints(&plan.service)).await;
    }

    /// Returns whether any endpoint of a service may get work.
    pub(super) fn has_endpoints(&self, service: &str) -> bool {
        self.endpoints.load().get(service).is_some_and(|known| !known.is_empty())
    }

    fn take_config(&self, version: u64, document: &[u8]) {
        match self.reader.read(document) {
            Ok(table) => {
                self.table.store(Some(Arc::new(table)));
                RequestReport::config_applied(&self.cx, version, None);
            }
            Err(cause) => RequestReport::config_applied(&self.cx, version, Some(&cause)),
        }
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let started = Instant::now();
        let mut res = match self.clone().forward(req, started).await {
            Ok(res) => res,
            Err(refusal) => refusal::answer(&refusal),
        };
        if self.drains.load(Ordering::Relaxed) {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }

    async fn forward(
        self: Arc<Self>,
        req: Request<Incoming>,
        started: Instant,
    ) -> Result<Response<ResponseBody>, Refusal> {
        if !self.is_ready() {
            let head = self.dialect.read_request(req.headers()).ok();
            let time_left = head.and_then(|head| head.deadline).unwrap_or(WARM_UP);
            self.await_news(time_left, || self.is_ready()).await;
        }
        let table = self.table.load_full().ok_or_else(|| {
            RequestReport::no_configuration(&self.cx, &req);
            let message = "this instance has no configuration yet";
            Refusal::not_run(ResultCode::StaleConfiguration, message)
                .retry_after(TRANSIENT_RETRY_AFTER)
        })?;
        let host = host_of(&req);
        let route = table.find(&host, req.uri().path()).cloned().ok_or_else(|| {
            let version = table.version();
            RequestReport::no_route(&self.cx, version, &host, req.uri().path());
            Refusal::not_run(ResultCode::NoRoute, "no route takes this host and path")
        })?;
        let head = self
            .dialect
            .read_request(req.headers())
            .map_err(|fault| Refusal::not_run(ResultCode::MalformedRequest, fault.to_string()))?;
        let limit = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let deadline = started + limit;
        let (mut plan, turn) = self.plan(&table, route, &head, deadline, started)?;
        let outgoing = outgoing(req, head, table.limits().body_bytes, deadline).await;
        let result = match outgoing {
            Ok(outgoing) => self.clone().run(&mut plan, outgoing, turn).await,
            Err(refusal) => Err(refusal),
        };
        result.inspect_err(|refusal| plan.report.refused(&self.cx, refusal))
    }

    /// Fixes the service and what else is known before the body has arrived.
    fn plan(
        &self,
        table: &RouteTable,
        route: Arc<Route>,
        head: &RequestHeaders,
        deadline: Instant,
        started: Instant,
    ) -> Result<(RequestPlan, Option<TurnGuard>), Refusal> {
        let program = head.program.as_ref().map(|program| program.program.clone());
        let key = program.clone().or_else(|| head.affinity.clone());
        let key = key.unwrap_or_else(|| head.attempt.clone());
        let service = route.service_for(hash_of(&key, "")).cloned();
        let service = service.ok_or_else(|| {
            Refusal::not_run(ResultCode::NoEndpoint, "the route goes to no service")
        })?;
        let known_service = table.service(&service);
        let engine = known_service.and_then(|service| service.engine);
        let connections_max = known_service.map_or(u32::MAX, |service| service.connections_max);
        let turn = match (&program, head.tokens) {
            (Some(program), Some(_)) if route.repetition.is_stream() => {
                let key = TurnKey { program: program.clone(), turn: head.attempt.clone() };
                head.program
                    .as_ref()
                    .and_then(|program| program.budget)
                    .map(|_| TurnGuard::new(self.budgets.clone(), key))
            }
            _ => None,
        };
        let report = RequestReport::new(head, &route, &service, table.version(), started);
        let plan = RequestPlan {
            is_engine: engine.is_some(),
            tokens_per_event: engine.map_or(1, |engine| u64::from(engine.tokens_per_event)),
            service,
            deadline,
            key,
            home: None,
            connections: choice::connection_share(
                connections_max,
                self.entries.load(Ordering::Relaxed),
            ),
            may_have_run: false,
            ran_on: Vec::new(),
            report,
            route,
        };
        Ok((plan, turn))
    }

    async fn run(
        self: Arc<Self>,
        plan: &mut RequestPlan,
        outgoing: UpstreamRequest,
        mut turn: Option<TurnGuard>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        if let Some(turn) = &mut turn {
            self.reserve(plan, &outgoing.head, turn).await?;
        }
        if plan.route.repetition.is_stream() {
            let answer = self.answered(plan, &outgoing, None).await?;
            return Ok(StreamRelay::start(self, plan, outgoing, answer, turn));
        }
        self.run_plain(plan, outgoing).await
    }

    /// Runs a request whose answer is passed on as a whole.
    async fn run_plain(
        self: Arc<Self>,
        plan: &mut RequestPlan,
        outgoing: UpstreamRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let mut answer = self.answered(plan, &outgoing, None).await?;
            let length = answer.headers.get(header::CONTENT_LENGTH);
            let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
            if length.is_some_and(|length| length > COLLECT_MAX_BYTES) {
                return Ok(relay::pass_through(self, plan, answer));
            }
            let collecting = collect(&mut answer.body);
            let collected = tokio::time::timeout_at(plan.deadline, collecting).await;
            let reason = match collected {
                Ok(Ok(body)) => {
                    plan.report.ended(&self.cx, &answer, 0);
                    return Ok(self.whole_answer(answer, body));
                }
                Ok(Err(cause)) => cause.to_string(),
                Err(_) => "the answer did not end in time".to_owned(),
            };
            self.note_lost(plan, &answer.endpoint.id, &reason)?;
        }
    }

    fn whole_answer(&self, answer: UpstreamResponse, body: Bytes) -> Response<ResponseBody> {
        let mut res = Response::new(refusal::whole(body));
        *res.status_mut() = answer.status;
        *res.headers_mut() = answer.headers.clone();
        res.headers_mut().remove(header::CONTENT_LENGTH);
        self.loads.note_success(&answer.endpoint.id);
        answer.finish(&self.pool, self.cx.clock.now());
        res
    }
}

async fn collect(body: &mut Incoming) -> Result<Bytes, hyper::Error> {
    Ok(body.collect().await?.to_bytes())
}

fn host_of(req: &Request<Incoming>) -> String {
    let header = req.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    let host = req.uri().host().or(header).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_owned()
}

/// Collects the body and makes the request ready to be sent, several times if need be.
async fn outgoing(
    req: Request<Incoming>,
    head: RequestHeaders,
    body_max_bytes: usize,
    deadline: Instant,
) -> Result<UpstreamRequest, Refusal> {
    let (mut parts, body) = req.into_parts();
    let too_large = || {
        let message = format!("a body may have {body_max_bytes} bytes");
        Refusal::not_run(ResultCode::BodyTooLarge, message)
    };
    let collecting = Limited::new(body, body_max_bytes).collect();
    let collected = tokio::time::timeout_at(deadline, collecting).await.map_err(|_| {
        Refusal::not_run(ResultCode::BodyTimeout, "the body did not arrive in time")
    })?;
    let body = collected.map_err(|cause| match cause.is::<http_body_util::LengthLimitError>() {
        true => too_large(),
        false => Refusal::not_run(ResultCode::MalformedRequest, cause.to_string()),
    })?;
    headers::strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    let path = parts.uri.path_and_query().cloned();
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    Ok(UpstreamRequest {
        method: parts.method,
        uri,
        headers: parts.headers,
        body: body.to_bytes(),
        head,
    })
}
