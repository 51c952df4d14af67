//! Tells which instances have not received the published configuration after a while.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::InstanceName;

/// The time after the publication of a configuration from which an instance without it is reported:
/// well above the time that a change takes, and half of the shortest time that operators allow.
pub const REPORTED_AFTER: Duration = Duration::from_millis(1_000);

/// The number of publications of which the time is kept. An instance that lags by more counts from the
/// oldest of them.
const PUBLICATIONS_MAX: usize = 64;

/// A change of what is known of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagChange {
    /// The instance has been without a published configuration for a while.
    Behind {
        /// The version that is published.
        published: u64,
        /// The time since the first version that it has not received was published.
        lag: Duration,
    },
    /// The instance has the published configuration again.
    CaughtUp {
        /// The version that is published.
        published: u64,
    },
}

/// The latest publications of configurations, and the instances that were reported to lag.
#[derive(Debug, Default)]
pub struct ConfigLag {
    publications: VecDeque<(u64, Timestamp)>,
    behind: BTreeSet<InstanceName>,
}

impl ConfigLag {
    /// Notes that a configuration was published.
    pub fn note_published(&mut self, version: u64, now: Timestamp) {
        if self.publications.back().is_some_and(|(latest, _)| *latest >= version) {
            return;
        }
        self.publications.push_back((version, now));
        if self.publications.len() > PUBLICATIONS_MAX {
            self.publications.pop_front();
        }
    }

    /// Notes the version that an instance states; returns what is new about it.
    pub fn note_held(
        &mut self,
        instance: &InstanceName,
        held: u64,
        now: Timestamp,
    ) -> Option<LagChange> {
        let (published, _) = *self.publications.back()?;
        let first_missing = self.publications.iter().find(|(version, _)| *version > held);
        let Some((_, published_at)) = first_missing else {
            return self.behind.remove(instance).then_some(LagChange::CaughtUp { published });
        };
        let lag = now.since(*published_at);
        let is_new = lag > REPORTED_AFTER && self.behind.insert(instance.clone());
        is_new.then_some(LagChange::Behind { published, lag })
    }

    /// Forgets the instances for which `is_listed` does not hold.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&InstanceName) -> bool,
    {
        self.behind.retain(is_listed);
    }

    /// Returns the number of instances that were reported to lag and have not caught up.
    pub fn instances_behind(&self) -> usize {
        self.behind.len()
    }
}

#[cfg(test)]
mod tests;
