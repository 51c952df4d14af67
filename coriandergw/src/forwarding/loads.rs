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
}

impl Load {
    /// Returns whether the endpoint stated its pace in its last report.
    pub fn states_pace(&self) -> bool {
        self.reported.is_some_and(|(report, _)| report.pace.is_some())
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

    /// Resets the number of consecutive failures; a running backoff stays.
    pub fn note_success(&self, endpoint: &EndpointName) {
        self.update(endpoint, |load| load.failures = 0);
    }

    /// Starts the short backoff of an endpoint that refused a request because it is full.
    pub fn note_saturated(&self, endpoint: &EndpointName, now: Timestamp) {
        self.update(endpoint, |load| {
            load.backoff_until = load.backoff_until.max(now + SATURATED_BACKOFF)
        });
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
