//! The control leader: grants leases, declares instances dead and moves partitions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::control::CommandKind;
use crate::control::Forget;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::control::Move;
use crate::control::Published;
use crate::control::Reassign;
use crate::control::SetState;
use crate::control::SharedControlState;
use crate::control::TakeControl;
use crate::control::decode_answer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::leases::ANSWER_TIMEOUT;
use crate::leases::PART_MAX_BYTES;
use crate::leases::generated::Grant;
use crate::leases::generated::InstanceLag;
use crate::leases::generated::Poke;
use crate::leases::generated::RelayRenewal;
use crate::leases::generated::Release;
use crate::leases::generated::Released;
use crate::leases::generated::Renewal;
use crate::leases::generated::StatusAnswer;
use crate::leases::generated::request::Kind;
use crate::leases::lease_table::LeaseTable;
use crate::leases::messages;
use crate::leases::messages::encode_request;
use crate::leases::plan::ByInstance;
use crate::leases::plan::Plan;
use crate::leases::plan::PlanInput;
use crate::leases::plan::make_plan;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::node::LogNode;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::transport;
use crate::transport::Transport;

/// The time between two looks at what is to be done.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a dead instance without partitions stays registered.
const FORGET_AFTER_MS: u64 = 24 * 60 * 60 * 1_000;

/// Tells whether this instance leads the control group.
pub trait Leadership: Send + Sync {
    /// Returns the term in which this instance leads the control group at `now`, if it does.
    ///
    /// The answer must be `None` from the time at which another instance can lead.
    fn term(&self, now: Timestamp) -> Option<u64>;
}

impl Leadership for LogNode {
    fn term(&self, now: Timestamp) -> Option<u64> {
        let leadership = self.leadership(CONTROL_GROUP)?.borrow().clone();
        // The lease ends before another voter can lead, also where this process was stopped.
        let leads = leadership.is_leader && now < self.lease_until(CONTROL_GROUP);
        leads.then_some(leadership.term)
    }
}

/// One tenure as the control leader.
struct Tenure {
    term: u64,
    fencing: u64,
    leases: LeaseTable,
    /// Partitions that their homes were asked to release, with the home's index.
    asked: BTreeSet<(u32, PartitionId)>,
    /// Partitions that their homes released, with the home's index.
    released: BTreeSet<(u32, PartitionId)>,
    poked: Revision,
}

/// The control leader's part of a store instance; idle while another instance leads.
pub(super) struct LeaderService {
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    state: SharedControlState,
    leadership: Arc<dyn Leadership>,
    tenure: Mutex<Option<Tenure>>,
}

impl LeaderService {
    /// Creates the service; [`LeaderService::run`] makes it act.
    pub(super) fn new(
        cx: Context,
        transport: Arc<dyn Transport>,
        log: Arc<dyn ReplicatedLog>,
        state: SharedControlState,
        leadership: Arc<dyn Leadership>,
    ) -> Self {
        Self { cx, transport, log, state, leadership, tenure: Mutex::default() }
    }

    /// Returns the control state of this store instance.
    pub(super) fn state(&self) -> &SharedControlState {
        &self.state
    }

    /// Acts for as long as the process runs.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            self.tick().await;
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    async fn tick(&self) {
        if !self.take_or_lose_control().await {
            return;
        }
        self.reconcile_states().await;
        if let Some((plan, against)) = self.plan() {
            self.assign(&plan.assign, against).await;
            self.release(plan.release).await;
        }
        self.poke_renewers();
    }

