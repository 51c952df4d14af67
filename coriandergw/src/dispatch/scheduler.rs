//! The state behind the decisions: queues, endpoints, learned rates and known prefixes.
//!
//! It sends nothing and reads no clock. A call gets a ticket when it is queued; the ticket names it
//! until it is finished or cancelled.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission::AdmissionRequest;
use crate::admission::EntryCallCounts;
use crate::admission::RetryBudget;
use crate::admission::WaitEstimate;
use crate::admission::admit;
use crate::admission::instance_share;
use crate::clock::Timestamp;
use crate::dispatch::Usage;
use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::call_metadata::QueueKey;
use crate::dispatch::endpoint_state::EndpointState;
use crate::dispatch::scheduler::candidates::turnaround;
use crate::endpoints::directory::Directory;
use crate::endpoints::directory::KnownEndpoint;
use crate::endpoints::outcomes::HealthTracker;
use crate::endpoints::outcomes::Outcome;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::EntryName;
use crate::ids::ProgramId;
use crate::placement::CallDemand;
use crate::placement::PlacementDecision;
use crate::placement::PlacementPolicy;
use crate::placement::PrefixIndex;
use crate::placement::PrefixKey;
use crate::placement::RateEstimator;
use crate::placement::RateSample;
use crate::queueing::CallQueue;
use crate::queueing::QueueSettings;
use crate::queueing::QueuedCall;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

mod candidates;
mod learning;

/// When a caller should come back if no endpoint serves its target.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// When a caller should come back if its entry's limit is reached.
const LIMIT_RETRY: Duration = Duration::from_millis(250);

/// The answer length that is assumed until answers are seen, in tokens.
const ANSWER_TOKENS: f64 = 128.0;

/// How the scheduler decides.
#[derive(Clone)]
pub struct SchedulerSettings {
    /// The order of waiting calls.
    pub queue: QueueSettings,
    /// The choice between endpoints.
    pub placer: Arc<dyn PlacementPolicy>,
    /// The data centre of this instance.
    pub data_centre: DataCentre,
    /// Seeds the random choices.
    pub seed: u64,
}

/// A call and the endpoint that it goes to.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The call's ticket.
    pub ticket: u64,
    /// The endpoint.
    pub endpoint: KnownEndpoint,
}

/// How an assigned call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssignmentOutcome {
    /// The endpoint answered in full.
    Answered {
        /// What the call used.
        usage: Usage,
        /// The time until the first token.
        first_token: Duration,
        /// The time until the end of the answer.
        total: Duration,
    },
    /// The call failed at the endpoint.
    Failed(Outcome),
    /// The call was cancelled; this says nothing about the endpoint.
    Cancelled,
}

/// The prompt tokens of an answered call that could have been reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefixReuse {
    /// Tokens that the engine found in its cache.
    pub reused: u64,
    /// Tokens that were computed before and had to be computed again.
    pub recomputed: u64,
}

struct TargetState {
    queue: CallQueue,
    waits: WaitEstimate,
    answer_tokens: f64,
}

struct Assigned {
    facts: CallMetadata,
    endpoint: EndpointName,
}

/// Decides which waiting call goes to which endpoint.
pub struct Scheduler {
    settings: SchedulerSettings,
    targets: HashMap<QueueKey, TargetState>,
    endpoints: HashMap<EndpointName, EndpointState>,
    waiting: HashMap<u64, CallMetadata>,
    assigned: HashMap<u64, Assigned>,
    prefixes: PrefixIndex,
    rates: HashMap<QueueKey, RateEstimator>,
    health: HealthTracker,
    entries: EntryCallCounts,
    retries: HashMap<EntryName, RetryBudget>,
    rng: ChaCha8Rng,
    next_ticket: u64,
}

