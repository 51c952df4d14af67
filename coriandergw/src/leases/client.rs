//! Keeps the lease and the configuration of one instance current.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::catalogue::CatalogueView;
use crate::catalogue::CatalogueWriter;
use crate::catalogue::Change;
use crate::catalogue::ChangeAnswer;
use crate::catalogue::Entry;
use crate::clock::Timestamp;
use crate::context::Context;
use crate::control::CommandKind;
use crate::control::HistoryRecord;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::control::Published;
use crate::control::Register;
use crate::control::change_command;
use crate::control::decode_answer as decode_command_answer;
use crate::control::decode_change_answer;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::EntryName;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::ids::Revision;
use crate::leases::ANSWER_TIMEOUT;
use crate::leases::HandoverGate;
use crate::leases::HeldVersion;
use crate::leases::Home;
use crate::leases::Partitions;
use crate::leases::RENEWAL_INTERVAL;
use crate::leases::Registration;
use crate::leases::generated::Chunk;
use crate::leases::generated::Fetch;
use crate::leases::generated::Grant;
use crate::leases::generated::HistoryAnswer;
use crate::leases::generated::HistoryQuery;
use crate::leases::generated::Leader;
use crate::leases::generated::Poke;
use crate::leases::generated::RelayRenewal;
use crate::leases::generated::Release;
use crate::leases::generated::Renewal;
use crate::leases::generated::StatusAnswer;
use crate::leases::generated::StatusQuery;
use crate::leases::generated::WhoLeads;
use crate::leases::generated::request::Kind;
use crate::leases::handler::ControlHandler;
use crate::leases::holder::GrantResult;
use crate::leases::holder::Holder;
use crate::leases::messages::decode_answer;
use crate::leases::messages::encode_request;
use crate::leases::relay::Relay;
use crate::leases::relay::Waiting;
use crate::leases::revision_file::RevisionFile;
use crate::leases::status::ClusterStatus;
use crate::leases::status::HistoryItem;
use crate::leases::status::StatusReport;
use crate::leases::status::fate_unknown;
use crate::leases::status::no_leader;
use crate::leases::status::report;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::membership::Liveness;
use crate::result_code::ResultCode;
use crate::transport;
use crate::transport::Handler;
use crate::transport::Transport;

/// The shortest time between two renewals, also where there is news.
const RENEWAL_MIN_INTERVAL: Duration = Duration::from_millis(20);

/// How long a change is proposed again before the operator is told that its fate is unknown.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);

/// The time between two attempts to propose a change.
const CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How long an accepted change is awaited on this instance before it is answered.
const APPLY_WAIT: Duration = Duration::from_secs(2);

/// How long the relay may take to answer a renewal.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// The renewals that a relay may leave unanswered before the leader is asked directly.
const RELAY_MISSES_MAX: u32 = 2;

/// How many renewals go to the leader directly before the relay is tried again.
const RELAY_RETRY_RENEWALS: u32 = 20;

/// The largest full state that is fetched, in bytes.
const FULL_STATE_MAX_BYTES: u64 = 256 * 1024 * 1024;

