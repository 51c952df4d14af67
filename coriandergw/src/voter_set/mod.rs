//! Keeps a log group at its wanted number of voters without an operator.
//!
//! The leader of the group keeps its voter set: it adds voters up to the wanted number, replaces
//! those that are lost for long or lost their disk, and empties those that are to be retired. One
//! change at a time; each is a command of the group itself.

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

/// How long a voter may be missing before another instance takes its place. A restarted process is
/// back sooner; an instance that comes back later joins again as a spare.
pub const VOTER_LOST_AFTER: Duration = Duration::from_millis(2_000);

/// What the planner of a group decides on.
pub struct VoterSetStatus<'a> {
    /// The members in force.
    pub members: &'a Members,
    /// The living instances of the group's role.
    pub living: &'a [Presence],
    /// The nodes to be emptied.
    pub retiring: &'a [Arc<str>],
    /// The wanted number of voters.
    pub wanted: usize,
}

/// Remembers since when members have been missing.
#[derive(Debug, Default)]
pub struct VoterSetPlanner {
    missing_since: BTreeMap<InstanceName, Timestamp>,
}

impl VoterSetPlanner {
    /// Returns the next change that the group needs, if any.
    pub fn next_change(
        &mut self,
        seen: &VoterSetStatus<'_>,
        now: Timestamp,
    ) -> Option<VoterChange> {
        self.note_missing(seen, now);
        if let Some(Replacement { new, .. }) = &seen.members.replacement {
            return self.is_lost(seen, new, now).then(|| VoterChange::Remove(new.clone()));
        }
        let lost = seen.members.voters.iter().find(|voter| self.is_lost(seen, voter, now));
        if let Some(old) = lost {
            let new = candidate(seen, Some(old))?;
            return Some(VoterChange::Replace { old: old.clone(), new });
        }
        if let Some(old) = seen.members.voters.iter().find(|voter| is_retiring(seen, voter)) {
            if let Some(new) = candidate(seen, None) {
                return Some(VoterChange::Replace { old: old.clone(), new });
            }
            let may_shrink = seen.members.voters.len() > seen.wanted;
            return may_shrink.then(|| VoterChange::Remove(old.clone()));
        }
        if seen.members.voters.len() < seen.wanted {
            return candidate(seen, None).map(VoterChange::Add);
        }
        None
    }

    fn note_missing(&mut self, seen: &VoterSetStatus<'_>, now: Timestamp) {
        let is_living = |name: &InstanceName| seen.living.iter().any(|p| p.name == *name);
        let members = seen.members.voters.union(&seen.members.learners);
        let missing: Vec<InstanceName> = members.filter(|m| !is_living(m)).cloned().collect();
        self.missing_since.retain(|name, _| missing.contains(name));
        for name in missing {
            self.missing_since.entry(name).or_insert(now);
        }
    }

    /// Returns whether a member is gone: missing for long, or its address has a later incarnation.
    fn is_lost(&self, seen: &VoterSetStatus<'_>, name: &InstanceName, now: Timestamp) -> bool {
        let Some(since) = self.missing_since.get(name) else {
            return false;
        };
        let has_successor = seen
            .living
            .iter()
            .any(|other| other.name != *name && address_of(&other.name) == address_of(name));
        has_successor || now.since(*since) >= VOTER_LOST_AFTER
    }
}

fn is_retiring(seen: &VoterSetStatus<'_>, name: &InstanceName) -> bool {
    let presence = seen.living.iter().find(|presence| presence.name == *name);
    presence.is_some_and(|presence| seen.retiring.contains(&presence.node))
}

/// Returns the best instance to become a voter: at the address of the one that it replaces, else in
/// the data centre with the fewest voters.
fn candidate(seen: &VoterSetStatus<'_>, replaces: Option<&InstanceName>) -> Option<InstanceName> {
    let is_free = |presence: &&Presence| {
        !seen.members.voters.contains(&presence.name)
            && !seen.retiring.contains(&presence.node)
            && !presence.leaving
    };
    let data_centre_of = |name: &InstanceName| {
        let presence = seen.living.iter().find(|presence| presence.name == *name);
        presence.map(|presence| presence.data_centre.clone())
    };
    let crowding = |presence: &Presence| {
        let voters = seen.members.voters.iter().filter(|voter| Some(*voter) != replaces);
        voters.filter(|v| data_centre_of(v).as_ref() == Some(&presence.data_centre)).count()
    };
    let is_elsewhere =
        |presence: &Presence| replaces.map(address_of) != Some(address_of(&presence.name));
    let free = seen.living.iter().filter(is_free);
    let best = free.min_by_key(|p| (is_elsewhere(p), crowding(p), p.name.clone()));
    best.map(|presence| presence.name.clone())
}

/// Returns whether a node holds nothing of the group any more.
pub fn is_emptied(members: &[InstanceName], living: &[Presence], node: &str) -> bool {
    let of_node = living.iter().filter(|presence| &*presence.node == node);
    !of_node.into_iter().any(|presence| members.contains(&presence.name))
}

#[cfg(test)]
mod tests;
