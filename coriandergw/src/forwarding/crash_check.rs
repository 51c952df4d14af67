//! Finds requests that crash the endpoints that run them, and stops sending them.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::crashes::Incarnation;
use crate::crashes::table::Standing;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::ids::EndpointName;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::roster::EndpointRecord;

/// The time in which other instances' reports of the same crash arrive. A request that is a suspect of
/// several crashes waits for them, so that it is not sent where another suspect goes.
const REPORTS_DELAY: Duration = Duration::from_millis(25);

impl Forwarder {
    /// Refuses a request that crashed too many endpoints, at this instance or at others, or that may
    /// take longer than a stopping instance runs. One that was sent before waits as long as it may
    /// still be admitted before its deadline.
    pub(super) async fn admit(
        &self,
        plan: &RequestPlan,
        upstream_request: &UpstreamRequest,
    ) -> Result<(), Refusal> {
        if !plan.may_have_run {
            self.drain.admit(plan.deadline)?;
        }
        if self.crashes.is_empty() {
            return Ok(());
        }
        let digest = upstream_request.digest();
        let (crashes, retry_after) = loop {
            let Standing::Blocked { crashes, retry_after } = self.crashes.admit(&digest) else {
                return Ok(());
            };
            if !plan.may_have_run || Instant::now() + retry_after >= plan.deadline {
                break (crashes, retry_after);
            }
            tokio::time::sleep(retry_after).await;
        };
        let message = format!("this request (digest {digest}) crashed {crashes} endpoints");
        Err(match plan.may_have_run {
            true => Refusal::may_have_run(ResultCode::AnswerLate, message),
            false => {
                Refusal::not_run(ResultCode::CrashesEndpoints, message).retry_after(retry_after)
            }
        })
    }

    /// Checks whether the endpoint that lost a response has crashed, and reports that. The task
    /// returns whether it has, and the next attempt should wait for it. Dropping the handle does not
    /// end the check.
    pub(super) fn check_for_crash(
        &self,
        plan: &RequestPlan,
        upstream_request: &UpstreamRequest,
        endpoint: &EndpointRecord,
    ) -> JoinHandle<bool> {
        let (cx, report, crashes) = (self.cx.clone(), plan.report.clone(), self.crashes.clone());
        let connector = self.connector.clone();
        let (digest, endpoint) = (upstream_request.digest(), endpoint.clone());
        tokio::spawn(async move {
            let incarnation =
                Incarnation { endpoint: endpoint.id.clone(), started_ms: endpoint.started_ms };
            let has_crashed =
                crashes.has_crashed(&incarnation) || connector.has_ended(&endpoint).await;
            if has_crashed {
                let count = crashes.report(incarnation, digest);
                report.endpoint_crashed(&cx, &endpoint, digest, count);
                if count > 1 {
                    tokio::time::sleep(REPORTS_DELAY).await;
                }
            }
            has_crashed
        })
    }

    /// Clears a request that was answered completely of all crashes.
    pub(super) fn note_complete_answer(&self, upstream_request: &UpstreamRequest) {
        if !self.crashes.is_empty() {
            self.crashes.clear(&upstream_request.digest());
        }
    }

    /// Moves the endpoint that a suspect is to be sent to to the front.
    pub(super) fn isolate_suspect(
        &self,
        upstream_request: &UpstreamRequest,
        ordered: &mut [EndpointRecord],
    ) {
        if self.crashes.is_empty() {
            return;
        }
        let names: Vec<EndpointName> = ordered.iter().map(|record| record.id.clone()).collect();
        let chosen = self.crashes.isolated_endpoint(&upstream_request.digest(), &names);
        let position = chosen.and_then(|chosen| names.iter().position(|name| *name == chosen));
        if let Some(position) = position {
            ordered[..=position].rotate_right(1);
        }
    }
}