/// The control features of one instance: its lease, its partitions and its configuration.
pub struct ControlClient {
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    registration: Registration,
    file: Option<RevisionFile>,
    written: Mutex<Revision>,
    holder: Mutex<Holder>,
    relay: Relay,
    relay_misses: AtomicU32,
    hint: Mutex<Option<InstanceName>>,
    /// A leader that did not answer; the voters are asked before it is asked again.
    silent: Mutex<Option<InstanceName>>,
    local: OnceLock<Arc<ControlHandler>>,
    gate: OnceLock<Arc<dyn HandoverGate>>,
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
        file: Option<RevisionFile>,
        floor: Revision,
    ) -> Self {
        let holder = Holder::new(cx.instance.clone(), floor, registration.freshness_limit);
        let holder = Mutex::new(holder);
        Self {
            cx,
            transport,
            log,
            registration,
            file,
            written: Mutex::new(floor),
            holder,
            relay: Relay::default(),
            relay_misses: AtomicU32::new(0),
            hint: Mutex::default(),
            silent: Mutex::default(),
            local: OnceLock::new(),
            gate: OnceLock::new(),
            liveness: OnceLock::new(),
            wake: Notify::new(),
            applied: Notify::new(),
            tasks: Mutex::default(),
        }
    }

    pub(super) fn set_local(&self, handler: Arc<ControlHandler>) {
        // Set once, by the constructor of the feature.
        let _ = self.local.set(handler);
    }

    pub(super) fn keep(&self, task: JoinHandle<()>) {
        self.tasks.lock().expect("not poisoned").push(task);
    }

    /// Stops all control features at once, as the end of the process would.
    pub fn stop(&self) {
        for task in self.tasks.lock().expect("not poisoned").drain(..) {
            task.abort();
        }
    }

    /// Asks the leader to move all partitions away from this instance.
    pub fn leave(&self) {
        self.holder.lock().expect("not poisoned").set_leaving();
        self.wake();
    }

    /// Waits until a newer configuration is applied, or returns at once if one was since the last
    /// call by the same waiter.
    pub async fn changed(&self) {
        self.applied.notified().await;
    }

    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    pub(super) fn leader_hint(&self) -> Option<InstanceName> {
        self.hint.lock().expect("not poisoned").clone()
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
            was_fresh = self.note_freshness(was_fresh);
            tokio::time::sleep(RENEWAL_MIN_INTERVAL).await;
            let rest = RENEWAL_INTERVAL - RENEWAL_MIN_INTERVAL;
            // Either there is news or the renewal is due.
            let _ = tokio::time::timeout(rest, self.wake.notified()).await;
        }
    }

    fn note_freshness(&self, was_fresh: bool) -> bool {
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

    async fn ask(&self, to: &InstanceName, kind: Kind) -> Result<Bytes, String> {
        self.ask_within(to, kind, ANSWER_TIMEOUT).await
    }

    async fn ask_within(
        &self,
        to: &InstanceName,
        kind: Kind,
        timeout: Duration,
    ) -> Result<Bytes, String> {
        let request = encode_request(kind);
        if *to == self.cx.instance {
            let local = self.local.get().ok_or_else(String::new)?;
            let answer = tokio::time::timeout(timeout, local.handle(to, request)).await;
            return answer.map_err(|cause| cause.to_string())?;
        }
        let answer = self.transport.call(to, transport::Kind::Control, request, timeout).await;
        answer.map_err(|cause| cause.to_string())
    }

    async fn ask_leader(&self, kind: Kind) -> Option<(InstanceName, Bytes)> {
        let leader = self.find_leader().await?;
        let answer = self.ask(&leader, kind).await.ok();
        if answer.is_none() {
            *self.hint.lock().expect("not poisoned") = None;
            *self.silent.lock().expect("not poisoned") = Some(leader.clone());
        }
        answer.map(|answer| (leader, answer))
    }

    async fn find_leader(&self) -> Option<InstanceName> {
        let silent = self.silent.lock().expect("not poisoned").take();
        let known = self.log.leader(CONTROL_GROUP).filter(|leader| Some(leader) != silent.as_ref());
        if let Some(leader) = known.or_else(|| self.leader_hint()) {
            return Some(leader);
        }
        let start = rand::random_range(0..self.registration.voters.len().max(1));
        let voters = self.registration.voters.iter().cycle().skip(start);
        for voter in voters.take(self.registration.voters.len()) {
            let Ok(answer) = self.ask(voter, Kind::WhoLeads(WhoLeads {})).await else {
                continue;
            };
            let leader = decode_answer::<Leader>(answer).ok();
            let leader = leader.and_then(|leader| InstanceName::try_from(leader.name).ok());
            if leader.is_some() {
                self.hint.lock().expect("not poisoned").clone_from(&leader);
                return leader;
            }
        }
        None
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
        // A repetition under a new session is harmless: nothing is held yet.
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
        let waiting = self.relay.take();
        let sent_at = self.cx.clock.now();
        let Some((granter, grant)) = self.renew_with_any(own, &waiting).await else {
            return;
        };
        self.take_grant(sent_at, own.incarnation, &granter, &grant).await;
        self.answer_waiting(waiting, &grant);
    }

    async fn renew_with_any(
        &self,
        own: Renewal,
        waiting: &[Waiting],
    ) -> Option<(InstanceName, Grant)> {
        if waiting.is_empty()
            && let Some(relay) = self.usable_relay()
        {
            let answer = self.ask_within(&relay, Kind::Renewal(own), RELAY_TIMEOUT).await;
            if let Some(grant) = answer.ok().and_then(|answer| decode_answer(answer).ok()) {
                self.relay_misses.store(0, Ordering::Relaxed);
                return Some((relay, grant));
            }
            if self.relay_misses.fetch_add(1, Ordering::Relaxed) + 1 < RELAY_MISSES_MAX {
                self.wake();
                return None;
            }
        }
        let request = match waiting.is_empty() {
            true => Kind::Renewal(own),
            false => {
                let members = waiting.iter().map(|waiting| waiting.member).collect();
                Kind::RelayRenewal(RelayRenewal { own: Some(own), members })
            }
        };
        let (leader, answer) = self.ask_leader(request).await?;
        Some((leader, decode_answer(answer).ok()?))
    }

    /// Returns the relay of this data centre, unless that is this instance or does not answer.
    fn usable_relay(&self) -> Option<InstanceName> {
        let holder = self.holder.lock().expect("not poisoned");
        holder.own()?;
        let relay = self.relay_of(holder.published())?;
        drop(holder);
        if relay == self.cx.instance {
            return None;
        }
        let misses = self.relay_misses.load(Ordering::Relaxed);
        if misses < RELAY_MISSES_MAX {
            return Some(relay);
        }
        let misses = self.relay_misses.fetch_add(1, Ordering::Relaxed);
        misses.is_multiple_of(RELAY_RETRY_RENEWALS).then_some(relay)
    }

    async fn take_grant(
        &self,
        sent_at: Timestamp,
        incarnation: u64,
        granter: &InstanceName,
        grant: &Grant,
    ) {
        if !self.write_revision(Revision(grant.revision)).await {
            return;
        }
        let result =
            self.holder.lock().expect("not poisoned").on_grant(sent_at, incarnation, grant);
        match result {
            GrantResult::Renewed { advanced, complete } => {
                if advanced {
                    self.after_advance();
                }
                if !complete {
                    self.wake();
                }
            }
            GrantResult::NeedsFull => self.fetch_full(granter).await,
            GrantResult::MustRegister => {
                self.holder.lock().expect("not poisoned").set_incarnation(None);
                self.wake();
            }
            GrantResult::Ignored => {}
        }
    }

    /// Remembers a revision over a restart before it is applied. Returns false if that failed.
    async fn write_revision(&self, revision: Revision) -> bool {
        let written = *self.written.lock().expect("not poisoned");
        let Some(file) = self.file.clone().filter(|_| revision > written) else {
            return true;
        };
        let result = tokio::task::spawn_blocking(move || file.write(revision)).await;
        match result.map_err(std::io::Error::other).and_then(|result| result) {
            Ok(()) => {
                *self.written.lock().expect("not poisoned") = revision;
                true
            }
            Err(cause) => {
                let number = EventNumber::RevisionFileFailed;
                self.cx.events.record(number, Subject::default(), cause.to_string());
                false
            }
        }
    }

    fn after_advance(&self) {
        self.applied.notify_waiters();
        let holder = self.holder.lock().expect("not poisoned");
        for instance in holder.published().instances().values() {
            self.transport.learn(&instance.name, instance.peer_address);
        }
        if self.relay_of(holder.published()).as_ref() != Some(&self.cx.instance) {
            return;
        }
        let is_member = |instance: &&Arc<Instance>| {
            in_reach(instance, &self.cx) && instance.name != self.cx.instance
        };
        for member in holder.published().instances().values().filter(is_member) {
            let poke = encode_request(Kind::Poke(Poke {}));
            self.transport.send(&member.name, transport::Kind::Control, poke);
        }
    }

    async fn fetch_full(&self, granter: &InstanceName) {
        let Some(published) = self.fetch_all(granter).await else {
            return;
        };
        let revision = published.revision();
        let installed = self.holder.lock().expect("not poisoned").install(published);
        if installed {
            let subject = Subject { peer: Some(granter.to_string()), ..Subject::default() };
            let message = format!("full state of revision {revision} fetched");
            self.cx.events.record(EventNumber::FullStateFetched, subject, message);
            self.after_advance();
            self.wake();
        }
    }

    async fn fetch_all(&self, granter: &InstanceName) -> Option<Published> {
        let mut whole = Vec::new();
        let mut first: Option<Chunk> = None;
        loop {
            let fetch = Kind::Fetch(Fetch { offset: whole.len() as u64 });
            let chunk: Chunk = decode_answer(self.ask(granter, fetch).await.ok()?).ok()?;
            let expected = first.get_or_insert_with(|| chunk.clone());
            let is_same =
                (chunk.revision, chunk.total_bytes) == (expected.revision, expected.total_bytes);
            if !is_same || chunk.data.is_empty() || chunk.total_bytes > FULL_STATE_MAX_BYTES {
                return None;
            }
            whole.extend_from_slice(&chunk.data);
            if whole.len() as u64 >= chunk.total_bytes {
                return Published::decode(&whole).ok();
            }
        }
    }

    fn answer_waiting(&self, waiting: Vec<Waiting>, upstream: &Grant) {
        let holder = self.holder.lock().expect("not poisoned");
        for waiting in waiting {
            let refused = upstream.refused_members.contains(&waiting.member.index);
            let applied = waiting.member.renewal.map_or(0, |renewal| renewal.revision);
            let mut grant = holder.grant_from(upstream, Revision(applied));
            if refused {
                grant.refused = ResultCode::StaleIncarnation.number().into();
            }
            // A member that no longer waits renews again.
            let _ = waiting.answer.send(grant);
        }
    }

    /// Renews the lease of another instance of this data centre with the next renewal.
    pub(super) async fn relay_renewal(
        &self,
        from: &InstanceName,
        renewal: Renewal,
    ) -> Option<Grant> {
        if *from == self.cx.instance {
            return None;
        }
        let index = {
            let holder = self.holder.lock().expect("not poisoned");
            holder.own()?;
            holder.published().instances().get(from)?.index
        };
        self.relay.add(index, renewal)?.await.ok()
    }

    /// Sets what may keep a partition here while its calls run. Set once, before the first move.
    pub fn set_handover_gate(&self, gate: Arc<dyn HandoverGate>) {
        let _ = self.gate.set(gate);
    }

    /// Sets what tells which instances are no good as a relay. Set once, after the start.
    pub fn set_liveness(&self, liveness: Arc<dyn Liveness>) {
        let _ = self.liveness.set(liveness);
    }

    /// Returns the relay of this data centre: the instance with the lowest name that is not avoided.
    ///
    /// Instances that differ in it do no harm: one that is taken for the relay acts as one.
    fn relay_of(&self, published: &Published) -> Option<InstanceName> {
        let liveness = self.liveness.get();
        let is_avoided = |name: &InstanceName| liveness.is_some_and(|hint| hint.is_avoided(name));
        let found = published
            .instances()
            .values()
            .find(|instance| in_reach(instance, &self.cx) && !is_avoided(&instance.name));
        found.map(|instance| instance.name.clone())
    }

    /// Takes no more work for partitions that are to move and returns those that are too busy to.
    ///
    /// A former leader gets nothing.
    pub(super) fn on_release(&self, release: &Release) -> Option<Vec<PartitionId>> {
        let ids = release.partitions.iter().filter_map(|raw| u16::try_from(*raw).ok());
        let partitions: Vec<_> = ids.filter(|id| *id < PARTITION_COUNT).map(PartitionId).collect();
        let released =
            self.holder.lock().expect("not poisoned").release(release.fencing, &partitions);
        if !released {
            return None;
        }
        // Work that came before the release is seen here; work that comes after it is refused.
        let is_busy =
            |partition: &PartitionId| self.gate.get().is_some_and(|gate| gate.is_busy(*partition));
        let busy: Vec<_> = partitions.into_iter().filter(is_busy).collect();
        self.holder.lock().expect("not poisoned").keep(&busy);
        Some(busy)
    }

    async fn await_applied(&self, revision: Revision) {
        let wait = async {
            loop {
                let applied = self.applied.notified();
                tokio::pin!(applied);
                applied.as_mut().enable();
                if self.revision() >= revision {
                    return;
                }
                self.wake();
                applied.await;
            }
        };
        // An answer without it is true as well: the change is accepted.
        let _ = tokio::time::timeout(APPLY_WAIT, wait).await;
    }

    async fn propose_change(&self, change: &Change) -> ChangeAnswer {
        let command = change_command(change, self.cx.clock.wall()).encode_command();
        let started_at = self.cx.clock.now();
        let mut may_have_run = false;
        loop {
            match self.log.propose(CONTROL_GROUP, command.clone()).await {
                Ok(answer) => return decode_change_answer(&answer),
                Err(ProposeError::Unknown { .. }) => may_have_run = true,
                Err(ProposeError::NotProposed { .. }) => {}
            }
            if self.cx.clock.now().since(started_at) >= CHANGE_LIMIT {
                return Err(match may_have_run {
                    true => fate_unknown(&change.id),
                    false => no_leader(),
                });
            }
            tokio::time::sleep(CHANGE_RETRY_INTERVAL).await;
        }
    }
}

