//! The control leader's table of leases.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::ids::Revision;
use crate::leases::LEASE_DURATION;
use crate::leases::MAX_CLOCK_DRIFT;

/// How long the leader treats a lease as valid after a renewal.
const LEADER_LEASE: Duration = LEASE_DURATION.saturating_add(MAX_CLOCK_DRIFT);

/// The leader's record of one incarnation of an instance.
#[derive(Debug, Clone)]
pub(super) struct LeaseRecord {
    /// The time from which the lease has certainly expired on the instance.
    expires: Timestamp,
    /// Whether renewals are refused, because the instance is being declared dead.
    revoked: bool,
    /// The time of the last renewal; `None` if there was none in this term.
    pub(super) renewed_at: Option<Timestamp>,
    /// The applied revision that the instance last reported.
    pub(super) revision: Revision,
    /// The time since which the reported revision has been behind the leader's; `None` if it is
    /// not.
    behind_since: Option<Timestamp>,
    /// Whether the instance asked to leave.
    pub(super) leaving: bool,
}

impl LeaseRecord {
    /// Returns the time since which the instance has been behind `newest`, or `None` if it is not.
    /// If it was up to date at its last renewal, this is the time of that renewal.
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
    /// Creates the table of a leader whose term starts at `now`. Leases that a former leader
    /// granted may still be valid and are not in the table.
    pub(super) fn new(now: Timestamp) -> Self {
        Self { started_at: now, leases: BTreeMap::new() }
    }

    /// Returns whether all leases that a former leader granted have expired.
    pub(super) fn former_leases_expired(&self, now: Timestamp) -> bool {
        now >= self.started_at + LEADER_LEASE
    }

    /// Adds an incarnation if it is not in the table. Its lease expires after a full lease
    /// duration, so that it has time to renew.
    pub(super) fn observe(&mut self, name: &InstanceName, incarnation: u64, now: Timestamp) {
        let leases = self.leases.entry(name.clone()).or_default();
        leases.entry(incarnation).or_insert_with(|| LeaseRecord {
            expires: now + LEADER_LEASE,
            revoked: false,
            renewed_at: None,
            revision: Revision(0),
            behind_since: None,
            leaving: false,
        });
    }

    /// Extends a lease, unless the incarnation is being declared dead; returns false in that case.
    /// `revision` is the instance's applied revision, and `newest` is the leader's revision.
    pub(super) fn renew(
        &mut self,
        name: &InstanceName,
        incarnation: u64,
        revision: Revision,
        newest: Revision,
        now: Timestamp,
    ) -> bool {
        self.observe(name, incarnation, now);
        let Some(lease) = self.record_mut(name, incarnation).filter(|lease| !lease.revoked) else {
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

    /// Records that an instance asked to leave.
    pub(super) fn set_leaving(&mut self, name: &InstanceName, incarnation: u64) {
        if let Some(lease) = self.record_mut(name, incarnation) {
            lease.leaving = true;
        }
    }

    /// Returns the record of an incarnation, if it is in the table.
    pub(super) fn record(&self, name: &InstanceName, incarnation: u64) -> Option<&LeaseRecord> {
        self.leases.get(name)?.get(&incarnation)
    }

    fn record_mut(&mut self, name: &InstanceName, incarnation: u64) -> Option<&mut LeaseRecord> {
        self.leases.get_mut(name)?.get_mut(&incarnation)
    }

    /// Refuses further renewals if the lease has expired. Returns whether renewals are refused.
    pub(super) fn revoke_if_expired(
        &mut self,
        name: &InstanceName,
        incarnation: u64,
        now: Timestamp,
    ) -> bool {
        let former_leases_expired = self.former_leases_expired(now);
        let Some(lease) = self.record_mut(name, incarnation) else {
            return false;
        };
        lease.revoked |= former_leases_expired && now >= lease.expires;
        lease.revoked
    }

    /// Returns whether the leases of all incarnations before `incarnation` have expired.
    pub(super) fn earlier_incarnations_expired(
        &self,
        name: &InstanceName,
        incarnation: u64,
        now: Timestamp,
    ) -> bool {
        let expired = |leases: &BTreeMap<u64, LeaseRecord>| {
            leases.range(..incarnation).all(|(_, lease)| now >= lease.expires)
        };
        self.former_leases_expired(now) && self.leases.get(name).is_none_or(expired)
    }

    /// Removes the records of incarnations that have a successor and whose leases have expired.
    pub(super) fn drop_superseded(&mut self, now: Timestamp) {
        for leases in self.leases.values_mut() {
            let newest = leases.keys().next_back().copied();
            leases.retain(|number, lease| Some(*number) == newest || now < lease.expires);
        }
    }

    /// Returns the instances that renewed within the last [`LEASE_DURATION`].
    pub(super) fn recently_renewed(&self, now: Timestamp) -> impl Iterator<Item = &InstanceName> {
        let is_recent = move |lease: &LeaseRecord| {
            lease.renewed_at.is_some_and(|at| now.since(at) < LEASE_DURATION)
        };
        let names = self.leases.iter();
        names.filter(move |(_, leases)| leases.values().any(is_recent)).map(|(name, _)| name)
    }
}
