//! The reservation of one turn and its settlement.

use crate::ids::EndpointName;
use crate::token_budgets::BudgetError;
use crate::token_budgets::Reservation;
use crate::token_budgets::ReservationOutcome;
use crate::token_budgets::TurnKey;
use crate::token_budgets::client::BudgetClient;

/// Settles a turn with the tokens that were handed out, however it ends.
pub(super) struct TurnGuard {
    client: BudgetClient,
    key: TurnKey,
    tokens: u64,
    /// The engine that ran it last.
    engine: Option<EndpointName>,
    is_reserved: bool,
}

impl TurnGuard {
    /// Creates the guard of a turn that is not reserved yet.
    pub(super) fn new(client: BudgetClient, key: TurnKey) -> Self {
        Self { client, key, tokens: 0, engine: None, is_reserved: false }
    }

    /// Reserves the most that the turn may generate.
    ///
    /// # Errors
    /// Fails if the journal did not answer; dropping the guard then withdraws the reservation.
    pub(super) async fn reserve(
        &mut self,
        asked: Reservation,
    ) -> Result<ReservationOutcome, BudgetError> {
        self.is_reserved = true;
        self.client.reserve(self.key.clone(), asked).await
    }

    /// Notes that nothing is reserved.
    pub(super) fn forget(&mut self) {
        self.is_reserved = false;
    }

    /// Notes the engine that runs the turn from now on.
    pub(super) fn set_engine(&mut self, engine: &EndpointName) {
        self.engine = Some(engine.clone());
    }

    /// Counts tokens that are handed to the caller.
    pub(super) fn add_used_tokens(&mut self, tokens: u64) {
        self.tokens += tokens;
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        if self.is_reserved {
            self.client.settle(self.key.clone(), self.tokens, self.engine.take());
        }
    }
}
