//! Counts the crashes that each request is a suspect of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::ids::EndpointName;

/// The crashes after which a request is sent apart from other suspects.
const CRASHES_UNTIL_ISOLATED: usize = 2;

/// The crashes after which a request is not sent any more.
const CRASHES_UNTIL_BLOCKED: usize = 3;

/// How long a request is blocked after its third crash while another request is a suspect of the
/// same three. It is then tried once more.
const SHARED_BLAME_BLOCK: Duration = Duration::from_secs(5);

/// How long reports of a crash by other instances may take to arrive. Until then a request is not
/// known to be the only one that is a suspect of all three crashes.
const REPORTS_LATENCY: Duration = Duration::from_millis(500);

/// How long the crashes of a blocked request are kept after it last came again.
const BLOCK_RETENTION: Duration = Duration::from_secs(3_600);

/// How long any other crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// How often the crashes of a blocked request that keeps coming are reported again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of crashes in the table.
const CRASHES_MAX: usize = 512;

/// The maximum number of suspects of a crash.
const REQUESTS_MAX: usize = 256;

/// The maximum number of entries that are cleared of a crash: each suspect and its class.
const CLEARED_MAX: usize = 2 * REQUESTS_MAX;

/// What the known crashes say of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The request may be sent to any endpoint.
    Free,
    /// The request may be sent apart from other suspects.
    Suspected,
    /// The request must not be sent.
    Blocked {
        /// The number of crashes that it is a suspect of.
        crashes: usize,
        /// When it may be tried again, if it does not come before.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Known {
    crash: Crash,
    /// When this process learned of the crash.
    learned_at: Timestamp,
    /// When the crash was last reported, or one of its blocked requests last came again.
    used_at: Timestamp,
}

/// The crashes known to a process.
#[derive(Debug, Default)]
pub struct CrashTable {
    crashes: BTreeMap<Incarnation, Known>,
    revision: u64,
}

impl CrashTable {
    /// Merges a report; returns whether it says anything new.
    pub fn merge(&mut self, report: Crash, now: Timestamp) -> bool {
        let is_new = !self.crashes.contains_key(&report.incarnation);
        let known = self.crashes.entry(report.incarnation.clone()).or_insert_with(|| Known {
            crash: Crash {
                incarnation: report.incarnation.clone(),
                suspects: BTreeSet::new(),
                cleared: BTreeSet::new(),
            },
            learned_at: now,
            used_at: now,
        });
        let has_suspects = add(&mut known.crash.suspects, report.suspects, REQUESTS_MAX);
        let has_cleared = add(&mut known.crash.cleared, report.cleared, CLEARED_MAX);
        if has_suspects {
            known.learned_at = now;
            known.used_at = now;
        }
        let is_changed = is_new || has_suspects || has_cleared;
        if is_changed {
            self.revision += 1;
        }
        if is_new && self.crashes.len() > CRASHES_MAX {
            self.remove_least_useful();
        }
        is_changed
    }

    /// Clears a request of all crashes; returns the crashes that it was a suspect of, as reports to
    /// be merged elsewhere.
    pub fn clear(&mut self, request: &RequestDigest) -> Vec<Crash> {
        let mut reports = Vec::new();
        for crash in self.crashes.values_mut().map(|known| &mut known.crash) {
            let mut cleared = BTreeSet::new();
            if crash.accuses(request) {
                cleared.insert(*request);
            }
            if crash.accuses_class_of(request) {
                cleared.insert(request.of_class());
            }
            if !cleared.is_empty() {
                crash.cleared.extend(&cleared);
                let (incarnation, suspects) = (crash.incarnation.clone(), BTreeSet::new());
                reports.push(Crash { incarnation, suspects, cleared });
            }
        }
        if !reports.is_empty() {
            self.revision += 1;
        }
        reports
    }

    /// Keeps the crashes of a request that came again; returns those that were not reported lately,
    /// as reports.
    pub fn renew(&mut self, request: &RequestDigest, now: Timestamp) -> Vec<Crash> {
        let is_due = |known: &&mut Known| {
            let accuses = known.crash.accuses(request) || known.crash.accuses_class_of(request);
            accuses && now.since(known.used_at) >= RENEWAL_INTERVAL
        };
        let renew = |known: &mut Known| {
            known.used_at = now;
            known.crash.clone()
        };
        self.crashes.values_mut().filter(is_due).map(renew).collect()
    }

    /// Marks a crash as reported again.
    pub fn touch(&mut self, incarnation: &Incarnation, now: Timestamp) {
        if let Some(known) = self.crashes.get_mut(incarnation) {
            known.used_at = now;
        }
    }

    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether an incarnation of an endpoint is known to have crashed.
    pub fn has_crashed(&self, incarnation: &Incarnation) -> bool {
        self.crashes.contains_key(incarnation)
    }

