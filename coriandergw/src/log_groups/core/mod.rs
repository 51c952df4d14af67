//! The consensus core of one log group: Raft without input or output.
//!
//! A driver feeds messages, ticks, proposals and completed syncs into a [`Core`] and carries out
//! what it asks for. Three rules bind the driver:
//! - [`Core::take_messages`] may be sent at once;
//! - the messages of a [`Batch`] may be sent only after its records are synced, and
//!   [`Core::synced`] is called then; only one batch is taken at a time;
//! - [`Core::take_apply`] is applied in order.
//!
//! After a failed sync the driver drops the core: nothing further may be acknowledged.

mod config_change;
mod election;
mod follower;
mod leader;
mod log;
mod members;
mod message;
mod progress;
mod recovery;
mod replica;
mod timing;

pub use members::Members;
pub use members::Replacement;
pub use message::Body;
pub use message::Message;
pub use recovery::Recovered;
pub use recovery::RecoveryError;
pub use replica::Apply;
pub use replica::Batch;
pub use replica::Core;
pub use replica::Entry;
pub use replica::MessageLimits;
pub use replica::Payload;
pub use replica::ProposeFault;
pub use replica::Record;
pub use replica::Snapshot;
pub use timing::CLOCK_DRIFT_PERCENT;
pub use timing::HEARTBEAT_INTERVAL;
pub use timing::LEASE;
pub use timing::PROMISE;

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
