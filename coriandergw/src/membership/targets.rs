//! Chooses the members that an instance probes, and those that help it.
//!
//! The members of a data centre form a ring in the order of their names. Each instance probes its
//! next few successors, so that the connections of an instance stay few as the data centre grows.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Members;

/// The successors in its data centre that an instance probes.
const SUCCESSORS: usize = 4;

impl Members {
    /// Returns the relay of a data centre: the instance that answers and has the lowest name.
    pub fn relay(&self, data_centre: &DataCentre) -> Option<&InstanceName> {
        let is_fit = |(_, member): &(&InstanceName, &Member)| {
            member.accepts_work() && member.data_centre == *data_centre
        };
        let other = self.members.iter().find(is_fit).map(|(name, _)| name);
        let own = Some(&self.name).filter(|_| self.data_centre == *data_centre && !self.leaving);
        other.into_iter().chain(own).min()
    }

    /// Returns whether this instance is the relay of its data centre.
    pub(super) fn is_relay(&self) -> bool {
        self.relay(&self.data_centre) == Some(&self.name)
    }

    /// Returns the members that this instance probes.
    pub(super) fn targets<R>(&self, rng: &mut R) -> Vec<InstanceName>
    where
        R: Rng,
    {
        let mut targets = self.successors();
        let is_relay = self.is_relay();
        let is_target = |(name, member): &(&InstanceName, &Member)| {
            // Whoever holds a member for suspect on too little evidence finds out itself.
            self.needs_evidence(member) || (is_relay && self.is_far_relay(name, member))
        };
        targets.extend(self.members.iter().filter(is_target).map(|(name, _)| name.clone()));
        // One that is held for dead may have returned without knowing this instance.
        let dead = self.members.iter().filter(|(_, member)| member.state == MemberState::Dead);
        targets.extend(dead.map(|(name, _)| name.clone()).choose(rng));
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns the next members after this instance in the ring of its data centre.
    fn successors(&self) -> Vec<InstanceName> {
        let is_near = |(_, member): &(&InstanceName, &Member)| {
            member.data_centre == self.data_centre && member.state != MemberState::Dead
        };
        let near = self.members.iter().filter(is_near).map(|(name, _)| name);
        let (mut ring, before): (Vec<_>, Vec<_>) = near.partition(|name| **name > self.name);
        ring.extend(before);
        ring.into_iter().take(SUCCESSORS).cloned().collect()
    }

    /// Returns whether a member elsewhere is the relay there, or none there is.
    fn is_far_relay(&self, name: &InstanceName, member: &Member) -> bool {
        member.data_centre != self.data_centre
            && self.relay(&member.data_centre).is_none_or(|relay| relay == name)
    }

    /// Returns some members that can probe `target` for this instance: of its own data centre, or
    /// where that has no other, of any.
    pub(super) fn helpers<R>(
        &self,
        target: &InstanceName,
        count: usize,
        rng: &mut R,
    ) -> Vec<InstanceName>
    where
        R: Rng,
    {
        let is_fit =
            |(name, member): &(&InstanceName, &Member)| *name != target && member.accepts_work();
        let (near, far): (Vec<_>, Vec<_>) = self
            .members
            .iter()
            .filter(is_fit)
            .partition(|(_, member)| member.data_centre == self.data_centre);
        let fit = if near.is_empty() { far } else { near };
        fit.choose_multiple(rng, count).map(|(name, _)| (*name).clone()).collect()
    }
}
