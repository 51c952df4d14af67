//! Automatic management of the voter set of a log group.
//!
//! The leader of the group adds voters up to the wanted number, replaces voters that have been
//! missing for too long or have lost their disk, and removes voters from nodes that are being
//! retired. It makes one change at a time, each of which is a command of the group itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::log_groups::core::Members;
use crate::log_groups::core::Replacement;
use crate::log_groups::voters::VoterChange;
use crate::roster::Presence;
use crate::transport::tcp::address_of;

pub mod driver;
pub mod founding;

/// How long a member may be missing before it is considered lost and, if it is a voter, replaced.
/// A restarted process is back sooner. An instance that returns later joins again as a spare.
pub const VOTER_LOST_AFTER: Duration = Duration::from_millis(2_000);

/// The input of [`VoterSetPlanner::next_change`].
pub struct VoterSetStatus<'a> {
    /// The current voters and learners of the group.
    pub members: &'a Members,
    /// The live instances with the group's role.
    pub living: &'a [Presence],
    /// The nodes that are being retired and must not have voters.
    pub retiring: &'a [Arc<str>],
    /// The number of voters that the group should have.
    pub wanted: usize,
}

/// Plans the changes to the voter set of a group. Remembers since when each missing member has been
/// missing.
#[derive(Debug, Default)]
pub struct VoterSetPlanner {
    missing_since: BTreeMap<InstanceName, Timestamp>,
}

impl VoterSetPlanner {
    /// Returns the next change to the voter set, or `None` if no change is needed or possible.
    pub fn next_change(
        &mut self,
        status: &VoterSetStatus<'_>,
        now: Timestamp,
    ) -> Option<VoterChange> {
        self.update_missing(status, now);
        if let Some(Replacement { new, .. }) = &status.members.replacement {
            return self.is_lost(status, new, now).then(|| VoterChange::Remove(new.clone()));
        }
        let lost = status.members.voters.iter().find(|voter| self.is_lost(status, voter, now));
        if let Some(old) = lost {
            let new = best_candidate(status, Some(old))?;
            return Some(VoterChange::Replace { old: old.clone(), new });
        }
        if let Some(old) = status.members.voters.iter().find(|voter| is_retiring(status, voter)) {
            if let Some(new) = best_candidate(status, None) {
                return Some(VoterChange::Replace { old: old.clone(), new });
            }
            let may_shrink = status.members.voters.len() > status.wanted;
            return may_shrink.then(|| VoterChange::Remove(old.clone()));
        }
        if status.members.voters.len() < status.wanted {
            return best_candidate(status, None).map(VoterChange::Add);
        }
        None
    }

    fn update_missing(&mut self, status: &VoterSetStatus<'_>, now: Timestamp) {
        let is_living = |name: &InstanceName| status.living.iter().any(|p| p.name == *name);
        let members = status.members.voters.union(&status.members.learners);
        let missing: Vec<InstanceName> = members.filter(|m| !is_living(m)).cloned().collect();
        self.missing_since.retain(|name, _| missing.contains(name));
        for name in missing {
            self.missing_since.entry(name).or_insert(now);
        }
    }

    /// Returns whether a member is lost: it is missing, and either it has been for
    /// [`VOTER_LOST_AFTER`] or a live instance with another incarnation has its address.
    fn is_lost(&self, status: &VoterSetStatus<'_>, name: &InstanceName, now: Timestamp) -> bool {
        let Some(since) = self.missing_since.get(name) else {
            return false;
        };
        let has_successor = status
            .living
            .iter()
            .any(|other| other.name != *name && address_of(&other.name) == address_of(name));
        has_successor || now.since(*since) >= VOTER_LOST_AFTER
    }
}

fn is_retiring(status: &VoterSetStatus<'_>, name: &InstanceName) -> bool {
    let presence = status.living.iter().find(|presence| presence.name == *name);
    presence.is_some_and(|presence| status.retiring.contains(&presence.node))
}

/// Returns the best instance to become a voter: one at the address of the voter `replaces`, or else
/// one in the data centre with the fewest voters. Returns `None` if no live instance is eligible.
fn best_candidate(
    status: &VoterSetStatus<'_>,
    replaces: Option<&InstanceName>,
) -> Option<InstanceName> {
    let is_free = |presence: &&Presence| {
        !status.members.voters.contains(&presence.name)
            && !status.retiring.contains(&presence.node)
            && !presence.leaving
    };
    let data_centre_of = |name: &InstanceName| {
        let presence = status.living.iter().find(|presence| presence.name == *name);
        presence.map(|presence| presence.data_centre.clone())
    };
    let voters_in_data_centre = |presence: &Presence| {
        let voters = status.members.voters.iter().filter(|voter| Some(*voter) != replaces);
        voters.filter(|v| data_centre_of(v).as_ref() == Some(&presence.data_centre)).count()
    };
    let has_other_address =
        |presence: &Presence| replaces.map(address_of) != Some(address_of(&presence.name));
    let free = status.living.iter().filter(is_free);
    let best =
        free.min_by_key(|p| (has_other_address(p), voters_in_data_centre(p), p.name.clone()));
    best.map(|presence| presence.name.clone())
}

/// Returns whether no live instance of a node is among the given members of the group.
pub fn is_emptied(members: &[InstanceName], living: &[Presence], node: &str) -> bool {
    let of_node = living.iter().filter(|presence| &*presence.node == node);
    !of_node.into_iter().any(|presence| members.contains(&presence.name))
}

#[cfg(test)]
mod tests;
