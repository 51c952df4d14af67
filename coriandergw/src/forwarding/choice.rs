//! Chooses the endpoint of a request. Pure: the time and what is known are arguments.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::loads::Load;
use crate::ids::EndpointName;
use crate::rendezvous::hash_of;
use crate::roster::EndpointRecord;

/// How long a reported load tells anything: a few requests of usual length.
const REPORT_COUNTS: Duration = Duration::from_millis(400);

/// An engine is too busy for a program that belongs there once it has this many times the mean load
/// and [`ENGINE_SLACK`] requests more.
const ENGINE_EXCESS: f64 = 1.5;

/// The requests that an engine may have above [`ENGINE_EXCESS`] times the mean.
const ENGINE_SLACK: f64 = 6.0;

/// One endpoint that might take a request.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCandidate {
    /// The endpoint.
    pub record: EndpointRecord,
    /// What is known of its load.
    pub load: Load,
}

impl EndpointCandidate {
    /// Returns the requests that it probably has: a fresh report fades to the own count.
    pub fn estimated(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.load.in_flight);
        let Some((report, at)) = self.load.reported else {
            return own;
        };
        let age = now.since(at).as_secs_f64() / REPORT_COUNTS.as_secs_f64();
        let reported = f64::from(report.running + report.waiting);
        own.max(own + (reported - own) * (1.0 - age).max(0.0))
    }

    fn rests(&self, now: Timestamp) -> bool {
        now < self.load.backoff_until
    }
}

/// Returns how many of the connections that an endpoint accepts are for one of `entries` instances.
///
/// Each connection carries one request at a time, so this bounds the requests of one instance as well.
pub fn connection_share(connections_max: u32, entries: usize) -> u32 {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    (connections_max / entries.max(1)).max(1)
}

/// Orders engines for a program: the one that the journal placed it on, then the one that its key belongs
/// to unless it is too busy. One that failed lately comes last.
///
/// All instances agree on the order of sound engines without a message, so that a program's prompt
/// and those of its sub-agents stay where they are cached.
pub fn order_engines(
    candidates: &mut [EndpointCandidate],
    key: &str,
    home: Option<&EndpointName>,
    now: Timestamp,
) {
    let loads: f64 = candidates.iter().map(|candidate| candidate.estimated(now)).sum();
    let mean = loads / candidates.len().max(1) as f64;
    let bound = mean * ENGINE_EXCESS + ENGINE_SLACK;
    candidates.sort_by_cached_key(|candidate| {
        let is_busy = candidate.estimated(now) > bound;
        let place = hash_of(key, candidate.record.id.as_str());
        let is_elsewhere = home != Some(&candidate.record.id);
        (candidate.rests(now), is_elsewhere, is_busy, std::cmp::Reverse(place))
    });
}

/// Orders endpoints of a plain service by their estimated load for each slot.
///
/// `seed` breaks ties differently for each request, so that instances with equal knowledge do not
/// all choose the same endpoint. An endpoint that knows the object, by `affinity`, gets a head start
/// of less than one request.
pub fn order_by_load(
    candidates: &mut [EndpointCandidate],
    affinity: Option<&str>,
    seed: u64,
    now: Timestamp,
) {
    let home = affinity.and_then(|key| {
        let place = |candidate: &EndpointCandidate| hash_of(key, candidate.record.id.as_str());
        let best = candidates.iter().max_by_key(|candidate| place(candidate));
        best.map(|candidate| candidate.record.id.clone())
    });
    let seed_text = seed.to_string();
    candidates.sort_by_cached_key(|candidate| {
        let slots = f64::from(candidate.record.slots.max(1));
        let tie = hash_of(&seed_text, candidate.record.id.as_str()) as f64 / u64::MAX as f64;
        let head_start = if home.as_ref() == Some(&candidate.record.id) { 0.9 } else { 0.0 };
        let cold = if candidate.record.cold_ms > 0 { 1.0 } else { 0.0 };
        let score = (candidate.estimated(now) + tie * 0.5 + cold - head_start) / slots;
        (candidate.rests(now), ordered(score))
    });
}

/// Turns a finite score into a number that sorts like it.
fn ordered(score: f64) -> i64 {
    (score * 1_000_000.0) as i64
}
