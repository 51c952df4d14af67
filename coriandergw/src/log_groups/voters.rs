//! The interface through which operators change the voters of a group.

use async_trait::async_trait;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::node::LogNode;

/// A change of a group's voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds an instance as a voter once it has caught up.
    Add(InstanceName),
    /// Removes an instance from the voters and learners.
    Remove(InstanceName),
    /// Replaces a voter by another instance once that has caught up.
    Replace {
        /// The voter to remove.
        old: InstanceName,
        /// The instance that becomes a voter.
        new: InstanceName,
    },
}

/// The result of starting to replace a voter in one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedReplacement {
    /// The group whose voter is to be replaced.
    pub group: GroupId,
    /// The reason why the replacement was not started, if it failed.
    pub result: Result<(), ProposeFault>,
}

/// Replaces voters of the groups that this instance leads.
#[async_trait]
pub trait Voters: Send + Sync {
    /// Starts to replace `old` by `new` in each group led here, and returns the results.
    async fn replace(&self, old: &InstanceName, new: &InstanceName) -> Vec<StartedReplacement>;
}

#[async_trait]
impl Voters for LogNode {
    async fn replace(&self, old: &InstanceName, new: &InstanceName) -> Vec<StartedReplacement> {
        let mut started = Vec::new();
        for group in self.groups() {
            let change = VoterChange::Replace { old: old.clone(), new: new.clone() };
            let result = self.change_voters(group, change).await;
            if result != Err(ProposeFault::NotLeader) {
                started.push(StartedReplacement { group, result });
            }
        }
        started
    }
}
