//! The consensus core of one log group: Raft as a state machine that does no I/O.
//!
//! A driver feeds messages, ticks, proposals and completed syncs into a [`Core`] and carries out
//! the work that the core returns. The driver must follow three rules:
//! - messages from [`Core::take_messages`] may be sent immediately;
//! - messages of a [`Batch`] may be sent only after its records are synced, at which point the
//!   driver calls [`Core::synced`]; only one batch may be outstanding at a time;
//! - steps from [`Core::take_apply`] are applied in order.
//!
//! After a failed sync the driver drops the core, because nothing further may be acknowledged. It
//! creates another one from what is durable and lets it [`Core::resume_after`] what was applied.

mod config_change;
mod deadline;
mod election;
mod entry;
mod follower;
mod leader;
mod log;
mod members;
mod message;
mod output;
mod progress;
mod recovery;
mod replica;
mod timing;

pub use entry::Entry;
pub use entry::Payload;
pub use entry::Snapshot;
pub use members::Members;
pub use members::Replacement;
pub use message::Body;
pub use message::Message;
pub use output::Apply;
pub use output::Batch;
pub use output::MessageLimits;
pub use output::ProposeFault;
pub use output::Record;
pub use recovery::Recovered;
pub use recovery::RecoveryError;
pub use replica::Core;
pub use timing::CLOCK_DRIFT_PERCENT;
pub use timing::HEARTBEAT_INTERVAL;
pub use timing::LEASE;
pub use timing::UNLEASED_LEASE;
pub use timing::UNLEASED_SOLE_LEADER;
pub use timing::VOTE_PROMISE;

#[cfg(test)]
mod simulated_member;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
