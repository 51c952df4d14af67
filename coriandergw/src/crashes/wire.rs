//! Conversions between crashes and their Protocol Buffers messages.

use std::collections::BTreeSet;

use bytes::Bytes;
use prost::Message as _;

use crate::crashes::Crash;
use crate::crashes::CrashMessageError;
use crate::crashes::DIGEST_BYTES;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::crashes::generated as raw;
use crate::ids::EndpointName;

fn encode_digests(digests: &BTreeSet<RequestDigest>) -> Bytes {
    digests.iter().flat_map(|digest| digest.class.into_iter().chain(digest.content)).collect()
}

fn decode_digests(bytes: &[u8]) -> Result<BTreeSet<RequestDigest>, CrashMessageError> {
    let (parts, rest) = bytes.as_chunks::<DIGEST_BYTES>();
    let (digests, incomplete) = parts.as_chunks::<2>();
    if !rest.is_empty() || !incomplete.is_empty() {
        return Err(CrashMessageError { field: "list of digests" });
    }
    Ok(digests
        .iter()
        .map(|[class, content]| RequestDigest { class: *class, content: *content })
        .collect())
}

impl From<&Crash> for raw::Crash {
    fn from(crash: &Crash) -> Self {
        Self {
            endpoint: crash.incarnation.endpoint.to_string(),
            started_ms: crash.incarnation.started_ms,
            suspects: encode_digests(&crash.suspects),
            cleared: encode_digests(&crash.cleared),
        }
    }
}

impl TryFrom<raw::Crash> for Crash {
    type Error = CrashMessageError;

    fn try_from(raw: raw::Crash) -> Result<Self, CrashMessageError> {
        let endpoint = EndpointName::try_from(raw.endpoint)
            .map_err(|_| CrashMessageError { field: "endpoint name" })?;
        Ok(Self {
            incarnation: Incarnation { endpoint, started_ms: raw.started_ms },
            suspects: decode_digests(&raw.suspects)?,
            cleared: decode_digests(&raw.cleared)?,
        })
    }
}

impl Crash {
    /// Encodes the crash as a message that is part of others.
    pub fn encode(&self) -> Bytes {
        raw::Crash::from(self).encode_to_vec().into()
    }

    /// Decodes a crash.
    ///
    /// # Errors
    /// Fails if the message cannot be parsed or a field is invalid.
    pub fn decode(bytes: Bytes) -> Result<Self, CrashMessageError> {
        let raw = raw::Crash::decode(bytes).map_err(|_| CrashMessageError { field: "encoding" })?;
        Self::try_from(raw)
    }
}

/// Encodes a report to a core instance.
pub(super) fn encode_report<'a, I>(crashes: I) -> Bytes
where
    I: IntoIterator<Item = &'a Crash>,
{
    let crashes = crashes.into_iter().map(raw::Crash::from).collect();
    raw::CrashReport { crashes }.encode_to_vec().into()
}

/// Decodes a report to a core instance.
pub(super) fn decode_report(bytes: Bytes) -> Result<Vec<Crash>, CrashMessageError> {
    let report =
        raw::CrashReport::decode(bytes).map_err(|_| CrashMessageError { field: "encoding" })?;
    report.crashes.into_iter().map(Crash::try_from).collect()
}
