//! The probes under way and the order in which members are probed.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::membership::Timing;

/// A probe of one member.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) target: InstanceName,
    pub(super) sent_at: Timestamp,
    pub(super) helpers_asked: bool,
}

/// The probes under way.
#[derive(Debug)]
pub(super) struct Probes {
    timing: Timing,
    next_sequence: u64,
    under_way: BTreeMap<u64, Probe>,
    order: Vec<InstanceName>,
}

impl Probes {
    /// Creates an empty list.
    pub(super) fn new(timing: Timing) -> Self {
        Self { timing, next_sequence: 0, under_way: BTreeMap::new(), order: Vec::new() }
    }

    /// Returns whether a probe of `target` is under way.
    pub(super) fn has_target(&self, target: &InstanceName) -> bool {
        self.under_way.values().any(|probe| probe.target == *target)
    }

    /// Starts a probe and returns its number.
    pub(super) fn start(&mut self, target: InstanceName, now: Timestamp) -> u64 {
        self.next_sequence += 1;
        let probe = Probe { target, sent_at: now, helpers_asked: false };
        self.under_way.insert(self.next_sequence, probe);
        self.next_sequence
    }

    /// Ends a probe that was answered.
    pub(super) fn answered(&mut self, sequence: u64) {
        self.under_way.remove(&sequence);
    }

    /// Drops all probes, since this instance was itself too late to see their answers.
    pub(super) fn clear(&mut self) {
        self.under_way.clear();
    }

    /// Returns the probes for which helpers are now to be asked.
    pub(super) fn due_for_helpers(&mut self, now: Timestamp) -> Vec<(u64, InstanceName)> {
        let limit = self.timing.direct_timeout();
        let due = self
            .under_way
            .iter_mut()
            .filter(|(_, probe)| !probe.helpers_asked && now.since(probe.sent_at) >= limit);
        due.map(|(sequence, probe)| {
            probe.helpers_asked = true;
            (*sequence, probe.target.clone())
        })
        .collect()
    }

    /// Ends the probes that nobody answered and returns their targets.
    pub(super) fn take_failed(&mut self, now: Timestamp) -> Vec<InstanceName> {
        let limit = self.timing.probe_timeout;
        let is_failed = |probe: &Probe| now.since(probe.sent_at) >= limit;
        let failed = self.under_way.extract_if(.., |_, probe| is_failed(probe));
        failed.map(|(_, probe)| probe.target).collect()
    }

    /// Returns the next of `targets`: each once, in an order that is drawn anew for each round.
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