    /// Returns a number that grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all crashes.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values().map(|known| &known.crash)
    }

    /// Returns the crashes that a request or its class is a suspect of, whichever are more.
    fn held_against(&self, request: &RequestDigest) -> Vec<&Known> {
        let all = self.crashes.values();
        let of_class: Vec<&Known> =
            all.clone().filter(|known| known.crash.accuses_class_of(request)).collect();
        let of_request: Vec<&Known> = all.filter(|known| known.crash.accuses(request)).collect();
        if of_request.len() > of_class.len() { of_request } else { of_class }
    }

    /// Returns the number of crashes that a request or its class is a suspect of.
    pub fn count(&self, request: &RequestDigest) -> usize {
        self.held_against(request).len()
    }

    /// Returns the endpoints whose crashes a request is a suspect of.
    pub fn endpoints_of(&self, request: &RequestDigest) -> Vec<EndpointName> {
        let held = self.held_against(request).into_iter();
        held.map(|known| known.crash.incarnation.endpoint.clone()).collect()
    }

    /// Returns what may be done with a request.
    pub fn standing(&self, request: &RequestDigest, now: Timestamp) -> Standing {
        let held = self.held_against(request);
        let crashes = held.len();
        if crashes < CRASHES_UNTIL_ISOLATED {
            return Standing::Free;
        }
        if crashes < CRASHES_UNTIL_BLOCKED {
            return Standing::Suspected;
        }
        if crashes > CRASHES_UNTIL_BLOCKED {
            return Standing::Blocked { crashes, retry_after: BLOCK_RETENTION };
        }
        let last = held.iter().map(|known| known.learned_at).max().unwrap_or(now);
        let blocked = Standing::Blocked { crashes, retry_after: BLOCK_RETENTION };
        let (block, after) = match shares_blame(request, &held) {
            true => (SHARED_BLAME_BLOCK, Standing::Suspected),
            false => (REPORTS_LATENCY, blocked),
        };
        match block.checked_sub(now.since(last)) {
            Some(retry_after) if !retry_after.is_zero() => {
                Standing::Blocked { crashes, retry_after }
            }
            _ => after,
        }
    }

    /// Returns the classes of requests that are to be sent apart from each other, in order.
    pub fn isolated(&self, now: Timestamp) -> Vec<RequestDigest> {
        let counts = self.counts();
        let suspects = counts.into_iter().filter(|(_, count)| *count >= CRASHES_UNTIL_ISOLATED);
        suspects
            .map(|(request, _)| request)
            .filter(|request| self.standing(request, now) == Standing::Suspected)
            .collect()
    }

    /// Removes crashes that were not reported again within their retention.
    pub fn expire(&mut self, now: Timestamp) {
        if self.crashes.values().all(|known| now.since(known.used_at) < CRASH_RETENTION) {
            return;
        }
        let counts = self.counts();
        self.crashes.retain(|_, known| {
            let retention = match is_needed(&known.crash, &counts) {
                true => BLOCK_RETENTION,
                false => CRASH_RETENTION,
            };
            now.since(known.used_at) < retention
        });
    }

    /// Counts the crashes of each class of requests.
    fn counts(&self) -> BTreeMap<RequestDigest, usize> {
        let mut counts = BTreeMap::new();
        for crash in self.crashes() {
            let classes: BTreeSet<RequestDigest> =
                crash.suspects.iter().map(|request| request.of_class()).collect();
            for class in classes.difference(&crash.cleared) {
                *counts.entry(*class).or_default() += 1;
            }
        }
        counts
    }

    /// Removes the crash that was not reported for the longest time; one that blocks a request only
    /// if all do.
    fn remove_least_useful(&mut self) {
        let counts = self.counts();
        let usefulness = |known: &Known| (is_needed(&known.crash, &counts), known.used_at);
        let least = self.crashes.values().min_by_key(|known| usefulness(known));
        if let Some(incarnation) = least.map(|known| known.crash.incarnation.clone()) {
            self.crashes.remove(&incarnation);
        }
    }
}

/// Adds requests to a set of at most `max`; returns whether any was added.
fn add(set: &mut BTreeSet<RequestDigest>, requests: BTreeSet<RequestDigest>, max: usize) -> bool {
    let before = set.len();
    for request in requests {
        if set.len() < max {
            set.insert(request);
        }
    }
    set.len() > before
}

/// Returns whether a crash is among those that block a class of requests.
fn is_needed(crash: &Crash, counts: &BTreeMap<RequestDigest, usize>) -> bool {
    crash.suspects.iter().map(|request| request.of_class()).any(|class| {
        crash.accuses_class_of(&class)
            && counts.get(&class).is_some_and(|count| *count >= CRASHES_UNTIL_BLOCKED)
    })
}

/// Returns whether a request of another class is a suspect of all the crashes that `request` is a
/// suspect of.
fn shares_blame(request: &RequestDigest, held: &[&Known]) -> bool {
    let Some((first, others)) = held.split_first() else {
        return false;
    };
    first.crash.suspects.iter().any(|suspect| {
        !suspect.has_class_of(request)
            && first.crash.accuses_class_of(suspect)
            && others.iter().all(|known| known.crash.accuses_class_of(suspect))
    })
}

#[cfg(test)]
mod tests;
