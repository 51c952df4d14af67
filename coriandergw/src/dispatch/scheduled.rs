//! Runs calls as the scheduler decides: waits for a place, sends, streams and retries.

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
use crate::dispatch::send_failure::outcome_of;
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

mod call_slot;

/// The attempts of one call at most.
const ATTEMPTS_MAX: u32 = 3;

/// When a caller should come back after its call waited for too long.
const QUEUE_RETRY: Duration = Duration::from_secs(1);

/// How long asking an endpoint for an outcome may take.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// How the dispatcher decides.
#[derive(Clone)]
pub struct DispatchSettings {
    /// The order of waiting calls.
    pub queue: QueueSettings,
    /// The choice between endpoints.
    pub placer: Arc<dyn PlacementPolicy>,
    /// Whether engines are told how urgent a call is.
    pub engine_priorities: bool,
    /// How often waiting calls are looked at without a cause.
    pub tick: Duration,
    /// How often engines are asked for the events of their caches.
    pub cache_poll_interval: Duration,
    /// Seeds the random choices.
    pub seed: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            queue: QueueSettings::default(),
            placer: Arc::new(ExpectedFinish::default()),
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
    /// Starts the dispatcher and its periodic work, which ends when it is dropped.
    pub fn start(
        cx: Context,
        directory: Arc<Directory>,
        peers: Arc<dyn Peers>,
        settings: DispatchSettings,
    ) -> Arc<Self> {
        let client = EndpointClient::default();
        let scheduler = Scheduler::new(SchedulerSettings {
            queue: settings.queue,
            placer: settings.placer,
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
        tokio::spawn(tick_forever(Arc::downgrade(&inner), settings.tick));
        let interval = settings.cache_poll_interval;
        tokio::spawn(cache_feeds::poll_forever(Arc::downgrade(&inner), interval));
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
        state.scheduler.follow(&inner.directory, inner.cx.clock.now());
        for key in state.scheduler.waiting_queues() {
            inner.assign(&mut state, &key, None);
        }
    }
}

impl Inner {
    /// Hands out places in a queue, to a freed endpoint first.
    fn assign(&self, state: &mut State, key: &QueueKey, freed: Option<&EndpointName>) {
        let now = self.cx.clock.now();
        let assignments = state.scheduler.assign(key, freed, &self.directory, now);
        for assignment in assignments {
            let ticket = assignment.ticket;
            let waiter = state.waiters.remove(&ticket);
            let taken = waiter.is_some_and(|waiter| waiter.send(assignment).is_ok());
            if !taken {
                state.scheduler.cancel(ticket, now);
            }
        }
    }

    fn enqueue(self: &Arc<Self>, facts: CallMetadata) -> (CallSlot, oneshot::Receiver<Assignment>) {
        let (tx, rx) = oneshot::channel();
        let key = facts.queue.clone();
        let mut state = self.state.lock().expect("not poisoned");
        let ticket = state.scheduler.enqueue(facts, self.cx.clock.now());
        state.waiters.insert(ticket, tx);
        self.assign(&mut state, &key, None);
        drop(state);
        (CallSlot { inner: self.clone(), key, ticket: Some(ticket) }, rx)
    }

    fn enter(self: &Arc<Self>, facts: &CallMetadata) -> Result<EntryCountGuard, Refusal> {
        let instances = self.peers.live().len() + 1;
        let now = self.cx.clock.now();
        let mut state = self.state.lock().expect("not poisoned");
        state.scheduler.enter(facts, &self.directory, instances, now)?;
        Ok(EntryCountGuard { inner: self.clone(), facts: facts.clone() })
    }
}

/// How one attempt of a call ended.
enum Attempt {
    Done(DispatchOutcome),
    /// Nothing was sent, and nothing will be.
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
        let entered = match self.enter(&CallMetadata::from(call)) {
            Ok(entered) => entered,
            Err(refusal) => return DispatchOutcome::NotRun(refusal),
        };
        let mut facts = entered.facts.clone();
        let mut failure = None;
        for attempt in 0..ATTEMPTS_MAX {
            match self.attempt(call, facts.clone(), observer, sink).await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Refused(refusal) => {
                    // An earlier attempt may have run, which must not be hidden.
                    return failure.unwrap_or(DispatchOutcome::NotRun(refusal));
                }
                Attempt::Failed { endpoint, cause, may_repeat } => {
                    let sent = !matches!(cause, SendError::NotSent { .. });
                    if sent || failure.is_none() {
                        failure = Some(outcome_of(call, cause));
                    }
                    let repeats = may_repeat && attempt + 1 < ATTEMPTS_MAX;
                    if !repeats || !self.withdraw_retry(call) {
                        break;
                    }
                    facts.excluded.push(endpoint);
                    tokio::time::sleep(backoff(attempt, rand::random())).await;
                }
            }
        }
        let none = || Refusal::not_run(ResultCode::Internal, "the call was not attempted");
        failure.unwrap_or_else(|| DispatchOutcome::NotRun(none()))
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
        facts: CallMetadata,
        observer: &dyn DispatchObserver,
        sink: Option<&TokenSink>,
    ) -> Attempt {
        let queued_at = self.cx.clock.now();
        let (place, rx) = self.enqueue(facts);
        let Ok(Ok(assignment)) = tokio::time::timeout(call.entry.limits.queue(), rx).await else {
            drop(place);
            let message = format!("no endpoint of {} had room in time", call.target);
            let refusal = Refusal::not_run(ResultCode::QueueTimeout, message);
            return Attempt::Refused(refusal.retry_after(QUEUE_RETRY));
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
        let sent = self.send(&announcement, call, sink, &progress).await;
        let total = self.cx.clock.now().since(sent_at);
        place.finish(&endpoint, finish_of(&sent, &progress, total));
        match sent {
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
        let invoked = self.client.invoke(endpoint, call);
        let stalled = |_| SendError::Stalled { limit };
        tokio::time::timeout(limit, invoked).await.map_err(stalled)?
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
        let asked = self.client.get_json(endpoint, path);
        let answer = tokio::time::timeout(LOOK_UP_TIMEOUT, asked).await.ok()?.ok()?;
        match answer.get("ran")?.as_bool()? {
            true => {
                let output = answer.get("output").cloned().unwrap_or_default();
                Some(OutcomeLookup::Ran { output })
            }
            false => Some(OutcomeLookup::NotRan),
        }
    }
}

/// Returns who may share a cached prefix with a call.
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

fn finish_of(
    sent: &Result<EndpointAnswer, SendError>,
    progress: &Progress,
    total: Duration,
) -> AssignmentOutcome {
    match sent {
        Ok(answer) => AssignmentOutcome::Answered {
            usage: answer.usage,
            first_token: progress.first_token().unwrap_or(total),
            total,
        },
        // A request that the endpoint rejects as such says nothing about its health.
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
