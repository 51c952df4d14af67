//! The lease of one instance and its copy of the control state.

use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;

use crate::clock::Timestamp;
use crate::control::Delta;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::control::Published;
use crate::control::PublishedError;
use crate::control::Replica;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::leases::CHUNK_MAX_BYTES;
use crate::leases::HeldVersion;
use crate::leases::Home;
use crate::leases::LEASE_DURATION;
use crate::leases::generated::Grant;
use crate::leases::generated::Renewal;

/// The result of processing a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum GrantResult {
    /// The lease is renewed.
    Renewed {
        /// The applied revision has increased.
        advanced: bool,
        /// The newest revision of the grant is applied.
        complete: bool,
    },
    /// The lease is renewed, but the deltas are missing or unusable: the full state must be
    /// fetched.
    NeedsFull,
    /// The leader refused the incarnation, so the instance must register again.
    MustRegister,
    /// The grant comes from a former leader or is for an earlier incarnation.
    Ignored,
}

/// A released partition: this instance agreed to accept no more work for it.
#[derive(Debug, Clone, Copy)]
struct ReleaseMark {
    epoch: Epoch,
    fencing: u64,
}

/// The state that one instance keeps about its lease.
pub(super) struct Holder {
    name: InstanceName,
    replica: Replica,
    incarnation: Option<u64>,
    /// The revision that was persisted before the restart, which may not have been applied yet.
    /// Older states are rejected.
    min_revision: Revision,
    fencing: u64,
    lease_until: Timestamp,
    confirmed_at: Option<Timestamp>,
    released: BTreeMap<PartitionId, ReleaseMark>,
    /// The number of changes to the held partitions that are visible neither in the revision nor in
    /// the lease.
    changes: u64,
    leaving: bool,
    freshness_limit: Duration,
}

impl Holder {
    /// Creates the state of an instance that had persisted `min_revision` before it started.
    pub(super) fn new(
        name: InstanceName,
        min_revision: Revision,
        freshness_limit: Duration,
    ) -> Self {
        Self {
            name,
            replica: Replica::default(),
            incarnation: None,
            min_revision,
            fencing: 0,
            lease_until: Timestamp(0),
            confirmed_at: None,
            released: BTreeMap::new(),
            changes: 0,
            leaving: false,
            freshness_limit,
        }
    }

    /// Returns this instance's copy of the control state.
    pub(super) fn published(&self) -> &Published {
        self.replica.published()
    }

    /// Returns the applied revision, or `min_revision` while the copy is older. The result never
    /// decreases, not even across a restart.
    pub(super) fn revision(&self) -> Revision {
        self.published().revision().max(self.min_revision)
    }

