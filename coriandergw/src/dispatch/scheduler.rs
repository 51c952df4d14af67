//! Decides which waiting call goes to which endpoint, from queues, endpoint loads, estimated rates
//! and known prefixes.
//!
//! The scheduler does no I/O and reads no clock. A call gets a ticket when it is queued; the ticket
//! identifies the call until it is finished or cancelled.

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
use crate::dispatch::scheduler::candidates::expected_slot_wait;
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

/// The time after which a caller should retry if no endpoint serves its target.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The time after which a caller should retry if the limit of its entry is reached.
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The answer length in tokens that is assumed before the first answer.
const INITIAL_ANSWER_TOKENS: f64 = 128.0;

/// Settings of the scheduler.
#[derive(Clone)]
pub struct SchedulerSettings {
    /// The settings for the order of waiting calls.
    pub queue: QueueSettings,
    /// The policy that chooses between endpoints.
    pub placement_policy: Arc<dyn PlacementPolicy>,
    /// The data centre of this instance; endpoints elsewhere count as remote.
    pub data_centre: DataCentre,
    /// The seed of random choices.
    pub seed: u64,
}

/// A call that has been assigned to an endpoint.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The ticket of the call.
    pub ticket: u64,
    /// The endpoint that the call is sent to.
    pub endpoint: KnownEndpoint,
}

/// How an assigned call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssignmentOutcome {
    /// The endpoint answered in full.
    Answered {
        /// The tokens that the call used.
        usage: Usage,
        /// The time from sending to the first token.
        first_token: Duration,
        /// The time from sending to the end of the answer.
        total: Duration,
    },
    /// The call failed at the endpoint.
    Failed(Outcome),
    /// The call was cancelled, which says nothing about the endpoint.
    Cancelled,
}

/// Counts the prompt tokens of an answered call that were or could have been reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefixReuse {
    /// Tokens that the engine found in its cache.
    pub reused: u64,
    /// Tokens that had been computed before and had to be computed again.
    pub recomputed: u64,
}

struct TargetState {
    queue: CallQueue,
    waits: WaitEstimate,
    answer_tokens: f64,
}

struct Assigned {
    metadata: CallMetadata,
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
    /// Creates a scheduler without calls or known endpoints.
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

    /// Admits a call, or refuses it immediately.
    ///
    /// An admitted call counts against the limit of its entry until [`Scheduler::release`].
    ///
    /// # Errors
    /// Refuses a call if no endpoint serves its target, if the limit of its entry is reached or if
    /// the expected wait is too long.
    pub fn admit(
        &mut self,
        metadata: &CallMetadata,
        directory: &Directory,
        instances: usize,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let (kind, target) = &metadata.queue;
        if directory.group(*kind, target).is_empty() {
            let message = format!("no endpoint serves {kind} {target}");
            let refusal = Refusal::not_run(ResultCode::NoEndpoint, message);
            return Err(refusal.retry_after(NO_ENDPOINT_RETRY_AFTER));
        }
        if let Some(state) = self.targets.get(&metadata.queue) {
            let class = metadata.entry.class;
            let ahead = state.queue.waiting(class);
            let request = AdmissionRequest {
                expected_wait: state.waits.wait(ahead, state.queue.share(class)),
                bound: metadata.entry.limits.queue(),
                under_way: metadata.under_way,
                deadline: metadata.deadline,
            };
            admit(request, now)?;
        }
        let limit = instance_share(metadata.entry.limits.calls_in_flight, instances);
        if !self.entries.acquire(&metadata.entry.name, limit) {
            let message = format!(
                "entry {} has reached its limit of {limit} calls in flight on this instance",
                metadata.entry.name
            );
            let refusal = Refusal::not_run(ResultCode::LimitReached, message);
            return Err(refusal.retry_after(LIMIT_RETRY_AFTER));
        }
        self.retries.entry(metadata.entry.name.clone()).or_default().deposit();
        Ok(())
    }

    /// Stops counting an admitted call against the limit of its entry; see [`Scheduler::admit`].
    pub fn release(&mut self, entry: &EntryName) {
        self.entries.release(entry);
    }

    /// Withdraws one retry from the retry budget of an entry. Returns whether the budget allows it.
    pub fn withdraw_retry(&mut self, entry: &EntryName) -> bool {
        self.retries.entry(entry.clone()).or_default().withdraw()
    }

