//! The border at which operators change the voters.

use async_trait::async_trait;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::ProposeFault;
use crate::log_groups::node::LogNode;

/// One change of a group's voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoterChange {
    /// The instance becomes a voter once it has caught up.
    Add(InstanceName),
    /// The instance is no voter or learner any more.
    Remove(InstanceName),
    /// A new voter takes the place of an old one once it has caught up.
    Replace {
        /// The voter that leaves.
        old: InstanceName,
        /// The instance that becomes a voter.
        new: InstanceName,
    },
}

/// Whether the replacement of a voter has started in one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedReplacement {
    /// The group.
    pub group: GroupId,
    /// Why it has not started, if so.
    pub result: Result<(), ProposeFault>,
}

/// Replaces voters of the groups that this instance leads.
#[async_trait]
pub trait Voters: Send + Sync {
    /// Starts to replace `old` by `new` and tells the result of each group led here.
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
