//! The limits that an entry instance knows, from answers of endpoints to itself and to others.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;

/// How long an endpoint must have had room before it takes programs that are new to it: a few turns
/// of a program.
const SPARE_AFTER: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Known {
    started_ms: u64,
    /// `None` once an answer has named no limit any more.
    limit: Option<RateLimit>,
    stated_at: Timestamp,
    /// When the endpoint has room again, as the last refusal of a permit said.
    full_until: Timestamp,
}

/// The limits that endpoints named in their answers to this instance, or to others.
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
        let started_ms = endpoint.started_ms;
        match known.get_mut(&endpoint.id) {
            // A late answer of an earlier incarnation.
            Some(one) if one.started_ms > started_ms => false,
            Some(one) => {
                let is_same = one.started_ms == started_ms;
                let is_changed = one.limit != limit || !is_same;
                let full_until = if is_same { one.full_until } else { now };
                *one = Known { started_ms, limit, stated_at: now, full_until };
                is_changed
            }
            None if limit.is_none() => false,
            None => {
                let new = Known { started_ms, limit, stated_at: now, full_until: now };
                known.insert(endpoint.id.clone(), new);
                true
            }
        }
    }

    /// Records a limit that an endpoint named to another instance, unless this one has heard the
    /// endpoint later.
    pub fn learn(&self, stated: &StatedLimit) {
        let mut known = self.known.lock().expect("not poisoned");
        let is_older =
            |one: &Known| (one.started_ms, one.stated_at) >= (stated.started_ms, stated.stated_at);
        let before = known.get(&stated.endpoint);
        if before.is_some_and(is_older) {
            return;
        }
        let full_until = before.map_or(stated.stated_at, |one| one.full_until);
        let (started_ms, stated_at) = (stated.started_ms, stated.stated_at);
        let new = Known { started_ms, limit: Some(stated.limit), stated_at, full_until };
        known.insert(stated.endpoint.clone(), new);
    }

    /// Returns the limit that this incarnation of an endpoint named, if it still does.
    pub fn get(&self, endpoint: &EndpointRecord) -> Option<StatedLimit> {
        let known = self.known.lock().expect("not poisoned");
        let one = known.get(&endpoint.id).filter(|one| one.started_ms == endpoint.started_ms)?;
        Some(StatedLimit {
            endpoint: endpoint.id.clone(),
            started_ms: one.started_ms,
            limit: one.limit?,
            stated_at: one.stated_at,
        })
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

    /// Returns whether an endpoint names no limit or has, as far as is known, had room within it for
    /// [`SPARE_AFTER`].
    pub fn has_spare(&self, endpoint: &EndpointRecord, now: Timestamp) -> bool {
        let known = self.known.lock().expect("not poisoned");
        let is_full = |one: &Known| {
            one.started_ms == endpoint.started_ms
                && one.limit.is_some()
                && now < one.full_until + SPARE_AFTER
        };
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
