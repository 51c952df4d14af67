//! The control state: catalogue, registered instances, partition table and fencing numbers.
//!
//! Group 0 of the replicated log applies [`Command`]s to the [`ControlState`] of each store
//! instance. Its distributed part, [`Published`], is replicated to every instance: it changes by
//! numbered deltas, and its digest is the same on all instances that have applied the same
//! revision.
//!
//! Core instances do not use this module: their group 0 applies the commands of
//! [`crate::versions`].

mod answers;
mod command;
#[allow(missing_docs, clippy::all)]
mod generated;
mod history;
mod machine;
mod published;
mod replica;
mod state;
mod table;

pub use command::change_command;
pub use command::decode_answer;
pub use command::decode_change_answer;
pub use generated::Command;
pub use generated::Delta;
pub use generated::Forget;
pub use generated::HistoryRecord;
pub use generated::Instance as RawInstance;
pub use generated::InstanceState;
pub use generated::Move;
pub use generated::Reassign;
pub use generated::Register;
pub use generated::SetState;
pub use generated::TakeControl;
pub use generated::command::Kind as CommandKind;
pub use machine::ControlMachine;
pub use machine::SharedControlState;
pub use published::Instance;
pub use published::Published;
pub use published::PublishedError;
pub use replica::Replica;
pub use state::ControlState;
pub use table::PartitionAssignment;
pub use table::PartitionTable;

#[cfg(test)]
mod tests;
