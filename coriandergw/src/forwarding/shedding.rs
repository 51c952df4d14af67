//! Applies the admission of turns to engines that state their pace.

use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Timestamp;
use crate::forwarding::admission;
use crate::forwarding::admission::Admission;
use crate::forwarding::admission::Engine;
use crate::forwarding::admission::ShedReason;
use crate::forwarding::admission::Turn;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::attempt::UpstreamResponse;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::rendezvous::hash_of;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

impl Forwarder {
    /// Decides which engines are worth a send. Returns `None` if the order of engines alone decides:
    /// no engine of the service states its pace, or the request may have run, so that a refusal would
    /// not be one of a request that was not executed.
    pub(super) fn admit_to_engines(
        &self,
        plan: &RequestPlan,
        upstream_request: &UpstreamRequest,
        refused_sends: u32,
        waited: Duration,
    ) -> Option<Admission> {
        if !plan.is_engine || plan.may_have_run {
            return None;
        }
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&plan.service).map(Vec::as_slice).unwrap_or_default();
        let has_version =
            |version| plan.required_version.as_ref().is_none_or(|required| required == version);
        let engines: Vec<Engine> = known
            .iter()
            .filter(|record| has_version(&record.version))
            .map(|record| Engine {
                id: record.id.clone(),
                load: self.loads.get(&record.id),
                slots: record.slots,
            })
            .collect();
        if !engines.iter().any(|engine| engine.load.states_pace()) {
            return None;
        }
        let turn = Turn {
            is_first: plan.is_first_turn,
            priority: plan.priority(),
            time_left: plan.deadline.saturating_duration_since(Instant::now()),
            target: plan.route.target,
            refused_sends,
            waited,
            // The same for all sends of an attempt, and another one when the caller comes back.
            seed: hash_of(&upstream_request.head.attempt, ""),
        };
        Some(admission::admit(&turn, &engines, self.cx.clock.now()))
    }

    /// Returns the refusal of a turn that is not worth a send, and counts it.
    pub(super) fn shed(&self, plan: &RequestPlan, reason: ShedReason) -> Refusal {
        let kind = if plan.is_first_turn { "first" } else { "later" };
        self.cx.metrics.turns_shed.with_label_values(&[kind, reason.label()]).inc();
        let service = &plan.service;
        let message =
            format!("the engines of service {service} are nearly full: {}", reason.label());
        Refusal::not_run(ResultCode::Overloaded, message)
    }

    /// Records the end of a response and the load that its endpoint stated.
    pub(super) fn note_ended(&self, response: &UpstreamResponse, now: Timestamp) {
        let duration = now.since(response.sent_at);
        self.loads.note_ended(&response.endpoint.id, response.head.load, duration, now);
    }
}
