//! Tracks the calls that this instance has in flight at one endpoint.

use std::time::Duration;

use crate::admission::ConcurrencyLimit;
use crate::clock::Timestamp;
use crate::endpoints::directory::KnownEndpoint;
use crate::endpoints::directory::Source;

/// The maximum age of a load report; older reports are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// How far a load report may lag behind: it may still count calls of this instance that ended
/// within this time. The peak of calls in flight is kept per window of this length.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// The number of mean service times without an answer after which an endpoint is suspect.
const SUSPECT_SERVICE_TIMES: f64 = 5.0;

/// The minimum time without an answer after which an endpoint is suspect.
const MIN_SUSPECT_TIME: Duration = Duration::from_secs(3);

/// The factor by which the placement weight of a suspect endpoint is multiplied.
const SUSPECT_WEIGHT_FACTOR: f64 = 0.2;

/// The calls that this instance has in flight at one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// The adaptive limit on calls in flight.
    pub limit: ConcurrencyLimit,
    in_flight: u32,
    peak: u32,
    previous_peak: u32,
    peak_window_start: Timestamp,
    /// The time since which the endpoint has not answered, counted from the last response or from
    /// the first call that was sent to the idle endpoint; `None` if no calls are in flight.
    silent_since: Option<Timestamp>,
    present: bool,
}

impl EndpointState {
    /// Creates the state of an endpoint with the announced `capacity` and no calls in flight.
    pub fn new(capacity: u32) -> Self {
        Self {
            limit: ConcurrencyLimit::new(capacity),
            in_flight: 0,
            peak: 0,
            previous_peak: 0,
            peak_window_start: Timestamp(0),
            silent_since: None,
            present: true,
        }
    }

    /// Returns the number of calls that this instance has in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records a call that is sent.
    pub fn start(&mut self, now: Timestamp) {
        self.rotate_peak(now);
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        self.silent_since.get_or_insert(now);
    }

    /// Records a call that ended. `responded` tells whether the outcome counts as a response, which
    /// restarts the measurement of the time without an answer.
    pub fn end(&mut self, responded: bool, now: Timestamp) {
        self.rotate_peak(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since = None;
        } else if responded {
            self.silent_since = Some(now);
        }
    }

    fn rotate_peak(&mut self, now: Timestamp) {
        if now.since(self.peak_window_start) > REPORT_LAG {
            self.previous_peak = self.peak;
            self.peak = self.in_flight;
            self.peak_window_start = now;
        }
    }

    /// Returns the number of calls at the endpoint: those of this instance, and those of others
    /// according to the endpoint's load report.
    ///
    /// A report may still count calls of this instance that have ended since. The recent peak of
    /// calls in flight is therefore subtracted, so that an old report never hides free capacity.
    pub fn load(&self, known: &KnownEndpoint, now: Timestamp) -> u32 {
        let report = known.announcement.load;
        let age = now.since(known.heard_at) + Duration::from_millis(report.age_ms);
        if known.source != Source::Local || age > MAX_REPORT_AGE {
            return self.in_flight;
        }
        let own = self.peak.max(self.previous_peak);
        self.in_flight + (report.running + report.waiting).saturating_sub(own)
    }

    /// Returns the factor for the placement weight: below 1 if calls are in flight and the endpoint
    /// has not answered for too long.
    pub fn suspicion_factor(&self, service_seconds: f64, now: Timestamp) -> f64 {
        let Some(since) = self.silent_since else {
            return 1.0;
        };
        let limit = (service_seconds * SUSPECT_SERVICE_TIMES).max(MIN_SUSPECT_TIME.as_secs_f64());
        if now.since(since).as_secs_f64() > limit { SUSPECT_WEIGHT_FACTOR } else { 1.0 }
    }

    /// Records whether the endpoint is announced. Returns whether it is announced again after an
    /// absence.
    pub fn set_present(&mut self, present: bool) -> bool {
        let returned = present && !self.present;
        self.present = present;
        returned
    }
}