/// Returns whether an instance can be the relay or a member of this data centre.
fn in_reach(instance: &Instance, cx: &Context) -> bool {
    instance.state == InstanceState::Alive && instance.data_centre == cx.data_centre
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

impl CatalogueView for ControlClient {
    fn entry(&self, name: &EntryName) -> Option<Arc<Entry>> {
        self.with_published(|published| published.entries().get(name).cloned())
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.with_published(|published| published.entries().values().cloned().collect())
    }

    fn revision(&self) -> Revision {
        self.holder.lock().expect("not poisoned").revision()
    }
}

#[async_trait]
impl CatalogueWriter for ControlClient {
    async fn change(&self, change: Change) -> ChangeAnswer {
        let answer = self.propose_change(&change).await;
        if let Ok(revision) = &answer {
            self.await_applied(*revision).await;
        }
        answer
    }
}

#[async_trait]
impl ClusterStatus for ControlClient {
    async fn status(&self) -> StatusReport {
        let answer = self.ask_leader(Kind::Status(StatusQuery {})).await;
        let answer = answer.and_then(|(_, answer)| decode_answer::<StatusAnswer>(answer).ok());
        self.with_published(|published| report(published, answer))
    }

    async fn history(
        &self,
        entry: &EntryName,
    ) -> Result<Vec<HistoryItem>, crate::result_code::Refusal> {
        let query = Kind::History(HistoryQuery { entry: entry.to_string() });
        let (_, answer) = self.ask_leader(query).await.ok_or_else(no_leader)?;
        let answer: HistoryAnswer = decode_answer(answer).map_err(|_| no_leader())?;
        let records = answer.records.into_iter();
        let parsed = records.filter_map(|record| decode_answer::<HistoryRecord>(record).ok());
        Ok(parsed.map(|record| HistoryItem::from(&record)).collect())
    }

    fn instances(&self) -> Vec<Arc<Instance>> {
        self.with_published(|published| published.instances().values().cloned().collect())
    }
}
