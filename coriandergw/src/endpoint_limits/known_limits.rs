//! The limits that an entry instance has learned from the answers of endpoints.

use std::collections::HashMap;
use std::sync::Mutex;

use crate::clock::Timestamp;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;

#[derive(Debug)]
struct Known {
    stated: StatedLimit,
    /// When the endpoint has room again, as the last refusal of a permit said.
    full_until: Timestamp,
}

/// The limits that endpoints named in their answers to this instance.
#[derive(Debug, Default)]
pub struct KnownLimits {
    known: Mutex<HashMap<EndpointName, Known>>,
}

impl KnownLimits {
    /// Records what an answer of an endpoint says of its limit; `None` if it names none. Returns
    /// whether that is another limit than before.
    pub fn note(
        &self,
        endpoint: &EndpointRecord,
        limit: Option<RateLimit>,
        now: Timestamp,
    ) -> bool {
        let mut known = self.known.lock().expect("not poisoned");
        let before = known.get(&endpoint.id).map(|one| (one.stated.started_ms, one.stated.limit));
        if before.is_some_and(|(started_ms, _)| started_ms > endpoint.started_ms) {
            // A late answer of an earlier incarnation.
            return false;
        }
        let Some(limit) = limit else {
            return known.remove(&endpoint.id).is_some();
        };
        let (id, started_ms) = (endpoint.id.clone(), endpoint.started_ms);
        let stated = StatedLimit { endpoint: id.clone(), started_ms, limit, stated_at: now };
        let full_until = known.get(&id).map_or(now, |one| one.full_until);
        known.insert(id, Known { stated, full_until });
        before != Some((started_ms, limit))
    }

    /// Returns the limit that this incarnation of an endpoint named, if it still does.
    pub fn get(&self, endpoint: &EndpointRecord) -> Option<StatedLimit> {
        let known = self.known.lock().expect("not poisoned");
        let stated = &known.get(&endpoint.id)?.stated;
        (stated.started_ms == endpoint.started_ms).then(|| stated.clone())
    }

    /// Records that the endpoints have no room until `until`.
    pub fn note_full(&self, endpoints: &[StatedLimit], until: Timestamp) {
        let mut known = self.known.lock().expect("not poisoned");
        for stated in endpoints {
            if let Some(one) = known.get_mut(&stated.endpoint) {
                one.full_until = until;
            }
        }
    }

    /// Returns whether an endpoint names no limit or has, as far as is known, room within it.
    pub fn has_room(&self, endpoint: &EndpointRecord, now: Timestamp) -> bool {
        let known = self.known.lock().expect("not poisoned");
        let is_full =
            |one: &Known| one.stated.started_ms == endpoint.started_ms && now < one.full_until;
        !known.get(&endpoint.id).is_some_and(is_full)
    }

    /// Removes the limits of endpoints for which `is_listed` does not hold.
    pub fn retain<F>(&self, is_listed: F)
    where
        F: Fn(&EndpointName) -> bool,
    {
        self.known.lock().expect("not poisoned").retain(|id, _| is_listed(id));
    }
}

#[cfg(test)]
mod tests;
