//! Entries of the log, and snapshots that stand for them.

use bytes::Bytes;

use crate::log_groups::core::Members;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// Nothing; a new leader commits it to learn what is committed.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its place, from 1 on without gaps.
    pub index: u64,
    /// The term of the leader that appended it.
    pub term: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Returns about how many bytes the entry takes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.len(),
            _ => OVERHEAD_BYTES,
        }
    }
}

/// The whole state of a group at an index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last index that the state covers.
    pub index: u64,
    /// The term of the entry at that index.
    pub term: u64,
    /// The members at that index.
    pub members: Members,
    /// The state machine's state.
    pub data: Bytes,
}
