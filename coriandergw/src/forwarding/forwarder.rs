//! Handles a request from routing and token reservation to the response.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::account_limits::client::AccountPermit;
use crate::account_limits::client::AccountPermitClient;
use crate::accounts::Account;
use crate::context::Context;
use crate::crashes::reporter::CrashReporter;
use crate::dialer::Dialer;
use crate::endpoint_limits::StatedLimit;
use crate::endpoint_limits::client::PermitClient;
use crate::forwarding::AccountHeader;
use crate::forwarding::HeaderCodec;
use crate::forwarding::RequestHeaders;
use crate::forwarding::account_permit;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::body;
use crate::forwarding::body::BUFFERED_RESPONSE_MAX_BYTES;
use crate::forwarding::body::Collected;
use crate::forwarding::choice;
use crate::forwarding::connecting::Connector;
use crate::forwarding::drain;
use crate::forwarding::drain::Drain;
use crate::forwarding::kept::KeptTurn;
use crate::forwarding::leaving::LeavingEndpoints;
use crate::forwarding::loads::Loads;
use crate::forwarding::pool::Pool;
use crate::forwarding::pool::SharedPool;
use crate::forwarding::refusal;
use crate::forwarding::refusal::ResponseBody;
use crate::forwarding::relay;
use crate::forwarding::relay::StreamRelay;
use crate::forwarding::report::RequestReport;
use crate::forwarding::turn_guard::TurnGuard;
use crate::forwarding::versions;
use crate::forwarding::warm_up::WARM_UP;
use crate::forwarding::warm_up::WarmUp;
use crate::ids::EndpointName;
use crate::kept_turns::KeptTurns;
use crate::memory::shared::MemoryBudget;
use crate::relays::server::DirectLinks;
use crate::rendezvous::hash_of;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::roster::EndpointKey;
use crate::roster::EndpointRecord;
use crate::roster::poller::Roster;
use crate::routes::RetryPolicy;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::token_budgets::client::BudgetClient;

/// The retry delay sent to callers when a request is refused for a short-lived reason.
pub(super) const TRANSIENT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The maximum number of log lines on new foreign claims after one update from the roster.
const FOREIGN_CLAIMS_REPORTED_MAX: usize = 8;

/// Parses configurations in the format that operators send.
pub trait ConfigReader: Send + Sync {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    /// Describes the first problem found.
    fn read(&self, document: &[u8]) -> Result<RouteTable, String>;
}

/// The usable endpoints by service, each in the order of [`choice::order_by_preference`].
pub(super) type Endpoints = BTreeMap<Arc<str>, Vec<EndpointRecord>>;

/// What the deployment and the operating system provide to a forwarder.
pub struct ForwarderAdapters {
    /// Decodes and encodes headers of requests and responses.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Parses configurations.
    pub reader: Arc<dyn ConfigReader>,
    /// Opens connections to endpoints.
    pub dialer: Arc<dyn Dialer>,
}

/// What a forwarder asks core and journal instances through.
pub struct Clients {
    /// Reserves tokens of program budgets.
    pub budgets: BudgetClient,
    /// Acquires permits for requests to limited endpoints.
    pub permits: PermitClient,
    /// Acquires permits for requests of client accounts with a limit.
    pub account_permits: Arc<AccountPermitClient>,
    /// Reports crashes of endpoints.
    pub crashes: Arc<CrashReporter>,
    /// Reads and writes kept turns.
    pub kept_turns: Arc<dyn KeptTurns>,
}

