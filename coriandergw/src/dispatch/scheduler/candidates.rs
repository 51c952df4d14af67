//! The endpoints that a call is offered: a bounded number, whatever the size of the group.

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

/// Groups up to this size are looked at as a whole.
pub(super) const WHOLE_GROUP_MAX: usize = 12;

/// The endpoints that are drawn at random from a larger group.
const RANDOM_CANDIDATES: usize = 4;

/// The endpoints that are tried at random to find one with room.
const PROBES_MAX: usize = 12;

/// The time for the way to an endpoint of another data centre and back.
const FAR_TRANSFER: Duration = Duration::from_millis(2);

impl Scheduler {
    /// Returns the endpoints that every call of a queue is offered, with their load.
    pub(super) fn sample(
        &mut self,
        key: &QueueKey,
        freed: Option<&EndpointName>,
        directory: &Directory,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let group = directory.group(key.0, &key.1);
        if group.len() <= WHOLE_GROUP_MAX || self.settings.placer.needs_all_candidates() {
            let found = group.iter().filter_map(|name| self.candidate(key, name, directory, now));
            let mut found: Vec<Candidate> = found.collect();
            // Ties go to the first one, which must not be the same on all instances.
            found.shuffle(&mut self.rng);
            return found;
        }
        let mut found: Vec<Candidate> = Vec::new();
        if let Some(name) = freed.filter(|name| group.contains(name)) {
            found.extend(self.candidate(key, name, directory, now));
        }
        for _ in 0..PROBES_MAX {
            let name = &group[self.rng.random_range(0..group.len())];
            let is_new = found.iter().all(|candidate| candidate.endpoint != *name);
            let candidate =
                self.candidate(key, name, directory, now).filter(|c| is_new && c.has_room);
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
        let rates = self.rates.get(key).map(|book| book.rates(name)).unwrap_or_default();
        let state = self.endpoints.get(name);
        let fresh = EndpointState::new(known.announcement.capacity);
        let state = state.unwrap_or(&fresh);
        let load = state.load(&known, now);
        let room = state.limit.get().min(known.announcement.capacity);
        let far = known.announcement.data_centre != self.settings.data_centre;
        let suspicion = state.suspicion(rates.service_seconds, now);
        let mut candidate = Candidate {
            endpoint: name.clone(),
            has_room: load < room,
            load,
            capacity: known.announcement.capacity,
            wait: Duration::ZERO,
            cached_tokens: 0,
            rates,
            transfer: if far { FAR_TRANSFER } else { Duration::ZERO },
            weight: self.health.weight(name, now) * suspicion,
        };
        if !candidate.has_room {
            candidate.wait = turnaround(&candidate);
        }
        Some(candidate)
    }

    /// Adds the holders of a call's prefixes to the sample and fills in what is cached where.
    pub(super) fn candidates(
        &self,
        facts: &CallMetadata,
        sample: &[Candidate],
        directory: &Directory,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let mut candidates = sample.to_vec();
        for (prefix, bound) in &facts.prefixes {
            for (holder, tokens) in self.prefixes.holders(prefix) {
                let known = candidates.iter().position(|one| one.endpoint == *holder);
                let index = known.or_else(|| {
                    let found = directory.find(holder, now)?;
                    let serves = found.announcement.targets.contains(&facts.queue.1);
                    let candidate =
                        self.candidate(&facts.queue, holder, directory, now).filter(|_| serves)?;
                    candidates.push(candidate);
                    Some(candidates.len() - 1)
                });
                if let Some(candidate) = index.and_then(|index| candidates.get_mut(index)) {
                    candidate.cached_tokens = candidate.cached_tokens.max(tokens.min(*bound));
                }
            }
        }
        let others = candidates.iter().filter(|one| !facts.excluded.contains(&one.endpoint));
        let others: Vec<Candidate> = others.cloned().collect();
        if others.is_empty() { candidates } else { others }
    }
}

/// Returns how often a candidate that is full is expected to end a call.
pub(super) fn turnaround(candidate: &Candidate) -> Duration {
    let seconds = candidate.rates.service_seconds / f64::from(candidate.load.max(1));
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
