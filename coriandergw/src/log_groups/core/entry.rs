//! Log entries and the snapshots that replace them.

use bytes::Bytes;

use crate::log_groups::core::Members;

/// The content of a log entry: a command, a membership or nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// No content. A new leader commits such an entry to learn which earlier entries are committed.
    Empty,
    /// A command to apply to the state machine.
    Command(Bytes),
    /// The membership that applies from this entry on.
    Members(Members),
}

/// One entry of a group's replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The position in the log: consecutive, starting at 1.
    pub index: u64,
    /// The term of the leader that appended it.
    pub term: u64,
    /// The content to replicate.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            _ => OVERHEAD_BYTES,
        }
    }
}

/// The complete state of a group at an index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry included in the state.
    pub index: u64,
    /// The term of the entry at that index.
    pub term: u64,
    /// The membership in force at that index.
    pub members: Members,
    /// The serialised state of the state machine.
    pub data: Bytes,
}