    /// Queues a call and returns its ticket.
    pub fn enqueue(&mut self, metadata: CallMetadata, now: Timestamp) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let settings = &self.settings.queue;
        let target = self.targets.entry(metadata.queue.clone()).or_insert_with(|| TargetState {
            queue: CallQueue::new(settings.clone()),
            waits: WaitEstimate::default(),
            answer_tokens: INITIAL_ANSWER_TOKENS,
        });
        let demand = call_demand(&metadata, target.answer_tokens);
        let rates = self.rates.get(&metadata.queue).map(RateEstimator::mean).unwrap_or_default();
        let uncached = demand.prompt_tokens.saturating_sub(metadata.history_tokens) as f64;
        let seconds = uncached * rates.prefill_seconds_per_token
            + demand.answer_tokens as f64 * rates.decode_seconds_per_token
            + rates.overhead_seconds;
        target.queue.push(QueuedCall {
            ticket,
            class: metadata.entry.class,
            owner: metadata.entry.owner.clone(),
            under_way: metadata.under_way,
            attained_tokens: metadata.attained_tokens,
            deadline: metadata.deadline,
            arrived: now,
            service: Duration::try_from_secs_f64(seconds).unwrap_or_default(),
        });
        self.waiting.insert(ticket, metadata);
        ticket
    }

    /// Cancels a call that is waiting or assigned. Returns its queue if it was assigned.
    pub fn cancel(&mut self, ticket: u64, now: Timestamp) -> Option<QueueKey> {
        if let Some(metadata) = self.waiting.remove(&ticket) {
            if let Some(target) = self.targets.get_mut(&metadata.queue) {
                target.queue.remove(ticket);
            }
            return None;
        }
        let queue = self.assigned.get(&ticket)?.metadata.queue.clone();
        self.finish(ticket, AssignmentOutcome::Cancelled, &Directory::default(), now);
        Some(queue)
    }

    /// Assigns waiting calls of a queue while endpoints have free capacity.
    ///
    /// `freed` names an endpoint at which a call has just ended, if any.
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
        let placement_policy = self.settings.placement_policy.clone();
        let sample = self.sample(key, freed, directory, now);
        if sample.is_empty()
            || !(placement_policy.needs_all_candidates()
                || sample.iter().any(|candidate| candidate.has_room))
        {
            return None;
        }
        let mut chosen = None;
        // The number of calls that wait for each endpoint; they take its slots before later calls.
        let mut deferred = HashMap::<EndpointName, u32>::new();
        let answer_tokens = target.answer_tokens;
        let picked = target.queue.pick(|call| {
            let Some(metadata) = self.waiting.get(&call.ticket) else {
                return true;
            };
            let mut candidates = self.candidates(metadata, &sample, directory, now);
            for candidate in &mut candidates {
                let ahead = deferred.get(&candidate.endpoint).copied().unwrap_or(0);
                candidate.wait += expected_slot_wait(candidate) * ahead;
            }
            match placement_policy.place(call_demand(metadata, answer_tokens), &candidates) {
                PlacementDecision::Send(index) => {
                    chosen = candidates.into_iter().nth(index);
                    chosen.is_some()
                }
                PlacementDecision::WaitFor(index) => {
                    *deferred.entry(candidates[index].endpoint.clone()).or_default() += 1;
                    false
                }
                PlacementDecision::NoRoom => false,
            }
        })?;
        let metadata = self.waiting.remove(&picked.ticket)?;
        let endpoint = directory.find(&chosen?.endpoint, now)?;
        let name = endpoint.announcement.name.clone();
        self.endpoint_state(&endpoint).start(now);
        self.assigned.insert(picked.ticket, Assigned { metadata, endpoint: name });
        Some(Assignment { ticket: picked.ticket, endpoint })
    }

    fn endpoint_state(&mut self, known: &KnownEndpoint) -> &mut EndpointState {
        let announcement = &known.announcement;
        let state = self.endpoints.entry(announcement.name.clone());
        let state = state.or_insert_with(|| EndpointState::new(announcement.capacity));
        state.limit.set_capacity(announcement.capacity);
        state
    }

    /// Ends an assigned call and updates estimates, health and known prefixes from its outcome.
    pub fn finish(
        &mut self,
        ticket: u64,
        outcome: AssignmentOutcome,
        directory: &Directory,
        now: Timestamp,
    ) -> PrefixReuse {
        let Some(Assigned { metadata, endpoint }) = self.assigned.remove(&ticket) else {
            return PrefixReuse::default();
        };
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.end(outcome != AssignmentOutcome::Cancelled, now);
        }
        match outcome {
            AssignmentOutcome::Answered { usage, first_token, total } => {
                let sample = RateSample {
                    uncached_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
                    answer_tokens: usage.completion_tokens,
                    first_token,
                    total,
                };
                self.health.record(&endpoint, Outcome::Answered, &[], now);
                self.update_estimates(&metadata, &endpoint, sample, now);
                self.record_prefixes(&metadata, &endpoint, usage, now)
            }
            AssignmentOutcome::Failed(failure) => {
                let group = directory.group(metadata.queue.0, &metadata.queue.1);
                self.health.record(&endpoint, failure, &group, now);
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.limit.lower(now);
                }
                PrefixReuse::default()
            }
            AssignmentOutcome::Cancelled => PrefixReuse::default(),
        }
    }

    /// Returns the queues that have waiting calls.
    pub fn waiting_queues(&self) -> Vec<QueueKey> {
        let waiting = self.targets.iter().filter(|(_, target)| !target.queue.is_empty());
        waiting.map(|(key, _)| key.clone()).collect()
    }

    /// Updates which endpoints are announced, and records the return of those that were absent.
    pub fn update_presence(&mut self, directory: &Directory, now: Timestamp) {
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

    /// Removes the prefix of a program that has ended.
    pub fn forget_program(&mut self, program: &ProgramId) {
        self.prefixes.remove(&PrefixKey::Program(program.clone()));
    }

    /// Returns the index of prefixes and the endpoints that hold them.
    pub fn prefixes(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the endpoints that calls have been assigned to.
    pub fn known_endpoints(&self) -> Vec<EndpointName> {
        self.endpoints.keys().cloned().collect()
    }
}

fn call_demand(metadata: &CallMetadata, answer_tokens: f64) -> CallDemand {
    CallDemand {
        prompt_tokens: metadata.prompt_tokens,
        answer_tokens: metadata.max_tokens.min(answer_tokens.max(1.0) as u64),
    }
}

#[cfg(test)]
mod tests;
