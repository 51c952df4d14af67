//! Encodes and parses control messages.

use bytes::Bytes;
use prost::Message;

use crate::leases::generated::Request;
use crate::leases::generated::request::Kind;
use crate::result_code::ResultCode;

/// Returns a request as it is sent.
pub(super) fn encode_request(kind: Kind) -> Bytes {
    Request { kind: Some(kind) }.encode_to_vec().into()
}

/// Parses a request.
pub(super) fn decode_request(payload: Bytes) -> Result<Kind, String> {
    let request = Request::decode(payload).ok().and_then(|request| request.kind);
    request.ok_or_else(unreadable)
}

/// Parses an answer.
pub(super) fn decode_answer<M>(payload: Bytes) -> Result<M, String>
where
    M: Message + Default,
{
    M::decode(payload).map_err(|_| unreadable())
}

/// Returns an answer as it is sent.
pub(super) fn encode_answer<M>(answer: &M) -> Bytes
where
    M: Message,
{
    answer.encode_to_vec().into()
}

fn unreadable() -> String {
    format!("{} the control message cannot be read", ResultCode::MalformedControlMessage)
}
