//! Plans partition moves and carries them out.

use std::collections::BTreeSet;

use crate::clock::Timestamp;
use crate::control::CommandKind;
use crate::control::InstanceState;
use crate::control::Move;
use crate::control::Published;
use crate::control::Reassign;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::leases::ANSWER_TIMEOUT;
use crate::leases::generated::Release;
use crate::leases::generated::Released;
use crate::leases::generated::request::Kind;
use crate::leases::leader::LeaderService;
use crate::leases::leader::leader_term::LeaderTerm;
use crate::leases::messages;
use crate::leases::messages::encode_request;
use crate::leases::plan::ByInstance;
use crate::leases::plan::Plan;
use crate::leases::plan::PlanInput;
use crate::leases::plan::make_plan;
use crate::transport;

/// The inputs of a plan. If none of them has changed, neither has the plan.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct PlanBasis {
    revision: Revision,
    targets: BTreeSet<u32>,
    /// The indexes of the instances whose earlier incarnations have no valid lease.
    expired: BTreeSet<u32>,
    /// The number of partitions whose release was requested.
    release_requested: usize,
    /// The number of released partitions that have not moved yet.
    released: usize,
}

impl LeaderService {
    /// Returns the plan and the revision of the partition table that it is based on, or `None` if
    /// nothing is to be moved.
    pub(super) fn plan(&self) -> Option<(Plan, Revision)> {
        self.with_leader_term(|leader_term, now| {
            let state = self.state.read().expect("not poisoned");
            let published = state.published();
            forget_moved(leader_term, published);
            let plan_basis = plan_basis(leader_term, published, now);
            if leader_term.empty_plan_basis.as_ref() == Some(&plan_basis) {
                return None;
            }
            let mut plan = make_plan(&PlanInput {
                table: published.table(),
                targets: &plan_basis.targets,
                leaving: &indexes_in_state(published, InstanceState::Leaving),
                free: &free_partitions(leader_term, published, now),
            });
            // A home whose answer was lost may have released the partitions and accept no more work
            // for them, so it is asked again until it answers.
            for (holder, partition) in
                leader_term.release_requested.difference(&leader_term.released)
            {
                let partitions = plan.release.entry(*holder).or_default();
                if !partitions.contains(partition) {
                    partitions.push(*partition);
                }
            }
            let is_empty = plan.assign.is_empty() && plan.release.is_empty();
            leader_term.empty_plan_basis = is_empty.then_some(plan_basis);
            (!is_empty).then(|| (plan, state.table_revision()))
        })
        .flatten()
    }

    pub(super) async fn assign(&self, assign: &ByInstance, against: Revision) {
        if assign.is_empty() {
            return;
        }
        let Some(fencing) = self.fencing() else {
            return;
        };
        let moves: Vec<Move> = assign.iter().map(to_move).collect();
        let count: usize = assign.values().map(Vec::len).sum();
        let reassign = Reassign { fencing: fencing.0, against: against.0, moves };
        let command = CommandKind::Reassign(reassign);
        if let Ok(epoch) = self.propose(command).await {
            let subject = Subject { epoch: Some(epoch), ..Subject::default() };
            let message = format!("{count} partitions moved");
            self.cx.events.record(EventNumber::PartitionsMoved, subject, message);
        }
    }

    /// Asks homes to release partitions. The next tick assigns the released ones to other
    /// instances.
    pub(super) async fn release(&self, release: ByInstance) {
        let Some(fencing) = self.fencing() else {
            return;
        };
        let calls = release.into_iter().filter_map(|(index, partitions)| {
            let state = self.state.read().expect("not poisoned");
            let name = state.published().instance_at(index)?.name.clone();
            Some(self.release_from(fencing, index, name, partitions))
        });
        futures_util::future::join_all(calls.collect::<Vec<_>>()).await;
    }

