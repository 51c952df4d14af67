//! The token reservation of one turn, settled when the guard is dropped.

use crate::roster::EndpointRecord;
use crate::token_budgets::BudgetError;
use crate::token_budgets::ProposedEngine;
use crate::token_budgets::Reservation;
use crate::token_budgets::ReservationOutcome;
use crate::token_budgets::TurnKey;
use crate::token_budgets::client::BudgetClient;

/// Settles a turn with the tokens that were passed to the caller, whether the turn succeeded or
/// not.
pub(super) struct TurnGuard {
    client: BudgetClient,
    key: TurnKey,
    used_tokens: u64,
    /// The engine that ran the turn last.
    engine: Option<ProposedEngine>,
    is_reserved: bool,
}

impl TurnGuard {
    /// Creates the guard of a turn for which nothing is reserved yet.
    pub(super) fn new(client: BudgetClient, key: TurnKey) -> Self {
        Self { client, key, used_tokens: 0, engine: None, is_reserved: false }
    }

    /// Reserves the maximum number of tokens that the turn may generate.
    ///
    /// # Errors
    /// Fails if the journal did not answer. It may have made the reservation nevertheless; dropping
    /// the guard withdraws it by settling the turn.
    pub(super) async fn reserve(
        &mut self,
        reservation: Reservation,
    ) -> Result<ReservationOutcome, BudgetError> {
        self.is_reserved = true;
        self.client.reserve(self.key.clone(), reservation).await
    }

    /// Marks the turn as not reserved, so that it is not settled.
    pub(super) fn clear_reservation(&mut self) {
        self.is_reserved = false;
    }

    /// Sets the engine that runs the turn from now on.
    pub(super) fn set_engine(&mut self, engine: &EndpointRecord) {
        self.engine = Some(ProposedEngine::from(engine));
    }

    /// Adds tokens that are passed to the caller.
    pub(super) fn add_used_tokens(&mut self, tokens: u64) {
        self.used_tokens += tokens;
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        if self.is_reserved {
            self.client.settle(self.key.clone(), self.used_tokens, self.engine.take());
        }
    }
}
