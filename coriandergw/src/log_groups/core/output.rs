//! What a core asks its driver for, and how it refuses a proposal.

use derive_more::Display;
use derive_more::Error;

use crate::ids::InstanceName;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Message;
use crate::log_groups::core::Snapshot;

/// What must be synced, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The term and the vote in it.
    HardState {
        /// The term.
        term: u64,
        /// Who got the vote.
        voted_for: Option<InstanceName>,
    },
    /// Entries; they replace those at and after the first one's index.
    Entries(Vec<Entry>),
    /// A snapshot, from which on the log goes on.
    Snapshot(Snapshot),
    /// The instance no longer is a voter that lost its log.
    VoteRegained,
}

/// Records to sync, and the messages that may be sent after that.
#[derive(Debug, Default)]
pub struct Batch {
    /// What is to be synced.
    pub records: Vec<Record>,
    /// What may be sent once it is.
    pub messages: Vec<(InstanceName, Message)>,
}

/// What the state machine is to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Apply {
    /// Applies a committed entry.
    Entry(Entry),
    /// Replaces the whole state.
    Restore(Snapshot),
}

/// Says why a proposal was not appended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ProposeFault {
    /// Another member leads, or none.
    #[display("this instance does not lead the group")]
    NotLeader,
    /// The change of members cannot be made now.
    #[display("the voters cannot be changed: {reason}")]
    MembersRefused {
        /// Why not.
        reason: String,
    },
}

/// The sizes of messages that carry entries or snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageLimits {
    /// The most bytes of entries in one message; one entry may have more.
    pub append_bytes: usize,
    /// The bytes of a snapshot in one message.
    pub chunk_bytes: usize,
}

impl Default for MessageLimits {
    fn default() -> Self {
        Self { append_bytes: 1 << 20, chunk_bytes: 256 << 10 }
    }
}
