//! Conversions between the types of this module and their Protocol Buffers messages.

use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;

use crate::clock::Timestamp;
use crate::endpoint_limits::LimitMessageError;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::endpoint_limits::generated as raw;
use crate::endpoint_limits::limiter::Verdict;
use crate::ids::EndpointName;

/// Encodes a limit with its age at `now`, since clocks of instances are not comparable.
pub(super) fn encode_limit(stated: &StatedLimit, now: Timestamp) -> raw::StatedLimit {
    raw::StatedLimit {
        endpoint: stated.endpoint.to_string(),
        started_ms: stated.started_ms,
        limit: stated.limit.per_second(),
        age_ms: now.since(stated.stated_at).as_millis() as u64,
    }
}

/// Decodes a limit that arrived at `now`.
pub(super) fn decode_limit(
    raw: raw::StatedLimit,
    now: Timestamp,
) -> Result<StatedLimit, LimitMessageError> {
    let invalid = |field| LimitMessageError { field };
    Ok(StatedLimit {
        endpoint: EndpointName::try_from(raw.endpoint).map_err(|_| invalid("endpoint name"))?,
        started_ms: raw.started_ms,
        limit: RateLimit::try_from(raw.limit).map_err(|_| invalid("limit"))?,
        stated_at: now.before(Duration::from_millis(raw.age_ms)),
    })
}

impl StatedLimit {
    /// Encodes the limit as a message that is part of others, with its age at `now`.
    pub fn encode(&self, now: Timestamp) -> Bytes {
        encode_limit(self, now).encode_to_vec().into()
    }

    /// Decodes a limit that arrived at `now`.
    ///
    /// # Errors
    /// Fails if the message cannot be parsed or a field is invalid.
    pub fn decode(bytes: Bytes, now: Timestamp) -> Result<Self, LimitMessageError> {
        let raw = raw::StatedLimit::decode(bytes);
        decode_limit(raw.map_err(|_| LimitMessageError { field: "encoding" })?, now)
    }
}

impl From<Verdict> for raw::PermitAnswer {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Granted(position) => Self { granted: position as u32 + 1, retry_after_ms: 0 },
            // Rounded up, so that there is room by then.
            Verdict::Denied(delay) => {
                Self { granted: 0, retry_after_ms: delay.as_millis() as u64 + 1 }
            }
        }
    }
}

impl From<raw::PermitAnswer> for Verdict {
    fn from(raw: raw::PermitAnswer) -> Self {
        match raw.granted.checked_sub(1) {
            Some(position) => Self::Granted(position as usize),
            None => Self::Denied(Duration::from_millis(raw.retry_after_ms)),
        }
    }
}
