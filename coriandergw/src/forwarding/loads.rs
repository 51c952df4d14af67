//! The load and recent failures of endpoints, as this instance knows them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::ids::EndpointName;

/// The backoff after the first failure of an endpoint; doubled with each further failure.
const BACKOFF_INITIAL: Duration = Duration::from_millis(250);

/// The longest backoff of a failing endpoint.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// The backoff of an endpoint that refused a request because it is full.
const SATURATED_BACKOFF: Duration = Duration::from_millis(30);

/// The weight of the latest turn in the mean time between completions at an engine: the mean follows a
/// change within about ten turns.
const COMPLETION_WEIGHT: f64 = 0.2;

/// How many doublings of the time between sends a refusal adds. A full endpoint has work in its queue, so
/// a long time leaves no slot free; with many instances, smaller steps cost several refusals at each of
/// them before the time is long enough.
const COMPETITION_STEP_UP: f64 = 3.0;

/// How many doublings an accepted request takes away, so that about one send in eight is refused while
/// an endpoint stays full.
const COMPETITION_STEP_DOWN: f64 = 0.45;

/// The most doublings; the hold of a full endpoint is bounded in any case.
const COMPETITION_MAX: f64 = 8.0;

/// The time without a refusal after which one doubling less is assumed. It must be longer than the holds
/// of full endpoints, which would otherwise never reach the length that many instances need.
const COMPETITION_DECAY: Duration = Duration::from_secs(4);

/// An endpoint whose reported requests are below this part of its capacity is not competed for.
const FREE_SHARE: f64 = 0.75;

/// The load and failures of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// The number of requests that this instance has in flight at the endpoint.
    pub in_flight: u32,
    /// How many of these were sent since the last report, which therefore does not count them.
    pub sent_since_report: u32,
    /// The load that the endpoint last reported, and when.
    pub reported: Option<(ReportedLoad, Timestamp)>,
    /// The end of the backoff; until then the endpoint is tried only after all others.
    pub backoff_until: Timestamp,
    /// The number of consecutive failures.
    pub failures: u32,
    /// How much other instances compete for the room of an endpoint that is full, see
    /// [`Self::competition`], when it last refused a request.
    pub competition_at_refusal: f64,
    /// When it last refused a request as full.
    pub full_at: Timestamp,
    /// The number of requests, running and waiting, at which the endpoint last stated that it is full.
    pub capacity: Option<u32>,
    /// The mean time between two completions at the endpoint while all its slots are in use.
    pub completion_interval: Option<Duration>,
}

impl Load {
    /// Returns whether the endpoint stated its pace in its last report.
    pub fn states_pace(&self) -> bool {
        self.reported.is_some_and(|(report, _)| report.pace.is_some())
    }

    /// Returns how often the time between sends to an endpoint that is full must be doubled, since other
    /// instances send to it too; 0 if it has not refused a request lately.
    pub fn competition(&self, now: Timestamp) -> f64 {
        let decay = now.since(self.full_at).as_secs_f64() / COMPETITION_DECAY.as_secs_f64();
        (self.competition_at_refusal - decay).max(0.0)
    }

    /// Returns whether a report shows room for several requests.
    fn has_room(&self, report: &ReportedLoad) -> bool {
        let requests = f64::from(report.running + report.waiting);
        self.capacity.is_some_and(|capacity| requests < f64::from(capacity) * FREE_SHARE)
    }

    /// Adds a request that took `duration` to the mean time between completions. By Little's law the
    /// time between completions is the duration divided by the number of requests at the endpoint.
    fn note_duration(&mut self, report: &ReportedLoad, duration: Duration) {
        let requests = (report.running + report.waiting).max(report.slots).max(1);
        let latest = duration / requests;
        let mean = self.completion_interval.map_or(latest, |mean| {
            mean.mul_f64(1.0 - COMPLETION_WEIGHT) + latest.mul_f64(COMPLETION_WEIGHT)
        });
        self.completion_interval = Some(mean);
    }
}

/// The loads of all endpoints that this instance has sent requests to.
#[derive(Debug, Default)]
pub struct Loads {
    known: Mutex<HashMap<EndpointName, Load>>,
}

