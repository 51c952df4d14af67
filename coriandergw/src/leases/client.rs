//! The control client, which keeps the lease and the configuration of one instance current.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::control::CommandKind;
use crate::control::Instance;
use crate::control::Published;
use crate::control::Register;
use crate::control::decode_answer as decode_command_answer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::leases::HandoverGate;
use crate::leases::HeldVersion;
use crate::leases::Home;
use crate::leases::Partitions;
use crate::leases::RENEWAL_INTERVAL;
use crate::leases::Registration;
use crate::leases::client::relaying::is_alive_in_same_data_centre;
use crate::leases::generated::Grant;
use crate::leases::generated::Poke;
use crate::leases::generated::Release;
use crate::leases::generated::request::Kind;
use crate::leases::handler::ControlHandler;
use crate::leases::holder::GrantResult;
use crate::leases::holder::Holder;
use crate::leases::messages::encode_request;
use crate::leases::relay::RenewalQueue;
use crate::leases::revision_file::RevisionFile;
use crate::log_groups::ReplicatedLog;
use crate::membership::Liveness;
use crate::transport;
use crate::transport::Transport;

mod changes;
mod fetch;
mod leader;
mod relaying;

/// The minimum interval between two renewals, which also applies when a renewal is triggered early.
const RENEWAL_MIN_INTERVAL: Duration = Duration::from_millis(20);

/// The control client of one instance: its lease, its partitions and its configuration.
pub struct ControlClient {
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    registration: Registration,
    revision_file: Option<RevisionFile>,
    persisted_revision: Mutex<Revision>,
    holder: Mutex<Holder>,
    /// The renewals of other instances that were sent to this one as their relay.
    renewal_queue: RenewalQueue,
    relay_misses: AtomicU32,
    known_leader: Mutex<Option<InstanceName>>,
    /// The last leader that did not answer. It is asked again only if another instance names it as
    /// the leader.
    unresponsive_leader: Mutex<Option<InstanceName>>,
    local_handler: OnceLock<Arc<ControlHandler>>,
    handover_gate: OnceLock<Arc<dyn HandoverGate>>,
    liveness: OnceLock<Arc<dyn Liveness>>,
    wake: Notify,
    applied: Notify,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl ControlClient {
    pub(super) fn new(
        cx: Context,
        transport: Arc<dyn Transport>,
        log: Arc<dyn ReplicatedLog>,
        registration: Registration,
        revision_file: Option<RevisionFile>,
        min_revision: Revision,
    ) -> Self {
        let holder = Holder::new(cx.instance.clone(), min_revision, registration.freshness_limit);
        let holder = Mutex::new(holder);
        Self {
            cx,
            transport,
            log,
            registration,
            revision_file,
            persisted_revision: Mutex::new(min_revision),
            holder,
            renewal_queue: RenewalQueue::default(),
            relay_misses: AtomicU32::new(0),
            known_leader: Mutex::default(),
            unresponsive_leader: Mutex::default(),
            local_handler: OnceLock::new(),
            handover_gate: OnceLock::new(),
            liveness: OnceLock::new(),
            wake: Notify::new(),
            applied: Notify::new(),
            tasks: Mutex::default(),
        }
    }

    pub(super) fn set_local_handler(&self, handler: Arc<ControlHandler>) {
        // Called once, by `start`.
        let _ = self.local_handler.set(handler);
    }

    pub(super) fn add_task(&self, task: JoinHandle<()>) {
        self.tasks.lock().expect("not poisoned").push(task);
    }

    /// Stops the control client and the leader service at once, as the end of the process would.
    pub fn stop(&self) {
        for task in self.tasks.lock().expect("not poisoned").drain(..) {
            task.abort();
        }
    }

    /// Asks the leader to move all partitions to other instances.
    pub fn leave(&self) {
        self.holder.lock().expect("not poisoned").set_leaving();
        self.wake();
    }

    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    pub(super) fn known_leader(&self) -> Option<InstanceName> {
        self.known_leader.lock().expect("not poisoned").clone()
    }

    pub(super) fn with_published<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Published) -> T,
    {
        read(self.holder.lock().expect("not poisoned").published())
    }

    pub(super) async fn run(self: Arc<Self>) {
        let mut was_fresh = false;
        loop {
            self.renew_once().await;
            was_fresh = self.record_freshness(was_fresh);
            tokio::time::sleep(RENEWAL_MIN_INTERVAL).await;
            let remaining = RENEWAL_INTERVAL - RENEWAL_MIN_INTERVAL;
            // Ends early if a renewal was triggered; otherwise the next renewal is due.
            let _ = tokio::time::timeout(remaining, self.wake.notified()).await;
        }
    }

    fn record_freshness(&self, was_fresh: bool) -> bool {
        let is_fresh = self.is_fresh(self.cx.clock.now());
        let (number, message) = match is_fresh {
            true => (EventNumber::ConfirmationRegained, "the configuration is confirmed"),
            false => (EventNumber::ConfirmationLost, "the configuration cannot be confirmed"),
        };
        if is_fresh != was_fresh {
            self.cx.events.record(number, Subject::default(), message);
        }
        is_fresh
    }