    async fn release_from(
        &self,
        fencing: FencingNumber,
        index: u32,
        name: InstanceName,
        partitions: Vec<PartitionId>,
    ) {
        let pairs: Vec<_> = partitions.iter().map(|partition| (index, *partition)).collect();
        self.with_leader_term(|leader_term, _| {
            leader_term.release_requested.extend(pairs.iter().copied())
        });
        let raw = partitions.iter().map(|partition| u32::from(partition.0)).collect();
        let request =
            encode_request(Kind::Release(Release { fencing: fencing.0, partitions: raw }));
        let kind = transport::Kind::Control;
        let answer = self.transport.call(&name, kind, request, ANSWER_TIMEOUT).await;
        let answer =
            answer.ok().and_then(|answer| messages::decode_answer::<Released>(answer).ok());
        let Some(answer) = answer else {
            return;
        };
        let is_busy =
            |(_, partition): &(u32, PartitionId)| answer.busy.contains(&partition.0.into());
        let (busy, released): (Vec<_>, Vec<_>) = pairs.into_iter().partition(is_busy);
        self.with_leader_term(|leader_term, _| {
            leader_term.released.extend(released);
            leader_term.release_requested.retain(|pair| !busy.contains(pair));
        });
    }
}

fn indexes_in_state(published: &Published, state: InstanceState) -> BTreeSet<u32> {
    let instances = published.instances().values();
    instances.filter(|instance| instance.state == state).map(|instance| instance.index).collect()
}

/// Returns the indexes of the instances that partitions are assigned to: those that are alive, and,
/// once the leases that a former leader granted have expired, only those that renewed with this
/// one.
fn targets(leader_term: &LeaderTerm, published: &Published, now: Timestamp) -> BTreeSet<u32> {
    let mut targets = indexes_in_state(published, InstanceState::Alive);
    if leader_term.leases.former_leases_expired(now) {
        targets.retain(|index| {
            published.instance_at(*index).is_some_and(|instance| {
                let lease = leader_term.leases.record(&instance.name, instance.incarnation);
                lease.is_some_and(|lease| lease.renewed_at.is_some())
            })
        });
    }
    targets
}

fn plan_basis(leader_term: &LeaderTerm, published: &Published, now: Timestamp) -> PlanBasis {
    let expired = published.instances().values().filter(|instance| {
        leader_term.leases.earlier_incarnations_expired(&instance.name, instance.incarnation, now)
    });
    PlanBasis {
        revision: published.revision(),
        targets: targets(leader_term, published, now),
        expired: expired.map(|instance| instance.index).collect(),
        release_requested: leader_term.release_requested.len(),
        released: leader_term.released.len(),
    }
}

/// Returns the partitions that no instance holds and none can hold without a new assignment.
fn free_partitions(
    leader_term: &LeaderTerm,
    published: &Published,
    now: Timestamp,
) -> BTreeSet<PartitionId> {
    let is_free = |partition: PartitionId, row: crate::control::PartitionAssignment| {
        let Some(instance) = published.instance_at(row.holder) else {
            return true;
        };
        if instance.holds(row) {
            return instance.state == InstanceState::Dead
                || leader_term.released.contains(&(row.holder, partition));
        }
        leader_term.leases.earlier_incarnations_expired(&instance.name, instance.incarnation, now)
    };
    let rows = published.table().iter();
    rows.filter(|(partition, row)| is_free(*partition, *row))
        .map(|(partition, _)| partition)
        .collect()
}

/// Forgets release requests and releases of partitions that have since moved.
fn forget_moved(leader_term: &mut LeaderTerm, published: &Published) {
    let table = published.table();
    let is_still_there =
        |(holder, partition): &(u32, PartitionId)| table.assignment(*partition).holder == *holder;
    leader_term.release_requested.retain(is_still_there);
    leader_term.released.retain(is_still_there);
}

fn to_move((holder, partitions): (&u32, &Vec<PartitionId>)) -> Move {
    let partitions = partitions.iter().map(|partition| u32::from(partition.0)).collect();
    Move { holder: *holder, partitions }
}
