//! Keeps the events of a stream to one software version of its service.
//!
//! What endpoints of two versions write does not fit together. Before the first event of a stream is
//! passed on, the journal has a record of the version that made it, so that any instance can resume
//! the stream at an endpoint of that version.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::forwarding::RequestHeaders;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::forwarding::forwarder::TRANSIENT_RETRY_AFTER;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::token_budgets::TurnKey;

/// The timeout for the record of a version; above the duration of a leader election in the journal.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the key under which the journal has the record of a stream. A stream that does not belong
/// to a program with a budget has one of its own.
pub(super) fn record_key(head: &RequestHeaders) -> TurnKey {
    let budgeted = head.program.as_ref().filter(|program| program.budget.is_some());
    let program = match (budgeted, head.tokens) {
        (Some(program), Some(_)) => program.program.clone(),
        _ => format!("stream/{}", head.resumes.as_ref().unwrap_or(&head.attempt)).into(),
    };
    TurnKey { program, turn: head.attempt.clone() }
}

impl Forwarder {
    /// Determines the version at which a stream that the caller resumes goes on.
    ///
    /// # Errors
    /// Refuses the request if the version is unknown and several serve.
    pub(super) fn require_version(
        &self,
        plan: &mut RequestPlan,
        head: &RequestHeaders,
    ) -> Result<(), Refusal> {
        if head.last_event.is_none() {
            return Ok(());
        }
        plan.required_version = match head.resumes.as_ref().and(plan.recorded_version.clone()) {
            Some(version) => Some(version),
            None => self.only_version(&plan.service),
        };
        if plan.required_version.is_some() || !self.has_endpoints(&plan.service) {
            return Ok(());
        }
        let message = format!(
            "no record says which version of service {} began the stream of attempt {}",
            plan.service,
            head.resumes.as_deref().unwrap_or("-")
        );
        let refusal = Refusal::not_run(ResultCode::StreamUnknown, message);
        Err(refusal.retry_after(TRANSIENT_RETRY_AFTER))
    }

    /// Returns the version of all endpoints that the service has had lately, if it is only one. An
    /// instance that is cut off may not know of another one.
    fn only_version(&self, service: &str) -> Option<Arc<str>> {
        let now = self.cx.clock.now();
        self.roster.with_view(|view| {
            let known: BTreeSet<Arc<str>> = view.versions(service);
            let is_informed = view.reaches_quorum(now);
            known.first().filter(|_| known.len() == 1 && is_informed).cloned()
        })
    }

    /// Records the version that makes the first event of a stream, unless the journal has it.
    ///
    /// # Errors
    /// Describes why the journal has no record, so that no event may be passed on.
    pub(super) async fn record_version(
        &self,
        plan: &mut RequestPlan,
        head: &RequestHeaders,
        version: &Arc<str>,
    ) -> Result<(), String> {
        plan.required_version = Some(version.clone());
        let is_recorded = plan.recorded_version.as_ref() == Some(version);
        if is_recorded || version.is_empty() || !plan.route.retry_policy.allows_retry() {
            return Ok(());
        }
        let key = record_key(head);
        let limit = plan.deadline.min(Instant::now() + RECORD_TIMEOUT);
        let recorded = tokio::time::timeout_at(limit, self.budgets.bind(key, version.clone()));
        match recorded.await {
            Ok(Ok(())) => {
                plan.recorded_version = Some(version.clone());
                Ok(())
            }
            Ok(Err(cause)) => Err(format!("version {version} of the stream: {cause}")),
            Err(_) => Err(format!(
                "the journal did not record version {version} of the stream within {} ms",
                RECORD_TIMEOUT.as_millis()
            )),
        }
    }

    /// Returns the refusal of a stream whose version has no endpoint left.
    pub(super) fn version_gone(&self, plan: &RequestPlan) -> Option<Refusal> {
        let version = plan.required_version.as_ref()?;
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&plan.service)?;
        let is_left = known.iter().any(|record| record.version == *version);
        let message = format!("no endpoint of service {} has version {version}", plan.service);
        (!is_left).then(|| Refusal::not_run(ResultCode::VersionGone, message))
    }
}