impl Loads {
    fn update<F>(&self, endpoint: &EndpointName, change: F)
    where
        F: FnOnce(&mut Load),
    {
        let mut known = self.known.lock().expect("not poisoned");
        match known.get_mut(endpoint) {
            Some(load) => change(load),
            None => change(known.entry(endpoint.clone()).or_default()),
        }
    }

    /// Returns the load of an endpoint; the default if nothing is known of it.
    pub fn get(&self, endpoint: &EndpointName) -> Load {
        self.known.lock().expect("not poisoned").get(endpoint).copied().unwrap_or_default()
    }

    /// Counts a request as in flight at an endpoint until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>, endpoint: &EndpointName) -> InFlightGuard {
        self.update(endpoint, |load| {
            load.in_flight += 1;
            load.sent_since_report += 1;
        });
        InFlightGuard { loads: self.clone(), endpoint: endpoint.clone() }
    }

    /// Stores the load that an endpoint reported at `now`.
    pub fn note_report(&self, endpoint: &EndpointName, report: ReportedLoad, now: Timestamp) {
        self.update(endpoint, |load| {
            load.reported = Some((report, now));
            load.sent_since_report = 0;
        });
    }

    /// Records that an endpoint accepted a request, at the head of its response. A report with a pace is
    /// stored, since it loses its value within a fraction of a second. Others are stored when the
    /// response has ended.
    pub fn note_accepted(
        &self,
        endpoint: &EndpointName,
        report: Option<ReportedLoad>,
        now: Timestamp,
    ) {
        self.update(endpoint, |load| {
            let has_room = report.is_some_and(|report| load.has_room(&report));
            let competition = load.competition_at_refusal - COMPETITION_STEP_DOWN;
            load.competition_at_refusal = if has_room { 0.0 } else { competition.max(0.0) };
        });
        if let Some(report) = report.filter(|report| report.pace.is_some()) {
            self.note_report(endpoint, report, now);
        }
    }

    /// Records that a response has ended which took `duration` and stated `report` at its head. The
    /// number of consecutive failures is reset; a running backoff stays.
    pub fn note_ended(
        &self,
        endpoint: &EndpointName,
        report: Option<ReportedLoad>,
        duration: Duration,
        now: Timestamp,
    ) {
        self.update(endpoint, |load| load.failures = 0);
        match report {
            Some(report) if report.pace.is_some() => {
                self.update(endpoint, |load| load.note_duration(&report, duration));
            }
            Some(report) => self.note_report(endpoint, report, now),
            None => {}
        }
    }

    /// Starts the short backoff of an endpoint that refused a request because it is full, with the load
    /// that it reported.
    pub fn note_saturated(
        &self,
        endpoint: &EndpointName,
        report: Option<ReportedLoad>,
        now: Timestamp,
    ) {
        self.update(endpoint, |load| {
            load.backoff_until = load.backoff_until.max(now + SATURATED_BACKOFF);
            load.competition_at_refusal =
                (load.competition(now) + COMPETITION_STEP_UP).min(COMPETITION_MAX);
            load.full_at = now;
            // An endpoint with free slots refused for another reason than its load.
            let at_capacity = report.filter(|report| report.running >= report.slots);
            if let Some(report) = at_capacity.filter(|report| report.slots > 0) {
                load.capacity = Some(report.running + report.waiting);
            }
        });
        if let Some(report) = report {
            self.note_report(endpoint, report, now);
        }
    }

    /// Counts a failure and starts the backoff, which doubles with each consecutive failure.
    pub fn note_failure(&self, endpoint: &EndpointName, now: Timestamp) {
        self.update(endpoint, |load| {
            let backoff = BACKOFF_INITIAL * 2u32.pow(load.failures.min(5));
            load.failures += 1;
            load.backoff_until = load.backoff_until.max(now + backoff.min(BACKOFF_MAX));
        });
    }

    /// Removes endpoints that are not known any more and have no requests in flight.
    pub fn retain<F>(&self, is_known: F)
    where
        F: Fn(&EndpointName) -> bool,
    {
        let mut known = self.known.lock().expect("not poisoned");
        known.retain(|endpoint, load| load.in_flight > 0 || is_known(endpoint));
    }
}

/// Counts one request as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    loads: Arc<Loads>,
    endpoint: EndpointName,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.loads.update(&self.endpoint, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
            load.sent_since_report = load.sent_since_report.min(load.in_flight);
        });
    }
}
