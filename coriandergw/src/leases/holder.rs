//! What one instance holds: its copy of the control state and its lease.

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
use crate::leases::HeldVersion;
use crate::leases::Home;
use crate::leases::LEASE;
use crate::leases::PART_MAX_BYTES;
use crate::leases::generated::Grant;
use crate::leases::generated::Renewal;

/// What a grant led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum GrantResult {
    /// The lease is renewed.
    Renewed {
        /// The applied revision rose.
        advanced: bool,
        /// The newest revision is applied.
        complete: bool,
    },
    /// The lease is renewed, but the full state must be fetched.
    NeedsFull,
    /// The instance must register again.
    MustRegister,
    /// The grant comes from a former leader or cannot be used.
    Ignored,
}

/// A partition that this instance agreed to take no more work for.
#[derive(Debug, Clone, Copy)]
struct ReleaseMark {
    epoch: Epoch,
    fencing: u64,
}

/// The state of one instance towards the control leader.
pub(super) struct Holder {
    name: InstanceName,
    replica: Replica,
    incarnation: Option<u64>,
    /// The revision applied before the restart; no older state is taken.
    floor: Revision,
    fencing: u64,
    lease_until: Timestamp,
    confirmed_at: Option<Timestamp>,
    released: BTreeMap<PartitionId, ReleaseMark>,
    /// Counts the changes of the held partitions that the revision and the lease do not show.
    changes: u64,
    leaving: bool,
    freshness_limit: Duration,
}

impl Holder {
    /// Creates the state of an instance that had applied `floor` before it started.
    pub(super) fn new(name: InstanceName, floor: Revision, freshness_limit: Duration) -> Self {
        Self {
            name,
            replica: Replica::default(),
            incarnation: None,
            floor,
            fencing: 0,
            lease_until: Timestamp(0),
            confirmed_at: None,
            released: BTreeMap::new(),
            changes: 0,
            leaving: false,
            freshness_limit,
        }
    }

    /// Returns the copy of the control state.
    pub(super) fn published(&self) -> &Published {
        self.replica.published()
    }

    /// Returns the applied revision; it never decreases, also over a restart.
    pub(super) fn revision(&self) -> Revision {
        self.published().revision().max(self.floor)
    }

    /// Returns whether the instance has registered.
    pub(super) fn is_registered(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Starts a new incarnation, which has no lease yet.
    pub(super) fn set_incarnation(&mut self, incarnation: Option<u64>) {
        self.incarnation = incarnation;
        self.lease_until = Timestamp(0);
        self.released.clear();
        self.changes += 1;
    }

    /// Asks for all partitions to be moved away.
    pub(super) fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns the renewal to send. The revision is that of the copy, so that deltas follow it.
    pub(super) fn renewal(&self) -> Option<Renewal> {
        Some(Renewal {
            incarnation: self.incarnation?,
            revision: self.published().revision().0,
            leaving: self.leaving,
        })
    }

    /// Takes the answer to a renewal that was sent at `sent_at` as `incarnation`.
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
        self.lease_until = self.lease_until.max(sent_at + LEASE);
        let before = self.published().revision();
        if grant.needs_full || self.apply_deltas(grant).is_err() || self.differs_from(grant) {
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

    fn differs_from(&self, grant: &Grant) -> bool {
        let published = self.published();
        published.revision().0 == grant.revision && published.digest() != grant.digest
    }

    fn confirm(&mut self, sent_at: Timestamp, grant: &Grant) {
        let applied = self.published().revision();
        if applied.0 < grant.revision || applied < self.floor {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        // A former leader's moves are applied by now or will never be.
        let table = self.replica.published().table();
        let before = self.released.len();
        self.released.retain(|partition, mark| {
            mark.fencing == grant.fencing && table.assignment(*partition).epoch == mark.epoch
        });
        self.changes += u64::from(self.released.len() != before);
    }

    /// Replaces the copy by a full state, unless that is older than what was applied.
    pub(super) fn install(&mut self, published: Published) -> bool {
        let is_older = published.revision() < self.revision();
        if !is_older {
            self.replica = Replica::new(published);
            self.changes += 1;
        }
        !is_older
    }

    /// Takes no more work for partitions that are to move.
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

    /// Takes work again for partitions that were released and cannot move yet.
    pub(super) fn keep(&mut self, partitions: &[PartitionId]) {
        self.changes += 1;
        for partition in partitions {
            self.released.remove(partition);
        }
    }

    /// Returns this instance as registered, where the copy has it in its present incarnation.
    pub(super) fn own(&self) -> Option<&Instance> {
        let own = self.published().instances().get(&self.name)?;
        (Some(own.incarnation) == self.incarnation).then_some(own)
    }

    /// Returns whether the lease holds at `now`.
    pub(super) fn has_lease(&self, now: Timestamp) -> bool {
        now < self.lease_until
    }

    /// Returns whether the copy was confirmed as current within the freshness limit.
    pub(super) fn is_fresh(&self, now: Timestamp) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) < self.freshness_limit)
    }

    /// Returns the epoch if this instance may act as the partition's home at `now`.
    pub(super) fn held(&self, partition: PartitionId, now: Timestamp) -> Option<Epoch> {
        let own = self.own().filter(|_| self.has_lease(now))?;
        self.held_as(own, partition)
    }

    fn held_as(&self, own: &Instance, partition: PartitionId) -> Option<Epoch> {
        let tenure = self.published().table().assignment(partition);
        let is_released =
            self.released.get(&partition).is_some_and(|mark| mark.epoch == tenure.epoch);
        (own.has(tenure) && !is_released).then_some(tenure.epoch)
    }

    /// Returns the partitions that this instance holds at `now`, with their epochs.
    pub(super) fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        let Some(own) = self.own().filter(|_| self.has_lease(now)) else {
            return Vec::new();
        };
        let given = self.published().table().held_by(own.index);
        given.filter(|(partition, _)| self.held_as(own, *partition).is_some()).collect()
    }

    /// Returns what tells whether the held partitions may have changed.
    pub(super) fn held_version(&self, now: Timestamp) -> HeldVersion {
        HeldVersion {
            revision: self.published().revision(),
            has_lease: self.has_lease(now),
            changes: self.changes,
        }
    }

    /// Returns the home of a partition, unless it is dead.
    pub(super) fn home(&self, partition: PartitionId) -> Option<Home> {
        let tenure = self.published().table().assignment(partition);
        let instance = self.published().instance_at(tenure.holder)?;
        if instance.state == InstanceState::Dead {
            return None;
        }
        Some(Home {
            instance: instance.name.clone(),
            address: instance.caller_address,
            epoch: tenure.epoch,
        })
    }

    /// Returns the grant for an instance that is at `revision`, as this copy can give it.
    pub(super) fn grant_from(&self, upstream: &Grant, revision: Revision) -> Grant {
        let deltas = self.replica.deltas_after(revision, PART_MAX_BYTES);
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
