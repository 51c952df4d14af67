//! Logging and metrics of requests.

use std::sync::Arc;

use hyper::Request;
use tokio::time::Instant;

use crate::accounts::CredentialError;
use crate::context::Context;
use crate::crashes::RequestDigest;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::forwarding::RequestHeaders;
use crate::forwarding::attempt::UpstreamResponse;
use crate::ids::EndpointName;
use crate::result_code::Refusal;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::routes::RetryPolicy;
use crate::routes::Route;

/// Collects what the log line and the metrics of one request report.
#[derive(Debug, Clone)]
pub(super) struct RequestReport {
    attempt: Arc<str>,
    program: Option<Arc<str>>,
    account: Option<Arc<str>>,
    route: Arc<str>,
    service: Arc<str>,
    config_version: u64,
    /// The kind of route, as the metrics label it.
    kind: &'static str,
    started: Instant,
    reserved: Option<Instant>,
    /// The engine that the journal assigned the turn to.
    placed: Option<EndpointName>,
    first_event: Option<Instant>,
    /// The version of the endpoint that made the first event.
    version: Option<Arc<str>>,
    last_event: Option<u64>,
    resumes: Option<Arc<str>>,
    sends: u32,
    last_send: Option<Instant>,
}

impl RequestReport {
    pub(super) fn new(
        head: &RequestHeaders,
        route: &Route,
        service: &Arc<str>,
        config_version: u64,
        started: Instant,
    ) -> Self {
        Self {
            attempt: head.attempt.clone(),
            program: head.program.as_ref().map(|program| program.program.clone()),
            account: None,
            route: route.name.clone(),
            service: service.clone(),
            config_version,
            kind: match route.retry_policy {
                RetryPolicy::Idempotent => "idempotent",
                RetryPolicy::Once => "once",
                RetryPolicy::ResumableStream => "resumable stream",
                RetryPolicy::Stream => "stream",
            },
            started,
            reserved: None,
            placed: None,
            first_event: None,
            version: None,
            last_event: head.last_event,
            resumes: head.resumes.clone(),
            sends: 0,
            last_send: None,
        }
    }

    pub(super) fn set_account(&mut self, account: Option<Arc<str>>) {
        self.account = account;
    }

    pub(super) fn note_reserved(&mut self) {
        self.reserved = Some(Instant::now());
    }

    pub(super) fn note_placed(&mut self, engine: Option<&EndpointName>) {
        self.placed = engine.cloned();
    }

    pub(super) fn note_first_event(&mut self, version: Option<&Arc<str>>) {
        self.first_event = Some(Instant::now());
        self.version = version.cloned();
    }

    pub(super) fn note_send(&mut self) {
        self.sends += 1;
        self.last_send = Some(Instant::now());
    }

    fn ms_since_start(&self, at: Option<Instant>) -> u128 {
        at.map_or(0, |at| (at - self.started).as_millis())
    }

    /// Adds the durations of the request and its steps to the histograms.
    fn observe_durations(&self, cx: &Context, outcome: &str) {
        let total = self.started.elapsed().as_secs_f64();
        cx.metrics.request_seconds.with_label_values(&[self.kind, outcome]).observe(total);
        let observe = |at: Option<Instant>, step: &str| {
            if let Some(at) = at {
                let seconds = (at - self.started).as_secs_f64();
                cx.metrics.step_seconds.with_label_values(&[step]).observe(seconds);
            }
        };
        observe(self.reserved, "reserved");
        observe(self.first_event, "first event");
    }

    fn record(&self, cx: &Context, number: EventNumber, peer: Option<String>, outcome: &str) {
        let detail = format!(
            "request={} program={} account={} route={} service={} config={} placed={} sends={} reserved_ms={} \
             first_event_ms={} total_ms={} version={} last_event={} resumes={} {outcome}",
            self.attempt,
            self.program.as_deref().unwrap_or("-"),
            self.account.as_deref().unwrap_or("-"),
            self.route,
            self.service,
            self.config_version,
            self.placed.as_ref().map_or("-", EndpointName::as_str),
            self.sends,
            self.ms_since_start(self.reserved),
            self.ms_since_start(self.first_event),
            self.started.elapsed().as_millis(),
            self.version.as_deref().unwrap_or("-"),
            self.last_event.map_or("-".to_owned(), |id| id.to_string()),
            self.resumes.as_deref().unwrap_or("-"),
        );
        cx.events.record(number, Subject { peer, ..Subject::default() }, detail);
    }

    /// Records the endpoint's response: once its body was received, or before that if the body is
    /// passed through without inspection.
    pub(super) fn ended(&self, cx: &Context, response: &UpstreamResponse, events: u64) {
        let (status, connection) = (response.status.as_u16(), response.connection_use());
        let outcome = format!("status={status} events={events} connection={connection}");
        let peer = Some(response.endpoint.id.to_string());
        let status = response.status.as_str();
        self.observe_durations(cx, status);
        self.record(cx, EventNumber::RequestEnded, peer, &outcome);
    }

    /// Records that this instance refused the request.
    pub(super) fn refused(&self, cx: &Context, refusal: &Refusal) {
        let outcome = format!(
            "code={} not_run={} retry_after_ms={} {}",
            refusal.code,
            refusal.not_run,
            refusal.retry_after.map_or(0, |delay| delay.as_millis()),
            refusal.message
        );
        let code = refusal.code.to_string();
        cx.metrics.refusals.with_label_values(&[&code]).inc();
        self.observe_durations(cx, &code);
        self.record(cx, EventNumber::RequestRefused, None, &outcome);
    }