    /// Returns whether the instance is registered, that is, has an incarnation.
    pub(super) fn is_registered(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Sets the incarnation, which starts without a lease; `None` if the instance must register.
    pub(super) fn set_incarnation(&mut self, incarnation: Option<u64>) {
        self.incarnation = incarnation;
        self.lease_until = Timestamp(0);
        self.released.clear();
        self.changes += 1;
    }

    /// Requests, from the next renewal on, that all partitions are moved to other instances.
    pub(super) fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns the renewal to send, or `None` before registration. It states the revision of the
    /// copy and not `min_revision`, because the deltas in the grant must follow the copy.
    pub(super) fn renewal(&self) -> Option<Renewal> {
        Some(Renewal {
            incarnation: self.incarnation?,
            revision: self.published().revision().0,
            leaving: self.leaving,
        })
    }

    /// Processes the grant for a renewal that `incarnation` sent at `sent_at`.
    pub(super) fn on_grant(
        &mut self,
        sent_at: Timestamp,
        incarnation: u64,
        grant: &Grant,
    ) -> GrantResult {
        if self.incarnation != Some(incarnation) || grant.fencing < self.fencing {
            return GrantResult::Ignored;
        }
        if grant.refused != 0 {
            return GrantResult::MustRegister;
        }
        self.fencing = grant.fencing;
        self.lease_until = self.lease_until.max(sent_at + LEASE_DURATION);
        let before = self.published().revision();
        if grant.needs_full || self.apply_deltas(grant).is_err() || self.digest_differs(grant) {
            return GrantResult::NeedsFull;
        }
        self.confirm(sent_at, grant);
        let applied = self.published().revision();
        GrantResult::Renewed { advanced: applied > before, complete: applied.0 >= grant.revision }
    }

    fn apply_deltas(&mut self, grant: &Grant) -> Result<(), PublishedError> {
        for encoded in &grant.deltas {
            let delta = Delta::decode(encoded.clone())
                .map_err(|cause| PublishedError::Malformed { reason: cause.to_string() })?;
            if delta.revision > self.published().revision().0 {
                self.replica.apply(&delta)?;
            }
        }
        Ok(())
    }

    fn digest_differs(&self, grant: &Grant) -> bool {
        let published = self.published();
        published.revision().0 == grant.revision && published.digest() != grant.digest
    }

    fn confirm(&mut self, sent_at: Timestamp, grant: &Grant) {
        let applied = self.published().revision();
        if applied.0 < grant.revision || applied < self.min_revision {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        // Every move of a former leader is applied by now or will be refused because of its fencing
        // number, so a partition that was released for it and has not moved is held again.
        let table = self.replica.published().table();
        let before = self.released.len();
        self.released.retain(|partition, mark| {
            mark.fencing == grant.fencing && table.assignment(*partition).epoch == mark.epoch
        });
        self.changes += u64::from(self.released.len() != before);
    }

    /// Replaces the copy by a full state, unless that is older than the applied revision. Returns
    /// whether the copy was replaced.
    pub(super) fn install(&mut self, published: Published) -> bool {
        let is_older = published.revision() < self.revision();
        if !is_older {
            self.replica = Replica::new(published);
            self.changes += 1;
        }
        !is_older
    }

    /// Stops accepting work for partitions that are to move. Returns false if the request comes
    /// from a former leader.
    pub(super) fn release(&mut self, fencing: u64, partitions: &[PartitionId]) -> bool {
        if fencing < self.fencing {
            return false;
        }
        self.fencing = fencing;
        self.changes += 1;
        for partition in partitions {
            let epoch = self.published().table().assignment(*partition).epoch;
            self.released.insert(*partition, ReleaseMark { epoch, fencing });
        }
        true
    }

    /// Accepts work again for released partitions that are too busy to move.
    pub(super) fn cancel_release(&mut self, partitions: &[PartitionId]) {
        self.changes += 1;
        for partition in partitions {
            self.released.remove(partition);
        }
    }

    /// Returns this instance's record if the copy contains it with the current incarnation.
    pub(super) fn own_record(&self) -> Option<&Instance> {
        let own = self.published().instances().get(&self.name)?;
        (Some(own.incarnation) == self.incarnation).then_some(own)
    }

    /// Returns whether the lease is valid at `now`.
    pub(super) fn has_lease(&self, now: Timestamp) -> bool {
        now < self.lease_until
    }

    /// Returns whether the copy was confirmed as current within the freshness limit.
    pub(super) fn is_fresh(&self, now: Timestamp) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) < self.freshness_limit)
    }

    /// Returns the partition's epoch if this instance may act as its home at `now`.
    pub(super) fn held(&self, partition: PartitionId, now: Timestamp) -> Option<Epoch> {
        let own = self.own_record().filter(|_| self.has_lease(now))?;
        self.unreleased_epoch(own, partition)
    }

    fn unreleased_epoch(&self, own: &Instance, partition: PartitionId) -> Option<Epoch> {
        let assignment = self.published().table().assignment(partition);
        let is_released =
            self.released.get(&partition).is_some_and(|mark| mark.epoch == assignment.epoch);
        (own.holds(assignment) && !is_released).then_some(assignment.epoch)
    }

    /// Returns the partitions for which [`Holder::held`] returns an epoch, with that epoch.
    pub(super) fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        let Some(own) = self.own_record().filter(|_| self.has_lease(now)) else {
            return Vec::new();
        };
        let assigned = self.published().table().held_by(own.index);
        assigned.filter(|(partition, _)| self.unreleased_epoch(own, *partition).is_some()).collect()
    }

    /// Returns the version of the set of held partitions.
    pub(super) fn held_version(&self, now: Timestamp) -> HeldVersion {
        HeldVersion {
            revision: self.published().revision(),
            has_lease: self.has_lease(now),
            changes: self.changes,
        }
    }

    /// Returns the home of a partition, or `None` if it has none or its home is dead.
    pub(super) fn home(&self, partition: PartitionId) -> Option<Home> {
        let assignment = self.published().table().assignment(partition);
        let instance = self.published().instance_at(assignment.holder)?;
        if instance.state == InstanceState::Dead {
            return None;
        }
        Some(Home {
            instance: instance.name.clone(),
            address: instance.caller_address,
            epoch: assignment.epoch,
        })
    }

    /// Returns the grant that a relay passes on to a member at `revision`: the leader's grant with
    /// deltas from this copy.
    pub(super) fn grant_from(&self, upstream: &Grant, revision: Revision) -> Grant {
        let deltas = self.replica.deltas_after(revision, CHUNK_MAX_BYTES);
        Grant {
            fencing: upstream.fencing,
            revision: upstream.revision,
            digest: upstream.digest,
            needs_full: deltas.is_none(),
            deltas: deltas.unwrap_or_default(),
            ..Grant::default()
        }
    }
}
