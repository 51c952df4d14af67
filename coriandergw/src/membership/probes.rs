//! The probes in flight and the order in which members are probed.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::membership::Timing;

/// A probe that has not been answered yet.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) target: InstanceName,
    pub(super) sent_at: Timestamp,
    pub(super) helpers_asked: bool,
}

/// The probes in flight, by sequence number, and the rest of the current round.
#[derive(Debug)]
pub(super) struct Probes {
    timing: Timing,
    next_sequence: u64,
    in_flight: BTreeMap<u64, Probe>,
    order: Vec<InstanceName>,
}

impl Probes {
    /// Creates a list without probes.
    pub(super) fn new(timing: Timing) -> Self {
        Self { timing, next_sequence: 0, in_flight: BTreeMap::new(), order: Vec::new() }
    }

    /// Returns whether a probe of `target` is in flight.
    pub(super) fn has_target(&self, target: &InstanceName) -> bool {
        self.in_flight.values().any(|probe| probe.target == *target)
    }

    /// Starts a probe and returns its sequence number.
    pub(super) fn start(&mut self, target: InstanceName, now: Timestamp) -> u64 {
        self.next_sequence += 1;
        let probe = Probe { target, sent_at: now, helpers_asked: false };
        self.in_flight.insert(self.next_sequence, probe);
        self.next_sequence
    }

    /// Removes a probe that was answered or could not be sent.
    pub(super) fn remove(&mut self, sequence: u64) {
        self.in_flight.remove(&sequence);
    }

    /// Drops all probes; called after this instance was stalled and may have missed the answers.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
    }

    /// Returns the probes whose direct time-out has passed and marks them, so that helpers are
    /// asked once per probe.
    pub(super) fn due_for_helpers(&mut self, now: Timestamp) -> Vec<(u64, InstanceName)> {
        let limit = self.timing.direct_timeout();
        let due = self
            .in_flight
            .iter_mut()
            .filter(|(_, probe)| !probe.helpers_asked && now.since(probe.sent_at) >= limit);
        due.map(|(sequence, probe)| {
            probe.helpers_asked = true;
            (*sequence, probe.target.clone())
        })
        .collect()
    }

    /// Removes the probes that have timed out and returns their targets.
    pub(super) fn take_timed_out(&mut self, now: Timestamp) -> Vec<InstanceName> {
        let limit = self.timing.probe_timeout;
        let is_timed_out = |probe: &Probe| now.since(probe.sent_at) >= limit;
        let timed_out = self.in_flight.extract_if(.., |_, probe| is_timed_out(probe));
        timed_out.map(|(_, probe)| probe.target).collect()
    }

    /// Returns the next of `targets`: each once per round, in a random order drawn for each round.
    pub(super) fn next_target<R>(
        &mut self,
        targets: &[InstanceName],
        rng: &mut R,
    ) -> Option<InstanceName>
    where
        R: Rng,
    {
        while let Some(next) = self.order.pop() {
            if targets.contains(&next) {
                return Some(next);
            }
        }
        self.order = targets.to_vec();
        self.order.shuffle(rng);
        self.order.pop()
    }
}
