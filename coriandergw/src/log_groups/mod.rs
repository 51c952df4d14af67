//! The replicated log: many Raft groups per instance, which hold all durable state.

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
pub(crate) mod generated;
mod group;
pub mod local;
pub mod node;
mod propose;
mod pulse;
pub mod voters;
pub mod wire;
mod writer;

/// The reason why a proposal has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ProposeError {
    /// The command was not appended on any instance.
    #[display("the command was not accepted: {reason}")]
    NotProposed {
        /// The reason for the refusal, or for the failure of the last attempt.
        reason: String,
    },
    /// The command may have been committed, or may still be committed later.
    #[display("the result of the command is unknown: {reason}")]
    Unknown {
        /// The failure that left the result unknown.
        reason: String,
    },
}

/// The leadership of a group, as seen by one of its members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The current term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<InstanceName>,
    /// Whether this instance leads and has applied all entries that earlier leaders committed.
    pub is_leader: bool,
}

/// Commits commands to groups from any instance.
///
/// The answer is the value that the group's state machine returned for the command. A command whose
/// result is unknown may be proposed again, so state machines recognise a repeated command by an
/// identifier in it.
#[async_trait]
pub trait ReplicatedLog: Send + Sync {
    /// Proposes a command and waits until the leader has committed and applied it.
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError>;

    /// Returns the leader of the group, if known.
    fn leader(&self, group: GroupId) -> Option<InstanceName>;
}

/// Applies committed commands, in the same order on every member.
///
/// Implementations must be deterministic: no clocks, no randomness, no iteration over hash maps.
pub trait StateMachine: Send + Sync {
    /// Applies the command at `index` and returns the answer to the proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes;

    /// Serialises the complete state.
    fn snapshot(&self) -> Bytes;

    /// Replaces the complete state by that of a snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// The reason why a snapshot could not be restored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the snapshot is not valid: {reason}")]
pub struct RestoreError {
    /// The description of the fault in the snapshot.
    pub reason: String,
}

#[cfg(test)]
pub(crate) mod test_cluster;
#[cfg(test)]
mod tests;
