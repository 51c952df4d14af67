//! The state that the control leader keeps in memory during one term.

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
use crate::leases::leader::moves::PlanBasis;
use crate::leases::lease_table::LeaseTable;

/// How long a dead instance without partitions stays registered, in milliseconds.
const FORGET_AFTER_MS: u64 = 24 * 60 * 60 * 1_000;

/// The state of one term as control leader.
pub(super) struct LeaderTerm {
    pub(super) term: u64,
    pub(super) fencing: u64,
    pub(super) leases: LeaseTable,
    /// The partitions whose homes were asked to release them, each with the index of its home. A
    /// partition stays in this set until it moves or its home reports that it is busy.
    pub(super) release_requested: BTreeSet<(u32, PartitionId)>,
    /// The partitions that their homes have released and that have not moved yet, each with the
    /// index of that home.
    pub(super) released: BTreeSet<(u32, PartitionId)>,
    pub(super) notified_revision: Revision,
    /// The input for which the last plan was empty. While it stays the same, no plan is computed.
    pub(super) empty_plan_basis: Option<PlanBasis>,
}

/// Renews the lease of an instance. Returns false if the incarnation is not the current one or the
/// instance is dead.
pub(super) fn renew_lease(
    leader_term: &mut LeaderTerm,
    published: &Published,
    name: &InstanceName,
    renewal: &Renewal,
    now: Timestamp,
) -> bool {
    let Some(instance) = published.instances().get(name) else {
        return false;
    };
    let is_current = instance.incarnation == renewal.incarnation;
    if !is_current || instance.state == InstanceState::Dead {
        return false;
    }
    let applied = Revision(renewal.revision);
    let newest = published.revision();
    let renewed = leader_term.leases.renew(name, renewal.incarnation, applied, newest, now);
    if renewed && renewal.leaving {
        leader_term.leases.set_leaving(name, renewal.incarnation);
    }
    renewed
}

/// Returns the command that updates the registered state of an instance, if one is due.
pub(super) fn due_command(
    leader_term: &mut LeaderTerm,
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
        let forget = Forget { fencing: leader_term.fencing, name: name.to_string() };
        return Some(CommandKind::Forget(forget));
    }
    leader_term.leases.observe(name, instance.incarnation, now);
    let state = if leader_term.leases.revoke_if_expired(name, instance.incarnation, now) {
        InstanceState::Dead
    } else {
        let lease = leader_term.leases.record(name, instance.incarnation)?;
        (lease.leaving && instance.state == InstanceState::Alive)
            .then_some(InstanceState::Leaving)?
    };
    Some(CommandKind::SetState(SetState {
        fencing: leader_term.fencing,
        name: name.to_string(),
        incarnation: instance.incarnation,
        state: state.into(),
        wall_ms,
    }))
}

pub(super) fn instance_lag(
    leader_term: &LeaderTerm,
    instance: &Instance,
    newest: Revision,
    now: Timestamp,
) -> InstanceLag {
    let lease = leader_term.leases.record(&instance.name, instance.incarnation);
    let millis = |at: Timestamp| now.since(at).as_millis() as u64;
    let behind_since = lease.and_then(|lease| lease.outdated_since(newest));
    InstanceLag {
        name: instance.name.to_string(),
        revision: lease.map_or(0, |lease| lease.revision.0),
        // 0 means up to date, so the minimum for an instance that is behind is 1.
        behind_ms: behind_since.map_or(0, |at| millis(at).max(1)),
        // `u64::MAX` means that the instance has not renewed in this term.
        renewed_ms_ago: lease.and_then(|lease| lease.renewed_at).map_or(u64::MAX, millis),
    }
}