    fn with_tenure<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut Tenure, Timestamp) -> T,
    {
        let mut tenure = self.tenure.lock().expect("not poisoned");
        let now = self.cx.clock.now();
        let tenure = tenure.as_mut()?;
        (self.leadership.term(now) == Some(tenure.term)).then(|| act(tenure, now))
    }

    /// Follows the leadership of the log. Returns whether this instance is the control leader.
    async fn take_or_lose_control(&self) -> bool {
        let term = self.leadership.term(self.cx.clock.now());
        let known = self.tenure.lock().expect("not poisoned").as_ref().map(|tenure| tenure.term);
        if term == known {
            return term.is_some();
        }
        if known.is_some() {
            *self.tenure.lock().expect("not poisoned") = None;
            self.cx.events.record(EventNumber::ControlLost, Subject::default(), "control lost");
        }
        match term {
            Some(term) => self.take_control(term).await,
            None => false,
        }
    }

    async fn take_control(&self, term: u64) -> bool {
        let instance = self.cx.instance.to_string();
        let take = CommandKind::TakeControl(TakeControl { instance, nonce: rand::random() });
        let Ok(fencing) = self.propose(take).await else {
            return false;
        };
        let now = self.cx.clock.now();
        if self.leadership.term(now) != Some(term) {
            return false;
        }
        *self.tenure.lock().expect("not poisoned") = Some(Tenure {
            term,
            fencing,
            leases: LeaseTable::new(now),
            asked: BTreeSet::new(),
            released: BTreeSet::new(),
            poked: Revision(0),
        });
        let subject = Subject { epoch: Some(term), ..Subject::default() };
        let message = format!("control taken with fencing number {fencing}");
        self.cx.events.record(EventNumber::ControlTaken, subject, message);
        true
    }

    async fn propose(&self, command: CommandKind) -> Result<u64, Refusal> {
        let answer = self.log.propose(CONTROL_GROUP, command.encode_command()).await;
        let answer = answer
            .map_err(|cause| Refusal::may_have_run(ResultCode::NoQuorum, cause.to_string()))?;
        decode_answer(&answer)
    }

    /// Returns the fencing number while this instance is the control leader.
    pub(super) fn fencing(&self) -> Option<FencingNumber> {
        self.with_tenure(|tenure, _| FencingNumber(tenure.fencing))
    }

    /// Renews one lease, or returns nothing where this instance does not lead.
    pub(super) fn renew(&self, from: &InstanceName, renewal: &Renewal) -> Option<Grant> {
        self.with_tenure(|tenure, now| {
            let state = self.state.read().expect("not poisoned");
            let mut grant = base_grant(state.published(), tenure.fencing);
            if !renew_one(tenure, state.published(), from, renewal, now) {
                grant.refused = ResultCode::StaleIncarnation.number().into();
                return grant;
            }
            let deltas = state.replica().deltas_after(Revision(renewal.revision), PART_MAX_BYTES);
            grant.needs_full = deltas.is_none();
            grant.deltas = deltas.unwrap_or_default();
            grant
        })
    }

    /// Renews the leases of a relay and its members.
    pub(super) fn renew_all(&self, from: &InstanceName, renewal: &RelayRenewal) -> Option<Grant> {
        let mut grant = self.renew(from, renewal.own.as_ref()?)?;
        let refused = self.with_tenure(|tenure, now| {
            let state = self.state.read().expect("not poisoned");
            let published = state.published();
            let refused = renewal.members.iter().filter(|member| {
                let instance = published.instance_at(member.index);
                let granted =
                    instance.zip(member.renewal.as_ref()).is_some_and(|(instance, renewal)| {
                        renew_one(tenure, published, &instance.name, renewal, now)
                    });
                !granted
            });
            refused.map(|member| member.index).collect()
        });
        grant.refused_members = refused?;
        Some(grant)
    }

    /// Declares instances dead whose leases ended and notes those that leave.
    async fn reconcile_states(&self) {
        for command in self.due_states().unwrap_or_default() {
            let (number, name, what) = match &command {
                CommandKind::SetState(set) if set.state() == InstanceState::Leaving => {
                    (EventNumber::InstanceLeaving, set.name.clone(), "instance is leaving")
                }
                CommandKind::SetState(set) => {
                    (EventNumber::InstanceDead, set.name.clone(), "lease ended without renewal")
                }
                CommandKind::Forget(forget) => {
                    (EventNumber::InstanceForgotten, forget.name.clone(), "instance forgotten")
                }
                _ => continue,
            };
            if self.propose(command).await.is_ok() {
                let subject = Subject { peer: Some(name), ..Subject::default() };
                self.cx.events.record(number, subject, what);
            }
        }
    }

    fn due_states(&self) -> Option<Vec<CommandKind>> {
        let wall_ms = self.cx.clock.wall().0;
        self.with_tenure(|tenure, now| {
            let state = self.state.read().expect("not poisoned");
            let instances = state.published().instances().values();
            let due = instances
                .filter_map(|instance| due_state(tenure, state.published(), instance, now, wall_ms))
                .collect();
            tenure.leases.drop_superseded(now);
            due
        })
    }

    /// Returns the plan and the revision of the table that it was made against.
    fn plan(&self) -> Option<(Plan, Revision)> {
        self.with_tenure(|tenure, now| {
            let state = self.state.read().expect("not poisoned");
            let published = state.published();
            drop_moved(tenure, published);
            let mut plan = make_plan(&PlanInput {
                table: published.table(),
                targets: &targets(tenure, published, now),
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
            (plan, state.table_revision())
        })
    }

    async fn assign(&self, assign: &ByInstance, against: Revision) {
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
    async fn release(&self, release: ByInstance) {
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

    /// Tells the instances that renew directly about a newer revision.
    fn poke_renewers(&self) {
        let names = self.with_tenure(|tenure, now| {
            let revision = self.state.read().expect("not poisoned").published().revision();
            if revision == tenure.poked {
                return Vec::new();
            }
            tenure.poked = revision;
            tenure.leases.renewed_lately(now).cloned().collect()
        });
        for name in names.unwrap_or_default() {
            let poke = encode_request(Kind::Poke(Poke {}));
            self.transport.send(&name, transport::Kind::Control, poke);
        }
    }

    /// Returns what the leader knows of all instances, or nothing where this one does not lead.
    pub(super) fn status(&self) -> Option<StatusAnswer> {
        self.with_tenure(|tenure, now| {
            let state = self.state.read().expect("not poisoned");
            let instances = state.published().instances().values();
            let newest = state.published().revision();
            StatusAnswer {
                leader: self.cx.instance.to_string(),
                term: tenure.term,
                fencing: tenure.fencing,
                revision: newest.0,
                instances: instances.map(|instance| lag(tenure, instance, newest, now)).collect(),
            }
        })
    }
}

fn base_grant(published: &Published, fencing: u64) -> Grant {
    Grant {
        fencing,
        revision: published.revision().0,
        digest: published.digest(),
        ..Grant::default()
    }
}

/// Renews the lease of the present incarnation of an instance that is not dead.
fn renew_one(
    tenure: &mut Tenure,
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
fn due_state(
    tenure: &mut Tenure,
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
    let state = if tenure.leases.condemn_if_lapsed(name, instance.incarnation, now) {
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

fn in_state(published: &Published, state: InstanceState) -> BTreeSet<u32> {
    let instances = published.instances().values();
    instances.filter(|instance| instance.state == state).map(|instance| instance.index).collect()
}

/// Returns the instances that take partitions: while former leases may hold all that are alive,
/// later those that renewed.
fn targets(tenure: &Tenure, published: &Published, now: Timestamp) -> BTreeSet<u32> {
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

/// Returns the partitions that no instance may act for any more.
fn free_partitions(
    tenure: &Tenure,
    published: &Published,
    now: Timestamp,
) -> BTreeSet<PartitionId> {
    let is_free = |partition: PartitionId, row: crate::control::Tenure| {
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
fn drop_moved(tenure: &mut Tenure, published: &Published) {
    let table = published.table();
    let is_still_there =
        |(holder, partition): &(u32, PartitionId)| table.tenure(*partition).holder == *holder;
    tenure.asked.retain(is_still_there);
    tenure.released.retain(is_still_there);
}

fn to_move((holder, partitions): (&u32, &Vec<PartitionId>)) -> Move {
    let partitions = partitions.iter().map(|partition| u32::from(partition.0)).collect();
    Move { holder: *holder, partitions }
}

fn lag(tenure: &Tenure, instance: &Instance, newest: Revision, now: Timestamp) -> InstanceLag {
    let lease = tenure.leases.record(&instance.name, instance.incarnation);
    let millis = |at: Timestamp| now.since(at).as_millis() as u64;
    let behind_since = lease.and_then(|lease| lease.behind_at(newest));
    InstanceLag {
        name: instance.name.to_string(),
        revision: lease.map_or(0, |lease| lease.revision.0),
        behind_ms: behind_since.map_or(0, |at| millis(at).max(1)),
        renewed_ms_ago: lease.and_then(|lease| lease.renewed_at).map_or(u64::MAX, millis),
    }
}