    /// Records that an attempt at `endpoint` failed.
    pub(super) fn attempt_failed(&self, cx: &Context, endpoint: &EndpointName, reason: &str) {
        cx.metrics.retries.with_label_values(&["forward"]).inc();
        let peer = Some(endpoint.to_string());
        let attempt_ms = self.last_send.map_or(0, |at| at.elapsed().as_millis());
        let outcome = format!("attempt_ms={attempt_ms} {reason}");
        self.record(cx, EventNumber::SendFailed, peer, &outcome);
    }

    /// Records that `endpoint` crashed while it had this request, which is now a suspect of `crashes`
    /// crashes.
    pub(super) fn endpoint_crashed(
        &self,
        cx: &Context,
        endpoint: &EndpointRecord,
        digest: RequestDigest,
        crashes: usize,
    ) {
        let peer = Some(endpoint.id.to_string());
        let started_ms = endpoint.started_ms;
        let detail = format!("digest={digest} crashes={crashes} started_ms={started_ms}");
        self.record(cx, EventNumber::EndpointCrashed, peer, &detail);
    }

    /// Records that the caller left before its answer began.
    pub(super) fn abandoned(&self, cx: &Context) {
        self.observe_durations(cx, "abandoned");
        let attempt_ms = self.last_send.map_or(0, |at| at.elapsed().as_millis());
        let outcome = format!("attempt_ms={attempt_ms} the caller left before its answer began");
        self.record(cx, EventNumber::RequestAbandoned, None, &outcome);
    }

    /// Records that the stream to the caller was aborted.
    pub(super) fn stream_aborted(&self, cx: &Context, events: u64, reason: &str) {
        self.observe_durations(cx, "broken off");
        self.record(cx, EventNumber::StreamBrokenOff, None, &format!("events={events} {reason}"));
    }

    /// Records a request that arrived before the first configuration.
    pub(super) fn no_configuration<B>(cx: &Context, req: &Request<B>) {
        cx.metrics.refusals.with_label_values(&["no configuration"]).inc();
        let detail = format!("config=0 path={}", req.uri().path());
        cx.events.record(EventNumber::RequestUnrouted, Subject::default(), detail);
    }

    /// Records a request that matches no route.
    pub(super) fn no_route(cx: &Context, config_version: u64, host: &str, path: &str) {
        cx.metrics.refusals.with_label_values(&["no route"]).inc();
        let detail = format!("config={config_version} host={host} path={path}");
        cx.events.record(EventNumber::RequestUnrouted, Subject::default(), detail);
    }

    /// Records a request without the key of an account.
    pub(super) fn unknown_account(
        cx: &Context,
        config_version: u64,
        head: &RequestHeaders,
        cause: &CredentialError,
    ) {
        cx.metrics.refusals.with_label_values(&["unknown account"]).inc();
        let detail = format!("config={config_version} request={} {cause}", head.attempt);
        cx.events.record(EventNumber::RequestUnrouted, Subject::default(), detail);
    }

    /// Records that an endpoint stated in an answer that it is leaving.
    pub(super) fn endpoint_leaving(cx: &Context, endpoint: &EndpointRecord) {
        let subject = Subject { peer: Some(endpoint.id.to_string()), ..Subject::default() };
        let detail = format!("stated in an answer, started_ms={}", endpoint.started_ms);
        cx.events.record(EventNumber::EndpointLeaving, subject, detail);
    }

    /// Records that this instance sends no more requests to `endpoint`; `state` is its state in the
    /// roster, or `None` if it is not listed there.
    pub(super) fn endpoint_unused(
        cx: &Context,
        endpoint: &EndpointRecord,
        state: Option<EndpointState>,
    ) {
        let subject = Subject { peer: Some(endpoint.id.to_string()), ..Subject::default() };
        let state = state.map_or("unlisted".to_owned(), |state| format!("{state:?}"));
        let detail = format!("state={state} started_ms={}", endpoint.started_ms);
        cx.events.record(EventNumber::EndpointUnused, subject, detail);
    }

    /// Records that `record` is ignored, which claims the name or the address of an endpoint; `claims`
    /// is the number of such records.
    pub(super) fn foreign_claim(cx: &Context, record: &EndpointRecord, claims: usize) {
        let subject = Subject { peer: Some(record.id.to_string()), ..Subject::default() };
        let detail = format!(
            "no configuration names service {}, address={} started_ms={} ignored={claims}",
            record.service, record.address, record.started_ms
        );
        cx.events.record(EventNumber::ForeignClaim, subject, detail);
    }

    /// Records that a configuration was applied, or that it was rejected because of `fault`.
    pub(super) fn config_applied(cx: &Context, version: u64, fault: Option<&str>) {
        if fault.is_none() {
            cx.metrics.states.with_label_values(&["config_version"]).set(version as i64);
        }
        let detail = format!("version={version} {}", fault.unwrap_or("in force"));
        let number = match fault {
            None => EventNumber::ConfigApplied,
            Some(_) => EventNumber::ConfigRefused,
        };
        cx.events.record(number, Subject::default(), detail);
    }
}
