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
use crate::leases::CHUNK_MAX_BYTES;
use crate::leases::generated::Grant;
use crate::leases::generated::Poke;
use crate::leases::generated::RelayRenewal;
use crate::leases::generated::Renewal;
use crate::leases::generated::StatusAnswer;
use crate::leases::generated::request::Kind;
use crate::leases::leader::leader_term::LeaderTerm;
use crate::leases::leader::leader_term::due_command;
use crate::leases::leader::leader_term::instance_lag;
use crate::leases::leader::leader_term::renew_lease;
use crate::leases::lease_table::LeaseTable;
use crate::leases::messages::encode_request;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::node::LogNode;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::transport;
use crate::transport::Transport;

/// The interval at which the control leader checks leadership, leases and partition moves.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

mod leader_term;
mod moves;

/// Reports whether this instance leads the control group.
pub trait Leadership: Send + Sync {
    /// Returns the term in which this instance leads the control group at `now`, or `None` if it
    /// does not lead.
    ///
    /// Must return `None` from the time at which another instance may become the leader.
    fn term(&self, now: Timestamp) -> Option<u64>;
}

impl Leadership for LogNode {
    fn term(&self, now: Timestamp) -> Option<u64> {
        let leadership = self.leadership(CONTROL_GROUP)?.borrow().clone();
        // The lease expires before another voter can become the leader, even if this process was
        // suspended in the meantime.
        let leads = leadership.is_leader && now < self.lease_until(CONTROL_GROUP);
        leads.then_some(leadership.term)
    }
}

/// The control leader service of a store instance. It is idle while another instance leads.
pub(super) struct LeaderService {
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    state: SharedControlState,
    leadership: Arc<dyn Leadership>,
    leader_term: Mutex<Option<LeaderTerm>>,
}

impl LeaderService {
    /// Creates the service, which does nothing until [`LeaderService::run`] is called.
    pub(super) fn new(
        cx: Context,
        transport: Arc<dyn Transport>,
        log: Arc<dyn ReplicatedLog>,
        state: SharedControlState,
        leadership: Arc<dyn Leadership>,
    ) -> Self {
        Self { cx, transport, log, state, leadership, leader_term: Mutex::default() }
    }

    /// Returns the control state of this store instance.
    pub(super) fn state(&self) -> &SharedControlState {
        &self.state
    }

    /// Runs the service until the task is aborted.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            self.tick().await;
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    async fn tick(&self) {
        if !self.follow_leadership().await {
            return;
        }
        self.reconcile_states().await;
        if let Some((plan, against)) = self.plan() {
            self.assign(&plan.assign, against).await;
            self.release(plan.release).await;
        }
        self.notify_renewers();
    }

