//! The membership of a group: the instances that hold its log.

use std::collections::BTreeSet;

use crate::ids::InstanceName;

/// A change in progress that replaces, adds or readmits a voter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// The voter to remove; equal to `new` when a voter is added or readmitted.
    pub old: InstanceName,
    /// The instance that becomes a voter.
    pub new: InstanceName,
}

/// The voters and learners of a group; in force as soon as the entry that holds it is appended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// The instances whose votes and acknowledgements count towards a quorum.
    pub voters: BTreeSet<InstanceName>,
    /// The instances that receive the log but do not count towards a quorum.
    pub learners: BTreeSet<InstanceName>,
    /// The replacement in progress, if any.
    pub replacement: Option<Replacement>,
}

impl Members {
    /// Creates a membership without learners.
    pub fn of_voters<I>(voters: I) -> Self
    where
        I: IntoIterator<Item = InstanceName>,
    {
        Self { voters: voters.into_iter().collect(), ..Self::default() }
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns all members except `name`.
    pub fn others(&self, name: &InstanceName) -> Vec<InstanceName> {
        let all = self.voters.union(&self.learners);
        all.filter(|member| *member != name).cloned().collect()
    }

    /// Returns the highest value that a quorum of voters has reached.
    ///
    /// `value_of` returns the value of one voter, and the default for a voter that does not count.
    pub fn quorum_value<T, F>(&self, value_of: F) -> T
    where
        T: Ord + Copy + Default,
        F: Fn(&InstanceName) -> T,
    {
        let mut values: Vec<T> = self.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or_default()
    }

    /// Returns the membership of the first step of a replacement, with `new` as a learner.
    ///
    /// A voter that is to be readmitted is not a voter during this step.
    pub(super) fn start_replacement(&self, replacement: Replacement) -> Self {
        let mut next = self.clone();
        if replacement.old == replacement.new {
            next.voters.remove(&replacement.old);
        }
        next.learners.insert(replacement.new.clone());
        next.replacement = Some(replacement);
        next
    }

    /// Returns the membership without `name`; `None` if no voter would remain.
    ///
    /// A replacement that involves `name` is cancelled.
    pub(super) fn without(&self, name: &InstanceName) -> Option<Self> {
        let mut next = self.clone();
        next.voters.remove(name);
        next.learners.remove(name);
        let involves_name =
            |replacement: &Replacement| replacement.old == *name || replacement.new == *name;
        if next.replacement.as_ref().is_some_and(involves_name) {
            next.replacement = None;
            next.learners.clear();
        }
        (!next.voters.is_empty()).then_some(next)
    }

    /// Returns the membership of the next step of the replacement in progress.
    ///
    /// Valid once the previous step is committed.
    pub(super) fn next_step(&self) -> Option<Self> {
        let Replacement { old, new } = self.replacement.clone()?;
        let mut next = self.clone();
        if next.learners.remove(&new) {
            next.voters.insert(new.clone());
            if old == new {
                next.replacement = None;
            }
        } else {
            next.voters.remove(&old);
            next.replacement = None;
        }
        Some(next)
    }
}
