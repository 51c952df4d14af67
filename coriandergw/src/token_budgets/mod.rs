//! Token budgets of programs that are created by their first turn.
//!
//! Before a turn is sent, it reserves the maximum number of tokens that it may generate. When it
//! ends, the reservation is settled with the number of tokens delivered to the caller. Both are
//! commands of the replicated journal group, so budgets are shared by all instances and survive
//! restarts and lost disks. A reservation that is never settled counts as spent.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

use crate::ids::EndpointName;
use crate::roster::EndpointRecord;

pub mod client;
mod engine_loads;
#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod machine;

/// Identifies one turn of a program.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TurnKey {
    /// The program's identifier, chosen by its caller.
    pub program: Arc<str>,
    /// The turn's identifier, unique to each attempt.
    pub turn: Arc<str>,
}

/// The tokens that a turn requests, and the engines that it may run on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The total budget of the program, in tokens.
    pub budget: u64,
    /// The maximum number of tokens that the turn may generate.
    pub tokens: u64,
    /// The engines that may run the turn, in order of preference.
    pub engines: Vec<ProposedEngine>,
    /// The turn that brought the first event of the stream that this one resumes.
    pub resumes: Option<Arc<str>>,
}

/// An engine that may run a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposedEngine {
    /// The name of the engine.
    pub name: EndpointName,
    /// The version of its software.
    pub version: Arc<str>,
    /// Whether it names a limit of requests a second.
    pub is_limited: bool,
}

impl From<&EndpointRecord> for ProposedEngine {
    fn from(record: &EndpointRecord) -> Self {
        let (name, version) = (record.id.clone(), record.version.clone());
        Self { name, version, is_limited: false }
    }
}

/// The result of a reservation request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationOutcome {
    /// The tokens have been reserved.
    Granted {
        /// The tokens of the budget that are neither spent nor reserved, after this reservation.
        left: u64,
        /// The engine to send the turn to; `None` if no engine is known.
        engine: Option<EndpointName>,
        /// The software version that the turn is bound to: that of the engine, or of the stream
        /// that the turn resumes; `None` if it is unknown.
        version: Option<Arc<str>>,
    },
    /// The remaining budget is smaller than the request, or the turn has already been settled.
    Denied {
        /// The tokens of the budget that are neither spent nor reserved.
        left: u64,
    },
}

/// A command that failed or had no usable answer, so that its result is unknown. A turn whose
/// reservation failed must not be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the journal did not answer: {reason}")]
pub struct BudgetError {
    /// The cause, as text for logs.
    pub reason: String,
}

#[cfg(test)]
mod tests;
