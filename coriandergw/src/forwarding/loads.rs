//! What this instance knows of the load and the soundness of endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::ReportedLoad;
use crate::ids::EndpointName;

/// How long an endpoint gets no work after a first failure; doubled with each further one.
const REST_FIRST: Duration = Duration::from_millis(250);

/// The longest rest of a failing endpoint.
const REST_MAX: Duration = Duration::from_secs(4);

/// How long an endpoint that refused since it is full is tried after the others.
const FULL_REST: Duration = Duration::from_millis(30);

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// The requests that this instance has there.
    pub in_flight: u32,
    /// What it last reported, and when.
    pub reported: Option<(ReportedLoad, Timestamp)>,
    /// Until when it is tried only after the others.
    pub backoff_until: Timestamp,
    /// Its failures without a success between them.
    pub failures: u32,
}

/// The loads of all endpoints.
#[derive(Debug, Default)]
pub struct Loads {
    known: Mutex<HashMap<EndpointName, Load>>,
}

impl Loads {
    fn with<F>(&self, endpoint: &EndpointName, change: F)
    where
        F: FnOnce(&mut Load),
    {
        let mut known = self.known.lock().expect("not poisoned");
        match known.get_mut(endpoint) {
            Some(load) => change(load),
            None => change(known.entry(endpoint.clone()).or_default()),
        }
    }

    /// Returns what is known of an endpoint.
    pub fn get(&self, endpoint: &EndpointName) -> Load {
        self.known.lock().expect("not poisoned").get(endpoint).copied().unwrap_or_default()
    }

    /// Counts a request at an endpoint until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>, endpoint: &EndpointName) -> InFlightGuard {
        self.with(endpoint, |load| load.in_flight += 1);
        InFlightGuard { loads: self.clone(), endpoint: endpoint.clone() }
    }

    /// Records a reported load.
    pub fn note_report(&self, endpoint: &EndpointName, report: ReportedLoad, now: Timestamp) {
        self.with(endpoint, |load| load.reported = Some((report, now)));
    }

    /// Records a success.
    pub fn note_success(&self, endpoint: &EndpointName) {
        self.with(endpoint, |load| load.failures = 0);
    }

    /// Records a refusal of a full endpoint.
    pub fn note_saturated(&self, endpoint: &EndpointName, now: Timestamp) {
        self.with(endpoint, |load| load.backoff_until = load.backoff_until.max(now + FULL_REST));
    }

    /// Records a failure.
    pub fn note_failure(&self, endpoint: &EndpointName, now: Timestamp) {
        self.with(endpoint, |load| {
            let rest = REST_FIRST * 2u32.pow(load.failures.min(5));
            load.failures += 1;
            load.backoff_until = load.backoff_until.max(now + rest.min(REST_MAX));
        });
    }

    /// Forgets endpoints that are not used any more.
    pub fn retain<F>(&self, is_known: F)
    where
        F: Fn(&EndpointName) -> bool,
    {
        let mut known = self.known.lock().expect("not poisoned");
        known.retain(|endpoint, load| load.in_flight > 0 || is_known(endpoint));
    }
}

/// Counts one request at an endpoint while it lives.
#[derive(Debug)]
pub struct InFlightGuard {
    loads: Arc<Loads>,
    endpoint: EndpointName,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.loads.with(&self.endpoint, |load| load.in_flight = load.in_flight.saturating_sub(1));
    }
}
