//! Budgets of programs that begin with their first turn, counted in tokens.
//!
//! A turn reserves the most that it may generate before it is sent, and is settled with what was
//! handed out. The reservations are commands of the journal group, so that they hold across
//! instances, restarts and lost disks. What was reserved and never settled counts as spent.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

use crate::ids::EndpointName;

pub mod client;
mod engine_loads;
#[allow(missing_docs, clippy::all)]
mod generated;
pub mod machine;

/// One turn of a program.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TurnKey {
    /// The program, as its caller names it.
    pub program: Arc<str>,
    /// The turn; no two attempts share it.
    pub turn: Arc<str>,
}

/// What a turn asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The budget of its program, in tokens.
    pub budget: u64,
    /// The most that it may generate, in tokens.
    pub tokens: u64,
    /// The engines that might run it, best first.
    pub engines: Vec<EndpointName>,
}

/// What became of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationOutcome {
    /// The tokens are reserved.
    Granted {
        /// What is left of the budget.
        left: u64,
        /// The engine that the turn is best sent to, where any were proposed.
        engine: Option<EndpointName>,
    },
    /// The budget does not hold the turn.
    Denied {
        /// What is left of the budget.
        left: u64,
    },
}

/// Says why a reservation has no verdict; the turn must not be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the journal did not answer: {reason}")]
pub struct BudgetError {
    /// Why not.
    pub reason: String,
}

#[cfg(test)]
mod tests;
