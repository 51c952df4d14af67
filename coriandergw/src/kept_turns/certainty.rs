//! Decides whether it is certain that a turn does not exist.

use std::time::Duration;

use crate::clock::WallTime;

/// By how much the wall clocks of two instances may differ. An instance must have been complete for
/// this much longer than the retention, so that a slow clock does not make it count too early.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(2);

/// What an instance that may hold a turn said of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The turn is not here.
    Absent {
        /// Since when the instance has kept all that it was given, in milliseconds since the Unix
        /// epoch; 0 if it always has.
        complete_since_ms: u64,
    },
    /// The turn is here, but it or a turn before it cannot be read.
    Unreadable,
    /// There was no answer, or an invalid one.
    Unknown,
}

/// What a decision is based on, apart from the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LookUpScope {
    /// The number of all instances that may hold turns, whether or not they answer.
    pub holders: usize,
    /// The number of instances that each turn is written to.
    pub replicas: usize,
    /// How long turns are kept.
    pub retention: Duration,
    /// The present time.
    pub wall: WallTime,
}

impl LookUpScope {
    /// Returns the number of definite answers after which every possible set of `replicas` holders
    /// contains an instance that gave one.
    pub fn answers_needed(&self) -> usize {
        (self.holders + 1).saturating_sub(self.replicas).max(1)
    }

    /// Returns the number of answers that rule out that the instance lost the turn.
    pub fn definite_answers(&self, answers: &[HolderAnswer]) -> usize {
        let margin = self.retention.saturating_add(CLOCK_TOLERANCE);
        let kept_since_ms = self.wall.0.saturating_sub(margin.as_millis() as u64);
        let is_definite = |answer: &&HolderAnswer| match answer {
            HolderAnswer::Absent { complete_since_ms } => *complete_since_ms <= kept_since_ms,
            HolderAnswer::Unreadable | HolderAnswer::Unknown => false,
        };
        answers.iter().filter(is_definite).count()
    }

    /// Returns whether no turn of the retention period can be on any instance, given one answer for
    /// each instance that answered.
    pub fn is_certainly_absent(&self, answers: &[HolderAnswer]) -> bool {
        !answers.contains(&HolderAnswer::Unreadable)
            && self.definite_answers(answers) >= self.answers_needed()
    }
}

#[cfg(test)]
mod tests;
