//! Orders the endpoints that a request may be sent to.
//!
//! The functions are pure: the current time and the known loads are passed as arguments.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::loads::Load;
use crate::ids::EndpointName;
use crate::rendezvous::hash_of;
use crate::roster::EndpointRecord;

/// How long a reported load is taken into account: about the duration of a few typical requests.
const REPORT_LIFETIME: Duration = Duration::from_millis(400);

/// An engine counts as overloaded when its load exceeds this multiple of the mean load plus
/// [`ENGINE_OVERLOAD_SLACK`] requests; a program is then sent to another engine than its preferred
/// one.
const ENGINE_OVERLOAD_FACTOR: f64 = 1.5;

/// The number of requests that an engine may have above [`ENGINE_OVERLOAD_FACTOR`] times the mean
/// load.
const ENGINE_OVERLOAD_SLACK: f64 = 6.0;

/// The number of endpoints of a service without engines that an instance prefers. With many
/// instances and endpoints, each pair exchanges too few requests to keep a connection open; a few
/// preferred endpoints reuse theirs and still spread the requests of one instance.
pub const PREFERRED_ENDPOINTS: usize = 6;

/// How many more requests a preferred endpoint may have than another one before that one is used.
const OTHER_ENDPOINT_PENALTY: f64 = 2.0;

/// How long a stated pace is taken into account. It changes every 20 to 200 ms; in trials of the
/// simulation in `choice/tests.rs`, 100 and 400 ms were no better.
const PACE_LIFETIME: Duration = Duration::from_millis(200);

/// How many usual processing times a full set of requests adds to the expected time until done, also
/// while slots are free. Without it, all instances choose the endpoint with the lowest pace until
/// that one is full: in trials of the simulation the mean time was then up to 8 times as long.
const LOAD_WEIGHT: f64 = 0.3;

/// An endpoint that a request may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointCandidate {
    /// The endpoint as listed in the roster.
    pub record: EndpointRecord,
    /// The load of the endpoint as this instance knows it.
    pub load: Load,
    /// Whether it is one of the [`PREFERRED_ENDPOINTS`] of this instance.
    pub is_preferred: bool,
}

impl EndpointCandidate {
    /// Returns the estimated number of requests at the endpoint.
    ///
    /// The estimate lies between the requests that this instance has in flight there and the last
    /// report, whose weight falls from 1 to 0 within [`REPORT_LIFETIME`]. It is never below the
    /// requests in flight.
    pub fn estimated(&self, now: Timestamp) -> f64 {
        let in_flight = f64::from(self.load.in_flight);
        let Some((report, at)) = self.load.reported else {
            return in_flight;
        };
        let age = now.since(at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        let reported = f64::from(report.running + report.waiting);
        in_flight.max(in_flight + (reported - in_flight) * (1.0 - age).max(0.0))
    }

    /// Returns the expected number of requests at the endpoint, including those that this instance
    /// sent since the last report.
    fn expected(&self, now: Timestamp) -> f64 {
        let in_flight = f64::from(self.load.in_flight);
        let Some((report, at)) = self.load.reported else {
            return in_flight;
        };
        let weight = weight(at, REPORT_LIFETIME, now);
        let reported = f64::from(report.running + report.waiting + self.load.sent_since_report);
        in_flight.max(in_flight + (reported - in_flight) * weight)
    }

    /// Returns the expected duration of work at the endpoint, as a multiple of the usual one. The
    /// last report counts less with its age.
    fn pace(&self, now: Timestamp) -> f64 {
        let stated = self.load.reported.and_then(|(report, at)| Some((report.pace?, at)));
        stated.map_or(1.0, |(pace, at)| {
            1.0 + (f64::from(pace) / 100.0 - 1.0) * weight(at, PACE_LIFETIME, now)
        })
    }

    /// Returns the number of requests that the endpoint processes at once.
    fn slots(&self) -> f64 {
        let reported = self.load.reported.map_or(0, |(report, _)| report.slots);
        f64::from(if reported > 0 { reported } else { self.record.slots.max(1) })
    }

    /// Returns the expected time until a request is done, as a multiple of the usual processing time
    /// of one. `penalty` is counted as further requests at the endpoint.
    fn time_until_done(&self, penalty: f64, now: Timestamp) -> f64 {
        let (requests, slots) = (self.expected(now) + penalty, self.slots());
        let beyond_slots = (requests + 1.0 - slots).max(0.0);
        self.pace(now) * (1.0 + beyond_slots / slots) + LOAD_WEIGHT * requests / slots
    }

    fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.load.backoff_until
    }
}

/// Returns the weight of a report from `at`, which falls from 1 to 0 within `lifetime`.
fn weight(at: Timestamp, lifetime: Duration, now: Timestamp) -> f64 {
    (1.0 - now.since(at).as_secs_f64() / lifetime.as_secs_f64()).max(0.0)
}

