//! The control leader: grants leases, declares instances dead and moves partitions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::control::CommandKind;
use crate::control::InstanceState;
use crate::control::Published;
use crate::control::SharedControlState;
use crate::control::TakeControl;
use crate::control::decode_answer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
use crate::ids::Revision;
use crate::leases::PART_MAX_BYTES;
use crate::leases::generated::Grant;
use crate::leases::generated::Poke;
use crate::leases::generated::RelayRenewal;
use crate::leases::generated::Renewal;
use crate::leases::generated::StatusAnswer;
use crate::leases::generated::request::Kind;
use crate::leases::leader::leader_term::LeaderTerm;
use crate::leases::leader::leader_term::due_state;
use crate::leases::leader::leader_term::lag;
use crate::leases::leader::leader_term::renew_one;
use crate::leases::lease_table::LeaseTable;
use crate::leases::messages::encode_request;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::node::LogNode;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::transport;
use crate::transport::Transport;

/// The time between two looks at what is to be done.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

mod leader_term;
mod moves;

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

/// The control leader's part of a store instance; idle while another instance leads.
pub(super) struct LeaderService {
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    state: SharedControlState,
    leadership: Arc<dyn Leadership>,
    tenure: Mutex<Option<LeaderTerm>>,
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
        F: FnOnce(&mut LeaderTerm, Timestamp) -> T,
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
        *self.tenure.lock().expect("not poisoned") = Some(LeaderTerm {
            term,
            fencing,
            leases: LeaseTable::new(now),
            asked: BTreeSet::new(),
            released: BTreeSet::new(),
            notified_revision: Revision(0),
            settled_plan: None,
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

    /// Tells the instances that renew directly about a newer revision.
    fn poke_renewers(&self) {
        let names = self.with_tenure(|tenure, now| {
            let revision = self.state.read().expect("not poisoned").published().revision();
            if revision == tenure.notified_revision {
                return Vec::new();
            }
            tenure.notified_revision = revision;
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
