//! Programs: sequences of dependent calls that share a history and a budget.
//!
//! Programs are divided into partitions, each served by one home instance. The home writes each
//! step of a call to the journal in the replicated log before the step takes effect. When a
//! partition moves, its new home rebuilds the programs from the journal.

mod accept;
mod append;
mod budget;
mod create;
mod end;
#[allow(missing_docs, clippy::all)]
mod generated;
mod handover;
mod home;
mod journal;
mod journal_state;
mod limits;
mod liveness;
mod liveness_client;
mod parked;
mod record;
mod request;
mod reserve;
mod run;
mod settle;
mod state;
mod sweep;
mod takeover;
mod turn;

use sha2::Digest;
use sha2::Sha256;

pub use accept::CallAnswer;
pub use create::CreatedProgram;
pub use home::Location;
pub use home::Programs;
pub use home::no_home;
pub use journal::group_of;
pub use journal_state::JournalState;
pub use liveness::ProgramLivenessHandler;
pub use liveness_client::ProgramLivenessClient;
pub use request::Budget;
pub use request::CallRequest;
pub use request::ChildRequest;
pub use request::ProgramRequest;
pub use turn::Turn;

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

#[cfg(test)]
mod tests;
