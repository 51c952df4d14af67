//! Sends a request until an endpoint answers it.

use std::time::Duration;

use hyper::StatusCode;
use tokio::time::Instant;

use crate::forwarding::attempt::Attempt;
use crate::forwarding::attempt::Failure;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::choice;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::forwarding::forwarder::TRANSIENT_RETRY_AFTER;
use crate::forwarding::pool::NON_REPEATABLE_IDLE_LIMIT;
use crate::ids::EndpointName;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::roster::EndpointRecord;
use crate::routes::RetryPolicy;

/// How often one request is sent at most, refusals of full endpoints included.
const SENDS_MAX: u32 = 8;

/// How often all endpoints are tried before a request is refused.
const ROUNDS_MAX: u32 = 3;

/// The wait before all endpoints are tried again: about one short request.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// The first wait for an idempotent answer, as a multiple of the route's target.
const FIRST_WAIT_TARGETS: u32 = 2;

/// What was tried for one answer.
#[derive(Debug, Default)]
struct Tries {
    /// The endpoints that are left out in this round.
    excluded: Vec<EndpointName>,
    rounds_done: u32,
    /// Whether the next send must not use an idle connection.
    fresh_only: bool,
}

impl Tries {
    /// Starts another round over all endpoints, if there is time for it.
    fn may_start_again(&mut self, deadline: Instant) -> bool {
        self.rounds_done += 1;
        self.excluded.clear();
        self.rounds_done < ROUNDS_MAX && Instant::now() + ROUND_PAUSE < deadline
    }
}

impl Forwarder {
    /// Notes that an attempt may have run; fails if the request must not be sent again.
    pub(super) fn note_lost(
        &self,
        plan: &mut RequestPlan,
        endpoint: &EndpointName,
        reason: &str,
    ) -> Result<(), Refusal> {
        self.loads.note_failure(endpoint, self.cx.clock.now());
        plan.report.failed(&self.cx, endpoint, reason);
        plan.may_have_run = true;
        if !plan.ran_on.contains(endpoint) {
            plan.ran_on.push(endpoint.clone());
        }
        let message = format!("the answer of endpoint {endpoint} was lost: {reason}");
        if !plan.route.repetition.allows_retry() {
            return Err(Refusal::may_have_run(ResultCode::OutcomeUnknown, message));
        }
        if Instant::now() >= plan.deadline {
            return Err(Refusal::may_have_run(ResultCode::AnswerLate, message));
        }
        Ok(())
    }

