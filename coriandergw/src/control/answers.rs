//! The first answers to changes, kept for changes that are resent.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::control::generated::KeptAnswer;

/// The answers that are kept; the oldest is dropped first.
pub const KEPT_ANSWERS: usize = 16_384;

/// Keeps the first answer to each of the latest changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Answers {
    by_change: BTreeMap<String, (Bytes, Bytes)>,
    order: VecDeque<String>,
}

impl Answers {
    /// Returns the fingerprint of the change with this identifier and its first answer.
    pub(super) fn find(&self, change_id: &str) -> Option<&(Bytes, Bytes)> {
        self.by_change.get(change_id)
    }

    /// Keeps the first answer to a change.
    pub(super) fn keep(&mut self, change_id: String, fingerprint: Bytes, answer: Bytes) {
        if self.order.len() == KEPT_ANSWERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_change.remove(&oldest);
        }
        self.order.push_back(change_id.clone());
        self.by_change.insert(change_id, (fingerprint, answer));
    }

    /// Returns the kept answers, the oldest first.
    pub(super) fn to_messages(&self) -> Vec<KeptAnswer> {
        let kept = |id: &String| {
            let (fingerprint, answer) = self.by_change.get(id)?.clone();
            Some(KeptAnswer { change_id: id.clone(), fingerprint, answer })
        };
        self.order.iter().filter_map(kept).collect()
    }

    /// Builds the store from kept answers, the oldest first.
    pub(super) fn from_messages(kept: Vec<KeptAnswer>) -> Self {
        let mut answers = Self::default();
        for answer in kept {
            answers.keep(answer.change_id, answer.fingerprint, answer.answer);
        }
        answers
    }
}
