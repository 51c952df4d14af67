//! Runs calls as the scheduler decides: waits for a slot, sends, streams and retries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::oneshot;

use crate::admission::backoff;
use crate::context::Context;
use crate::dispatch::CallKind;
use crate::dispatch::DispatchObserver;
use crate::dispatch::DispatchOutcome;
use crate::dispatch::Dispatcher;
use crate::dispatch::OutcomeLookup;
use crate::dispatch::ReadyCall;
use crate::dispatch::TokenSink;
use crate::dispatch::cache_feeds;
use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::call_metadata::QueueKey;
use crate::dispatch::engine_memory::HttpEngineMemory;
use crate::dispatch::releases::MemoryReleases;
use crate::dispatch::scheduled::call_slot::CallSlot;
use crate::dispatch::scheduled::call_slot::EntryCountGuard;
use crate::dispatch::scheduler::Assignment;
use crate::dispatch::scheduler::AssignmentOutcome;
use crate::dispatch::scheduler::Scheduler;
use crate::dispatch::scheduler::SchedulerSettings;
use crate::dispatch::send_failure::outcome_of_failure;
use crate::endpoints::Announcement;
use crate::endpoints::client::EndpointAnswer;
use crate::endpoints::client::EndpointClient;
use crate::endpoints::client::ModelOptions;
use crate::endpoints::client::Progress;
use crate::endpoints::client::SendError;
use crate::endpoints::directory::Directory;
use crate::endpoints::gossip::Peers;
use crate::endpoints::outcomes::Outcome;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EndpointName;
use crate::ids::ProgramId;
use crate::ids::TargetName;
use crate::placement::ExpectedFinish;
use crate::placement::PlacementPolicy;
use crate::queueing::QueueSettings;
use crate::queueing::engine_priority;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::supervision;

mod call_slot;

/// The maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// The time after which a caller should retry a call that timed out in the queue.
const QUEUE_TIMEOUT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The time limit for querying an endpoint for the outcome of a call.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of the dispatcher and its scheduler.
#[derive(Clone)]
pub struct DispatchSettings {
    /// The settings for the order of waiting calls.
    pub queue: QueueSettings,
    /// The policy that chooses between endpoints.
    pub placement_policy: Arc<dyn PlacementPolicy>,
    /// Whether calls carry a priority for the engine's own scheduling.
    pub engine_priorities: bool,
    /// The interval at which waiting calls are reconsidered even if nothing has changed.
    pub tick: Duration,
    /// The interval at which engines are polled for their cache events.
    pub cache_poll_interval: Duration,
    /// The seed of random choices.
    pub seed: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            queue: QueueSettings::default(),
            placement_policy: Arc::new(ExpectedFinish::default()),
            engine_priorities: true,
            tick: Duration::from_millis(50),
            cache_poll_interval: Duration::from_millis(500),
            seed: rand::random(),
        }
    }
}

pub(super) struct State {
    pub(super) scheduler: Scheduler,
    waiters: HashMap<u64, oneshot::Sender<Assignment>>,
}

pub(super) struct Inner {
    pub(super) cx: Context,
    pub(super) directory: Arc<Directory>,
    pub(super) client: EndpointClient,
    peers: Arc<dyn Peers>,
    engine_priorities: bool,
    releases: Arc<MemoryReleases>,
    pub(super) state: Mutex<State>,
}

/// Queues calls, places them on endpoints and sends them.
pub struct ScheduledDispatcher {
    inner: Arc<Inner>,
}