/// Forwards callers' requests to endpoints; the roster provides the configuration and the
/// endpoints.
pub struct Forwarder {
    pub(super) cx: Context,
    pub(super) adapters: ForwarderAdapters,
    pub(super) pool: SharedPool,
    pub(super) connector: Arc<Connector>,
    pub(super) loads: Arc<Loads>,
    pub(super) roster: Arc<Roster>,
    pub(super) budgets: BudgetClient,
    table: ArcSwapOption<RouteTable>,
    pub(super) endpoints: ArcSwap<Endpoints>,
    leaving: LeavingEndpoints,
    /// The ignored records that claim the name or the address of an endpoint.
    foreign_claims: Mutex<BTreeSet<EndpointKey>>,
    pub(super) permits: PermitClient,
    pub(super) account_permits: Arc<AccountPermitClient>,
    pub(super) crashes: Arc<CrashReporter>,
    pub(super) kept_turns: Arc<dyn KeptTurns>,
    /// The number of entry instances (those that serve callers) that accept requests, including
    /// this one.
    pub(super) entry_instances: AtomicUsize,
    /// The number of updates from the roster so far; wakes requests that wait for one.
    refreshes: watch::Sender<u64>,
    warm_up: WarmUp,
    pub(super) drain: Drain,
}

/// What is decided for a request when it is routed, and the endpoints that it may have run on.
pub(super) struct RequestPlan {
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// The client account as endpoints are told of it.
    pub(super) account: AccountHeader,
    /// The priority of the client account, if it has one.
    pub(super) account_priority: Option<u8>,
    pub(super) is_engine: bool,
    pub(super) tokens_per_event: u64,
    pub(super) deadline: Instant,
    /// The key by which related requests are sent to the same endpoint: the program, else the
    /// affinity, else the attempt.
    pub(super) key: Arc<str>,
    /// The maximum number of connections from this instance to one endpoint of the service.
    pub(super) connection_limit: u32,
    /// The engine that the journal assigned the turn to.
    pub(super) placed_engine: Option<EndpointName>,
    /// The version of endpoints that the journal has for the stream of this request.
    pub(super) recorded_version: Option<Arc<str>>,
    /// The version whose endpoints alone may run the request, since the caller has events of it.
    pub(super) required_version: Option<Arc<str>>,
    /// Whether the request is certainly the first turn of its program.
    pub(super) is_first_turn: bool,
    /// Whether any endpoint may have run the request, other than in the current attempt.
    pub(super) may_have_run: bool,
    /// Whether an attempt is under way, or an endpoint's answer is being read.
    pub(super) is_sent: bool,
    /// The endpoints that may have run the request and are not known to have ended.
    pub(super) ran_on: Vec<EndpointName>,
    pub(super) report: RequestReport,
    /// What is kept of the turn, on a route that keeps turns.
    pub(super) kept: Option<KeptTurn>,
}

impl RequestPlan {
    /// Returns the priority of the request; 0 is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        self.account_priority.unwrap_or(self.route.priority)
    }

    /// Returns whether only endpoints that may have run the request may be sent it again.
    pub(super) fn has_reached_endpoint_limit(&self) -> bool {
        self.ran_on.len() >= self.route.endpoints_max as usize
    }

    /// Sets the client account in a configuration that lists accounts.
    fn set_account(&mut self, account: Option<&Account>) {
        self.account_priority = account.and_then(|account| account.priority);
        self.account = account
            .map_or(AccountHeader::Anonymous, |account| AccountHeader::Named(account.name.clone()));
        self.report.set_account(account.map(|account| account.name.clone()));
    }

    /// Moves the plan out for a stream relay, which outlives the function that handles the request.
    pub(super) fn take(&mut self) -> Self {
        Self {
            route: self.route.clone(),
            service: self.service.clone(),
            account: self.account.clone(),
            key: self.key.clone(),
            placed_engine: self.placed_engine.take(),
            recorded_version: self.recorded_version.take(),
            required_version: self.required_version.take(),
            ran_on: std::mem::take(&mut self.ran_on),
            report: self.report.clone(),
            kept: self.kept.take(),
            ..*self
        }
    }
}

