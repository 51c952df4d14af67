//! What the control leader knows of the instances during one term.

use std::collections::BTreeSet;

use crate::clock::Timestamp;
use crate::control::CommandKind;
use crate::control::Forget;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::control::Published;
use crate::control::SetState;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::leases::generated::InstanceLag;
use crate::leases::generated::Renewal;
use crate::leases::leader::moves::PlanState;
use crate::leases::lease_table::LeaseTable;

/// How long a dead instance without partitions stays registered.
const FORGET_AFTER_MS: u64 = 24 * 60 * 60 * 1_000;

/// One term as the control leader.
pub(super) struct LeaderTerm {
    pub(super) term: u64,
    pub(super) fencing: u64,
    pub(super) leases: LeaseTable,
    /// Partitions that their homes were asked to release, with the home's index.
    pub(super) asked: BTreeSet<(u32, PartitionId)>,
    /// Partitions that their homes released, with the home's index.
    pub(super) released: BTreeSet<(u32, PartitionId)>,
    pub(super) notified_revision: Revision,
    /// The state in which nothing is to be moved, so that the table is not looked through again.
    pub(super) settled_plan: Option<PlanState>,
}

/// Renews the lease of the present incarnation of an instance that is not dead.
pub(super) fn renew_one(
    tenure: &mut LeaderTerm,
    published: &Published,
    name: &InstanceName,
    renewal: &Renewal,
    now: Timestamp,
) -> bool {
    let Some(instance) = published.instances().get(name) else {
        return false;
    };
    let is_present = instance.incarnation == renewal.incarnation;
    if !is_present || instance.state == InstanceState::Dead {
        return false;
    }
    let applied = Revision(renewal.revision);
    let newest = published.revision();
    let renewed = tenure.leases.renew(name, renewal.incarnation, applied, newest, now);
    if renewed && renewal.leaving {
        tenure.leases.set_leaving(name, renewal.incarnation);
    }
    renewed
}

/// Returns the command that brings the state of an instance up to date, if one is due.
pub(super) fn due_state(
    tenure: &mut LeaderTerm,
    published: &Published,
    instance: &Instance,
    now: Timestamp,
    wall_ms: u64,
) -> Option<CommandKind> {
    let name = &instance.name;
    if instance.state == InstanceState::Dead {
        let is_old = wall_ms.saturating_sub(instance.since_wall_ms) > FORGET_AFTER_MS;
        if !is_old || published.table().held_by(instance.index).next().is_some() {
            return None;
        }
        let forget = Forget { fencing: tenure.fencing, name: name.to_string() };
        return Some(CommandKind::Forget(forget));
    }
    tenure.leases.observe(name, instance.incarnation, now);
    let state = if tenure.leases.revoke_if_expired(name, instance.incarnation, now) {
        InstanceState::Dead
    } else {
        let lease = tenure.leases.record(name, instance.incarnation)?;
        (lease.leaving && instance.state == InstanceState::Alive)
            .then_some(InstanceState::Leaving)?
    };
    Some(CommandKind::SetState(SetState {
        fencing: tenure.fencing,
        name: name.to_string(),
        incarnation: instance.incarnation,
        state: state.into(),
        wall_ms,
    }))
}

pub(super) fn lag(
    tenure: &LeaderTerm,
    instance: &Instance,
    newest: Revision,
    now: Timestamp,
) -> InstanceLag {
    let lease = tenure.leases.record(&instance.name, instance.incarnation);
    let millis = |at: Timestamp| now.since(at).as_millis() as u64;
    let behind_since = lease.and_then(|lease| lease.outdated_since(newest));
    InstanceLag {
        name: instance.name.to_string(),
        revision: lease.map_or(0, |lease| lease.revision.0),
        behind_ms: behind_since.map_or(0, |at| millis(at).max(1)),
        renewed_ms_ago: lease.and_then(|lease| lease.renewed_at).map_or(u64::MAX, millis),
    }
}
