//! The answers to recent changes. A change that is sent again gets its first answer.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::control::generated::KeptAnswer;

/// The maximum number of kept answers; the oldest is evicted first.
pub const MAX_ANSWERS: usize = 16_384;

/// The first answer to each of the most recent changes, with a fingerprint of the change, by its
/// identifier.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct RecentAnswers {
    by_change: BTreeMap<String, (Bytes, Bytes)>,
    order: VecDeque<String>,
}

impl RecentAnswers {
    /// Returns the fingerprint and the first answer of the change with this identifier.
    pub(super) fn find(&self, change_id: &str) -> Option<&(Bytes, Bytes)> {
        self.by_change.get(change_id)
    }

    /// Adds the answer to a change that has no answer yet, and evicts the oldest answer if
    /// necessary.
    pub(super) fn insert(&mut self, change_id: String, fingerprint: Bytes, answer: Bytes) {
        if self.order.len() == MAX_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_change.remove(&oldest);
        }
        self.order.push_back(change_id.clone());
        self.by_change.insert(change_id, (fingerprint, answer));
    }

    /// Returns the kept answers, oldest first.
    pub(super) fn to_messages(&self) -> Vec<KeptAnswer> {
        let kept = |id: &String| {
            let (fingerprint, answer) = self.by_change.get(id)?.clone();
            Some(KeptAnswer { change_id: id.clone(), fingerprint, answer })
        };
        self.order.iter().filter_map(kept).collect()
    }

    /// Restores the answers from messages, which must be ordered oldest first.
    pub(super) fn from_messages(kept: Vec<KeptAnswer>) -> Self {
        let mut answers = Self::default();
        for answer in kept {
            answers.insert(answer.change_id, answer.fingerprint, answer.answer);
        }
        answers
    }
}