    fn with_leader_term<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut LeaderTerm, Timestamp) -> T,
    {
        let mut leader_term = self.leader_term.lock().expect("not poisoned");
        let now = self.cx.clock.now();
        let leader_term = leader_term.as_mut()?;
        (self.leadership.term(now) == Some(leader_term.term)).then(|| act(leader_term, now))
    }

    /// Takes or gives up control when the leadership of the control group changes. Returns whether
    /// this instance is the control leader.
    async fn follow_leadership(&self) -> bool {
        let term = self.leadership.term(self.cx.clock.now());
        let known = self
            .leader_term
            .lock()
            .expect("not poisoned")
            .as_ref()
            .map(|leader_term| leader_term.term);
        if term == known {
            return term.is_some();
        }
        if known.is_some() {
            *self.leader_term.lock().expect("not poisoned") = None;
            self.cx.events.record(
                EventNumber::ControlLost,
                Subject::default(),
                "this instance is no longer the control leader",
            );
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
        *self.leader_term.lock().expect("not poisoned") = Some(LeaderTerm {
            term,
            fencing,
            leases: LeaseTable::new(now),
            release_requested: BTreeSet::new(),
            released: BTreeSet::new(),
            notified_revision: Revision(0),
            empty_plan_basis: None,
        });
        let subject = Subject { epoch: Some(term), ..Subject::default() };
        let message = format!("this instance is the control leader, with fencing number {fencing}");
        self.cx.events.record(EventNumber::ControlTaken, subject, message);
        true
    }

    async fn propose(&self, command: CommandKind) -> Result<u64, Refusal> {
        let answer = self.log.propose(CONTROL_GROUP, command.encode_command()).await;
        let answer = answer
            .map_err(|cause| Refusal::may_have_run(ResultCode::NoQuorum, cause.to_string()))?;
        decode_answer(&answer)
    }

    /// Returns the fencing number if this instance is the control leader.
    pub(super) fn fencing(&self) -> Option<FencingNumber> {
        self.with_leader_term(|leader_term, _| FencingNumber(leader_term.fencing))
    }

    /// Renews the lease of one instance. Returns `None` if this instance is not the control leader.
    pub(super) fn renew(&self, from: &InstanceName, renewal: &Renewal) -> Option<Grant> {
        self.with_leader_term(|leader_term, now| {
            let state = self.state.read().expect("not poisoned");
            let mut grant = base_grant(state.published(), leader_term.fencing);
            if !renew_lease(leader_term, state.published(), from, renewal, now) {
                grant.refused = ResultCode::StaleIncarnation.number().into();
                return grant;
            }
            let deltas = state.replica().deltas_after(Revision(renewal.revision), CHUNK_MAX_BYTES);
            grant.needs_full = deltas.is_none();
            grant.deltas = deltas.unwrap_or_default();
            grant
        })
    }

    /// Renews the leases of a relay and its members. Returns `None` if this instance is not the
    /// control leader.
    pub(super) fn renew_all(&self, from: &InstanceName, renewal: &RelayRenewal) -> Option<Grant> {
        let mut grant = self.renew(from, renewal.own.as_ref()?)?;
        let refused = self.with_leader_term(|leader_term, now| {
            let state = self.state.read().expect("not poisoned");
            let published = state.published();
            let refused = renewal.members.iter().filter(|member| {
                let instance = published.instance_at(member.index);
                let granted =
                    instance.zip(member.renewal.as_ref()).is_some_and(|(instance, renewal)| {
                        renew_lease(leader_term, published, &instance.name, renewal, now)
                    });
                !granted
            });
            refused.map(|member| member.index).collect()
        });
        grant.refused_members = refused?;
        Some(grant)
    }

    /// Declares instances with expired leases dead, marks those that asked to leave as leaving, and
    /// removes those that have been dead for more than 24 h and have no partitions.
    async fn reconcile_states(&self) {
        for command in self.due_commands().unwrap_or_default() {
            let (number, name, what) = match &command {
                CommandKind::SetState(set) if set.state() == InstanceState::Leaving => {
                    (EventNumber::InstanceLeaving, set.name.clone(), "instance is leaving")
                }
                CommandKind::SetState(set) => {
                    (EventNumber::InstanceDead, set.name.clone(), "lease expired without renewal")
                }
                CommandKind::Forget(forget) => (
                    EventNumber::InstanceForgotten,
                    forget.name.clone(),
                    "dead instance removed from the control state",
                ),
                _ => continue,
            };
            if self.propose(command).await.is_ok() {
                let subject = Subject { peer: Some(name), ..Subject::default() };
                self.cx.events.record(number, subject, what);
            }
        }
    }

    fn due_commands(&self) -> Option<Vec<CommandKind>> {
        let wall_ms = self.cx.clock.wall().0;
        self.with_leader_term(|leader_term, now| {
            let state = self.state.read().expect("not poisoned");
            let instances = state.published().instances().values();
            let due = instances
                .filter_map(|instance| {
                    due_command(leader_term, state.published(), instance, now, wall_ms)
                })
                .collect();
            leader_term.leases.drop_superseded(now);
            due
        })
    }

    /// Notifies the instances that renew with the leader directly that there is a new revision.
    fn notify_renewers(&self) {
        let names = self.with_leader_term(|leader_term, now| {
            let revision = self.state.read().expect("not poisoned").published().revision();
            if revision == leader_term.notified_revision {
                return Vec::new();
            }
            leader_term.notified_revision = revision;
            leader_term.leases.recently_renewed(now).cloned().collect()
        });
        for name in names.unwrap_or_default() {
            let poke = encode_request(Kind::Poke(Poke {}));
            self.transport.send(&name, transport::Kind::Control, poke);
        }
    }

    /// Returns the leader's view of all instances, or `None` if this instance is not the control
    /// leader.
    pub(super) fn status(&self) -> Option<StatusAnswer> {
        self.with_leader_term(|leader_term, now| {
            let state = self.state.read().expect("not poisoned");
            let instances = state.published().instances().values();
            let newest = state.published().revision();
            StatusAnswer {
                leader: self.cx.instance.to_string(),
                term: leader_term.term,
                fencing: leader_term.fencing,
                revision: newest.0,
                instances: instances
                    .map(|instance| instance_lag(leader_term, instance, newest, now))
                    .collect(),
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
