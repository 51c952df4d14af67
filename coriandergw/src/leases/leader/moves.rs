//! Decides which partitions move and carries the moves out.

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

/// What a plan depends on beside the partitions themselves.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct PlanState {
    revision: Revision,
    targets: BTreeSet<u32>,
    /// The instances whose earlier incarnations can act no more.
    lapsed: BTreeSet<u32>,
    asked: usize,
    released: usize,
}

impl LeaderService {
    /// Returns the plan and the revision of the table that it was made against; nothing if there
    /// is nothing to move.
    pub(super) fn plan(&self) -> Option<(Plan, Revision)> {
        self.with_tenure(|tenure, now| {
            let state = self.state.read().expect("not poisoned");
            let published = state.published();
            drop_moved(tenure, published);
            let plan_state = plan_state(tenure, published, now);
            if tenure.settled_plan.as_ref() == Some(&plan_state) {
                return None;
            }
            let mut plan = make_plan(&PlanInput {
                table: published.table(),
                targets: &plan_state.targets,
                leaving: &in_state(published, InstanceState::Leaving),
                free: &free_partitions(tenure, published, now),
            });
            // A home that did not answer may have released all the same, so it is asked again.
            for (holder, partition) in tenure.asked.difference(&tenure.released) {
                let partitions = plan.release.entry(*holder).or_default();
                if !partitions.contains(partition) {
                    partitions.push(*partition);
                }
            }
            let is_empty = plan.assign.is_empty() && plan.release.is_empty();
            tenure.settled_plan = is_empty.then_some(plan_state);
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

    /// Asks homes to release partitions; the next tick gives what was released to others.
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
        self.with_tenure(|tenure, _| tenure.asked.extend(pairs.iter().copied()));
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
        self.with_tenure(|tenure, _| {
            tenure.released.extend(released);
            tenure.asked.retain(|pair| !busy.contains(pair));
        });
    }
}

fn in_state(published: &Published, state: InstanceState) -> BTreeSet<u32> {
    let instances = published.instances().values();
    instances.filter(|instance| instance.state == state).map(|instance| instance.index).collect()
}

/// Returns the instances that take partitions: while former leases may hold all that are alive,
/// later those that renewed.
fn targets(tenure: &LeaderTerm, published: &Published, now: Timestamp) -> BTreeSet<u32> {
    let mut targets = in_state(published, InstanceState::Alive);
    if tenure.leases.is_settled(now) {
        targets.retain(|index| {
            published.instance_at(*index).is_some_and(|instance| {
                let lease = tenure.leases.record(&instance.name, instance.incarnation);
                lease.is_some_and(|lease| lease.renewed_at.is_some())
            })
        });
    }
    targets
}

fn plan_state(tenure: &LeaderTerm, published: &Published, now: Timestamp) -> PlanState {
    let lapsed = published
        .instances()
        .values()
        .filter(|instance| tenure.leases.earlier_lapsed(&instance.name, instance.incarnation, now));
    PlanState {
        revision: published.revision(),
        targets: targets(tenure, published, now),
        lapsed: lapsed.map(|instance| instance.index).collect(),
        asked: tenure.asked.len(),
        released: tenure.released.len(),
    }
}

/// Returns the partitions that no instance may act for any more.
fn free_partitions(
    tenure: &LeaderTerm,
    published: &Published,
    now: Timestamp,
) -> BTreeSet<PartitionId> {
    let is_free = |partition: PartitionId, row: crate::control::PartitionAssignment| {
        let Some(instance) = published.instance_at(row.holder) else {
            return true;
        };
        if instance.has(row) {
            return instance.state == InstanceState::Dead
                || tenure.released.contains(&(row.holder, partition));
        }
        tenure.leases.earlier_lapsed(&instance.name, instance.incarnation, now)
    };
    let rows = published.table().iter();
    rows.filter(|(partition, row)| is_free(*partition, *row))
        .map(|(partition, _)| partition)
        .collect()
}

/// Drops the notes on released partitions that have moved since.
fn drop_moved(tenure: &mut LeaderTerm, published: &Published) {
    let table = published.table();
    let is_still_there =
        |(holder, partition): &(u32, PartitionId)| table.assignment(*partition).holder == *holder;
    tenure.asked.retain(is_still_there);
    tenure.released.retain(is_still_there);
}

fn to_move((holder, partitions): (&u32, &Vec<PartitionId>)) -> Move {
    let partitions = partitions.iter().map(|partition| u32::from(partition.0)).collect();
    Move { holder: *holder, partitions }
}
