//! Reserves the tokens of a turn and learns where the journal places it.

use std::time::Duration;

use tokio::time::Instant;

use crate::forwarding::RequestHeaders;
use crate::forwarding::choice;
use crate::forwarding::choice::EndpointCandidate;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::forwarding::forwarder::TRANSIENT_RETRY_AFTER;
use crate::forwarding::turn_guard::TurnGuard;
use crate::ids::EndpointName;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::token_budgets::Reservation;
use crate::token_budgets::ReservationOutcome;

/// How long the journal may take for a reservation; well above an election of its leader.
const RESERVE_LIMIT: Duration = Duration::from_millis(2_500);

/// How long the journal may take for a reservation at an instance that is cut off from the control
/// group: the journal answers at once if it can be reached at all.
const RESERVE_LIMIT_CUT_OFF: Duration = Duration::from_millis(300);

/// The engines that the journal chooses from: with three, the busiest one of many is close to the mean.
const ENGINES_PROPOSED: usize = 3;

impl Forwarder {
    /// Reserves the most that the turn may generate.
    pub(super) async fn reserve(
        &self,
        plan: &mut RequestPlan,
        head: &RequestHeaders,
        turn: &mut TurnGuard,
    ) -> Result<(), Refusal> {
        let budget = head.program.as_ref().and_then(|program| program.budget).unwrap_or_default();
        let tokens = head.tokens.map_or(0, |tokens| tokens.output_max);
        let now = self.cx.clock.now();
        let in_touch = self.roster.with_view(|view| view.reaches_quorum(now));
        let patience = if in_touch { RESERVE_LIMIT } else { RESERVE_LIMIT_CUT_OFF };
        let limit = plan.deadline.min(Instant::now() + patience);
        let engines = self.engines_for(plan);
        let asked = Reservation { budget, tokens, engines };
        let reserved = tokio::time::timeout_at(limit, turn.reserve(asked)).await;
        plan.report.note_reserved();
        match reserved {
            Ok(Ok(ReservationOutcome::Granted { engine, .. })) => {
                plan.report.note_placed(engine.as_ref());
                plan.home = engine;
                Ok(())
            }
            Ok(Ok(ReservationOutcome::Denied { left })) => {
                turn.forget();
                let message = format!("the budget of {budget} tokens has {left} left");
                Err(Refusal::not_run(ResultCode::BudgetSpent, message))
            }
            Ok(Err(cause)) => Err(Refusal::not_run(ResultCode::NoQuorum, cause.to_string())
                .retry_after(TRANSIENT_RETRY_AFTER)),
            Err(_) => {
                let message = format!(
                    "the journal did not answer within {} ms; control group in reach: {in_touch}",
                    patience.as_millis()
                );
                Err(Refusal::not_run(ResultCode::NoQuorum, message)
                    .retry_after(TRANSIENT_RETRY_AFTER))
            }
        }
    }

    /// Returns the engines that the journal may place a turn on, best first.
    fn engines_for(&self, plan: &RequestPlan) -> Vec<EndpointName> {
        let endpoints = self.endpoints.load();
        let known = endpoints.get(&plan.service).map(Vec::as_slice).unwrap_or_default();
        let mut candidates: Vec<EndpointCandidate> =
            known.iter().map(|record| self.candidate(record)).collect();
        choice::order_engines(&mut candidates, &plan.key, None, self.cx.clock.now());
        let best = candidates.into_iter().take(ENGINES_PROPOSED);
        best.map(|candidate| candidate.record.id).collect()
    }
}
