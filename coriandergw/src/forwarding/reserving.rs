//! Reserves the tokens of a turn in the journal, which also assigns the turn to an engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::forwarding::RequestHeaders;
use crate::forwarding::choice;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::forwarding::forwarder::TRANSIENT_RETRY_AFTER;
use crate::forwarding::turn_guard::TurnGuard;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::roster::EndpointRecord;
use crate::token_budgets::ProposedEngine;
use crate::token_budgets::Reservation;
use crate::token_budgets::ReservationOutcome;

/// The timeout for a reservation; well above the duration of a leader election in the journal.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The timeout for a reservation while this instance cannot reach a quorum of the control group: if
/// the journal can be reached at all, it answers at once.
const RESERVE_TIMEOUT_WITHOUT_QUORUM: Duration = Duration::from_millis(300);

/// The number of engines that the journal chooses from. Choosing among three keeps the load of even
/// the busiest of many engines close to the mean.
const PROPOSED_ENGINES_MAX: usize = 3;

impl Forwarder {
    /// Reserves the maximum number of tokens that the turn may generate.
    pub(super) async fn reserve(
        &self,
        plan: &mut RequestPlan,
        head: &RequestHeaders,
        turn: &mut TurnGuard,
    ) -> Result<(), Refusal> {
        let budget = head.program.as_ref().and_then(|program| program.budget);
        // Without a budget, the reservation only looks up the version of the stream.
        let tokens = head.tokens.filter(|_| budget.is_some());
        let (budget, tokens) =
            (budget.unwrap_or(u64::MAX), tokens.map_or(0, |tokens| tokens.output_max));
        let now = self.cx.clock.now();
        let has_quorum = self.roster.with_view(|view| view.reaches_quorum(now));
        let timeout = if has_quorum { RESERVE_TIMEOUT } else { RESERVE_TIMEOUT_WITHOUT_QUORUM };
        let limit = plan.deadline.min(Instant::now() + timeout);
        let engines = self.proposed_engines(plan, head);
        let resumes = head.resumes.clone().filter(|_| head.last_event.is_some());
        let reservation = Reservation { budget, tokens, engines, resumes };
        let result = tokio::time::timeout_at(limit, turn.reserve(reservation)).await;
        plan.report.note_reserved();
        match result {
            Ok(Ok(ReservationOutcome::Granted { left, engine, version })) => {
                let continues = head.previous_turn.is_some() || head.last_event.is_some();
                // Of the budget of a program that has had no turn, only this reservation is used.
                plan.is_first_turn =
                    tokens > 0 && !continues && left.checked_add(tokens) == Some(budget);
                plan.report.note_placed(engine.as_ref());
                plan.placed_engine = engine;
                plan.recorded_version = version;
                Ok(())
            }
            Ok(Ok(ReservationOutcome::Denied { left })) => {
                turn.clear_reservation();
                let message =
                    format!("the program's budget of {budget} tokens has {left} tokens left");
                Err(Refusal::not_run(ResultCode::BudgetSpent, message))
            }
            Ok(Err(cause)) => Err(Refusal::not_run(ResultCode::NoQuorum, cause.to_string())
                .retry_after(TRANSIENT_RETRY_AFTER)),
            Err(_) => {
                let message = format!(
                    "the journal did not answer within {} ms; control group reachable: {has_quorum}",
                    timeout.as_millis()
                );
                Err(Refusal::not_run(ResultCode::NoQuorum, message)
                    .retry_after(TRANSIENT_RETRY_AFTER))
            }
        }
    }

    /// Returns the engines that the journal may assign the turn to, best first. Only the journal
    /// knows which version a resumed stream goes on at, so such a turn gets engines of each version.
    fn proposed_engines(&self, plan: &RequestPlan, head: &RequestHeaders) -> Vec<ProposedEngine> {
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&plan.service).map(Vec::as_slice).unwrap_or_default();
        let mut candidates: Vec<EndpointCandidate> =
            known.iter().enumerate().map(|(at, record)| self.candidate(at, record)).collect();
        choice::order_engines(&mut candidates, &plan.key, None, self.cx.clock.now());
        // A limited engine that has refused permits lately has no room for another program.
        candidates.sort_by_key(|candidate| !self.permits.has_spare(&candidate.record));
        let is_limited = |record: &EndpointRecord| self.permits.limit_of(record).is_some();
        let mut counts: BTreeMap<(Arc<str>, bool), usize> = BTreeMap::new();
        candidates.retain(|candidate| {
            // A new stream may begin at any version, so all engines count as one.
            let version = match head.last_event {
                Some(_) => candidate.record.version.clone(),
                None => Arc::default(),
            };
            let key = (version, is_limited(&candidate.record));
            let count = counts.entry(key).or_default();
            *count += 1;
            *count <= PROPOSED_ENGINES_MAX
        });
        let propose = |record: &EndpointRecord| ProposedEngine {
            is_limited: is_limited(record),
            ..ProposedEngine::from(record)
        };
        candidates.iter().map(|candidate| propose(&candidate.record)).collect()
    }
}
