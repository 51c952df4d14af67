//! What this instance has in flight at one endpoint.

use std::time::Duration;

use crate::admission::ConcurrencyLimit;
use crate::clock::Timestamp;
use crate::endpoints::directory::KnownEndpoint;
use crate::endpoints::directory::Source;

/// The age beyond which a load report is ignored.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

/// How far back the own calls reach that a load report may still count.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// How often the mean service time may pass without an answer before an endpoint is suspect.
const SILENT_SERVICES: f64 = 5.0;

/// The shortest time without an answer that makes an endpoint suspect.
const SILENT_MIN: Duration = Duration::from_secs(3);

/// What the weight of a suspect endpoint is multiplied by.
const SUSPECT_FACTOR: f64 = 0.2;

/// What this instance has in flight at one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Bounds the calls in flight.
    pub limit: ConcurrencyLimit,
    in_flight: u32,
    peak: u32,
    peak_before: u32,
    peak_since: Timestamp,
    silent_since: Option<Timestamp>,
    present: bool,
}

impl EndpointState {
    /// Starts without calls.
    pub fn new(capacity: u32) -> Self {
        Self {
            limit: ConcurrencyLimit::new(capacity),
            in_flight: 0,
            peak: 0,
            peak_before: 0,
            peak_since: Timestamp(0),
            silent_since: None,
            present: true,
        }
    }

    /// Returns the calls in flight from here.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a call that is sent.
    pub fn start(&mut self, now: Timestamp) {
        self.turn_peak(now);
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        self.silent_since.get_or_insert(now);
    }

    /// Counts a call that ended; `heard` tells whether the endpoint gave a sign of life.
    pub fn end(&mut self, heard: bool, now: Timestamp) {
        self.turn_peak(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since = None;
        } else if heard {
            self.silent_since = Some(now);
        }
    }

    fn turn_peak(&mut self, now: Timestamp) {
        if now.since(self.peak_since) > REPORT_LAG {
            self.peak_before = self.peak;
            self.peak = self.in_flight;
            self.peak_since = now;
        }
    }

    /// Returns the calls at the endpoint: own ones, and those of others as far as reported.
    ///
    /// A report may still count own calls that have ended since. The most that were in flight
    /// lately are taken off, so that an old report never hides room that is there.
    pub fn load(&self, known: &KnownEndpoint, now: Timestamp) -> u32 {
        let report = known.announcement.load;
        let age = now.since(known.heard_at) + Duration::from_millis(report.age_ms);
        if known.source != Source::Local || age > REPORT_AGE_MAX {
            return self.in_flight;
        }
        let own = self.peak.max(self.peak_before);
        self.in_flight + (report.running + report.waiting).saturating_sub(own)
    }

    /// Returns what the weight is multiplied by if calls have gone unanswered for too long.
    pub fn suspicion(&self, service_seconds: f64, now: Timestamp) -> f64 {
        let Some(since) = self.silent_since else {
            return 1.0;
        };
        let limit = (service_seconds * SILENT_SERVICES).max(SILENT_MIN.as_secs_f64());
        if now.since(since).as_secs_f64() > limit { SUSPECT_FACTOR } else { 1.0 }
    }

    /// Records whether the endpoint is announced. Returns whether it has come back.
    pub fn set_present(&mut self, present: bool) -> bool {
        let returned = present && !self.present;
        self.present = present;
        returned
    }
}
