//! Departures of endpoints that were acknowledged, which no later message of the same incarnation
//! takes back.

use std::collections::BTreeMap;

use crate::ids::EndpointName;
use crate::roster::EndpointKey;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::RosterError;
use crate::roster::generated as raw;
use crate::roster::wire;

/// The maximum number of departures that the control group keeps. It exceeds the number of endpoints
/// that leave while messages of theirs can still be on their way.
pub const DEPARTURES_MAX: usize = 4_096;

/// An endpoint that said that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The endpoint, with the service that it stated.
    pub endpoint: EndpointKey,
    /// The start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Either [`EndpointState::Draining`] or [`EndpointState::Gone`].
    pub state: EndpointState,
    /// The sequence number of the announcement; later ones of a draining endpoint replace it.
    pub sequence: u64,
}

impl Departure {
    /// Returns the departure that a record announces, if any.
    pub fn of(record: &EndpointRecord) -> Option<Self> {
        matches!(record.state, EndpointState::Draining | EndpointState::Gone).then(|| Self {
            endpoint: record.key(),
            started_ms: record.started_ms,
            state: record.state,
            sequence: record.sequence,
        })
    }

    /// Returns whether this departure says more than `known`.
    pub fn supersedes(&self, known: &Self) -> bool {
        let rank = |one: &Self| (one.started_ms, one.state, one.sequence);
        rank(self) > rank(known)
    }

    /// Returns whether a record of the same endpoint is no newer than this departure.
    pub fn covers(&self, record: &EndpointRecord) -> bool {
        match record.started_ms.cmp(&self.started_ms) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => {
                self.state == EndpointState::Gone || record.sequence <= self.sequence
            }
            std::cmp::Ordering::Greater => false,
        }
    }

    /// Applies the departure to a record that it covers; returns whether that changed the record.
    pub fn apply_to(&self, record: &mut EndpointRecord) -> bool {
        let is_changed = self.covers(record) && record.state < self.state;
        if is_changed {
            record.state = self.state;
        }
        is_changed
    }
}

impl From<&Departure> for raw::Departure {
    fn from(departure: &Departure) -> Self {
        Self {
            endpoint: departure.endpoint.id.to_string(),
            service: departure.endpoint.service.to_string(),
            started_ms: departure.started_ms,
            state: wire::encode_state(departure.state),
            sequence: departure.sequence,
        }
    }
}

impl TryFrom<raw::Departure> for Departure {
    type Error = RosterError;

    fn try_from(raw: raw::Departure) -> Result<Self, RosterError> {
        let id = EndpointName::try_from(raw.endpoint);
        let id = id.map_err(|_| RosterError { field: "endpoint of a departure" })?;
        let state = wire::decode_state(raw.state);
        let is_departing =
            |state: &EndpointState| matches!(state, EndpointState::Draining | EndpointState::Gone);
        Ok(Self {
            endpoint: EndpointKey { id, service: raw.service.into() },
            started_ms: raw.started_ms,
            state: state
                .filter(is_departing)
                .ok_or(RosterError { field: "state of a departure" })?,
            sequence: raw.sequence,
        })
    }
}

/// The latest departure of each endpoint, at most [`DEPARTURES_MAX`].
///
/// The oldest ones are dropped by the order in which they were noted, which is the same on every
/// member of the control group, unlike the time.
#[derive(Debug, Default)]
pub struct Departures {
    by_endpoint: BTreeMap<EndpointKey, (u64, Departure)>,
    by_number: BTreeMap<u64, EndpointKey>,
    last_number: u64,
}

impl Departures {
    /// Adds a departure; returns whether it is new.
    pub fn note(&mut self, departure: Departure) -> bool {
        if let Some((number, known)) = self.by_endpoint.get(&departure.endpoint) {
            if !departure.supersedes(known) {
                return false;
            }
            self.by_number.remove(number);
        }
        self.last_number += 1;
        self.by_number.insert(self.last_number, departure.endpoint.clone());
        self.by_endpoint.insert(departure.endpoint.clone(), (self.last_number, departure));
        if self.by_endpoint.len() > DEPARTURES_MAX
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.by_endpoint.remove(&oldest);
        }
        true
    }

    /// Returns the departures, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        let endpoints = self.by_number.values();
        endpoints.filter_map(|one| self.by_endpoint.get(one)).map(|(_, departure)| departure)
    }
}

#[cfg(test)]
mod tests;