impl ScheduledDispatcher {
    /// Starts the dispatcher and its background tasks, which stop when it is dropped.
    pub fn start(
        cx: Context,
        directory: Arc<Directory>,
        peers: Arc<dyn Peers>,
        settings: DispatchSettings,
    ) -> Arc<Self> {
        let client = EndpointClient::default();
        let scheduler = Scheduler::new(SchedulerSettings {
            queue: settings.queue,
            placement_policy: settings.placement_policy,
            data_centre: cx.data_centre.clone(),
            seed: settings.seed,
        });
        let memory = Arc::new(HttpEngineMemory::new(client.clone()));
        let inner = Arc::new(Inner {
            releases: MemoryReleases::new(cx.clone(), directory.clone(), memory),
            cx,
            directory,
            client,
            peers,
            engine_priorities: settings.engine_priorities,
            state: Mutex::new(State { scheduler, waiters: HashMap::new() }),
        });
        let cx = inner.cx.clone();
        let assigning = tick_forever(Arc::downgrade(&inner), settings.tick);
        tokio::spawn(supervision::finite(cx.clone(), "assign calls to endpoints", assigning));
        let interval = settings.cache_poll_interval;
        let polling = cache_feeds::poll_forever(Arc::downgrade(&inner), interval);
        tokio::spawn(supervision::finite(cx, "poll the engines' caches", polling));
        Arc::new(Self { inner })
    }
}

async fn tick_forever(inner: Weak<Inner>, tick: Duration) {
    loop {
        tokio::time::sleep(tick).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let mut state = inner.state.lock().expect("not poisoned");
        state.scheduler.update_presence(&inner.directory, inner.cx.clock.now());
        for key in state.scheduler.waiting_queues() {
            inner.assign(&mut state, &key, None);
        }
    }
}

impl Inner {
    /// Assigns waiting calls of a queue to endpoints, with `freed` as a candidate if given.
    fn assign(&self, state: &mut State, key: &QueueKey, freed: Option<&EndpointName>) {
        let now = self.cx.clock.now();
        let assignments = state.scheduler.assign(key, freed, &self.directory, now);
        for assignment in assignments {
            let ticket = assignment.ticket;
            let waiter = state.waiters.remove(&ticket);
            let accepted = waiter.is_some_and(|waiter| waiter.send(assignment).is_ok());
            if !accepted {
                state.scheduler.cancel(ticket, now);
            }
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        metadata: CallMetadata,
    ) -> (CallSlot, oneshot::Receiver<Assignment>) {
        let (tx, rx) = oneshot::channel();
        let key = metadata.queue.clone();
        let mut state = self.state.lock().expect("not poisoned");
        let ticket = state.scheduler.enqueue(metadata, self.cx.clock.now());
        state.waiters.insert(ticket, tx);
        self.assign(&mut state, &key, None);
        drop(state);
        (CallSlot { inner: self.clone(), key, ticket: Some(ticket) }, rx)
    }

    fn admit(self: &Arc<Self>, metadata: &CallMetadata) -> Result<EntryCountGuard, Refusal> {
        let instances = self.peers.live().len() + 1;
        let now = self.cx.clock.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.scheduler.admit(metadata, &self.directory, instances, now)?;
        Ok(EntryCountGuard { inner: self.clone(), metadata: metadata.clone() })
    }
}

/// The result of one attempt of a call.
enum Attempt {
    Done(DispatchOutcome),
    /// Nothing was sent in this attempt, and the call is not retried.
    Refused(Refusal),
    Failed {
        endpoint: EndpointName,
        cause: SendError,
        may_repeat: bool,
    },
}

impl Inner {
    async fn run(
        self: &Arc<Self>,
        call: &ReadyCall,
        observer: &dyn DispatchObserver,
        sink: Option<&TokenSink>,
    ) -> DispatchOutcome {
        let entry_guard = match self.admit(&CallMetadata::from(call)) {
            Ok(guard) => guard,
            Err(refusal) => return DispatchOutcome::NotRun(refusal),
        };
        let mut metadata = entry_guard.metadata.clone();
        let mut failure = None;
        for attempt in 0..MAX_ATTEMPTS {
            match self.attempt(call, metadata.clone(), observer, sink).await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Refused(refusal) => {
                    // An earlier attempt may have run, which the refusal must not hide.
                    return failure.unwrap_or(DispatchOutcome::NotRun(refusal));
                }
                Attempt::Failed { endpoint, cause, may_repeat } => {
                    let sent = !matches!(cause, SendError::NotSent { .. });
                    if sent || failure.is_none() {
                        failure = Some(outcome_of_failure(call, cause));
                    }
                    let may_retry = may_repeat && attempt + 1 < MAX_ATTEMPTS;
                    if !may_retry || !self.withdraw_retry(call) {
                        break;
                    }
                    metadata.excluded.push(endpoint);
                    tokio::time::sleep(backoff(attempt, rand::random())).await;
                }
            }
        }
        let not_attempted = || Refusal::not_run(ResultCode::Internal, "the call was not attempted");
        failure.unwrap_or_else(|| DispatchOutcome::NotRun(not_attempted()))
    }

