//! Sends a request, with retries, until an endpoint responds.

use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::Instant;

use crate::endpoint_limits::StatedLimit;
use crate::endpoint_limits::limiter::Verdict;
use crate::forwarding::admission::Admission;
use crate::forwarding::attempt::Attempt;
use crate::forwarding::attempt::Failure;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::choice;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::connecting::NoConnection;
use crate::forwarding::evidence::Evidence;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::forwarding::forwarder::TRANSIENT_RETRY_AFTER;
use crate::forwarding::pool::NON_REPEATABLE_IDLE_LIMIT;
use crate::ids::EndpointName;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::roster::EndpointRecord;
use crate::routes::RetryPolicy;
use crate::supervision;

/// The maximum number of attempts until an endpoint responds. Attempts that full endpoints refuse
/// and pauses between rounds are counted too; the count starts again when a stream is resumed.
const ATTEMPTS_MAX: u32 = 8;

/// The maximum number of rounds over all endpoints before a request is refused.
const ROUNDS_MAX: u32 = 3;

/// The pause between two rounds: about the duration of a short request.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// The timeout of the first attempt at an idempotent request, as a multiple of the route's target.
const FIRST_ATTEMPT_TARGETS: u32 = 2;

/// The most of the body of a refusal that is read to keep its connection, in bytes: refusals state a
/// reason only.
const REFUSAL_BODY_MAX_BYTES: usize = 16 * 1024;

/// How long the rest of a refusal may take: several round trips between data centres.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// The progress of the retries of one request.
#[derive(Debug, Default)]
struct RetryState {
    /// The endpoints that are not tried again in this round.
    excluded: Vec<EndpointName>,
    /// The endpoints that answered with a promise without proof, see [`Evidence::UnprovenPromise`]. They
    /// are not tried again.
    unproven: Vec<EndpointName>,
    rounds_done: u32,
    /// How often endpoints refused the request.
    refused_sends: u32,
    /// How long the request has waited for room at engines.
    waited: Duration,
    /// Whether the next attempt must open a new connection.
    new_connection_only: bool,
    /// When the caller should come back, if limits of endpoints are the reason that none was chosen.
    limited_for: Option<Duration>,
    /// Whether this instance reaches no endpoint, directly or through another instance.
    has_no_path: bool,
}

/// The endpoint chosen for an attempt.
#[derive(Debug)]
enum Choice {
    /// The request may be sent to this endpoint.
    Endpoint(EndpointRecord),
    /// The endpoints that remain get as many requests as their limits allow; one has room after
    /// this time.
    Limited(Duration),
    /// No endpoint remains.
    Exhausted,
}

impl RetryState {
    /// Ends the current round; returns whether another one is allowed and fits before the deadline.
    fn start_next_round(&mut self, deadline: Instant) -> bool {
        self.rounds_done += 1;
        self.excluded.clear();
        // A limited endpoint that has no room after the pause is not worth waiting for.
        self.rounds_done < ROUNDS_MAX
            && Instant::now() + ROUND_PAUSE < deadline
            && self.limited_for.is_none_or(|time| time <= ROUND_PAUSE)
    }
}

impl Forwarder {
    /// Records that an endpoint may have run the request although its response was lost.
    ///
    /// # Errors
    /// Fails if the request must not be sent again.
    pub(super) async fn record_lost_response(
        &self,
        plan: &mut RequestPlan,
        upstream_request: &UpstreamRequest,
        record: &EndpointRecord,
        reason: &str,
    ) -> Result<(), Refusal> {
        let check = self.check_for_crash(plan, upstream_request, record);
        let endpoint = &record.id;
        let message = format!("the response of endpoint {endpoint} was lost: {reason}");
        self.note_may_have_run(plan, endpoint, reason, &message)?;
        // Whether and where the request may be sent again depends on the check.
        match check.await {
            Ok(true) => plan.ran_on.retain(|ran_on| ran_on != endpoint),
            Ok(false) => {}
            Err(cause) => {
                log::error!("the check of endpoint {endpoint} for a crash failed: {cause}");
            }
        }
        Ok(())
    }