impl Scheduler {
    /// Creates a scheduler without calls.
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            targets: HashMap::new(),
            endpoints: HashMap::new(),
            waiting: HashMap::new(),
            assigned: HashMap::new(),
            prefixes: PrefixIndex::default(),
            rates: HashMap::new(),
            health: HealthTracker::default(),
            entries: EntryCallCounts::default(),
            retries: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Lets a call in, or refuses it at once.
    ///
    /// A call that is let in counts against its entry until [`Scheduler::leave`].
    ///
    /// # Errors
    /// Refuses a call without endpoint, over its entry's limit or with too long a wait.
    pub fn enter(
        &mut self,
        facts: &CallMetadata,
        directory: &Directory,
        instances: usize,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let (kind, target) = &facts.queue;
        if directory.group(*kind, target).is_empty() {
            let message = format!("no endpoint serves {kind} {target}");
            let refusal = Refusal::not_run(ResultCode::NoEndpoint, message);
            return Err(refusal.retry_after(NO_ENDPOINT_RETRY));
        }
        if let Some(state) = self.targets.get(&facts.queue) {
            let class = facts.entry.class;
            let ahead = state.queue.waiting(class);
            let arrival = AdmissionRequest {
                expected_wait: state.waits.wait(ahead, state.queue.share(class)),
                bound: facts.entry.limits.queue(),
                under_way: facts.under_way,
                deadline: facts.deadline,
            };
            admit(arrival, now)?;
        }
        let limit = instance_share(facts.entry.limits.calls_in_flight, instances);
        if !self.entries.acquire(&facts.entry.name, limit) {
            let message = format!("entry {} has {limit} calls in flight here", facts.entry.name);
            let refusal = Refusal::not_run(ResultCode::LimitReached, message);
            return Err(refusal.retry_after(LIMIT_RETRY));
        }
        self.retries.entry(facts.entry.name.clone()).or_default().deposit();
        Ok(())
    }

    /// Ends what [`Scheduler::enter`] began.
    pub fn leave(&mut self, entry: &EntryName) {
        self.entries.release(entry);
    }

    /// Takes a retry from the budget of an entry. Returns whether there was one.
    pub fn withdraw_retry(&mut self, entry: &EntryName) -> bool {
        self.retries.entry(entry.clone()).or_default().withdraw()
    }

