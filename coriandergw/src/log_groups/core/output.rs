//! Work that a core returns to its driver, and the errors of proposals.

use derive_more::Display;
use derive_more::Error;

use crate::ids::InstanceName;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Message;
use crate::log_groups::core::Snapshot;

/// A durable change of a group's state; records are written in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The current term and the vote given in it.
    HardState {
        /// The current term.
        term: u64,
        /// The member that received the vote in the term.
        voted_for: Option<InstanceName>,
    },
    /// Entries that replace any at or after the index of the first one.
    Entries(Vec<Entry>),
    /// A snapshot; the log continues after its index.
    Snapshot(Snapshot),
    /// The instance may vote again after a loss of its log.
    VoteRegained,
}

/// Records to sync, and the messages that depend on them.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records to write and sync, in order.
    pub records: Vec<Record>,
    /// Messages to send once the records are synced.
    pub messages: Vec<(InstanceName, Message)>,
}

/// The next step for the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Apply {
    /// Apply a committed entry.
    Entry(Entry),
    /// Replace the complete state by that of a snapshot.
    Restore(Snapshot),
}

/// The reason why a proposal was not appended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ProposeFault {
    /// Another member leads the group, or no leader is known.
    #[display("this instance does not lead the group")]
    NotLeader,
    /// The requested change of the membership is not possible now.
    #[display("the voters cannot be changed: {reason}")]
    MembersRefused {
        /// The condition that prevents the change.
        reason: String,
    },
}

/// Size limits for messages that carry entries or snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageLimits {
    /// The maximum total size of entries in one message, in bytes; a single larger entry is sent
    /// alone.
    pub append_bytes: usize,
    /// The maximum size of a snapshot chunk, in bytes.
    pub chunk_bytes: usize,
}

impl Default for MessageLimits {
    fn default() -> Self {
        Self { append_bytes: 1 << 20, chunk_bytes: 256 << 10 }
    }
}
