//! Converts announcements to and from their protobuf messages.

use derive_more::Display;
use derive_more::Error;

use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::endpoints::LoadReport;
use crate::endpoints::generated;
use crate::ids::NameError;
use crate::ids::TargetName;

/// Why a message cannot be converted to an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum WireError {
    /// A name is invalid.
    #[display("{cause}")]
    Name {
        /// Why it is invalid.
        cause: NameError,
    },
    /// The number of the kind is unknown, as from a newer version.
    #[display("unknown kind of endpoint: {number}")]
    UnknownKind {
        /// The number as received.
        number: u32,
    },
    /// The address is not an IP address with a port.
    #[display("invalid endpoint address {address:?}: expected IP address and port")]
    BadAddress {
        /// The address as received.
        address: String,
    },
}

impl From<NameError> for WireError {
    fn from(cause: NameError) -> Self {
        WireError::Name { cause }
    }
}

fn kind_number(kind: CallKind) -> u32 {
    match kind {
        CallKind::Model => 1,
        CallKind::Tool => 2,
        CallKind::Service => 3,
    }
}

fn kind_from_number(number: u32) -> Result<CallKind, WireError> {
    match number {
        1 => Ok(CallKind::Model),
        2 => Ok(CallKind::Tool),
        3 => Ok(CallKind::Service),
        number => Err(WireError::UnknownKind { number }),
    }
}

impl From<&Announcement> for generated::Endpoint {
    fn from(from: &Announcement) -> Self {
        Self {
            name: from.name.to_string(),
            kind: kind_number(from.kind),
            address: from.address.to_string(),
            targets: from.targets.iter().map(TargetName::to_string).collect(),
            data_centre: from.data_centre.to_string(),
            capacity: from.capacity,
            leaving: from.leaving,
            load: Some(generated::Load {
                running: from.load.running,
                waiting: from.load.waiting,
                age_ms: from.load.age_ms,
                cached_tokens: from.load.cached_tokens,
            }),
            checks_fencing: from.checks_fencing,
            outcome_lookup: from.outcome_lookup,
        }
    }
}

impl TryFrom<generated::Endpoint> for Announcement {
    type Error = WireError;

    fn try_from(raw: generated::Endpoint) -> Result<Self, WireError> {
        let targets = raw.targets.into_iter().map(TargetName::try_from);
        let load = raw.load.unwrap_or_default();
        Ok(Self {
            name: raw.name.try_into()?,
            kind: kind_from_number(raw.kind)?,
            address: raw
                .address
                .parse()
                .map_err(|_| WireError::BadAddress { address: raw.address })?,
            targets: targets.collect::<Result<_, _>>()?,
            data_centre: raw.data_centre.try_into()?,
            capacity: raw.capacity,
            leaving: raw.leaving,
            load: LoadReport {
                running: load.running,
                waiting: load.waiting,
                age_ms: load.age_ms,
                cached_tokens: load.cached_tokens,
            },
            checks_fencing: raw.checks_fencing,
            outcome_lookup: raw.outcome_lookup,
        })
    }
}
