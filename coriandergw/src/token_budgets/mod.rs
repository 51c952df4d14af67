//! Budgets of programs that begin with their first turn, counted in tokens.
//!
//! A turn reserves the most that it may generate before it is sent, and is settled with what was
//! handed out. The reservations are commands of the journal group, so that they hold across
//! instances, restarts and lost disks. What was reserved and never settled counts as spent.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

pub mod client;
#[allow(missing_docs, clippy::all)]
mod generated;
pub mod machine;

/// One turn of a program.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TurnKey {
    /// The program, as its caller names it.
    pub program: Arc<str>,
    /// The turn; no two attempts share it.
    pub turn: Arc<str>,
}

/// What became of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The tokens are reserved.
    Granted {
        /// What is left of the budget.
        left: u64,
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
