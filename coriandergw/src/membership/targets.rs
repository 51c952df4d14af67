//! Chooses the members that an instance probes and the helpers that probe for it.
//!
//! The members of a data centre form a ring ordered by name. Each instance probes its next few
//! successors, so the number of its connections stays bounded as the data centre grows.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Member;
use crate::membership::MemberState;
use crate::membership::Members;

/// The number of successors in its data centre that an instance probes.
const SUCCESSORS: usize = 4;

impl Members {
    /// Returns the relay of a data centre: its alive instance with the lowest name.
    pub fn relay(&self, data_centre: &DataCentre) -> Option<&InstanceName> {
        let is_candidate = |(_, member): &(&InstanceName, &Member)| {
            member.accepts_work() && member.data_centre == *data_centre
        };
        let other = self.members.iter().find(is_candidate).map(|(name, _)| name);
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
        let is_extra_target = |(name, member): &(&InstanceName, &Member)| {
            // A suspicion that too few instances share is verified by a probe of this instance.
            self.needs_evidence(member) || (is_relay && self.is_remote_relay(name, member))
        };
        targets.extend(self.members.iter().filter(is_extra_target).map(|(name, _)| name.clone()));
        // A member declared dead may have restarted without knowing this instance.
        let dead = self.members.iter().filter(|(_, member)| member.state == MemberState::Dead);
        targets.extend(dead.map(|(name, _)| name.clone()).choose(rng));
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns the next members after this instance in the ring of its data centre.
    fn successors(&self) -> Vec<InstanceName> {
        let is_live_local = |(_, member): &(&InstanceName, &Member)| {
            member.data_centre == self.data_centre && member.state != MemberState::Dead
        };
        let local = self.members.iter().filter(is_live_local).map(|(name, _)| name);
        let (mut ring, wrapped): (Vec<_>, Vec<_>) = local.partition(|name| **name > self.name);
        ring.extend(wrapped);
        ring.into_iter().take(SUCCESSORS).cloned().collect()
    }

    /// Returns whether a member is the relay of another data centre, or any member of another data
    /// centre that has no relay.
    fn is_remote_relay(&self, name: &InstanceName, member: &Member) -> bool {
        member.data_centre != self.data_centre
            && self.relay(&member.data_centre).is_none_or(|relay| relay == name)
    }

    /// Returns up to `count` random members that can probe `target` for this instance: from its own
    /// data centre, or from any other if its own has no candidate.
    pub(super) fn helpers<R>(
        &self,
        target: &InstanceName,
        count: usize,
        rng: &mut R,
    ) -> Vec<InstanceName>
    where
        R: Rng,
    {
        let is_candidate =
            |(name, member): &(&InstanceName, &Member)| *name != target && member.accepts_work();
        let (local, remote): (Vec<_>, Vec<_>) = self
            .members
            .iter()
            .filter(is_candidate)
            .partition(|(_, member)| member.data_centre == self.data_centre);
        let candidates = if local.is_empty() { remote } else { local };
        candidates.choose_multiple(rng, count).map(|(name, _)| (*name).clone()).collect()
    }
}
