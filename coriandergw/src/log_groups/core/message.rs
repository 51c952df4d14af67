//! Messages exchanged between the cores of a group.

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::log_groups::core::Entry;
use crate::log_groups::core::Members;

/// A message between two cores of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's term, or the proposed term in a pre-vote request.
    pub term: u64,
    /// When the leader sent the request, by the leader's clock; echoed in the answer. Not used in
    /// pre-votes and votes.
    pub sent_at: Timestamp,
    /// Whether the sender's answers count towards a quorum; false if it lost its log.
    pub counts: bool,
    /// The request or answer.
    pub body: Body,
}

/// The largest term or index that is accepted, far beyond what any group reaches.
const NUMBER_MAX: u64 = u64::MAX >> 1;

impl Message {
    /// Returns whether a correct member could have sent the terms and indices in the message.
    pub(super) fn is_plausible(&self) -> bool {
        let index = match &self.body {
            Body::Append { prev_index, entries, .. } => {
                let terms_are_valid = entries.iter().all(|entry| entry.term <= self.term);
                if !terms_are_valid { u64::MAX } else { *prev_index }
            }
            Body::Chunk { index, index_term, .. } => (*index).max(*index_term),
            Body::AppendRefused { next } => *next,
            _ => 0,
        };
        self.term <= NUMBER_MAX && index <= NUMBER_MAX
    }

    /// Returns whether only the leader of the term sends such a message.
    pub fn is_from_leader(&self) -> bool {
        matches!(self.body, Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. })
    }
}

/// The body of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether the receiver would grant a vote.
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
    /// Requests a vote.
    Vote {
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries.
    Append {
        /// The index of the entry that precedes `entries`.
        prev_index: u64,
        /// The term of the entry that precedes `entries`.
        prev_term: u64,
        /// The leader's commit index.
        commit: u64,
        /// Consecutive entries, in index order.
        entries: Vec<Entry>,
    },
    /// Acknowledges entries or a snapshot that the sender of this answer has synced.
    AppendAnswer {
        /// The last index up to which the logs are known to match.
        matched: u64,
    },
    /// Reports that entries do not match the log of the sender of this answer, or that its log ends
    /// before the commit index of a heartbeat.
    AppendRefused {
        /// The index from which the leader should send entries next.
        next: u64,
    },
    /// Extends the receiver's promise not to vote for another member.
    Heartbeat {
        /// The leader's commit index, limited to where the receiver's log is known to match.
        commit: u64,
        /// Whether the receiver is a voter in the committed membership; true while a change of the
        /// membership is not committed.
        is_voter: bool,
    },
    /// Answers a heartbeat.
    HeartbeatAnswer,
    /// Carries one chunk of a snapshot.
    Chunk {
        /// The index of the last entry included in the snapshot.
        index: u64,
        /// The term of the entry at that index.
        index_term: u64,
        /// The membership in force at that index.
        members: Members,
        /// The byte offset of this chunk in the snapshot.
        offset: u64,
        /// The size of the complete snapshot, in bytes.
        total: u64,
        /// The bytes of this chunk.
        data: Bytes,
    },
    /// Acknowledges received chunks of a snapshot.
    ChunkAnswer {
        /// The index of the last entry included in the snapshot.
        index: u64,
        /// The number of contiguous bytes received from the start of the snapshot.
        received: u64,
    },
}
