//! What the cores of a group tell each other.

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;

/// A message between two cores of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's term, or the term that a pre-vote asks for.
    pub term: u64,
    /// When the leader sent the request, by its own clock; an answer repeats it.
    pub sent_at: Timestamp,
    /// Whether the sender's answers may count towards a quorum.
    pub counts: bool,
    /// What is asked or answered.
    pub body: Body,
}

/// The largest term or index that is taken in, far beyond what any group reaches.
const NUMBER_MAX: u64 = u64::MAX >> 1;

impl Message {
    /// Returns whether the numbers in the message can be those of a sound member.
    pub(super) fn is_plausible(&self) -> bool {
        let index = match &self.body {
            Body::Append { prev_index, entries, .. } => {
                let are_of_term = entries.iter().all(|entry| entry.term <= self.term);
                if !are_of_term { u64::MAX } else { *prev_index }
            }
            Body::Chunk { index, index_term, .. } => (*index).max(*index_term),
            Body::AppendRefused { next } => *next,
            _ => 0,
        };
        self.term <= NUMBER_MAX && index <= NUMBER_MAX
    }
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a vote would be granted.
    PreVote {
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers a request for a vote.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries.
    Append {
        /// The index of the entry before the first one.
        prev_index: u64,
        /// The term of the entry before the first one.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// The entries, in order and without gaps.
        entries: Vec<Entry>,
    },
    /// Confirms synced entries.
    AppendAnswer {
        /// The last index at which the logs are known to agree.
        matched: u64,
    },
    /// Refuses entries that do not fit the log.
    AppendRefused {
        /// Where the leader should try next.
        next: u64,
    },
    /// Extends the voter's promise.
    Heartbeat {
        /// The leader's commit index, as far as the receiver's log is known to agree.
        commit: u64,
        /// Whether the receiver is a voter by the committed members.
        is_voter: bool,
    },
    /// Answers a heartbeat.
    HeartbeatAnswer,
    /// Carries a part of a snapshot.
    Chunk {
        /// The last index that the snapshot covers.
        index: u64,
        /// The term of the entry at that index.
        index_term: u64,
        /// The members at that index.
        members: Members,
        /// Where the part starts, in bytes.
        offset: u64,
        /// The size of the whole snapshot, in bytes.
        total: u64,
        /// The part.
        data: Bytes,
    },
    /// Confirms the parts of a snapshot.
    ChunkAnswer {
        /// The last index that the snapshot covers.
        index: u64,
        /// The bytes received without a gap.
        received: u64,
    },
}