impl Forwarder {
    /// Creates a forwarder without a configuration or endpoints; [`Self::follow_roster`] loads
    /// them.
    pub fn new(
        cx: Context,
        adapters: ForwarderAdapters,
        roster: Arc<Roster>,
        clients: Clients,
        warm_up: WarmUp,
    ) -> Arc<Self> {
        let Clients { budgets, permits, account_permits, crashes, kept_turns } = clients;
        let pool = SharedPool::new(Pool::default());
        let dialer = adapters.dialer.clone();
        let connector = Connector::new(cx.clone(), dialer, pool.clone(), roster.clone());
        Arc::new(Self {
            cx,
            adapters,
            pool,
            connector,
            loads: Arc::default(),
            roster,
            budgets,
            table: ArcSwapOption::empty(),
            endpoints: ArcSwap::default(),
            leaving: LeavingEndpoints::default(),
            foreign_claims: Mutex::default(),
            permits,
            account_permits,
            crashes,
            kept_turns,
            entry_instances: AtomicUsize::new(1),
            refreshes: watch::Sender::default(),
            warm_up,
            drain: Drain::default(),
        })
    }

    /// Returns whether a configuration has been applied.
    pub fn is_ready(&self) -> bool {
        self.table.load().is_some()
    }

    /// Returns the current configuration's limits on callers' requests; the defaults before the
    /// first configuration.
    pub fn caller_limits(&self) -> crate::routes::CallerLimits {
        self.table.load().as_ref().map(|table| table.limits()).unwrap_or_default()
    }

    /// Returns the budget for what callers make this instance hold.
    pub fn memory(&self) -> Arc<MemoryBudget> {
        self.cx.memory.clone()
    }

    /// Adds `Connection: close` to every response from now on, refuses requests that may take longer
    /// than until `ends_at`, and ends those that are still running then.
    pub fn drain(&self, ends_at: Instant) {
        self.drain.start(ends_at);
    }

