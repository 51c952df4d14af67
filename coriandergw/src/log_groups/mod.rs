//! The replicated log: one core, many groups, all durable state.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::ids::GroupId;
use crate::ids::InstanceName;

pub mod client;
pub mod core;
mod driver;
#[allow(missing_docs, clippy::all)]
mod generated;
mod group;
pub mod local;
pub mod node;
mod propose;
mod pulse;
pub mod voters;
pub mod wire;

/// Says why a command has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ProposeError {
    /// The command was certainly not appended anywhere.
    #[display("the command was not accepted: {reason}")]
    NotProposed {
        /// Why it was not accepted.
        reason: String,
    },
    /// The command may be committed now or later.
    #[display("the command's fate is unknown: {reason}")]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// Who leads a group, as one of its members sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: u64,
    /// The leader of the term, where known.
    pub leader: Option<InstanceName>,
    /// Whether this instance leads and has applied everything that earlier leaders committed.
    pub is_leader: bool,
}

/// Commits commands to groups, from any instance.
///
/// The answer is what the group's state machine returned when the command was applied. A command
/// whose fate is unknown may be proposed again, so state machines recognise a repeated command by
/// an identifier in it.
#[async_trait]
pub trait ReplicatedLog: Send + Sync {
    /// Proposes a command and waits until it is committed and applied by the leader.
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError>;

    /// Returns the leader of the group, where known.
    fn leader(&self, group: GroupId) -> Option<InstanceName>;
}

/// Applies committed commands, in the same order on every voter.
///
/// An implementation must be deterministic: no clocks, no randomness, no iteration over hash maps.
pub trait StateMachine: Send + Sync {
    /// Applies the command at `index` and returns the answer for the proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes;

    /// Returns the whole state.
    fn snapshot(&self) -> Bytes;

    /// Replaces the whole state with that of a snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// Says why a snapshot could not be restored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the snapshot is not valid: {reason}")]
pub struct RestoreError {
    /// What is wrong with it.
    pub reason: String,
}

#[cfg(test)]
mod test_cluster;
#[cfg(test)]
mod tests;