    /// Sends the request until an endpoint answers it.
    ///
    /// # Errors
    /// Fails once it must not be sent again, no time is left or no endpoint takes it.
    pub(super) async fn answered(
        &self,
        plan: &mut RequestPlan,
        outgoing: &UpstreamRequest,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse, Refusal> {
        self.first_endpoint(plan).await;
        let mut tries = Tries::default();
        for sends in 0..SENDS_MAX {
            let Some(endpoint) = self.choose(plan, outgoing, &tries.excluded) else {
                if !tries.may_start_again(plan.deadline) {
                    break;
                }
                tokio::time::sleep(ROUND_PAUSE).await;
                continue;
            };
            let id = endpoint.id.clone();
            let attempt = self.attempt(plan, endpoint, last_event, sends, tries.fresh_only);
            plan.report.note_send();
            let result = attempt.send(outgoing).await;
            if let Some(answer) = self.note_result(plan, &mut tries, &id, result)? {
                return Ok(answer);
            }
            if Instant::now() >= plan.deadline {
                break;
            }
        }
        Err(self.no_endpoint(plan))
    }

    /// Evaluates the result of one attempt; returns the answer if it is to be passed on.
    fn note_result(
        &self,
        plan: &mut RequestPlan,
        tries: &mut Tries,
        id: &EndpointName,
        result: Result<UpstreamResponse, Failure>,
    ) -> Result<Option<UpstreamResponse>, Refusal> {
        let was_fresh = std::mem::take(&mut tries.fresh_only);
        match result {
            Ok(answer) if answer.head.not_run => {
                self.note_not_run(plan, &answer);
                tries.excluded.push(id.clone());
            }
            Ok(answer) if answer.status.is_success() && !answer.head.is_signed => {
                self.note_lost(plan, id, "the endpoint did not vouch for the answer")?;
            }
            Ok(answer) => {
                let used = if answer.is_reused() { "again" } else { "first" };
                self.cx.metrics.endpoint_connections.with_label_values(&[used]).inc();
                return Ok(Some(answer));
            }
            Err(Failure::NotSent { reason, was_idle }) => {
                plan.report.failed(&self.cx, id, &reason);
                if was_idle && !was_fresh {
                    // A closed idle connection says nothing about the endpoint.
                    tries.fresh_only = true;
                } else {
                    self.loads.note_failure(id, self.cx.clock.now());
                    // An endpoint that takes no connection has ended, and its run with it.
                    plan.ran_on.retain(|ran_on| ran_on != id);
                    tries.excluded.push(id.clone());
                }
            }
            Err(Failure::Lost { reason }) => {
                self.note_lost(plan, id, &reason)?;
                tries.fresh_only = true;
            }
        }
        Ok(None)
    }

    fn note_not_run(&self, plan: &mut RequestPlan, answer: &UpstreamResponse) {
        let now = self.cx.clock.now();
        let id = &answer.endpoint.id;
        match answer.status {
            StatusCode::MISDIRECTED_REQUEST => self.loads.note_failure(id, now),
            _ => self.loads.note_saturated(id, now),
        }
        if let Some(load) = answer.head.load {
            self.loads.note_report(id, load, now);
        }
        plan.report.failed(&self.cx, id, &format!("not run, status {}", answer.status.as_u16()));
    }

    fn no_endpoint(&self, plan: &RequestPlan) -> Refusal {
        let service = &plan.service;
        let code = match self.has_endpoints(service) {
            true => ResultCode::Overloaded,
            false => ResultCode::NoEndpoint,
        };
        if plan.may_have_run {
            let message = format!("no endpoint of {service} answered");
            return Refusal::may_have_run(ResultCode::AnswerLate, message);
        }
        let message = format!("no endpoint of {service} has room");
        Refusal::not_run(code, message).retry_after(TRANSIENT_RETRY_AFTER)
    }

    /// Returns an endpoint with what is known of its load.
    pub(super) fn candidate(&self, record: &EndpointRecord) -> EndpointCandidate {
        EndpointCandidate { record: record.clone(), load: self.loads.get(&record.id) }
    }

    fn choose(
        &self,
        plan: &RequestPlan,
        outgoing: &UpstreamRequest,
        excluded: &[EndpointName],
    ) -> Option<EndpointRecord> {
        let now = self.cx.clock.now();
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&plan.service)?;
        let is_full = plan.ran_on.len() >= plan.route.endpoints_max as usize;
        let may_take = |record: &&EndpointRecord| {
            !excluded.contains(&record.id) && (!is_full || plan.ran_on.contains(&record.id))
        };
        let has_connections =
            |candidate: &EndpointCandidate| candidate.load.in_flight < plan.connections;
        let mut candidates: Vec<EndpointCandidate> = known
            .iter()
            .filter(may_take)
            .map(|record| self.candidate(record))
            .filter(has_connections)
            .collect();
        if plan.is_engine {
            choice::order_engines(&mut candidates, &plan.key, plan.home.as_ref(), now);
        } else {
            let affinity = outgoing.head.affinity.as_deref().filter(|_| plan.route.sticky);
            choice::order_by_load(&mut candidates, affinity, rand::random(), now);
        }
        candidates.into_iter().next().map(|candidate| candidate.record)
    }

    fn attempt(
        &self,
        plan: &RequestPlan,
        endpoint: EndpointRecord,
        last_event: Option<u64>,
        sends: u32,
        fresh_only: bool,
    ) -> Attempt<'_> {
        let idle_limit = match plan.route.repetition {
            _ if fresh_only => Duration::ZERO,
            RetryPolicy::Once | RetryPolicy::Stream => NON_REPEATABLE_IDLE_LIMIT,
            _ => Duration::MAX,
        };
        let first_wait = plan.route.target * FIRST_WAIT_TARGETS;
        let head_deadline = match plan.route.repetition {
            RetryPolicy::Idempotent if sends == 0 => plan.deadline.min(Instant::now() + first_wait),
            _ => plan.deadline,
        };
        Attempt {
            pool: &self.pool,
            dialect: &*self.dialect,
            in_flight: self.loads.begin(&endpoint.id),
            endpoint,
            deadline: plan.deadline,
            head_deadline,
            idle_limit,
            last_event,
            urgency: plan.is_engine.then_some(plan.route.priority),
            now: self.cx.clock.now(),
        }
    }
}
