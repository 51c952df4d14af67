//! Selects the candidate endpoints of a call: a bounded number, whatever the size of the group.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Timestamp;
use crate::dispatch::call_metadata::CallMetadata;
use crate::dispatch::call_metadata::QueueKey;
use crate::dispatch::endpoint_state::EndpointState;
use crate::dispatch::scheduler::Scheduler;
use crate::endpoints::directory::Directory;
use crate::ids::EndpointName;
use crate::placement::Candidate;

/// The largest group of which all endpoints are candidates.
pub(super) const MAX_FULL_GROUP: usize = 12;

/// The number of candidates drawn at random from a larger group, in addition to the endpoint at
/// which a call has just ended. Without such an endpoint, 1 more is drawn.
const RANDOM_CANDIDATES: usize = 4;

/// The maximum number of random draws to find endpoints with free capacity.
const MAX_PROBES: usize = 12;

/// The assumed round-trip time to an endpoint in another data centre.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(2);

impl Scheduler {
    /// Returns the candidates that all calls of a queue share, with their load.
    pub(super) fn sample(
        &mut self,
        key: &QueueKey,
        freed: Option<&EndpointName>,
        directory: &Directory,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let group = directory.group(key.0, &key.1);
        if group.len() <= MAX_FULL_GROUP || self.settings.placement_policy.needs_all_candidates() {
            let found = group.iter().filter_map(|name| self.candidate(key, name, directory, now));
            let mut found: Vec<Candidate> = found.collect();
            // Ties go to the first candidate, which must not be the same on all instances.
            found.shuffle(&mut self.rng);
            return found;
        }
        let mut found: Vec<Candidate> = Vec::new();
        if let Some(name) = freed.filter(|name| group.contains(name)) {
            found.extend(self.candidate(key, name, directory, now));
        }
        for _ in 0..MAX_PROBES {
            let name = &group[self.rng.random_range(0..group.len())];
            let is_new = found.iter().all(|candidate| candidate.endpoint != *name);
            let candidate = self
                .candidate(key, name, directory, now)
                .filter(|candidate| is_new && candidate.has_room);
            found.extend(candidate);
            if found.len() > RANDOM_CANDIDATES {
                break;
            }
        }
        found
    }

    fn candidate(
        &self,
        key: &QueueKey,
        name: &EndpointName,
        directory: &Directory,
        now: Timestamp,
    ) -> Option<Candidate> {
        let known = directory.find(name, now)?;
        let rates = self.rates.get(key).map(|estimator| estimator.rates(name)).unwrap_or_default();
        let state = self.endpoints.get(name);
        let idle = EndpointState::new(known.announcement.capacity);
        let state = state.unwrap_or(&idle);
        let load = state.load(&known, now);
        let limit = state.limit.get().min(known.announcement.capacity);
        let is_remote = known.announcement.data_centre != self.settings.data_centre;
        let suspicion_factor = state.suspicion_factor(rates.service_seconds, now);
        let mut candidate = Candidate {
            endpoint: name.clone(),
            has_room: load < limit,
            load,
            capacity: known.announcement.capacity,
            wait: Duration::ZERO,
            cached_tokens: 0,
            rates,
            transfer: if is_remote { REMOTE_ROUND_TRIP } else { Duration::ZERO },
            weight: self.health.weight(name, now) * suspicion_factor,
        };
        if !candidate.has_room {
            candidate.wait = expected_slot_wait(&candidate);
        }
        Some(candidate)
    }

    /// Returns the sample with the endpoints that hold the call's prefixes added and the number of
    /// cached tokens filled in. Leaves out excluded endpoints unless no others remain.
    pub(super) fn candidates(
        &self,
        metadata: &CallMetadata,
        sample: &[Candidate],
        directory: &Directory,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let mut candidates = sample.to_vec();
        for (prefix, max_tokens) in &metadata.prefixes {
            for (holder, tokens) in self.prefixes.holders(prefix) {
                let position =
                    candidates.iter().position(|candidate| candidate.endpoint == *holder);
                let index = position.or_else(|| {
                    let found = directory.find(holder, now)?;
                    let serves = found.announcement.targets.contains(&metadata.queue.1);
                    let candidate = self
                        .candidate(&metadata.queue, holder, directory, now)
                        .filter(|_| serves)?;
                    candidates.push(candidate);
                    Some(candidates.len() - 1)
                });
                if let Some(candidate) = index.and_then(|index| candidates.get_mut(index)) {
                    candidate.cached_tokens = candidate.cached_tokens.max(tokens.min(*max_tokens));
                }
            }
        }
        let others =
            candidates.iter().filter(|candidate| !metadata.excluded.contains(&candidate.endpoint));
        let others: Vec<Candidate> = others.cloned().collect();
        if others.is_empty() { candidates } else { others }
    }
}

/// Returns the expected time until a full candidate finishes one of its calls.
pub(super) fn expected_slot_wait(candidate: &Candidate) -> Duration {
    let seconds = candidate.rates.service_seconds / f64::from(candidate.load.max(1));
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