    async fn register(&self) {
        let register = Register {
            name: self.cx.instance.to_string(),
            data_centre: self.cx.data_centre.to_string(),
            caller_address: self.registration.caller_address.to_string(),
            peer_address: self.registration.peer_address.to_string(),
            session: rand::random(),
            wall_ms: self.cx.clock.wall().0,
        };
        let command = CommandKind::Register(register).encode_command();
        // If the answer is lost, registering again with a new session is harmless: the instance
        // does not hold any partitions yet.
        let Ok(answer) = self.log.propose(CONTROL_GROUP, command).await else {
            return;
        };
        if let Ok(incarnation) = decode_command_answer(&answer) {
            self.holder.lock().expect("not poisoned").set_incarnation(Some(incarnation));
            let subject = Subject { epoch: Some(incarnation), ..Subject::default() };
            let message = format!("registered as incarnation {incarnation}");
            self.cx.events.record(EventNumber::InstanceRegistered, subject, message);
        }
    }

    async fn renew_once(&self) {
        if !self.holder.lock().expect("not poisoned").is_registered() {
            self.register().await;
        }
        let Some(own) = self.holder.lock().expect("not poisoned").renewal() else {
            return;
        };
        let pending = self.renewal_queue.take();
        let sent_at = self.cx.clock.now();
        let Some((sender, grant)) = self.send_renewal(own, &pending).await else {
            return;
        };
        self.apply_grant(sent_at, own.incarnation, &sender, &grant).await;
        self.answer_members(pending, &grant);
    }

    async fn apply_grant(
        &self,
        sent_at: Timestamp,
        incarnation: u64,
        sender: &InstanceName,
        grant: &Grant,
    ) {
        if !self.persist_revision(Revision(grant.revision)).await {
            return;
        }
        let result =
            self.holder.lock().expect("not poisoned").on_grant(sent_at, incarnation, grant);
        match result {
            GrantResult::Renewed { advanced, complete } => {
                if advanced {
                    self.on_advanced();
                }
                if !complete {
                    self.wake();
                }
            }
            GrantResult::NeedsFull => self.fetch_full_state(sender).await,
            GrantResult::MustRegister => {
                self.holder.lock().expect("not poisoned").set_incarnation(None);
                self.wake();
            }
            GrantResult::Ignored => {}
        }
    }

    /// Persists a revision, which must be done before it is applied. Returns false if writing the
    /// file failed.
    async fn persist_revision(&self, revision: Revision) -> bool {
        let persisted = *self.persisted_revision.lock().expect("not poisoned");
        let Some(file) = self.revision_file.clone().filter(|_| revision > persisted) else {
            return true;
        };
        let result = tokio::task::spawn_blocking(move || file.write(revision)).await;
        match result.map_err(std::io::Error::other).and_then(|result| result) {
            Ok(()) => {
                *self.persisted_revision.lock().expect("not poisoned") = revision;
                true
            }
            Err(cause) => {
                let number = EventNumber::RevisionFileFailed;
                self.cx.events.record(number, Subject::default(), cause.to_string());
                false
            }
        }
    }

    fn on_advanced(&self) {
        self.applied.notify_waiters();
        let holder = self.holder.lock().expect("not poisoned");
        for instance in holder.published().instances().values() {
            self.transport.learn(&instance.name, instance.peer_address);
        }
        if self.relay_of(holder.published()).as_ref() != Some(&self.cx.instance) {
            return;
        }
        let is_member = |instance: &&Arc<Instance>| {
            is_alive_in_same_data_centre(instance, &self.cx) && instance.name != self.cx.instance
        };
        for member in holder.published().instances().values().filter(is_member) {
            let poke = encode_request(Kind::Poke(Poke {}));
            self.transport.send(&member.name, transport::Kind::Control, poke);
        }
    }

    /// Sets the gate that delays moves while calls are running. Must be called before the first
    /// move; later calls have no effect.
    pub fn set_handover_gate(&self, gate: Arc<dyn HandoverGate>) {
        let _ = self.handover_gate.set(gate);
    }

    /// Sets the source that reports which instances to avoid as relays. Only the first call has an
    /// effect.
    pub fn set_liveness(&self, liveness: Arc<dyn Liveness>) {
        let _ = self.liveness.set(liveness);
    }

    /// Stops accepting work for partitions that are to move. Returns those that cannot move yet
    /// because their calls are running, or `None` if the request comes from a former leader.
    pub(super) fn on_release(&self, release: &Release) -> Option<Vec<PartitionId>> {
        let ids = release.partitions.iter().filter_map(|raw| u16::try_from(*raw).ok());
        let partitions: Vec<_> = ids.filter(|id| *id < PARTITION_COUNT).map(PartitionId).collect();
        let released =
            self.holder.lock().expect("not poisoned").release(release.fencing, &partitions);
        if !released {
            return None;
        }
        // Work that was accepted before the release is visible to the gate, and work that arrives
        // after it is refused.
        let is_busy = |partition: &PartitionId| {
            self.handover_gate.get().is_some_and(|gate| gate.is_busy(*partition))
        };
        let busy: Vec<_> = partitions.into_iter().filter(is_busy).collect();
        self.holder.lock().expect("not poisoned").cancel_release(&busy);
        Some(busy)
    }
}

impl Partitions for ControlClient {
    fn home(&self, partition: PartitionId) -> Option<Home> {
        self.holder.lock().expect("not poisoned").home(partition)
    }

    fn held(&self, partition: PartitionId, now: Timestamp) -> Option<Epoch> {
        self.holder.lock().expect("not poisoned").held(partition, now)
    }

    fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        self.holder.lock().expect("not poisoned").all_held(now)
    }

    fn held_version(&self, now: Timestamp) -> Option<HeldVersion> {
        Some(self.holder.lock().expect("not poisoned").held_version(now))
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.holder.lock().expect("not poisoned").is_fresh(now)
    }
}
