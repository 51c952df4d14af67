//! Endpoints that stated in an answer that they are leaving.
//!
//! The roster may list such an endpoint as ready for much longer: its announcement may be lost, or
//! this instance may be cut off from the core. The statement holds for one incarnation only.

use std::collections::HashMap;
use std::sync::Mutex;

use crate::clock::Timestamp;
use crate::ids::EndpointName;
use crate::roster::EndpointRecord;
use crate::roster::state::GONE_RETENTION;

/// When an incarnation of an endpoint stated that it is leaving.
#[derive(Debug, Clone, Copy)]
struct Statement {
    started_ms: u64,
    at: Timestamp,
}

/// The endpoints that stated that they are leaving, each with its last such incarnation.
#[derive(Debug, Default)]
pub(super) struct LeavingEndpoints {
    stated: Mutex<HashMap<EndpointName, Statement>>,
}

impl LeavingEndpoints {
    /// Records that an endpoint is leaving; returns whether that was unknown.
    pub(super) fn note(&self, endpoint: &EndpointRecord, now: Timestamp) -> bool {
        let mut stated = self.stated.lock().expect("not poisoned");
        let is_known = |known: &Statement| known.started_ms >= endpoint.started_ms;
        if stated.get(&endpoint.id).is_some_and(is_known) {
            return false;
        }
        let statement = Statement { started_ms: endpoint.started_ms, at: now };
        stated.insert(endpoint.id.clone(), statement);
        true
    }

    /// Returns whether this incarnation of the endpoint, or a later one, is leaving.
    pub(super) fn is_leaving(&self, endpoint: &EndpointRecord) -> bool {
        let stated = self.stated.lock().expect("not poisoned");
        stated.get(&endpoint.id).is_some_and(|known| known.started_ms >= endpoint.started_ms)
    }

    /// Removes statements that are older than the roster keeps departed endpoints, unless
    /// `is_listed` holds for the endpoint.
    pub(super) fn expire<F>(&self, is_listed: F, now: Timestamp)
    where
        F: Fn(&EndpointName) -> bool,
    {
        let mut stated = self.stated.lock().expect("not poisoned");
        stated.retain(|id, known| now.since(known.at) < GONE_RETENTION || is_listed(id));
    }
}

#[cfg(test)]
mod tests;