    /// Records that an endpoint answered with a status that promises that the request has not run, and
    /// did not state that. The endpoint is not sent the request again, so that a request that always
    /// ends in this way runs at `endpoints_max` endpoints once.
    ///
    /// # Errors
    /// Fails if the request must not be sent again, or if each endpoint that may run it answered so.
    fn record_unproven_promise(
        &self,
        plan: &mut RequestPlan,
        retries: &mut RetryState,
        response: &UpstreamResponse,
    ) -> Result<(), Refusal> {
        let endpoint = &response.endpoint.id;
        let status = response.status.as_u16();
        let reason = format!(
            "connection={} status {status} without a statement that the request has not run",
            response.connection_use()
        );
        let message = format!(
            "endpoint {endpoint} answered with status {status} and did not state that the request \
             has not run"
        );
        self.note_may_have_run(plan, endpoint, &reason, &message)?;
        if let Some(load) = response.head.load {
            self.loads.note_report(endpoint, load, self.cx.clock.now());
        }
        retries.unproven.push(endpoint.clone());
        let is_unproven = |ran_on: &EndpointName| retries.unproven.contains(ran_on);
        match plan.has_reached_endpoint_limit() && plan.ran_on.iter().all(is_unproven) {
            true => Err(Refusal::may_have_run(ResultCode::EndpointFailed, message)),
            false => Ok(()),
        }
    }

    /// Records that an endpoint may have run the request and that its answer cannot be passed on.
    ///
    /// # Errors
    /// Fails with `message` if the request must not be sent again.
    fn note_may_have_run(
        &self,
        plan: &mut RequestPlan,
        endpoint: &EndpointName,
        reason: &str,
        message: &str,
    ) -> Result<(), Refusal> {
        self.loads.note_failure(endpoint, self.cx.clock.now());
        plan.report.attempt_failed(&self.cx, endpoint, reason);
        plan.may_have_run = true;
        if !plan.ran_on.contains(endpoint) {
            plan.ran_on.push(endpoint.clone());
        }
        if !plan.route.retry_policy.allows_retry() {
            return Err(Refusal::may_have_run(ResultCode::OutcomeUnknown, message));
        }
        if Instant::now() >= plan.deadline {
            return Err(Refusal::may_have_run(ResultCode::AnswerLate, message));
        }
        Ok(())
    }