    fn withdraw_retry(&self, call: &ReadyCall) -> bool {
        let now = self.cx.clock.now();
        if call.deadline.is_some_and(|deadline| deadline <= now) {
            return false;
        }
        let mut state = self.state.lock().expect("not poisoned");
        let allowed = state.scheduler.withdraw_retry(&call.entry.name);
        if allowed {
            self.cx.metrics.retries.with_label_values(&[call.kind.to_string()]).inc();
        }
        allowed
    }

    async fn attempt(
        self: &Arc<Self>,
        call: &ReadyCall,
        metadata: CallMetadata,
        observer: &dyn DispatchObserver,
        sink: Option<&TokenSink>,
    ) -> Attempt {
        let queued_at = self.cx.clock.now();
        let (slot, rx) = self.enqueue(metadata);
        let Ok(Ok(assignment)) = tokio::time::timeout(call.entry.limits.queue(), rx).await else {
            drop(slot);
            let message = format!(
                "no endpoint of {} had free capacity within the queue time limit",
                call.target
            );
            let refusal = Refusal::not_run(ResultCode::QueueTimeout, message);
            return Attempt::Refused(refusal.retry_after(QUEUE_TIMEOUT_RETRY_AFTER));
        };
        let waited = self.cx.clock.now().since(queued_at).as_secs_f64();
        let class = call.entry.class.to_string();
        self.cx.metrics.queue_seconds.with_label_values(&[class]).observe(waited);
        let announcement = assignment.endpoint.announcement;
        let endpoint = announcement.name.clone();
        if let Err(refusal) = observer.before_send(&endpoint).await {
            return Attempt::Refused(refusal);
        }
        let progress = Progress::default();
        let sent_at = self.cx.clock.now();
        let result = self.send(&announcement, call, sink, &progress).await;
        let total = self.cx.clock.now().since(sent_at);
        slot.finish(&endpoint, assignment_outcome(&result, &progress, total));
        match result {
            Ok(EndpointAnswer { output, usage }) => {
                Attempt::Done(DispatchOutcome::Done { output, usage, endpoint })
            }
            Err(cause) => {
                self.record_failure(call, &endpoint, &cause);
                if matches!(cause, SendError::NotSent { .. }) {
                    observer.not_sent(&endpoint).await;
                }
                let may_repeat = may_repeat(call, &cause) && !progress.text_passed_on();
                Attempt::Failed { endpoint, cause, may_repeat }
            }
        }
    }

    async fn send(
        &self,
        endpoint: &Announcement,
        call: &ReadyCall,
        sink: Option<&TokenSink>,
        progress: &Progress,
    ) -> Result<EndpointAnswer, SendError> {
        if call.kind == CallKind::Model {
            self.releases.record(&call.program, &endpoint.name);
            let priority = match self.engine_priorities {
                true => engine_priority(call.entry.class, call.attained_tokens),
                false => 0,
            };
            let options = ModelOptions::new(priority, cache_salt(call));
            return self.client.complete(endpoint, call, &options, sink, progress).await;
        }
        let limit = call.entry.limits.tool();
        let invocation = self.client.invoke(endpoint, call);
        let stalled = |_| SendError::Stalled { limit };
        tokio::time::timeout(limit, invocation).await.map_err(stalled)?
    }