    /// Applies every change of the roster until the process ends.
    pub async fn follow_roster(self: Arc<Self>) {
        let mut changes = self.roster.changes();
        loop {
            self.refresh();
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the direct connections to endpoints, which others may be relayed through.
    pub fn links(&self) -> Arc<dyn DirectLinks> {
        self.connector.clone()
    }

    /// Tries the direct paths to endpoints that are lost until the process ends.
    pub async fn regain_paths(self: Arc<Self>) {
        self.connector.clone().regain_paths().await;
    }

    /// Applies the roster's current configuration and endpoints.
    fn refresh(&self) {
        let (version, document) = self.roster.with_view(|view| {
            let (version, document) = view.config();
            (version, document.clone())
        });
        let known = self.table.load().as_ref().map_or(0, |table| table.version());
        if version > known {
            self.apply_config(version, &document);
        }
        let now = self.cx.clock.now();
        let entry_instances = self.roster.with_view(|view| view.entry_instances(now));
        // An instance that has lost contact with the control group keeps the last known value.
        if let Some(entry_instances) = entry_instances {
            self.entry_instances.store(entry_instances.max(1), Ordering::Relaxed);
            self.account_permits.note_entry_instances(entry_instances);
        }
        let table = self.table.load_full();
        let is_configured =
            |service: &str| table.as_ref().is_some_and(|table| table.service(service).is_some());
        let (mut endpoints, claims): (Endpoints, Vec<EndpointRecord>) =
            self.roster.with_view(|view| {
                (view.usable_endpoints(is_configured), view.foreign_claims(is_configured))
            });
        self.report_foreign_claims(&claims);
        let is_listed =
            |id: &EndpointName| self.roster.with_view(|view| view.endpoint(id).is_some());
        self.leaving.expire(is_listed, now);
        self.permits.retain(is_listed);
        let limits: Vec<StatedLimit> =
            self.roster.with_view(|view| view.limits().cloned().collect());
        self.permits.learn(&limits);
        let own = self.cx.instance.as_str();
        for records in endpoints.values_mut() {
            records.retain(|record| !self.leaving.is_leaving(record));
            choice::order_by_preference(records, own, self.cx.data_centre.as_str());
        }
        let is_known = |endpoint: &EndpointName| {
            endpoints.values().flatten().any(|record| record.id == *endpoint)
        };
        self.pool.sweep(is_known, now);
        self.loads.retain(is_known);
        self.connector.set_known(endpoints.values().flatten().cloned().collect());
        let before = self.endpoints.load();
        for unused in before.values().flatten().filter(|record| !is_known(&record.id)) {
            let state = self.roster.with_view(|view| {
                let mut known = view.endpoints_named(&unused.id);
                known.find(|known| known.service == unused.service).map(|known| known.state)
            });
            RequestReport::endpoint_unused(&self.cx, unused, state);
        }
        self.endpoints.store(Arc::new(endpoints));
        self.refreshes.send_modify(|count| *count += 1);
    }

    /// Records the claims that were not known before.
    fn report_foreign_claims(&self, claims: &[EndpointRecord]) {
        let latest: BTreeSet<EndpointKey> = claims.iter().map(EndpointRecord::key).collect();
        let mut known = self.foreign_claims.lock().expect("not poisoned");
        let new = claims.iter().filter(|record| !known.contains(&record.key()));
        new.take(FOREIGN_CLAIMS_REPORTED_MAX)
            .for_each(|record| RequestReport::foreign_claim(&self.cx, record, claims.len()));
        self.cx.metrics.states.with_label_values(&["foreign_claims"]).set(claims.len() as i64);
        *known = latest;
    }

    /// Sends no more requests to an endpoint that stated in an answer that it is leaving.
    pub(super) fn note_leaving(&self, endpoint: &EndpointRecord) {
        if self.leaving.note(endpoint, self.cx.clock.now()) {
            RequestReport::endpoint_leaving(&self.cx, endpoint);
            self.refresh();
        }
    }

    /// Waits until `is_known` holds after a roster update, for at most as long as a request with
    /// this remaining time may wait during warm-up.
    ///
    /// The calling function refuses the request if `is_known` still does not hold.
    pub(super) async fn wait_until_known<F>(&self, time_left: Duration, is_known: F)
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

    /// Waits for the first endpoint of the service if the instance has just started.
    pub(super) async fn wait_for_endpoint(&self, plan: &RequestPlan) {
        let time_left = plan.deadline.saturating_duration_since(Instant::now());
        self.wait_until_known(time_left, || self.has_endpoints(&plan.service)).await;
    }

    /// Returns whether the service has any usable endpoint.
    pub fn has_endpoints(&self, service: &str) -> bool {
        self.endpoints.load().get(service).is_some_and(|known| !known.is_empty())
    }

    fn apply_config(&self, version: u64, document: &[u8]) {
        match self.adapters.reader.read(document) {
            Ok(table) => {
                self.table.store(Some(Arc::new(table)));
                RequestReport::config_applied(&self.cx, version, None);
            }
            Err(cause) => RequestReport::config_applied(&self.cx, version, Some(&cause)),
        }
    }

    /// Handles one request; refusals become error responses.
    pub async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let started = Instant::now();
        let (mut res, is_body_unread) = match self.clone().forward(req, started).await {
            Ok(res) => (res, false),
            Err(refusal) => {
                (refusal::to_response(&refusal), body::leaves_body_unread(refusal.code))
            }
        };
        if self.drain.is_started() || is_body_unread {
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
            let head = self.adapters.header_codec.read_request(req.headers()).ok();
            let time_left = head.and_then(|head| head.deadline).unwrap_or(WARM_UP);
            self.wait_until_known(time_left, || self.is_ready()).await;
        }
        let table = self.table.load_full().ok_or_else(|| {
            RequestReport::no_configuration(&self.cx, &req);
            let message = "this instance has not received a configuration yet";
            Refusal::not_run(ResultCode::StaleConfiguration, message)
                .retry_after(TRANSIENT_RETRY_AFTER)
        })?;
        let host = host_of(&req);
        let route = table.find(&host, req.uri().path()).cloned().ok_or_else(|| {
            let version = table.version();
            RequestReport::no_route(&self.cx, version, &host, req.uri().path());
            Refusal::not_run(ResultCode::NoRoute, "no route matches this host and path")
        })?;
        let head =
            self.adapters.header_codec.read_request(req.headers()).map_err(|fault| {
                Refusal::not_run(ResultCode::MalformedRequest, fault.to_string())
            })?;
        let account = identify(&self.cx, &table, &route, &head)?;
        let limit = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let deadline = started + limit;
        let (mut plan, turn) = self.plan(&table, route, &head, deadline, started)?;
        if table.accounts().is_some() {
            plan.set_account(account.as_deref());
        }
        let ask = account_permit::ask(account.as_deref(), table.version(), &head);
        let mut open = OpenRequest { cx: self.cx.clone(), plan, permit: None, is_open: true };
        let handling = async {
            let body_max_bytes = table.limits().body_bytes;
            let buffering = body::buffer_request(&self.cx, req, head, body_max_bytes, deadline);
            let mut upstream_request = buffering.await?;
            upstream_request.account = account.map(|account| account.name.clone());
            if let Some(ask) = &ask {
                open.permit = Some(self.acquire_account_permit(ask, deadline).await?);
            }
            self.clone().run(&mut open.plan, upstream_request, turn).await
        };
        let result = tokio::select! {
            result = handling => Some(result),
            () = self.drain.ended() => None,
        };
        let result = result.unwrap_or_else(|| Err(stopped_refusal(&open.plan)));
        open.is_open = false;
        account_permit::settle(open.permit.take(), !is_not_run(&result));
        result.inspect_err(|refusal| open.plan.report.refused(&self.cx, refusal))
    }

    /// Chooses the service and prepares the plan before the request body is read.
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
            Refusal::not_run(
                ResultCode::NoEndpoint,
                "the route has no service with a positive weight",
            )
        })?;
        let service_config = table.service(&service);
        let engine = service_config.and_then(|service| service.engine);
        let connections_max = service_config.map_or(u32::MAX, |service| service.connections_max);
        let is_turn = head.has_budget() && head.tokens.is_some() && route.retry_policy.is_stream();
        let is_resumed = head.last_event.is_some()
            && head.resumes.is_some()
            && route.retry_policy == RetryPolicy::ResumableStream;
        let turn = (is_turn || is_resumed)
            .then(|| TurnGuard::new(self.budgets.clone(), versions::record_key(head)));
        let report = RequestReport::new(head, &route, &service, table.version(), started);
        let plan = RequestPlan {
            account: AccountHeader::default(),
            account_priority: None,
            is_engine: engine.is_some(),
            tokens_per_event: engine.map_or(1, |engine| u64::from(engine.tokens_per_event)),
            service,
            deadline,
            key,
            placed_engine: None,
            recorded_version: None,
            required_version: None,
            connection_limit: choice::connection_share(
                connections_max,
                self.entry_instances.load(Ordering::Relaxed),
            ),
            is_first_turn: false,
            may_have_run: false,
            is_sent: false,
            ran_on: Vec::new(),
            report,
            kept: None,
            route,
        };
        Ok((plan, turn))
    }

    async fn run(
        self: Arc<Self>,
        plan: &mut RequestPlan,
        mut upstream_request: UpstreamRequest,
        mut turn: Option<TurnGuard>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        // Comes before the admission, which depends on the whole prompt.
        self.prepend_chain(plan, &mut upstream_request).await?;
        self.admit(plan, &upstream_request).await?;
        if let Some(turn) = &mut turn {
            self.reserve(plan, &upstream_request.head, turn).await?;
        }
        if plan.route.retry_policy.is_stream() {
            self.require_version(plan, &upstream_request.head)?;
            let response = self.send_with_retries(plan, &upstream_request, None).await?;
            return Ok(StreamRelay::start(self, plan, upstream_request, response, turn));
        }
        self.run_buffered(plan, upstream_request).await
    }

    /// Runs a request with a response that is not a stream.
    ///
    /// The response is buffered, so that the request can be retried until the response is complete.
    /// A response that exceeds [`BUFFERED_RESPONSE_MAX_BYTES`], or for which there is no memory, is
    /// passed through instead.
    async fn run_buffered(
        self: Arc<Self>,
        plan: &mut RequestPlan,
        upstream_request: UpstreamRequest,
    ) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let mut response = self.send_with_retries(plan, &upstream_request, None).await?;
            let length = response.headers.get(header::CONTENT_LENGTH);
            let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
            if length.is_some_and(|length| length > BUFFERED_RESPONSE_MAX_BYTES) {
                return Ok(relay::pass_through(
                    self,
                    plan,
                    &upstream_request,
                    response,
                    Bytes::new(),
                ));
            }
            let is_repeatable = plan.route.retry_policy.allows_retry();
            let collecting =
                body::collect_response(&self.cx, &self.connector, &mut response, is_repeatable);
            let collected = tokio::time::timeout_at(plan.deadline, collecting).await;
            let reason = match collected {
                Ok(Ok(Collected::Beginning(beginning))) => {
                    return Ok(relay::pass_through(
                        self,
                        plan,
                        &upstream_request,
                        response,
                        beginning,
                    ));
                }
                Ok(Ok(Collected::Whole(body))) => {
                    plan.report.ended(&self.cx, &response, 0);
                    self.note_complete_answer(&upstream_request);
                    return Ok(self.buffered_response(response, body));
                }
                Ok(Err(reason)) => reason,
                Err(_) => "the response did not end before the deadline".to_owned(),
            };
            self.record_lost_response(plan, &upstream_request, &response.endpoint, &reason).await?;
        }
    }

    fn buffered_response(&self, response: UpstreamResponse, body: Bytes) -> Response<ResponseBody> {
        let mut res = Response::new(refusal::full_body(body));
        *res.status_mut() = response.status;
        *res.headers_mut() = response.headers.clone();
        res.headers_mut().remove(header::CONTENT_LENGTH);
        let now = self.cx.clock.now();
        self.note_ended(&response, now);
        response.finish(&self.pool, now);
        res
    }
}