    /// Sends the request until an endpoint responds.
    ///
    /// # Errors
    /// Fails if the request must not be sent again, the deadline has passed or no endpoint accepts
    /// it.
    pub(super) async fn send_with_retries(
        &self,
        plan: &mut RequestPlan,
        upstream_request: &UpstreamRequest,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse, Refusal> {
        self.wait_for_endpoint(plan).await;
        let mut retries = RetryState::default();
        for attempt_number in 0..ATTEMPTS_MAX {
            self.admit(plan, upstream_request).await?;
            let (refused_sends, waited) = (retries.refused_sends, retries.waited);
            let admission = self.admit_to_engines(plan, upstream_request, refused_sends, waited);
            let admitted = match admission {
                None => None,
                Some(Admission::Send(admitted)) => Some(admitted),
                Some(Admission::Wait(pause)) => {
                    retries.waited += pause;
                    // After the pause, an engine that refused the turn may have room.
                    retries.excluded.clear();
                    tokio::time::sleep(pause).await;
                    continue;
                }
                Some(Admission::Refuse { reason, retry_after }) => {
                    return Err(self.shed(plan, reason).retry_after(retry_after));
                }
            };
            let is_candidate = |id: &EndpointName| {
                !retries.excluded.contains(id)
                    && !retries.unproven.contains(id)
                    && admitted.as_ref().is_none_or(|admitted| admitted.contains(id))
            };
            let was_refused = !retries.excluded.is_empty();
            let choice = self.choose(plan, upstream_request, was_refused, is_candidate).await;
            retries.limited_for = match &choice {
                Choice::Limited(time) => Some(*time),
                _ => None,
            };
            let Choice::Endpoint(endpoint) = choice else {
                if !retries.start_next_round(plan.deadline) {
                    break;
                }
                tokio::time::sleep(ROUND_PAUSE).await;
                continue;
            };
            let attempt = self.attempt(
                plan,
                endpoint.clone(),
                last_event,
                attempt_number,
                retries.new_connection_only,
            );
            plan.report.note_send();
            plan.is_sent = true;
            let result = attempt.send(upstream_request).await;
            if let Some(response) =
                self.note_result(plan, &mut retries, upstream_request, &endpoint, result).await?
            {
                return Ok(response);
            }
            plan.is_sent = false;
            if Instant::now() >= plan.deadline {
                break;
            }
            if retries.has_no_path {
                // Just after a cut, relays that work may become known within a few milliseconds.
                if !retries.start_next_round(plan.deadline) {
                    break;
                }
                retries.has_no_path = false;
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
        Err(self.no_endpoint_refusal(plan, &retries))
    }

    /// Handles the result of one attempt; returns the response if it is to be passed on.
    async fn note_result(
        &self,
        plan: &mut RequestPlan,
        retries: &mut RetryState,
        upstream_request: &UpstreamRequest,
        endpoint: &EndpointRecord,
        result: Result<UpstreamResponse, Failure>,
    ) -> Result<Option<UpstreamResponse>, Refusal> {
        let id = &endpoint.id;
        if let Ok(response) = &result {
            if response.head.is_leaving {
                self.note_leaving(&response.endpoint);
            }
            // The endpoint that is meant has not answered if the request was misdirected.
            if response.status != StatusCode::MISDIRECTED_REQUEST {
                self.permits.note_answer(&response.endpoint, response.head.limit);
            }
        }
        let required_new_connection = std::mem::take(&mut retries.new_connection_only);
        let result = result.map(|response| {
            let has_budget = upstream_request.head.has_budget();
            (Evidence::of(response.status, &response.head, id, has_budget), response)
        });
        match result {
            Ok((Evidence::NotRun, response)) => {
                self.record_not_run(plan, &response);
                self.keep_connection(response);
                retries.refused_sends += 1;
                retries.excluded.push(id.clone());
            }
            Ok((Evidence::UnprovenPromise, response)) => {
                let recorded = self.record_unproven_promise(plan, retries, &response);
                self.keep_connection(response);
                recorded?;
            }
            Ok((Evidence::Unsigned, _)) => {
                let reason = "the endpoint did not sign the response";
                self.record_lost_response(plan, upstream_request, endpoint, reason).await?;
            }
            Ok((Evidence::Answered, response)) => {
                self.loads.note_accepted(id, response.head.load, self.cx.clock.now());
                let used = if response.is_reused() { "again" } else { "first" };
                self.cx.metrics.endpoint_connections.with_label_values(&[used]).inc();
                return Ok(Some(response));
            }
            Err(Failure::NotSent { reason, was_idle }) => {
                plan.report.attempt_failed(&self.cx, id, &reason);
                if was_idle && !required_new_connection {
                    // The endpoint may just have closed the idle connection, so this is not counted
                    // as a failure.
                    retries.new_connection_only = true;
                } else {
                    self.loads.note_failure(id, self.cx.clock.now());
                    retries.excluded.push(id.clone());
                }
            }
            Err(Failure::NoConnection { kind, reason }) => {
                plan.report.attempt_failed(&self.cx, id, &reason);
                if kind == NoConnection::EndpointEnded {
                    // Any run of the request has ended with the endpoint.
                    plan.ran_on.retain(|ran_on| ran_on != id);
                }
                retries.has_no_path = kind == NoConnection::NoPath;
                if !retries.has_no_path {
                    self.loads.note_failure(id, self.cx.clock.now());
                }
                retries.excluded.push(id.clone());
            }
            Err(Failure::Lost { reason }) => {
                self.record_lost_response(plan, upstream_request, endpoint, &reason).await?;
                retries.new_connection_only = true;
            }
        }
        Ok(None)
    }

    fn record_not_run(&self, plan: &mut RequestPlan, response: &UpstreamResponse) {
        let now = self.cx.clock.now();
        let id = &response.endpoint.id;
        match response.status {
            StatusCode::MISDIRECTED_REQUEST => {
                self.loads.note_failure(id, now);
                if let Some(load) = response.head.load {
                    self.loads.note_report(id, load, now);
                }
            }
            _ => self.loads.note_saturated(id, response.head.load, now),
        }
        plan.report.attempt_failed(
            &self.cx,
            id,
            &format!(
                "connection={} the endpoint refused the request with status {}",
                response.connection_use(),
                response.status.as_u16()
            ),
        );
    }

    /// Keeps the connection of a refusal for the next request. Without this, each refusal of a full
    /// engine costs a connection.
    fn keep_connection(&self, response: UpstreamResponse) {
        if !response.is_reusable_refusal() {
            return;
        }
        let (pool, cx) = (self.pool.clone(), self.cx.clone());
        let draining = async move {
            let drained = response.drained(REFUSAL_BODY_MAX_BYTES);
            // At the timeout, the connection is closed.
            if let Ok(Some(response)) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, drained).await {
                response.finish_refusal(&pool, cx.clock.now());
            }
        };
        tokio::spawn(supervision::isolated("read the rest of a refusal", draining));
    }

    /// Returns the refusal of a request that no endpoint took.
    fn no_endpoint_refusal(&self, plan: &RequestPlan, retries: &RetryState) -> Refusal {
        let service = &plan.service;
        if !plan.may_have_run
            && let Some(refusal) = self.version_gone(plan)
        {
            return refusal.retry_after(TRANSIENT_RETRY_AFTER);
        }
        if !retries.unproven.is_empty() {
            let message = format!(
                "no endpoint of service {service} gave an answer that can be passed on; {} answered with \
                 a status that promises that the request has not run and did not state so",
                retries.unproven.len()
            );
            return Refusal::may_have_run(ResultCode::EndpointFailed, message);
        }
        if plan.may_have_run {
            let message = format!("no endpoint of service {service} responded");
            return Refusal::may_have_run(ResultCode::AnswerLate, message);
        }
        if retries.has_no_path {
            let message = "this instance has lost its links to the endpoints and reaches none \
                           through another instance";
            let refusal = Refusal::not_run(ResultCode::NoPath, message);
            return refusal.retry_after(TRANSIENT_RETRY_AFTER);
        }
        if let Some(time) = retries.limited_for {
            let message = format!("the endpoints of service {service} have reached their limits");
            return Refusal::not_run(ResultCode::EndpointsLimited, message).retry_after(time);
        }
        let code = match self.has_endpoints(service) {
            true => ResultCode::Overloaded,
            false => ResultCode::NoEndpoint,
        };
        let message = format!("no endpoint of service {service} accepted the request");
        Refusal::not_run(code, message).retry_after(TRANSIENT_RETRY_AFTER)
    }

    /// Returns an endpoint together with its known load; `position` is its place in the order of
    /// preference.
    pub(super) fn candidate(&self, position: usize, record: &EndpointRecord) -> EndpointCandidate {
        EndpointCandidate {
            record: record.clone(),
            load: self.loads.get(&record.id),
            is_preferred: position < choice::PREFERRED_ENDPOINTS,
        }
    }

    /// Chooses the endpoint for an attempt: the best one that names no limit, or a better one that
    /// a permit was granted for.
    async fn choose<F>(
        &self,
        plan: &RequestPlan,
        upstream_request: &UpstreamRequest,
        was_refused: bool,
        is_candidate: F,
    ) -> Choice
    where
        F: Fn(&EndpointName) -> bool,
    {
        let ordered = self.order_candidates(plan, upstream_request, is_candidate);
        let limits: Vec<Option<StatedLimit>> =
            ordered.iter().map(|record| self.permits.limit_of(record)).collect();
        let unlimited = limits.iter().position(Option::is_none);
        let asked = choice::limited_to_ask(plan.is_engine, was_refused, unlimited, limits.len());
        let asked: Vec<StatedLimit> = limits.into_iter().take(asked).flatten().collect();
        let verdict = match asked.is_empty() {
            true => None,
            false => {
                let entry_instances = self.entry_instances.load(Ordering::Relaxed);
                let has_alternative = unlimited.is_some();
                let service = &plan.service;
                Some(self.permits.acquire(service, &asked, has_alternative, entry_instances).await)
            }
        };
        let chosen = match verdict {
            Some(Verdict::Granted(position)) => Some(position),
            _ => unlimited,
        };
        match (chosen.and_then(|position| ordered.get(position)), verdict) {
            (Some(record), _) => Choice::Endpoint(record.clone()),
            (None, Some(Verdict::Denied(time))) => Choice::Limited(time),
            (None, _) => Choice::Exhausted,
        }
    }

    /// Returns the endpoints that the request may be sent to, best first.
    fn order_candidates<F>(
        &self,
        plan: &RequestPlan,
        upstream_request: &UpstreamRequest,
        is_candidate: F,
    ) -> Vec<EndpointRecord>
    where
        F: Fn(&EndpointName) -> bool,
    {
        let now = self.cx.clock.now();
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&plan.service).map(Vec::as_slice).unwrap_or_default();
        let is_endpoint_limit_reached = plan.has_reached_endpoint_limit();
        let is_allowed = |(_, record): &(usize, &EndpointRecord)| {
            is_candidate(&record.id)
                && plan.required_version.as_ref().is_none_or(|one| *one == record.version)
                && (!is_endpoint_limit_reached || plan.ran_on.contains(&record.id))
        };
        let has_free_connection =
            |candidate: &EndpointCandidate| candidate.load.in_flight < plan.connection_limit;
        let mut candidates: Vec<EndpointCandidate> = known
            .iter()
            .enumerate()
            .filter(is_allowed)
            .map(|(position, record)| self.candidate(position, record))
            .filter(has_free_connection)
            .collect();
        if plan.is_engine {
            choice::order_engines(&mut candidates, &plan.key, plan.placed_engine.as_ref(), now);
        } else {
            let affinity = upstream_request.head.affinity.as_deref().filter(|_| plan.route.sticky);
            choice::order_by_load(&mut candidates, affinity, rand::random(), now);
        }
        let mut ordered: Vec<EndpointRecord> =
            candidates.into_iter().map(|candidate| candidate.record).collect();
        self.isolate_suspect(upstream_request, &mut ordered);
        ordered
    }

    fn attempt(
        &self,
        plan: &RequestPlan,
        endpoint: EndpointRecord,
        last_event: Option<u64>,
        attempt_number: u32,
        new_connection_only: bool,
    ) -> Attempt<'_> {
        let idle_limit = match plan.route.retry_policy {
            _ if new_connection_only => Duration::ZERO,
            RetryPolicy::Once | RetryPolicy::Stream => NON_REPEATABLE_IDLE_LIMIT,
            _ => Duration::MAX,
        };
        let first_timeout = plan.route.target * FIRST_ATTEMPT_TARGETS;
        let head_deadline = match plan.route.retry_policy {
            RetryPolicy::Idempotent if attempt_number == 0 => {
                plan.deadline.min(Instant::now() + first_timeout)
            }
            _ => plan.deadline,
        };
        Attempt {
            pool: &self.pool,
            connector: &self.connector,
            header_codec: &*self.adapters.header_codec,
            in_flight: self.loads.begin(&endpoint.id),
            endpoint,
            deadline: plan.deadline,
            head_deadline,
            idle_limit,
            last_event,
            is_repeatable: plan.route.retry_policy.allows_retry(),
            urgency: plan.is_engine.then(|| plan.priority()),
            account: plan.account.clone(),
            now: self.cx.clock.now(),
        }
    }
}
