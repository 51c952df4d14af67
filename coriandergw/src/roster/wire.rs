//! Conversions between the roster types and their Protocol Buffers messages.

use std::net::SocketAddr;

use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Relay;
use crate::roster::Role;
use crate::roster::RosterError;
use crate::roster::generated as raw;

fn invalid_field(field: &'static str) -> RosterError {
    RosterError { field }
}

/// Parses instance names; fails if any of them is invalid.
pub(super) fn parse_names(raw: Vec<String>) -> Result<Vec<InstanceName>, RosterError> {
    let parsed = raw.into_iter().map(InstanceName::try_from).collect::<Result<_, _>>();
    parsed.map_err(|_| invalid_field("instance name"))
}

fn to_strings(names: &[InstanceName]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// Encodes an address; `None` as an empty text.
fn to_text(address: Option<SocketAddr>) -> String {
    address.map(|address| address.to_string()).unwrap_or_default()
}

/// Parses an address; an empty text is `None`.
fn parse_address(text: &str, field: &'static str) -> Result<Option<SocketAddr>, RosterError> {
    match text {
        "" => Ok(None),
        text => text.parse().map(Some).map_err(|_| invalid_field(field)),
    }
}

const ROLES: [(Role, u32); 4] =
    [(Role::Entry, 1), (Role::Core, 2), (Role::Journal, 3), (Role::Directory, 4)];

const STATES: [(EndpointState, u32); 4] = [
    (EndpointState::Ready, 1),
    (EndpointState::Draining, 2),
    (EndpointState::Gone, 3),
    (EndpointState::Silent, 4),
];

fn encode_enum<T>(table: &[(T, u32)], value: T) -> u32
where
    T: Copy + PartialEq,
{
    table.iter().find(|(known, _)| *known == value).map_or(0, |(_, number)| *number)
}

fn decode_enum<T>(table: &[(T, u32)], number: u32) -> Option<T>
where
    T: Copy,
{
    table.iter().find(|(_, known)| *known == number).map(|(value, _)| *value)
}

/// Encodes the state of an endpoint.
pub(super) fn encode_state(state: EndpointState) -> u32 {
    encode_enum(&STATES, state)
}

/// Decodes the state of an endpoint; `None` if the number is unknown.
pub(super) fn decode_state(number: u32) -> Option<EndpointState> {
    decode_enum(&STATES, number)
}

impl From<&Presence> for raw::Presence {
    fn from(presence: &Presence) -> Self {
        let group = &presence.group;
        Self {
            name: presence.name.to_string(),
            role: encode_enum(&ROLES, presence.role),
            data_centre: presence.data_centre.to_string(),
            node: presence.node.to_string(),
            caller_address: to_text(presence.caller_address),
            ready: presence.ready,
            leaving: presence.leaving,
            heard: true,
            started_ms: presence.started_ms,
            term: group.term,
            leads: group.leads,
            voters: to_strings(&group.voters),
            learners: to_strings(&group.learners),
            is_founder: presence.is_founder,
            watchers: to_strings(&presence.watchers),
            relay_address: to_text(presence.relay_address),
            lost_endpoints: presence.lost_endpoints,
            holds_turns: presence.holds_turns,
        }
    }
}

impl TryFrom<raw::Presence> for Presence {
    type Error = RosterError;

    fn try_from(raw: raw::Presence) -> Result<Self, RosterError> {
        Ok(Self {
            name: InstanceName::try_from(raw.name).map_err(|_| invalid_field("name"))?,
            role: decode_enum(&ROLES, raw.role).ok_or_else(|| invalid_field("role"))?,
            data_centre: DataCentre::try_from(raw.data_centre)
                .map_err(|_| invalid_field("data centre"))?,
            node: raw.node.into(),
            caller_address: parse_address(&raw.caller_address, "caller address")?,
            ready: raw.ready,
            leaving: raw.leaving,
            started_ms: raw.started_ms,
            group: GroupStatus {
                term: raw.term,
                leads: raw.leads,
                voters: parse_names(raw.voters)?,
                learners: parse_names(raw.learners)?,
            },
            is_founder: raw.is_founder,
            watchers: parse_names(raw.watchers)?,
            relay_address: parse_address(&raw.relay_address, "relay address")?,
            lost_endpoints: raw.lost_endpoints,
            holds_turns: raw.holds_turns,
        })
    }
}

impl From<&Relay> for raw::Relay {
    fn from(relay: &Relay) -> Self {
        Self {
            name: relay.name.to_string(),
            address: relay.address.to_string(),
            data_centre: relay.data_centre.to_string(),
        }
    }
}

impl TryFrom<raw::Relay> for Relay {
    type Error = RosterError;

    fn try_from(raw: raw::Relay) -> Result<Self, RosterError> {
        Ok(Self {
            name: InstanceName::try_from(raw.name).map_err(|_| invalid_field("relay"))?,
            address: raw.address.parse().map_err(|_| invalid_field("relay address"))?,
            data_centre: DataCentre::try_from(raw.data_centre)
                .map_err(|_| invalid_field("data centre"))?,
        })
    }
}

impl From<&EndpointRecord> for raw::Endpoint {
    fn from(record: &EndpointRecord) -> Self {
        Self {
            id: record.id.to_string(),
            service: record.service.to_string(),
            address: record.address.to_string(),
            data_centre: record.data_centre.to_string(),
            slots: record.slots,
            state: encode_state(record.state),
            started_ms: record.started_ms,
            sequence: record.sequence,
            cold_ms: record.cold_ms,
            version: record.version.to_string(),
        }
    }
}

impl TryFrom<raw::Endpoint> for EndpointRecord {
    type Error = RosterError;

    fn try_from(raw: raw::Endpoint) -> Result<Self, RosterError> {
        Ok(Self {
            id: EndpointName::try_from(raw.id).map_err(|_| invalid_field("endpoint"))?,
            service: raw.service.into(),
            address: raw.address.parse().map_err(|_| invalid_field("endpoint address"))?,
            data_centre: raw.data_centre.into(),
            slots: raw.slots,
            state: decode_state(raw.state).ok_or_else(|| invalid_field("state"))?,
            started_ms: raw.started_ms,
            sequence: raw.sequence,
            cold_ms: raw.cold_ms,
            version: raw.version.into(),
        })
    }
}
