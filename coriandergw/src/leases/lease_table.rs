//! The leases as the control leader counts them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::ids::Revision;
use crate::leases::LEASE;
use crate::leases::MAX_CLOCK_DRIFT;

/// How long the leader waits before it counts a lease as ended.
const LEADER_LEASE: Duration = LEASE.saturating_add(MAX_CLOCK_DRIFT);

/// What the leader knows of one incarnation of an instance.
#[derive(Debug, Clone)]
pub(super) struct LeaseRecord {
    /// When the lease has certainly ended at the holder.
    expires: Timestamp,
    /// No more renewals are granted, since the instance is being declared dead.
    condemned: bool,
    /// When the instance last renewed, if it did.
    pub(super) renewed_at: Option<Timestamp>,
    /// The applied revision as last reported.
    pub(super) revision: Revision,
    /// Since when the instance has been behind the leader, if it is.
    behind_since: Option<Timestamp>,
    /// Whether the instance asked to leave.
    pub(super) leaving: bool,
}

impl LeaseRecord {
    /// Returns since when the instance has been behind `newest`, if it is. An instance that has
    /// not renewed since counts as behind from its last renewal.
    pub(super) fn outdated_since(&self, newest: Revision) -> Option<Timestamp> {
        let since = self.behind_since.or(self.renewed_at);
        since.filter(|_| self.revision < newest)
    }
}

/// The leases of all instances, by incarnation.
#[derive(Debug)]
pub(super) struct LeaseTable {
    started_at: Timestamp,
    leases: BTreeMap<InstanceName, BTreeMap<u64, LeaseRecord>>,
}

impl LeaseTable {
    /// Creates the table of a leader that starts at `now`, when any lease may still hold.
    pub(super) fn new(now: Timestamp) -> Self {
        Self { started_at: now, leases: BTreeMap::new() }
    }

    /// Returns whether leases that a former leader granted have ended.
    pub(super) fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.started_at + LEADER_LEASE
    }

    /// Notes that an incarnation exists, so that it has a full lease's time to renew.
    pub(super) fn observe(&mut self, name: &InstanceName, incarnation: u64, now: Timestamp) {
        let leases = self.leases.entry(name.clone()).or_default();
        leases.entry(incarnation).or_insert_with(|| LeaseRecord {
            expires: now + LEADER_LEASE,
            condemned: false,
            renewed_at: None,
            revision: Revision(0),
            behind_since: None,
            leaving: false,
        });
    }

    /// Extends a lease. Returns false if the incarnation is being declared dead.
    pub(super) fn renew(
        &mut self,
        name: &InstanceName,
        incarnation: u64,
        revision: Revision,
        newest: Revision,
        now: Timestamp,
    ) -> bool {
        self.observe(name, incarnation, now);
        let Some(lease) = self.record_mut(name, incarnation).filter(|lease| !lease.condemned)
        else {
            return false;
        };
        lease.expires = lease.expires.max(now + LEADER_LEASE);
        lease.renewed_at = Some(now);
        lease.revision = revision;
        lease.behind_since = match revision < newest {
            true => lease.behind_since.or(Some(now)),
            false => None,
        };
        true
    }

    /// Notes that an instance asked to leave.
    pub(super) fn set_leaving(&mut self, name: &InstanceName, incarnation: u64) {
        if let Some(lease) = self.record_mut(name, incarnation) {
            lease.leaving = true;
        }
    }

    /// Returns what is known of an incarnation.
    pub(super) fn record(&self, name: &InstanceName, incarnation: u64) -> Option<&LeaseRecord> {
        self.leases.get(name)?.get(&incarnation)
    }

    fn record_mut(&mut self, name: &InstanceName, incarnation: u64) -> Option<&mut LeaseRecord> {
        self.leases.get_mut(name)?.get_mut(&incarnation)
    }

    /// Refuses further renewals if the lease has ended. Returns whether it has.
    pub(super) fn revoke_if_expired(
        &mut self,
        name: &InstanceName,
        incarnation: u64,
        now: Timestamp,
    ) -> bool {
        let is_settled = self.is_settled(now);
        let Some(lease) = self.record_mut(name, incarnation) else {
            return false;
        };
        lease.condemned |= is_settled && now >= lease.expires;
        lease.condemned
    }

    /// Returns whether the leases of all incarnations before `incarnation` have ended.
    pub(super) fn earlier_lapsed(
        &self,
        name: &InstanceName,
        incarnation: u64,
        now: Timestamp,
    ) -> bool {
        let lapsed = |leases: &BTreeMap<u64, LeaseRecord>| {
            leases.range(..incarnation).all(|(_, lease)| now >= lease.expires)
        };
        self.is_settled(now) && self.leases.get(name).is_none_or(lapsed)
    }

    /// Drops what is known of incarnations whose leases ended and that were followed by others.
    pub(super) fn drop_superseded(&mut self, now: Timestamp) {
        for leases in self.leases.values_mut() {
            let newest = leases.keys().next_back().copied();
            leases.retain(|number, lease| Some(*number) == newest || now < lease.expires);
        }
    }

    /// Returns the instances that renewed within a lease's time.
    pub(super) fn renewed_lately(&self, now: Timestamp) -> impl Iterator<Item = &InstanceName> {
        let is_recent =
            move |lease: &LeaseRecord| lease.renewed_at.is_some_and(|at| now.since(at) < LEASE);
        let names = self.leases.iter();
        names.filter(move |(_, leases)| leases.values().any(is_recent)).map(|(name, _)| name)
    }
}