    fn record_failure(&self, call: &ReadyCall, endpoint: &EndpointName, cause: &SendError) {
        let subject = Subject {
            program: Some(call.program.clone()),
            call: Some(call.call.clone()),
            entry: Some(call.entry.name.clone()),
            peer: Some(endpoint.to_string()),
            ..Subject::default()
        };
        self.cx.events.record(EventNumber::AttemptFailed, subject, cause.to_string());
    }

    async fn look_up_at(&self, endpoint: &Announcement, path: &str) -> Option<OutcomeLookup> {
        let request = self.client.get_json(endpoint, path);
        let answer = tokio::time::timeout(LOOK_UP_TIMEOUT, request).await.ok()?.ok()?;
        match answer.get("ran")?.as_bool()? {
            true => {
                let output = answer.get("output").cloned().unwrap_or_default();
                Some(OutcomeLookup::Ran { output })
            }
            false => Some(OutcomeLookup::NotRan),
        }
    }
}

/// Returns the salt of the engine's prefix cache: only calls with the same salt share cached
/// prefixes.
fn cache_salt(call: &ReadyCall) -> String {
    match call.entry.limits.share_prefixes {
        true => format!("owner:{}", call.entry.owner),
        false => format!("program:{}", call.root),
    }
}

fn may_repeat(call: &ReadyCall, cause: &SendError) -> bool {
    match cause {
        SendError::NotSent { .. } => true,
        SendError::Status { status, .. } => call.idempotent && *status >= 500,
        SendError::Stalled { .. } | SendError::Lost { .. } => call.idempotent,
    }
}

fn assignment_outcome(
    result: &Result<EndpointAnswer, SendError>,
    progress: &Progress,
    total: Duration,
) -> AssignmentOutcome {
    match result {
        Ok(answer) => AssignmentOutcome::Answered {
            usage: answer.usage,
            first_token: progress.first_token().unwrap_or(total),
            total,
        },
        // A rejected request says nothing about the health of the endpoint.
        Err(SendError::Status { status, .. }) if *status < 500 && *status != 429 => {
            AssignmentOutcome::Cancelled
        }
        Err(SendError::Status { .. }) => AssignmentOutcome::Failed(Outcome::Error),
        Err(SendError::Stalled { .. }) => AssignmentOutcome::Failed(Outcome::Hung),
        Err(SendError::NotSent { .. } | SendError::Lost { .. }) => {
            AssignmentOutcome::Failed(Outcome::Broken)
        }
    }
}

#[async_trait]
impl Dispatcher for ScheduledDispatcher {
    async fn run(
        &self,
        call: ReadyCall,
        observer: &dyn DispatchObserver,
        sink: Option<TokenSink>,
    ) -> DispatchOutcome {
        let outcome = self.inner.run(&call, observer, sink.as_ref()).await;
        if let DispatchOutcome::NotRun(refusal) = &outcome {
            let code = refusal.code.to_string();
            self.inner.cx.metrics.refusals.with_label_values(&[code]).inc();
        }
        outcome
    }

    fn sent_elsewhere(&self, program: &ProgramId, model: &TargetName) {
        for engine in self.inner.directory.group(CallKind::Model, model).iter() {
            self.inner.releases.record(program, engine);
        }
    }

    fn program_ended(&self, program: &ProgramId) {
        let mut state = self.inner.state.lock().expect("not poisoned");
        state.scheduler.forget_program(program);
        drop(state);
        self.inner.releases.release(program);
    }

    async fn look_up(&self, endpoint: &EndpointName, call: &ReadyCall) -> Option<OutcomeLookup> {
        let known = self.inner.directory.last_known(endpoint)?;
        if !known.announcement.outcome_lookup {
            return None;
        }
        let path = format!("/calls/{}/{}", call.program, call.call);
        self.inner.look_up_at(&known.announcement, &path).await
    }
}

#[cfg(test)]
mod tests;