/// Returns how many of an endpoint's connections each of `entry_instances` instances may use; at
/// least 1. Entry instances are those that serve callers.
///
/// A connection carries one request at a time, so this also limits the concurrent requests of an
/// instance.
pub fn connection_share(connections_max: u32, entry_instances: usize) -> u32 {
    let entry_instances = u32::try_from(entry_instances).unwrap_or(u32::MAX);
    (connections_max / entry_instances.max(1)).max(1)
}

/// Orders engines for a program: first the engine that the journal placed it on, then the others by
/// rendezvous hashing of the program's key.
///
/// Among the others, overloaded engines come after the rest. Engines in backoff always come last.
///
/// All instances compute the same order for healthy engines without communication, so the prompts
/// of a program and of its sub-agents stay at the engine that caches them.
pub fn order_engines(
    candidates: &mut [EndpointCandidate],
    key: &str,
    preferred: Option<&EndpointName>,
    now: Timestamp,
) {
    let loads: f64 = candidates.iter().map(|candidate| candidate.estimated(now)).sum();
    let mean = loads / candidates.len().max(1) as f64;
    let bound = mean * ENGINE_OVERLOAD_FACTOR + ENGINE_OVERLOAD_SLACK;
    candidates.sort_by_cached_key(|candidate| {
        let is_overloaded = candidate.estimated(now) > bound;
        let hash = hash_of(key, candidate.record.id.as_str());
        let is_elsewhere = preferred != Some(&candidate.record.id);
        (candidate.is_backing_off(now), is_elsewhere, is_overloaded, std::cmp::Reverse(hash))
    });
}

/// Orders the endpoints of a service for an instance: first those in its data centre, then by
/// rendezvous hashing. The first [`PREFERRED_ENDPOINTS`] are the preferred ones.
///
/// The hash gives each endpoint a similar number of instances that prefer it, and the loss of an
/// endpoint moves only the requests that went there.
pub fn order_by_preference(records: &mut [EndpointRecord], own: &str, data_centre: &str) {
    records.sort_by_cached_key(|record| {
        let is_far = &*record.data_centre != data_centre;
        (is_far, std::cmp::Reverse(hash_of(own, record.id.as_str())))
    });
}

/// Orders the endpoints of a service without engines by their estimated load per slot, or, if one of
/// them states its pace, by the expected time until the request is done.
///
/// Endpoints that are not preferred count as having [`OTHER_ENDPOINT_PENALTY`] more requests.
///
/// `seed` breaks ties differently for each request, so that instances with the same information do
/// not all choose the same endpoint. The endpoint that `affinity` hashes to gets a bonus of less
/// than one request.
/// An endpoint that is still slow after its start counts as having one more request.
pub fn order_by_load(
    candidates: &mut [EndpointCandidate],
    affinity: Option<&str>,
    seed: u64,
    now: Timestamp,
) {
    let preferred = affinity.and_then(|key| {
        let hash = |candidate: &EndpointCandidate| hash_of(key, candidate.record.id.as_str());
        let best = candidates.iter().max_by_key(|candidate| hash(candidate));
        best.map(|candidate| candidate.record.id.clone())
    });
    let seed_text = seed.to_string();
    let uses_pace = candidates.iter().any(|candidate| candidate.load.states_pace());
    candidates.sort_by_cached_key(|candidate| {
        let slots = f64::from(candidate.record.slots.max(1));
        let tie_breaker =
            hash_of(&seed_text, candidate.record.id.as_str()) as f64 / u64::MAX as f64;
        let affinity_bonus =
            if preferred.as_ref() == Some(&candidate.record.id) { 0.9 } else { 0.0 };
        let distance_penalty = if candidate.is_preferred { 0.0 } else { OTHER_ENDPOINT_PENALTY };
        let cold_start_penalty = if candidate.record.cold_ms > 0 { 1.0 } else { 0.0 };
        let penalty = distance_penalty + cold_start_penalty;
        let offset = tie_breaker * 0.5 + penalty - affinity_bonus;
        let score = match uses_pace {
            true => candidate.time_until_done(offset, now),
            false => (candidate.estimated(now) + offset) / slots,
        };
        (candidate.is_backing_off(now), sort_key(score))
    });
}

/// Returns for how many of the best candidates a permit is asked for, in one call. `unlimited` is the
/// position of the first of the `candidates` that names no limit.
///
/// An engine keeps the prompts of its programs in memory. A turn that has no room at its engine
/// therefore moves to an engine without a limit, where the coming turns have room too, and not to
/// another limited one. Only a turn that a full engine has refused goes to any that has room.
pub fn limited_to_ask(
    is_engine: bool,
    was_refused: bool,
    unlimited: Option<usize>,
    candidates: usize,
) -> usize {
    match unlimited {
        Some(position) if is_engine && !was_refused => position.min(1),
        Some(position) => position,
        None => candidates,
    }
}

/// Converts a finite score into an integer with the same order, since `f64` is not `Ord`.
fn sort_key(score: f64) -> i64 {
    (score * 1_000_000.0) as i64
}

#[cfg(test)]
mod tests;