    /// Queues a call and returns its ticket.
    pub fn enqueue(&mut self, facts: CallMetadata, now: Timestamp) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let settings = &self.settings.queue;
        let target = self.targets.entry(facts.queue.clone()).or_insert_with(|| TargetState {
            queue: CallQueue::new(settings.clone()),
            waits: WaitEstimate::default(),
            answer_tokens: ANSWER_TOKENS,
        });
        let need = need_of(&facts, target.answer_tokens);
        let rates = self.rates.get(&facts.queue).map(RateEstimator::mean).unwrap_or_default();
        let uncached = need.prompt_tokens.saturating_sub(facts.history_tokens) as f64;
        let seconds = uncached * rates.prefill_seconds_per_token
            + need.answer_tokens as f64 * rates.decode_seconds_per_token
            + rates.overhead_seconds;
        target.queue.push(QueuedCall {
            ticket,
            class: facts.entry.class,
            owner: facts.entry.owner.clone(),
            under_way: facts.under_way,
            attained_tokens: facts.attained_tokens,
            deadline: facts.deadline,
            arrived: now,
            service: Duration::try_from_secs_f64(seconds).unwrap_or_default(),
        });
        self.waiting.insert(ticket, facts);
        ticket
    }

    /// Ends a call that waits or is assigned. Returns its queue if it was assigned.
    pub fn cancel(&mut self, ticket: u64, now: Timestamp) -> Option<QueueKey> {
        if let Some(facts) = self.waiting.remove(&ticket) {
            if let Some(target) = self.targets.get_mut(&facts.queue) {
                target.queue.remove(ticket);
            }
            return None;
        }
        let queue = self.assigned.get(&ticket)?.facts.queue.clone();
        self.finish(ticket, AssignmentOutcome::Cancelled, &Directory::default(), now);
        Some(queue)
    }

    /// Assigns waiting calls of a queue as long as endpoints have room.
    ///
    /// `freed` names an endpoint that is known to have room, if any.
    pub fn assign(
        &mut self,
        key: &QueueKey,
        freed: Option<&EndpointName>,
        directory: &Directory,
        now: Timestamp,
    ) -> Vec<Assignment> {
        let Some(mut target) = self.targets.remove(key) else {
            return Vec::new();
        };
        let mut assignments = Vec::new();
        while !target.queue.is_empty() {
            let Some(assignment) = self.assign_one(key, &mut target, freed, directory, now) else {
                break;
            };
            target.waits.started(!target.queue.is_empty(), now);
            assignments.push(assignment);
        }
        self.targets.insert(key.clone(), target);
        assignments
    }

    fn assign_one(
        &mut self,
        key: &QueueKey,
        target: &mut TargetState,
        freed: Option<&EndpointName>,
        directory: &Directory,
        now: Timestamp,
    ) -> Option<Assignment> {
        let placer = self.settings.placer.clone();
        let sample = self.sample(key, freed, directory, now);
        if sample.is_empty()
            || !(placer.needs_all_candidates() || sample.iter().any(|c| c.has_room))
        {
            return None;
        }
        let mut chosen = None;
        let mut held = HashMap::<EndpointName, u32>::new();
        let answer_tokens = target.answer_tokens;
        let picked = target.queue.pick(|call| {
            let Some(facts) = self.waiting.get(&call.ticket) else {
                return true;
            };
            let mut candidates = self.candidates(facts, &sample, directory, now);
            for candidate in &mut candidates {
                let before = held.get(&candidate.endpoint).copied().unwrap_or(0);
                candidate.wait += turnaround(candidate) * before;
            }
            match placer.place(need_of(facts, answer_tokens), &candidates) {
                PlacementDecision::Send(index) => {
                    chosen = candidates.into_iter().nth(index);
                    chosen.is_some()
                }
                PlacementDecision::WaitFor(index) => {
                    *held.entry(candidates[index].endpoint.clone()).or_default() += 1;
                    false
                }
                PlacementDecision::NoRoom => false,
            }
        })?;
        let facts = self.waiting.remove(&picked.ticket)?;
        let endpoint = directory.find(&chosen?.endpoint, now)?;
        let name = endpoint.announcement.name.clone();
        self.state(&endpoint).start(now);
        self.assigned.insert(picked.ticket, Assigned { facts, endpoint: name });
        Some(Assignment { ticket: picked.ticket, endpoint })
    }

    fn state(&mut self, known: &KnownEndpoint) -> &mut EndpointState {
        let announcement = &known.announcement;
        let state = self.endpoints.entry(announcement.name.clone());
        let state = state.or_insert_with(|| EndpointState::new(announcement.capacity));
        state.limit.set_capacity(announcement.capacity);
        state
    }

    /// Ends an assigned call and learns from it.
    pub fn finish(
        &mut self,
        ticket: u64,
        finish: AssignmentOutcome,
        directory: &Directory,
        now: Timestamp,
    ) -> PrefixReuse {
        let Some(Assigned { facts, endpoint }) = self.assigned.remove(&ticket) else {
            return PrefixReuse::default();
        };
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.end(finish != AssignmentOutcome::Cancelled, now);
        }
        match finish {
            AssignmentOutcome::Answered { usage, first_token, total } => {
                let sample = RateSample {
                    uncached_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
                    answer_tokens: usage.completion_tokens,
                    first_token,
                    total,
                };
                self.health.record(&endpoint, Outcome::Answered, &[], now);
                self.learn(&facts, &endpoint, sample, now);
                self.learn_prefix(&facts, &endpoint, usage, now)
            }
            AssignmentOutcome::Failed(outcome) => {
                let group = directory.group(facts.queue.0, &facts.queue.1);
                self.health.record(&endpoint, outcome, &group, now);
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.limit.lower(now);
                }
                PrefixReuse::default()
            }
            AssignmentOutcome::Cancelled => PrefixReuse::default(),
        }
    }

    /// Returns the queues in which calls wait.
    pub fn waiting_queues(&self) -> Vec<QueueKey> {
        let waiting = self.targets.iter().filter(|(_, target)| !target.queue.is_empty());
        waiting.map(|(key, _)| key.clone()).collect()
    }

    /// Follows endpoints that have gone or come back.
    pub fn follow(&mut self, directory: &Directory, now: Timestamp) {
        for (name, state) in &mut self.endpoints {
            let known = directory.find(name, now);
            if state.set_present(known.is_some()) {
                let group = known.map(|known| {
                    let announcement = &known.announcement;
                    let target = announcement.targets.first();
                    target.map(|target| directory.group(announcement.kind, target))
                });
                let group = group.flatten().unwrap_or_default();
                self.health.record(name, Outcome::Returned, &group, now);
            }
        }
    }

    /// Forgets the prefix of a program that has ended.
    pub fn forget_program(&mut self, program: &ProgramId) {
        self.prefixes.remove(&PrefixKey::Program(program.clone()));
    }

    /// Returns the known prefixes.
    pub fn prefixes(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the endpoints that calls were sent to.
    pub fn known_endpoints(&self) -> Vec<EndpointName> {
        self.endpoints.keys().cloned().collect()
    }
}

fn need_of(facts: &CallMetadata, answer_tokens: f64) -> CallDemand {
    CallDemand {
        prompt_tokens: facts.prompt_tokens,
        answer_tokens: facts.max_tokens.min(answer_tokens.max(1.0) as u64),
    }
}

#[cfg(test)]
mod tests;