/// Returns the answer to a request that was still running when the drain ended.
fn stopped_refusal(plan: &RequestPlan) -> Refusal {
    if plan.is_sent || plan.may_have_run {
        let code = match plan.route.retry_policy.allows_retry() {
            true => ResultCode::AnswerLate,
            false => ResultCode::OutcomeUnknown,
        };
        return Refusal::may_have_run(code, drain::STOPPED);
    }
    let message = "this instance stopped before the request was sent to an endpoint";
    Refusal::not_run(ResultCode::Draining, message).retry_after(TRANSIENT_RETRY_AFTER)
}

/// Returns whether the request was refused and certainly has not run.
fn is_not_run(result: &Result<Response<ResponseBody>, Refusal>) -> bool {
    result.as_ref().is_err_and(|refusal| refusal.not_run)
}

/// A request without an answer yet. Dropping it while it is open, which happens when its caller
/// leaves, records that.
struct OpenRequest {
    cx: Context,
    plan: RequestPlan,
    /// The permit of the client account, if that has a limit.
    permit: Option<AccountPermit>,
    is_open: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.is_open {
            let may_have_run = self.plan.is_sent || self.plan.may_have_run;
            account_permit::settle(self.permit.take(), may_have_run);
            self.plan.report.abandoned(&self.cx);
        }
    }
}

/// Returns the client account of a request; `None` if it needs and has none.
fn identify(
    cx: &Context,
    table: &RouteTable,
    route: &Route,
    head: &RequestHeaders,
) -> Result<Option<Arc<Account>>, Refusal> {
    let Some(accounts) = table.accounts() else {
        return Ok(None);
    };
    accounts.identify(&head.credential, route.allows_anonymous).map_err(|cause| {
        RequestReport::unknown_account(cx, table.version(), head, &cause);
        Refusal::not_run(ResultCode::Unauthorised, cause.to_string())
    })
}

fn host_of(req: &Request<Incoming>) -> String {
    let header = req.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    let host = req.uri().host().or(header).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_owned()
}
